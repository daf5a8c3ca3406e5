"""Servers and callers of a soak. Both write down what they see; the checks read only that."""

import http.client
import os
import random
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "system"))
from platform_standin import Server  # noqa: E402

EVENTS = 8
EVENT_PAUSE = 0.03
# Seconds for which a caller waits for any byte: beyond the time limit of each route.
PATIENCE = 6
PROMPT_TOKENS, OUTPUT_TOKENS = 100, 20
# What callers give each request, in milliseconds.
DEADLINE_MS = 4000
KEYS = {"k-north": "north", "k-south": "south"}
KINDS = {"read": "GET", "write": "POST", "ask": "POST", "review": "POST"}
IDEMPOTENT = ("read", "ask")
# Begins the last element of the path of a request that crashes servers, and the part that does.
CRASHING, CRASHING_PART = "crash", "dead"


class History:
    """Everything that was seen, with times in seconds since the start."""

    def __init__(self):
        self.begun = time.monotonic()
        self.lock = threading.Lock()
        self.requests = []
        self.arrivals = []
        self.reads = []
        self.changes = []
        self.faults = []
        # When servers began to leave, processes that ended wrongly, and the logs of all by file.
        self.lists = []
        self.exits = []
        # Servers that were ready at the end.
        self.ready = []
        # Requests that crash servers, whether all have one part or are one, and where each crashed a server.
        self.crashing = []
        self.crashing_by_part = False
        self.crashes = []
        self.logs = {}

    def now(self):
        return time.monotonic() - self.begun

    def add(self, records, **record):
        with self.lock:
            records.append(record)
        return record


def question(kind):
    """What a caller sends along."""
    return b"" if kind in ("read", "probe") else b"question"


def plain_body(request_id, stamp):
    return f"{request_id} {stamp} ".encode() + b"x" * 2000 + b" end"


def event(request_id, n):
    return f"id: {n}\ndata: {request_id.split('.')[0]} piece {n}\n\n".encode()


