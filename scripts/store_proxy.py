"""Carries connections to the store of a test fleet, as badly as it is told to."""

import socket
import threading
import time


class Proxy:
    """Listens on a port of its own and passes bytes on, both ways."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.mode = "up"  # up, delay, deaf (nothing back), mute (nothing through), refuse
        self.hushed = set()  # Pairs that carry nothing more, while new ones do.
        self.pairs = []
        self.listener = socket.create_server((upstream[0], 0))
        self.address = f"{upstream[0]}:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            if self.mode == "refuse":
                near.close()
                continue
            far = socket.create_connection(self.upstream)
            pair = (near, far)
            self.pairs.append(pair)
            for source, target, cut in ((near, far, "mute"), (far, near, "deaf")):
                threading.Thread(target=self.pump, args=(source, target, cut, pair),
                                 daemon=True).start()

    def pump(self, source, target, cut, pair):
        try:
            while data := source.recv(65536):
                if self.mode == "delay":
                    time.sleep(0.3)
                while self.mode == cut:
                    time.sleep(0.05)
                if pair not in self.hushed:
                    target.sendall(data)
        except OSError:
            pass
        for end in (source, target):
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def hush(self):
        """Lets open connections go silent for good, without a reset."""
        self.hushed |= set(self.pairs)

    def reset(self):
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for end in pair:
                try:
                    end.close()
                except OSError:
                    pass
