"""A release replaces the servers of a service; the new software answers bookings with 204, which has no body."""

import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import small  # noqa: E402

CLIENTS = 4
LENGTH_S = 16


def book(record, ran, status):
    """What a server does with a booking: it runs it, notes that, and answers with its status."""
    def trick(it, server):
        if not it.path.startswith("/write/"):
            return False
        request = it.headers["X-Request-Id"]
        ran.add(request)
        record.add(f"{server.name} runs {request} and answers {status}")
        it.send_response_only(status)
        it.send_header("X-Request-Id", request)
        it.send_header("X-Response-Stamp", f"{server.name}-{request}")
        if status != 204:
            it.send_header("Content-Length", "6")
        it.end_headers()
        if status != 204:
            it.wfile.write(b"booked")
        return True
    return trick


def client(record, host, port, ran, wrong, until):
    channel = None
    while time.monotonic() < until:
        request = small.new_id()
        try:
            channel = channel or small.Channel(host, port)
            channel.send("POST", "/write/x", request, body=b"a booking")
            record.add(f"sent {request} to {host}")
            status, fields, _ = channel.answer()
            record.add(f"answered {request}: {status}")
            if "x-request-id" in fields and fields["x-request-id"] != request:
                wrong.append((request, f"the answer of {fields['x-request-id']}"))
            if fields.get("connection") == "close":
                channel.close()
                channel = None
        except small.NotProtocol as e:
            record.add(f"answered {request}: bytes that are no answer: {e}; it has run: {request in ran}")
            wrong.append((request, str(e)))
            channel.close()
            channel = None
        except small.NoAnswer as e:
            record.add(f"no answer to {request}: {e}")
            channel = None
        time.sleep(0.1)


def case(record):
    ran, wrong = set(), []
    old = [small.Server("app-1", "app"), small.Server("app-2", "app")]
    new = [small.Server("app-3", "app"), small.Server("app-4", "app")]
    for it in old:
        it.trick = book(record, ran, 200)
    for it in new:
        it.release = "v2"
        it.trick = book(record, ran, 204)
    it = small.deployment(list(old))
    try:
        it.declare(small.platform_common.plan(1))
        it.wait_until_served(1)
        it.wait_until_served(2)
        until = time.monotonic() + LENGTH_S
        clients = [threading.Thread(target=client, args=(record, f"127.0.1.{n % 2 + 1}", it.ports["callers"], ran, wrong, until))
                   for n in range(CLIENTS)]
        for thread in clients:
            thread.start()
        time.sleep(4)
        if small.TROUBLE:
            # One at a time: the new one starts, the old one drains and ends later.
            for before, after in zip(old, new):
                it.list.servers.append(after)
                record.add(f"the list shows {after.name} (v2); {before.name} is draining")
                before.state = "draining"
                time.sleep(1)
        for thread in clients:
            thread.join(20)
    finally:
        it.servers = old + new
        it.stop()
    record.add(f"{len(ran)} bookings ran; {len(wrong)} got bytes that are no answer, "
               f"{sum(request in ran for request, _ in wrong)} of these had run")
    return f"MIXED: {len(wrong)} consumers read bytes that are no answer, first {wrong[0]}" if wrong else None


small.run(FOLDER, case)
