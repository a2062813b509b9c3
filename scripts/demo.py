"""Demo: a local fleet serves long-lived sessions through changes and faults.

The exit status is 0 if the recorded history has no violation.
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
CLIENT_SECONDS = 48
SESSIONS_PER_BATCH = 15  # Sessions opened at each of BATCH_START_SECONDS.
BATCH_START_SECONDS = [6, 9, 11, 13, 16, 20, 23, 27, 29, 31, 34, 36, 39, 42, 45]


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
        fleet.add_daemon(name, zone)
    fleet.write_machines()
    fleet.start_fabric()
    fleet.publish("first configuration")
    fleet.start_platform()
    for name, _ in DAEMONS:
        fleet.start_daemon(name)
    return fleet


def record_fault(fleet, text):
    print(f"  fault: {text}", flush=True)
    fleet.record("fault", actor="operator", detail=text)


def replace_policy(fleet):
    policy = fleet.services["rate-watch"].policy
    fleet.services["rate-watch"].policy = policy.replace(
        "return math.min(1000, backend.capacity // 20)",
        'if backend.zone == "hall-1" then return 150 end\n  return 100')
    fleet.publish("policy replaced: hall-1 gets 1.5 times the weight")


def drain_backend(fleet):
    fleet.services["rate-watch"].backends["rw-3"]["state"] = "leaving"
    fleet.record("backend_leaving", actor="rw-3")
    fleet.publish("backend rw-3 is draining")


def add_backend(fleet):
    fleet.start_backend("rate-watch", "rw-16", "hall-2")
    time.sleep(0.3)
    fleet.publish("backend rw-16 added")


def evacuate_zone(fleet):
    fleet.services["rate-watch"].evacuated_zones = ["hall-3"]
    fleet.publish("hall-3 is evacuated: its backends receive no new flow")


def restore_zone(fleet):
    fleet.services["rate-watch"].evacuated_zones = []
    fleet.publish("hall-3 is restored")


def kill_daemon(fleet):
    record_fault(fleet, "daemon lb-2 is killed")
    fleet.signal("lb-2", signal.SIGKILL)
    time.sleep(0.5)  # The fabric detects the failure with a delay.
    fleet.daemons["lb-2"]["receives_traffic"] = False
    fleet.write_machines()


def stop_daemon(fleet):
    record_fault(fleet, "daemon lb-4 is shut down")
    fleet.signal("lb-4", signal.SIGTERM)
    time.sleep(0.3)
    fleet.daemons["lb-4"]["receives_traffic"] = False
    fleet.write_machines()


def join_daemon(fleet):
    record_fault(fleet, "daemon lb-6 joins")
    fleet.add_daemon("lb-6", "hall-3")
    fleet.write_machines()
    fleet.start_daemon("lb-6")


def pause_daemon(fleet):
    record_fault(fleet, "daemon lb-1 is suspended")
    fleet.signal("lb-1", signal.SIGSTOP)


def resume_daemon(fleet):
    record_fault(fleet, "daemon lb-1 is resumed")
    fleet.signal("lb-1", signal.SIGCONT)


def stop_platform(fleet):
    record_fault(fleet, "platform_down")
    fleet.processes["platform"].terminate()
    fleet.wait("platform", 10)


def serve_stale_configuration(fleet):
    record_fault(fleet, "platform_stale: it serves version 1 again")
    fleet.start_platform("configuration-1.json")


def serve_current_configuration(fleet):
    record_fault(fleet, "platform_up: it serves the current configuration")
    fleet.processes["platform"].terminate()
    fleet.wait("platform", 10)
    fleet.start_platform()


def drain_during_pause(fleet):
    fleet.services["rate-watch"].backends["rw-5"]["state"] = "leaving"
    fleet.record("backend_leaving", actor="rw-5")
    fleet.publish("backend rw-5 is draining while lb-1 is suspended")


# (seconds after the start of the clients, action)
STEPS = [(5, replace_policy), (8, drain_backend), (12, add_backend), (15, kill_daemon),
         (19, stop_daemon), (22, join_daemon), (25, pause_daemon), (26, drain_during_pause),
         (30, resume_daemon), (33, stop_platform), (35, serve_stale_configuration),
         (38, serve_current_configuration), (41, evacuate_zone), (44, restore_zone)]


def open_session_batch(index, second):
    """Returns a step that opens new sessions, which last until the end of the demo."""
    def step(fleet):
        fleet.start_client(f"batch-{index}", "rate-watch", f"10.{100 + index}.0",
                           SESSIONS_PER_BATCH, CLIENT_SECONDS - second, 20 + index)
    return step


def run_steps(fleet):
    began = time.monotonic()
    session_batches = [(second, open_session_batch(index, second))
                       for index, second in enumerate(BATCH_START_SECONDS)]
    for second, step in sorted(STEPS + session_batches, key=lambda item: item[0]):
        time.sleep(max(0.0, began + second - time.monotonic()))
        step(fleet)


def main():
    root = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    directory = os.path.join(root, "demo-out")
    shutil.rmtree(directory, ignore_errors=True)
    os.makedirs(directory)
    print("starting 5 daemons in 3 zones, 15 + 4 backends", flush=True)
    fleet = build_fleet(root, directory)
    try:
        time.sleep(5)
        print(f"starting {WATCH_SESSIONS} + {PACKET_SESSIONS} long-lived sessions", flush=True)
        fleet.start_client("desk", "rate-watch", "10.81.0", WATCH_SESSIONS, CLIENT_SECONDS, 11)
        fleet.start_client("agency", "packet", "10.82.0", PACKET_SESSIONS, CLIENT_SECONDS, 12)
        run_steps(fleet)
        session_batches = [f"batch-{index}" for index in range(len(BATCH_START_SECONDS))]
        for client in ["desk", "agency", *session_batches]:
            fleet.wait(client, 60)
    finally:
        fleet.stop_all()
    fleet.collect_versions()
    histories = sorted(glob.glob(os.path.join(directory, "history-*.jsonl")))
    checker = os.path.join(root, "build", "cobaltgauge-sim")
    return subprocess.run([checker, "check", *histories], check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
