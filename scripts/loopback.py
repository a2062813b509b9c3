"""Loopback networks reserved for a single run.

Picking a free port and binding it later races with other processes. Each run therefore reserves a
network 127.N.0.0/16 and allocates its ports itself, below the ephemeral range.
"""

import errno
import itertools
import socket

NETWORK_NUMBERS = range(20, 250)
LOCK_HOST = "255.254"  # Bound for as long as the network is reserved.
LOCK_PORT = 19999
FIRST_PORT = 20000  # The ephemeral range of Linux starts at 32768.
LAST_PORT = 32767


class LoopbackNetwork:
    """A network 127.N.0.0/16, reserved until `close` is called."""

    def __init__(self, numbers=NETWORK_NUMBERS):
        self.lock_socket, self.prefix = reserve_prefix(numbers)
        self.ports = itertools.count(FIRST_PORT)

    def host_address(self, net, host):
        """Returns an address of this network."""
        return f"{self.prefix}.{net}.{host}"

    def allocate_port(self):
        """Returns a port not yet allocated by this run, for any address of the network."""
        port = next(self.ports)
        if port > LAST_PORT:
            raise OSError(f"all ports of {self.prefix}.0.0/16 are allocated")
        return port

    def close(self):
        self.lock_socket.close()


def reserve_prefix(numbers):
    """Returns the bound lock socket and the prefix of the first free network in `numbers`."""
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
    raise OSError("every loopback network is reserved by another run")
