"""Stand-ins for the platform, the targets and the clients of a small deployment.

Everything runs on a loopback network that is reserved for the run. The daemons are the project's
own program, started with the command of the deploy file and with settings that are made from the
deploy file's template. The stand-ins follow the users' pages: PROTOCOL.md, DEPLOY.md and the pages
of news. Simplified: a request and its answer fit into one packet each, and a target runs each
request at once.
"""

import base64
import collections
import heapq
import http.client
import http.server
import os
import random
import re
import selectors
import shlex
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse
import zlib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from loopback import LoopbackNetwork  # noqa: E402

SYN, ACK, FIN, RST = 64, 4, 8, 1
HEADER = struct.Struct("<IBIHIIIHHI")  # sum, flags, echo, len, seq, ack, src, dport, sport, dst
HEARTBEAT_SECONDS = 1.2
HISTORY_SECONDS = 20.0
PAGE_ITEMS, PAGE_BYTES = 500, 1 << 20  # Of a listing.
SYN_COPIES_SECONDS = (0.2, 0.6)
SYN_LIMIT_SECONDS = 1.4
RETRANSMIT_SECONDS = (0.2, 0.4, 0.8, 1.6, 1.6)
PROBE_SECONDS = 0.5
BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 4000, "ack-timeout-ms": 5000,
    "catch-up-s": 4, "drain-timeout-ms": 3000, "grace-period-s": 6, "loss-slack-ms": 200,
    "config-apply-ms": 3000, "rollback-slack-ms": 250, "max-stretch-ms": 12000,
    "recovery-s": 12, "flow-ms": 2000, "max-flow-s": 60}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


# Encodings


def pack(value):
    """Encodes a value as MessagePack, the encoding that deploy/wire.toml names."""
    if value is None:
        return b"\xc0"
    if isinstance(value, bool):
        return b"\xc3" if value else b"\xc2"
    if isinstance(value, int):
        return bytes([value]) if 0 <= value < 128 else b"\xcf" + struct.pack(">Q", value)
    if isinstance(value, str):
        raw = value.encode()
        head = bytes([0xa0 | len(raw)]) if len(raw) < 32 else b"\xdb" + struct.pack(">I", len(raw))
        return head + raw
    if isinstance(value, list):
        return b"\xdd" + struct.pack(">I", len(value)) + b"".join(map(pack, value))
    parts = [pack(key) + pack(item) for key, item in value.items()]
    return b"\xdf" + struct.pack(">I", len(parts)) + b"".join(parts)


def address_to_int(address):
    return struct.unpack("!I", socket.inet_aton(address))[0]


def int_to_address(number):
    return socket.inet_ntoa(struct.pack("!I", number))


def build_packet(flags, echo, sequence, acknowledged, source, destination, data=b""):
    """Builds a packet of a client or target. `source`, `destination`: (address, port)."""
    body = HEADER.pack(0, flags, 0, len(data), sequence & 0xffffffff, acknowledged & 0xffffffff,
                       address_to_int(source[0]), destination[1], source[1],
                       address_to_int(destination[0]))
    total = zlib.crc32(b"key of the stand-ins" + body + data) | 1
    return HEADER.pack(total, flags, echo, len(data), sequence & 0xffffffff,
                       acknowledged & 0xffffffff, address_to_int(source[0]), destination[1],
                       source[1], address_to_int(destination[0])) + data


class Packet:
    def __init__(self, raw):
        (self.sum, self.flags, self.echo, length, self.seq, self.ack, source, dport, sport,
         destination) = HEADER.unpack(raw[:HEADER.size])
        self.data = raw[HEADER.size:HEADER.size + length]
        self.source = (int_to_address(source), sport)
        self.destination = (int_to_address(destination), dport)


