"""Addresses and ports of a run of real processes: nobody else gets them.

The smoke test failed in CI when a back end and the fabric were given one port: the fabric could not
start, and every packet of the callers went to the back end.
"""

import os
import subprocess
import sys
import tempfile
import unittest

SCRIPTS = os.path.join(os.path.dirname(__file__), "..", "..", "scripts")
sys.path.insert(0, SCRIPTS)

from demo_fleet import Fleet  # noqa: E402
from loopback import LAST_PORT, LoopbackNetwork  # noqa: E402

MANY = 2000


class LoopbackTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        network = LoopbackNetwork()
        self.addCleanup(network.close)
        ports = [network.port() for _ in range(MANY)]
        self.assertEqual(len(set(ports)), MANY)

    def test_ports_lie_below_those_that_the_system_hands_out(self):
        network = LoopbackNetwork()
        self.addCleanup(network.close)
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
            self.assertLess(LAST_PORT, int(file.read().split()[0]))
        self.assertLessEqual(network.port(), LAST_PORT)

    def test_two_runs_hold_different_networks(self):
        first, second = LoopbackNetwork(), LoopbackNetwork()
        self.addCleanup(second.close)
        self.assertNotEqual(first.at(0, 1), second.at(0, 1))
        first.close()

    def test_a_network_is_held_until_its_run_ends(self):
        only = range(251, 252)  # Outside of what other runs take.
        command = [sys.executable, "-c", "from loopback import LoopbackNetwork; "
                   "print(LoopbackNetwork(range(251, 252)).at(0, 1))"]
        for _ in range(2):
            asked = subprocess.run(command, cwd=SCRIPTS, capture_output=True, text=True, check=True)
            self.assertEqual(asked.stdout, "127.251.0.1\n")
        network = LoopbackNetwork(only)
        with self.assertRaises(OSError):
            LoopbackNetwork(only)
        network.close()
        LoopbackNetwork(only).close()

    def test_a_process_that_could_not_start_is_named(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet("/usr/bin", directory)
            fleet.spawn("fabric", "false")
            fleet.wait("fabric", 10)
            self.assertEqual(fleet.failed(), ["fabric"])
            fleet.stop_all()


if __name__ == "__main__":
    unittest.main()
