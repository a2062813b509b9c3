"""The demo: a local fleet carries standing sessions through changes and faults.

Exit status is 0 where the history breaks no rule, else 1.
"""

import glob
import os
import shutil
import signal
import subprocess
import sys
import time

from demo_fleet import Fleet, Service

DAEMONS = [("lb-1", "hall-1"), ("lb-2", "hall-1"), ("lb-3", "hall-2"), ("lb-4", "hall-2"),
           ("lb-5", "hall-3")]
ZONES = ["hall-1", "hall-2", "hall-3"]
WATCH_BACKENDS = 15
PACKET_BACKENDS = 4
WATCH_SESSIONS = 300
PACKET_SESSIONS = 40
CALLER_SECONDS = 48
WALK_IN_SESSIONS = 15  # Opened at each of WALK_IN_SECONDS, so that new flows meet every fault.
WALK_IN_SECONDS = [6, 9, 11, 13, 16, 20, 23, 27, 29, 31, 34, 36, 39, 42, 45]


def read_policy(root, name):
    with open(os.path.join(root, "docs", "policies", name), encoding="utf-8") as policy:
        return policy.read()


def build_fleet(root, directory):
    fleet = Fleet(os.path.join(root, "build"), directory)
    policy = read_policy(root, "rate_watch_first.lua")
    fleet.services["rate-watch"] = Service("rate-watch", "10.90.0.1", 5683, policy)
    fleet.services["packet"] = Service("packet", "10.90.0.2", 5683, policy)
    for index in range(WATCH_BACKENDS):
        fleet.start_backend("rate-watch", f"rw-{index + 1}", ZONES[index % 3])
    for index in range(PACKET_BACKENDS):
        fleet.start_backend("packet", f"pk-{index + 1}", ZONES[index % 3])
    for name, zone in DAEMONS:
        fleet.plan_daemon(name, zone)
    fleet.write_machines()
    fleet.start_fabric()
    fleet.publish("first configuration")
    fleet.start_platform()
    for name, _ in DAEMONS:
        fleet.start_daemon(name)
    return fleet


def fault(fleet, text):
    print(f"  fault: {text}", flush=True)
    fleet.record("fault", actor="operator", detail=text)


def replace_policy(fleet):
    policy = fleet.services["rate-watch"].policy
    fleet.services["rate-watch"].policy = policy.replace(
        "return math.min(1000, backend.capacity // 20)",
        'if backend.zone == "hall-1" then return 150 end\n  return 100')
    fleet.publish("policy replaced: hall-1 takes half as much again")


def drain_backend(fleet):
    fleet.services["rate-watch"].backends["rw-3"]["state"] = "leaving"
    fleet.record("backend_leaving", actor="rw-3")
    fleet.publish("back end rw-3 leaves")


def add_backend(fleet):
    fleet.start_backend("rate-watch", "rw-16", "hall-2")
    time.sleep(0.3)
    fleet.publish("back end rw-16 added")


def evacuate_zone(fleet):
    fleet.services["rate-watch"].evacuated_zones = ["hall-3"]
    fleet.publish("hall-3 is taken out: its back ends get no new flow")


def take_zone_back(fleet):
    fleet.services["rate-watch"].evacuated_zones = []
    fleet.publish("hall-3 is taken back")


def kill_daemon(fleet):
    fault(fleet, "daemon lb-2 is killed")
    fleet.signal("lb-2", signal.SIGKILL)
    time.sleep(0.5)  # The fabric notices late.
    fleet.daemons["lb-2"]["sprayed"] = False
    fleet.write_machines()


def stop_daemon(fleet):
    fault(fleet, "daemon lb-4 stops as planned")
    fleet.signal("lb-4", signal.SIGTERM)
    time.sleep(0.3)
    fleet.daemons["lb-4"]["sprayed"] = False
    fleet.write_machines()


def join_daemon(fleet):
    fault(fleet, "daemon lb-6 joins")
    fleet.plan_daemon("lb-6", "hall-3")
    fleet.write_machines()
    fleet.start_daemon("lb-6")


def freeze_daemon(fleet):
    fault(fleet, "daemon lb-1 freezes")
    fleet.signal("lb-1", signal.SIGSTOP)


def wake_daemon(fleet):
    fault(fleet, "daemon lb-1 wakes")
    fleet.signal("lb-1", signal.SIGCONT)


def platform_down(fleet):
    fault(fleet, "platform_down")
    fleet.processes["platform"].terminate()
    fleet.wait("platform", 10)


def platform_stale(fleet):
    fault(fleet, "platform_stale: it serves version 1 again")
    fleet.start_platform("configuration-1.json")


def platform_fresh(fleet):
    fault(fleet, "platform_up: it serves the present configuration")
    fleet.processes["platform"].terminate()
    fleet.wait("platform", 10)
    fleet.start_platform()


def drain_while_frozen(fleet):
    fleet.services["rate-watch"].backends["rw-5"]["state"] = "leaving"
    fleet.record("backend_leaving", actor="rw-5")
    fleet.publish("back end rw-5 leaves while lb-1 is frozen")


# Seconds after the callers started, and what happens then.
STEPS = [(5, replace_policy), (8, drain_backend), (12, add_backend), (15, kill_daemon),
         (19, stop_daemon), (22, join_daemon), (25, freeze_daemon), (26, drain_while_frozen),
         (30, wake_daemon), (33, platform_down), (35, platform_stale), (38, platform_fresh),
         (41, evacuate_zone), (44, take_zone_back)]


def open_walk_ins(index, second):
    """Returns a step that opens new sessions, which then stand until the end."""
    def step(fleet):
        fleet.start_caller(f"walk-in-{index}", "rate-watch", f"10.{100 + index}.0",
                           WALK_IN_SESSIONS, CALLER_SECONDS - second, 20 + index)
    return step


def run_steps(fleet):
    began = time.monotonic()
    walk_ins = [(second, open_walk_ins(index, second))
                for index, second in enumerate(WALK_IN_SECONDS)]
    for second, step in sorted(STEPS + walk_ins, key=lambda item: item[0]):
        time.sleep(max(0.0, began + second - time.monotonic()))
        step(fleet)


def main():
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    directory = os.path.join(root, "demo-out")
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    print("starting 5 daemons in 3 zones, 15 + 4 back ends", flush=True)
    fleet = build_fleet(root, directory)
    try:
        time.sleep(5)
        print(f"starting {WATCH_SESSIONS} + {PACKET_SESSIONS} standing sessions", flush=True)
        fleet.start_caller("desk", "rate-watch", "10.81.0", WATCH_SESSIONS, CALLER_SECONDS, 11)
        fleet.start_caller("agency", "packet", "10.82.0", PACKET_SESSIONS, CALLER_SECONDS, 12)
        run_steps(fleet)
        walk_ins = [f"walk-in-{index}" for index in range(len(WALK_IN_SECONDS))]
        for caller in ["desk", "agency", *walk_ins]:
            fleet.wait(caller, 60)
    finally:
        fleet.stop_all()
    fleet.collect_versions()
    histories = sorted(glob.glob(os.path.join(directory, "history-*.jsonl")))
    checker = os.path.join(root, "build", "cobaltgauge-sim")
    return subprocess.run([checker, "check", *histories], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
