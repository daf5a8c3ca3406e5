#!/usr/bin/env python3
"""Measures a version change over six engines with and without load slots: python3 utils/measure/orders.py [LOAD-MS]

The weight store serves three loads at once at full speed. Each engine has a model of its own, so that only the slots hold
loads back. Needs the programs in $KUMQUATHAVEN_BIN. Prints one JSON object.
"""

import json
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "test", "system"))

from control_common import call  # noqa: E402
from orders_common import OrderFleet, loads  # noqa: E402

LOAD_MS = int(sys.argv[1]) if len(sys.argv) > 1 else 800
STORE_SLOTS = 3
ENGINES = 6
CHANGES = 3


def counts(fleet):
    leader = fleet.wait_leader()
    return fleet.orders()["counts"], call(leader.operators, "GET", "/v1/members")[1]["groups"][0]["appliedIndex"]


def measure(slots):
    checking = ["engine-%d" % (n + 1) for n in range(ENGINES)]
    with OrderFleet(STORE_SLOTS, LOAD_MS, checking, controls=3, entries=1, engines=ENGINES) as fleet:
        models = {it.name: "model-" + it.name for it in fleet.engines}
        fleet.want("1", slots, models)
        fleet.wait_served("1")
        before = counts(fleet)
        seconds = []
        for n in range(CHANGES):
            start = time.monotonic()
            fleet.want(str(n + 2), slots, models)
            fleet.wait_served(str(n + 2), 120)
            seconds.append(round(time.monotonic() - start, 2))
        after = counts(fleet)
        return {"loadSlots": slots, "seconds": seconds, "mostAtOnce": fleet.weights.seen()["most"],
                "loads": sum(loads(it) for it in fleet.engines), "sent": after[0]["sent"] - before[0]["sent"],
                "logEntries": after[1] - before[1]}


if __name__ == "__main__":
    print(json.dumps([measure(STORE_SLOTS), measure(ENGINES)], indent=1))
