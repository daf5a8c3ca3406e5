"""A small deployment for the scripts of review/6 to review/10.

Three control members and some entries run as processes of their own, with the commands and the settings templates of
the deploy file, on loopback addresses. The platform's list is served by this process; servers are processes of their
own (server.py), so that a test can kill them as an operating system would.
"""

import http.client
import http.server
import json
import os
import pathlib
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
HERE = pathlib.Path(__file__).resolve().parent
LIST_LAG_S = 0.2


class CannotRun(Exception):
    """The case could not run; it says nothing of the software."""


HOSTS = ["127.0.0.1", *(f"127.0.0.{n}" for n in range(11, 16)), "127.0.1.11", "127.0.1.12"]
taken_ports = set()


def free_port():
    """A port that is free on all addresses of the deployment, outside the range from which the system draws ports."""
    for _ in range(500):
        port = 10240 + int.from_bytes(os.urandom(2), "big") % 20000
        if port in taken_ports:
            continue
        try:
            for host in HOSTS:
                with socket.socket() as it:
                    it.bind((host, port))
        except OSError:
            continue
        taken_ports.add(port)
        return port
    raise CannotRun("no free port")


def value_of(fields, path):
    for name in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(name)] if int(name) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(name)
        else:
            return None
    return fields


def render(text, fields):
    """Fills in a settings template, as far as the templates of the deploy file need it."""
    def section(match):
        value = value_of(fields, match[1])
        if not value:
            return ""
        if not isinstance(value, list):
            return render(match[2], fields)
        parts = []
        for n, it in enumerate(value):
            part = match[2].replace("{{.}}", str(it))
            parts.append(part.replace("{{,}}", "," if n + 1 < len(value) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)

    def single(match):
        value = value_of(fields, match[1])
        if isinstance(value, bool):
            return "true" if value else "false"
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", single, text)


BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "StableWindowMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000,
          "GraceS": 8, "LostMs": 200, "ConfigMs": 2000, "RollbackSlackMs": 250, "MaxSkewMs": 5000, "RevokeStrict": False,
          "RevokeMs": 5000, "RetryRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56, "QuotaWindowS": 8, "QuotaOver": 0.1,
          "QuotaSlack": 190000, "RecoverS": 12, "TransitMs": 120, "AgainS": 10, "RequireFence": True, "LeaseMs": 3000,
          "ThawMs": 300, "VersionMs": 6000, "VersionAllMs": 8400, "ttl_max_s": 5}


def route(name, kind, service, **more):
    return {"Name": name, "Host": "a.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 8000, "GoalMs": 800,
            "Priority": 0, "Service": service, "Attempts": 2, "Public": False, "Sticky": kind == "streaming",
            "Resumable": False, "GapGoalMs": 500, **more}


def configuration(version, **changes):
    """A configuration with plain and streaming routes, in the form of the protocol's example."""
    value = {"Version": version,
             "Routes": [route("read", "idempotent", "app"), route("write", "non_idempotent", "app", Attempts=1),
                        route("ask", "streaming", "lm", Resumable=True), route("review", "streaming", "lm", Attempts=1)],
             "Services": [{"Name": "app", "HealthPath": "/healthz", "MaxConns": 110, "Protocol": "h1", "Tls": False},
                          {"Name": "lm", "HealthPath": "/healthz", "MaxConns": 240, "Protocol": "h1", "Tls": False,
                           "Engine": {"Slots": 32, "KvCapacity": 173548, "TokenKvBytes": 327680, "LinkMbps": 550000.0,
                                      "Moves": True, "Backups": True, "Stride": 5, "MaxInflight": 12, "PinMs": 4000.0,
                                      "HoldMs": 2000.0, "handle_s": 5.0, "Models": [{"Name": "m"}]}}],
             "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
             "Tenants": [{"Name": "north", "ApiKeys": ["k-north"], "Priority": 1, "Unit": "token_count", "PlainTokens": 200,
                          "Isolated": False, "RatePerS": 170525, "Burst": 170525},
                         {"Name": "south", "ApiKeys": ["k-south"], "Priority": 1, "Unit": "token_count", "PlainTokens": 200,
                          "Isolated": False, "RatePerS": 170525, "Burst": 170525}]}
    value.update(changes)
    return value


