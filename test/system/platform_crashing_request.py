"""A request that ends each server that begins to run it, sent again with new ids to several entries."""

import concurrent.futures
import json
import threading
import time
import unittest

from control_common import wait_for
from platform_common import Installation, plan
from platform_standin import Server

# A server is away for this long after it ended.
DOWN_S = 1.5
# From this long after the third end on, at most LATE_REQUESTS of the requests may reach servers.
BOUND_S = 3
LATE_REQUESTS = 3
ENTRIES = 3


class Ends:
    """Ends of servers and arrivals of the crashing request on one route, over all servers."""

    def __init__(self, path):
        self.path = path
        self.lock = threading.Lock()
        self.ends, self.arrivals = [], []

    def end_on_request(self, it, server):
        if it.path != self.path:
            # Sound requests run beside the crashing one.
            time.sleep(0.05)
            return False
        with self.lock:
            self.arrivals.append(time.monotonic())
        time.sleep(0.05)
        with self.lock:
            self.ends.append(time.monotonic())
        it.close_connection = True
        server.crash(DOWN_S)
        return True


class PlatformCrashingRequest(unittest.TestCase):

    def check(self, route, service, **headers):
        ends = Ends(f"/{route}/bad")
        engines = [Server(f"lm-{n}", "lm", 1) for n in range(1, 7)]
        apps = [Server(f"app-{n}", "app") for n in range(1, 6)]
        for it in apps if service == "app" else engines:
            it.trick = ends.end_on_request
        installation = Installation(entries=ENTRIES, servers=[*apps, *engines])
        self.addCleanup(installation.stop)
        self.assertEqual(installation.declare(plan(3)), 200)
        for n in range(1, ENTRIES + 1):
            installation.wait_until_served(n)
        stop = threading.Event()
        answers = {"sound": [], "bad": []}

        def run(kind, entry, gap_s):
            n = 0
            while not stop.is_set():
                n += 1
                # Sound requests are polled: each comes again and again.
                path = f"/{route}/bad" if kind == "bad" else f"/{route}/sound{n % 3}"
                begun = time.monotonic()
                try:
                    status, _, fields = installation.request(entry, path, "POST", body=b"stock", **headers)
                except OSError:
                    status, fields = 0, {}
                answers[kind].append((begun, status, fields))
                time.sleep(gap_s)

        with concurrent.futures.ThreadPoolExecutor(2 * ENTRIES) as pool:
            for entry in range(1, ENTRIES + 1):
                pool.submit(run, "sound", entry, 0.05)
                pool.submit(run, "bad", entry, 0.4)
            try:
                wait_for(lambda: len(ends.ends) >= 3, 20, "no servers end")
                time.sleep(10)
            finally:
                stop.set()
        late = [t for t in ends.arrivals if t > ends.ends[2] + BOUND_S]
        self.assertLessEqual(len(late), LATE_REQUESTS, f"{len(ends.ends)} servers ended")
        settled = time.monotonic() - 5
        refused = [it for it in answers["bad"] if it[0] > settled]
        # Proven: final, with no time to come back. Held until then: with such a time. A trial may have run.
        self.assertLessEqual({it[1] for it in refused}, {400, 502, 503})
        self.assertFalse([it for it in refused if ("Retry-After" in it[2]) != (it[1] == 503)])
        self.assertLessEqual(len([it for it in refused if it[1] == 502]), LATE_REQUESTS)
        sound = [it[1] for it in answers["sound"] if it[0] > settled]
        self.assertGreater(len(sound), 50)
        self.assertEqual(set(sound), {200})
        for entry in range(1, ENTRIES + 1):
            _, body, _ = installation.call(f"127.0.1.{entry}", "operators", "GET", "/v1/quarantine")
            self.assertEqual([it["kind"] for it in json.loads(body)["verdicts"] if it["inForce"]], ["request"])

    def test_a_request_that_ends_plain_servers_stops_reaching_servers(self):
        self.check("read", "app")

    def test_a_request_that_may_run_once_and_ends_servers_stops_reaching_servers(self):
        self.check("write", "app")

    def test_a_stream_request_that_ends_engines_stops_reaching_engines(self):
        self.check("ask", "lm", X_Model="m", X_Token_Usage="100,20", X_Prompt_Prefix="aa:60,bb:20,c1:20")


if __name__ == "__main__":
    unittest.main()
