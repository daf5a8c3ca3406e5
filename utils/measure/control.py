#!/usr/bin/env python3
"""Measures the control role with real processes on the loopback.

    KUMQUATHAVEN_BIN=build/release/bin utils/measure/control.py [feed|leader|restart|rest|start|relays|herd]...
"""

import os
import statistics
import sys
import threading
import time

sys.path.insert(0, os.path.join(
    os.path.dirname(os.path.abspath(__file__)), "..", "..", "test", "system"))

from control_common import (Cluster, Probe, Sender, call, free_ports, put_customer,  # noqa: E402
                            wait_for)

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_seconds(process):
    with open("/proc/%d/stat" % process.pid) as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(process):
    with open("/proc/%d/status" % process.pid) as status:
        for line in status:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
    return 0


def metric(member, name):
    for line in call(member.operators, "GET", "/metrics")[1].splitlines():
        if line.startswith("kumquathaven_" + name + " "):
            return float(line.split()[1])
    raise AssertionError("no metric " + name)


def quantile(values, share):
    values = sorted(values)
    return values[min(len(values) - 1, int(share * len(values)))]


def started(cluster, count):
    cluster.start()
    cluster.wait_voters(count, timeout=30)
    return Sender(cluster, 1)


def feed():
    """Time from the operator's answer and from the sending of the change until the slowest
    subscriber has it."""
    print("| subscribers | changes | accepted after, median ms | in force at the slowest after the "
          "answer, median / 95% / max ms |")
    print("| --- | --- | --- | --- |")
    for count in (1, 8, 16, 32, 64):
        with Cluster(3) as cluster:
            sender = started(cluster, 3)
            with Probe(cluster, count) as probe:
                sender.send(put_customer("c", 1))
                probe.wait_revision(1)
                wait_for(lambda: min(it["entries"] for it in probe.newest().values()) == count,
                         20, "not all instances are listed")
                answered = []
                accepted = []
                for n in range(100):
                    sent = time.monotonic()
                    revision = sender.send(put_customer("c", n + 2))["revision"]
                    answered.append((revision, time.monotonic()))
                    accepted.append(answered[-1][1] - sent)
                    time.sleep(0.03)
                lags = lags_of(probe, answered)
                print("| %d | %d | %.1f | %.1f / %.1f / %.1f |" % (
                    count, len(lags), statistics.median(accepted) * 1000,
                    statistics.median(lags), quantile(lags, 0.95), max(lags)), flush=True)


def leader():
    """Time from the kill of the leader until a change is accepted again."""
    for members in (3, 5):
        gaps = []
        with Cluster(members) as cluster:
            sender = started(cluster, members)
            for n in range(5):
                sender.send(put_customer("c", n + 1))
                old = cluster.wait_leader()
                killed = time.monotonic()
                cluster.kill(old)
                sender.send(put_customer("c", n + 100))
                gaps.append(time.monotonic() - killed)
                cluster.start(old)
                cluster.wait_voters(members)
                time.sleep(0.5)
        print("without a leader after a kill, %d members: median %.2f s, max %.2f s (%d kills)" % (
            members, statistics.median(gaps), max(gaps), len(gaps)), flush=True)


def restart():
    """Time from the start of all members until the catalogue can be read again."""
    for changes, operators in ((500, 1), (5000, 1), (50000, 16)):
        with Cluster(3) as cluster:
            started(cluster, 3)
            rate = send_many(cluster, changes, operators)
            stored = max(folder_mb(cluster.data_folder(it)) for it in cluster.members)
            cluster.kill()
            begun = time.monotonic()
            cluster.start()
            wait_for(lambda: any(
                safe_status(it, "/v1/catalogue") == 200 for it in cluster.members), 30, "no reads")
            readable = time.monotonic() - begun
            revision = cluster.ctl("get")["revision"]
            print("restart after %d changes: readable after %.2f s at revision %d; %.0f changes a "
                  "second by %d operators before; the largest data folder has %.1f MB" % (
                      changes, readable, revision, rate, operators, stored), flush=True)


def send_many(cluster, changes, operators):
    """Sends changes by several operators at once, for at most 300 s, and returns how many were
    accepted a second."""
    begun = time.monotonic()
    counts = [0] * operators

    def operate(number):
        sender = Sender(cluster, number + 1)
        for n in range(number, changes, operators):
            if time.monotonic() - begun > 300:
                return
            sender.send(put_customer("c%d" % (n % 700), n % 1000 + 1))
            counts[number] += 1
    threads = [threading.Thread(target=operate, args=(n,)) for n in range(operators)]
    for it in threads:
        it.start()
    for it in threads:
        it.join()
    return sum(counts) / (time.monotonic() - begun)


