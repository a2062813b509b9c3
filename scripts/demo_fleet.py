"""Runs the processes of a local fleet and writes the files that its platform serves.

Only processes started by this module are ever signalled or stopped.
"""

import json
import os
import re
import signal
import subprocess
import time

from loopback import LoopbackNetwork

CLUSTER_KEY = "a key for the local demo only"


class Service:
    """A service with its backends, in the format of the platform's configuration."""

    def __init__(self, name, address, port, policy):
        self.name = name
        self.address = address
        self.port = port
        self.policy = policy
        self.backends = {}
        self.evacuated_zones = []

    def to_json(self):
        return {
            "name": self.name,
            "address": self.address,
            "port": self.port,
            "protocol": "udp",
            "refusal": "coap",
            "policy": self.policy,
            "backends": list(self.backends.values()),
            "evacuated_zones": self.evacuated_zones,
        }


class Fleet:
    """A platform, a fabric, daemons, backends and clients as separate processes."""

    def __init__(self, build, directory):
        self.build = build
        self.directory = directory
        self.processes = {}
        self.logs = {}
        self.daemons = {}
        self.services = {}
        self.version = 0
        self.network = LoopbackNetwork()
        self.host = self.network.host_address(0, 1)
        self.fabric_port = self.network.allocate_port()
        self.platform_port = self.network.allocate_port()
        self.history = open(self.path("history-operator.jsonl"), "a", encoding="utf-8")

    def path(self, name):
        return os.path.join(self.directory, name)

    def spawn(self, name, program, *arguments):
        log = open(self.path(name + ".log"), "ab")
        command = [os.path.join(self.build, program), *arguments]
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)
        self.logs[name] = log
        return self.processes[name]

    def record(self, kind, **fields):
        event = {"t": int(time.time() * 1000), "kind": kind, **fields}
        self.history.write(json.dumps(event) + "\n")
        self.history.flush()

    # Platform

    def publish(self, note):
        """Publishes a new configuration version with the current services."""
        self.version += 1
        document = {
            "version": self.version,
            "services": [service.to_json() for service in self.services.values()],
        }
        self.write_atomically("configuration.json", json.dumps(document))
        self.write_atomically(f"configuration-{self.version}.json", json.dumps(document))
        self.record("configuration_published", actor="operator", detail=str(self.version))
        print(f"  version {self.version}: {note}", flush=True)

    def write_atomically(self, name, content):
        temporary = self.path(name + ".tmp")
        with open(temporary, "w", encoding="utf-8") as out:
            out.write(content)
        os.rename(temporary, self.path(name))

    def write_machines(self):
        machines = [
            {"name": name, "zone": daemon["zone"], "control": f"{self.host}:{daemon['control']}"}
            for name, daemon in self.daemons.items()
            if daemon["listed"]
        ]
        self.write_atomically("machines.json", json.dumps({"machines": machines}))
        lines = [f"{self.host}:{d['data']}" for d in self.daemons.values() if d["receives_traffic"]]
        self.write_atomically("daemons.txt", "\n".join(lines) + "\n")

    def start_platform(self, configuration="configuration.json"):
        self.spawn(
            "platform", "cobaltgauge-standin", "platform",
            f"--listen={self.host}:{self.platform_port}",
            f"--configuration={self.path(configuration)}",
            f"--machines={self.path('machines.json')}")

    def start_fabric(self):
        self.spawn(
            "fabric", "cobaltgauge-standin", "fabric",
            f"--listen={self.host}:{self.fabric_port}", f"--daemons={self.path('daemons.txt')}",
            "--jitter-ms=3", "--loss-permille=2", "--duplicate-permille=2", "--seed=7")

    # Daemons

    def add_daemon(self, name, zone):
        self.daemons[name] = {
            "zone": zone, "control": self.network.allocate_port(),
            "data": self.network.allocate_port(), "admin": self.network.allocate_port(),
            "listed": True, "receives_traffic": True}

    def start_daemon(self, name):
        daemon = self.daemons[name]
        settings = f"""
[daemon]
name = "{name}"
zone = "{daemon['zone']}"
linger_ms = 1500

[data]
listen = "{self.host}:{daemon['data']}"
fabric_return = "{self.host}:{self.fabric_port}"

[cluster]
name = "demo"
key = "{CLUSTER_KEY}"
listen = "{self.host}:{daemon['control']}"

[platform]
address = "{self.host}:{self.platform_port}"
poll_interval_ms = 300

[admin]
listen = "{self.host}:{daemon['admin']}"
"""
        self.write_atomically(name + ".toml", settings)
        self.spawn(name, "cobaltgauged", f"--settings={self.path(name + '.toml')}")

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    # Backends

    def start_backend(self, service, name, zone, *flags):
        port = self.network.allocate_port()
        self.services[service].backends[name] = {
            "name": name, "address": self.host, "port": port, "incarnation": 1, "zone": zone,
            "state": "active", "capacity": 2000}
        self.spawn(
            name, "cobaltgauge-standin", "backend", f"--name={name}", f"--service={service}",
            f"--listen={self.host}:{port}", f"--fabric={self.host}:{self.fabric_port}",
            "--incarnation=1", f"--history={self.path('history-' + name + '.jsonl')}", *flags)

    # Clients

    def start_client(self, name, service, network, sessions, seconds, seed, *flags):
        target = self.services[service]
        return self.spawn(
            name, "cobaltgauge-standin", "caller", f"--name={name}", f"--service={service}",
            f"--target={target.address}:{target.port}", f"--fabric={self.host}:{self.fabric_port}",
            f"--listen={self.host}:0", f"--network={network}", f"--sessions={sessions}",
            f"--seconds={seconds}",
            f"--history={self.path('history-' + name + '.jsonl')}", f"--seed={seed}", *flags)

    # Shutdown

    def wait(self, name, timeout):
        return self.processes[name].wait(timeout=timeout)

    def failed(self):
        """Returns the names of processes that exited with an error status."""
        return [name for name, process in self.processes.items() if (process.poll() or 0) > 0]

    def stop_all(self):
        """Stops every running process of this fleet."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        for process in self.processes.values():
            try:
                process.wait(timeout=10)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.history.close()
        self.network.close()

    def collect_versions(self):
        """Converts the daemons' configuration log lines to history events."""
        pattern = re.compile(r"time=(\S+?)Z .*event=configuration_in_force version=(\d+)")
        out_path = self.path("history-daemons.jsonl")
        with open(out_path, "w", encoding="utf-8") as out:
            for name in self.daemons:
                with open(self.path(name + ".log"), encoding="utf-8") as log:
                    for line in log:
                        match = pattern.search(line)
                        if match:
                            event = {"t": to_milliseconds(match[1]),
                                     "kind": "configuration_in_force", "actor": name,
                                     "detail": match[2]}
                            out.write(json.dumps(event) + "\n")


def to_milliseconds(iso_time):
    """Converts an ISO 8601 time in UTC to milliseconds since the Unix epoch."""
    import datetime
    parsed = datetime.datetime.fromisoformat(iso_time[:26]).replace(tzinfo=datetime.timezone.utc)
    return int(parsed.timestamp() * 1000)
