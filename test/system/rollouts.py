"""Rollouts of releases, with real control members and entries and stand-ins of both releases."""

import time
import unittest

from control_common import wait_for
from platform_standin import Server
from rollouts_common import NEW, OLD, Deployment, answering

DURATION_S = 7
# How long a rollout may take beyond its time limit on a machine that is busy.
PATIENCE_S = 8
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50


class Rollouts(unittest.TestCase):

    def deploy(self, *services, entries=2):
        it = Deployment(services, entries=entries)
        self.addCleanup(it.stop)
        it.begin()
        return it

    def check_exposure(self, service):
        """A bad release gets its share of the requests and the slack, until the time limit."""
        limit = service.ordered_at + DURATION_S
        new, old = (service.sent(it, service.ordered_at, limit) for it in (NEW, OLD))
        self.assertLessEqual(new, EXPOSURE_SHARE * (new + old) + EXPOSURE_SLACK, (service.name, new, old))
        self.assertGreater(new, 0)

    def check_rolled_back(self, it, name):
        service = it.services[name]
        self.check_exposure(service)
        time.sleep(0.5)
        ended = time.monotonic()
        time.sleep(1)
        self.assertEqual(service.sent(NEW, ended), 0, "a release that was rolled back gets requests")
        self.assertGreater(service.sent(OLD, ended), 0)

    def test_good_and_bad_releases_at_once(self):
        it = self.deploy("good", "fails", "slow")
        tricks = {"good": answering(), "fails": answering(status=500, share=0.5), "slow": answering(delay_s=0.08)}
        for name, trick in tricks.items():
            self.assertEqual(it.state(name), "404")
            self.assertEqual(it.order(name, trick, DURATION_S), 200)
            self.assertEqual(it.state(name), "running")
        for name in ("fails", "slow"):
            self.assertEqual(it.wait_for_end(name, DURATION_S + PATIENCE_S), "rolled_back", name)
        # The address of a server that is gone, but still listed, is used again by another service.
        gone = it.services["fails"].of(OLD)[0]
        gone.httpd.end()
        other = Server("other", "other")
        other.httpd.shutdown()
        other.httpd.server_close()
        other.listen(gone.port)
        it.servers[it.servers.index(gone)] = other
        for name in ("fails", "slow"):
            self.check_rolled_back(it, name)
        self.assertEqual(it.wait_for_end("good", DURATION_S + PATIENCE_S), "complete")
        good = it.services["good"]
        ended = time.monotonic() + 0.5
        time.sleep(1.5)
        self.assertEqual(good.sent(OLD, ended), 0, "old servers get requests after the rollout is complete")
        self.assertGreater(good.sent(NEW, ended), 0)
        self.assertGreater(other.misdirected, 0)
        self.assertEqual(other.seen, [])
        failed = [a for a in it.answers if a[1] == "good" and a[2] != 200]
        self.assertEqual(failed, [])

    def test_processes_that_fail_meanwhile(self):
        it = self.deploy("first", "fails", entries=3)
        self.assertEqual(it.order("first", answering(), DURATION_S), 200)
        # All of control is killed right after the acknowledgement, and comes back.
        for member in it.members.values():
            member.process.kill()
        for member in it.members.values():
            member.process.wait(5)
            member.start()
        wait_for(lambda: it.state("first") in ("running", "complete"), 15, "the acknowledged rollout is lost")
        self.assertEqual(it.order("fails", answering(status=500), DURATION_S), 200)
        wait_for(lambda: it.services["fails"].sent(NEW) > 0, 10, "the new release gets nothing")
        # The leader is killed while both run, then an entry.
        leader = it.leader()
        if leader is not None:
            it.members[leader].process.kill()
        # A process that ends is started again after a short while.
        it.entries[3].stop()
        time.sleep(0.5)
        it.entries[3].start()
        self.assertEqual(it.wait_for_end("fails", DURATION_S + PATIENCE_S), "rolled_back")
        self.check_rolled_back(it, "fails")
        if leader is not None:
            it.members[leader].process.wait(5)
            it.members[leader].start()
        self.assertEqual(it.wait_for_end("first", DURATION_S + 2 * PATIENCE_S), "complete")


if __name__ == "__main__":
    unittest.main()
