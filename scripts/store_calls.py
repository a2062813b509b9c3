#!/usr/bin/env python3
"""Counts the daemons' store reads by second and cause.

    scripts/store_calls.py LOG.txt

LOG is the output of a scenario run with `--log all`. Only completed reads are counted. The column
`daemons` is the number of daemons that read in that second.
"""

import collections
import re
import sys

import fleet_log

FIELD = re.compile(r"(\w+)=(\S+)")
MIN_REPORTED_READS = 5  # Seconds with fewer reads are not printed.


def read_log(path):
    """Returns, by second, the read counts by cause and outcome, and the reading daemons."""
    reads = collections.defaultdict(collections.Counter)
    daemons = collections.defaultdict(set)
    for at, node, event, text in fleet_log.read_records(path):
        fields = dict(FIELD.findall(text))
        if event != "store_read" or "outcome" not in fields:  # Truncated record.
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
            print(f"{second:6d}  {count:5d}  {len(daemons[second]):7d}  "
                  f"{format_counts(reads[second])}")
    print(f"all: {sum(total.values())} reads: {format_counts(total)}")


if __name__ == "__main__":
    main()
