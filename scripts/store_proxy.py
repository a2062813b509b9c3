"""TCP proxy between a daemon and the store, with fault injection."""

import socket
import threading
import time


class Proxy:
    """Relays connections to `upstream` in both directions.

    Modes: up, delay, block_responses, block_requests, refuse."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.mode = "up"
        self.stalled = set()  # Connections that silently discard data.
        self.connections = []
        self.listener = socket.create_server((upstream[0], 0))
        self.address = f"{upstream[0]}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            client, _ = self.listener.accept()
            if self.mode == "refuse":
                client.close()
                continue
            server = socket.create_connection(self.upstream)
            connection = (client, server)
            self.connections.append(connection)
            for source, target, blocking_mode in ((client, server, "block_requests"),
                                                  (server, client, "block_responses")):
                threading.Thread(target=self.relay,
                                 args=(source, target, blocking_mode, connection),
                                 daemon=True).start()

    def relay(self, source, target, blocking_mode, connection):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.3)
                while self.mode == blocking_mode:
                    time.sleep(0.05)
                if connection not in self.stalled:
                    target.sendall(data)
        except OSError:
            pass
        for endpoint in (source, target):
            try:
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def stall(self):
        """Discards all further data on open connections, without closing them."""
        self.stalled |= set(self.connections)

    def reset(self):
        connections, self.connections = self.connections, []
        for connection in connections:
            for endpoint in connection:
                try:
                    endpoint.close()
                except OSError:
                    pass
