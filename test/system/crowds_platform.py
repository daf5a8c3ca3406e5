"""Crowds of clients that nobody controls at an entry and at a control member of the platform's interface."""

import sys
import unittest

from crowd_common import DESCRIPTORS, LIMIT, MEMORY_MB, CrowdTest, kinds, link_kinds, unread
from platform_common import Installation, plan
from ports import free_ports

FIELDS = ["X-Key: k-north", "X-Deadline-Ms: 4000"]
LARGE = b"a" * 2 * 1024 * 1024


class Crowded(Installation):
    def __init__(self):
        self.metrics = free_ports(1)[0]
        super().__init__(controls=3, entries=1, memoryMb=MEMORY_MB, maxDescriptors=DESCRIPTORS)
        self.ports["metrics"] = self.metrics

    def settings(self, role, host, first):
        it = super().settings(role, host, first)
        it["listen"]["metrics"] = f"{host}:{self.metrics}"
        return it


def answer_much(it, server):
    if not it.path.startswith("/read/much"):
        return False
    server.reply(it, 200, LARGE)
    return True


class PlatformCrowds(CrowdTest):

    @classmethod
    def setUpClass(cls):
        cls.it = Crowded()
        cls.addClassCleanup(cls.it.stop)
        limits = dict(plan(3)["Limits"], MaxBodyBytes=LIMIT)
        assert cls.it.declare(plan(3, Limits=limits)) == 200
        cls.it.wait_until_served()
        for it in cls.it.servers:
            it.trick = answer_much

    def at(self, host, port):
        return (host, self.it.ports[port])

    def ordinary(self, host, port, path):
        return lambda seconds: self.it.call(host, port, "GET", path, timeout=seconds)[0] in (200, 307)

    def served(self, seconds):
        return self.it.request(1, "/read/x", timeout=seconds)[0] == 200

    def send_all(self, process, host, port, path, ordinary):
        for name, parts in kinds(path, FIELDS).items():
            self.check(name, process, self.at(host, port), parts, ordinary)

    def test_callers(self):
        process = self.it.entries[1].process
        self.send_all(process, "127.0.1.1", "callers", "/write/x", self.served)
        self.check("answers not read", process, self.at("127.0.1.1", "callers"),
                   lambda: unread("/read/much", FIELDS, 20), self.served)
        body = b"b" * (LIMIT - 1)
        self.assertEqual(self.it.request(1, "/write/x", "POST", body=body)[0], 200, "a single request inside the limits")

    def test_probes_of_an_entry(self):
        process = self.it.entries[1].process
        for port in ("operators", "metrics"):
            ordinary = self.ordinary("127.0.1.1", port, "/metrics")
            self.send_all(process, "127.0.1.1", port, "/metrics", ordinary)
            self.check("answers not read", process, self.at("127.0.1.1", port),
                       lambda: unread("/metrics", [], 400), ordinary)
        self.assertTrue(self.served(3))

    def crowd_links(self, process, host, ordinary):
        for name, parts in link_kinds().items():
            self.check(name, process, self.at(host, "link"), parts, ordinary)

    def test_links_of_an_entry(self):
        self.crowd_links(self.it.entries[1].process, "127.0.1.1", self.served)

    def test_links_of_control(self):
        self.crowd_links(self.it.members[1].process, "127.0.0.1", self.ordinary("127.0.0.1", "declarations", "/-/config"))

    def crowd_control(self, port, path):
        process = self.it.members[1].process
        ordinary = self.ordinary("127.0.0.1", port, path)
        self.send_all(process, "127.0.0.1", port, path, ordinary)
        self.check("answers not read", process, self.at("127.0.0.1", port), lambda: unread(path, [], 400), ordinary)

    def test_declarations(self):
        self.crowd_control("declarations", "/-/config")

    def test_directory(self):
        process = self.it.members[1].process

        def ordinary(seconds):
            # Any answer but a failure shows that the member serves callers who look for an entry.
            return self.it.call("127.0.0.1", "directory", "GET", "/", timeout=seconds)[0] < 500
        self.send_all(process, "127.0.0.1", "directory", "/", ordinary)

    def test_operators(self):
        self.crowd_control("operators", "/v1/members")

    def test_metrics(self):
        self.crowd_control("metrics", "/metrics")


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *["PlatformCrowds." + it for it in sys.argv[1:]]])
