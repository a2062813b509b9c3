"""Tests of the log analysis in scripts/account.py."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "scripts"))

import account  # noqa: E402


def read(text):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
        log.write(text)
        log.flush()
        return account.read_log(log.name)


class ReadLog(unittest.TestCase):
    def test_events_starts_and_drops(self):
        lines, starts, drops = read(
            " -1.5000 lb-1 time=T level=info daemon=lb-1 event=started zone=a\n"
            "  3.2000 lb-1 time=T level=warning daemon=lb-1 event=packet_dropped"
            " reason=paced retransmission=0\n")
        self.assertEqual(lines["lb-1"], [-1.5, 3.2])
        self.assertEqual(starts["lb-1"], [-1.5])
        self.assertEqual(drops[3]["paced"], 1)

    def test_truncated_line_hides_no_start(self):
        lines, starts, drops = read(
            "  3.2000 lb-1 time=T daemon=lb-1 event=packet_dropped reason=no_conf"
            "  5.0000 lb-2 time=T daemon=lb-2 event=started zone=a\n")
        self.assertEqual(starts["lb-2"], [5.0])
        self.assertEqual(lines["lb-1"], [3.2])
        self.assertEqual(sum(drops[3].values()), 1)


class ProcessLifetimes(unittest.TestCase):
    def test_two_starts_at_one_time(self):
        lifetimes = account.process_lifetimes([1.0, 2.0, 2.0, 4.0], [1.0, 2.0, 2.0])
        self.assertEqual(lifetimes[1], (2.0, 2.0))
        self.assertEqual(lifetimes[2], (2.0, float("inf")))

    def test_outage_lasts_from_the_last_line_to_the_next_start(self):
        lines = {"lb-1": [1.0, 4.0, 6.0], "lb-2": [1.0, 4.5, 6.5]}
        starts = {"lb-1": [1.0, 6.0], "lb-2": [1.0, 6.5]}
        self.assertEqual(account.find_outages(lines, starts), [(4.5, 6.0)])


if __name__ == "__main__":
    unittest.main()
