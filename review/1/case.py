"""The engines of a route are cut off from the entry while it relays resumable streams."""

import pathlib
import socket
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import harness as h

STREAMS = 4
CUT_S = 3.0


class Client:
    """A consumer: sends one request and reads the answer by the rules of HTTP/1.1."""

    def __init__(self, record, address):
        self.record, self.id = record, h.new_id()
        self.events, self.end = [], None
        self.address = address
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self):
        with socket.create_connection(self.address, timeout=6) as it:
            it.sendall(h.request_bytes("POST", "/ask/x", self.id, 4000, b"{}", **h.PROMPT))
            self.record(f"client: request {self.id} is sent")
            try:
                self.end = self.read(it.makefile("rb"))
            except OSError as problem:
                self.end = f"cut ({type(problem).__name__})"
        self.record(f"client: request {self.id} got {len(self.events)} events, then: {self.end}")

    def read(self, file):
        status = file.readline()
        self.status = status
        fields = {}
        while (line := file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            fields[name.lower()] = value.strip()
        self.record(f"client: request {self.id} gets {status!r}, stamp {fields.get('x-response-stamp')}")
        if fields.get("transfer-encoding") != "chunked":
            return "an answer of the entry" if "x-response-stamp" not in fields else "no chunks"
        while True:
            size = file.readline()
            if size == b"":
                return "cut"
            try:
                length = int(size.split(b";")[0], 16)
            except ValueError:
                rest = size
                while len(rest) < 400 and (line := file.readline()):
                    rest += line
                    if line == b"\r\n":
                        break
                return f"NO HTTP: where a chunk's size is due, the entry sends {rest!r}"
            data = file.read(length)
            if len(data) < length or file.readline() != b"\r\n":
                return "cut"
            if length == 0:
                return "complete"
            self.events.append(data)


def case(record, sites):
    servers = [h.Server(record, f"lm-{n}", "lm", 1) for n in (1, 2)]
    for it in servers:
        it.events, it.pause = 40, 0.05
    links = [h.Link(it) for it in servers]
    site = h.Site(record, servers)
    sites.append(site)
    config = h.configuration(1, [h.route("ask", "streaming", "lm", Resumable=True)])
    assert site.operator("PUT", "/-/config", h.json.dumps(config))[0] == 200
    site.wait_ready()
    time.sleep(1)
    clients = [Client(record, (site.entries[0], site.ports["Front"])) for _ in range(STREAMS)]
    for it in clients:
        it.thread.start()
    time.sleep(0.8)
    if h.TROUBLE:
        record(f"the links between the entry and all engines are cut for {CUT_S} s: channels are reset, new ones refused")
        for it in links:
            it.cut()
        time.sleep(CUT_S)
        for it in links:
            it.heal()
        record("the links are whole again")
    for it in clients:
        it.thread.join(10)
    if not all(it.events for it in clients):
        raise RuntimeError("no stream had begun")
    if not h.TROUBLE and not all(it.end == "complete" for it in clients):
        raise RuntimeError("the streams are not complete without trouble")
    return not any(it.end and it.end.startswith("NO HTTP") for it in clients)


h.main(FOLDER, case)
