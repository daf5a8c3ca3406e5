"""DENIED: servers that go down and up by turns, and a request that they can't finish meanwhile, which is refused for good."""

import pathlib
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, configuration, play  # noqa: E402
from server import Server  # noqa: E402

# srv_flap of the grown site: gap_s = 1.4, for_s = 6.5: four times down and up.
PERIOD_S = 1.4
FLAPS = 4
WORK_S = 1.0
AFTER_S = 15.0


class Flapping(Server):
    def __init__(self, *args, **more):
        self.connections = set()
        self.lives = 0
        super().__init__(*args, **more)

    def serve(self, connection):
        self.connections.add(connection)
        super().serve(connection)
        self.connections.discard(connection)

    def down(self):
        self.bed.record(self.name, "goes down")
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        for it in list(self.connections):
            try:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                it.shutdown(socket.SHUT_RDWR)
                it.close()
            except OSError:
                pass
        self.connections.clear()

    def up(self):
        # Each start is a new lifetime.
        self.lives += 1
        self.name = self.name.split(".")[0] + f".{self.lives}"
        self.born += 1000
        self.listener = socket.create_server(self.address, backlog=128)
        threading.Thread(target=self.accept, daemon=True).start()
        self.bed.record(self.name, "is up")


def work(server, connection, request):
    if request.target.startswith("/read/report"):
        time.sleep(WORK_S)
    return None


def run(bed):
    servers = [Flapping(bed, f"app-{n + 1}", "app", (bed.address(210 + n), 8700), trick=work) for n in range(2)]
    bed.start()
    bed.configure(configuration(3))
    bed.wait_ready()
    time.sleep(1.0)
    phase, stop, got = ["before"], threading.Event(), []

    def consume(n):
        while not stop.wait(0.15):
            now = phase[0]
            try:
                channel = bed.channel(1 + n % 2, timeout=9)
                request_id, data = bed.head("GET", "/read/report?day=7", deadline=4000)
                channel.send(data)
                answer = channel.read()
                channel.close()
                bed.record("consumer", f"{now}: {request_id} gets {answer}")
                got.append((now, answer.status))
            except OSError as error:
                got.append((now, type(error).__name__))
    threads = [threading.Thread(target=consume, args=(n,)) for n in range(6)]
    for it in threads:
        it.start()
    time.sleep(4.0)
    phase[0] = "flapping"
    for _ in range(FLAPS if TROUBLE else 0):
        for it in servers:
            it.down()
        time.sleep(PERIOD_S / 2)
        for it in servers:
            it.up()
        time.sleep(PERIOD_S / 2)
    phase[0] = "settling"
    time.sleep(4.0)
    phase[0] = "after"
    time.sleep(AFTER_S)
    stop.set()
    for it in threads:
        it.join()
    for name in ("before", "flapping", "settling", "after"):
        mine = [str(status) for at, status in got if at == name]
        bed.record("judge", f"{name}: " + ", ".join(f"{status} x {mine.count(status)}" for status in sorted(set(mine))))
    denied = sum(status == 400 for at, status in got if at in ("settling", "after"))
    bed.record("judge", f"DENIED: {denied} of {len(got)} proper requests ended with 400 after the servers were back")
    if not any(at == "before" and status == 200 for at, status in got):
        raise CannotRun("not served before")
    return denied <= 5 + len(got) / 500


play(__file__, run)