class SoakServer(Server):
    """A server that notes each request and its end, and misbehaves as it is told to."""

    def __init__(self, name, service, version, history, generator):
        self.history, self.generator = history, generator
        # One of "", "errors", "sheds", "hangs", "cuts", "loses", "slow".
        self.fault = ""
        # Called with the server under a request that crashes it; set by the site.
        self.crash = None
        self.starts = 0
        super().__init__(name, service, version)
        self.load_time = 0.3

    def restart(self):
        """A new start at the same address: a new name, and nothing of before."""
        self.starts += 1
        self.name = f"{self.service}-{self.port}-{self.starts}"
        self.orders = 0
        self.is_loading = False

    def handle(self, it):
        if it.path.startswith("/-/") or it.path == "/h":
            return super().handle(it)
        body = it.rfile.read(int(it.headers.get("Content-Length") or 0))
        if it.path.split("/")[2].startswith(CRASHING):
            return self.crash_under(it)
        history = self.history
        record = history.add(history.arrivals, id=it.headers.get("X-Request-Id"), path=it.path, server=self.name,
                             service=self.service, at=history.now(), ran=False, ended=None, end="", stamp="",
                             tenant=it.headers.get("X-Tenant"), key=it.headers.get("X-Key"), body=body,
                             first=int(it.headers.get("Last-Event-Id") or 0) + 1, deadline=it.headers.get("X-Deadline-Ms"))
        try:
            self.answer(it, record)
        except OSError:
            record["end"] = "caller gone"
        record["ended"] = history.now()
        return None

    def crash_under(self, it):
        """Ends before the answer begins, and with it all requests that run here."""
        if it.headers.get("X-Target-Instance", self.name) != self.name:
            return self.reply(it, 421, b"", {"X-Instance-Id": self.name, "X-Weight-Versions": str(self.version)})
        self.history.add(self.history.crashes, id=it.headers["X-Request-Id"], server=self.name, at=self.history.now())
        it.close_connection = True
        self.crash(self)
        return None

    def answer(self, it, record):
        kind = it.path.split("/")[1]
        own = {"X-Instance-Id": self.name}
        version = it.headers.get("X-Expect-Version", str(self.version))
        if it.headers.get("X-Target-Instance", self.name) != self.name or ("X-Model" in it.headers
                                                                           and version != str(self.version)):
            record["end"] = "misdirected"
            return self.reply(it, 421, b"", {**own, "X-Weight-Versions": str(self.version)})
        fault = self.fault if self.generator.random() < 0.7 else ""
        if fault == "sheds" or ("X-Model" in it.headers and self.is_loading):
            record["end"] = "not run"
            return self.reply(it, 503, b"", {**own, "X-Not-Executed": "1"})
        if fault == "hangs":
            return self.hang(it, record)
        record.update(ran=True, stamp=f"{self.name}/{os.urandom(6).hex()}")
        if fault == "errors":
            record["end"] = "failed"
            return self.reply(it, 500, b"broken", {"X-Response-Stamp": record["stamp"]})
        if fault == "slow":
            time.sleep(0.4)
        if kind in ("ask", "review"):
            return self.send_events(it, record, fault)
        if fault in ("cuts", "loses"):
            return self.cut(it, record)
        time.sleep(self.generator.uniform(0.002, 0.03))
        self.reply(it, 200, plain_body(record["id"], record["stamp"]), {"X-Response-Stamp": record["stamp"]})
        record["end"] = "whole"

    def hang(self, it, record):
        """Reads on until the other side gives up."""
        it.connection.settimeout(8)
        it.close_connection = True
        it.connection.recv(1)
        record["end"] = "caller gone"

    def cut(self, it, record):
        it.connection.shutdown(socket.SHUT_RDWR)
        it.close_connection = True
        record["end"] = "cut"

    def send_events(self, it, record, fault):
        it.send_response(200)
        for name, value in (("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
                            ("X-Response-Stamp", record["stamp"]), ("X-Weight-Versions", str(self.version)),
                            ("X-Request-Id", record["id"])):
            it.send_header(name, value)
        it.end_headers()
        for n in range(record["first"], EVENTS + 1):
            piece = event(record["id"], n)
            if fault in ("cuts", "loses") and n > EVENTS // 2:
                it.wfile.write(b"%x\r\n%s" % (len(piece), piece[:7]))
                it.wfile.flush()
                return self.cut(it, record)
            it.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            it.wfile.flush()
            time.sleep(EVENT_PAUSE)
        it.wfile.write(b"0\r\n\r\n")
        record["end"] = "whole"


class MalformedAnswer(http.client.HTTPException):
    """An answer that goes on with bytes that belong to none, where the size of a chunk is due."""


class Answer(http.client.HTTPResponse):
    """An answer that tells bytes that are no size of a chunk from the end of the connection."""

    def _read_next_chunk_size(self):
        line = self.fp.readline(65537)
        try:
            return int(line.split(b";")[0], 16)
        except ValueError:
            if line:
                raise MalformedAnswer(line) from None
            raise


class Caller(threading.Thread):
    """Sends requests of all kinds over connections that it keeps until they end."""

    def __init__(self, number, seed, history, entries, stop):
        super().__init__(daemon=True)
        self.generator = random.Random(f"{seed}/{number}")
        # Well-behaved, repeats at once, leaves early, or reads slowly.
        self.manner = ("good", "good", "good", "repeats", "leaves", "slow")[number % 6]
        self.key = list(KEYS)[number % len(KEYS)]
        self.history, self.entries, self.stop_signal = history, entries, stop
        self.connection = None
        self.entry = ""

    def run(self):
        while not self.stop_signal.is_set():
            kind = self.generator.choice(("read", "read", "read", "write", "ask", "review"))
            record = self.send(kind)
            if self.manner == "repeats":
                for _ in range(3):
                    self.send(kind)
            elif record["status"] in (429, 503):
                self.stop_signal.wait(min(2.0, float(record["retry_after"] or 1)))
                self.send(kind)
            elif kind == "ask" and record["status"] == 200 and not record["complete"] and not record["left"]:
                self.send(kind, resumed=record)
            self.stop_signal.wait(self.generator.uniform(0.05, 0.25))

    def connect(self):
        host, port = self.generator.choice(self.entries())
        self.connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
        self.connection.response_class = Answer
        self.connection.connect()
        self.entry = host

    def begin(self, name, kind, **more):
        """Notes a request that is about to be sent."""
        return self.history.add(self.history.requests, **{
            "id": name, "kind": kind, "key": self.key, "entry": None, "at": self.history.now(), "status": 0, "stamp": "",
            "body": b"", "complete": False, "end": "", "ended": None, "left": None, "retry_after": None, "events": 0,
            "first": 1, "tokens": PROMPT_TOKENS + OUTPUT_TOKENS, **more})

    def fields(self, name):
        return {"Host": "a.example", "X-Request-Id": name, "X-Deadline-Ms": str(DEADLINE_MS), "X-Key": self.key}

    def send(self, kind, resumed=None):
        # The name of a resumed stream goes on, since its events bear it.
        name = resumed["id"].split(".")[0] + "." + os.urandom(3).hex() if resumed else os.urandom(8).hex()
        record = self.begin(name, kind, first=resumed["events"] + 1 if resumed else 1)
        fields = self.fields(name)
        if kind in ("ask", "review"):
            # Prompts that share nothing can go to any engine, others go to those that hold the shared part.
            parts = "aa:60,bb:40" if self.generator.random() < 0.5 else f"{os.urandom(4).hex()}:100"
            fields.update({"X-Model": "m", "X-Token-Usage": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", "X-Prompt-Prefix": parts})
        if resumed:
            fields["Last-Event-Id"] = str(resumed["events"])
        try:
            if self.connection is None:
                self.connect()
            record["entry"] = self.entry
            self.connection.request(KINDS[kind], f"/{kind}/{name}", question(kind) or None, fields)
            self.receive(record)
        except (OSError, http.client.HTTPException) as error:
            record["end"] = record["end"] or type(error).__name__
            self.drop()
        record["ended"] = self.history.now()
        return record

    def receive(self, record):
        leaves = self.manner == "leaves" and self.generator.random() < 0.5
        if leaves:
            self.connection.sock.settimeout(self.generator.uniform(0.01, 0.15))
        try:
            answer = self.connection.getresponse()
            record.update(status=answer.status, stamp=answer.getheader("X-Response-Stamp") or "",
                          retry_after=answer.getheader("Retry-After"), own_id=answer.getheader("X-Request-Id"))
            while True:
                if self.manner == "slow":
                    time.sleep(0.05)
                piece = answer.read1(64 if self.manner == "slow" else 65536)
                if not piece:
                    # An answer with an empty body is only over after this.
                    answer.read()
                    break
                record["body"] += piece
                record["events"] = record["first"] - 1 + record["body"].count(b"\n\n")
            record.update(complete=True, end="answered")
            if answer.will_close:
                self.drop()
        except TimeoutError:
            record.update(end="left" if leaves else "timed out", left=self.history.now())
            self.drop()
        else:
            if self.connection is not None and self.connection.sock is not None:
                self.connection.sock.settimeout(PATIENCE)

    def drop(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None


class Crasher(Caller):
    """Sends requests that crash each server which gets them: one again and again, or different ones with one part."""

    def __init__(self, seed, history, entries, stop):
        super().__init__(0, f"{seed}/crasher", history, entries, stop)
        history.crashing_by_part = self.by_part = self.generator.random() < 0.3
        self.kind = "ask" if self.by_part else self.generator.choice(("read", "write", "ask"))

    def run(self):
        self.stop_signal.wait(self.generator.uniform(1, 10))
        while not self.stop_signal.wait(self.generator.uniform(0.2, 0.8)):
            self.send_crashing()

    def send_crashing(self):
        self.drop()
        name = os.urandom(8).hex()
        record = self.history.add(self.history.crashing, id=name, entry=None, at=self.history.now(), status=0)
        fields = self.fields(name)
        if self.kind == "ask":
            parts = f"aa:50,{CRASHING_PART}:10,{name}:40" if self.by_part else "aa:60,bb:40"
            fields.update({"X-Model": "m", "X-Token-Usage": f"{PROMPT_TOKENS},{OUTPUT_TOKENS}", "X-Prompt-Prefix": parts})
        path = f"/{self.kind}/{CRASHING}" + (name if self.by_part else "")
        try:
            self.connect()
            record["entry"] = self.entry
            self.connection.request(KINDS[self.kind], path, None if self.kind == "read" else b"crash", fields)
            record["status"] = self.connection.getresponse().status
        except (OSError, http.client.HTTPException):
            # It was cut, as it is to be if its server crashed.
            pass
