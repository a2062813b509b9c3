"""Parser for the combined log of a fleet, as printed with `--log all`."""

import re

# A killed daemon's last line may be truncated, with another daemon's record on the same line.
RECORD = re.compile(
    r"(-?\d+\.\d+) (\S+) time=(?:(?! time=).)*?event=(\S+)((?:(?!-?\d+\.\d+ \S+ time=).)*)")


def read_records(path):
    """Yields (time in seconds, daemon, event, text of the fields) for each record."""
    with open(path, errors="replace") as log:
        for text in log:
            for record in RECORD.finditer(text):
                yield float(record[1]), record[2], record[3], record[4]
