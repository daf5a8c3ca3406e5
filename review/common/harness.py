"""A small deployment on loopback addresses: control members and entries as separate processes, started with the command of
deploy/system.toml and settings filled in from its templates, and stand-ins of the platform's list and of servers."""

import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import http.client

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The bounds and limits of the site that the claims name.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 8,
          "LostMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RetryRatio": 0.2, "BudgetWindowS": 10,
          "BudgetSlack": 56, "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 190000, "RecoverS": 12, "TransitMs": 120,
          "AgainS": 10, "RequireFence": True, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 6000, "VersionAllMs": 8400,
          "ttl_max_s": 5}
EDGE = {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
CORE = {"CpuShare": 0.15, "Cores": 1, "MemoryMb": 256, "MaxFds": 4096, "LinkMbps": 1000.0, "DiskMb": 128}


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.lock = threading.Lock()
        self.start = now()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{now() - self.start:8.3f} s  {text}\n")
            self.file.flush()


def render(template, fields):
    """Fills in a settings template as the platform does."""
    def value(name, inner):
        if name == ".":
            return inner
        it = fields
        for part in name.split("."):
            it = it[int(part)] if isinstance(it, list) else it.get(part)
            if it is None:
                return None
        return it

    def text(it):
        if it is None:
            return ""
        if isinstance(it, bool):
            return "true" if it else "false"
        return ",".join(map(str, it)) if isinstance(it, list) else str(it)

    def section(match):
        items = value(match[1], None) or []
        out = ""
        for n, it in enumerate(items):
            out += match[2].replace("{{.}}", text(it)).replace("{{,}}", "," if n + 1 < len(items) else "")
        return out

    template = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text(value(match[1], None)), template)


def free_port(host="127.0.0.1"):
    for _ in range(200):
        port = random.randrange(10240, 32000)
        with socket.socket() as it:
            try:
                it.bind((host, port))
                return port
            except OSError:
                continue
    raise RuntimeError("no port is free")


