"""Reads the log of a whole fleet, as a run of a day prints it with `--log all`."""

import re

# A kill cuts a daemon's last line short, and the next daemon's follows on the same line.
RECORD = re.compile(
    r"(-?\d+\.\d+) (\S+) time=(?:(?! time=).)*?event=(\S+)((?:(?!-?\d+\.\d+ \S+ time=).)*)")


def read_records(path):
    """Yields the second, the daemon, the event and the text of the fields of each record."""
    with open(path, errors="replace") as log:
        for text in log:
            for record in RECORD.finditer(text):
                yield float(record[1]), record[2], record[3], record[4]