def folder_mb(folder):
    return sum(os.path.getsize(os.path.join(path, it))
               for path, _, files in os.walk(folder) for it in files) / 1e6


def safe_status(member, path):
    try:
        return call(member.operators, "GET", path, timeout=2)[0]
    except OSError:
        return 0


def usage(cluster, probe):
    return ([cpu_seconds(it.process) for it in cluster.members], cpu_seconds(probe.process),
            [metric(it, "link_bytes_sent") + metric(it, "link_bytes_received")
             for it in cluster.members])


def rest():
    """Processor time and bytes at rest, and for each change."""
    print("| subscribers | state | member CPU, mean / max % of a core | subscriber CPU % of a core "
          "| bytes a second of all members, per subscriber | member RSS MB |")
    print("| --- | --- | --- | --- | --- | --- |")
    seconds = 10
    for count in (1, 8, 64):
        with Cluster(3) as cluster:
            sender = started(cluster, 3)
            sender.send(put_customer("c", 1))
            with Probe(cluster, count) as probe:
                probe.wait_revision(1)
                time.sleep(3)
                for changes in (0, 200):
                    before = usage(cluster, probe)
                    begun = time.monotonic()
                    for n in range(changes):
                        sender.send(put_customer("c", n + 2))
                        time.sleep(max(0, begun + (n + 1) * seconds / changes - time.monotonic()))
                    time.sleep(max(0, begun + seconds - time.monotonic()))
                    after = usage(cluster, probe)
                    elapsed = time.monotonic() - begun
                    cpu = [100 * (b - a) / elapsed for a, b in zip(before[0], after[0])]
                    bytes_moved = sum(after[2]) - sum(before[2])
                    print("| %d | %s | %.2f / %.2f | %.3f | %.0f | %.1f |" % (
                        count, "%d changes a second" % (changes / seconds) if changes else "at rest",
                        sum(cpu) / len(cpu), max(cpu),
                        100 * (after[1] - before[1]) / elapsed / count,
                        bytes_moved / elapsed / count,
                        max(resident_mb(it.process) for it in cluster.members)), flush=True)