def lookup(fields, scopes, name):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def render(text, scopes, key="", last=True):
    """Fills a template as DEPLOY.md describes; forms that the template doesn't use are left out."""
    out, at = [], 0
    pattern = re.compile(r"\{\{([#^/]?)([^}]*)\}\}")
    while True:
        found = pattern.search(text, at)
        if not found:
            return "".join(out) + text[at:]
        out.append(text[at:found.start()])
        kind, name = found.groups()
        at = found.end()
        if kind:
            end_mark = "{{/" + name + "}}"
            end = text.index(end_mark, at)
            inner, at = text[at:end], end + len(end_mark)
            value = lookup(None, scopes, name)
            if kind == "^":
                out.append("" if value else render(inner, scopes))
            elif isinstance(value, dict):
                items = list(value.items())
                out += [render(inner, scopes + [item], item_key, i == len(items) - 1)
                        for i, (item_key, item) in enumerate(items)]
            elif isinstance(value, list):
                out += [render(inner, scopes + [item], str(i), i == len(value) - 1)
                        for i, item in enumerate(value)]
            elif value:
                out.append(render(inner, scopes + [value]))
        elif name == "@":
            out.append(key)
        elif name == ",":
            out.append("" if last else ",")
        else:
            value = lookup(None, scopes, name)
            out.append("" if value is None else ",".join(map(str, value))
                       if isinstance(value, list) else str(value))


# The record


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.out = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.out.write(f"{self.now():8.3f} {text}\n")
            self.out.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# The platform's store