def reset(connection):
    """Closes a connection with a reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class Listener:
    """Accepts connections and gives each to a thread."""

    def __init__(self, handle, host="127.0.0.1", port=0):
        self.handle, self.host = handle, host
        self.open(port)
        self.port = self.socket.getsockname()[1]

    def open(self, port):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((self.host, port))
        self.socket.listen(256)
        threading.Thread(target=self.run, args=(self.socket,), daemon=True).start()

    def run(self, listening):
        while True:
            try:
                connection, _ = listening.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(connection,), daemon=True).start()

    def guard(self, connection):
        try:
            self.handle(connection)
        except OSError:
            pass
        finally:
            try:
                connection.close()
            except OSError:
                pass

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()


def read_request(file):
    """Reads one request from a file; None at the end of the connection."""
    line = file.readline(65536)
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split()
    fields = {}
    while True:
        line = file.readline(65536)
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    body = file.read(int(fields.get("content-length", 0)))
    return method, target, fields, body


def closes(request):
    return request[2].get("connection", "").lower() == "close"


def head(status, fields):
    return (f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode("latin-1")


class Server:
    """A server of a service. Engines stream events, plain servers answer whole."""

    def __init__(self, record, name, service, version=0):
        self.record, self.name, self.service, self.version = record, name, service, version
        self.orders = 0
        self.state = "ready"
        self.runs = []
        self.events, self.pause = 20, 0.05
        self.body = b"answer of " + name.encode()
        self.listener = Listener(self.serve)
        self.at = ("127.0.0.1", self.listener.port)

    def entry(self):
        models = [{"Name": "m", "Version": self.version, "Adapters": []}] if self.version else []
        return {"Service": self.service, "Addr": f"{self.at[0]}:{self.at[1]}", "Zone": "z1", "Version": "v1", "Slots": 8,
                "State": self.state, "ColdLeftMs": 0, "Stage": "both", "Models": models, "Id": self.name, "born": 1}

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            request = read_request(file)
            if not request:
                return
            self.answer(connection, *request)
            if closes(request):
                return

    def reply(self, connection, status, body, fields, more=None):
        out = {"Content-Length": len(body), **(more or {})}
        if "x-request-id" in fields:
            out["X-Request-Id"] = fields["x-request-id"]
        connection.sendall(head(status, out) + body)

    def answer(self, connection, method, target, fields, body):
        if fields.get("x-target-instance", self.name) != self.name:
            return self.reply(connection, 421, b"", fields, {"X-Instance-Id": self.name})
        if target == "/-/report":
            it = {"Busy": False, "Seq": self.orders, "Models": [{"Name": "m", "Version": self.version}], "born": 1}
            return self.reply(connection, 200, json.dumps(it).encode(), fields)
        if target == "/-/order":
            self.orders += 1
            self.version = json.loads(body)["Version"]
            return self.reply(connection, 202, b"{}", fields)
        if target == "/h":
            return self.reply(connection, 200, b"", fields, {"X-Instance-Id": self.name})
        if self.version and fields.get("x-expect-version", str(self.version)) != str(self.version):
            return self.reply(connection, 421, b"", fields, {"X-Instance-Id": self.name, "X-Weight-Versions": self.version})
        request = fields.get("x-request-id", "")
        self.runs.append(request)
        self.record(f"server {self.name} runs {method} {target} of request {request}, "
                    f"Last-Event-Id {fields.get('last-event-id', 'none')}")
        if self.version:
            return self.stream(connection, fields)
        return self.reply(connection, 200, self.body, fields, {"X-Response-Stamp": "stamp-" + self.name})

    def stream(self, connection, fields):
        connection.sendall(head(200, {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked",
                                      "X-Response-Stamp": "stamp-" + self.name, "X-Weight-Versions": self.version,
                                      "X-Request-Id": fields.get("x-request-id", "")}))
        for n in range(int(fields.get("last-event-id") or 0) + 1, self.events + 1):
            event = f"id: {n}\ndata: piece {n}\n\n".encode()
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.pause)
        connection.sendall(b"0\r\n\r\n")
        self.record(f"server {self.name} has sent the whole stream of request {fields.get('x-request-id', '')}")


class Link:
    """A link before a server, which can be cut: open channels are reset, and new ones are refused."""

    def __init__(self, server):
        self.target = server.at
        self.lock = threading.Lock()
        self.open = set()
        self.listener = Listener(self.carry)
        self.port = self.listener.port
        server.at = ("127.0.0.1", self.port)

    def carry(self, near):
        far = socket.create_connection(self.target)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self.lock:
            self.open |= {near, far}
        other = threading.Thread(target=self.copy, args=(far, near), daemon=True)
        other.start()
        self.copy(near, far)
        other.join()
        with self.lock:
            self.open -= {near, far}
        far.close()

    @staticmethod
    def copy(source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def cut(self):
        self.listener.close()
        with self.lock:
            for it in self.open:
                try:
                    it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    it.shutdown(socket.SHUT_RD)
                except OSError:
                    pass
                # A thread that waits in recv() wakes up by the shutdown; the close then resets the channel.
                try:
                    it.close()
                except OSError:
                    pass

    def heal(self):
        self.listener.open(self.port)


class ServerList:
    """The platform's list of servers."""

    def __init__(self, servers):
        self.servers = servers
        self.listener = Listener(self.serve)
        self.port = self.listener.port

    def serve(self, connection):
        file = connection.makefile("rb")
        while request := read_request(file):
            body = self.body()
            connection.sendall(head(200, {"Content-Type": "application/json", "Content-Length": len(body)}) + body)
            if closes(request):
                return

    def body(self):
        return json.dumps({"Instances": [it.entry() for it in self.servers], "Next": None}).encode()


class Process:
    def __init__(self, site, name, role, fields):
        self.name = name
        template = (ROOT / "deploy" / f"{role}.yaml").read_text()
        self.file = site.folder / f"{name}.yaml"
        self.file.write_text(render(template, fields))
        self.log = open(site.folder / f"{name}.log", "ab")
        self.start()

    def start(self):
        # The command of deploy/system.toml, with the settings at another place.
        self.process = subprocess.Popen(["target/bin/kumquathavend", "--settings", str(self.file)], cwd=ROOT,
                                        stdout=self.log, stderr=self.log)

    def signal(self, number):
        self.process.send_signal(number)


