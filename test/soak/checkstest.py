"""Each check of the soak is seen to find its breach, and to pass a history without it."""

import http.client
import os
import signal
import socket
import subprocess
import unittest
import unittest.mock

import checks
import faults
import proxy
from checks import Bounds, check_all
from report import summary
from soak import CALM, ended_by_itself, wait_out
from soaksite import SoakProcess
from standins import EVENTS, Answer, History, MalformedAnswer, event, plain_body, question

BOUNDS = Bounds(drain=3.0, in_force=2.5, ratio=0.2, slack=5, window=10, limits={"north": (100, 200)}, limit_slack=100)


class Ends(unittest.TestCase):
    """Whether a process counts as ended by itself, at every moment of a fault that ends it."""

    def process(self):
        it = SoakProcess.__new__(SoakProcess)
        # The program is replaced; what is tested is which ends count.
        it.spawn = lambda: subprocess.Popen(["sleep", "60"])
        it.start()
        self.addCleanup(lambda: (it.process.kill(), it.process.wait()))
        return it

    def test_a_killed_process_does_not_count_while_its_successor_starts(self):
        it = self.process()
        found = []
        spawn = it.spawn

        def spawn_watched():
            found.append(ended_by_itself(it))
            return spawn()
        it.spawn = spawn_watched
        it.kill()
        it.start()
        self.assertEqual(found, [None])
        self.assertIsNone(ended_by_itself(it))

    def test_a_process_that_ends_by_itself_counts(self):
        it = self.process()
        it.process.kill()
        it.process.wait()
        self.assertIs(ended_by_itself(it), it.process)

    def test_a_stopped_process_does_not_count(self):
        it = self.process()
        it.signal(signal.SIGTERM)
        it.process.wait()
        self.assertIsNone(ended_by_itself(it))


class Stops(unittest.TestCase):
    """Which stops of an entry count as late: only those of the process that was asked, and that could run."""

    def exits_after(self, command, meanwhile):
        it = SoakProcess.__new__(SoakProcess)
        it.spawn = lambda: subprocess.Popen(command, stdout=subprocess.PIPE)
        it.start()
        programs = [it.process]
        # The command says when it has set what a signal does.
        it.process.stdout.readline()
        history = History()
        stop = faults.Player(1, unittest.mock.Mock(processes={"entry-1": it}), history, None).stopped("entry-1", 1)
        with unittest.mock.patch("faults.STOP_GRACE", 0.5):
            stop.begin()
            meanwhile(it)
            programs.append(it.process)
            stop.end()
        self.assertTrue(it.alive())
        for program in {*programs, it.process}:
            program.kill()
            program.wait()
            program.stdout.close()
        return [exit["how"] for exit in history.exits]

    def test_only_the_process_that_was_asked_is_judged(self):
        ends = ["sh", "-c", "trap 'exit 0' TERM; echo; while :; do sleep 0.01; done"]
        hangs = ["sh", "-c", "trap '' TERM; echo; exec sleep 60"]
        fails = ["sh", "-c", "trap 'exit 3' TERM; echo; while :; do sleep 0.01; done"]

        def succeed(it):
            it.kill()
            it.start()

        def freeze(it):
            it.process.send_signal(signal.SIGSTOP)
        for name, command, meanwhile, found in (
                ("ends", ends, lambda it: None, []),
                ("frozen", ends, freeze, []),
                ("killed and started by another fault", hangs, succeed, []),
                ("hangs", hangs, lambda it: None, ["did not end within its grace time"]),
                ("hangs, frozen", hangs, freeze, ["did not end within its grace time"]),
                ("fails", fails, lambda it: None, ["ended with 3"])):
            with self.subTest(name):
                self.assertEqual(self.exits_after(command, meanwhile), found)


class Calm(unittest.TestCase):
    """How long a soak goes on after its last fault."""

    def setUp(self):
        self.history = History()
        self.time = 30.0
        self.history.now = lambda: self.time
        self.crashes = []

    def crash(self, at):
        self.history.add(self.history.faults, kind="server crashed", touches=["servers"], at=at, ended=at + 1.5, planned=False)

    def sleep(self, seconds):
        self.time += seconds
        while self.crashes and self.crashes[0] <= self.time:
            self.crash(self.crashes.pop(0))

    def test_a_crash_after_the_faults_does_not_cut_the_calm_short(self):
        # A trial of a crashing request left one second in which each server had to get a request.
        self.crash(28.0)
        self.crashes = [39.3]
        wait_out(self.history, self.sleep)
        self.assertGreaterEqual(self.time, 40.8 + checks.RECOVERY + CALM)

    def test_crashes_without_an_end_do_not_hold_a_soak(self):
        self.crashes = [31.0 + n for n in range(200)]
        wait_out(self.history, self.sleep)
        self.assertLess(self.time, 91)


