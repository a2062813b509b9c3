"""Soak test: daemons in token steering mode as real processes, under random external faults.

usage: scripts/soak [--minutes N] [--seed S] [--build DIR]

Daemons are stopped, suspended, killed and restarted. Each daemon connects to the store through a
proxy that delays, resets, stalls or blocks the connection in one direction. The store is busy,
throttling or unresponsive, loses its history or is restored from an older snapshot. Backends start,
drain, crash and become unresponsive, overloaded or slow; addresses are reused while the store
applies a delayed write of the previous backend; another writer puts in items that name no backend;
zones and routes change. The guarantees are checked
from the view of clients and backends. After each round of faults, all faults end and the fleet must
recover. The exit status is 0 if no guarantee was violated.
"""

import argparse
import os
import random
import signal
import sys
import tempfile
import threading
import time

from foreign_entries import foreign_entries
from store_proxy import Proxy
from token_fleet import Client, TokenFleet, wait_until

ROUTE = ("10.90.0.1", 443)
EXTRA_ROUTES = [("10.90.0.2", port) for port in (443, 8443, 9443)]
ROUND_SECONDS = 10.0
RECOVERY_SECONDS = 5.0
MAX_SNAPSHOT_AGE_SECONDS = 6.0  # Of the snapshots that the store is restored from.
MAX_STORE_OUTAGE_SECONDS = 1.5  # Before a restore.
MAX_REWRITE_DELAY_SECONDS = 1.0  # From a restore until the lost writes are reapplied.
DRAINING_LIMIT_SECONDS = 3.0  # A draining backend receives no new flow after this.
EVACUATION_LIMIT_SECONDS = 5.0  # An evacuated zone receives no new flow after this.
WARM_UP_FLOWS_PER_SECOND = 4  # Configured limit per backend, across all daemons.
MAX_WARM_UP_FLOWS_PER_SECOND = WARM_UP_FLOWS_PER_SECOND * 1.5 + 5  # In any one second.
WARM_UP_MS = 2000
MIN_BACKENDS_IN_ZONE = 3  # Backends kept active in zone "a".
ADDRESS_REUSE_SECONDS = 2.1  # From a crash until another backend starts at the address.
FOREIGN_ENTRIES = foreign_entries()
MAX_FOREIGN_ENTRIES = 8  # Items of other writers at once.
EXPIRY_SECONDS = 3.6  # From the last write of a backend until its item expires.
MAX_WRITE_DELAY_SECONDS = 6.0
FAULT_FREE_SECONDS = 4.0  # The time limits apply after this long without faults.
MAX_FLOWS = 24


