"""Runs one deployment's shape with real processes under a seeded load, with or without faults.

Used by utils/measure-fleet. Loopback only; every run ends what it started."""

import http.client
import json
import os
import random
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field

sys.path.insert(0, os.path.join(
    os.path.dirname(os.path.abspath(__file__)), "..", "..", "test", "system"))

from control_common import BIN, call, wait_for  # noqa: E402
from deployment import MODEL, Deployment, Standin, send  # noqa: E402

BLOCK_TOKENS = 4000
BYTES_PER_TOKEN = 4
CACHE_BLOCKS = 40
ROOT_BLOCKS = 1
DOCUMENT_BLOCKS = 3
CONVERSATION_BLOCKS = 2
OWN_BYTES = (1000, 8000)
MAX_TOKENS = 16
ENTRIES = 8
ENTRY_WEIGHTS = (50, 75, 100, 100, 100, 100, 125, 150)
CUSTOMERS = ("a", "b", "c", "d", "e")
SHARES = (30, 25, 15, 10, 20)
# The last customer sends this many times its rate.
SURGE = 4
# The rate of the others, as a multiple of what they send.
HEADROOM = 1.6
BURST_SECONDS = 10
DEADLINE_MS = 15000
STORM_FACTOR = 2
DOCUMENTS = 8
CONVERSATIONS = 3
SKEW = 1.2
# Part of a run whose requests count in no hit rate and time to the first token.
WARM_UP = 1 / 3
MOST_PROCESSES = 60
WAYS = ("expectedFirstToken", "random", "leastLoaded", "prefixHash")


