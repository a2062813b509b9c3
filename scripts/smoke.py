"""End-to-end smoke test: one daemon, three backends and a few sessions, run as real processes.

Clients retransmit until they are done, so that the result doesn't depend on timing. The exit status
is 0 if the recorded history has no violation and requests were executed.
"""

import glob
import json
import os
import subprocess
import sys
import tempfile

from demo_fleet import Fleet, Service

POLICY = "function place(flow_class, backend) return 100 end"
LIMITED = POLICY + " function limits() return { new_flows_per_second = 1 } end"


def run_ctl(fleet, *arguments):
    daemon = fleet.daemons["lb-1"]
    command = [os.path.join(fleet.build, "cobaltgaugectl"), arguments[0],
               f"--admin={fleet.host}:{daemon['admin']}", *arguments[1:]]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def main():
    build = sys.argv[1]
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(build, directory)
        fleet.services["desk"] = Service("desk", "10.90.0.1", 5683, POLICY)
        fleet.services["narrow"] = Service("narrow", "10.90.0.2", 5683, LIMITED)
        # Slow backends make submissions queue, so that some are cancelled before they run.
        fleet.start_backend("desk", "d-1", "z", "--service-ms=60", "--slots=1")
        fleet.start_backend("desk", "d-2", "z", "--service-ms=60", "--slots=1")
        fleet.start_backend("narrow", "n-1", "z")
        fleet.add_daemon("lb-1", "z")
        fleet.write_machines()
        fleet.start_fabric()
        fleet.publish("two services")
        fleet.start_platform()
        fleet.start_daemon("lb-1")
        try:
            fleet.start_client("c", "desk", "10.81.0", 20, 12, 1, "--cancel-percent=40",
                               "--interval-ms=150")
            fleet.start_client("n", "narrow", "10.82.0", 10, 12, 1)
            fleet.wait("c", 120)
            fleet.wait("n", 120)
            status = json.loads(run_ctl(fleet, "status"))
            explanation = json.loads(
                run_ctl(fleet, "explain", "udp", "10.81.0.1:20000", "10.90.0.1:5683"))
            metrics = run_ctl(fleet, "metrics")
            failed = fleet.failed()
        finally:
            fleet.stop_all()
        histories = sorted(glob.glob(os.path.join(directory, "history-*.jsonl")))
        report = subprocess.run([os.path.join(build, "cobaltgauge-sim"), "check", *histories],
                                check=False, capture_output=True, text=True)
        print(report.stdout)
        executions = int(report.stdout.split("executions")[1].split()[0])
        cancelled = int(report.stdout.split("refused as not run")[1].split()[0])
        checks = {
            f"no process failed {failed}": not failed,
            "history has no violation": report.returncode == 0,
            "requests were executed": executions > 0,
            "submissions were cancelled before they ran": cancelled > 0,
            "version 1 is active": status["configuration_in_force"] == 1,
            "explain names a backend": explanation["backend"] is not None,
            "flows over the rate limit were refused with a response":
                'refused_total{reason="new_flow_rate"} 0' not in metrics
                and "cobaltgauge_refusals_sent_total 0" not in metrics,
        }
        for name, passed in checks.items():
            print(("ok      " if passed else "FAILED  ") + name)
        return 0 if all(checks.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
