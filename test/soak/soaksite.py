"""The processes of a soak: control members behind a proxy, entries, stand-in servers, and their faults."""

import json
import os
import pathlib
import random
import signal
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "system"))
from control_common import BIN  # noqa: E402
from platform_common import Installation, Process, plan  # noqa: E402
from proxy import Proxy  # noqa: E402
from standins import KEYS, SoakServer  # noqa: E402

SHIM = pathlib.Path(BIN) / "soakshim.so"
DRAIN_TIME, STOP_GRACE, IN_FORCE_TIME = 3.0, 6.0, 2.5
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW = 0.2, 30, 10
LIMIT_SLACK = 1000
# Seconds for which a server is away after a crash.
CRASH_TIME = 1.5
# Rate and burst of each customer in tokens: one is held back by them, the other is not.
LIMITS = {"north": (100000, 100000), "south": (600, 1200)}


class SoakProcess(Process):
    """A process with the shim that plays faults of its clock and its storage."""

    def __init__(self, settings, folder, name):
        self.faults = folder / f"{name}.faults"
        self.synced = folder / f"{name}.synced"
        self.environment = {"LD_PRELOAD": str(SHIM), "KUMQUATHAVEN_SOAK_FAULTS": str(self.faults),
                            "KUMQUATHAVEN_SOAK_SYNCED": str(self.synced)}
        self.set_faults("")
        super().__init__(settings, folder, name)

    def set_faults(self, text):
        # Renamed into place, so that it is never read half.
        draft = self.faults.with_suffix(".draft")
        draft.write_text(text)
        draft.rename(self.faults)

    def start(self):
        # The mark belongs to one process, so that it never applies to the one before or after.
        program = self.spawn()
        program.end_asked = False
        self.process = program

    def alive(self):
        return self.process.poll() is None

    def signal(self, number):
        self.process.end_asked = self.process.end_asked or number == signal.SIGTERM
        if self.alive():
            self.process.send_signal(number)

    def kill(self):
        self.process.end_asked = True
        if self.alive():
            self.process.kill()
        self.process.wait(10)

    stop = kill


class SoakSite(Installation):
    """Three members at 127.0.0.n, named by the proxy's addresses 127.0.2.n; entries at 127.0.1.n."""

    def __init__(self, seed, history, controls=3, entries=3):
        self.generator = random.Random(f"{seed}/servers")
        self.history = history
        self.proxy = Proxy(self.pids)
        self.processes = {}
        services = [("app", 0)] * 3 + [("lm", 1)] * 3
        servers = [SoakServer(f"{service}-{n}-0", service, version, history, self.generator)
                   for n, (service, version) in enumerate(services)]
        for it in servers:
            it.proxied = self.proxy.listen("server", ("127.0.0.1", it.port))
            it.entry = self.entry_of(it)
            it.crash = self.crash
        super().__init__(0, 0, servers)
        self.list_port = self.proxy.listen("list", ("127.0.0.1", self.list.port))
        self.proxy.start()
        for n in range(1, controls + 1):
            for port in ("link", "declarations"):
                self.proxy.listen(f"control-{n}", (f"127.0.0.{n}", self.ports[port]), f"127.0.2.{n}", self.ports[port])
            self.add_control(n, first=True)
        for n in range(1, entries + 1):
            self.add_entry(n)

    @staticmethod
    def entry_of(server):
        """What the platform's list says of a server: the proxy's address."""
        plain = server.entry
        return lambda: {**plain(), "Addr": f"127.0.0.1:{server.proxied}", "born": server.starts + 1}

    def pids(self):
        return {name: it.process.pid for name, it in list(self.processes.items())}

    def settings(self, role, host, first):
        it = super().settings(role, host, first)
        it["platform"].update(
            seeds=[f"127.0.2.{n}:{self.ports['declarations']}" for n in (1, 2, 3)],
            serverList={"address": f"127.0.0.1:{self.list_port}"}, drainTime=f"{DRAIN_TIME}s", stopGrace=f"{STOP_GRACE}s",
            inForceTime="2500ms", retries={"ratio": RETRY_RATIO, "slack": RETRY_SLACK, "window": f"{RETRY_WINDOW}s"},
            limitSlackTokens=LIMIT_SLACK)
        if role == "control":
            it["instance"] = host.replace("127.0.0.", "127.0.2.") + f":{self.ports['link']}"
        return it

    def add_control(self, n, first=False):
        host = f"127.0.0.{n}"
        self.members[n] = SoakProcess(self.settings("control", host, first), self.folder, f"control-{n}")
        self.processes[f"control-{n}"] = self.members[n]

    def add_entry(self, n):
        host = f"127.0.1.{n}"
        self.entries[n] = SoakProcess(self.settings("entry", host, False), self.folder, f"entry-{n}")
        self.processes[f"entry-{n}"] = self.entries[n]

    def data_folder(self, name):
        return self.folder / name.replace("control-", "127.0.0.")

    def configuration(self, version):
        """A configuration that can be told by its routes: each version has one of its own."""
        it = plan(version)
        it["Routes"].append({**it["Routes"][0], "Name": f"v{version}", "PathPrefix": f"/v{version}/"})
        it["Tenants"] = [{**it["Tenants"][0], "Name": tenant, "ApiKeys": [key], "RatePerS": LIMITS[tenant][0],
                          "Burst": LIMITS[tenant][1]} for key, tenant in KEYS.items()]
        return json.dumps(it)

    def callers_addresses(self):
        return [(f"127.0.1.{n}", self.ports["callers"]) for n in self.entries]

    def lose_power(self, name):
        """Kills a process; what it had not synced is gone but for a part that happened to be written."""
        it = self.processes[name]
        it.kill()
        lengths = {}
        if it.synced.exists():
            for line in it.synced.read_text().splitlines():
                size, inode = map(int, line.split())
                lengths[inode] = size
        for file in self.data_folder(name).rglob("*"):
            if not file.is_file():
                continue
            size = file.stat().st_size
            kept = min(size, lengths.get(file.stat().st_ino, 0))
            os.truncate(file, self.generator.randint(kept, size))

    def crash(self, server):
        """Ends a server as a crash does; it is back after a while as a new start."""
        history = self.history
        fault = history.add(history.faults, kind="server crashed", touches=["servers"], at=history.now(), ended=None, planned=False)
        server.restart()
        self.proxy.refuse({server.proxied})

        def start():
            self.proxy.accept_again({server.proxied})
            fault["ended"] = history.now()
        threading.Timer(CRASH_TIME, start).start()

    def shut_down(self):
        for it in self.processes.values():
            it.signal(signal.SIGCONT)
            it.kill()
        self.proxy.stop()
        super().stop()