@dataclass
class Shape:
    """What a deployment consists of, and its load."""
    name: str
    domains: tuple
    control_domains: tuple
    engines: int
    services: int
    # Requests a second over all customers.
    rate: float

    def engine_speeds(self):
        """Prompt tokens a second of each engine; the order is fixed and mixed."""
        slowest, fastest = 6000, 30000
        speeds = [slowest + (fastest - slowest) * n // (self.engines - 1) for n in range(self.engines)]
        random.Random(self.engines).shuffle(speeds)
        return speeds

    def limits(self):
        """Rate and burst of each customer in tokens."""
        tokens = BLOCK_TOKENS * (ROOT_BLOCKS + DOCUMENT_BLOCKS + CONVERSATION_BLOCKS) \
            + sum(OWN_BYTES) / 2 / BYTES_PER_TOKEN + MAX_TOKENS
        out = []
        for n, share in enumerate(SHARES):
            offered = self.rate * share / sum(SHARES) * tokens
            rate = offered / SURGE if n == len(SHARES) - 1 else offered * HEADROOM
            out.append((int(rate), int(max(BURST_SECONDS * rate, 3 * tokens))))
        return out


SHAPES = {
    "cyngor": Shape("cyngor", ("caerdydd", "abertawe", "casnewydd"),
                    ("caerdydd", "caerdydd", "abertawe", "abertawe", "casnewydd"), 18, 3, 16),
    "utility": Shape("utility", ("kaskinen", "narpio", "kristiinankaupunki", "vaasa"),
                     ("kaskinen", "kaskinen", "narpio", "kristiinankaupunki", "vaasa"), 9, 4, 8),
}


@dataclass
class Outcome:
    """What one run brought."""
    shape: str
    way: str
    faulty: bool
    report: dict
    services: dict
    processes: int
    resident_mib: float
    load_average: float
    events: list = field(default_factory=list)


class Fleet(Deployment):
    """A deployment in its failure domains, with engines of unlike speed and a KV cache store."""

    def __init__(self, shape, way):
        super().__init__(controls=len(shape.control_domains), entries=ENTRIES, engines=shape.engines,
                         services=shape.services)
        self.shape = shape
        self.domains = dict(zip((it.name for it in self.members), shape.control_domains))
        for n, it in enumerate(self.entries + self.engines + self.services):
            self.domains[it.name] = shape.domains[n % len(shape.domains)]
        for it, speed in zip(self.engines, shape.engine_speeds()):
            it.options += ["--prefill", str(speed), "--decode", "10", "--cache-blocks",
                           str(CACHE_BLOCKS), "--block-tokens", str(BLOCK_TOKENS), "--lag-events", "100"]
        self.store = Standin("kvstore", "kv-store")
        self.entry_lines = ["entriesTtl: 2s", "routing: {strategy: %s}" % way,
                            "prefix: {blockTokens: %d}" % BLOCK_TOKENS]

    def __exit__(self, *details):
        if self.store.process and self.store.process.poll() is None:
            self.store.kill()
        super().__exit__(*details)

    def settings_file(self, member, role="control", extra=None):
        lines = list(extra or [])
        if role == "entry":
            lines.append("weight: %d" % ENTRY_WEIGHTS[int(member.name.rsplit("-", 1)[1]) - 1])
        path = super().settings_file(member, role, lines)
        with open(path) as source:
            text = source.read()
        for it in self.members + self.entries:
            text = text.replace("failureDomain: fd-%s\n" % it.name,
                                "failureDomain: %s\n" % self.domains[it.name])
        with open(path, "w") as out:
            out.write(text)
        return path

    def start_all(self):
        self.store.start()
        try:
            super().start_all()
        except AssertionError:
            self.show_logs()
            raise

    def show_logs(self):
        """Prints the last line of each instance's log."""
        for it in self.members + self.entries:
            with open(os.path.join(self.folder, it.name + ".log")) as log:
                print(it.name, it.process.poll(), log.read().splitlines()[-1:], file=sys.stderr)

    def declare(self):
        """Applies the catalogue, grants each customer a key, and returns the keys."""
        entries = self.catalogue(customers=CUSTOMERS)
        for it, (rate, burst) in zip(entries["customers"], self.shape.limits()):
            it["limits"] = {"rateTokensPerSecond": rate, "burstTokens": burst}
        for it in entries["upstreams"]:
            it["failureDomain"] = self.domains[it["name"]]
            if it["kind"] == "engine":
                it["limits"] = {"maxConcurrent": 4}
        entries["upstreams"].append({
            "name": self.store.name, "owner": "operations", "kind": "kvStore",
            "address": "127.0.0.1:%d" % self.store.port, "failureDomain": self.shape.domains[0]})
        entries["routes"][0].update({"class": "quick", "limits": {"deadlineMs": DEADLINE_MS}})
        self.apply(entries)
        keys = [self.grant("key-" + it, it) for it in CUSTOMERS]
        wait_for(self.all_named, 20, "not every entry names all")
        return keys

    def all_named(self):
        return all(len(call(it.callers, "GET", "/v1/entries")[1]["entries"]) == ENTRIES
                   for it in self.entries)

    def processes(self):
        """The processes that run now."""
        parts = self.members + self.entries + self.engines + self.services + [self.store]
        return [it.process for it in parts if it.process and it.process.poll() is None]


class ServiceCalls:
    """Calls that may run once, two a second in turn over the application servers."""

    def __init__(self, fleet, key):
        self.fleet = fleet
        self.key = key
        self.results = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        n = 0
        while not self.stopping.wait(0.5):
            n += 1
            service = self.fleet.services[n % len(self.fleet.services)]
            entry = self.fleet.entries[n % len(self.fleet.entries)]
            try:
                answer = send(entry, self.key, {"id": "call-%d" % n}, timeout=10,
                              path="/svc/%s/tally" % service.name,
                              headers={"Idempotency-Key": "call-%d" % n})
                result = str(answer.status)
            except (OSError, http.client.HTTPException):
                result = "unreachable"
            self.results[result] = self.results.get(result, 0) + 1

    def stop(self):
        self.stopping.set()
        self.thread.join()
        return self.results


def load_command(fleet, keys, seconds, seed, faulty, requests_file):
    """The load program with the shape's load; the same seed gives the same arrivals."""
    shape = fleet.shape
    limits = shape.limits()
    options = {
        "target": ",".join("127.0.0.1:%d" % it.callers for it in fleet.entries),
        "key": ",".join(keys), "model": MODEL, "rate": shape.rate, "seconds": seconds, "seed": seed,
        "shares": ",".join(map(str, SHARES)),
        "rates": ",".join(str(rate) for rate, _ in limits),
        "bursts": ",".join(str(burst) for _, burst in limits),
        "max-running": 800, "max-tokens": MAX_TOKENS, "retries": 2,
        "block-bytes": BLOCK_TOKENS * BYTES_PER_TOKEN, "root-blocks": ROOT_BLOCKS,
        "document-blocks": DOCUMENT_BLOCKS, "documents": DOCUMENTS, "skew": SKEW, "warm-up": WARM_UP * seconds,
        "conversation-blocks": CONVERSATION_BLOCKS, "conversations": CONVERSATIONS,
        "own-bytes": OWN_BYTES[0], "most-own-bytes": OWN_BYTES[1],
    }
    if faulty:
        options.update({"shift": seconds / 3, "storm-rate": STORM_FACTOR * shape.rate,
                        "storm-from": 0.75 * seconds, "storm-to": 0.95 * seconds})
    if requests_file:
        options["requests-file"] = requests_file
    command = [os.path.join(BIN, "kumquatload"), "--find"]
    for name, value in options.items():
        command += ["--" + name, str(value)]
    return command


def fault_schedule(fleet, seconds, seed):
    """Pairs of time and action, in order; the same for every way of the same shape and seed."""
    draw = random.Random("%s %d" % (fleet.shape.name, seed))
    engines = draw.sample(fleet.engines, 2)
    entry = draw.choice(fleet.entries)
    repair = max(1.0, 0.08 * seconds)
    leader = []

    def gaps():
        for it in fleet.engines[::3]:
            it.faults(dropEvery=20)

    def kill_entry():
        entry.process.kill()
        entry.process.wait()

    def kill_leader():
        leader.append(fleet.leader())
        if leader[0]:
            fleet.kill(leader[0])

    def start_leader():
        if leader[0]:
            fleet.start(leader[0])

    plan = [(0.3, "every third engine loses one event in 20", gaps),
            (0.4, engines[0].name + " crashes", engines[0].kill),
            (0.5, entry.name + " is killed", kill_entry),
            (0.6, engines[1].name + " crashes", engines[1].kill),
            (0.65, "the control leader is killed", kill_leader)]
    back = {1: (engines[0].name + " is back with a cold cache", engines[0].start),
            2: (entry.name + " is back", lambda: fleet.start_entry(entry)),
            3: (engines[1].name + " is back with a cold cache", engines[1].start),
            4: ("the control member is back", start_leader)}
    out = []
    for n, (share, name, action) in enumerate(plan):
        at = (share + draw.uniform(-0.03, 0.03)) * seconds
        out.append((at, name, action))
        if n in back:
            out.append((at + repair, *back[n]))
    return sorted(out, key=lambda it: it[0])


def resident_mib(pids):
    total = 0
    for pid in pids:
        try:
            with open("/proc/%d/status" % pid) as source:
                total += sum(int(it.split()[1]) for it in source if it.startswith("VmRSS:"))
        except OSError:
            pass
    return total / 1024


def machine_mib():
    with open("/proc/meminfo") as source:
        return int(source.readline().split()[1]) / 1024


def follow(fleet, load, schedule, seconds):
    """Carries the faults out and returns what was done, and the most processes and memory seen."""
    begun = time.monotonic()
    events = []
    processes = 0
    resident = 0.0
    while load.poll() is None and time.monotonic() - begun < seconds + 90:
        now = time.monotonic() - begun
        while schedule and schedule[0][0] <= now:
            _, name, action = schedule.pop(0)
            action()
            events.append((round(now, 1), name))
        pids = [it.pid for it in fleet.processes()] + [load.pid]
        processes = max(processes, len(pids))
        resident = max(resident, resident_mib(pids))
        if processes > MOST_PROCESSES or resident > machine_mib() / 2:
            load.kill()
            raise RuntimeError("%d processes with %.0f MiB are over the bound" % (processes, resident))
        time.sleep(0.25)
    return events, processes, resident


def run(shape, way, faulty, seconds, seed, requests_file=None):
    """Runs one deployment once and returns its Outcome."""
    with Fleet(shape, way) as fleet:
        fleet.start_all()
        keys = fleet.declare()
        schedule = fault_schedule(fleet, seconds, seed) if faulty else []
        average = os.getloadavg()[0]
        services = ServiceCalls(fleet, keys[0])
        # The report goes to a file, so that a long one can not block the program.
        path = os.path.join(fleet.folder, "report.json")
        try:
            with open(path, "w") as out, subprocess.Popen(
                    load_command(fleet, keys, seconds, seed, faulty, requests_file), stdout=out) as load:
                try:
                    events, processes, resident = follow(fleet, load, schedule, seconds)
                finally:
                    if load.poll() is None:
                        load.kill()
        finally:
            called = services.stop()
        with open(path) as source:
            report = json.load(source)
        return Outcome(shape.name, way, faulty, report, called, processes, resident, average, events)


REFUSALS = ("rateLimited", "overloaded", "noUpstream", "staleConfiguration", "unavailable",
            "deadlineExceeded")


def measures(outcome):
    """The five measures of a run, from its report."""
    report = outcome.report
    shares = {it["customer"]: it["tokens"] / it["entitledTokens"]
              for it in report["customers"] if it["entitledTokens"] > 0}
    worst = min(shares, key=shares.get)
    inside = [it for it in report["customers"] if it["exactRefusals"] == 0]
    refused = {code: sum(it["firstResults"].get(code, 0) for it in inside) for code in REFUSALS}
    return {
        "hitRate": report["hitRate"],
        "p50": report["insideRate"]["firstTokenMs"]["p50"],
        "p99": report["insideRate"]["firstTokenMs"]["p99"],
        "recomputed": report["recomputedShare"],
        "worstShare": shares[worst],
        "worstCustomer": CUSTOMERS[worst],
        "insideRequests": sum(it["requests"] for it in inside),
        "insideWhole": sum(it["whole"] for it in inside),
        "insideByLimit": refused["rateLimited"],
        "insideOther": sum(refused.values()) - refused["rateLimited"],
    }