class Server:
    """A server as a process of its own; what it did is in its journal."""

    def __init__(self, bed, name, service, *options):
        self.bed, self.name, self.service, self.options = bed, name, service, list(options)
        self.port = free_port()
        self.state = "ready"
        self.version = 1
        self.journal = bed.folder / f"server-{name}.jsonl"
        self.journal.touch()
        self.born = int(time.time() * 1000)
        self.process = bed.spawn([sys.executable, str(HERE / "server.py"), "--name", name, "--port", str(self.port),
                                  "--born", str(self.born), "--journal", str(self.journal), *options], f"server-{name}")
        bed.until(self.accepts, 10, f"server {name} does not start")

    def accepts(self):
        with socket.socket() as it:
            it.settimeout(1)
            return it.connect_ex(("127.0.0.1", self.port)) == 0

    def kill(self):
        self.bed.end(self.process)

    def seen(self):
        lines = self.journal.read_text().splitlines()
        return [json.loads(it) for it in lines if it.endswith("}")]

    def entry(self):
        models = [{"Name": "m", "Version": self.version, "Adapters": []}] if self.service == "lm" else []
        return {"Id": self.name, "Service": self.service, "Addr": f"127.0.0.1:{self.port}", "Zone": "z1", "Version": "v1",
                "Slots": 32, "State": self.state, "ColdLeftMs": 0, "Stage": "both", "Models": models, "born": self.born}


