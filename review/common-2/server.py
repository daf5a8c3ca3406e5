"""A server of the platform as a process of its own: plain, or an engine that streams events.

It follows the protocol: it takes only requests that are meant for it, echoes their id, bears its proof, says by
X-Not-Executed what it has not run, and keeps cached parts of prompts under the cache salt. What it saw and ran is
written to a journal, a line each, before it is answered.
"""

import argparse
import http.server
import json
import threading
import time

options = argparse.ArgumentParser()
options.add_argument("--name", required=True)
options.add_argument("--port", type=int, required=True)
options.add_argument("--born", type=int, default=0)
options.add_argument("--journal", required=True)
options.add_argument("--events", type=int, default=8)
options.add_argument("--pause", type=float, default=0.02)
options.add_argument("--unframed", action="store_true", help="streams have no length and end with their connection")
options = options.parse_args()

lock = threading.Lock()
journal = open(options.journal, "a", encoding="utf-8")
state = {"version": 1, "orders": 0}
# Cached parts by (salt, model, id): the tenant whose request made them, and the version of the weights.
cache = {}


def note(**fields):
    with lock:
        journal.write(json.dumps({"at": time.time(), **fields}) + "\n")
        journal.flush()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # One write for head and body, so that a kill leaves no half of either.
    wbufsize = 65536

    def log_message(self, *args):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=b"", fields=()):
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        if "X-Request-Id" in self.headers:
            self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        for name, value in fields:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def do_GET(self):
        body = self.body()
        if self.headers.get("X-Target-Instance", options.name) != options.name:
            return self.reply(421, b"", [("X-Instance-Id", options.name)])
        if self.path == "/healthz":
            return self.reply(200, b"", [("X-Instance-Id", options.name)])
        if self.path == "/-/report":
            models = [{"Name": "m", "Version": state["version"], "Adapters": []}]
            return self.reply(200, json.dumps({"Stage": "both", "Models": models, "Busy": False, "Seq": state["orders"],
                                               "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": 173548, "Handles": 0,
                                               "born": options.born}).encode())
        if self.path == "/-/order":
            order = json.loads(body)
            with lock:
                state["orders"] += 1
                state["version"] = order["Version"]
            return self.reply(202, b"{}")
        if self.path.startswith("/-/"):
            return self.reply(404)
        if "X-Request-Id" not in self.headers:
            return self.reply(400, b"", [("X-Not-Executed", "1")])
        if "X-Model" in self.headers:
            return self.engine()
        note(ran=self.headers["X-Request-Id"], method=self.command, path=self.path)
        stamp = [("X-Response-Stamp", f"stamp-{options.name}-{self.headers['X-Request-Id']}")]
        return self.reply(200, f"answer to {self.headers['X-Request-Id']}".encode(), stamp)

    do_POST = do_PUT = do_DELETE = do_HEAD = do_GET

    def engine(self):
        expected = self.headers.get("X-Expect-Version")
        if expected is not None and expected != str(state["version"]):
            return self.reply(421, b"", [("X-Instance-Id", options.name), ("X-Weight-Versions", str(state["version"]))])
        found = self.prefill()
        note(ran=self.headers["X-Request-Id"], tenant=self.headers.get("X-Tenant"), salt=self.headers.get("X-Cache-Salt"),
             found=found)
        first = int(self.headers.get("Last-Event-Id") or 0) + 1
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("X-Response-Stamp", f"stamp-{options.name}-{self.headers['X-Request-Id']}")
        self.send_header("X-Request-Id", self.headers["X-Request-Id"])
        self.send_header("X-Weight-Versions", str(state["version"]))
        if options.unframed:
            self.send_header("Connection", "close")
            self.close_connection = True
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for n in range(first, options.events + 1):
            event = f"id: {n}\ndata: piece {n} of {options.events}\n\n".encode()
            self.wfile.write(event if options.unframed else b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
            time.sleep(options.pause)
        if not options.unframed:
            self.wfile.write(b"0\r\n\r\n")
            self.wfile.flush()

    def prefill(self):
        """Looks up the parts of the prompt and keeps them. Returns those that were found: id, and the tenant that made it."""
        found, whole = [], True
        salt = self.headers.get("X-Cache-Salt", "")
        for part in (self.headers.get("X-Prompt-Prefix") or "").split(","):
            key = (salt, self.headers["X-Model"], part.split(":")[0])
            with lock:
                # A part is found only if all parts before it are.
                whole = whole and key in cache
                if whole:
                    found.append([key[2], cache[key]])
                else:
                    cache[key] = self.headers.get("X-Tenant")
        return found


class Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


Listener(("127.0.0.1", options.port), Handler).serve_forever()
