"""A configuration makes a tenant isolated. From then on it shares no part of a prompt with any other tenant."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small  # noqa: E402

LENGTH_S = 16
CONFIG_S = 2.0
# The prompt of both tenants begins with the same parts; the last one belongs to the session.
SHARED = "5c1e07a2:800,91bd3f06:410"


class Engine(small.Server):
    """Keeps the parts that it has read, by salt, model and id, with the tenant whose request made them. Does not drop any:
    the memory of the configuration has room for all of them."""

    def __init__(self, name):
        super().__init__(name, "lm", 1)
        self.parts = {}


def serve(record, uses):
    def trick(it, server):
        if "X-Model" not in it.headers or it.headers.get("X-Expect-Version", "1") != "1":
            return False
        tenant, salt = it.headers.get("X-Tenant"), it.headers.get("X-Cache-Salt", "")
        found = []
        with server.lock:
            whole = True
            for part in it.headers["X-Prompt-Prefix"].split(","):
                key = (salt, it.headers["X-Model"], part.split(":")[0])
                # A cached part counts only if all parts before it are cached too.
                whole = whole and key in server.parts
                if whole:
                    found.append((part.split(":")[0], server.parts[key]))
                server.parts.setdefault(key, tenant)
        request = it.headers["X-Request-Id"]
        record.add(f"{server.name} runs {request} of {tenant}, salt {salt!r}, uses {found}")
        uses.append((record.now(), request, tenant, found))
        server.stream(it, 1, 3)
        return True
    return trick


def client(record, host, port, key, sent, until):
    while time.monotonic() < until:
        request = small.new_id()
        try:
            channel = small.Channel(host, port)
            sent[request] = record.now()
            channel.send("POST", "/ask/x", request, key, b"a prompt", X_Model="m", X_Token_Usage="1460,20",
                         X_Prompt_Prefix=f"{SHARED},{request[:8]}:250")
            status, _, _ = channel.answer()
            record.add(f"sent {request} with {key} to {host}, answered {status}")
            channel.close()
        except (small.NoAnswer, small.NotProtocol, OSError) as e:
            record.add(f"sent {request} with {key} to {host}, not answered: {type(e).__name__} {e}")
        time.sleep(0.2)


def tenants(isolated):
    def tenant(name, is_isolated):
        return {"Name": name, "ApiKeys": ["k-" + name], "Priority": 0, "Unit": "token_count", "PlainTokens": 200,
                "Isolated": is_isolated, "RatePerS": 170525, "Burst": 170525}
    return [tenant("north", False), tenant("south", isolated)]


def case(record):
    uses, sent = [], {}
    servers = [Engine("lm-1"), Engine("lm-2"), small.Server("app-1", "app")]
    for it in servers[:2]:
        it.trick = serve(record, uses)
    it = small.deployment(servers)
    try:
        # Without trouble the tenant is isolated from the start, and the second configuration changes nothing in that.
        it.declare(small.platform_common.plan(1, Tenants=tenants(not small.TROUBLE)))
        it.wait_until_served(1)
        it.wait_until_served(2)
        until = time.monotonic() + LENGTH_S
        clients = [threading.Thread(target=client, args=(record, f"127.0.1.{n % 2 + 1}", it.ports["callers"], key, sent, until))
                   for key in ("k-south", "k-north") for n in range(2)]
        # South asks from the start, north only once the second configuration is in force.
        for thread in clients[:2]:
            thread.start()
        time.sleep(4)
        status = it.declare(small.platform_common.plan(2, Tenants=tenants(True)))
        acknowledged = record.now()
        record.add(f"the configuration of version 2, in which south is isolated, is answered {status}")
        time.sleep(CONFIG_S + 1)
        for thread in clients[2:]:
            thread.start()
        for thread in clients:
            thread.join(20)
    finally:
        it.stop()
    broken = [(request, tenant, found) for at, request, tenant, found in uses
              if sent.get(request, 0) > acknowledged + CONFIG_S
              and any("south" in (tenant, maker) and tenant != maker for _, maker in found)]
    record.add(f"{len(uses)} requests ran; {len(broken)} sent over {CONFIG_S} s after the acknowledgement used parts across the wall")
    return f"WALL: {len(broken)} requests, the first one {broken[0]}" if broken else None


small.run(FOLDER, case)