class Bed:
    def __init__(self, record, controls=3, entries=1):
        self.record_file = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquathaven-review-"))
        self.processes, self.logs, self.servers = [], [], []
        self.listing = []
        self.httpd = None
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.ports = {name: free_port() for name in ("front", "ready", "control", "directory", "link", "operators", "metrics")}
        self.controls = [f"127.0.0.{n + 11}" for n in range(controls)]
        self.entries = [f"127.0.1.{n + 11}" for n in range(entries)]
        self.nodes = {}

    # What is written down.

    def record(self, text):
        with self.lock:
            self.record_file.write(f"{time.monotonic() - self.began:8.3f} s  {text}\n")
            self.record_file.flush()

    # Processes.

    def spawn(self, command, name):
        log = open(self.folder / f"{name}.log", "ab")
        self.logs.append(log)
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
                                   env={k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")})
        self.processes.append(process)
        return process

    def end(self, process, how=signal.SIGKILL):
        if process.poll() is None:
            process.send_signal(how)
        process.wait(20)

    def start_node(self, role, host, first=True):
        """Starts a machine's process with the command and the settings template of the deploy file."""
        described = self.deploy["roles"][role]
        data = self.folder / f"data-{host}"
        if role == "control":
            data.mkdir(exist_ok=True)
        fields = {"Node": f"{role}-{host}", "Ip": host, "Zone": "z1", "Region": "r1",
                  "Listen": {"Front": f"{host}:{self.ports['front']}", "Ready": f"{host}:{self.ports['ready']}",
                             "Control": f"{host}:{self.ports['control']}", "Directory": f"{host}:{self.ports['directory']}"},
                  "PortRange": [self.ports["link"], self.ports["operators"]],
                  "Seeds": [f"{it}:{self.ports['control']}" for it in self.controls[:3]], "Bootstrap": first,
                  "Limits": {"CpuShare": 0.25, "MemoryMb": 260, "MaxFds": 4100}, "DataDir": str(data),
                  "Tolerate": {"Machines": 1, "Zones": 0, "Regions": 0}, "Bounds": BOUNDS,
                  "Cloud": {"Addr": f"127.0.0.1:{self.httpd.server_address[1]}", "RatePerS": 44.0, "LagMs": int(LIST_LAG_S * 1000)}}
        text = render((ROOT / described["template"]).read_text(), fields)
        # The templates name a fixed port for metrics; here it has to be a free one.
        text = re.sub(r"(metrics: \"[\d.]+:)\d+", rf"\g<1>{self.ports['metrics']}", text)
        settings = self.folder / f"{role}-{host}.yaml"
        settings.write_text(text)
        words = described["run"].split()
        words[words.index("/etc/kumquathaven/local.yaml")] = str(settings)
        if not (ROOT / words[0]).exists():
            raise CannotRun(f"{words[0]} is not built")
        words[0] = str(ROOT / words[0])
        self.nodes[host] = self.spawn(words, f"{role}-{host}")

    def start(self):
        self.start_list()
        for host in self.controls:
            self.start_node("control", host)
        for host in self.entries:
            self.start_node("entry", host)

    def stop(self):
        for it in self.processes:
            try:
                self.end(it)
            except (OSError, subprocess.TimeoutExpired):
                pass
        for it in self.logs:
            it.close()
        if self.httpd:
            self.httpd.shutdown()
            self.httpd.server_close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()

    # The platform.

    def start_list(self):
        bed = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                body = json.dumps({"Instances": bed.listed(), "Next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.httpd = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.httpd.daemon_threads = True
        threading.Thread(target=self.httpd.serve_forever, daemon=True).start()

    def publish(self):
        """Shows the present state of the servers in the list, which lags."""
        with self.lock:
            self.listing.append((time.monotonic() + LIST_LAG_S, [it.entry() for it in self.servers]))

    def listed(self):
        with self.lock:
            now = time.monotonic()
            shown = [entries for at, entries in self.listing if at <= now]
            return shown[-1] if shown else []

    def add_server(self, name, service, *options):
        server = Server(self, name, service, *options)
        self.servers.append(server)
        return server

    # The operator and the consumers.

    def operator(self, method, path, value=None):
        """Calls the members in turn and follows redirects, as an operator does."""
        body = None if value is None else json.dumps(value)
        for host in self.controls:
            address = f"{host}:{self.ports['control']}"
            for _ in range(3):
                connection = http.client.HTTPConnection(address, timeout=3)
                try:
                    connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
                    answer = connection.getresponse()
                    text = answer.read()
                    if answer.status == 307:
                        address = answer.headers["Location"].split("//")[1].split("/")[0]
                        continue
                    if answer.status < 500 and answer.status not in (408, 429):
                        return answer.status, text
                    break
                except OSError:
                    break
                finally:
                    connection.close()
        return 503, b""

    def acknowledge(self, method, path, value, seconds=20):
        end = time.monotonic() + seconds
        while True:
            status, text = self.operator(method, path, value)
            if status < 500:
                break
            if time.monotonic() > end:
                raise CannotRun(f"{method} {path} is not answered")
            time.sleep(0.3)
        self.record(f"operator: {method} {path} -> {status}")
        if status != 200:
            raise CannotRun(f"{method} {path}: {status} {text[:200]!r}")

    def connect(self, entry=0, timeout=12):
        return http.client.HTTPConnection(self.entries[entry], self.ports["front"], timeout=timeout)

    def head(self, key="k-north", **more):
        fields = {"Host": "a.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "8000", "X-Key": key}
        fields.update({name.replace("_", "-"): value for name, value in more.items()})
        return fields

    def until(self, true, seconds, otherwise):
        end = time.monotonic() + seconds
        while not true():
            if time.monotonic() > end:
                raise CannotRun(otherwise)
            time.sleep(0.05)

    def until_served(self, path="/read/first", method="GET", entry=0, seconds=30, status=200, **more):
        def served():
            connection = self.connect(entry, 3)
            try:
                connection.request(method, path, headers=self.head(**more))
                answer = connection.getresponse()
                answer.read()
                return answer.status == status
            except (OSError, http.client.HTTPException):
                return False
            finally:
                connection.close()
        self.until(served, seconds, "requests are not served")


def main(case, record, **options):
    """Runs a case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    bed = Bed(record, **options)
    bed.record("with the disruption" if trouble else "without the disruption")
    try:
        broken = case(bed, trouble)
    except (CannotRun, OSError, subprocess.SubprocessError) as problem:
        bed.record(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        return 2
    finally:
        bed.stop()
    print(f"rule broken: {broken}" if broken else "rule held")
    return 1 if broken else 0
