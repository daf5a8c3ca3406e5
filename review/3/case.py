"""All processes are killed shortly after new weights were named, and start again at once."""

import json
import pathlib
import signal
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness as h

LAG_S = 0.8
LOAD_S = 0.29
KILL_AFTER_S = 0.35
DOWN_S = 0.5
AFTER_S = 30.0
A_SECOND = 10


class List(h.ServerList):
    """The list of the platform, which lags by LagMs."""
    def body(self):
        entries = []
        for it in self.servers:
            entry = it.entry()
            if it.version:
                past = [version for at, version in it.versions if at <= h.now() - LAG_S]
                entry["Models"][0]["Version"] = past[-1] if past else it.versions[0][1]
            entries.append(entry)
        return json.dumps({"Instances": entries, "Next": None}).encode()


h.ServerList = List


class Engine(h.Server):
    """Loads new weights in LOAD_S; the mode is queue, and requests that have not started get 503 with X-Not-Executed."""

    def __init__(self, *args):
        super().__init__(*args)
        self.versions = [(0, self.version)]
        self.busy = False
        self.fence = 0

    def answer(self, connection, method, target, fields, body):
        if fields.get("x-target-instance", self.name) != self.name:
            return super().answer(connection, method, target, fields, body)
        if target == "/-/report":
            it = {"Stage": "both", "Busy": self.busy, "Seq": self.orders, "born": 1, "Queued": 0, "Active": 0, "KvUsed": 0,
                  "KvTotal": 173548, "Models": [{"Name": "m", "Version": self.version, "Adapters": []}]}
            return self.reply(connection, 200, json.dumps(it).encode(), fields)
        if target == "/-/order":
            order = json.loads(body)
            self.record(f"server {self.name} gets an order of {order['Holder']}, fence {order['Fence']}, version {order['Version']}")
            if order["Fence"] < self.fence:
                return self.reply(connection, 412, b"{}", fields)
            self.fence = order["Fence"]
            if self.busy or order.get("Expected", self.orders) != self.orders:
                return self.reply(connection, 409, b"{}", fields)
            if order["Version"] == self.version:
                return self.reply(connection, 200, b"{}", fields)
            self.orders += 1
            self.busy = True
            threading.Thread(target=self.load, args=(order["Version"],), daemon=True).start()
            return self.reply(connection, 202, b"{}", fields)
        if self.busy and "x-model" in fields:
            return self.reply(connection, 503, b"", fields, {"X-Not-Executed": "1"})
        return super().answer(connection, method, target, fields, body)

    def load(self, version):
        time.sleep(LOAD_S)
        self.version = version
        self.versions.append((h.now(), version))
        self.busy = False
        self.record(f"server {self.name} has loaded version {version}")


def send(site, record, n, path, results, **more):
    request = h.new_id()
    ip = site.entries[n % len(site.entries)]
    try:
        with socket.create_connection((ip, site.ports["Front"]), timeout=5) as it:
            it.sendall(h.request_bytes("POST", path, request, 4000, b"{}", **more))
            status = it.makefile("rb").readline().decode().strip() or "closed"
    except OSError as problem:
        status = type(problem).__name__
    results.append((h.now(), path, status))
    record(f"client: request {request} at {ip}: {status}")


def name(site, version):
    assert site.operator("POST", "/-/version-put", json.dumps({"Model": "m", "Version": version}))[0] == 200


def case(record, sites):
    engine = Engine(record, "lm-1", "lm", 1)
    engine.events, engine.pause = 4, 0.02
    site = h.Site(record, [engine], controls=3, entries=2)
    sites.append(site)
    config = h.configuration(1, [h.route("ask", "streaming", "lm", Resumable=True)])
    assert site.operator("PUT", "/-/config", json.dumps(config))[0] == 200
    site.wait_ready()
    name(site, 2)
    time.sleep(5)
    results, end = [], [False]

    def traffic():
        n = 0
        while not end[0]:
            n += 1
            threading.Thread(target=send, args=(site, record, n, "/ask/x", results), kwargs=h.PROMPT, daemon=True).start()
            time.sleep(1 / A_SECOND)
    threading.Thread(target=traffic, daemon=True).start()
    time.sleep(3)
    fault = h.now()
    name(site, 3)
    if h.TROUBLE:
        time.sleep(max(0.0, fault + KILL_AFTER_S - h.now()))
        for it in site.processes.values():
            it.signal(signal.SIGKILL)
        record(f"all processes are killed, {h.now() - fault:.2f} s after the new weights were sent")
        for it in site.processes.values():
            it.process.wait()
        time.sleep(DOWN_S)
        for it in site.processes.values():
            it.start()
        record("all processes have started again, with their disks")
    back = h.now()
    time.sleep(AFTER_S)
    end[0] = True
    time.sleep(1)

    def served(since, until):
        some = [status for at, _, status in results if since <= at < until]
        ok = sum("200" in status for status in some)
        record(f"{ok} of {len(some)} requests served from {since - back:.1f} s to {until - back:.1f} s after the machines were back")
        return ok / len(some) if some else 0
    before = served(fault - 3, fault)
    after = served(back + h.BOUNDS["RecoverS"], back + AFTER_S)
    record(f"the engine has version {engine.version}, is ready, {'busy' if engine.busy else 'not busy'}, on the list")
    if before < 0.25:
        raise RuntimeError("too little was served before")
    return after >= 0.25


h.main(FOLDER, case)
