"""The faults of a soak: drawn from the seed, played one over the other, and noted with those they touch."""

import json
import random
import signal
import subprocess
import time

from control_common import wait_for
from proxy import Rule
from soaksite import STOP_GRACE

# What a fault touches if it is not one process by name.
SERVERS, EVERYONE = "servers", "everyone"


class Fault:
    """One fault: what it does, to whom, from when to when."""

    def __init__(self, kind, touches, begin, end=lambda: None, lasts=0.0, planned=False):
        self.kind, self.touches, self.begin, self.end, self.lasts, self.planned = kind, touches, begin, end, lasts, planned


class Player:
    """Draws faults and plays them until the time is over."""

    def __init__(self, seed, site, history, operator):
        self.generator = random.Random(f"{seed}/faults")
        self.site, self.history, self.operator = site, history, operator

    def play(self, seconds):
        """Rounds of one to three faults that overlap, each followed by calm."""
        over = time.monotonic() + seconds
        while time.monotonic() < over:
            due = []
            for _ in range(self.generator.randint(1, 3)):
                fault = self.draw()
                begins = time.monotonic() + self.generator.uniform(0, 2)
                due += [(begins, fault, True), (begins + fault.lasts, fault, False)]
            for at, fault, begins in sorted(due, key=lambda it: it[0]):
                time.sleep(max(0, at - time.monotonic()))
                self.note(fault, begins)
                (fault.begin if begins else fault.end)()
            time.sleep(self.generator.uniform(1, 6))

    def note(self, fault, begins):
        if begins:
            fault.record = self.history.add(self.history.faults, kind=fault.kind, touches=sorted(fault.touches),
                                            at=self.history.now(), ended=None, planned=fault.planned)
        else:
            fault.record["ended"] = self.history.now()

    def is_disturbed(self, names):
        """Whether a fault that touches one of the processes has not ended."""
        return any(it["ended"] is None and set(it["touches"]) & (names | {EVERYONE}) for it in self.history.faults)

    def draw(self):
        lasts = self.generator.uniform(0.3, 4)
        names = list(self.site.processes)
        name = self.generator.choice(names)
        member = self.generator.choice([it for it in names if it.startswith("control")])
        entry = self.generator.choice([it for it in names if it.startswith("entry")])
        server = self.generator.choice(self.site.servers)
        makers = {
            "frozen": lambda: self.frozen(name, lasts),
            "killed": lambda: self.killed(name, lasts),
            "killed in a row": lambda: self.killed_in_a_row(name),
            "power lost": lambda: self.power_lost(member, lasts),
            "all killed": lambda: self.all_killed(names, min(lasts, 1.5)),
            "stopped": lambda: self.stopped(entry, lasts),
            "hup": lambda: Fault("hup", {name}, lambda: self.site.processes[name].signal(signal.SIGHUP), planned=True),
            "disk lost": lambda: self.disk_lost(member),
            "storage stalls": lambda: self.shimmed("storage stalls", member, "stall %d" % self.generator.randint(50, 900), lasts),
            "storage full": lambda: self.shimmed("storage full", member, "full", lasts),
            "clock stepped": lambda: self.shimmed("clock stepped", name, "clock %d" % self.generator.randint(-90000, 90000), lasts),
            "cut": lambda: self.cut(name, lasts),
            "slow links": lambda: self.ruled("slow links", {name}, Rule("delay", {name}, None, self.generator.uniform(.02, .4)), lasts),
            "links reset": lambda: self.ruled("links reset", {name}, Rule("reset", {name}), 0.05),
            "list silent": lambda: self.ruled("list silent", {SERVERS}, Rule("silence", None, {"list"}), lasts),
            "server fault": lambda: self.server_fault(server, lasts),
            "server restarted": lambda: Fault("server restarted", {SERVERS}, server.restart),
            "servers unreachable": lambda: self.servers_unreachable(server.service, lasts),
            "killed in a rollout": lambda: self.killed_in_a_rollout(names, min(lasts, 1.5)),
            "address reused": lambda: self.address_reused(server),
            "server drained": lambda: self.drained(server, lasts + 4),
            "changed": lambda: Fault("changed", set(), self.operator.change, planned=True),
            "raced": lambda: Fault("raced", set(), self.operator.race, planned=True),
            "invalid": lambda: Fault("invalid", set(), self.operator.send_invalid, planned=True),
            "weights": lambda: Fault("weights", set(), self.operator.name_weights, planned=True),
        }
        return makers[self.generator.choice(list(makers))]()

    def process(self, name):
        """Returns the present process of a name: a member that lost its disk is replaced by another one, maybe since the draw."""
        return self.site.processes[name]

    def start_again(self, name):
        if not self.process(name).alive():
            self.process(name).start()

    def frozen(self, name, lasts):
        return Fault("frozen", {name}, lambda: self.process(name).signal(signal.SIGSTOP),
                     lambda: self.process(name).signal(signal.SIGCONT), lasts)

    def killed(self, name, lasts):
        return Fault("killed", {name}, lambda: self.process(name).kill(), lambda: self.start_again(name), lasts)

    def killed_in_a_row(self, name):
        def begin():
            it = self.process(name)
            for _ in range(3):
                it.kill()
                it.start()
                time.sleep(self.generator.uniform(0.05, 0.6))
        return Fault("killed in a row", {name}, begin)

    def power_lost(self, name, lasts):
        return Fault("power lost", {name}, lambda: self.site.lose_power(name), lambda: self.start_again(name), lasts)

    def all_killed(self, names, lasts):
        def begin():
            for it in names:
                self.site.processes[it].kill()

        def end():
            for it in names:
                self.start_again(it)
        return Fault("all killed", {EVERYONE}, begin, end, lasts)

    def stopped(self, name, lasts):
        """Stops an entry in order, as a roll does, and starts it again."""
        it = self.site.processes[name]
        asked = []

        def begin():
            asked.append(it.process)
            it.signal(signal.SIGTERM)

        def end():
            program = asked[0]
            # A frozen process can't end, and what froze it would end only after this wait.
            if program.poll() is None:
                program.send_signal(signal.SIGCONT)
            if not self.ends_in_time(program):
                self.history.add(self.history.exits, name=name, at=self.history.now(), how="did not end within its grace time")
                it.kill()
            elif program.returncode not in (0, -signal.SIGKILL):
                self.history.add(self.history.exits, name=name, at=self.history.now(), how=f"ended with {program.returncode}")
            # Another fault may have started a successor, which nobody asked to stop.
            if it.process is program:
                it.start()
        return Fault("stopped", {name}, begin, end, lasts, planned=True)

    @staticmethod
    def ends_in_time(program):
        try:
            program.wait(STOP_GRACE)
        except subprocess.TimeoutExpired:
            return False
        return True

    def disk_lost(self, name):
        def begin():
            # More than one loss at a time is more than the settings say is borne. A member that is cut off from the others
            # still answers operators.
            if self.operator.is_whole() and not self.is_disturbed({it for it in self.site.processes if it.startswith("control")} - {name}):
                self.site.lose_disk(int(name.split("-")[1]))
                wait_for(self.operator.is_whole, 40, "a lost disk was not replaced")
        return Fault("disk lost", {name}, begin)

    def shimmed(self, kind, name, text, lasts):
        return Fault(kind, {name}, lambda: self.process(name).set_faults(text), lambda: self.process(name).set_faults(""), lasts)

    def ruled(self, kind, touches, rule, lasts):
        return Fault(kind, touches, lambda: self.site.proxy.add(rule), lambda: self.site.proxy.remove(rule), lasts)

    def cut(self, name, lasts):
        """Cuts a process off, in one direction or both, as its peers and it see it."""
        one_way = self.generator.choice((None, True, False))
        rules = [Rule("silence", {name}, None, to_target=one_way is not False, to_source=one_way is not True),
                 Rule("silence", None, {name}, to_target=one_way is not True, to_source=one_way is not False)]

        def begin():
            for it in rules:
                self.site.proxy.add(it)

        def end():
            for it in rules:
                self.site.proxy.remove(it)
        return Fault("cut", {name}, begin, end, lasts)

    def server_fault(self, server, lasts):
        how = self.generator.choice(("errors", "sheds", "hangs", "cuts", "slow"))

        def set_fault(value):
            server.fault = value
        return Fault("server " + how, {SERVERS}, lambda: set_fault(how), lambda: set_fault(""), lasts)

    def servers_unreachable(self, service, lasts):
        """Resets all connections to a service's servers, which refuse new ones for a while."""
        def begin():
            self.site.proxy.refuse({it.proxied for it in self.site.servers if it.service == service})
        return Fault("servers unreachable", {SERVERS}, begin, self.site.proxy.accept_again, lasts)

    def killed_in_a_rollout(self, names, lasts):
        """Kills one or all control members while servers load new weights."""
        members = [it for it in names if it.startswith("control")]
        killed = members if self.generator.random() < 0.5 else [self.generator.choice(members)]
        pause = self.generator.uniform(0.05, 0.5)

        def begin():
            self.operator.name_weights()
            time.sleep(pause)
            for it in killed:
                self.site.processes[it].kill()

        def end():
            for it in killed:
                self.start_again(it)
        return Fault("killed in a rollout", set(killed) if len(killed) == 1 else {EVERYONE}, begin, end, lasts)

    def address_reused(self, server):
        """Another service gets the server's address, as after a replacement."""
        def begin():
            same = [it for it in self.site.servers if it.service == server.service and it is not server]
            if len(same) < 2:
                return
            server.service = "lm" if server.service == "app" else "app"
            server.version = max(it.version for it in self.site.servers) if server.service == "lm" else 0
            server.restart()
        return Fault("address reused", {SERVERS}, begin)

    def drained(self, server, lasts):
        def begin():
            if sum(it.service == server.service and it.state == "ready" for it in self.site.servers) > 1:
                server.state = "draining"
                self.history.add(self.history.lists, server=server.name, at=self.history.now())

        def end():
            if server.state != "ready":
                server.restart()
                server.state = "ready"
        return Fault("server drained", {SERVERS}, begin, end, lasts, planned=True)


