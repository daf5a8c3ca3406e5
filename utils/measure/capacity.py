#!/usr/bin/env python3
"""Measures slopes for docs/CAPACITY.md with real processes on the loopback.

    KUMQUATHAVEN_BIN=build/release/bin utils/measure/capacity.py [idle|watch|slices]...

idle    processor time, memory and bytes on links of an entry without upstreams, customers and requests
watch   processor time of an entry's watch on engines, at rest and with cache events, and bytes of a poll
slices  bytes of the limits' messages among 8 entries, with 5 and 700 customers, at rest and under load
"""

import hashlib
import json
import os
import socket
import subprocess
import sys
import time

from fleet import BIN, MODEL, Deployment, call, wait_for

TICKS = os.sysconf("SC_CLK_TCK")
ENTRIES = 8


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mib(pid):
    with open("/proc/%d/status" % pid) as status:
        for line in status:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0


def metric(instance, name):
    """The value of an unlabelled metric of an instance; zero if it is not there."""
    for line in call(instance.operators, "GET", "/metrics")[1].splitlines():
        if line.startswith("kumquathaven_" + name + " "):
            return float(line.split()[1])
    return 0


class Usage:
    """What all entries of a deployment used while a block ran; means over entries."""

    NAMES = ("link_bytes_sent", "link_bytes_received", "limits_bytes_sent_total",
             "limits_bytes_received_total", "limits_frames_total")

    def __init__(self, deployment):
        self.deployment = deployment

    def take(self):
        entries = self.deployment.entries
        taken = {name: sum(metric(it, name) for it in entries) / len(entries) for name in self.NAMES}
        taken["cpu"] = sum(cpu_seconds(it.process.pid) for it in entries) / len(entries)
        return taken

    def __enter__(self):
        self.before = self.take()
        self.begun = time.monotonic()
        return self

    def __exit__(self, *_):
        self.seconds = time.monotonic() - self.begun
        after = self.take()
        self.rates = {name: (after[name] - self.before[name]) / self.seconds for name in after}
        self.resident = max(resident_mib(it.process.pid) for it in self.deployment.entries)


def idle():
    print("| entries | entry CPU % of a core | sent B/s | received B/s | largest RSS MiB | load average |")
    print("| --- | --- | --- | --- | --- | --- |")
    for count in (1, 8):
        with Deployment(controls=3, entries=count, engines=0) as it:
            it.start_all()
            time.sleep(3)
            with Usage(it) as usage:
                time.sleep(20)
            print("| %d | %.2f | %.0f | %.0f | %.1f | %.1f |" % (
                count, 100 * usage.rates["cpu"], usage.rates["link_bytes_sent"],
                usage.rates["link_bytes_received"], usage.resident, os.getloadavg()[0]), flush=True)


def poll_bytes(port):
    """Bytes of one poll in both directions, without TCP's own."""
    total = 0
    for path in ("/load", "/healthz"):
        with socket.create_connection(("127.0.0.1", port), 2) as it:
            request = b"GET %s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\nConnection: close\r\n\r\n" % (path.encode(), port)
            it.sendall(request)
            total += len(request)
            while True:
                part = it.recv(65536)
                if not part:
                    break
                total += len(part)
    return total


def last_sequence(engine):
    """The number of the engine's newest cache event, and the bytes of its events up to there."""
    newest = 0
    size = 0
    with socket.create_connection(("127.0.0.1", engine.port), 2) as it:
        it.sendall(b"GET /events?after=0 HTTP/1.1\r\nHost: x\r\n\r\n")
        it.settimeout(0.5)
        text = b""
        try:
            while part := it.recv(65536):
                text += part
        except TimeoutError:
            pass
    for line in text.decode(errors="replace").splitlines():
        if line.startswith("id: "):
            newest = int(line[4:])
        size += len(line) + 1
    return newest, size


