"""LOST: a core machine is replaced as planned, its successor has caught up, another one loses its disk: all is gone."""

import json
import pathlib
import shutil
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common-3"))
from bed import TROUBLE, CannotRun, Machine, configuration, play  # noqa: E402
from server import Server  # noqa: E402

CATCH_UP_S = 4.0
RECOVER_S = 12.0
# kinds, replace_core: x s (1); planned: the new one first, then SIGTERM. The site file names x = 2.
X_S = 2.0
# after_ack_wipe of the site file: for_s = 3; the machine is back sooner here.
DOWN_S = 1.0


def run(bed):
    Server(bed, "app-1", "app", (bed.address(210), 8700))
    bed.start()
    bed.configure(configuration(3))
    bed.wait_ready()
    time.sleep(6.0)
    # Planned work: a new machine of the core, empty, at another address; then the old one is stopped for good.
    began = time.monotonic()
    bed.cores[4] = Machine(bed, "control", "core-4", bed.address(4), False)
    bed.at_end(bed.cores[4].end)
    time.sleep(X_S)
    bed.cores[3].signal(signal.SIGTERM)
    bed.cores[3].process.wait(8)
    bed.record("bed", f"core-3 has ended {time.monotonic() - began:.2f} s after core-4 started, and is gone for good")
    old = bed.cores.pop(3)
    shutil.rmtree(old.disk)
    # Settings that are written from now on name the machines that are there.
    bed.seeds = [1, 2, 4]
    # From here on nothing counts as lost: the successor has had CatchUpS after it started.
    time.sleep(max(0.0, began + CATCH_UP_S + 0.2 - time.monotonic()))
    bed.configure(configuration(7))
    bed.record("bed", f"version 7 is acknowledged {time.monotonic() - began:.2f} s after core-4 started")
    # The final fault: as many machines as Tolerate allows, one, lose their disks right after an acknowledgement.
    if TROUBLE:
        bed.cores[2].signal(signal.SIGKILL)
        bed.cores[2].process.wait(5)
        shutil.rmtree(bed.cores[2].disk)
        bed.record("bed", "core-2 has lost its disk")
        time.sleep(DOWN_S)
        bed.cores[2].start(first=False)
    back = time.monotonic()
    version = None
    while version != 7 and time.monotonic() < back + 3 * RECOVER_S:
        try:
            status, text = bed.operator("GET", "/-/config", seconds=2)
        except CannotRun:
            bed.record("operator", f"no clear answer to a read {time.monotonic() - back:.1f} s after all machines are back")
            continue
        version = json.loads(text).get("Version") if status == 200 else None
        bed.record("operator", f"reads status {status}, version {version}, {time.monotonic() - back:.1f} s after all are back")
    if version != 7:
        bed.record("judge", f"LOST: version 7 was acknowledged and is not read back within {time.monotonic() - back:.0f} s")
    return version == 7


play(__file__, run)
