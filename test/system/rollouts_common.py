"""A deployment on a stand-in of the platform whose services move to another release, with its load."""

import json
import threading
import time

from control_common import wait_for
from platform_common import Installation, plan
from platform_standin import Server

OLD, NEW = "v1", "v2"
ANSWER_S = 0.01


def answering(delay_s=ANSWER_S, status=200, share=1.0):
    """A trick: answers after a time; every so manyth answer, by share, with the status."""
    count = [0]

    def answer(handler, server):
        count[0] += 1
        is_odd = int(count[0] * share) > int((count[0] - 1) * share)
        time.sleep(delay_s)
        server.reply(handler, status if is_odd else 200, b"answer", {"X-Response-Stamp": "s"})
        return True
    return answer


class Service:
    """Servers of one service, and the times of the requests that they got by release."""

    def __init__(self, name, olds=4):
        self.name = name
        self.servers = [self.start(f"{name}-old-{n}", OLD, answering()) for n in range(olds)]
        self.ordered_at = None
        self.sends = []

    def start(self, name, release, trick):
        it = Server(name, self.name)
        it.release = release

        def note(handler, server):
            begun = time.monotonic()
            self.sends.append([begun, release, None])
            mine = self.sends[-1]
            answered = trick(handler, server)
            mine[2] = time.monotonic()
            return answered
        it.trick = note
        return it

    def of(self, release):
        return [it for it in self.servers if it.release == release]

    def sent(self, release, after=0.0, before=float("inf")):
        return sum(1 for at, it, _ in list(self.sends) if it == release and after <= at < before)


class Deployment(Installation):
    """An idempotent route to each service, and callers that send a steady load to all of them."""

    def __init__(self, services, entries=2, **platform):
        self.services = {name: Service(name) for name in services}
        super().__init__(entries=entries, servers=[it for s in self.services.values() for it in s.servers], **platform)
        self.answers = []
        self.is_stopping = threading.Event()
        self.callers = []

    def begin(self, callers=4, pause_s=0.02):
        base = plan(3)
        route = base["Routes"][0]
        base["Routes"] = [{**route, "Name": name, "PathPrefix": f"/{name}/", "Service": name} for name in self.services]
        base["Services"] = [{"Name": name, "HealthPath": "/h", "MaxConns": 1000} for name in self.services]
        assert self.declare(base) == 200
        for n in self.entries:
            for name in self.services:
                wait_for(lambda n=n, name=name: self.ask(n, name) == 200, 15, "requests are not served")
        for name in self.services:
            for n in range(callers):
                it = threading.Thread(target=self.call_again, args=(name, n, pause_s), daemon=True)
                self.callers.append(it)
                it.start()

    def ask(self, n, name):
        try:
            return self.request(n, f"/{name}/x")[0]
        except OSError:
            return 0

    def call_again(self, name, n, pause_s):
        while not self.is_stopping.is_set():
            entries = sorted(self.entries)
            status = self.ask(entries[n % len(entries)], name)
            n += 1
            self.answers.append((time.monotonic(), name, status))
            time.sleep(pause_s)

    def order(self, name, trick, duration_s, servers=4, release=NEW):
        """Orders a rollout and, once that is acknowledged, starts the new servers beside the old ones."""
        body = json.dumps({"Service": name, "To": release, "DurationS": duration_s})
        result = []

        def acknowledged():
            result[:] = self.operator("POST", "/-/rollouts", body)
            return result[0] < 500
        service = self.services[name]
        service.ordered_at = time.monotonic()
        wait_for(acknowledged, 10, "the rollout is not acknowledged")
        if result[0] == 200:
            fresh = [service.start(f"{name}-{release}-{n}", release, trick) for n in range(servers)]
            service.servers += fresh
            self.servers += fresh
            self.list.servers = list(self.servers)
        return result[0]

    def state(self, name):
        status, body = self.operator("GET", f"/-/rollouts/{name}")
        return json.loads(body)["State"] if status == 200 else str(status)

    def wait_for_end(self, name, seconds):
        """Waits for the end of a rollout, and then stops the servers that the platform stops. Returns the state."""
        end = time.monotonic() + seconds
        state = self.state(name)
        while state not in ("complete", "rolled_back") and time.monotonic() < end:
            time.sleep(0.1)
            state = self.state(name)
        service = self.services[name]
        service.ended_at = time.monotonic()
        gone = service.of(OLD) if state == "complete" else service.of(NEW) if state == "rolled_back" else []
        for it in gone:
            if state == "complete":
                it.httpd.end()
            else:
                it.state = "draining"
        if state == "complete":
            self.list.servers = [it for it in self.list.servers if it not in gone]
        return state

    def leader(self):
        for n in self.members:
            try:
                _, body, _ = self.call(f"127.0.0.{n}", "operators", "GET", "/v1/members", timeout=1)
            except OSError:
                continue
            if json.loads(body)["groups"][0]["role"] == "leader":
                return n
        return None

    def stop(self):
        self.is_stopping.set()
        for it in self.callers:
            it.join(6)
        super().stop()
