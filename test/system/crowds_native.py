"""Crowds of clients that nobody controls at an entry and at a control member of the native interface."""

import sys
import unittest

from control_common import call
from crowd_common import LIMIT, MEMORY_MB, CrowdTest, kinds, link_kinds, unread
from deployment import Deployment, send


class Crowded(Deployment):
    def settings_file(self, member, role="control", extra=None):
        bounds = "bounds: {maxBody: 4MiB, memory: %dMiB}" % MEMORY_MB
        return super().settings_file(member, role, [*(extra or []), bounds])


class NativeCrowds(CrowdTest):

    @classmethod
    def setUpClass(cls):
        cls.it = Crowded(controls=3, entries=1, engines=1, services=1)
        cls.addClassCleanup(cls.it.__exit__)
        cls.it.start_all()
        cls.it.apply(cls.it.catalogue())
        cls.key = cls.it.grant("till")
        cls.entry = cls.it.entries[0]

    def served(self, seconds):
        return send(self.entry, self.key, {"id": "a"}, path="/svc/service-1/orders", timeout=seconds).status == 200

    def send_all(self, process, port, path, fields, ordinary):
        for name, parts in kinds(path, fields).items():
            self.check(name, process, ("127.0.0.1", port), parts, ordinary)

    def test_callers(self):
        fields = ["Authorization: Bearer " + self.key]
        self.send_all(self.entry.process, self.entry.callers, "/svc/service-1/orders", fields, self.served)
        self.check("answers not read", self.entry.process, ("127.0.0.1", self.entry.callers),
                   lambda: unread("/v1/models", [], 2000), self.served)
        body = '{"id": "a", "filler": "%s"}' % ("b" * (LIMIT - 100))
        answer = send(self.entry, self.key, body, path="/svc/service-1/orders")
        self.assertEqual(answer.status, 200, "a single request inside the limits")

    def crowd_links(self, member, ordinary):
        for name, parts in link_kinds().items():
            self.check(name, member.process, ("127.0.0.1", member.link), parts, ordinary)

    def test_links_of_an_entry(self):
        self.crowd_links(self.entry, self.served)

    def test_links_of_control(self):
        member = self.it.members[0]
        self.crowd_links(member, lambda seconds: call(member.operators, "GET", "/v1/members", timeout=seconds)[0] == 200)

    def crowd_operators(self, member):
        def ordinary(seconds):
            return call(member.operators, "GET", "/v1/status" if member is self.entry else "/v1/members", timeout=seconds)[0] == 200
        self.send_all(member.process, member.operators, "/v1/status", [], ordinary)
        self.check("answers not read", member.process, ("127.0.0.1", member.operators),
                   lambda: unread("/metrics", [], 400), ordinary)

    def test_operators_of_an_entry(self):
        self.crowd_operators(self.entry)

    def test_operators_of_control(self):
        self.crowd_operators(self.it.members[0])


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *["NativeCrowds." + it for it in sys.argv[1:]]])
