"""An entry of another writer whose bytes can't be read ends every daemon, again and again."""
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

NESTED_LISTS = 250_000  # One byte each to open and to close: half of `value-bytes`.
WATCHED_SECONDS = 15.0
ENDS_THAT_COUNT = 3  # RULES.md, Fault: three times in the day, on a tenth of the machines, two at least.
MACHINES_THAT_COUNT = 2


def unreadable_bytes():
    return b'{"service":' + b"[" * NESTED_LISTS + b"]" * NESTED_LISTS + b"}"


def case(world, trouble):
    standins.start_small_deployment(world)
    flows = standins.open_flows(world, standins.DESK, 5)
    key = f"servers/i-{random.getrandbits(40):010x}"
    if trouble:
        raw = unreadable_bytes()
        world.store.put_bytes(key, raw)
        world.record.say(f"another writer wrote {key}: {len(raw)} bytes that can't be read")
    opened = []
    end = time.monotonic() + WATCHED_SECONDS
    while time.monotonic() < end:
        standins.ask_on(flows)
        opened += [client.open(standins.DESK) for client in world.clients]
        time.sleep(0.5)
    world.store.remove(key)
    time.sleep(2.0)
    served = sum(flow.opened_at is not None for flow in opened)
    world.record.say(f"{served} of {len(opened)} new flows opened in these {WATCHED_SECONDS} s")
    for daemon in world.daemons:
        world.record.say(f"{daemon.name}: ended by itself {len(daemon.ends)} times, statuses "
                         f"{standins.count_by(daemon.ends)}")
    faulty = [daemon for daemon in world.daemons if len(daemon.ends) >= ENDS_THAT_COUNT]
    if len(faulty) < MACHINES_THAT_COUNT:
        return []
    return [f"the process of {daemon.name} ended by itself {len(daemon.ends)} times"
            for daemon in faulty]


if __name__ == "__main__":
    sys.exit(standins.play(case, HERE))
