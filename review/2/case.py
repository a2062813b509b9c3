"""A late write of a dead target makes restarted daemons reset flows of the target at its address."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins  # noqa: E402

# Seconds after the write of which the answer is lost. The write is done late, at most 6 s after it
# was sent; an entry lapses after three heartbeats of silence; an address is given again after 2 s.
CRASH = 0.05
REUSE = CRASH + standins.BOUNDS["reuse-after-s"] + 0.1
LAPSE = 2 * standins.HEARTBEAT_SECONDS  # The write before was one heartbeat earlier.
COLD_SECONDS = 1.0
FLOWS = 4.7  # When flows to the new target are opened; its entry doesn't change any more.
LATE_WRITE = 5.9
RESTART = 6.2
LATE_LAPSE = LATE_WRITE + 3 * standins.HEARTBEAT_SECONDS
CALM = RESTART + 0.5 + 2 * standins.BOUNDS["contact-ms"] / 1000


def case(world, trouble):
    standins.start_small_deployment(world)
    old = world.targets[0]
    began = time.monotonic()

    def until(seconds):
        time.sleep(max(0.0, began + seconds - time.monotonic()))

    old.registered = False
    old.sequence += 1
    late_entry = old.entry()
    if not trouble:
        world.store.put_entry(old.key, late_entry)
    world.record.say(f"target {old.key} wrote its entry" +
                     (", the answer is lost and the write is done late" if trouble else ""))
    until(CRASH)
    old.crash()
    world.record.say(f"target {old.key} of {old.service} crashed")
    until(REUSE)
    new = world.start_target_at(old.address, "manifest-svc", old.zone, COLD_SECONDS)
    world.record.say(f"target {new.key} of {new.service} started at its address")
    until(LAPSE if trouble else LAPSE + standins.HEARTBEAT_SECONDS)
    world.store.remove(old.key)
    world.record.say(f"the entry of {old.key} lapsed")
    until(FLOWS)
    flows = standins.open_flows(world, standins.MANIFEST, 10)
    flows = [(client, flow) for client, flow in flows
             if ((client.address, flow.port), flow.to) in new.flows]
    world.record.say(f"{len(flows)} flows are open at {new.key}")
    if not flows:
        raise standins.CannotRun("no flow reached the new target")
    until(LATE_WRITE)
    if trouble:
        world.store.put_entry(old.key, late_entry)
        world.record.say(f"the late write of {old.key} is done")
    until(RESTART)
    restarted = world.daemons[::2]
    for daemon in restarted:
        daemon.strike()
    world.record.say(f"killed: {', '.join(daemon.name for daemon in restarted)}")
    until(LATE_LAPSE)
    if trouble:
        world.store.remove(old.key)
        world.record.say(f"the entry of {old.key} lapsed again")
    until(CALM)
    world.wait_until(lambda: all(daemon.is_in for daemon in world.daemons), "all daemons are in")
    world.record.say("every machine and the store have been calm for contact-ms")
    standins.ask_on(flows)
    time.sleep(standins.BOUNDS["flow-ms"] / 1000)
    standins.ask_on(flows)
    time.sleep(standins.BOUNDS["flow-ms"] / 1000)
    world.record.say(f"states of the flows: {standins.count_by(flow.state for _, flow in flows)}")
    return [f"client {client.address}:{flow.port} got a reset of the system at {flow.ended_at:.3f} "
            f"through {world.route(client, flow).name}; its target {new.key} lives, holds the flow "
            f"and sent none"
            for client, flow in flows
            if flow.state == "reset" and flow.ended_by == "system" and
            ((client.address, flow.port), flow.to) in new.flows]


if __name__ == "__main__":
    sys.exit(standins.play(case, HERE))
