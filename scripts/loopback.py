"""Loopback addresses and ports that belong to one run alone.

A port that was found free may be taken before its process starts: by another process, or by the same
run, since the system may name it twice. So each run holds a network 127.N.0.0/16 for as long as it
lives, and counts the ports of it itself, below those that the system hands out.
"""

import errno
import itertools
import socket

NETWORK_NUMBERS = range(20, 250)
LOCK_HOST = "255.254"  # Bound by the run that holds the network.
LOCK_PORT = 19999
FIRST_PORT = 20000  # The system hands out ports from 32768 on.
LAST_PORT = 32767


class LoopbackNetwork:
    """A network 127.N.0.0/16 that no other run holds. It is free again when `close` is called."""

    def __init__(self, numbers=NETWORK_NUMBERS):
        self.lock_socket, self.prefix = reserve_prefix(numbers)
        self.ports = itertools.count(FIRST_PORT)

    def host_address(self, net, host):
        """Returns an address of this network."""
        return f"{self.prefix}.{net}.{host}"

    def allocate_port(self):
        """Returns a port that this run has not used yet, on any address of the network."""
        port = next(self.ports)
        if port > LAST_PORT:
            raise OSError(f"no port left in {self.prefix}.0.0/16")
        return port

    def close(self):
        self.lock_socket.close()


def reserve_prefix(numbers):
    """Returns the bound guard and the prefix of the first network of `numbers` that is free."""
    for number in numbers:
        prefix = f"127.{number}"
        lock_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            lock_socket.bind((f"{prefix}.{LOCK_HOST}", LOCK_PORT))
        except OSError as error:
            lock_socket.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return lock_socket, prefix
    raise OSError("every loopback network is held by another run")
