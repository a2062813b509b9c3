"""Test doubles and processes for a fleet that runs in token steering mode.

Provides a configuration store with watches, self-registering backends and clients, all on
loopback addresses. They implement the subset of the packet format and of the store's HTTP API
(docs/design/004) that the tests need.
"""

import base64
import http.client
import http.server
import json
import os
import signal
import socket
import socketserver
import struct
import subprocess
import threading
import time
import urllib.parse

from loopback import LoopbackNetwork

SYN, ACK, FIN, RST = 64, 4, 8, 1
HEADER = struct.Struct("<IBIHIIIHHI")  # sum, flags, echo, len, seq, ack, src, dport, sport, dst
SLOW_REPLY_DELAY_SECONDS = 0.05
BACKEND_PORT = 8080
WAIT_TIMEOUT_SECONDS = 20.0


def address_to_int(address):
    return struct.unpack("!I", socket.inet_aton(address))[0]


def wait_until(condition, description, timeout_seconds=WAIT_TIMEOUT_SECONDS):
    end = time.monotonic() + timeout_seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.02)
    raise AssertionError(f"not within {timeout_seconds} s: {description}")


class Store:
    """A key-value store with revisions, a change history and fault modes.

    Modes: up, busy (503), throttled (429), unresponsive (no response), closing (closes the
    connection without a response).

    The store can be restored from an older snapshot: later writes are lost and their revisions are
    reused. Each restore increments the era, which every response carries in a header."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.items, self.history, self.revision, self.history_from = {}, [], 0, 0
        self.era = 1
        self.last_written = {}  # Latest value by key; None if removed.
        self.mode = "up"
        self.blocked_clients = set()  # Addresses that receive no response.
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                status, body = store.respond(self.client_address[0], self.path)
                if status is None:
                    self.close_connection = True
                    return
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", str(store.era))
                self.send_header("Content-Length", str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True

            def handle_error(self, *_):
                pass  # Clients may disconnect at any time.

        self.server = Server((address, 0), Handler)
        self.address = f"{address}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        with self.lock:
            self.last_written[key] = value
            self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key, data):
        """Writes an item as another writer may: with any bytes."""
        with self.lock:
            self.revision += 1
            text = base64.b64encode(data).decode()
            item = {"key": key, "value": text, "revision": self.revision, "created": self.revision,
                    "lease": 0}
            self.items[key] = item
            self.history.append(item)
            self.lock.notify_all()

    def remove(self, key):
        with self.lock:
            self.last_written[key] = None
            self.revision += 1
            self.items.pop(key, None)
            self.history.append({"key": key, "revision": self.revision, "gone": True})
            self.lock.notify_all()

    def compact(self):
        with self.lock:
            self.history, self.history_from = [], self.revision

    def snapshot(self):
        with self.lock:
            return dict(self.items), list(self.history), self.revision, self.history_from

    def restore(self, snapshot):
        with self.lock:
            items, history, self.revision, self.history_from = snapshot
            self.items, self.history = dict(items), list(history)
            self.era += 1
            self.lock.notify_all()

    def rewrite_lost_items(self):
        """Reapplies the writes and removals that a restored snapshot lacks."""
        with self.lock:
            last_written = dict(self.last_written)
        for key, value in last_written.items():
            with self.lock:
                item = self.items.get(key)
                stored = None if item is None else base64.b64decode(item["value"])
            if value is None and stored is not None:
                self.remove(key)
            elif value is not None and stored != json.dumps(value).encode():
                self.put(key, value)

    def set_mode(self, mode):
        with self.lock:
            self.mode = mode
            self.lock.notify_all()

    def respond(self, client, path):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        with self.lock:
            if self.mode == "unresponsive" or client in self.blocked_clients:
                self.lock.wait_for(lambda: self.mode != "unresponsive"
                                   and client not in self.blocked_clients, timeout=60)
                return None, None
            if self.mode == "closing":
                return None, None
            if self.mode != "up":
                return (503 if self.mode == "busy" else 429), {}
            if parts.path == "/kv-range":
                return self.range(query)
            return self.watch(query)

    def range(self, query):
        keys = sorted(key for key in self.items if key > query.get("after", ""))
        page = [self.items[key] for key in keys[:5]]
        return 200, {"items": page, "has-more": len(keys) > len(page), "at": self.revision}

    def watch(self, query):
        after, era = int(query["after"]), self.era
        events = []
        if after > self.revision:
            return 410, {}

        def changed():
            nonlocal events
            events = [item for item in self.history if item["revision"] > after]
            return events or self.mode != "up" or after < self.history_from or era != self.era

        self.lock.wait_for(changed, timeout=int(query["wait-ms"]) / 1000)
        if self.mode != "up" or era != self.era:
            return None, None
        if after < self.history_from:
            return 410, {}
        return 200, {"events": events, "at": self.revision}


class Backend:
    """A backend that accepts flows, acknowledges data and records misrouted packets."""

    def __init__(self, fleet, address, service, zone="a", warm_up_ms=0):
        self.fleet, self.address, self.service = fleet, address, service
        self.zone, self.warm_up_ms = zone, warm_up_ms
        self.unresponsive = False  # Ignores data packets.
        self.overloaded = False  # Rejects connection attempts with a reset.
        self.slow = False  # Delays each response by SLOW_REPLY_DELAY_SECONDS.
        fleet.next_id += 1
        self.id = fleet.next_id
        self.key = f"servers/i-{self.id:x}"
        self.flows, self.misrouted_flows, self.openings = {}, [], []
        self.alive = True
        self.started = time.monotonic()
        self.sequence = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, BACKEND_PORT))
        self.listener = socket.create_server((address, BACKEND_PORT))
        self.register("ready")
        threading.Thread(target=self.run, daemon=True).start()

    def register(self, state):
        self.sequence += 1
        self.fleet.store.put(self.key, {
            "service": self.service, "address": f"{self.address}:{BACKEND_PORT}",
            "zone": self.zone, "version": "v1", "capacity": 2, "state": state,
            "warmup-left-ms": self.warm_up_ms, "sequence": self.sequence})

    def drain(self):
        self.register("draining")

    def crash(self):
        """Closes the sockets without announcing a shutdown, so that the address can be reused."""
        self.alive = False
        try:
            self.socket.shutdown(socket.SHUT_RDWR)  # Wakes run(), which keeps the port in use.
        except OSError:
            pass  # The socket is not connected.
        self.socket.close()
        self.listener.close()

    def run(self):
        while True:
            try:
                datagram = self.socket.recv(2048)
            except OSError:
                return
            if not datagram:
                return  # Shut down.
            self.on_datagram(datagram)

    def on_datagram(self, datagram):
        target, packet = struct.unpack("!Q", datagram[:8])[0], datagram[8:]
        _, flags, echo, _, sequence, _, source, port, source_port, destination = \
            HEADER.unpack(packet[:HEADER.size])
        if target not in (0, self.id):
            return  # Addressed to another backend of this address; 0 addresses any.
        flow = (source, source_port, destination, port)
        if self.slow:
            time.sleep(SLOW_REPLY_DELAY_SECONDS)
        if flags & SYN and self.overloaded:
            self.reply(flow, echo, RST, 0, 0)
        elif flags & SYN:
            self.openings.append((time.monotonic(), flow))
            self.flows[flow] = 1000 + self.id
            self.reply(flow, echo, SYN | ACK, self.flows[flow], sequence + 1)
        elif flow in self.flows:
            data = packet[HEADER.size:]
            self.flows[flow] += 10 if data and not self.unresponsive else 0
            if data and not self.unresponsive:
                self.reply(flow, echo, ACK, self.flows[flow], sequence + len(data))
        else:
            self.misrouted_flows.append(flow)
            self.reply(flow, echo, RST, 0, 0)

    def reply(self, flow, echo, flags, sequence, acknowledged):
        source, source_port, destination, port = flow
        header = HEADER.pack(1, flags, echo, 0, sequence, acknowledged & 0xffffffff, destination,
                             source_port, port, source)
        try:
            self.socket.sendto(header, (socket.inet_ntoa(struct.pack("!I", source)),
                                      self.fleet.data_port))
        except OSError:
            pass


class Client:
    """Opens flows and sends data on them through given daemons."""

    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((address, fleet.data_port))
        self.next_port = 20000
        self.received = {}  # By local port: latest (flags, echo, seq, ack, sent by a daemon).
        self.lock = threading.Condition()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            packet = self.socket.recv(2048)
            total, flags, echo, _, sequence, acknowledged, _, port, _, _ = \
                HEADER.unpack(packet[:HEADER.size])
            with self.lock:
                self.received[port] = (flags, echo, sequence, acknowledged, total == 0)
                self.lock.notify_all()

    def send(self, daemon, port, flags, echo, sequence, acknowledged, to, data=b""):
        address, to_port = to
        header = HEADER.pack(1, flags, echo, len(data), sequence, acknowledged,
                             address_to_int(self.address), to_port, port, address_to_int(address))
        self.socket.sendto(header + data, (daemon.address, self.fleet.data_port))

    def exchange(self, daemons, port, flags, echo, sequence, acknowledged, to, data=b"",
                 waits=(0.2, 0.4, 0.8)):
        """Sends a packet, retransmitting it after each wait through the next daemon.

        Returns the response, or None on timeout."""
        with self.lock:
            self.received.pop(port, None)
        for attempt, wait in enumerate(waits):
            opening = flags & SYN
            self.send(daemons[attempt % len(daemons)], port, flags, echo, sequence,
                      attempt if opening else acknowledged, to, data)
            with self.lock:
                if self.lock.wait_for(lambda: port in self.received, timeout=wait):
                    return self.received[port]
        return None

    def open(self, daemons, to):
        """Opens a flow. Returns its state, or None if it was refused or timed out."""
        self.next_port += 1
        port = self.next_port
        response = self.exchange(daemons, port, SYN, 0, 100, 0, to)
        if response is None or response[0] & RST:
            return None
        flow = {"port": port, "echo": response[1], "ack": response[2] + 1, "seq": 101, "to": to}
        return flow

    def send_data(self, daemons, flow, waits=(0.2, 0.4, 0.8)):
        """Sends ten bytes on a flow.

        Returns "ok", "reset" (by the load balancer), "backend_reset" or "timeout"."""
        response = self.exchange(daemons, flow["port"], ACK, flow["echo"], flow["seq"],
                                 flow["ack"], flow["to"], b"0123456789", waits)
        if response is None:
            return "timeout"
        if response[0] & RST:
            return "reset" if response[4] else "backend_reset"
        flow["echo"], flow["ack"], flow["seq"] = response[1], response[2], response[3]
        return "ok"


class Daemon:
    """A cobaltgauged process with its settings and log files."""

    def __init__(self, fleet, name, address, seeds):
        self.fleet, self.name, self.address, self.seeds = fleet, name, address, seeds
        self.settings = os.path.join(fleet.directory, name + ".toml")
        self.log = os.path.join(fleet.directory, name + ".log")
        self.process = None
        self.write_settings()
        self.start()

    def write_settings(self, level="info"):
        fleet = self.fleet
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f'''[daemon]
name = "{self.name}"
zone = "a"
[steering]
mode = "token"
stop_grace_ms = 6000
policy_file = "{fleet.policy}"
[data]
listen = "{self.address}:{fleet.data_port}"
[readiness]
listen = "{self.address}:{fleet.ready_port}"
[cluster]
key = "key of the tests, no secret"
listen = "{self.address}:{fleet.peer_port}"
seeds = "{','.join(seed + ':1' for seed in self.seeds)}"
[platform]
address = "{fleet.store.address}"
[admin]
listen = "{self.address}:{fleet.admin_port}"
[log]
level = "{level}"
''')

    def start(self):
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(
                [os.path.join(self.fleet.build, "cobaltgauged"), "--settings", self.settings],
                stdout=log, stderr=log)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def send_signal(self, signal_number):
        self.process.send_signal(signal_number)

    def get(self, port, path):
        try:
            connection = http.client.HTTPConnection(self.address, port, timeout=2)
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except OSError:
            return 0, ""

    def is_ready(self):
        return self.get(self.fleet.ready_port, "/ready")[0] == 200

    def metrics(self):
        return self.get(self.fleet.admin_port, "/metrics")[1]

    def log_lines(self, event):
        with open(self.log, encoding="utf-8") as log:
            return [line for line in log if f"event={event} " in line + " "]


class TokenFleet:
    """A store, daemons and backends on a loopback network reserved for this run."""

    def __init__(self, build, directory, policy):
        self.build, self.directory, self.policy = build, directory, policy
        self.network = LoopbackNetwork()
        self.data_port, self.ready_port = self.network.allocate_port(), self.network.allocate_port()
        self.peer_port, self.admin_port = self.network.allocate_port(), self.network.allocate_port()
        self.store = Store(self.host_address(0, 1))
        self.next_id = 0x1000
        self.daemons, self.backends = [], []
        self.version = 0
        self.services = []  # In the format of the store's configuration item.

    def host_address(self, net, host):
        """Returns an address of the reserved loopback network."""
        return self.network.host_address(net, host)

    def publish(self, routes):
        """Publishes a new configuration version; `routes` holds (address, port, service) tuples."""
        self.version += 1
        self.store.put("op/config", {
            "version": self.version, "services": self.services,
            "limits": {"idle-timeout-ms": 15000},
            "routes": [{"name": f"r-{port}", "host": address, "path-prefix": f"/{port}/",
                        "service": service} for address, port, service in routes]})

    def start_daemon(self, address, seeds):
        daemon = Daemon(self, f"lb-{len(self.daemons) + 1}", address, seeds)
        self.daemons.append(daemon)
        return daemon

    def evacuate(self, zone):
        self.store.put(f"op/evacuate/{zone}", {})

    def restore_zone(self, zone):
        self.store.remove(f"op/evacuate/{zone}")

    def start_backend(self, address, service, zone="a", warm_up_ms=0):
        backend = Backend(self, address, service, zone, warm_up_ms)
        self.backends.append(backend)
        return backend

    def stop(self):
        for daemon in self.daemons:
            if daemon.process.poll() is None:
                daemon.send_signal(signal.SIGCONT)
                daemon.kill()
        self.network.close()
