#!/usr/bin/env python3
"""Says why daemons read the store, by the second.

    scripts/store_calls.py LOG.txt

LOG is what a run of a day printed with `--log all`. Reads are counted when they end: one that a
kill interrupted is not seen. `daemons` says how many made the second's reads.
"""

import collections
import re
import sys

import fleet_log

FIELD = re.compile(r"(\w+)=(\S+)")
MIN_REPORTED_READS = 5  # Reads in a second that are worth a row.


def read_log(path):
    """Returns, by second, the reads by cause and outcome, and the daemons that made them."""
    reads = collections.defaultdict(collections.Counter)
    daemons = collections.defaultdict(set)
    for at, node, event, text in fleet_log.read_records(path):
        fields = dict(FIELD.findall(text))
        if event != "store_read" or "outcome" not in fields:  # Cut short by a kill.
            continue
        second = int(at // 1)
        failed = "" if fields["outcome"] == "answered" else f" ({fields['outcome']})"
        reads[second][fields["cause"] + failed] += 1
        daemons[second].add(node)
    return reads, daemons


def format_counts(counter):
    return ", ".join(f"{cause} {count}" for cause, count in counter.most_common())


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    reads, daemons = read_log(sys.argv[1])
    total = collections.Counter()
    print("second  reads  daemons  causes")
    for second in sorted(reads):
        total.update(reads[second])
        count = sum(reads[second].values())
        if count >= MIN_REPORTED_READS:
            print(f"{second:6d}  {count:5d}  {len(daemons[second]):7d}  {format_counts(reads[second])}")
    print(f"all: {sum(total.values())} reads: {format_counts(total)}")


if __name__ == "__main__":
    main()