class Operator:
    """Changes configurations and weights and remembers what was acknowledged."""

    def __init__(self, site, history, generator):
        self.site, self.history, self.generator = site, history, generator
        self.version = 0
        self.weights = 1

    def put(self, text, version, valid=True):
        record = self.history.add(self.history.changes, version=version, text=text, at=self.history.now(), status=None,
                                  acknowledged=None, valid=valid)
        members = list(self.site.members)
        self.generator.shuffle(members)
        record["status"], _ = self.site.operator("PUT", "/-/config", text, members)
        if record["status"] == 200:
            record["acknowledged"] = self.history.now()
        return record["status"]

    def change(self):
        self.version += 1
        return self.put(self.site.configuration(self.version), self.version)

    def race(self):
        """Two contents under one version: one at most is in force ever."""
        self.version += 1
        one = json.loads(self.site.configuration(self.version))
        for note in ("first", "second"):
            self.put(json.dumps({**one, "Note": note}), self.version)

    def send_invalid(self):
        text = self.site.configuration(self.version + 1)
        broken = json.loads(text)
        broken["Routes"][0]["Service"] = "none"
        self.put(self.generator.choice((text[:-30], json.dumps(broken))), self.version + 1, valid=False)

    def name_weights(self):
        body = json.dumps({"Model": "m", "Version": self.weights + 1})
        if self.site.operator("POST", "/-/version-put", body)[0] == 200:
            self.weights += 1

    def read(self):
        """Reads the configuration at one member."""
        n = self.generator.choice(list(self.site.members))
        record = self.history.add(self.history.reads, member=n, at=self.history.now(), version=None, text="")
        status, body = self.site.follow(f"127.0.0.{n}", "GET", "/-/config", None)
        if status == 200:
            record.update(version=json.loads(body)["Version"], text=body.decode())
        return record

    def is_whole(self):
        """Whether every member runs and its storage is a voter's."""
        seen = self.site.membership()
        return seen is not None and bool(seen[1]) and seen[0] == {identity for identity, _ in seen[1]}
