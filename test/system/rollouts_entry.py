"""A good release while an entry is lost for good."""

import unittest

from control_common import wait_for
from rollouts_common import NEW, Deployment, answering

DURATION_S = 7
# How long a rollout may take beyond its time limit on a machine that is busy.
PATIENCE_S = 8


class LostEntry(unittest.TestCase):

    def test_a_good_release_completes(self):
        it = Deployment(["app"], entries=3)
        self.addCleanup(it.stop)
        it.begin()
        self.assertEqual(it.order("app", answering(), DURATION_S), 200)
        wait_for(lambda: it.services["app"].sent(NEW) > 0, 10, "the new release gets nothing")
        it.entries.pop(3).stop()
        self.assertEqual(it.wait_for_end("app", DURATION_S + PATIENCE_S), "complete")


if __name__ == "__main__":
    unittest.main()
