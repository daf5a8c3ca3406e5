"""Stand-ins of servers for the cases of this review. They behave like sound servers unless a case sets a trick."""

import json
import socket
import threading


class Request:
    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body

    def field(self, name, default=""):
        return self.fields.get(name.lower(), default)


def read_request(stream):
    """Reads a request from a binary stream; None at the end of the channel."""
    line = stream.readline()
    if not line:
        return None
    words = line.decode("latin-1").split()
    if len(words) != 3:
        return None
    fields = {}
    while True:
        line = stream.readline().decode("latin-1").strip()
        if not line:
            break
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    body = stream.read(int(fields.get("content-length", 0)))
    return Request(words[0], words[1], fields, body)


class Server:
    """One server in this process, on a loopback address."""

    def __init__(self, bed, name, service, address, version=0, trick=None):
        self.bed, self.name, self.service, self.version, self.trick = bed, name, service, version, trick
        self.address = address
        self.state = "ready"
        self.born = 1_780_000_000_000
        self.orders = 0
        self.listener = socket.create_server(address, backlog=128)
        self.open = True
        bed.platform.servers.append(self)
        bed.at_end(self.close)
        threading.Thread(target=self.accept, daemon=True).start()

    def listed(self):
        models = [{"Name": "m0", "Version": self.version, "Adapters": []}] if self.version else []
        return {"Service": self.service, "Addr": f"{self.address[0]}:{self.address[1]}", "Zone": "z1", "Version": "v1", "Slots": 32,
                "State": self.state, "ColdLeftMs": 0, "Stage": "both", "Models": models, "Id": self.name, "born": self.born}

    def accept(self):
        while self.open:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection, connection.makefile("rb") as stream:
                while (request := read_request(stream)) is not None:
                    if not self.handle(connection, request):
                        return
        except OSError:
            pass

    def handle(self, connection, request):
        """Answers a request. Returns whether the channel is kept."""
        if request.field("x-target-instance", self.name) != self.name:
            return self.reply(connection, request, 421, b"", {"X-Instance-Id": self.name})
        if request.target == "/healthz":
            return self.reply(connection, request, 200, b"", {"X-Instance-Id": self.name})
        if request.target == "/-/report":
            report = {"Stage": "both", "Models": [{"Name": "m0", "Version": self.version, "Adapters": []}], "Busy": False,
                      "Seq": self.orders, "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 173548, "Handles": 0}
            return self.reply(connection, request, 200, json.dumps(report).encode())
        if request.target == "/-/order":
            return self.order(connection, request)
        self.bed.record(self.name, f"{request.method} {request.target} of {request.field('x-tenant') or 'no tenant'} "
                        f"id {request.field('x-request-id')} salt {request.field('x-cache-salt') or '-'}")
        if self.trick:
            done = self.trick(self, connection, request)
            if done is not None:
                return done
        return self.reply(connection, request, 200, f"answer of {self.name}\n".encode(), {"X-Response-Stamp": f"stamp-{self.name}"})

    def order(self, connection, request):
        order = json.loads(request.body)
        self.bed.record(self.name, f"order {order}")
        if order.get("Expected", self.orders) != self.orders:
            return self.reply(connection, request, 409, b"{}")
        self.orders += 1
        self.version = order["Version"]
        return self.reply(connection, request, 202, b"{}")

    def reply(self, connection, request, status, body, fields=None):
        head = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(body)}"]
        if request.field("x-request-id"):
            head.append(f"X-Request-Id: {request.field('x-request-id')}")
        head += [f"{name}: {value}" for name, value in (fields or {}).items()]
        connection.sendall(("\r\n".join(head) + "\r\n\r\n").encode() + body)
        return True

    def close(self):
        self.open = False
        self.listener.close()
