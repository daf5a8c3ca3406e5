"""MIXED: the bytes behind an answer without a body belong to no answer, and spoil the next one on the channel."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from server import Server  # noqa: E402


def answer(server, connection, request):
    """A sound server without anything to say answers 204, which has no body and no length (RFC 9110, 15.3.5)."""
    if not TROUBLE or request.method != "POST":
        return None
    connection.sendall(("HTTP/1.1 204 No Content\r\nX-Request-Id: " + request.field("x-request-id")
                        + f"\r\nX-Response-Stamp: stamp-{server.name}\r\n\r\n").encode())
    return True


def run(bed):
    Server(bed, "app-1", "app", (bed.address(210), 8700), trick=answer)
    bed.start()
    bed.configure(configuration(3))
    bed.wait_ready()
    time.sleep(1.0)
    channel = bed.channel(1)
    wrong = []
    for n in range(6):
        method, path, body = (("POST", "/write/booking", b"one booking") if n % 2 == 0 else ("GET", "/read/stops", b""))
        request_id, data = bed.head(method, path, body=body, deadline=4000)
        bed.record("consumer", f"sends {request_id} {method} {path} on its kept channel")
        channel.send(data)
        got = channel.read(method)
        bed.record("consumer", f"gets {got}, id {got.fields.get('x-request-id')}")
        if got.end.startswith("no answer in the protocol"):
            wrong.append(f"{request_id}: {got.end}")
            channel.close()
            channel = bed.channel(1)
        elif not got.whole or got.status not in (200, 204):
            raise CannotRun(f"a request is not served: {got}")
    channel.close()
    for it in wrong:
        bed.record("judge", f"MIXED: bytes that are no answer in the protocol: {it}")
    return not wrong


play(__file__, run)
