"""Fault soak: daemons that steer by tokens as real processes, under random faults from outside.

usage: scripts/soak [--minutes N] [--seed S] [--build DIR]

Processes are stopped, paused, killed and started again by signal; each daemon reaches the store
through a proxy on loopback that delays, resets, cuts one way or silences; the store is busy,
throttling, silent, forgets its history or comes back from an older copy; back ends come, leave,
crash and re-use addresses; routes come and go. Promises are checked from what callers and back ends see. Every 15 s all faults heal and
the fleet must be whole again. Ends only what it started. Exit status 0 where every promise held.
"""

import argparse
import os
import random
import signal
import sys
import tempfile
import threading
import time

from store_proxy import Proxy
from token_fleet import Caller, TokenFleet, wait_until

ROUTE = ("10.90.0.1", 443)
EXTRA = [("10.90.0.2", port) for port in (443, 8443, 9443)]
ROUND_SECONDS = 10.0
HEAL_SECONDS = 5.0
OLDEST_COPY = 6.0    # The store comes back from a copy that is at most so old.
LONGEST_AWAY = 1.5   # It is away for at most so long before.
WRITTEN_AGAIN = 1.0  # What it lost is written again within this.
LEAVING_BOUND = 3.0  # A back end that leaves gets no new flow after this.
EVACUATION_BOUND = 5.0  # Back ends of a zone that is taken out get no new flow after this.
COLD_PER_SECOND = 4  # Openings a second that a cold back end bears, from all daemons.
COLD_BOUND = COLD_PER_SECOND * 1.5 + 5  # The most that it may get in any second.
WARM_UP_MS = 2000
FEWEST_IN_ZONE = 3  # Back ends that stay in zone "a".
IN_TOUCH = 4.0       # A daemon without faults for this long must keep every bound.
FLOWS = 24


