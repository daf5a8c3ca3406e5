"""REFUSED: a booking that has run is answered 503, which promises that it has not, and is then booked again."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from server import Server  # noqa: E402

BOOKINGS = 40
# srv_grey: share (.15) of the servers, at least one of three here, fail x (.4) of their requests, health good.
FAILING = 0.4


class Ledger:
    """What the servers have booked: a request that has run to its end is in it, whatever its answer was."""

    def __init__(self, bed):
        self.bed = bed
        self.ran = []
        self.asked = 0

    def trick(self, isGrey):
        def serve(server, connection, request):
            if request.method != "POST":
                return None
            self.ran.append((request.field("x-request-id"), request.body))
            self.bed.record(server.name, f"has run {request.field('x-request-id')}: {request.body.decode()}")
            self.asked += isGrey
            # Two in five: the booking is stored, and then the server fails. It does not say X-Not-Executed, since it has run it.
            if isGrey and TROUBLE and self.asked % 5 in (1, 3):
                return server.reply(connection, request, 503, b"the confirmation could not be made\n", {"X-Response-Stamp": "stamp"})
            return server.reply(connection, request, 200, b"booked\n", {"X-Response-Stamp": "stamp"})
        return serve


def run(bed):
    ledger = Ledger(bed)
    for n in range(3):
        Server(bed, f"app-{n + 1}", "app", (bed.address(210 + n), 8700), trick=ledger.trick(n == 0))
    bed.start()
    bed.configure(configuration(3))
    bed.wait_ready()
    time.sleep(1.0)
    broken = []
    for n in range(BOOKINGS):
        text = f"booking {n}".encode()
        # A consumer retries what may not be repeated only after a promise, on a new channel and with a new id.
        for attempt in range(2):
            channel = bed.channel(1 + n % 2)
            request_id, data = bed.head("POST", "/write/booking", body=text, deadline=4000)
            channel.send(data)
            got = channel.read("POST")
            channel.close()
            bed.record("consumer", f"{text.decode()}, attempt {attempt + 1}, {request_id}: {got}")
            if got.status in (408, 421, 429, 503) and any(it[0] == request_id for it in ledger.ran):
                broken.append((request_id, got.status, text))
            if got.status not in (408, 421, 429, 503):
                break
            time.sleep(min(1.0, float(got.fields.get("retry-after", 0.1))))
    if len(ledger.ran) < BOOKINGS / 2:
        raise CannotRun("hardly any booking ran")
    for request_id, status, text in broken:
        times = sum(it[1] == text for it in ledger.ran)
        bed.record("judge", f"REFUSED: {request_id} was answered {status} and has run; {text.decode()} ran {times} times")
    return not broken


play(__file__, run)