class Owners(unittest.TestCase):
    """Whose connection the proxy accepted, so that a fault touches the right process."""

    def connected(self):
        listener = socket.create_server(("127.0.0.1", 0))
        near = socket.create_connection(listener.getsockname())
        far, _ = listener.accept()
        for it in (listener, near, far):
            self.addCleanup(it.close)
        return near, far

    def test_both_ways_to_find_the_owner_agree(self):
        _, far = self.connected()
        ends = far.getpeername(), far.getsockname()
        try:
            self.assertEqual(proxy.diagnosed_inode(*ends), int(proxy.listed_inode(*ends)))
        except OSError as error:
            self.skipTest(f"this kernel does not tell of one connection: {error}")

    def test_the_proxy_does_not_stand_still_for_the_connections_of_others(self):
        # Many connections of other programs made each new one through the proxy take 0.1 s, one after the other.
        _, far = self.connected()
        try:
            proxy.diagnosed_inode(far.getpeername(), far.getsockname())
        except OSError as error:
            self.skipTest(f"this kernel does not tell of one connection: {error}")
        with unittest.mock.patch("builtins.open", side_effect=AssertionError("reads a list of all connections")):
            self.assertEqual(proxy.owner_of(far, {"other": 1, "own": os.getpid()}), "own")

    def test_a_closed_connection_has_no_owner(self):
        near, far = self.connected()
        near.close()
        self.assertIsNone(proxy.owner_of(far, {"own": os.getpid()}))


