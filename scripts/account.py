#!/usr/bin/env python3
"""Splits the lost credit of a scenario run into unavoidable and avoidable loss.

    scripts/account.py SITE.toml REPORT.json LOG.txt

SITE is a deployment file, REPORT and LOG are the outputs of a run with `--report` and `--log all`.
For each time window with a loss, prints the loss, the part of it that is unavoidable because no
daemon was running, and the most frequent reasons for dropped packets. The last line relates the
credit to the highest possible credit.

The highest possible credit is that of a fleet that serves every packet it receives at once. A
request sent during an outage is served when its client first retransmits it after the outage, and
earns what its target time and deadline then allow.
"""

import collections
import json
import re
import sys
import tomllib

import fleet_log

# Transmission times of a client, relative to the first transmission.
DATA_SEND_TIMES_SECONDS = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8)
OPENING_SEND_TIMES_SECONDS = (0.0, 0.2, 0.6)
OPENING_ATTEMPT_SECONDS = 1.4
STEPS_PER_SECOND = 200  # Resolution of the integration over sending times.
REASON = re.compile(r" reason=([a-z_]+)")
LOG_BUFFER_SECONDS = 0.3  # A killed daemon loses log lines buffered for up to this long.
MIN_REPORTED_LOSS = 0.002  # Share of a window's credit; smaller losses are not printed.


def read_log(path):
    """Returns the times of lines and starts by daemon, and the drops by second and reason."""
    lines, starts = collections.defaultdict(list), collections.defaultdict(list)
    drops = collections.defaultdict(collections.Counter)
    for at, node, event, fields in fleet_log.read_records(path):
        lines[node].append(at)
        if event == "started":
            starts[node].append(at)
        if event in ("packet_dropped", "packet_refused", "flow_reset"):
            reason = REASON.search(fields)
            drops[int(at)][reason[1] if reason else event] += 1
    return lines, starts, drops


def process_lifetimes(lines, starts):
    """Returns (start, end) of each process of a daemon; a process ends with its last log line."""
    ends = starts[1:] + [float("inf")]
    lifetimes = []
    for begin, limit in zip(starts, ends):
        within = [at for at in lines if begin <= at < limit]
        # Two starts at the same time leave the first process without a line of its own.
        end = (within or [begin])[-1]
        lifetimes.append((begin, end if limit < float("inf") else float("inf")))
    return lifetimes


def find_outages(lines, starts):
    """Returns the intervals after the start of traffic in which no daemon was running."""
    lifetimes = sorted(lifetime for node in starts
                       for lifetime in process_lifetimes(lines[node], starts[node]))
    outages, covered_until = [], None
    for begin, end in lifetimes:
        if covered_until is not None and begin > covered_until + 0.05 and covered_until > 0:
            outages.append((covered_until, begin))
        covered_until = end if covered_until is None else max(covered_until, end)
    return outages


def send_times(kind):
    """Returns a request's transmission times in seconds, relative to the first transmission."""
    if kind.get("habit") != "fresh":
        return DATA_SEND_TIMES_SECONDS
    tries = 1 + kind.get("retries", 0)
    return tuple(n * OPENING_ATTEMPT_SECONDS + at
                 for n in range(tries) for at in OPENING_SEND_TIMES_SECONDS)


def earned_share(kind, wait):
    """Returns the share of its worth that a request earns if accepted after `wait` seconds."""
    answered = wait + kind["work_ms"]["mean"] / 1000
    if answered <= kind["aim_ms"] / 1000:
        return 1.0
    if answered <= kind["deadline_ms"] / 1000:
        return kind.get("late_worth", 0) / kind.get("worth", 1)
    return 0.0


def unavoidable_loss(kind, outage, window):
    """Returns the unavoidable loss of a request class in a window, in seconds of its traffic."""
    begin, end = outage
    low, high = max(begin, window[0]), min(end, window[1])
    steps = max(0, int((high - low) * STEPS_PER_SECOND))
    lost = 0.0
    for step in range(steps):
        sent = low + (step + 0.5) / STEPS_PER_SECOND
        taken = next((at for at in send_times(kind) if sent + at >= end), None)
        lost += 1.0 - (earned_share(kind, taken) if taken is not None else 0.0)
    return lost / STEPS_PER_SECOND


def align_to_events(outages, events):
    """Moves the start of each outage to its cause, since buffered log lines are lost."""
    moved = []
    for begin, end in outages:
        causes = [event["at_s"] for event in events
                  if begin <= event["at_s"] < begin + LOG_BUFFER_SECONDS]
        moved.append((min([*causes, end]) if causes else begin, end))
    return moved


def main():
    if len(sys.argv) != 4:
        sys.exit(__doc__)
    with open(sys.argv[1], "rb") as file:
        site = tomllib.load(file)
    with open(sys.argv[2]) as file:
        report = json.load(file)
    lines, starts, drops = read_log(sys.argv[3])
    outages = align_to_events(find_outages(lines, starts), report["events"])
    kinds = {kind["name"]: kind for kind in site["classes"]}
    requested_worth = {row["name"]: row["n"] * kinds[row["name"]].get("worth", 1)
                       for row in report["classes"] if row["name"] in kinds}
    total = sum(requested_worth.values())
    windows = [(float(row["name"]), row["n"], row["worth"]) for row in report["windows"]]
    width = windows[1][0] - windows[0][0]
    requests = sum(n for _, n, _ in windows)
    unavoidable_sum = lost_sum = 0.0
    print("seconds  lost  unavoidable in outages  dropped, refused, reset")
    for begin, n, worth in windows:
        share = n / requests  # Of the total credit; assumes the same class mix in each window.
        lost = (1 - worth) * share
        window = (begin, begin + width)
        unavoidable = sum(
            unavoidable_loss(kinds[name], outage, window) / width
            * share * requested_worth[name] / total
            for name in requested_worth for outage in outages)
        modelled = unavoidable
        unavoidable = min(unavoidable, lost)  # The model must not exceed the measured loss.
        lost_sum, unavoidable_sum = lost_sum + lost, unavoidable_sum + unavoidable
        if lost < MIN_REPORTED_LOSS * share:
            continue
        counts = sum((drops[second] for second in range(int(begin), int(begin + width))),
                     collections.Counter())
        drop_counts = ", ".join(f"{reason} {count}" for reason, count in counts.most_common(4))
        print(f"{begin:5.0f}-{begin + width:<4.0f} {lost:.4f}  {modelled:.4f}  {drop_counts}")
    for begin, end in outages:
        print(f"no daemon running from {begin:.2f} to {end:.2f}")
    prices = sum(price for _, _, price in report["prices"])
    print(f"credit {1 - lost_sum:.4f}, possible {1 - unavoidable_sum:.4f}, prices {prices:.4f}, "
          f"worth {report['G']:.4f}; reached of possible "
          f"{(1 - lost_sum) / (1 - unavoidable_sum):.4f}")


if __name__ == "__main__":
    main()
