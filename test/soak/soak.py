"""A soak: real processes, faults drawn from a seed, and promises checked on what callers, servers and operators saw.

    soak.py [--seed N] [--seconds N] [--callers N] [--report FOLDER]    one soak; a seed is drawn if none is given
    soak.py --regressions                                               the seeds of seeds.txt

Ends with 0 if nothing was broken. The report holds the history, a summary, a plot and the logs of all processes."""

import argparse
import os
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "system"))
from control_common import wait_for  # noqa: E402
from checks import RECOVERY, Bounds, as_json, calm_since, check_all  # noqa: E402
from faults import Operator, Player  # noqa: E402
from report import plot, summary  # noqa: E402
from soaksite import DRAIN_TIME, IN_FORCE_TIME, LIMIT_SLACK, LIMITS, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, SoakSite  # noqa: E402
from standins import Caller, Crasher, History  # noqa: E402

# Long enough for the longest time for which entries leave out a server that failed again and again, in seconds.
CALM = 12
# Enough for two trials of a request that crashes servers.
MAX_WAIT = 60
BOUNDS = Bounds(DRAIN_TIME, IN_FORCE_TIME, RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW, LIMITS, LIMIT_SLACK)


def ended_by_itself(it):
    """Returns the present process of a site's process if it ended without being asked to."""
    process = it.process
    return process if process.poll() is not None and not process.end_asked else None


def watch(site, history, operator, prober, stop):
    """Reads configurations, asks for the newest route, and notes processes that end by themselves."""
    seen = set()
    while not stop.wait(0.2):
        operator.read()
        prober.probe(operator.version)
        for name, it in list(site.processes.items()):
            process = ended_by_itself(it)
            if process and process.pid not in seen:
                seen.add(process.pid)
                history.add(history.exits, name=name, at=history.now(), how=f"ended by itself with {process.returncode}")


class Prober(Caller):
    """Asks for the route that only the newest configuration has."""

    def probe(self, version):
        if version < 1:
            return
        self.drop()
        record = self.begin(os.urandom(8).hex(), "probe", version=version)
        try:
            self.connect()
            record["entry"] = self.entry
            self.connection.request("GET", f"/v{version}/x", None, self.fields(record["id"]))
            answer = self.connection.getresponse()
            answer.read()
            record.update(status=answer.status, complete=True, end="answered")
        except Exception as error:  # noqa: BLE001 - whatever it was, the probe had no answer.
            record["end"] = type(error).__name__
        record["ended"] = self.history.now()


def wait_out(history, sleep):
    """Waits until everything has been calm for as long as the checks need. A request that crashes servers may be
    tried again after the last fault that was drawn; one that goes on crashing them ends the wait all the same.

    sleep: waits for a number of seconds."""
    end = history.now() + MAX_WAIT
    while history.now() < min(end, calm_since(history) + RECOVERY + CALM):
        sleep(0.2)


def soak(seed, seconds, callers):
    """Plays one soak; returns its history."""
    history = History()
    site = SoakSite(seed, history)
    stop = threading.Event()
    threads = []
    try:
        operator = Operator(site, history, random.Random(f"{seed}/operator"))
        wait_for(lambda: operator.change() == 200, 30, "the first configuration is not acknowledged")
        for n in site.entries:
            site.wait_until_served(n)
        wait_for(operator.is_whole, 30, "the group did not found itself")
        history.arrivals.clear()
        threads = [Caller(n, seed, history, site.callers_addresses, stop) for n in range(callers)]
        prober = Prober(0, seed, history, site.callers_addresses, stop)
        prober.key = "k-north"
        threads.append(Crasher(seed, history, site.callers_addresses, stop))
        threads.append(threading.Thread(target=watch, args=(site, history, operator, prober, stop), daemon=True))
        for it in threads:
            it.start()
        Player(seed, site, history, operator).play(seconds)
        wait_out(history, time.sleep)
        history.ready = [it.name for it in site.servers if it.state == "ready"]
        stop.set()
        for it in threads:
            it.join(10)
        wait_for(lambda: operator.read()["version"] is not None, 15, "no configuration is read at the end")
    finally:
        stop.set()
        history.logs = {it.name: it.read_text(errors="replace") for it in sorted(site.folder.glob("*.log"))}
        site.shut_down()
    return history


def write_report(folder, seed, history, breaches):
    folder = pathlib.Path(folder) / str(seed)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "history.json").write_text(as_json(history))
    (folder / "report.txt").write_text(summary(seed, history, breaches))
    (folder / "plot.svg").write_text(plot(history))
    for name, text in history.logs.items():
        (folder / name).write_text(text)


def regressions():
    """Returns the seeds that failed once, each with the seconds of its faults."""
    lines = (pathlib.Path(__file__).parent / "seeds.txt").read_text().splitlines()
    return [(int(it.split()[0]), float(it.split()[1])) for it in lines if it and not it.startswith("#")]


def play(seed, seconds, options):
    """Plays a soak and says what it found; returns whether nothing was broken."""
    print(f"seed {seed}", flush=True)
    history = soak(seed, seconds, options.callers)
    breaches = check_all(history, BOUNDS)
    print(summary(seed, history, breaches), flush=True)
    if options.report:
        write_report(options.report, seed, history, breaches)
    return not any(breaches.values())


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--callers", type=int, default=18)
    parser.add_argument("--report")
    parser.add_argument("--regressions", action="store_true")
    options = parser.parse_args()
    if options.regressions:
        runs = regressions()
    else:
        runs = [(options.seed if options.seed is not None else random.SystemRandom().randrange(1 << 31), options.seconds)]
    results = [play(seed, seconds, options) for seed, seconds in runs]
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
