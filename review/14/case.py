"""WALL: a tenant becomes isolated, and another tenant's request runs on KV cache that it had made."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from server import Server  # noqa: E402

SHARED = "5c1e07a2"
CONFIG_S = 2.0


class Engine:
    """An engine that finds parts of a prompt again under the same salt, as PROTOCOL.md says under "KV cache"."""

    def __init__(self, bed):
        self.bed = bed
        self.maker = {}
        # (tenant that asked, tenant that made the part, part)
        self.uses = []

    def __call__(self, server, connection, request):
        tenant, salt = request.field("x-tenant"), request.field("x-cache-salt")
        for part in request.field("x-prompt-prefix").split(","):
            key = (salt, part.split(":")[0], request.field("x-model"))
            if key in self.maker:
                self.uses.append((tenant, self.maker[key], key[1]))
                self.bed.record(server.name, f"{tenant} runs on part {key[1]} that {self.maker[key]} made, salt {salt!r}")
            else:
                self.maker[key] = tenant
                self.bed.record(server.name, f"{tenant} makes part {key[1]}, salt {salt!r}")
        body = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 6))
        return server.reply(connection, request, 200, body,
                            {"Content-Type": "text/event-stream", "X-Response-Stamp": "stamp", "X-Weight-Versions": "1"})


def with_isolation(version, isolated):
    plan = configuration(version)
    for tenant in plan["Tenants"]:
        tenant["Isolated"] = tenant["Name"] in isolated
    return plan


def run(bed):
    engine = Engine(bed)
    Server(bed, "lm-1", "lm", (bed.address(210), 8700), version=1, trick=engine)
    Server(bed, "app-1", "app", (bed.address(211), 8700))
    bed.start()
    bed.configure(with_isolation(3, set()))
    bed.wait_ready()
    time.sleep(CONFIG_S)

    def ask(tenant, own, edge):
        fields = {"X-Model": "m0", "X-Token-Usage": "1200,20", "X-Prompt-Prefix": f"{SHARED}:800,{own}:400"}
        channel = bed.channel(edge)
        request_id, data = bed.head("POST", "/ask/q", f"k-{tenant}", 8000, fields, b"question")
        bed.record(tenant, f"sends {request_id} with part {SHARED} to edge-{edge}")
        channel.send(data)
        answer = channel.read("POST")
        channel.close()
        bed.record(tenant, f"gets {answer}")
        return answer

    # The tenant south works while it isn't isolated yet.
    if ask("south", "a1a1a1a1", 1).status != 200:
        raise CannotRun("the first request is not served")
    # The disruption: the configuration changes, and south is isolated from now on.
    bed.configure(with_isolation(7, {"south"} if TROUBLE else set()))
    time.sleep(CONFIG_S + 1.0)
    before = len(engine.uses)
    served = [ask("north", f"b{n}b{n}b{n}b{n}", 1 + n % 2).status for n in range(4)]
    if 200 not in served:
        raise CannotRun(f"no request after the change is served: {served}")
    isolated = {"south"} if TROUBLE else set()
    foreign = [it for it in engine.uses[before:] if it[0] != it[1] and isolated & {it[0], it[1]}]
    for asker, maker, part in foreign:
        bed.record("judge", f"WALL: a request of {asker} ran on part {part} that {maker} made, and {maker} is isolated")
    return not foreign


play(__file__, run)