def relays():
    """Cost of control and time to the slowest with all subscribers direct and with relays. All
    subscribers of a row are in one process."""
    print("| subscribers | fed by control | state | member CPU, mean % of a core | frames a second "
          "of all members beyond none | bytes a second beyond none | subscribers' CPU, % of a core "
          "each | in force at the slowest, median / 95% / max ms |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    seconds = 10
    base = {}
    for count, direct, children in ((0, 0, 0), (64, 0, 0), (64, 8, 8), (192, 0, 0), (192, 8, 8)):
        with Cluster(3) as cluster:
            sender = started(cluster, 3)
            sender.send(put_customer("c", 1))
            options = []
            if children:
                options = ["--direct", str(direct), "--children", str(children),
                           "--ports", ",".join(map(str, free_ports(count)))]
            if count == 0:
                time.sleep(1)
                for changes in (0, 50):
                    base[changes] = interval(cluster, None, sender, changes, seconds)
                continue
            with Probe(cluster, count, options=options) as probe:
                probe.wait_revision(1, timeout=60)
                wanted = direct or count
                wait_for(lambda: sum(metric(it, "feed_subscribers") for it in cluster.members)
                         <= wanted, 60, "the relays do not form")
                time.sleep(5)
                fed = sum(metric(it, "feed_subscribers") for it in cluster.members)
                for changes in (0, 50):
                    row = interval(cluster, probe, sender, changes, seconds)
                    lags = lags_of(probe, row["answered"])
                    print("| %d | %d | %s | %.2f | %.0f | %.0f | %.3f | %s |" % (
                        count, fed,
                        "%.0f changes a second" % (changes / seconds) if changes else "at rest",
                        row["cpu"], row["frames"] - base[changes]["frames"],
                        row["bytes"] - base[changes]["bytes"], row["probe"] / count,
                        "%.1f / %.1f / %.1f" % (statistics.median(lags), quantile(lags, 0.95),
                                                max(lags)) if lags else "-"), flush=True)


def interval(cluster, probe, sender, changes, seconds):
    """Costs a second over an interval in which changes are sent evenly."""
    def counts():
        return ([cpu_seconds(it.process) for it in cluster.members],
                cpu_seconds(probe.process) if probe else 0,
                sum(metric(it, "link_bytes_sent") + metric(it, "link_bytes_received")
                    for it in cluster.members),
                sum(metric(it, "link_frames_sent") + metric(it, "link_frames_received")
                    for it in cluster.members))
    before = counts()
    begun = time.monotonic()
    answered = []
    for n in range(changes):
        revision = sender.send(put_customer("c", n + 2))["revision"]
        answered.append((revision, time.monotonic()))
        time.sleep(max(0, begun + (n + 1) * seconds / changes - time.monotonic()))
    time.sleep(max(0, begun + seconds - time.monotonic()))
    after = counts()
    elapsed = time.monotonic() - begun
    cpu = [100 * (b - a) / elapsed for a, b in zip(before[0], after[0])]
    return {"cpu": sum(cpu) / len(cpu), "probe": 100 * (after[1] - before[1]) / elapsed,
            "bytes": (after[2] - before[2]) / elapsed, "frames": (after[3] - before[3]) / elapsed,
            "answered": answered}


def lags_of(probe, answered):
    """Milliseconds from each answer until the slowest subscriber had the change."""
    if not answered:
        return []
    probe.wait_revision(answered[-1][0], timeout=60)
    slowest = {}
    have = {}
    for it in list(probe.lines):
        for revision in range(have.get(it["subscriber"], 0) + 1, it["revision"] + 1):
            slowest[revision] = max(slowest.get(revision, 0), it["t"])
        have[it["subscriber"]] = max(have.get(it["subscriber"], 0), it["revision"])
    return [max(0, slowest[revision] - at) * 1000 for revision, at in answered]


def start():
    """Time from the start of a process of subscribers until each has a proven state."""
    for count in (1, 8, 64):
        with Cluster(3) as cluster:
            sender = started(cluster, 3)
            for n in range(200):
                sender.send(put_customer("c%d" % n, 1))
            begun = time.monotonic()
            with Probe(cluster, count) as probe:
                probe.wait_revision(200)
                probe.wait_fresh(0)
                first = {}
                for it in probe.lines:
                    if it["provenAt"] > 0 and it["revision"] == 200:
                        first.setdefault(it["subscriber"], it["t"])
                print("%d subscribers started at once: proven state after %.2f s at the median, "
                      "%.2f s at the slowest" % (count, statistics.median(first.values()) - begun,
                                                 max(first.values()) - begun), flush=True)


def herd():
    """Subscribers that start with nothing beside as many that run, with 200 changes in the state."""
    print("| subscribers that start | beside | whole states from control | sent to relays | member "
          "CPU, ms in all | bytes sent by members | proven state after, median / slowest s |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in (16, 64, 128):
        with Cluster(3) as cluster:
            sender = started(cluster, 3)
            for n in range(200):
                sender.send(put_customer("c%d" % n, 1))
            with Probe(cluster, 64, options=relayed(64, 0)) as running:
                running.wait_revision(200, timeout=60)
                wait_for(lambda: sum(metric(it, "feed_subscribers") for it in cluster.members) <= 8,
                         60, "the relays do not form")
                time.sleep(5)
                before = herd_usage(cluster)
                begun = time.monotonic()
                with Probe(cluster, count, options=relayed(count, 64)) as starting:
                    starting.wait_revision(200, timeout=60)
                    starting.wait_fresh(0)
                    time.sleep(max(0, begun + 3 - time.monotonic()))
                    after = herd_usage(cluster)
                    first = {}
                    for it in starting.lines:
                        if it["provenAt"] > 0 and it["revision"] == 200:
                            first.setdefault(it["subscriber"], it["t"] - begun)
                    used = [b - a for a, b in zip(before, after)]
                    print("| %d | 64 | %d | %d | %.0f | %.0f | %.2f / %.2f |" % (
                        count, used[0], used[1], 1000 * used[2], used[3],
                        statistics.median(first.values()), max(first.values())), flush=True)


def relayed(count, first):
    return ["--direct", "8", "--children", "8", "--first", str(first),
            "--ports", ",".join(map(str, free_ports(count)))]


def herd_usage(cluster):
    return [sum(metric(it, name) for it in cluster.members)
            for name in ("feed_snapshots_sent", "feed_redirects_sent")] + [
                sum(cpu_seconds(it.process) for it in cluster.members),
                sum(metric(it, "link_bytes_sent") for it in cluster.members)]


def main():
    parts = {"feed": feed, "leader": leader, "restart": restart, "rest": rest, "start": start,
             "relays": relays, "herd": herd}
    for name in sys.argv[1:] or parts:
        parts[name]()


if __name__ == "__main__":
    main()
