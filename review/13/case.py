"""LOST: a machine that was told to stop takes requests later than 3 s after that, and cuts them at the end of GraceS."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from server import Server  # noqa: E402

CHANNELS = 24
# A stream of the route's kind, well inside its TimeoutMs of 8,000 ms and with pauses inside GapGoalMs of 500 ms.
PIECES, PAUSE_S = 22, 0.25
GRACE_S = 8.0


def stream(server, connection, request):
    if not request.field("x-model"):
        return None
    connection.sendall((f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Request-Id: "
                        f"{request.field('x-request-id')}\r\nX-Response-Stamp: stamp\r\nX-Weight-Versions: 1\r\n\r\n").encode())
    for n in range(1, PIECES + 1):
        event = f"id: {n}\ndata: piece {n}\n\n".encode()
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        if n < PIECES:
            time.sleep(PAUSE_S)
    connection.sendall(b"0\r\n\r\n")
    return True


def run(bed):
    Server(bed, "app-1", "app", (bed.address(210), 8700))
    Server(bed, "lm-1", "lm", (bed.address(211), 8700), version=1, trick=stream)
    bed.start()
    bed.configure(configuration(3))
    bed.wait_ready()
    time.sleep(1.0)
    channels = [bed.channel(1) for _ in range(CHANNELS)]
    for channel in channels:
        _, data = bed.head("GET", "/read/stops")
        channel.send(data)
        if channel.read().status != 200:
            raise CannotRun("a request before the stop is not served")
    time.sleep(3.2)
    stop_at = time.monotonic()
    if TROUBLE:
        bed.fronts[1].signal(signal.SIGTERM)
    prompt = {"X-Model": "m0", "X-Token-Usage": "1200,110", "X-Prompt-Prefix": "5c1e07a2:800,a1a1a1a1:400"}
    lost, threads, answers = [], [], []

    def take(channel, request_id, sent_s):
        got = channel.read("POST")
        ended_s = time.monotonic() - stop_at
        bed.record("consumer", f"{request_id}, sent {sent_s:.3f} s after the SIGTERM, gets {got} at {ended_s:.3f} s")
        answers.append(got)
        # A whole answer, or a refusal of its own that promises that the request has not run, is all right.
        if got.status == 200 and not got.whole and sent_s > 3.0 and ended_s - sent_s < 7.5:
            lost.append((request_id, sent_s, ended_s))

    for n, channel in enumerate(channels):
        time.sleep(max(0.0, stop_at + 3.01 + 0.015 * n - time.monotonic()))
        request_id, data = bed.head("POST", "/review/file", body=b"question", fields=prompt)
        try:
            channel.send(data)
        except OSError as error:
            bed.record("consumer", f"{request_id} is not sent: {error}")
            continue
        sent_s = time.monotonic() - stop_at
        threads.append(threading.Thread(target=take, args=(channel, request_id, sent_s)))
        threads[-1].start()
    killer = threading.Timer(max(0.0, stop_at + GRACE_S - time.monotonic()), bed.fronts[1].process.kill)
    if TROUBLE:
        killer.start()
    for it in threads:
        it.join()
    killer.cancel()
    if not TROUBLE and not all(it.status == 200 and it.whole for it in answers):
        raise CannotRun("not all requests are served without the disruption")
    for request_id, sent_s, ended_s in lost:
        bed.record("judge", f"LOST: {request_id} was passed on and cut, sent {sent_s:.3f} s and cut {ended_s:.3f} s after the SIGTERM")
    return not lost


play(__file__, run)
