"""New weights of the second model of the engines are named; the final fault follows right after the acknowledgement."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small  # noqa: E402

RECOVER_S = 12.0
BEFORE_S = 6.0
JUDGED_S = 14.0
MODELS = ["daka510000", "huvo22"]


class Engine(small.Server):
    """Serves two models, each with a version of its own. Other models are not affected by an order."""

    def __init__(self, name):
        super().__init__(name, "lm", 1)
        self.weights = {model: 1 for model in MODELS}

    def models(self):
        return [{"Name": model, "Version": version, "Adapters": []} for model, version in self.weights.items()]

    def entry(self):
        return {**super().entry(), "Models": self.models()}

    def handle(self, it):
        if it.path != "/-/report":
            return super().handle(it)
        it.rfile.read(int(it.headers.get("Content-Length") or 0))
        report = {"Stage": "both", "Models": self.models(), "Busy": False, "Seq": self.orders, "Queued": 0, "Active": 0,
                  "KvUsed": 0, "KvTotal": 157608, "Handles": 0, "born": self.born}
        return self.reply(it, 200, json.dumps(report).encode())

    def take_order(self, it, order):
        with self.lock:
            if order.get("Expected", self.orders) != self.orders:
                return self.reply(it, 409, b"{}")
            self.orders += 1
            self.weights[order["Model"]] = order["Version"]
            self.told.add(f"{self.name} is ordered to version {order['Version']} of {order['Model']} and has it")
        return self.reply(it, 202, b"{}")


def serve(record):
    def trick(it, server):
        if "X-Model" not in it.headers:
            return False
        request, model = it.headers["X-Request-Id"], it.headers["X-Model"]
        version, expected = server.weights[model], it.headers.get("X-Expect-Version")
        if expected is not None and int(expected) != version:
            record.add(f"{server.name} answers 421 to {request}: {model} has version {version}, expected is {expected}")
            server.reply(it, 421, b"", {"X-Instance-Id": server.name, "X-Weight-Versions": str(version)})
        else:
            record.add(f"{server.name} runs {request} on version {version} of {model}")
            server.stream(it, 1, 3)
        return True
    return trick


def client(record, host, port, requests, stop):
    number = 0
    while not stop.is_set():
        request = small.new_id()
        number += 1
        # One request in ten is for the first model.
        model = MODELS[0] if number % 10 == 0 else MODELS[1]
        status = None
        sent = record.now()
        try:
            channel = small.Channel(host, port)
            channel.send("POST", "/ask/x", request, body=b"a prompt", X_Model=model, X_Token_Usage="100,20",
                         X_Prompt_Prefix=f"5c1e07a2:60,{request[:8]}:40")
            status = channel.answer()[0]
            channel.close()
        except (small.NoAnswer, small.NotProtocol, OSError) as e:
            record.add(f"{request} is not answered: {type(e).__name__} {e}")
        record.add(f"sent {request} for {model} to {host}, answered {status}")
        requests.append((sent, model, status))
        time.sleep(0.1)


def share(requests, first, last):
    judged = [status == 200 for sent, _, status in requests if first <= sent < last]
    return sum(judged) / max(1, len(judged)), len(judged)


def case(record):
    requests = []
    servers = [Engine(f"lm-{n}") for n in (1, 2, 3)] + [small.Server("app-1", "app")]
    for it in servers[:3]:
        it.told = record
        it.trick = serve(record)
    it = small.deployment(servers)
    stop = threading.Event()
    try:
        plan = small.platform_common.plan(1)
        plan["Services"][1]["Engine"]["Models"] = [{"Name": model} for model in MODELS]
        it.declare(plan)
        it.wait_until_served(1)
        it.wait_until_served(2)
        began = record.now()
        clients = [threading.Thread(target=client, args=(record, f"127.0.1.{n % 2 + 1}", it.ports["callers"], requests, stop))
                   for n in range(4)]
        for thread in clients:
            thread.start()
        time.sleep(BEFORE_S)
        fault = back = record.now()
        if small.TROUBLE:
            status, _ = it.operator("POST", "/-/version-put", json.dumps({"Model": MODELS[1], "Version": 2}))
            record.add(f"version 2 of {MODELS[1]} is named, answered {status}")
            fault = record.now()
            processes = [*it.members.values(), *it.entries.values()]
            for process in processes:
                process.stop("kill")
            record.add("the final fault: all processes are killed")
            time.sleep(0.5)
            for process in processes:
                process.start()
            back = record.now()
            record.add("all processes are back")
        time.sleep(RECOVER_S + JUDGED_S)
        stop.set()
        for thread in clients:
            thread.join(10)
    finally:
        stop.set()
        it.stop()
    before, n = share(requests, began, fault)
    after, m = share(requests, back + RECOVER_S, back + RECOVER_S + JUDGED_S)
    record.add(f"served before the fault: {before:.3f} of {n}; sent over {RECOVER_S} s after the return: {after:.3f} of {m}")
    return f"RECOVER: {after:.3f} of the requests are served, {before:.3f} were before" if after < 0.25 <= before else None


small.run(FOLDER, case)
