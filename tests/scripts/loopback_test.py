"""Tests that runs of real processes don't share addresses or ports.

Guards against two processes of one run being assigned the same port.
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

PORT_COUNT = 2000


class LoopbackTest(unittest.TestCase):
    def test_ports_are_unique(self):
        network = LoopbackNetwork()
        self.addCleanup(network.close)
        ports = [network.allocate_port() for _ in range(PORT_COUNT)]
        self.assertEqual(len(set(ports)), PORT_COUNT)

    def test_ports_are_below_the_ephemeral_range(self):
        network = LoopbackNetwork()
        self.addCleanup(network.close)
        with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="utf-8") as file:
            self.assertLess(LAST_PORT, int(file.read().split()[0]))
        self.assertLessEqual(network.allocate_port(), LAST_PORT)

    def test_concurrent_runs_use_different_networks(self):
        first, second = LoopbackNetwork(), LoopbackNetwork()
        self.addCleanup(second.close)
        self.assertNotEqual(first.host_address(0, 1), second.host_address(0, 1))
        first.close()

    def test_network_is_reserved_until_its_run_ends(self):
        numbers = range(251, 252)  # Outside of NETWORK_NUMBERS.
        command = [sys.executable, "-c", "from loopback import LoopbackNetwork; "
                   "print(LoopbackNetwork(range(251, 252)).host_address(0, 1))"]
        for _ in range(2):
            result = subprocess.run(command, cwd=SCRIPTS, capture_output=True, text=True, check=True)
            self.assertEqual(result.stdout, "127.251.0.1\n")
        network = LoopbackNetwork(numbers)
        with self.assertRaises(OSError):
            LoopbackNetwork(numbers)
        network.close()
        LoopbackNetwork(numbers).close()

    def test_failed_process_is_reported(self):
        with tempfile.TemporaryDirectory() as directory:
            fleet = Fleet("/usr/bin", directory)
            fleet.spawn("fabric", "false")
            fleet.wait("fabric", 10)
            self.assertEqual(fleet.failed(), ["fabric"])
            fleet.stop_all()


if __name__ == "__main__":
    unittest.main()
