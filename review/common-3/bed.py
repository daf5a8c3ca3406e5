"""A small deployment on the loopback for the cases of this review.

The programs are started with the commands of the deploy file, and their settings are its templates, filled in as
the page DEPLOY.md tells. A machine is a loopback address. The platform's list of servers is a stand-in here; servers
are stand-ins of the cases (server.py). Everything that is sent, answered and run goes to a record.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; nothing was learned."""


class Record:
    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, who, what):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} s  {who}: {what}\n")
            self.file.flush()


# The templates of the deploy file, as DEPLOY.md describes them: {{a.b}}, {{a|json}}, {{#a}}..{{/a}}, {{^a}}..{{/a}}, {{,}}.
def lookup(scopes, name):
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                value = None
                break
        if value is not None:
            return value
    return None


def shown(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(shown(it) for it in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def render(text, scopes):
    section = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    while (found := section.search(text)) is not None:
        value = lookup(scopes, found[2])
        if found[1] == "^":
            inner = render(found[3], scopes) if not value else ""
        elif isinstance(value, list):
            inner = "".join(render(found[3].replace("{{,}}", "," if n + 1 < len(value) else ""), [it] + scopes)
                            for n, it in enumerate(value))
        else:
            inner = render(found[3], [value] + scopes) if value else ""
        text = text[:found.start()] + inner + text[found.end():]

    def fill(found):
        name, _, how = found[1].partition("|")
        value = lookup(scopes, name)
        return json.dumps(value) if how == "json" else shown(value)
    return re.sub(r"\{\{([^}]+)\}\}", fill, text)


class QuietServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Platform:
    """The platform's list of servers."""

    def __init__(self, bed, address):
        owner = self
        self.servers = []

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                body = json.dumps({"Instances": [it.listed() for it in list(owner.servers)], "Next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.httpd = QuietServer(address, Handler)
        threading.Thread(target=self.httpd.serve_forever, daemon=True).start()
        bed.at_end(self.httpd.shutdown)
        bed.at_end(self.httpd.server_close)


class Machine:
    """One machine of the system with one role."""

    def __init__(self, bed, role, node, ip, first):
        self.bed, self.role, self.node, self.ip = bed, role, node, ip
        self.process = None
        self.disk = bed.folder / "disks" / node
        self.file = bed.folder / f"{node}.yaml"
        self.log = open(bed.folder / f"{node}.log", "ab")
        self.start(first)

    def start(self, first=False):
        role = self.bed.roles[self.role]
        if role["on"] == "core":
            self.disk.mkdir(parents=True, exist_ok=True)
        fields = self.bed.fields(self, first)
        self.file.write_text(render((ROOT / role["template"]).read_text(), [fields]))
        words = role["run"].replace("/etc/kumquathaven/local.yaml", str(self.file)).split()
        words[0] = str(ROOT / words[0])
        if not pathlib.Path(words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        self.process = subprocess.Popen(words, cwd=ROOT, stdout=self.log, stderr=self.log, stdin=subprocess.DEVNULL)
        self.bed.record("bed", f"{self.node} starts as process {self.process.pid} at {self.ip}")

    def signal(self, how):
        self.bed.record("bed", f"{self.node} gets {how.name}")
        self.process.send_signal(how)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10)


class Bed:
    def __init__(self, case, cores=3, fronts=2, bounds=None):
        self.case = pathlib.Path(case).resolve().parent
        self.record = Record(self.case)
        self.ends = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.bounds = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
                       "GraceS": 8, "LostMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000,
                       "RevokeStrict": False, "RevokeMs": 5000, "RetryRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56,
                       "QuotaWindowS": 8, "QuotaOver": 0.1, "QuotaSlack": 190000, "RecoverS": 12, "TransitMs": 120, "AgainS": 10,
                       "RequireFence": True, "LeaseMs": 3000, "ThawMs": 300, "VersionMs": 6000, "VersionAllMs": 8400,
                       "ttl_max_s": 5, **(bounds or {})}
        self.subnet = self.free_subnet()
        self.ports = {"front": 8606, "ready": 8605, "control": 8608, "directory": 8610, "range": 7600}
        self.platform = Platform(self, (self.address(200), 8601))
        self.cores = {}
        self.fronts = {}
        self.count = (cores, fronts)
        # Numbers of the core machines whose addresses are in the settings as seeds.
        self.seeds = list(range(1, cores + 1))[:3]
        self.next_id = random.getrandbits(32)

    def free_subnet(self):
        for _ in range(50):
            subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (8601, 8605, 8606, 8608, 8610, 7600, 7601, 9464, 9465):
                    with socket.socket() as it:
                        it.bind((f"{subnet}.1", port))
                return subnet
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def address(self, n):
        return f"{self.subnet}.{n}"

    def fields(self, machine, first):
        core = self.roles[machine.role]["on"] == "core"
        ip, ports = machine.ip, self.ports
        listen = {"Control": f"{ip}:{ports['control']}", "Directory": f"{ip}:{ports['directory']}"} if core \
            else {"Front": f"{ip}:{ports['front']}", "Ready": f"{ip}:{ports['ready']}"}
        return {"Node": machine.node, "Role": machine.role, "Class": "core" if core else "edge",
                "Serves": self.roles[machine.role]["serves"], "Ip": ip, "Zone": "z1", "Region": "r1", "Zones": {"z1": "r1"},
                "Listen": listen, "PortRange": [ports["range"], ports["range"] + 15],
                "Seeds": [f"{self.address(n)}:{ports['control']}" for n in self.seeds],
                "Bootstrap": first, "LossCounts": core,
                "Limits": {"CpuShare": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 1000, "LinkMbps": 1000.0,
                           "DiskMb": 128 if core else 0},
                "DataDir": str(machine.disk) if core else None, "Discovery": "cloud_api", "Entry": "registry",
                "Tolerate": {"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": self.bounds,
                "Cloud": {"Addr": f"{self.address(200)}:8601", "RatePerS": 44.0, "Duties": [], "LagMs": 800}}

    def start(self):
        for n in range(1, self.count[0] + 1):
            self.cores[n] = Machine(self, "control", f"core-{n}", self.address(n), True)
            self.at_end(self.cores[n].end)
        for n in range(1, self.count[1] + 1):
            self.fronts[n] = Machine(self, "entry", f"edge-{n}", self.address(100 + n), False)
            self.at_end(self.fronts[n].end)

    # The operator.
    def call(self, host, port, method, path, body=None, timeout=1.0):
        connection = http.client.HTTPConnection(host, port, timeout=timeout)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def operator(self, method, path, body=None, seconds=20, who="operator", cores=None):
        """Calls one member after the other, follows 307 twice, and goes on until there is a clear answer."""
        until = time.monotonic() + seconds
        members = list(cores or self.cores)
        while time.monotonic() < until:
            for n in members:
                host = self.address(n)
                try:
                    for _ in range(3):
                        status, answer, headers = self.call(host, self.ports["control"], method, path, body)
                        if status != 307:
                            break
                        host = headers["Location"].split("//")[1].split(":")[0]
                except (OSError, http.client.HTTPException):
                    continue
                if status < 500 and status not in (307, 408, 429):
                    self.record(who, f"{method} {path} {(body or '')[:60]} -> {status}")
                    return status, answer
            time.sleep(0.1)
        raise CannotRun(f"{method} {path} has no clear answer")

    def configure(self, value, seconds=20):
        status, answer = self.operator("PUT", "/-/config", json.dumps(value), seconds)
        if status != 200:
            raise CannotRun(f"the configuration is refused: {status} {answer[:200]!r}")

    def wait_ready(self, seconds=20):
        until = time.monotonic() + seconds
        waiting = set(self.fronts)
        while waiting and time.monotonic() < until:
            for n in list(waiting):
                try:
                    if self.call(self.fronts[n].ip, self.ports["ready"], "GET", "/-/readyz")[0] == 200:
                        waiting.discard(n)
                except (OSError, http.client.HTTPException):
                    pass
            time.sleep(0.05)
        if waiting:
            raise CannotRun(f"edge {sorted(waiting)} not ready")

    # Consumers.
    def request_id(self):
        self.next_id += 1
        return f"{self.next_id:016x}"

    def head(self, method, path, key="k-north", deadline=8000, fields=None, body=b"", host="a.example"):
        request_id = self.request_id()
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline}"]
        if key:
            lines.append(f"X-Key: {key}")
        lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
        if body or method not in ("GET", "HEAD"):
            lines.append(f"Content-Length: {len(body)}")
        return request_id, ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    def channel(self, n, timeout=12.0):
        return Channel(self, self.fronts[n].ip, self.ports["front"], timeout)

    # The end.
    def at_end(self, what):
        self.ends.append(what)

    def close(self):
        for it in reversed(self.ends):
            try:
                it()
            except Exception as error:  # pylint: disable=broad-except
                self.record("bed", f"cleaning up: {error}")
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.folder, logs, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Answer:
    def __init__(self):
        self.status = None
        self.fields = {}
        self.body = b""
        # complete: the framing says so; else why it isn't.
        self.end = ""

    @property
    def whole(self):
        return self.end == "complete"

    def __str__(self):
        return f"status {self.status}, {len(self.body)} bytes, {self.end}"


class Channel:
    """A consumer's channel to an edge machine: reads one answer after the other, strictly as HTTP/1.1 says."""

    def __init__(self, bed, host, port, timeout):
        self.bed = bed
        self.socket = socket.create_connection((host, port), timeout=timeout)
        self.rest = b""

    def send(self, data):
        self.socket.sendall(data)

    def more(self):
        """Returns False at an orderly end; a reset raises."""
        data = self.socket.recv(65536)
        self.rest += data
        return bool(data)

    def line(self):
        while b"\r\n" not in self.rest:
            if not self.more():
                return None
        line, self.rest = self.rest.split(b"\r\n", 1)
        return line

    def exactly(self, count):
        while len(self.rest) < count:
            if not self.more():
                return None
        data, self.rest = self.rest[:count], self.rest[count:]
        return data

    def read(self, method="GET", on_body=None):
        answer = Answer()
        try:
            self.read_into(answer, method, on_body)
        except ConnectionResetError:
            answer.end = answer.end or "reset"
        except (TimeoutError, socket.timeout):
            answer.end = answer.end or "no more bytes in time"
        return answer

    def read_into(self, answer, method, on_body):
        first = self.line()
        if first is None:
            answer.end = "closed before an answer"
            return
        found = re.fullmatch(rb"HTTP/1\.[01] (\d{3})(?: .*)?", first)
        if not found:
            answer.end = f"no answer in the protocol: {first[:40]!r}"
            return
        answer.status = int(found[1])
        while (line := self.line()):
            name, _, value = line.decode("latin-1").partition(":")
            answer.fields[name.strip().lower()] = value.strip()
        if line is None:
            answer.end = "closed inside the head"
            return
        if method == "HEAD" or answer.status in (204, 304) or answer.status < 200:
            answer.end = "complete"
        elif answer.fields.get("transfer-encoding", "").lower() == "chunked":
            self.read_chunks(answer, on_body)
        elif "content-length" in answer.fields:
            while len(answer.body) < int(answer.fields["content-length"]):
                if not self.rest and not self.more():
                    answer.end = "closed inside the body"
                    return
                take = int(answer.fields["content-length"]) - len(answer.body)
                answer.body, self.rest = answer.body + self.rest[:take], self.rest[take:]
            answer.end = "complete"
        else:
            while self.more():
                pass
            answer.body, self.rest = self.rest, b""
            answer.end = "complete"

    def read_chunks(self, answer, on_body):
        while True:
            line = self.line()
            if line is None:
                answer.end = "closed inside the body"
                return
            size = int(line.split(b";")[0], 16)
            data = self.exactly(size + 2)
            if data is None:
                answer.end = "closed inside the body"
                return
            if size == 0:
                answer.end = "complete"
                return
            answer.body += data[:-2]
            if on_body:
                on_body(data[:-2])

    def close(self):
        self.socket.close()


def configuration(version, services=None, **changes):
    """A small configuration: an idempotent, a non-idempotent and two streaming routes, and three tenants."""
    def route(name, kind, service, **more):
        return {"Name": name, "Host": "a.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 8000, "GoalMs": 800,
                "Priority": 0, "Service": service, "Attempts": 1, "Public": False, "Sticky": kind == "streaming",
                "Resumable": False, **({"GapGoalMs": 500} if kind == "streaming" else {}), **more}

    def tenant(name, **more):
        return {"Name": name, "ApiKeys": [f"k-{name}"], "Priority": 1, "Unit": "token_count", "PlainTokens": 200,
                "Isolated": False, "RatePerS": 170525, "Burst": 170525, **more}
    services = services or [
        {"Name": "app", "HealthPath": "/healthz", "MaxConns": 100, "Protocol": "h1", "Tls": False},
        {"Name": "lm", "HealthPath": "/healthz", "MaxConns": 240, "Protocol": "h1", "Tls": False,
         "Engine": {"Slots": 32, "KvCapacity": 173548, "TokenKvBytes": 327680, "LinkMbps": 550000.0, "Moves": True,
                    "Backups": True, "Stride": 5, "MaxInflight": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "handle_s": 5.0,
                    "Models": [{"Name": "m0"}]}}]
    return {"Version": version,
            "Routes": [route("read", "idempotent", "app", Attempts=2), route("write", "non_idempotent", "app"),
                       route("ask", "streaming", "lm", Attempts=2, Resumable=True), route("review", "streaming", "lm")],
            "Services": services,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [tenant("north"), tenant("south"), tenant("west")], **changes}


def play(case, run, **options):
    """Plays a case: run(bed) returns whether the rule held. Ends the process with the exit code that the review asks for."""
    bed = None
    code = CANNOT_RUN
    try:
        bed = Bed(case, **options)
        code = HELD if run(bed) else BROKEN
        bed.record("verdict", "the rule held" if code == HELD else "the rule was broken")
    except Exception as error:  # pylint: disable=broad-except
        if bed:
            bed.record("verdict", f"the case could not run: {type(error).__name__}: {error}")
        print(f"cannot run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        if bed:
            bed.close()
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "cannot run"}[code])
    sys.exit(code)
