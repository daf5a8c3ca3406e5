"""Processes that run on a stand-in of the platform. Members share their ports and differ by loopback address."""

import http.client
import json
import os
import pathlib
import shutil
import subprocess
import tempfile

from control_common import BIN, wait_for
from platform_standin import Server, ServerList
from ports import free_ports


# Fields of a request with a prompt.
MODEL = {"X_Model": "m", "X_Token_Usage": "100,20", "X_Prompt_Prefix": "aa:60,bb:40"}


def plan(version, **changes):
    """A configuration with an idempotent, a non-idempotent and two streaming routes."""
    def route(name, kind, service, **more):
        return {"Name": name, "Host": "a.example", "PathPrefix": f"/{name}/", "Kind": kind, "TimeoutMs": 4000, "GoalMs": 500,
                "Priority": 0, "Service": service, "Attempts": 2, "Public": False, "Sticky": kind == "streaming",
                "Resumable": False, "GapGoalMs": 500, **more}
    return {"Version": version,
            "Routes": [route("read", "idempotent", "app"), route("write", "non_idempotent", "app", Attempts=1),
                       route("ask", "streaming", "lm", Resumable=True), route("review", "streaming", "lm", Attempts=1)],
            "Services": [{"Name": "app", "HealthPath": "/h", "MaxConns": 100},
                         {"Name": "lm", "HealthPath": "/h", "MaxConns": 100,
                          "Engine": {"Slots": 8, "KvCapacity": 100000, "TokenKvBytes": 1000, "LinkMbps": 1000.0,
                                     "MaxInflight": 4, "Models": [{"Name": "m"}]}}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 100000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": "north", "ApiKeys": ["k-north"], "Priority": 0, "PlainTokens": 10, "Isolated": False,
                         "RatePerS": 100000, "Burst": 100000}], **changes}


class Process:
    # Variables beyond those of this process.
    environment = {}

    def __init__(self, settings, folder, name):
        self.file = folder / f"{name}.yaml"
        self.file.write_text(json.dumps(settings))
        self.log = open(folder / f"{name}.log", "ab")
        self.start()

    def start(self):
        self.process = self.spawn()

    def spawn(self):
        program = pathlib.Path(BIN) / "kumquathavend"
        return subprocess.Popen([program, "--settings", self.file], stdout=self.log, stderr=self.log,
                                env={**os.environ, **self.environment})

    def stop(self, how="kill"):
        getattr(self.process, how)()
        self.process.wait(20)


class Installation:
    def __init__(self, controls=3, entries=2, servers=None, **platform):
        """platform: settings of the processes besides those of every test."""
        self.platform = platform
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="kumquathaven-"))
        self.servers = servers or [Server("app-1", "app"), Server("app-2", "app"), Server("lm-1", "lm", 1),
                                   Server("lm-2", "lm", 1)]
        self.list = ServerList(self.servers)
        self.ports = dict(zip(("link", "operators", "declarations", "directory", "callers"), free_ports(5)))
        self.members = {}
        self.entries = {}
        for n in range(controls):
            self.add_control(n + 1, first=True)
        for n in range(entries):
            self.add_entry(n + 1)

    def settings(self, role, host, first):
        at = {name: f"{host}:{port}" for name, port in self.ports.items()}
        platform = {"seeds": [f"127.0.0.{n}:{self.ports['declarations']}" for n in (1, 2, 3)], "firstStart": first,
                    "lossesTolerated": 1, "serverList": {"address": f"127.0.0.1:{self.list.port}"}, "checksFencing": True,
                    **self.platform}
        it = {"role": role, "region": "r", "failureDomain": "z1", "linkSecret": "a-secret-of-this-test", "platform": platform}
        if role == "control":
            platform.update(declarations=at["declarations"], directory=at["directory"])
            return {**it, "instance": at["link"], "listen": {"operators": at["operators"], "link": at["link"]},
                    "dataFolder": str(self.folder / host)}
        return {**it, "instance": "entry-" + host,
                "listen": {"callers": at["callers"], "operators": at["operators"], "link": at["link"]}}

    def add_control(self, n, first=False):
        host = f"127.0.0.{n}"
        self.members[n] = Process(self.settings("control", host, first), self.folder, f"control-{n}")

    def add_entry(self, n):
        host = f"127.0.1.{n}"
        self.entries[n] = Process(self.settings("entry", host, False), self.folder, f"entry-{n}")

    def lose_disk(self, n):
        """Stops a member, empties its folder and starts it as the platform would: not as the first time."""
        self.members[n].stop()
        shutil.rmtree(self.folder / f"127.0.0.{n}")
        self.add_control(n)

    def call(self, host, port, method, path, body=None, headers=None, timeout=5):
        connection = http.client.HTTPConnection(host, self.ports[port], timeout=timeout)
        try:
            connection.request(method, path, body, headers or {})
            answer = connection.getresponse()
            return answer.status, answer.read(), dict(answer.getheaders())
        finally:
            connection.close()

    def operator(self, method, path, body=None, members=None):
        """Calls any member, follows redirects and goes on to the next member, as operators do."""
        for n in list(members or self.members):
            status, answer = self.follow(f"127.0.0.{n}", method, path, body)
            if status < 500:
                return status, answer
        return 503, b""

    def follow(self, host, method, path, body):
        """Calls one member and follows two redirects."""
        for _ in range(3):
            try:
                status, answer, headers = self.call(host, "declarations", method, path, body)
            except OSError:
                return 503, b""
            if status != 307:
                return status, answer
            host = headers["Location"].split("//")[1].split(":")[0]
        return 503, b""

    def declare(self, value, seconds=15):
        text = value if isinstance(value, str) else json.dumps(value)
        result = []

        def acknowledged():
            result[:] = self.operator("PUT", "/-/config", text)
            return result[0] < 500
        wait_for(acknowledged, seconds, "the declaration is not answered")
        return result[0]

    def request(self, n, path, method="GET", key="k-north", body=None, timeout=5, **headers):
        fields = {"Host": "a.example", "X-Request-Id": os.urandom(8).hex(), "X-Deadline-Ms": "4000"}
        if key:
            fields["X-Key"] = key
        fields.update({name.replace("_", "-"): value for name, value in headers.items()})
        return self.call(f"127.0.1.{n}", "callers", method, path, body, fields, timeout)

    def membership(self):
        """The storages of all members and the voters by storage as (identity, instance); None if a member does not answer."""
        storages, voters = set(), set()
        for n in self.members:
            try:
                _, body, _ = self.call(f"127.0.0.{n}", "operators", "GET", "/v1/members", timeout=1)
            except OSError:
                # Not up yet: its storage may be one that the voters do not know.
                return None
            group = json.loads(body)["groups"][0]
            storages.add(group["identity"])
            if group["role"] == "leader":
                voters = {(it["identity"], it["instance"]) for it in group["members"] if it["voter"]}
        return storages, voters

    def wait_until_served(self, n=1, seconds=15):
        def served():
            try:
                return self.request(n, "/read/x")[0] == 200
            except OSError:
                return False
        wait_for(served, seconds, "requests are not served")

    def stop(self):
        for it in [*self.entries.values(), *self.members.values()]:
            if it.process.poll() is None:
                it.stop()
            it.log.close()
        self.list.stop()
        for it in self.servers:
            it.stop()
        shutil.rmtree(self.folder, ignore_errors=True)