class Soak:
    def __init__(self, fleet, seed):
        self.fleet, self.random = fleet, random.Random(seed)
        self.violations, self.event_counts = [], {}
        self.fault_ended_at = {}  # By daemon; None during a fault.
        self.store_fault_ended_at = time.monotonic()
        self.snapshots = []  # (time, store snapshot), oldest first.
        self.draining_since = {}  # By backend.
        self.evacuated_at = None  # Time of the evacuation of zone "b"; None if it is in use.
        self.extra_routes = set()
        self.next_host = 10
        self.pending_reuses = 0  # Reused addresses whose delayed write is not over.
        self.proxies = {}

    def log_event(self, description):
        self.event_counts[description] = self.event_counts.get(description, 0) + 1
        print(f"{time.monotonic() - self.started_at:8.2f} {description}")

    def report_violation(self, description):
        self.violations.append(description)
        print(f"{time.monotonic() - self.started_at:8.2f} VIOLATION {description}")

    def start(self):
        self.started_at = time.monotonic()
        fleet = self.fleet
        fleet.services = [{"name": "web", "warmup-s": WARM_UP_MS / 1000,
                           "warmup-per-s": float(WARM_UP_FLOWS_PER_SECOND)}]
        self.publish()
        for host in range(1, 7):
            fleet.start_backend(fleet.host_address(2, host), "web", "ab"[host % 2])
        host, port = fleet.store.address.split(":")
        for number in range(2, 5):
            proxy = Proxy((host, int(port)))
            store, fleet.store.address = fleet.store.address, proxy.address
            daemon = fleet.start_daemon(fleet.host_address(0, number),
                                        [fleet.host_address(0, 2), fleet.host_address(0, 3)])
            fleet.store.address = store
            self.proxies[daemon] = proxy
            self.fault_ended_at[daemon] = time.monotonic()
        for daemon in fleet.daemons:
            wait_until(daemon.is_ready, "the daemon is ready after its start")
        self.client = Client(fleet, fleet.host_address(1, 1))
        self.flows = []

    def publish(self):
        self.fleet.publish([(*ROUTE, "web")]
                           + [(*route, "web") for route in sorted(self.extra_routes)])

    # Daemon faults. Each method returns a function that ends the fault.

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
                self.report_violation(f"{daemon.name} exited with status "
                                      f"{daemon.process.returncode}")
            daemon.start()

        return restart

    def disturb_store_connection(self, daemon):
        proxy = self.proxies[daemon]
        mode = self.random.choice(["delay", "block_responses", "block_requests", "refuse",
                                   "reset", "stall"])
        if mode in ("reset", "stall"):
            proxy.reset() if mode == "reset" else proxy.stall()
            return lambda: None
        proxy.mode = mode

        def end_fault():
            proxy.mode = "up"

        return end_fault

    def daemon_fault(self):
        healthy = [daemon for daemon in self.fleet.daemons
                   if self.fault_ended_at[daemon] is not None]
        if len(healthy) < 2:
            return
        daemon = self.random.choice(healthy)
        fault = self.random.choice([self.pause, self.kill, self.stop, self.disturb_store_connection,
                                    self.disturb_store_connection])
        self.log_event(f"{fault.__name__} {daemon.name}")
        self.fault_ended_at[daemon] = None
        end_fault = fault(daemon)
        threading.Timer(self.random.uniform(0.2, 3.0), self.end_daemon_fault,
                        (daemon, end_fault)).start()

    def end_daemon_fault(self, daemon, end_fault):
        end_fault()
        self.fault_ended_at[daemon] = time.monotonic()

    def store_fault(self):
        store = self.fleet.store
        if self.store_fault_ended_at is None:
            return
        mode = self.random.choice(["busy", "throttled", "unresponsive", "compact",
                                   "restore", "restore"])
        if mode == "restore":
            self.restore_store()
            return
        self.log_event(f"store {mode}")
        if mode == "compact":
            store.compact()
            return
        store.set_mode(mode)
        self.store_fault_ended_at = None

        def end_fault():
            store.set_mode("up")
            self.store_fault_ended_at = time.monotonic()

        threading.Timer(self.random.uniform(0.3, 3.0), end_fault).start()

    def take_snapshot(self):
        now = time.monotonic()
        self.snapshots.append((now, self.fleet.store.snapshot()))
        self.snapshots = [(at, snapshot) for at, snapshot in self.snapshots
                          if now - at < MAX_SNAPSHOT_AGE_SECONDS]

    def restore_store(self):
        """Restores the store from a snapshot after a short outage and reapplies the lost writes."""
        store = self.fleet.store
        at, snapshot = self.random.choice(self.snapshots)
        rewrite_delay = self.random.uniform(0, MAX_REWRITE_DELAY_SECONDS)
        self.log_event(f"store restored from a snapshot {time.monotonic() - at:.1f} s old, "
                       f"revision {snapshot[2]} after {store.revision}")
        self.store_fault_ended_at = None
        store.set_mode("closing")

        def restore():
            store.restore(snapshot)
            store.set_mode("up")
            threading.Timer(rewrite_delay, rewrite_lost_items).start()

        def rewrite_lost_items():
            store.rewrite_lost_items()
            self.snapshots = []
            self.store_fault_ended_at = time.monotonic()

        threading.Timer(self.random.uniform(0, MAX_STORE_OUTAGE_SECONDS), restore).start()

    def backend_change(self):
        active = self.active_backends()
        kind = self.random.choice(["add", "drain", "crash", "unresponsive", "overloaded", "slow"])
        if kind == "add" or len(active) < 4:
            self.next_host += 1
            self.log_event("add backend")
            zone = "ab"[self.next_host % 2]
            self.fleet.start_backend(self.fleet.host_address(2, self.next_host), "web", zone,
                                     WARM_UP_MS)
            return
        backend = self.random.choice(active)
        ends = kind in ("drain", "crash")
        if ends and backend.zone == "a" and self.count_in_zone("a") < MIN_BACKENDS_IN_ZONE:
            return  # Zone "b" may be evacuated, so that zone "a" must keep backends.
        self.log_event(f"{kind} backend {backend.id:x}")
        if not ends:
            self.impair_temporarily([backend], kind)
        elif kind == "drain":
            backend.drain()
            self.draining_since[backend] = time.monotonic()
        else:
            self.crash(backend)

    def crash(self, backend):
        """Crashes a backend, whose item expires."""
        backend.crash()
        threading.Timer(EXPIRY_SECONDS, self.fleet.store.remove, (backend.key,)).start()

    def reuse_address(self):
        """Crashes a backend and starts another one at its address. A write of the first one, whose
        item has expired meanwhile, is applied late."""
        backend, store = self.random.choice(self.active_backends()), self.fleet.store
        if backend.zone == "a" and self.count_in_zone("a") < MIN_BACKENDS_IN_ZONE:
            return
        written = store.last_written[backend.key]
        late = self.random.uniform(EXPIRY_SECONDS, MAX_WRITE_DELAY_SECONDS)
        self.log_event("address is reused")
        self.pending_reuses += 1

        def end():
            store.remove(backend.key)
            self.pending_reuses -= 1

        self.crash(backend)
        for delay, action, arguments in [
                (ADDRESS_REUSE_SECONDS, self.fleet.start_backend,
                 (backend.address, "web", backend.zone)),
                (late, store.put, (backend.key, written)),
                (late + EXPIRY_SECONDS, end, ())]:
            threading.Timer(delay, action, arguments).start()

    def foreign_entry(self):
        """Another writer puts in an item that names no backend, for up to 5 s."""
        name, data = self.random.choice(list(FOREIGN_ENTRIES.items()))
        key = f"servers/i-f{self.random.randrange(MAX_FOREIGN_ENTRIES):04x}"
        self.log_event(f"item of another writer: {name}")
        self.fleet.store.put_bytes(key, data)
        threading.Timer(self.random.uniform(0.5, 5.0), self.fleet.store.remove, (key,)).start()

    def impair_temporarily(self, backends, attribute):
        """Sets an attribute (unresponsive, overloaded, slow) of backends for up to 3 s."""
        for backend in backends:
            setattr(backend, attribute, True)
            threading.Timer(self.random.uniform(0.5, 3.0), setattr,
                            (backend, attribute, False)).start()

    def overload(self):
        """Overloads all backends at once."""
        self.log_event("all backends are overloaded")
        self.impair_temporarily(self.active_backends(), "overloaded")

    def zone_crash(self):
        """Crashes all backends of zone "b" at once and starts as many that are warming up."""
        lost = [backend for backend in self.active_backends() if backend.zone == "b"]
        if self.count_in_zone("a") < MIN_BACKENDS_IN_ZONE or not lost:
            return
        self.log_event(f"crash zone b, {len(lost)} backends")
        for backend in lost:
            self.crash(backend)
            self.next_host += 1
            self.fleet.start_backend(self.fleet.host_address(2, self.next_host), "web", "b",
                                     WARM_UP_MS)

    def active_backends(self):
        return [b for b in self.fleet.backends if b.alive and b not in self.draining_since]

    def count_in_zone(self, zone):
        return sum(backend.zone == zone for backend in self.active_backends())

    def zone_change(self):
        if self.evacuated_at is not None:
            self.log_event("zone b is restored")
            self.evacuated_at = None
            self.fleet.restore_zone("b")
        elif self.count_in_zone("a") >= MIN_BACKENDS_IN_ZONE:
            self.log_event("zone b is evacuated")
            self.fleet.evacuate("b")
            self.evacuated_at = time.monotonic()

    def route_change(self):
        route = self.random.choice(EXTRA_ROUTES)
        self.extra_routes ^= {route}
        self.log_event(f"routes {sorted(port for _, port in self.extra_routes)}")
        self.publish()

    # Load and checks

    def target_daemons(self):
        ready = [daemon for daemon in self.fleet.daemons if self.fault_ended_at[daemon] is not None]
        self.random.shuffle(ready)
        return ready or self.fleet.daemons

    def backend_of(self, flow):
        key = (flow["port"], flow["to"][1])
        for backend in self.fleet.backends:
            if any((f[1], f[3]) == key for f in backend.flows):
                return backend
        return None

    def generate_load(self):
        if len(self.flows) < MAX_FLOWS:
            flow = self.client.open(self.target_daemons(), ROUTE)
            if flow is not None:
                flow["opened"] = time.monotonic()
                self.flows.append(flow)
            return
        flow = self.random.choice(self.flows)
        result = self.client.send_data(self.target_daemons(), flow)
        backend = self.backend_of(flow)
        old = time.monotonic() - flow["opened"] > 50
        if result == "reset" and backend is not None and backend.alive and not old:
            self.report_violation(f"a flow of running backend {backend.id:x} was reset, "
                                  f"port {flow['port']}")
        if result != "ok" and (backend is None or not backend.alive) or result == "reset" or old:
            self.flows.remove(flow)

    def check_misrouted_packets(self):
        for backend in self.fleet.backends:
            for flow in backend.misrouted_flows:
                if not self.is_of_previous_backend(flow, backend.address):
                    self.report_violation(f"backend {backend.id:x} received a packet of flow "
                                          f"{flow}, which it does not hold")
            backend.misrouted_flows.clear()

    def is_of_previous_backend(self, flow, address):
        """Returns whether a crashed backend of the address held the flow. Only the present backend
        can tell that, and resets the flow."""
        return any(other.address == address and not other.alive and flow in other.flows
                   for other in self.fleet.backends)

    def check_draining(self):
        for backend, since in self.draining_since.items():
            for opened, _ in backend.openings:
                if opened > since + DRAINING_LIMIT_SECONDS and self.fault_free_since(since):
                    self.report_violation(f"draining backend {backend.id:x} received a flow "
                                          f"after {opened - since:.1f} s")
            backend.openings = [o for o in backend.openings
                                if o[0] <= since + DRAINING_LIMIT_SECONDS]

    def check_evacuated(self):
        since = self.evacuated_at
        if since is None or not self.fault_free_since(since):
            return
        for backend in self.fleet.backends:
            late = [at - since for at, _ in backend.openings
                    if at > since + EVACUATION_LIMIT_SECONDS]
            if backend.zone == "b" and late:
                self.report_violation(f"backend {backend.id:x} of an evacuated zone received "
                                      f"a flow after {late[0]:.1f} s")

    def check_warm_up(self):
        for backend in self.fleet.backends:
            cold_until = backend.started + WARM_UP_MS / 1000
            times = [at for at, _ in backend.openings if backend.warm_up_ms and at < cold_until]
            for first in times:
                count = sum(first <= at < first + 1 for at in times)
                if count > MAX_WARM_UP_FLOWS_PER_SECOND:
                    self.report_violation(f"backend {backend.id:x} received {count} flows "
                                          "in one second while warming up")

    def fault_free_since(self, instant):
        daemons = [self.fault_ended_at[daemon] for daemon in self.fleet.daemons]
        quiet = [self.store_fault_ended_at, *daemons]
        return all(end is not None and end < instant - FAULT_FREE_SECONDS for end in quiet)

    def check_recovery(self):
        """Checks that each daemon serves with the current view after all faults have ended."""
        wait_until(lambda: self.store_fault_ended_at is not None
                   and all(t is not None for t in self.fault_ended_at.values())
                   and self.pending_reuses == 0,
                   "all faults have ended")
        time.sleep(RECOVERY_SECONDS)
        version = self.fleet.version
        for daemon in self.fleet.daemons:
            if not daemon.is_ready():
                self.report_violation(f"{daemon.name} is not ready after the recovery")
            if f"cobaltgauge_routes_version {version}\n" not in daemon.metrics():
                self.report_violation(f"{daemon.name} does not have version {version} active")
            if self.client.open([daemon], ROUTE) is None:
                self.report_violation(f"{daemon.name} does not place a connection attempt")
            for route in EXTRA_ROUTES:
                served = self.client.open([daemon], route) is not None
                if served != (route in self.extra_routes):
                    self.report_violation(f"{daemon.name} "
                                          f"{'serves' if served else 'refuses'} {route}")
        for flow in list(self.flows):
            backend = self.backend_of(flow)
            young = time.monotonic() - flow["opened"] < 45
            if backend is not None and backend.alive and young:
                result = self.client.send_data(self.target_daemons(), flow, (0.2, 0.4, 0.8, 1.6))
                if result != "ok":
                    self.report_violation(f"a request to running backend {backend.id:x} "
                                          f"failed: {result}")
        self.remove_drained_backends()

    def remove_drained_backends(self):
        for backend in list(self.draining_since):
            if time.monotonic() - self.draining_since[backend] > 8:
                self.fleet.store.remove(backend.key)
                backend.crash()
                del self.draining_since[backend]
                self.flows = [flow for flow in self.flows if self.backend_of(flow) is not backend]

    def run(self, seconds):
        self.start()
        end = time.monotonic() + seconds
        while time.monotonic() < end and not self.violations:
            round_end = time.monotonic() + ROUND_SECONDS
            next_fault = time.monotonic() + 1
            while time.monotonic() < round_end and not self.violations:
                self.generate_load()
                if not self.snapshots or time.monotonic() - self.snapshots[-1][0] > 0.5:
                    self.take_snapshot()
                if time.monotonic() >= next_fault:
                    next_fault = time.monotonic() + self.random.uniform(0.2, 1.5)
                    self.random.choice([self.daemon_fault, self.daemon_fault, self.store_fault,
                                        self.backend_change, self.route_change,
                                        self.reuse_address, self.foreign_entry,
                                        self.zone_change, self.zone_crash, self.overload])()
                self.check_misrouted_packets()
                self.check_draining()
                self.check_evacuated()
                self.check_warm_up()
            self.check_recovery()
            self.check_misrouted_packets()


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
        soak.report_violation(str(error))
    finally:
        fleet.stop()
    print(f"seed {options.seed}: {sum(soak.event_counts.values())} faults and changes, "
          f"{'no violation' if not soak.violations else 'VIOLATION, logs in ' + directory}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
