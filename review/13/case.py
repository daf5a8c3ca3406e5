"""Another writer leaves an entry on the platform's list that is cut short. The other entries hold."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small  # noqa: E402

CLIENTS = 4
LENGTH_S = 20
DRAIN_S = 3.0
# How much longer than DrainMs the leaving server serves, and what a request may be under way.
SERVES_ON_S = 4.0
SLACK_S = 0.5
WORK_S = 0.15


def work(record, runs):
    """A server runs a request for some time and notes it."""
    def trick(it, server):
        if it.path.startswith("/write/"):
            request = it.headers["X-Request-Id"]
            runs.append((record.now(), server.name, request))
            record.add(f"{server.name} runs {request}")
            time.sleep(WORK_S)
        return False
    return trick


def client(record, host, port, lost, until):
    while time.monotonic() < until:
        request = small.new_id()
        try:
            channel = small.Channel(host, port)
            channel.send("POST", "/write/x", request, body=b"a booking")
            record.add(f"sent {request} to {host}")
            status, _, body = channel.answer()
            record.add(f"answered {request}: {status} {body[:30].decode()!r}")
            if status != 200:
                lost.append(request)
            channel.close()
        except (small.NoAnswer, small.NotProtocol, OSError) as e:
            record.add(f"no answer to {request}: {type(e).__name__} {e}")
            lost.append(request)
        time.sleep(0.05)


def case(record):
    runs, lost = [], []
    servers = [small.Server("app-1", "app"), small.Server("app-2", "app"), small.Server("app-3", "app")]
    for it in servers:
        it.trick = work(record, runs)
    leaving = servers[0]
    it = small.deployment(list(servers))
    try:
        it.declare(small.platform_common.plan(1))
        it.wait_until_served(1)
        it.wait_until_served(2)
        until = time.monotonic() + LENGTH_S
        clients = [threading.Thread(target=client, args=(record, f"127.0.1.{n % 2 + 1}", it.ports["callers"], lost, until))
                   for n in range(CLIENTS)]
        for thread in clients:
            thread.start()
        time.sleep(3)
        if small.TROUBLE:
            entry = b'{"Service":"stock","Addr":"127.0.9.9:80'
            it.list.odd = [entry]
            record.add(f"another writer leaves on the list: {entry.decode()}")
        time.sleep(2)
        leaving.state = "draining"
        shown = record.now()
        record.add(f"the list shows {leaving.name} as draining")
        time.sleep(DRAIN_S + SERVES_ON_S)
        leaving.crash(1000)
        it.list.servers.remove(leaving)
        record.add(f"{leaving.name} has ended")
        for thread in clients:
            thread.join(20)
    finally:
        it.servers = servers[1:]
        it.stop()
    late = [run for run in runs if run[1] == leaving.name and run[0] > shown + DRAIN_S + SLACK_S]
    record.add(f"{len(runs)} requests ran; {len(late)} reached {leaving.name} over {DRAIN_S + SLACK_S} s after the list showed "
               f"that it drains; {len(lost)} requests failed")
    return f"DRAIN: {len(late)} requests reached a server late, the last one {late[-1][0] - shown:.1f} s after" if late else None


small.run(FOLDER, case)