class Checks(unittest.TestCase):

    def setUp(self):
        self.history = History()
        self.calm()

    def calm(self):
        """Thirty requests of each kind, all served, and a configuration that was read back."""
        for n in range(30):
            for kind in ("read", "write", "ask"):
                self.served(f"{kind}{n}", kind, 30 + n * 0.3)
        self.changed(1, 1.0)
        self.read(1, 20.0)

    def served(self, name, kind, at, **changes):
        stamp = "stamp-" + name
        stream = kind in ("ask", "review")
        body = b"".join(event(name, n) for n in range(1, EVENTS + 1)) if stream else plain_body(name, stamp)
        request = self.history.add(
            self.history.requests, id=name, kind=kind, key="k-north", entry="127.0.1.1", at=at, status=200, stamp=stamp,
            body=body, complete=True, end="answered", ended=at + 0.1, left=None, retry_after=None, events=0, first=1, tokens=1)
        request.update(changes)
        self.arrived(request, stamp=stamp, service="lm" if stream else "app")
        return request

    def arrived(self, request, **changes):
        arrival = self.history.add(
            self.history.arrivals, id=request["id"], path=f"/{request['kind']}/{request['id']}", server="app-1", service="app",
            at=request["at"] + 0.01, ran=True, ended=request["at"] + 0.05, end="whole", stamp="", tenant="north", key=None,
            body=question(request["kind"]), first=1, deadline="4000")
        arrival.update(changes)
        return arrival

    def changed(self, version, at, status=200, valid=True, text=None):
        self.history.add(self.history.changes, version=version, text=text or f"text {version}", at=at, status=status,
                         acknowledged=at + 0.1 if status == 200 else None, valid=valid)

    def read(self, version, at, text=None):
        self.history.add(self.history.reads, member=1, at=at, version=version, text=text or f"text {version}")

    def probed(self, version, at, status, entry="127.0.1.1"):
        self.history.add(self.history.requests, id=f"probe{at}", kind="probe", key="k-north", entry=entry, at=at, status=status,
                         stamp="", body=b"", complete=True, end="answered", ended=at + 0.01, left=None, retry_after=None,
                         events=0, first=1, tokens=10, version=version)

    def fault(self, kind, touched, at, ended=None, planned=False):
        self.history.add(self.history.faults, kind=kind, touches=[touched], at=at, ended=ended or at, planned=planned)

    def found(self):
        return {name for name, breaches in check_all(self.history, BOUNDS).items() if breaches}

    def test_a_calm_history_breaks_nothing(self):
        self.assertEqual(self.found(), set())

    def test_answers(self):
        for changes in ({"body": b"of another"}, {"stamp": "of another"}, {"body": b"", "complete": True}):
            with self.subTest(changes=changes):
                request = self.served("x", "read", 31, **changes)
                self.assertEqual(self.found(), {"whole_answers"})
                self.history.requests.remove(request)
                self.history.arrivals.pop()
        stream = self.served("y", "ask", 31)
        stream["body"] = stream["body"].replace(event("y", 3), b"")
        self.assertEqual(self.found(), {"whole_answers"})

    def test_a_broken_stream_that_shows_it(self):
        stream = self.served("y", "review", 31, complete=False, end="IncompleteRead")
        stream["body"] = stream["body"][:40]
        self.assertEqual(self.found(), set())

    def test_a_stream_with_bytes_that_belong_to_no_answer(self):
        stream = self.served("y", "review", 31, complete=False, end="MalformedAnswer")
        stream["body"] = stream["body"][:40]
        self.assertEqual(self.found(), {"answers_are_well_formed"})

    def test_a_second_head_is_no_size_of_a_chunk(self):
        for rest, error in ((b"HTTP/1.1 502 Bad Gateway\r\n\r\n", MalformedAnswer), (b"", http.client.IncompleteRead)):
            near, far = socket.socketpair()
            with near, far:
                far.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n" + rest)
                far.shutdown(socket.SHUT_WR)
                answer = Answer(near)
                answer.begin()
                with self.assertRaises(error):
                    answer.read()
                answer.close()

    def test_runs(self):
        twice = self.served("x", "write", 31)
        self.arrived(twice, stamp="again")
        self.assertEqual(self.found(), {"run_once"})
        twice.update(kind="read")
        for it in self.history.arrivals:
            it["path"] = it["path"].replace("/write/x", "/read/x")
            if it["id"] == "x":
                it["body"] = question("read")
        self.assertEqual(self.found(), set())

    def test_refusals(self):
        for status in checks.NOT_RUN:
            self.served(f"x{status}", "write", 31, status=status)
            self.assertEqual(self.found(), {"not_run_is_true"})
            self.history.requests.pop()
            self.history.arrivals.pop()

    def test_requests_at_servers(self):
        for changes in ({"id": "nobody"}, {"tenant": "south"}, {"key": "k-north"}, {"path": "/read/other"}, {"service": "lm"},
                        {"body": b"another"}):
            with self.subTest(changes=changes):
                arrival = self.arrived(self.served("x", "read", 31))
                arrival.update(changes)
                self.assertEqual(self.found(), {"own_requests"})
                self.history.requests.pop()
                del self.history.arrivals[-2:]

    def test_leaving_callers(self):
        for n in range(4):
            left = self.served(f"x{n}", "read", 31, left=31.1, status=0, complete=False, end="left")
            self.arrived(left, at=31.8)
        self.assertEqual(self.found(), {"leaving_ends_work"})

    def test_servers_of_leaving_callers(self):
        for n in range(4):
            left = self.served(f"x{n}", "read", 31, left=31.1, status=0, complete=False, end="left")
            self.history.arrivals[-1]["ended"] = left["left"] + (0.7 if n else 0.1)
        self.assertEqual(self.found(), set())
        self.served("y", "read", 31, left=31.1, status=0, complete=False, end="left")
        self.history.arrivals[-1]["ended"] = None
        self.assertEqual(self.found(), {"leaving_stops_servers"})

    def test_time_left(self):
        for deadline in (None, "4001", "soon"):
            self.history.arrivals[0]["deadline"] = deadline
            self.assertEqual(self.found(), {"time_left_is_told"})

    def test_limits(self):
        for n in range(30):
            self.served(f"x{n}", "ask", 31, tokens=50)
        self.assertEqual(self.found(), {"limits_kept"})

    def test_repeats(self):
        for n in range(30):
            self.arrived(self.history.requests[3 * n], ran=False, end="not run", at=self.history.requests[3 * n]["at"] + 0.1)
        self.assertEqual(self.found(), {"repeats_in_budget"})

    def test_drained_servers(self):
        self.history.add(self.history.lists, server="app-9", at=25.0)
        arrival = self.arrived(self.served("x", "read", 31), server="app-9")
        self.assertEqual(self.found(), {"drained_servers_rest"})
        self.fault("cut", "entry-1", 24, 30)
        self.assertNotIn("drained_servers_rest", self.found())
        self.history.faults.clear()
        arrival["at"] = 27
        self.assertEqual(self.found(), set())

    def test_configurations(self):
        breaches = {
            "read back older": lambda: (self.changed(2, 21), self.read(1, 25), self.read(2, 26)),
            "lost": lambda: (self.changed(2, 24), self.read(1, 25)),
            "invalid": lambda: self.changed(1, 22, valid=False, text="broken"),
            "not sent": lambda: self.read(1, 25, text="other"),
            "two contents": lambda: (self.changed(2, 21, text="one"), self.changed(2, 22, text="two"), self.read(2, 25, "one")),
        }
        for name, breach in breaches.items():
            with self.subTest(breach=name):
                self.setUp()
                breach()
                self.assertEqual(self.found(), {"configuration_kept"})

    def test_obedience(self):
        self.probed(1, 25.0, 404)
        self.assertEqual(self.found(), {"configuration_obeyed"})
        self.fault("killed", "control-1", 23, 24)
        self.history.requests[-1]["at"] = 25.0
        self.assertNotIn("configuration_obeyed", self.found())

    def test_an_entry_that_forgets(self):
        self.fault("cut", "entry-1", 24, 26)
        self.probed(1, 24.0, 200)
        self.probed(1, 25.0, 404)
        self.assertIn("configuration_obeyed", self.found())
        self.fault("killed", "entry-1", 24.5, 24.7)
        self.assertNotIn("configuration_obeyed", self.found())

    def test_stopping(self):
        self.fault("stopped", "entry-1", 31, 32, planned=True)
        self.served("x", "read", 31, status=0, complete=False, end="RemoteDisconnected", body=b"")
        self.assertIn("stopping_cuts_nothing", self.found())

    def test_stopping_that_leaves_a_server(self):
        self.fault("stopped", "entry-1", 31, 32, planned=True)
        self.served("x", "read", 31, status=0, complete=False, end="RemoteDisconnected", body=b"")
        self.history.arrivals[-1]["end"] = "caller gone"
        self.assertIn("stopping_cuts_nothing", self.found())

    def test_requests_beyond_their_time(self):
        for n in range(4):
            self.served(f"x{n}", "read", 31, status=0, complete=False, end="timed out", ended=36.0, body=b"")
        self.assertIn("answered_in_time", self.found())

    def test_recovery(self):
        self.fault("killed", "entry-1", 10, 12)
        for it in self.history.requests[:60]:
            it.update(status=503, complete=True)
        self.assertIn("recovered", self.found())

    def test_the_report_of_a_recovery_that_failed_says_why(self):
        self.fault("killed", "entry-1", 10, 12)
        for it in self.history.requests[:60]:
            it.update(status=503, body=b'{"error":"noUpstream"}')
        lines = summary(1, self.history, check_all(self.history, BOUNDS)).splitlines()
        wanted = "unserved: 30.00 to 30.10 s read 127.0.1.1 503 noUpstream app-1 30.01 to 30.05 whole"
        self.assertIn(wanted, lines)

    def test_servers_that_get_no_requests(self):
        self.fault("killed in a rollout", "everyone", 10, 12)
        self.history.ready = ["app-1"]
        self.assertEqual(self.found(), set())
        self.history.ready = ["app-1", "lm-2"]
        self.assertEqual(self.found(), {"all_servers_used"})

    def crash(self, at, entry="127.0.1.1"):
        name = f"crash{at}"
        self.history.add(self.history.crashing, id=name, entry=entry, at=at, status=0)
        self.history.add(self.history.crashes, id=name, server="app-1", at=at)

    def test_requests_that_crash_servers(self):
        for at in (5.0, 6.0, 7.0, 8.0, 12.0, 13.0, 14.0):
            self.crash(at)
        self.assertEqual(self.found(), set())
        self.crash(15.0)
        self.assertEqual(self.found(), {"crashing_requests_rest"})
        # A part takes two crashes more; all entries forget as all are killed.
        self.history.crashing_by_part = True
        self.assertEqual(self.found(), set())
        self.history.crashing_by_part = False
        self.fault("all killed", "everyone", 9, 10)
        self.assertEqual(self.found(), set())

    def test_an_entry_that_was_cut_off_sends_what_crashes_servers(self):
        for at in (5.0, 6.0, 7.0, 12.0, 13.0, 14.0, 15.0):
            self.crash(at)
        self.assertEqual(self.found(), {"crashing_requests_rest"})
        self.fault("cut", "entry-1", 11, 16)
        self.assertEqual(self.found(), set())

    def test_a_sound_request_that_is_refused_for_crashes(self):
        self.served("x", "read", 31, status=400, body=b"")
        self.assertIn("crashing_requests_rest", self.found())

    def test_processes(self):
        self.history.exits.append({"name": "control-1", "at": 5.0, "how": "ended by itself with 0"})
        self.assertEqual(self.found(), {"ran_throughout"})

    def test_every_check_is_tested(self):
        # A check that is added needs a case here.
        self.assertEqual(len(checks.CHECKS), 19)


if __name__ == "__main__":
    unittest.main()
