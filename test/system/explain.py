"""From the id of a failed request to its cause, by log files alone: the walks of docs/OPERATIONS.md."""

import fcntl
import functools
import http.client
import json
import os
import pathlib
import socket
import subprocess
import time
import unittest

from control_common import BIN, wait_for
from platform_common import MODEL, Installation, plan

# The time that settings give a process to stop, in seconds.
STOP_GRACE = 8


class Explain(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.it = Installation()
        cls.addClassCleanup(cls.it.stop)
        declared = plan(3)
        # What one test spends is not missing in another one.
        declared["Tenants"].append({**declared["Tenants"][0], "Name": "south", "ApiKeys": ["k-south"]})
        assert cls.it.declare(declared) == 200
        cls.it.wait_until_served(1)

    def setUp(self):
        for it in self.it.servers:
            it.trick = None

    def story(self, request_id, last):
        """Returns what the command tells of a request once its last line was written."""
        files = sorted(str(it) for it in self.it.folder.glob("*.log"))
        told = {}

        def is_told():
            done = subprocess.run([pathlib.Path(BIN) / "kumquatctl", "--output", "json", "explain", request_id, *files],
                                  capture_output=True, text=True, timeout=10)
            if done.returncode == 0:
                told.update(json.loads(done.stdout))
            return bool(told) and told["story"][-1]["message"] == last
        wait_for(is_told, 5, "the story does not end with: " + last)
        return told

    def line(self, told, message):
        return next(it for it in told["story"] if it["message"] == message)

    def test_a_request_above_its_customers_rate(self):
        request_id = os.urandom(8).hex()
        usage = {"X_Token_Usage": "90000,20000", "X_Model": "m", "X_Prompt_Prefix": "aa:90000"}
        statuses = [self.it.request(1, "/ask/x", "POST", body=b"x", **usage)[0] for _ in range(8)]
        self.assertIn(429, statuses)
        self.assertEqual(self.it.request(1, "/ask/x", "POST", body=b"x", X_Request_Id=request_id, **usage)[0], 429)
        told = self.story(request_id, "refused")
        refused = self.line(told, "refused")
        self.assertEqual((refused["status"], refused["customer"], refused["sends"]), ("429", "north", "0"))
        self.assertIn("limits.spend", refused["reason"])
        self.assertGreater(int(refused["retryAfterMs"]), 0)
        # Which configuration set the rate.
        self.assertIn("declaration in force", [it["message"] for it in self.beliefs_from_start()])

    def beliefs_from_start(self):
        text = (self.it.folder / "entry-1.log").read_text()
        return [json.loads(it) for it in text.splitlines() if it.startswith("{")]

    def test_a_stream_that_ended_midway(self):
        ask = functools.partial(self.it.request, 1, "/review/x", "POST", "k-south", b"x", **MODEL)
        wait_for(lambda: ask()[0] == 200, 10, "no stream is served")
        for it in self.it.servers[2:]:
            it.trick = lambda handler, server: server.stream(handler, 1, 6, cut_after=2) or True
        request_id = os.urandom(8).hex()
        answer = None
        try:
            answer = ask(X_Request_Id=request_id)
        except (OSError, http.client.HTTPException):
            pass  # The answer was cut.
        self.assertIsNone(answer)
        told = self.story(request_id, "cut by the server")
        sent = self.line(told, "sent")
        ended = self.line(told, "send ended")
        self.assertEqual((ended["server"], ended["how"], ended["hadFirstToken"]), (sent["server"], "cut", "yes"))
        self.assertIn(sent["server"], [it.name for it in self.it.servers[2:]])
        self.assertLess(int(sent["listAgeMs"]), 5000)

    def test_a_call_that_may_not_be_repeated_and_ended_502(self):
        def cut(it, server):
            it.connection.shutdown(socket.SHUT_RDWR)
            it.close_connection = True
            return True
        for it in self.it.servers[:2]:
            it.trick = cut
        request_id = os.urandom(8).hex()
        answer = self.it.request(1, "/write/x", "POST", body=b"x", X_Request_Id=request_id)
        self.assertEqual(answer[0], 502)
        told = self.story(request_id, "refused")
        refused = self.line(told, "refused")
        self.assertEqual((refused["status"], refused["outcome"], refused["sends"]), ("502", "unknown", "1"))
        self.assertEqual(self.line(told, "send ended")["how"], "cut")

    def test_a_process_whose_log_nobody_reads_ends_in_time(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        entry = self.it.entries[2]
        entry.stop()
        unread = subprocess.Popen([pathlib.Path(BIN) / "kumquathavend", "--settings", entry.file], stdout=writer)
        self.addCleanup(unread.wait, 5)
        self.addCleanup(unread.kill)
        os.close(writer)
        self.it.wait_until_served(2)
        # More lines than the pipe holds, so that the writer stands still in the middle of one.
        self.assertEqual({self.it.request(2, "/read/x")[0] for _ in range(40)}, {200})
        time.sleep(0.5)
        unread.terminate()
        self.assertEqual(unread.wait(STOP_GRACE), 0)
        entry.start()

    def test_an_id_that_nobody_logged(self):
        done = subprocess.run([pathlib.Path(BIN) / "kumquatctl", "explain", "none", str(self.it.folder / "entry-1.log")],
                              capture_output=True, text=True, timeout=10)
        self.assertEqual(done.returncode, 1)
        self.assertIn("no line of these files has the id none", done.stderr)


if __name__ == "__main__":
    unittest.main()
