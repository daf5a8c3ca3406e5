"""A stand-in of the platform: its list of servers, engines and plain servers, on the loopback."""

import http.server
import json
import socket
import sys
import threading
import time


class QuietServer(http.server.ThreadingHTTPServer):
    """Callers that reset their connections are part of the tests."""
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, *args):
        super().__init__(*args)
        self.connections = set()

    def get_request(self):
        request = super().get_request()
        self.connections.add(request[0])
        return request

    def shutdown_request(self, request):
        self.connections.discard(request)
        super().shutdown_request(request)

    def end(self):
        """Refuses connections and cuts those that are open, as the end of a process does."""
        self.server_close()
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # The other end has closed it.
        self.shutdown()

    def handle_error(self, request, client_address):
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


class Server:
    """One server behind a service. What it does with requests is set by the test."""

    def __init__(self, name, service, version=0):
        self.name, self.service, self.version = name, service, version
        self.release = "v1"
        self.born = 1
        self.state = "ready"
        self.orders = 0
        # Seconds for which the server loads the weights that it was ordered to load.
        self.load_time = 0.0
        self.is_loading = False
        self.is_up = True
        # Called with the handler; returns whether it answered.
        self.trick = None
        self.lock = threading.Lock()
        self.seen = []
        # Number of requests that were meant for another server.
        self.misdirected = 0
        self.fences = []
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                owner.handle(self)

            do_POST = do_PUT = do_HEAD = do_GET

        self.handler = Handler
        self.listen(0)

    def listen(self, port):
        self.httpd = QuietServer(("127.0.0.1", port), self.handler)
        self.port = self.httpd.server_address[1]
        threading.Thread(target=self.httpd.serve_forever, daemon=True).start()

    def crash(self, down_s):
        """Ends as a process does, and starts again after a time."""
        with self.lock:
            if not self.is_up:
                return
            self.is_up = False
        self.httpd.end()
        threading.Timer(down_s, self.start_again).start()

    def start_again(self):
        with self.lock:
            self.born += 1
            self.orders = 0
            self.is_loading = False
            self.listen(self.port)
            self.is_up = True

    def entry(self):
        models = [{"Name": "m", "Version": self.version, "Adapters": []}] if self.version else []
        return {"Service": self.service, "Addr": f"127.0.0.1:{self.port}", "Zone": "z1", "Version": self.release, "Slots": 8,
                "State": self.state, "ColdLeftMs": 0, "Stage": "both", "Models": models, "Id": self.name, "born": self.born}

    def handle(self, it):
        body = it.rfile.read(int(it.headers.get("Content-Length") or 0))
        if it.headers.get("X-Target-Instance", self.name) != self.name:
            self.misdirected += 1
            return self.reply(it, 421, b"", {"X-Instance-Id": self.name})
        if it.path == "/-/report":
            models = [{"Name": "m", "Version": self.version}]
            return self.reply(it, 200, json.dumps({"Busy": self.is_loading, "Seq": self.orders, "Models": models}).encode())
        if it.path == "/-/order":
            return self.take_order(it, json.loads(body))
        with self.lock:
            self.seen.append((it.command, it.path, dict(it.headers.items()), body))
        if self.trick and self.trick(it, self):
            return None
        if "X-Model" in it.headers:
            if self.is_loading:
                return self.reply(it, 503, b"", {"X-Not-Executed": "1"})
            if it.headers.get("X-Expect-Version", str(self.version)) != str(self.version):
                return self.reply(it, 421, b"", {"X-Instance-Id": self.name, "X-Weight-Versions": str(self.version)})
            return self.stream(it, int(it.headers.get("Last-Event-Id") or 0) + 1, 6)
        return self.reply(it, 200, b"answer of " + self.name.encode(), {"X-Response-Stamp": "s"})

    def take_order(self, it, order):
        with self.lock:
            self.fences.append(order["Fence"])
            if self.is_loading or order.get("Expected", self.orders) != self.orders:
                return self.reply(it, 409, b"{}")
            self.orders += 1
            if self.load_time:
                self.is_loading = True
                threading.Timer(self.load_time, self.end_load, (order["Version"], self.name)).start()
            else:
                self.version = order["Version"]
        return self.reply(it, 202, b"{}")

    def end_load(self, version, name):
        with self.lock:
            # A server that was restarted meanwhile has another name and loads nothing.
            if self.name == name:
                self.version = version
                self.is_loading = False

    def reply(self, it, status, body, fields=None):
        it.send_response(status)
        it.send_header("Content-Length", str(len(body)))
        if "X-Request-Id" in it.headers:
            it.send_header("X-Request-Id", it.headers["X-Request-Id"])
        for name, value in (fields or {}).items():
            it.send_header(name, value)
        it.end_headers()
        it.wfile.write(body)

    def stream(self, it, first, last, cut_after=None):
        """Sends events; with cut_after, breaks off in the middle of the event behind that one."""
        it.send_response(200)
        it.send_header("Content-Type", "text/event-stream")
        it.send_header("Transfer-Encoding", "chunked")
        it.send_header("X-Response-Stamp", "stamp-" + self.name)
        it.send_header("X-Request-Id", it.headers.get("X-Request-Id", ""))
        it.end_headers()
        for n in range(first, last + 1):
            event = f"id: {n}\ndata: piece {n}\n\n".encode()
            if cut_after is not None and n > cut_after:
                it.wfile.write(b"%x\r\n%s\r\n" % (len(event[:9]), event[:9]))
                it.wfile.flush()
                it.connection.shutdown(socket.SHUT_RDWR)
                it.close_connection = True
                return
            it.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            it.wfile.flush()
            time.sleep(0.01)
        it.wfile.write(b"0\r\n\r\n")

    def stop(self):
        self.httpd.shutdown()
        self.httpd.server_close()


class ServerList:
    """The platform's list, two entries a page."""

    def __init__(self, servers):
        self.servers = servers
        self.calls = 0
        # Entries of another writer, as bytes, on the first page.
        self.odd = []
        owner = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                owner.calls += 1
                at = int(self.path.split("PageToken=p-")[1]) if "PageToken" in self.path else 0
                entries = [it.entry() for it in owner.servers[at:at + 2]] + ([{"Id": 5}] if at == 0 else [])
                following = f"p-{at + 2}" if at + 2 < len(owner.servers) else None
                texts = [json.dumps(entry).encode() for entry in entries] + (owner.odd if at == 0 else [])
                body = b'{"Instances":[%s],"Next":%s}' % (b",".join(texts), json.dumps(following).encode())
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        self.httpd = QuietServer(("127.0.0.1", 0), Handler)
        self.port = self.httpd.server_address[1]
        threading.Thread(target=self.httpd.serve_forever, daemon=True).start()

    def stop(self):
        self.httpd.shutdown()
        self.httpd.server_close()