class Store:
    """The store: linearizable, one counter of revisions, watches with a history of 20 s.

    A write that changes only `sequence` refreshes an entry without counting as a change."""

    def __init__(self, world):
        self.world = world
        self.changed = threading.Condition()
        self.items, self.history, self.revision, self.history_from = {}, [], 1, 0
        self.contents = {}  # By key: the entry without its `sequence`.
        self.watchers = {}  # By listener name: time of the latest watch.
        self.answered = collections.Counter()  # By listener name: watches.
        self.bytes_sent = 0

    def listen(self, address, port, name):
        """Opens a listener of its own for one machine, so that the store knows who calls."""
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                status, body = store.respond(name, self.path)
                raw = pack(body)
                store.bytes_sent += len(raw)
                self.send_response(status)
                self.send_header("Content-Type", "application/msgpack")
                self.send_header("Content-Length", str(len(raw)))
                self.end_headers()
                self.wfile.write(raw)

            def log_message(self, *_):
                pass

        class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

        server = Server((address, port), Handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return f"{address}:{port}"

    def put_bytes(self, key, raw):
        with self.changed:
            self.revision += 1
            item = {"key": key, "value": base64.b64encode(raw).decode(),
                    "revision": self.revision, "created": self.revision, "lease": 0}
            self.items[key] = item
            self.contents[key] = raw
            self.history.append((time.monotonic(), item))
            self.changed.notify_all()
            return self.revision

    def put_entry(self, key, entry):
        """Writes a target's entry."""
        content = {name: value for name, value in entry.items() if name != "sequence"}
        with self.changed:
            if key in self.items and self.contents.get(key) == content:
                self.items[key] = dict(self.items[key],
                                       value=base64.b64encode(pack(entry)).decode())
                return
            self.put_bytes(key, pack(entry))
            self.contents[key] = content

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.contents.pop(key, None)
            self.revision += 1
            self.history.append((time.monotonic(),
                                 {"key": key, "revision": self.revision, "gone": True}))
            self.changed.notify_all()

    def respond(self, name, path):
        parts = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
        prefix = query.get("path-prefix", "")
        with self.changed:
            if parts.path == "/kv-range":
                return self.range(prefix, query.get("after", ""))
            if parts.path != "/kv-watch":
                return 404, {}
            return self.watch(name, int(query["after"]), prefix, int(query["wait-ms"]) / 1000)

    def range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys[:PAGE_ITEMS]:
            size += len(self.items[key].get("value", ""))
            if page and size > PAGE_BYTES:
                break
            page.append(self.items[key])
        return 200, {"items": page, "has-more": len(keys) > len(page), "at": self.revision}

    def watch(self, name, after, prefix, wait):
        self.watchers[name] = time.monotonic()

        def events():
            return [item for _, item in self.history
                    if item["revision"] > after and item["key"].startswith(prefix)]

        self.changed.wait_for(events, timeout=wait)
        self.watchers[name] = time.monotonic()
        self.answered[name] += 1
        self.forget()
        if after < self.history_from:
            return 410, {}
        return 200, {"events": events(), "at": self.revision}

    def forget(self):
        limit = time.monotonic() - HISTORY_SECONDS
        while self.history and self.history[0][0] < limit:
            self.history_from = self.history.pop(0)[1]["revision"]

    def wait_answered(self, name):
        """Waits until the next watch of a machine has been answered."""
        before = self.answered[name]
        self.world.wait_until(lambda: self.answered[name] > before, "a watch is answered")

    def latest_reader(self):
        """Returns the name of the machine that watched last."""
        with self.changed:
            return max(self.watchers, key=self.watchers.get)


# Targets and clients: one loop for all their sockets


class Loop:
    def __init__(self):
        self.selector = selectors.DefaultSelector()
        self.timers, self.count = [], 0
        self.lock = threading.Lock()
        self.wake_reader, self.wake_writer = socket.socketpair()
        self.wake_reader.setblocking(False)
        self.add(self.wake_reader, lambda: self.wake_reader.recv(4096))
        threading.Thread(target=self.run, daemon=True).start()

    def add(self, sock, handler):
        sock.setblocking(False)
        self.selector.register(sock, selectors.EVENT_READ, handler)

    def remove(self, sock):
        self.selector.unregister(sock)

    def after(self, seconds, call):
        with self.lock:
            self.count += 1
            heapq.heappush(self.timers, (time.monotonic() + seconds, self.count, call))
        self.wake_writer.send(b"x")

    def run(self):
        while True:
            with self.lock:
                wait = self.timers[0][0] - time.monotonic() if self.timers else 1.0
            for key, _ in self.selector.select(max(0.0, min(wait, 1.0))):
                try:
                    key.data()
                except (BlockingIOError, OSError):
                    pass
            while True:
                with self.lock:
                    due = self.timers and self.timers[0][0] <= time.monotonic()
                    call = heapq.heappop(self.timers)[2] if due else None
                if call is None:
                    break
                call()


class Target:
    """A target: records itself in the store, holds flows and runs requests."""

    def __init__(self, world, address, port, service, zone, cold_seconds=0.0):
        self.warm_at = time.monotonic() + cold_seconds
        self.world, self.service, self.zone = world, service, zone
        self.address, self.port = address, port
        self.id = random.getrandbits(40) | 1
        self.key = f"servers/i-{self.id:010x}"
        self.sequence, self.state, self.registered = 0, "ready", True
        self.flows = {}
        self.openings = []  # Times at which a SYN arrived.
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind((address, port))
        self.listener = socket.create_server((address, port), backlog=64)
        threading.Thread(target=self.serve_health, daemon=True).start()
        world.loop.add(self.socket, self.receive)
        self.beat()

    def entry(self):
        return {"service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "capacity": 2, "state": self.state,
                "warmup-left-ms": max(0, int((self.warm_at - time.monotonic()) * 1000)),
                "sequence": self.sequence}

    def beat(self):
        if not self.registered:
            return
        self.sequence += 1
        self.world.store.put_entry(self.key, self.entry())
        self.world.loop.after(HEARTBEAT_SECONDS, self.beat)

    def crash(self):
        """Ends without a word; its entry stays until it lapses."""
        self.registered = False
        self.world.loop.remove(self.socket)
        self.socket.close()
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def leave_silently(self):
        """Takes its entry away without `draining` and serves on."""
        self.registered = False
        self.world.store.remove(self.key)

    def serve_health(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.close()

    def receive(self):
        while True:
            raw = self.socket.recv(4096)
            if struct.unpack("!Q", raw[:8])[0] in (0, self.id):
                self.on_packet(Packet(raw[8:]))

    def send(self, packet, flags, sequence, acknowledged, data=b""):
        raw = build_packet(flags, packet.echo, sequence, acknowledged, packet.destination,
                           packet.source, data)
        self.socket.sendto(raw, (packet.source[0], self.world.data_port))

    def on_packet(self, packet):
        key = (packet.source, packet.destination)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = self.flows[key] = {"isn": random.getrandbits(31), "open": False,
                                          "next": packet.seq + 1, "sent": 0, "answer": None}
                self.openings.append(self.world.record.now())
                self.world.record.write(f"target {self.key} took SYN of {packet.source}")
            self.send(packet, SYN | ACK, flow["isn"], packet.seq + 1)
            return
        if flow is None:
            if not packet.flags & RST:
                self.send(packet, RST, packet.ack, packet.seq)
            return
        flow["open"] = flow["open"] or packet.ack == flow["isn"] + 1
        if packet.flags & FIN:
            self.send(packet, ACK, flow["isn"] + 1 + flow["sent"], packet.seq + 1)
            del self.flows[key]
        elif packet.data and packet.seq == flow["next"]:
            flow["next"] += len(packet.data)
            identity = packet.data.split(b"Request-Id: ")[1].split(b"\r\n")[0]
            self.world.record.write(f"target {self.key} ran request {identity.decode()}")
            body = b"done " + identity
            flow["answer"] = (b"HTTP/1.1 200 OK\r\nServer-Signature: " + self.key.encode() +
                              b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            self.answer(packet, flow)
            flow["sent"] += len(flow["answer"])
        elif packet.data and flow["answer"]:
            flow["sent"] -= len(flow["answer"])
            self.answer(packet, flow)
            flow["sent"] += len(flow["answer"])

    def answer(self, packet, flow):
        self.send(packet, ACK, flow["isn"] + 1 + flow["sent"], flow["next"], flow["answer"])


class Flow:
    """The client's end of a flow."""

    def __init__(self, port, to):
        self.port, self.to = port, to
        self.state = "opening"  # opening, open, reset, refused, unanswered, closed
        self.echo, self.seq, self.ack = 0, random.getrandbits(31), 0
        self.opened_at = self.ended_at = None
        self.ended_by = ""
        self.waiting, self.request, self.tries = None, 0, 0
        self.answers = 0


class Client:
    """A client. Its flows go to the daemon that the router picks for each packet."""

    def __init__(self, world, address, zone):
        self.world, self.address, self.zone = world, address, zone
        self.next_port = 1024
        self.flows = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.socket.bind((address, world.data_port))
        world.loop.add(self.socket, self.receive)

    def send(self, flow, flags, sequence, acknowledged, data=b""):
        daemon = self.world.route(self, flow)
        if daemon is not None:
            raw = build_packet(flags, flow.echo, sequence, acknowledged,
                               (self.address, flow.port), flow.to, data)
            self.socket.sendto(raw, (daemon.address, self.world.data_port))

    def open(self, to):
        """Opens a flow from a new port."""
        self.next_port += 1
        flow = self.flows[self.next_port] = Flow(self.next_port, to)
        flow.began = time.monotonic()
        self.world.record.write(f"client {self.address}:{flow.port} sent SYN to {to}")
        self.send(flow, SYN, flow.seq, 0)
        for copy, at in enumerate(SYN_COPIES_SECONDS):
            self.world.loop.after(at, lambda copy=copy: self.repeat_opening(flow, copy + 1))
        self.world.loop.after(SYN_LIMIT_SECONDS, lambda: self.give_up_opening(flow))
        return flow

    def repeat_opening(self, flow, copy):
        if flow.state == "opening":
            self.send(flow, SYN, flow.seq, copy)

    def give_up_opening(self, flow):
        if flow.state == "opening":
            self.end(flow, "unanswered", "no SYN+ACK")

    def ask(self, flow):
        """Sends a request on an open flow that has none under way."""
        if flow.state != "open" or flow.waiting:
            return
        self.world.requests += 1
        flow.request = self.world.requests
        flow.tries = 0
        flow.waiting = (b"POST /tags HTTP/1.1\r\nHost: desk\r\nRequest-Id: %d\r\n"
                        b"Content-Length: 3\r\n\r\ntag" % flow.request)
        self.world.record.write(f"client {self.address}:{flow.port} sent request {flow.request}")
        self.transmit(flow, flow.request)

    def transmit(self, flow, request):
        if flow.state != "open" or not flow.waiting or flow.request != request:
            return
        if flow.tries >= len(RETRANSMIT_SECONDS):
            self.end(flow, "unanswered", "deadline")
            return
        self.send(flow, ACK, flow.seq, flow.ack, flow.waiting)
        wait = RETRANSMIT_SECONDS[flow.tries]
        flow.tries += 1
        self.world.loop.after(wait, lambda: self.transmit(flow, request))

    def end(self, flow, state, by):
        flow.state, flow.ended_by, flow.ended_at = state, by, self.world.record.now()
        self.world.record.write(f"client {self.address}:{flow.port} flow ended: {state}, {by}")

    def close(self, flow):
        if flow.state == "open":
            self.send(flow, FIN | ACK, flow.seq, flow.ack)
            flow.state = "closed"

    def receive(self):
        while True:
            packet = Packet(self.socket.recv(4096))
            flow = self.flows.get(packet.destination[1])
            if flow is not None:
                self.on_packet(flow, packet)

    def on_packet(self, flow, packet):
        if flow.state not in ("opening", "open"):
            return
        if packet.flags & RST:
            self.on_reset(flow, packet)
            return
        flow.echo = packet.echo
        if packet.flags & SYN:
            if flow.state == "opening":
                flow.state, flow.opened_at = "open", self.world.record.now()
                flow.seq, flow.ack = flow.seq + 1, packet.seq + 1
                self.send(flow, ACK, flow.seq, flow.ack)
            return
        if packet.data and packet.seq == flow.ack and flow.waiting:
            flow.ack += len(packet.data)
            flow.seq += len(flow.waiting)
            flow.waiting = None
            flow.answers += 1
            self.world.record.write(f"client {self.address}:{flow.port} got the answer to request "
                                    f"{flow.request}")
            self.send(flow, ACK, flow.seq, flow.ack)

    def on_reset(self, flow, packet):
        by_system = packet.sum == 0
        distance = (packet.seq - flow.ack) & 0xffffffff
        is_near = min(distance, 2 ** 32 - distance) <= 76800
        if flow.state == "opening":
            self.end(flow, "refused", "system" if by_system else "target")
        elif not by_system or is_near:
            self.end(flow, "reset", "system" if by_system else "target")


# Daemons and the router


class Daemon:
    """One machine of the system with its process."""

    def __init__(self, world, name, address, zone, store_address):
        self.world, self.name, self.address, self.zone = world, name, address, zone
        self.store_address = store_address
        self.settings = os.path.join(world.folder, name + ".settings")
        self.log = os.path.join(world.folder, name + ".log")
        self.process, self.is_in, self.missed = None, False, 0
        self.ends = []  # Statuses of processes that ended by themselves.
        self.stopping = False  # Is not started again.
        self.struck = False  # Killed by the test and started again.

    def write_settings(self):
        world = self.world
        fields = {
            "node-name": self.name, "role": "daemon", "machine-class": "frontend",
            "serves": ["frontend", "control"], "ip": self.address, "zone": self.zone,
            "region": "tallinn", "zones": {zone: "tallinn" for zone in world.zones},
            "bind-addrs": {"datagram-addr": f"{self.address}:{world.data_port}",
                           "readiness": f"{self.address}:{world.ready_port}",
                           "control": f"{self.address}:{world.control_port}"},
            "internal-port-range": [world.peer_port, world.peer_port + 15],
            "seed-nodes": world.seeds, "bootstrap": True, "bounds": BOUNDS,
            "hash": "steady", "forwarding-mode": "echo",
            "platform": {"address": self.store_address, "forwarding-mode": "read",
                         "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576}}
        with open(os.path.join(ROOT, world.template), encoding="utf-8") as template:
            text = render(template.read(), [fields])
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(text)

    def start(self):
        self.write_settings()
        command = [word.replace("/etc/cobaltgauge/node.json", self.settings)
                   for word in self.world.command]
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.world.folder,
                       "LANG": "C", "COBALTGAUGE_BOOT": self.settings}
        with open(self.log, "a", encoding="utf-8") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log,
                                            stderr=log)
        threading.Thread(target=self.watch, args=(self.process,), daemon=True).start()

    def watch(self, process):
        """Starts the process again, as the platform does, when it ends by itself."""
        status = process.wait()
        if self.stopping or self.world.closing:
            return
        if not self.struck:
            self.ends.append(status)
            self.world.record.write(f"daemon {self.name} ended by itself with status {status}")
        self.struck = False
        time.sleep(0.5)
        if not self.world.closing and not self.stopping:
            self.start()

    def strike(self):
        """Kills the process; the platform starts it again after a short delay."""
        self.struck = True
        self.process.kill()

    def kill(self):
        """Takes the machine away for the rest of the run."""
        self.stopping = True
        self.process.kill()
        self.process.wait()

    def probe(self):
        try:
            connection = http.client.HTTPConnection(self.address, self.world.ready_port,
                                                    timeout=PROBE_SECONDS)
            connection.request("GET", "/ready")
            answered = connection.getresponse().status == 200
            connection.close()
        except (OSError, http.client.HTTPException):
            answered = False
        self.missed = 0 if answered else self.missed + 1
        if answered != self.is_in and (answered or self.missed >= 2):
            self.is_in = answered
            self.world.record.write(f"router: {self.name} is {'in' if answered else 'out'}")


class World:
    """A small deployment: zones, daemons, targets, clients, the store and the router."""

    def __init__(self, folder, record_path):
        self.folder, self.record = folder, Record(record_path)
        self.network = LoopbackNetwork()
        self.data_port = self.network.allocate_port()
        self.ready_port = self.network.allocate_port()
        self.control_port = self.network.allocate_port()
        self.target_port = self.network.allocate_port()
        self.store_port = self.network.allocate_port()
        self.peer_port = self.network.allocate_port()
        for _ in range(15):
            self.network.allocate_port()
        self.zones = ["tln-ulemiste", "tln-lasnamae", "tln-mustamae"]
        self.daemons, self.targets, self.clients = [], [], []
        self.seeds = []
        self.requests, self.version, self.closing = 0, 0, False
        self.loop = Loop()
        self.store = Store(self)
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as deploy:
            role = tomllib.load(deploy)["roles"]["daemon"]
        self.template = role["template"]
        self.command = shlex.split(role["run"])
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            built = os.path.join(ROOT, "build", os.path.basename(self.command[0]))
            if not os.path.exists(built):
                raise CannotRun("no program: run the build line of deploy/system.toml first")
            self.command[0] = built

    def start_daemons(self, counts):
        """Starts the machines: `counts` holds the number of them in each zone."""
        for zone, count in enumerate(counts):
            for number in range(1, count + 1):
                address = self.network.host_address(zone + 1, number)
                name = f"frontend-{self.zones[zone]}-{number}"
                store = self.store.listen(self.network.host_address(0, len(self.daemons) + 1),
                                          self.store_port, name)
                self.daemons.append(Daemon(self, name, address, self.zones[zone], store))
        first = {}
        for daemon in self.daemons:
            first.setdefault(daemon.zone, daemon)
        self.seeds = [f"{daemon.address}:{self.control_port}" for daemon in first.values()]
        for daemon in self.daemons:
            daemon.start()
            threading.Thread(target=self.probe, args=(daemon,), daemon=True).start()

    def probe(self, daemon):
        while not self.closing:
            began = time.monotonic()
            daemon.probe()
            time.sleep(max(0.0, began + PROBE_SECONDS - time.monotonic()))

    def start_target_at(self, address, service, zone, cold_seconds):
        """Starts a target at the address of one that has ended."""
        target = Target(self, address, self.target_port, service, zone, cold_seconds)
        self.targets.append(target)
        return target

    def start_target(self, service, zone):
        number = len(self.targets) + 1
        target = Target(self, self.network.host_address(10 + zone, number), self.target_port,
                        service, self.zones[zone])
        self.targets.append(target)
        return target

    def start_client(self, zone):
        client = Client(self, self.network.host_address(20 + zone, len(self.clients) + 1),
                        self.zones[zone])
        self.clients.append(client)
        return client

    def publish(self, routes, idle=()):
        """Writes a configuration; `routes`: (address, port, service). Returns the version."""
        self.version += 1
        route = [{"name": f"r-{address}-{port}", "host": address, "path-prefix": f"/{port}/",
                  "type": "unsafe", "timeout-ms": 1500, "latency-goal-ms": 150, "priority": 1,
                  "service": service, "max-attempts": 2}
                 for address, port, service in list(routes) + list(idle)]
        services = [{"name": name, "health-check-path": "/health", "max-connections": 2000,
                     "protocol": "h1", "tls": False}
                    for name in sorted({service for _, _, service in routes})]
        raw = pack({"version": self.version, "routes": route, "services": services,
                    "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                               "header-timeout-ms": 3000, "idle-timeout-ms": 15000}})
        self.store.put_bytes("op/config", raw)
        self.record.write(f"store acknowledged version {self.version} ({len(raw)} bytes)")
        return self.version

    def route(self, client, flow):
        """Picks a daemon of the client's zone by rendezvous hashing (`steady`)."""
        zone = [daemon for daemon in self.daemons if daemon.zone == client.zone]
        inside = [daemon for daemon in zone if daemon.is_in]
        if not inside:
            inside = [daemon for daemon in self.daemons if daemon.is_in]
        elif len(inside) * 2 < len(zone):
            inside = zone
        key = f"{client.address}:{flow.port}>{flow.to[0]}:{flow.to[1]}"
        return max(inside, key=lambda daemon: zlib.crc32(f"{key}@{daemon.address}".encode()),
                   default=None)

    def wait_until(self, condition, description, seconds=20.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise CannotRun(f"not within {seconds} s: {description}")

    def wait_ready(self):
        self.wait_until(lambda: all(daemon.is_in for daemon in self.daemons),
                        "every daemon is ready")

    def close(self):
        self.closing = True
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
        for daemon in self.daemons:
            if daemon.process is not None:
                daemon.process.wait()
        self.network.close()


def play(case, folder):
    """Plays a case and returns its exit status: 0 held, 1 broken, 2 could not run.

    `case(world, trouble)` returns a list of sentences, one for each breach."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as temporary:
        world = None
        try:
            world = World(temporary, os.path.join(folder, "record.txt"))
            world.record.say(f"with{'' if trouble else 'out'} the disruption")
            broken = case(world, trouble)
        except CannotRun as reason:
            print(f"could not run: {reason}", flush=True)
            return 2
        finally:
            if world is not None:
                world.close()
                if os.environ.get("KEEP_LOGS"):
                    for daemon in world.daemons:
                        with open(daemon.log, encoding="utf-8") as log, \
                                open(os.path.join(os.environ["KEEP_LOGS"], daemon.name + ".log"),
                                     "w", encoding="utf-8") as out:
                            out.write(log.read())
        for sentence in broken[:20]:
            world.record.say("BROKEN: " + sentence)
        world.record.say(f"{len(broken)} breaches" if broken else "the rule held")
        return 1 if broken else 0


def count_by(values):
    return dict(collections.Counter(values))


# What the cases share

DESK, MANIFEST = ("198.18.0.1", 8443), ("198.18.0.2", 8443)
ROUTES = [(*DESK, "desk-svc"), (*MANIFEST, "manifest-svc")]


def start_small_deployment(world):
    """Starts what the sheet of ptf-checkin has: 7 daemons, 14 and 4 targets in three zones."""
    world.publish(ROUTES)
    for service, counts in (("desk-svc", (5, 5, 4)), ("manifest-svc", (2, 1, 1))):
        for zone, count in enumerate(counts):
            for _ in range(count):
                world.start_target(service, zone)
    world.start_daemons((2, 3, 2))
    for zone in range(3):
        for _ in range(2):
            world.start_client(zone)
    world.wait_ready()
    time.sleep(BOUNDS["contact-ms"] / 1000 + 1)  # Every machine is in touch from here on.


def open_flows(world, to, count):
    """Opens flows from every client and waits until they are open."""
    flows = [(client, client.open(to)) for client in world.clients for _ in range(count)]
    world.wait_until(lambda: all(flow.state == "open" for _, flow in flows),
                     "every flow is open", 5.0)
    return flows


def ask_on(flows):
    for client, flow in flows:
        client.ask(flow)
