"""Compares the packet throughput of a daemon with that of a bare UDP relay.

Both are measured alternately in the same run; the result is the ratio of the medians.
"""

import os
import shutil
import statistics
import subprocess
import sys
import time

from demo_fleet import Fleet, Service

ROUNDS = 5
SERVICE_ADDRESS = "10.90.0.1"
SERVICE_PORT = 5683


def measure(fleet, target_port, listen_port):
    command = [os.path.join(fleet.build, "cobaltgauge-standin"), "throughput",
               f"--target={fleet.host}:{target_port}", f"--listen={fleet.host}:{listen_port}",
               f"--service={SERVICE_ADDRESS}:{SERVICE_PORT}"]
    output = subprocess.run(command, check=True, capture_output=True, text=True).stdout
    print("   ", output.strip(), flush=True)
    return int(output.split()[0])


def main():
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    directory = os.path.join(root, "demo-out")
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    fleet = Fleet(os.path.join(root, "build"), directory)
    backend_port = fleet.network.allocate_port()
    relay_port = fleet.network.allocate_port()
    service = Service("bench", SERVICE_ADDRESS, SERVICE_PORT, "function place() return 1 end")
    service.backends["b"] = {"name": "b", "address": fleet.host, "port": backend_port,
                             "incarnation": 1, "zone": "z", "state": "active", "capacity": 1}
    fleet.services["bench"] = service
    fleet.add_daemon("lb-1", "z")
    fleet.write_machines()
    fleet.publish("one service, one backend")
    fleet.start_platform()
    fleet.start_daemon("lb-1")
    fleet.spawn("relay", "cobaltgauge-standin", "relay", f"--listen={fleet.host}:{relay_port}",
                f"--to={fleet.host}:{backend_port}")
    try:
        time.sleep(6)  # A daemon waits for peers before it serves on its own.
        relay = []
        daemon = []
        for _ in range(ROUNDS):
            print("  relay", flush=True)
            relay.append(measure(fleet, relay_port, backend_port))
            print("  daemon", flush=True)
            daemon.append(measure(fleet, fleet.daemons["lb-1"]["data"], backend_port))
    finally:
        fleet.stop_all()
    ratio = statistics.median(daemon) / statistics.median(relay)
    print(f"median: relay {statistics.median(relay)}/s, daemon {statistics.median(daemon)}/s, "
          f"ratio {ratio:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
