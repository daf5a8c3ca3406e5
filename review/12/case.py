"""Starved: after a short cut between the edge and a service, its requests are refused for good."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from path import Path  # noqa: E402
from server import Server  # noqa: E402

# srv_cut: partitioned from the fronts, too (how = fronts), as refused connections (how = refuse); 5 s where for_s is left out.
CUT_S = 4.0
RECOVER_S = 12.0
AFTER_S = 20.0


def run(bed):
    ran = []

    def trick(server, connection, request):
        ran.append(request.field("x-request-id"))
        return None
    paths = []
    for n in range(2):
        server = Server(bed, f"app-{n + 1}", "app", (bed.address(210 + n), 8700), trick=trick)
        # The way from the edge to the server; the server itself runs on and stays healthy.
        paths.append(Path(bed, (bed.address(220 + n), 8700), server))
    bed.start()
    plan = configuration(3)
    # An application whose calls may all run once at most, as bookings do.
    plan["Routes"] = [it for it in plan["Routes"] if it["Name"] in ("write", "ask")]
    Server(bed, "lm-1", "lm", (bed.address(212), 8700), version=1)
    bed.configure(plan)
    bed.wait_ready()
    time.sleep(1.0)
    results = {"before": [], "cut": [], "healing": [], "after": []}
    phase = ["before"]
    stop = threading.Event()

    def consume(edge):
        n = 0
        while not stop.wait(0.1):
            n += 1
            now = phase[0]
            try:
                channel = bed.channel(edge, timeout=9)
                request_id, data = bed.head("POST", "/write/booking", body=b"one booking", deadline=4000)
                channel.send(data)
                got = channel.read("POST")
                channel.close()
                results[now].append(got.status)
                if n % 10 == 1:
                    bed.record("consumer", f"{now}: {request_id} at edge-{edge} gets {got}")
            except OSError as error:
                results[now].append(type(error).__name__)
    threads = [threading.Thread(target=consume, args=(n,)) for n in bed.fronts]
    for it in threads:
        it.start()
    time.sleep(3.0)
    phase[0] = "cut"
    if TROUBLE:
        for it in paths:
            it.cut()
    time.sleep(CUT_S)
    for it in paths:
        it.heal()
    phase[0] = "healing"
    time.sleep(RECOVER_S)
    phase[0] = "after"
    time.sleep(AFTER_S)
    stop.set()
    for it in threads:
        it.join()
    share = {name: sum(it == 200 for it in got) / max(1, len(got)) for name, got in results.items()}
    for name, got in results.items():
        bed.record("judge", f"{name}: {len(got)} bookings, {share[name]:.0%} served, answers {sorted({str(it) for it in got})}")
    if share["before"] < 0.9:
        raise CannotRun("bookings are not served before the cut")
    if share["after"] < 0.25:
        bed.record("judge", f"Starved: later than {RECOVER_S:.0f} s after the cut has healed {share['after']:.0%} of the bookings are served")
    return share["after"] >= 0.25


play(__file__, run)
