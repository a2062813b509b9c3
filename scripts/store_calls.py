#!/usr/bin/env python3
"""Says why daemons read the store, by the second.

    scripts/store_calls.py LOG.txt

LOG is what a run of a day printed with `--log all`. Reads are counted when they end: one that a
kill interrupted is not seen. `many` marks how many daemons made the second's reads.
"""

import collections
import re
import sys

LINE = re.compile(r"\s*(-?[\d.]+) (\S+) time=.*?event=store_read (.*)")
FIELD = re.compile(r"(\w+)=(\S+)")
FEWEST = 5  # Reads in a second that are worth a row.


def read_log(path):
    """Returns, by second, the reads by cause and outcome, and the daemons that made them."""
    reads = collections.defaultdict(collections.Counter)
    daemons = collections.defaultdict(set)
    with open(path, errors="replace") as log:
        for text in log:
            line = LINE.match(text)
            if line is None:
                continue
            second = int(float(line[1]) // 1)
            fields = dict(FIELD.findall(line[3]))
            failed = "" if fields["outcome"] == "answered" else f" ({fields['outcome']})"
            reads[second][fields["cause"] + failed] += 1
            daemons[second].add(line[2])
    return reads, daemons


def told(counter):
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
        if count >= FEWEST:
            print(f"{second:6d}  {count:5d}  {len(daemons[second]):7d}  {told(reads[second])}")
    print(f"all: {sum(total.values())} reads: {told(total)}")


if __name__ == "__main__":
    main()
