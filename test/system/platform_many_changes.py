"""Many changes of a large configuration: what a process keeps of them does not grow with their number."""

import json
import pathlib
import signal
import unittest

from control_common import wait_for
from platform_common import Installation, plan

CHANGES = 250
ROUTES = 2100
# The smallest machines and disks that the platform has.
MEMORY_MB = 96
DISK_MB = 128


def peak_mb(process):
    """The most memory that a process has used."""
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmHWM"):
            return int(line.split()[1]) / 1024
    return 0


class ManyChanges(unittest.TestCase):

    def setUp(self):
        self.it = Installation(entries=2)
        self.addCleanup(self.it.stop)
        value = plan(0)
        value["Routes"] += [{**value["Routes"][0], "Name": f"r-{n}", "PathPrefix": f"/r-{n}/"} for n in range(ROUTES)]
        self.text = json.dumps(value)
        self.assertGreater(len(self.text), 400_000)
        self.newest = 0

    def declare(self, count):
        for _ in range(count):
            self.newest += 1
            self.assertEqual(self.it.declare(self.text.replace('"Version": 0', f'"Version": {self.newest}', 1)), 200)

    def read_back(self):
        answers = []

        def is_answered():
            answers[:] = self.it.operator("GET", "/-/config")
            return answers[0] == 200
        wait_for(is_answered, 20, "the configuration is not read back")
        return json.loads(answers[1])["Version"]

    def check(self, when):
        processes = {**self.it.members, **{f"entry-{n}": it for n, it in self.it.entries.items()}}
        for name, it in processes.items():
            self.assertIsNone(it.process.poll(), name)
            self.assertLess(peak_mb(it.process), MEMORY_MB, f"memory of {name}, {when}")
        for n in self.it.members:
            files = [it for it in (self.it.folder / f"127.0.0.{n}").rglob("*") if it.is_file()]
            self.assertLess(sum(it.stat().st_size for it in files) / 1e6, DISK_MB, f"disk of {n}, {when}")

    # Guards against logs and retained changes that are bounded by their number only.
    def test_memory_and_disk_hold_and_all_processes_start_again(self):
        self.declare(1)
        self.it.wait_until_served(2)
        self.it.members[3].stop()
        self.it.entries[2].process.send_signal(signal.SIGSTOP)
        self.declare(CHANGES // 2)
        self.it.members[3].start()
        self.it.entries[2].process.send_signal(signal.SIGCONT)
        self.declare(CHANGES // 2)
        self.check("after all changes")
        self.assertEqual(self.read_back(), self.newest)
        everything = [*self.it.members.values(), *self.it.entries.values()]
        for process in everything:
            process.process.kill()
        for process in everything:
            process.stop()
            process.start()
        self.assertEqual(self.read_back(), self.newest)
        self.it.wait_until_served(1)
        self.it.wait_until_served(2)
        self.declare(1)
        self.check("after the start with all that was kept")


if __name__ == "__main__":
    unittest.main()
