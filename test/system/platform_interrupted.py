"""Work that is interrupted: streams that no server continues, rollouts whose leader ends, requests of an entry that stops."""

import json
import socket
import threading
import time
import unittest

from control_common import wait_for
from platform_common import MODEL, Installation, plan
from platform_standin import Server
from platform_trouble import memory_of, send_until_closed


def read_until_closed(connection, seconds=8):
    """Returns what arrives on a connection until its end."""
    connection.settimeout(seconds)
    received = b""
    try:
        while data := connection.recv(65536):
            received += data
    except (ConnectionError, TimeoutError):
        pass
    return received


class Interrupted(unittest.TestCase):

    def start(self, **options):
        self.it = Installation(**options)
        self.addCleanup(self.it.stop)
        self.assertEqual(self.it.declare(plan(3)), 200)
        self.it.wait_until_served(1)

    def send(self, method, path, request_id, deadline_ms=4000, **fields):
        """Sends a request to the first entry and returns its connection."""
        fields = {"Host": "a.example", "X-Key": "k-north", "X-Request-Id": request_id, "X-Deadline-Ms": deadline_ms,
                  "Content-Length": 0, **{name.replace("_", "-"): value for name, value in fields.items()}}
        connection = socket.create_connection(("127.0.1.1", self.it.ports["callers"]), 2)
        self.addCleanup(connection.close)
        connection.sendall((f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
                            + "\r\n").encode())
        return connection


class Streams(Interrupted):

    # Guards against an answer of the entry inside a stream of a server.
    def test_a_stream_that_no_server_continues_is_cut_and_has_one_head(self):
        self.start()
        engines = self.it.servers[2:]

        def end_all(handler, server):
            # New connections are refused at once, also while the listening thread waits.
            for it in engines:
                it.httpd.socket.shutdown(socket.SHUT_RDWR)
            server.stream(handler, 1, 6, cut_after=2)
            return True
        for it in engines:
            it.trick = end_all
        received = read_until_closed(self.send("POST", "/ask/x", "s1", **MODEL))
        self.assertIn(b"piece 2", received)
        self.assertEqual(received.count(b"HTTP/1.1"), 1, received)
        self.assertNotIn(b"0\r\n\r\n", received)

    # Guards against a buffer that grows for as long as a faulty server sends.
    def test_an_event_without_an_end_is_cut_off_with_bounded_memory(self):
        self.start()
        closed = []

        def flood(handler, _server):
            handler.connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"
                                       b"Transfer-Encoding: chunked\r\n\r\n" % handler.headers["X-Request-Id"].encode())
            closed.append(send_until_closed(handler, b"2000\r\n" + b"x" * 8192 + b"\r\n"))
            return True
        for it in self.it.servers[2:]:
            it.trick = flood
        before = memory_of(self.it.entries[1].process)
        begun = time.monotonic()
        received = read_until_closed(self.send("POST", "/ask/x", "s1", Connection="close", **MODEL))
        self.assertEqual(received[9:12], b"502")
        self.assertLess(time.monotonic() - begun, 2, "the request is held although both servers were given up")
        wait_for(lambda: len(closed) == 2 and None not in closed, 3, "a connection is not closed")
        self.assertLess(memory_of(self.it.entries[1].process) - before, 10)


class Rollouts(Interrupted):

    # Guards against servers that get no requests any more after the holder of orders has ended.
    def test_a_server_that_loads_when_the_control_members_end_is_used_again(self):
        engine = Server("lm-1", "lm", 1)
        engine.load_time = 0.3
        self.start(servers=[Server("app-1", "app"), engine])
        self.assertEqual(self.it.request(1, "/ask/x", "POST", **MODEL)[0], 200)
        body = json.dumps({"Model": "m", "Version": 2})
        wait_for(lambda: self.it.operator("POST", "/-/version-put", body)[0] == 200, 10, "not acknowledged")
        wait_for(lambda: engine.orders == 1, 5, "the engine gets no order")
        for it in self.it.members.values():
            it.process.kill()
        for it in self.it.members.values():
            it.process.wait()
            it.start()
        wait_for(lambda: self.it.request(1, "/ask/x", "POST", **MODEL)[0] == 200, 12, "the engine gets no requests")
        self.assertEqual((engine.version, engine.orders), (2, 1))


class Stops(Interrupted):

    # Guards against requests that a leaving entry passes on and then cuts.
    def test_what_an_entry_passed_on_is_answered_before_it_stops(self):
        self.start(stopGrace="3s")
        passed_on = threading.Event()

        def hold(handler, _server):
            passed_on.set()
            handler.close_connection = True
            handler.connection.settimeout(10)
            try:
                handler.connection.recv(1)
            except OSError:
                pass
            return True
        for it in self.it.servers:
            it.trick = hold
        before = {name: self.send(method, f"/{route}/x", name, **fields) for name, method, route, fields in (
            ("read", "GET", "read", {}), ("write", "POST", "write", {}), ("review", "POST", "review", MODEL))}
        self.assertTrue(passed_on.wait(2))
        time.sleep(0.3)
        self.it.entries[1].process.terminate()
        begun = time.monotonic()
        # The process has to see the signal before it leaves.
        time.sleep(0.3)
        later = {}
        while time.monotonic() - begun < 2.9:
            name = f"late{len(later)}"
            try:
                later[name] = self.send("POST", "/write/x", name, 1000 if len(later) % 2 else 4000)
            except OSError:
                break
            time.sleep(0.05)
        self.assertEqual(self.it.entries[1].process.wait(3), 0)
        self.assertLess(time.monotonic() - begun, 3)
        # What was running may have run; the entry says so while it still can.
        for name, connection in before.items():
            self.assertEqual(read_until_closed(connection)[9:12], b"502", name)
        seen = {it[2]["X-Request-Id"] for server in self.it.servers for it in server.seen}
        statuses = {name: read_until_closed(connection)[9:12] for name, connection in later.items()}
        for name, status in statuses.items():
            if name in seen:
                self.assertIn(status, (b"502", b"504"), f"{name} was passed on and cut")
                self.assertEqual(int(name[4:]) % 2, 1, f"{name} was passed on although it may outlast the entry")
        self.assertGreater(sum(name in seen for name in later), 3)
        self.assertGreater(sum(status == b"503" for status in statuses.values()), 3)


if __name__ == "__main__":
    unittest.main()
