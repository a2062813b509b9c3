"""Entries of another writer, which name no target, make daemons reset flows of live targets."""
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

WATCHED_SECONDS = 8.0


def entry_without_fields(target):
    """An entry that lacks `version`, `warmup-left-ms` and `sequence`."""
    entry = target.entry()
    for field in ("version", "warmup-left-ms", "sequence"):
        del entry[field]
    return entry


def entry_of_unknown_service(target):
    """A complete entry with a service that no configuration names."""
    return dict(target.entry(), service="reports")


def case(world, trouble):
    standins.start_small_deployment(world)
    flows = standins.open_flows(world, standins.DESK, 10)
    standins.ask_on(flows)
    world.wait_until(lambda: all(flow.answers == 1 for _, flow in flows), "every request answered")
    struck = world.targets[:4]
    written_at = world.record.now()
    if trouble:
        for number, target in enumerate(struck):
            entry = (entry_without_fields if number % 2 else entry_of_unknown_service)(target)
            key = f"servers/i-{random.getrandbits(40):010x}"
            world.store.put_entry(key, entry)
            world.record.say(f"another writer wrote {key}: {entry}")
    end = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < end:
        standins.ask_on(flows)
        time.sleep(0.5)
    broken = []
    for client, flow in flows:
        key = ((client.address, flow.port), flow.to)
        target = next(target for target in world.targets if key in target.flows)
        if flow.state == "reset" and flow.ended_by == "system":
            broken.append(f"client {client.address}:{flow.port} got a reset of the system "
                          f"{flow.ended_at - written_at:.3f} s after the entries; its target "
                          f"{target.key} lives, holds the flow and sent none")
    world.record.say(f"{len(flows)} open flows; states afterwards: "
                     f"{standins.count_by(flow.state for _, flow in flows)}")
    return broken


if __name__ == "__main__":
    sys.exit(standins.play(case, HERE))