class Site:
    def __init__(self, record, servers, controls=3, entries=1, skip=()):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquathaven-review-"))
        self.servers = servers
        self.list = ServerList(servers)
        self.prefix = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.ports = {name: free_port() for name in ("Front", "Ready", "Control", "Directory", "P0", "P1")}
        self.processes = {}
        self.controls = [f"{self.prefix}.{n + 1}" for n in range(controls)]
        self.entries = [f"{self.prefix}.{n + 101}" for n in range(entries)]
        for n, ip in enumerate(self.controls):
            if n not in skip:
                self.add(f"control-{n + 1}", "control", ip, CORE)
        for n, ip in enumerate(self.entries):
            self.add(f"entry-{n + 1}", "entry", ip, EDGE)

    def add(self, name, role, ip, limits, bootstrap=True):
        at = lambda port: f"{ip}:{self.ports[port]}"
        data = self.folder / ("data-" + name)
        data.mkdir(exist_ok=True)
        fields = {"Node": name, "Role": role, "Ip": ip, "Zone": "z1", "Region": "r", "Bootstrap": bootstrap,
                  "Listen": {it: at(it) for it in ("Front", "Ready", "Control", "Directory")},
                  "PortRange": [self.ports["P0"], self.ports["P1"]],
                  "Seeds": [f"{it}:{self.ports['Control']}" for it in self.controls[:3]],
                  "DataDir": str(data) if role == "control" else None, "Limits": limits, "Bounds": BOUNDS,
                  "Tolerate": {"Machines": 1}, "Cloud": {"Addr": f"127.0.0.1:{self.list.port}", "RatePerS": 44.0, "LagMs": 800}}
        self.processes[name] = Process(self, name, role, fields)

    def call(self, ip, port, method, path, body=None, fields=None, timeout=3):
        connection = http.client.HTTPConnection(ip, self.ports[port], timeout=timeout)
        try:
            connection.request(method, path, body, fields or {})
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def operator(self, method, path, body=None, seconds=30):
        """Calls the members in turn, follows redirects and sends the same again, as operators do."""
        end = now() + seconds
        while now() < end:
            for ip in self.controls:
                try:
                    for _ in range(3):
                        status, answer, fields = self.call(ip, "Control", method, path, body)
                        if status != 307:
                            break
                        ip = fields["Location"].split("//")[1].split(":")[0]
                except OSError:
                    continue
                if status < 500 and status != 307:
                    self.record(f"operator: {method} {path} is answered {status}")
                    return status, answer
            time.sleep(0.2)
        raise RuntimeError("the operator gets no clear answer")

    def wait_ready(self, seconds=30):
        end = now() + seconds
        for ip in self.entries:
            while True:
                try:
                    if self.call(ip, "Ready", "GET", "/-/readyz")[0] == 200:
                        break
                except OSError:
                    pass
                if now() > end:
                    raise RuntimeError("an entry is not ready")
                time.sleep(0.1)

    def stop(self):
        for it in self.processes.values():
            if it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
            it.log.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    return {"Name": name, "Host": "a.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 4000, "GoalMs": 500,
            "Priority": 0, "Service": service, "Attempts": 2, "Public": False, "Sticky": kind == "streaming",
            "Resumable": False, "GapGoalMs": 500, **more}


def configuration(version, routes, **more):
    return {"Version": version, "Routes": routes,
            "Services": [{"Name": "app", "HealthPath": "/h", "MaxConns": 110, "Protocol": "h1", "Tls": False},
                         {"Name": "lm", "HealthPath": "/h", "MaxConns": 240, "Protocol": "h1", "Tls": False,
                          "Engine": {"Slots": 32, "KvCapacity": 173548, "TokenKvBytes": 327680, "LinkMbps": 550000.0,
                                     "Moves": True, "Backups": True, "Stride": 5, "MaxInflight": 12, "PinMs": 4000.0,
                                     "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": "m"}]}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "north", "ApiKeys": ["k-north"], "Priority": 0, "Unit": "token_count", "PlainTokens": 200,
                         "Isolated": False, "RatePerS": 1000000, "Burst": 1000000}], **more}


def request_bytes(method, path, request_id, deadline_ms, body=b"", **more):
    fields = {"Host": "a.example", "X-Request-Id": request_id, "X-Key": "k-north", "X-Deadline-Ms": deadline_ms,
              **{name.replace("_", "-"): value for name, value in more.items()}}
    if body or method != "GET":
        fields["Content-Length"] = len(body)
    return (f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode() + body


def new_id():
    return os.urandom(8).hex()


PROMPT = {"X_Model": "m", "X_Token_Usage": "100,20", "X_Prompt_Prefix": "5c1e07a2:60,91bd3f06:40"}


def main(folder, case):
    """Runs a case, which returns whether the rule held, and ends all that it started."""
    record = Record(folder)
    site = []

    def expired(*_):
        raise TimeoutError("the case takes too long, or was ended")
    signal.signal(signal.SIGALRM, expired)
    signal.signal(signal.SIGTERM, expired)
    signal.alarm(110)
    try:
        held = case(record, site)
        result = HELD if held else BROKEN
    except Exception as problem:  # The case could not run.
        record(f"the case could not run: {problem!r}")
        result = NOT_RUN
    finally:
        signal.alarm(0)
        for it in site:
            it.stop()
    record({HELD: "the rule held", BROKEN: "the rule is broken", NOT_RUN: "not run"}[result])
    sys.stdout.write(open(pathlib.Path(folder) / "record.txt").read().splitlines()[-1] + "\n")
    sys.stdout.flush()
    os._exit(result)
