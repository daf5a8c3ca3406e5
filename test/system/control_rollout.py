"""Rollouts at control: an order that was acknowledged survives its leader at each step, and the power
of all members right after the order; repeated and crossed orders; abort and time limit."""

import unittest

from control_common import Cluster, call, wait_for

CATALOGUE = """
upstreams:
  - {name: old-1, owner: chat, kind: service, address: "127.0.0.1:9001", release: v1}
  - {name: new-1, owner: chat, kind: service, address: "127.0.0.1:9002", release: v2}
routes:
  - {name: chat, owner: chat, pathPrefix: /chat, upstreams: [old-1, new-1]}
  - {name: mail, owner: mail, pathPrefix: /mail, upstreams: [old-1]}
"""


class RolloutTest(unittest.TestCase):
    def setUp(self):
        self.cluster = Cluster(3)
        self.addCleanup(self.cluster.__exit__)
        self.cluster.start()
        self.cluster.wait_voters(3)
        self.cluster.ctl("apply", "-", text=CATALOGUE)

    def order(self, service, release, limit, code=0):
        return self.cluster.ctl("--release", release, "--limit", limit, "rollout", "start", service,
                                code=code)

    def last(self, service):
        return self.cluster.ctl("rollout", "status", service)[0]

    def test_power_lost_right_after_the_order(self):
        # No server has the release, so that no step follows the order.
        self.order("mail", "v2", "10m")
        self.cluster.kill()
        self.cluster.start()
        self.cluster.wait_leader()
        self.assertEqual(self.last("mail")["state"], "running")
        self.assertEqual(self.last("mail")["release"], "v2")
        # The repeated order is accepted and starts nothing, a crossing one is refused.
        number = self.last("mail")["number"]
        self.order("mail", "v2", "10m")
        self.assertIn("in progress", str(self.order("mail", "v3", "10m", code=3)))
        self.assertIn("in progress", str(self.order("mail", "v2", "11m", code=3)))
        self.assertEqual(self.last("mail")["number"], number)

    def test_the_leader_is_killed_at_each_step(self):
        for step, limit in ((0, "10m"), (1, "10m"), (2, "11m")):
            with self.subTest(step=step):
                service = "mail" if step == 0 else "chat"
                self.order(service, "v2", limit)
                wait_for(lambda: self.last(service)["step"] >= min(step, 1), 10, "no first step")
                if step == 2:
                    self.cluster.ctl("rollout", "abort", service)
                before = self.last(service)
                leader = self.cluster.wait_leader()
                self.cluster.kill(leader)
                others = [it for it in self.cluster.members if it is not leader]
                self.cluster.wait_leader(others)
                after = self.last(service)
                for field in ("service", "release", "number", "limitMs"):
                    self.assertEqual(after[field], before[field])
                self.assertGreaterEqual(after["step"], before["step"])
                if before["state"] == "rolledBack":
                    self.assertEqual(after, before)
                self.cluster.start(leader)
                self.cluster.wait_voters(3)
                if step == 1:
                    self.cluster.ctl("rollout", "abort", service)

    def test_abort_and_time_limit(self):
        # Without reports of entries nothing advances beyond the first share.
        self.order("chat", "v2", "10m")
        share = wait_for(lambda: self.last("chat")["sharePerMille"], 10, "no first share")
        self.assertLess(share, 1000)
        self.cluster.ctl("rollout", "abort", "chat")
        aborted = self.last("chat")
        self.assertEqual((aborted["state"], aborted["sharePerMille"], aborted["reason"]),
                         ("rolledBack", 0, "by an operator"))
        self.cluster.ctl("rollout", "abort", "chat")
        self.order("chat", "v2", "3s")
        wait_for(lambda: self.last("chat")["state"] == "rolledBack", 10, "no end at the limit")
        self.assertIn("time limit", self.last("chat")["reason"])
        self.assertGreaterEqual(self.last("chat")["elapsedMs"], 2000)

    def test_bad_orders_start_nothing(self):
        rows = [(1, "does not exist", "none", "v2", "10m"), (2, "--limit", "chat", "v2", "0s"),
                (2, "--limit", "chat", "v2", "-1s"), (2, "--limit", "chat", "v2", "10"),
                (2, "--limit", "chat", "v2", "169h"), (2, "--release", "chat", "", "10m"),
                (1, "1 to 256 bytes", "chat", "v" * 257, "10m")]
        for code, message, service, release, limit in rows:
            with self.subTest(limit=limit, service=service):
                self.assertIn(message, str(self.order(service, release, limit, code=code)))
        self.assertIn("has no rollout", str(self.cluster.ctl("rollout", "abort", "chat", code=1)))
        port = self.cluster.wait_leader().operators
        change = {"kind": "startRollout", "changeId": "a", "service": "chat", "release": "v2"}
        for limit in (0, -1, 1.5, "10m", None, 10 ** 12):
            status, answer = call(port, "POST", "/v1/changes", {**change, "limitMs": limit})
            self.assertEqual(status, 400)
            self.assertIn("limitMs", answer["error"]["message"])
        self.assertEqual(self.cluster.ctl("rollout", "status"), [])


if __name__ == "__main__":
    unittest.main()