class Soak:
    def __init__(self, fleet, seed):
        self.fleet, self.random = fleet, random.Random(seed)
        self.broken, self.counts = [], {}
        self.touched = {}  # By daemon: when a fault on it ended, or None while one lasts.
        self.store_touched = time.monotonic()
        self.copies = []  # Of the store, with their times, oldest first.
        self.left = {}     # By back end: when it announced its end.
        self.evacuated_at = None  # When zone "b" was taken out.
        self.extra = set()
        self.next_host = 10
        self.proxies = {}

    def note(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1
        print(f"{time.monotonic() - self.began:8.2f} {what}")

    def fail(self, what):
        self.broken.append(what)
        print(f"{time.monotonic() - self.began:8.2f} BROKEN {what}")

    def start(self):
        self.began = time.monotonic()
        fleet = self.fleet
        fleet.services = [{"name": "web", "warmup-s": WARM_UP_MS / 1000,
                           "warmup-per-s": float(COLD_PER_SECOND)}]
        self.publish()
        for host in range(1, 7):
            fleet.start_backend(fleet.at(2, host), "web", "ab"[host % 2])
        host, port = fleet.store.address.split(":")
        for number in range(2, 5):
            proxy = Proxy((host, int(port)))
            store, fleet.store.address = fleet.store.address, proxy.address
            daemon = fleet.start_daemon(fleet.at(0, number), [fleet.at(0, 2), fleet.at(0, 3)])
            fleet.store.address = store
            self.proxies[daemon] = proxy
            self.touched[daemon] = time.monotonic()
        for daemon in fleet.daemons:
            wait_until(daemon.is_ready, "ready at start")
        self.caller = Caller(fleet, fleet.at(1, 1))
        self.flows = []

    def publish(self):
        self.fleet.publish([(*ROUTE, "web")] + [(*route, "web") for route in sorted(self.extra)])

    # Faults. Each returns what heals it.

    def pause(self, daemon):
        daemon.send_signal(signal.SIGSTOP)
        return lambda: daemon.send_signal(signal.SIGCONT)

    def kill(self, daemon):
        daemon.kill()
        return daemon.start

    def stop(self, daemon):
        daemon.send_signal(signal.SIGTERM)

        def restart():
            if daemon.process.wait(10) != 0:
                self.fail(f"{daemon.name} ended with {daemon.process.returncode}")
            daemon.start()

        return restart

    def spoil(self, daemon):
        proxy = self.proxies[daemon]
        mode = self.random.choice(["delay", "deaf", "mute", "refuse", "reset", "hush"])
        if mode in ("reset", "hush"):
            proxy.reset() if mode == "reset" else proxy.hush()
            return lambda: None
        proxy.mode = mode

        def heal():
            proxy.mode = "up"

        return heal

    def daemon_fault(self):
        whole = [daemon for daemon in self.fleet.daemons if self.touched[daemon] is not None]
        if len(whole) < 2:
            return
        daemon = self.random.choice(whole)
        fault = self.random.choice([self.pause, self.kill, self.stop, self.spoil, self.spoil])
        self.note(f"{fault.__name__} {daemon.name}")
        self.touched[daemon] = None
        heal = fault(daemon)
        threading.Timer(self.random.uniform(0.2, 3.0), self.heal_daemon, (daemon, heal)).start()

    def heal_daemon(self, daemon, heal):
        heal()
        self.touched[daemon] = time.monotonic()

    def store_fault(self):
        store = self.fleet.store
        if self.store_touched is None:
            return
        mode = self.random.choice(["busy", "throttled", "silent", "compact", "return", "return"])
        if mode == "return":
            self.store_return()
            return
        self.note(f"store {mode}")
        if mode == "compact":
            store.compact()
            return
        store.set_mode(mode)
        self.store_touched = None

        def heal():
            store.set_mode("up")
            self.store_touched = time.monotonic()

        threading.Timer(self.random.uniform(0.3, 3.0), heal).start()

    def keep_copy(self):
        now = time.monotonic()
        self.copies.append((now, self.fleet.store.copy()))
        self.copies = [(at, copy) for at, copy in self.copies if now - at < OLDEST_COPY]

    def store_return(self):
        """The store is away for a moment, comes back from a copy, and is told again what it lost."""
        store = self.fleet.store
        at, copy = self.random.choice(self.copies)
        again = self.random.uniform(0, WRITTEN_AGAIN)
        self.note(f"store comes back from {time.monotonic() - at:.1f} s ago, "
                  f"revision {copy[2]} after {store.revision}")
        self.store_touched = None
        store.set_mode("away")

        def come_back():
            store.come_back_from(copy)
            store.set_mode("up")
            threading.Timer(again, write_again).start()

        def write_again():
            store.write_again()
            self.copies = []
            self.store_touched = time.monotonic()

        threading.Timer(self.random.uniform(0, LONGEST_AWAY), come_back).start()

    def backend_change(self):
        staying = self.staying()
        kind = self.random.choice(["add", "leave", "crash", "mute", "full", "slow"])
        if kind == "add" or len(staying) < 4:
            self.next_host += 1
            self.note("add back end")
            zone = "ab"[self.next_host % 2]
            self.fleet.start_backend(self.fleet.at(2, self.next_host), "web", zone, WARM_UP_MS)
            return
        backend = self.random.choice(staying)
        ends = kind in ("leave", "crash")
        if ends and backend.zone == "a" and self.count_in("a") < FEWEST_IN_ZONE:
            return  # Zone "b" may be out or be taken out: something must be left to serve.
        self.note(f"{kind} back end {backend.id:x}")
        if not ends:
            self.spoil_for_a_while([backend], kind)
        elif kind == "leave":
            backend.leave()
            self.left[backend] = time.monotonic()
        else:
            backend.crash()
            threading.Timer(3.6, self.fleet.store.remove, (backend.key,)).start()

    def spoil_for_a_while(self, backends, how):
        """Lets back ends be `mute`, `full` or `slow`, one of their attributes."""
        for backend in backends:
            setattr(backend, how, True)
            threading.Timer(self.random.uniform(0.5, 3.0), setattr, (backend, how, False)).start()

    def overload(self):
        """Everything is full at once, while callers go on."""
        self.note("all back ends are full")
        self.spoil_for_a_while(self.staying(), "full")

    def zone_crash(self):
        """All back ends of zone "b" die at one moment and come back cold."""
        lost = [backend for backend in self.staying() if backend.zone == "b"]
        if self.count_in("a") < FEWEST_IN_ZONE or not lost:
            return
        self.note(f"crash zone b, {len(lost)} back ends")
        for backend in lost:
            backend.crash()
            threading.Timer(3.6, self.fleet.store.remove, (backend.key,)).start()
            self.next_host += 1
            self.fleet.start_backend(self.fleet.at(2, self.next_host), "web", "b", WARM_UP_MS)

    def staying(self):
        return [b for b in self.fleet.backends if b.alive and b not in self.left]

    def count_in(self, zone):
        return sum(backend.zone == zone for backend in self.staying())

    def zone_change(self):
        if self.evacuated_at is not None:
            self.note("zone b is taken back")
            self.evacuated_at = None
            self.fleet.take_back("b")
        elif self.count_in("a") >= FEWEST_IN_ZONE:
            self.note("zone b is taken out")
            self.fleet.evacuate("b")
            self.evacuated_at = time.monotonic()

    def route_change(self):
        route = self.random.choice(EXTRA)
        self.extra ^= {route}
        self.note(f"routes {sorted(port for _, port in self.extra)}")
        self.publish()

    # Load and promises.

    def targets(self):
        ready = [daemon for daemon in self.fleet.daemons if self.touched[daemon] is not None]
        self.random.shuffle(ready)
        return ready or self.fleet.daemons

    def holder(self, flow):
        key = (flow["port"], flow["to"][1])
        for backend in self.fleet.backends:
            if any((f[1], f[3]) == key for f in backend.flows):
                return backend
        return None

    def load(self):
        if len(self.flows) < FLOWS:
            flow = self.caller.open(self.targets(), ROUTE)
            if flow is not None:
                flow["opened"] = time.monotonic()
                self.flows.append(flow)
            return
        flow = self.random.choice(self.flows)
        answer = self.caller.ask(self.targets(), flow)
        holder = self.holder(flow)
        old = time.monotonic() - flow["opened"] > 50
        if answer == "reset" and holder is not None and holder.alive and not old:
            self.fail(f"a flow of living back end {holder.id:x} was reset, port {flow['port']}")
        if answer != "ok" and (holder is None or not holder.alive) or answer == "reset" or old:
            self.flows.remove(flow)

    def check_strays(self):
        for backend in self.fleet.backends:
            for flow in backend.strays:
                self.fail(f"back end {backend.id:x} got a packet of flow {flow}, not its own")
            backend.strays.clear()

    def check_leaving(self):
        for backend, left in self.left.items():
            for opened, _ in backend.openings:
                if opened > left + LEAVING_BOUND and self.store_quiet_since(left):
                    self.fail(f"leaving back end {backend.id:x} got a flow {opened - left:.1f} s later")
            backend.openings = [o for o in backend.openings if o[0] <= left + LEAVING_BOUND]

    def check_evacuated(self):
        since = self.evacuated_at
        if since is None or not self.store_quiet_since(since):
            return
        for backend in self.fleet.backends:
            late = [at - since for at, _ in backend.openings if at > since + EVACUATION_BOUND]
            if backend.zone == "b" and late:
                self.fail(f"back end {backend.id:x} of the zone that is out got a flow "
                          f"{late[0]:.1f} s later")

    def check_cold(self):
        for backend in self.fleet.backends:
            cold_until = backend.started + WARM_UP_MS / 1000
            times = [at for at, _ in backend.openings if backend.warm_up_ms and at < cold_until]
            for first in times:
                count = sum(first <= at < first + 1 for at in times)
                if count > COLD_BOUND:
                    self.fail(f"cold back end {backend.id:x} got {count} flows in a second")

    def store_quiet_since(self, then):
        daemons = [self.touched[daemon] for daemon in self.fleet.daemons]
        quiet = [self.store_touched, *daemons]
        return all(end is not None and end < then - IN_TOUCH for end in quiet)

    def check_whole(self):
        """After every fault has healed: each daemon serves, with the newest view."""
        wait_until(lambda: self.store_touched is not None
                   and all(t is not None for t in self.touched.values()), "faults heal")
        time.sleep(HEAL_SECONDS)
        version = self.fleet.version
        for daemon in self.fleet.daemons:
            if not daemon.is_ready():
                self.fail(f"{daemon.name} is not ready though all has healed")
            if f"cobaltgauge_routes_version {version}\n" not in daemon.metrics():
                self.fail(f"{daemon.name} does not have version {version} in force")
            if self.caller.open([daemon], ROUTE) is None:
                self.fail(f"{daemon.name} does not place an opening")
            for route in EXTRA:
                served = self.caller.open([daemon], route) is not None
                if served != (route in self.extra):
                    self.fail(f"{daemon.name} {'serves' if served else 'refuses'} {route}")
        for flow in list(self.flows):
            holder = self.holder(flow)
            young = time.monotonic() - flow["opened"] < 45
            if holder is not None and holder.alive and young:
                answer = self.caller.ask(self.targets(), flow, (0.2, 0.4, 0.8, 1.6))
                if answer != "ok":
                    self.fail(f"a flow of living back end {holder.id:x} is {answer}")
        self.end_left()

    def end_left(self):
        for backend in list(self.left):
            if time.monotonic() - self.left[backend] > 8:
                self.fleet.store.remove(backend.key)
                backend.crash()
                del self.left[backend]
                self.flows = [flow for flow in self.flows if self.holder(flow) is not backend]

    def run(self, seconds):
        self.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.broken:
            round_end = time.monotonic() + ROUND_SECONDS
            next_fault = time.monotonic() + 1
            while time.monotonic() < round_end and not self.broken:
                self.load()
                if not self.copies or time.monotonic() - self.copies[-1][0] > 0.5:
                    self.keep_copy()
                if time.monotonic() >= next_fault:
                    next_fault = time.monotonic() + self.random.uniform(0.2, 1.5)
                    self.random.choice([self.daemon_fault, self.daemon_fault, self.store_fault,
                                        self.backend_change, self.route_change,
                                        self.zone_change, self.zone_crash, self.overload])()
                self.check_strays()
                self.check_leaving()
                self.check_evacuated()
                self.check_cold()
            self.check_whole()
            self.check_strays()


def main():
    root = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--minutes", type=float, default=2)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--build", default=os.path.join(root, "build"))
    options = parser.parse_args()
    print(f"seed {options.seed}")
    policy = os.path.abspath(os.path.join(root, "deploy", "placement.lua"))
    directory = tempfile.mkdtemp(prefix="cobaltgauge-soak-")
    fleet = TokenFleet(os.path.abspath(options.build), directory, policy)
    soak = Soak(fleet, options.seed)
    try:
        soak.run(options.minutes * 60)
    except AssertionError as error:
        soak.fail(str(error))
    finally:
        fleet.stop()
    print(f"seed {options.seed}: {sum(soak.counts.values())} faults and changes, "
          f"{'all promises held' if not soak.broken else 'BROKEN, logs in ' + directory}")
    return 1 if soak.broken else 0


if __name__ == "__main__":
    sys.exit(main())
