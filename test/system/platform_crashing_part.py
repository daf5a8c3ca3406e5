"""Requests with a part of a prompt that ends each server that begins to answer them, at several entries."""

import concurrent.futures
import json
import threading
import time
import unittest

from control_common import wait_for
from platform_common import Installation, plan
from platform_standin import Server

PART = "bad0"
# A server is away for this long after it ended.
DOWN_S = 1.5
# From this long after the fifth end on, at most LATE_REQUESTS requests with the part may reach servers.
BOUND_S = 3
LATE_REQUESTS = 3
ENTRIES = 3


class Crashes:
    """Ends of servers and arrivals of requests with the part, over all servers."""

    def __init__(self):
        self.lock = threading.Lock()
        self.ends, self.arrivals = [], []

    def end_on_part(self, it, server):
        parts = [part.split(":")[0] for part in it.headers.get("X-Prompt-Prefix", "").split(",")]
        if PART not in parts[:-1]:
            return False
        with self.lock:
            self.arrivals.append(time.monotonic())
        it.send_response(200)
        it.send_header("Content-Type", "text/event-stream")
        it.send_header("X-Request-Id", it.headers["X-Request-Id"])
        it.end_headers()
        # The server ends in the middle of the first event.
        it.wfile.write(b"id: 1\nda")
        it.close_connection = True
        with self.lock:
            self.ends.append(time.monotonic())
        server.crash(DOWN_S)
        return True


class PlatformCrashingPart(unittest.TestCase):

    @classmethod
    def setUpClass(cls):
        cls.crashes = Crashes()
        engines = [Server(f"lm-{n}", "lm", 1) for n in range(1, 7)]
        for it in engines:
            it.trick = cls.crashes.end_on_part
        cls.it = Installation(entries=ENTRIES, servers=[Server("app-1", "app"), Server("app-2", "app"), *engines])
        cls.addClassCleanup(cls.it.stop)
        assert cls.it.declare(plan(3)) == 200
        for n in range(1, ENTRIES + 1):
            cls.it.wait_until_served(n)

    def ask(self, entry, parts, route="ask"):
        """Returns the status, and the body if the answer was whole."""
        try:
            status, body, headers = self.it.request(entry, f"/{route}/x", "GET", X_Model="m", X_Token_Usage="100,20",
                                                    X_Prompt_Prefix=parts)
        except Exception:  # The answer was cut.
            return 0, b"", {}
        return status, body, headers

    def test_requests_with_a_part_that_ends_servers_stop_reaching_servers(self):
        # Each request has its own last part; all share the first one with sound requests.
        stop = threading.Event()
        answers = {"sound": [], "crashing": []}

        def run(kind, entry, gap_s):
            n = 0
            while not stop.is_set():
                n += 1
                own = f"{kind[0]}{entry}{n:x}"
                parts = f"aa:60,{PART}:20,{own}:20" if kind == "crashing" else f"aa:60,{own}:40"
                begun = time.monotonic()
                status, _, headers = self.ask(entry, parts)
                answers[kind].append((begun, status, headers))
                time.sleep(gap_s)

        with concurrent.futures.ThreadPoolExecutor(2 * ENTRIES) as pool:
            for entry in range(1, ENTRIES + 1):
                pool.submit(run, "sound", entry, 0.03)
                pool.submit(run, "crashing", entry, 0.4)
            try:
                wait_for(lambda: len(self.crashes.ends) >= 3, 15, "no servers end")
                time.sleep(12)
            finally:
                stop.set()
        ends = self.crashes.ends
        if len(ends) >= 5:
            late = [t for t in self.crashes.arrivals if t > ends[4] + BOUND_S]
            self.assertLessEqual(len(late), LATE_REQUESTS, f"{len(ends)} servers ended")
        settled = time.monotonic() - 6
        refused = [it for it in answers["crashing"] if it[0] > settled]
        # Proven: final, with no time to come back. Held until then: with such a time. A trial may have run.
        self.assertLessEqual({it[1] for it in refused}, {400, 502, 503})
        self.assertFalse([it for it in refused if ("Retry-After" in it[2]) != (it[1] == 503)])
        self.assertLessEqual(len([it for it in refused if it[1] == 502]), LATE_REQUESTS)
        sound = [it[1] for it in answers["sound"] if it[0] > settled]
        self.assertGreater(len(sound), 100)
        self.assertEqual(set(sound), {200})
        self.check_lifting()

    def verdicts(self, entry):
        _, body, _ = self.it.call(f"127.0.1.{entry}", "operators", "GET", "/v1/quarantine")
        return [it["subject"] for it in json.loads(body)["verdicts"] if it["inForce"]]

    def check_lifting(self):
        for entry in range(1, ENTRIES + 1):
            self.assertEqual(self.verdicts(entry), [PART])
        lift = json.dumps({"lift": PART})
        self.assertEqual(self.it.call("127.0.1.1", "operators", "POST", "/v1/quarantine", lift)[0], 200)
        for entry in range(1, ENTRIES + 1):
            wait_for(lambda entry=entry: not self.verdicts(entry), 5, "the verdict is still in force")
        self.assertEqual(self.it.call("127.0.1.1", "operators", "POST", "/v1/quarantine", lift)[0], 404)


if __name__ == "__main__":
    unittest.main()