def watch():
    print("| engines | state | entry CPU % of a core | events a second from all engines | bytes an event "
          "| load average |")
    print("| --- | --- | --- | --- | --- | --- |")
    options = ["--prefill", "100000", "--cache-blocks", "100", "--decode", "1"]
    seconds = 15
    for count in (0, 9, 18):
        with Deployment(controls=1, entries=1, engines=count, engine_options=options) as it:
            it.start_all()
            it.apply(it.catalogue())
            time.sleep(2)
            with Usage(it) as usage:
                time.sleep(seconds)
            print("| %d | at rest | %.2f | 0 | | %.1f |" % (
                count, 100 * usage.rates["cpu"], os.getloadavg()[0]), flush=True)
            if count == 0:
                continue
            if count == 9:
                print("a poll of one engine moves %d bytes" % poll_bytes(it.engines[0].port), file=sys.stderr)
            for rate in (50, 200):
                before = [last_sequence(engine) for engine in it.engines]
                targets = ",".join("127.0.0.1:%d" % engine.port for engine in it.engines)
                command = [os.path.join(BIN, "kumquatload"), "--target", targets, "--model", MODEL, "--rate",
                           str(rate), "--seconds", str(seconds), "--max-tokens", "1", "--max-running", "50",
                           "--root-blocks", "0", "--document-blocks", "0", "--own-bytes", "512"]
                with Usage(it) as usage:
                    subprocess.run(command, stdout=subprocess.DEVNULL, check=True, timeout=60)
                after = [last_sequence(engine) for engine in it.engines]
                events = sum(b[0] - a[0] for a, b in zip(before, after))
                size = sum(b[1] for b in after) / max(1, sum(b[0] for b in after))
                print("| %d | requests past the entry | %.2f | %.0f | %.0f | %.1f |" % (
                    count, 100 * usage.rates["cpu"], events / usage.seconds, size, os.getloadavg()[0]), flush=True)


def many_customers(deployment, count):
    """Applies a catalogue with that many customers and a key for each, and returns the keys."""
    names = ["customer-%d" % n for n in range(count)]
    keys = ["kh-key-of-" + it for it in names]
    entries = deployment.catalogue(customers=names, rateTokensPerSecond=5000, burstTokens=50000)
    entries["keys"] = [{"name": "key-" + name, "owner": "operations", "customer": name,
                        "sha256": hashlib.sha256(key.encode()).hexdigest()} for name, key in zip(names, keys)]
    for it in entries["upstreams"]:
        it["limits"] = {"maxConcurrent": 200}
    deployment.apply(entries)
    return keys


def slices():
    print("| customers | state | requests a second | messages sent B/s an entry | received B/s an entry "
          "| frames a second an entry | bytes a request, whole fleet | entry CPU % of a core | load average |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    seconds = 20
    options = ["--prefill", "2000000", "--decode", "1", "--batch", "1000"]
    for count in (5, 700):
        with Deployment(controls=3, entries=ENTRIES, engines=2, engine_options=options) as it:
            it.start_all()
            keys = many_customers(it, count)
            wait_for(lambda: sum(metric(entry, "limits_homes") for entry in it.entries) >= count, 30,
                     "not every bucket has a home")
            time.sleep(3)
            for rate in (0, 20, 100):
                with Usage(it) as usage:
                    whole = load(it, keys, rate, seconds) if rate else time.sleep(seconds) or 0
                sent = usage.rates["limits_bytes_sent_total"]
                print("| %d | %s | %.1f | %.0f | %.0f | %.1f | %s | %.2f | %.1f |" % (
                    count, "load" if rate else "at rest", whole / usage.seconds, sent,
                    usage.rates["limits_bytes_received_total"], usage.rates["limits_frames_total"],
                    "%.0f" % (sent * ENTRIES * usage.seconds / whole) if whole else "",
                    100 * usage.rates["cpu"], os.getloadavg()[0]), flush=True)


def load(deployment, keys, rate, seconds):
    """Sends short requests through all entries and returns how many were answered whole."""
    targets = ",".join("127.0.0.1:%d" % it.callers for it in deployment.entries)
    command = [os.path.join(BIN, "kumquatload"), "--target", targets, "--find", "--model", MODEL, "--key",
               ",".join(keys), "--rate", str(rate), "--seconds", str(seconds), "--max-tokens", "4",
               "--max-running", "100"]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=90)
    return json.loads(done.stdout)["results"].get("whole", 0)


def main():
    parts = {"idle": idle, "watch": watch, "slices": slices}
    chosen = sys.argv[1:] or list(parts)
    unknown = [it for it in chosen if it not in parts]
    if unknown:
        sys.exit("%s\n%s: no such part" % (__doc__, unknown[0]))
    for name in chosen:
        parts[name]()


if __name__ == "__main__":
    main()
