"""Many changes of a grown configuration, while the platform holds each process to its memory."""

import json
import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))
import bed as common  # noqa: E402

# `big_config` adds 350 routes; six of them. `config_storm` sends a change each 0.33 s.
ADDED = 6 * 350
CHANGES = 280
GAP_S = 0.33
MEMORY_MB = {"control": 256, "entry": 260}
DISK_MB = 128
RESTART_S = 0.5


class Platform:
    """Kills each process that uses more than its memory, and starts it again after a short delay."""

    def __init__(self, bed):
        self.bed, self.ends, self.most, self.stopped = bed, {}, {}, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def memory_mb(self, process):
        try:
            for line in open(f"/proc/{process.pid}/status", encoding="utf-8"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def run(self):
        while not self.stopped:
            for host, process in list(self.bed.nodes.items()):
                role = "control" if host in self.bed.controls else "entry"
                used = self.memory_mb(process)
                self.most[host] = max(self.most.get(host, 0), used)
                if used <= MEMORY_MB[role]:
                    continue
                self.bed.end(process)
                self.ends[host] = self.ends.get(host, 0) + 1
                self.bed.record(f"platform: {role} {host} uses {used:.0f} MB of {MEMORY_MB[role]} MB and is killed "
                                f"(time {self.ends[host]})")
                time.sleep(RESTART_S)
                if not self.stopped:
                    self.bed.start_node(role, host, first=False)
            time.sleep(0.02)

    def stop(self):
        self.stopped = True
        self.thread.join(5)


def disk_mb(bed, host):
    total = 0
    for it in (bed.folder / f"data-{host}").rglob("*"):
        try:
            total += it.stat().st_size
        except OSError:
            pass
    return total / 1e6


def case(bed, trouble):
    bed.start()
    bed.add_server("app-1", "app")
    bed.publish()
    value = common.configuration(1)
    bed.acknowledge("PUT", "/-/config", value)
    bed.until_served()
    platform = Platform(bed)
    if trouble:
        value["Routes"] += [common.route(f"r-{n:05d}-grown", "idempotent", "app") for n in range(ADDED)]
    bed.record(f"a configuration has {len(value['Routes'])} routes, {len(json.dumps(value))} bytes")
    newest, silent = 1, 0
    begun = time.monotonic()
    for n in range(CHANGES):
        time.sleep(max(0.0, begun + n * GAP_S - time.monotonic()))
        value["Version"] = 2 + n
        value["Routes"][0]["TimeoutMs"] = 4000 + n
        status, _ = bed.operator("PUT", "/-/config", value)
        if status == 200:
            newest = value["Version"]
        else:
            silent += 1
            bed.record(f"operator: version {value['Version']} -> {status}")
        if n % 20 == 19:
            used = ", ".join(f"{platform.memory_mb(bed.nodes[it]):.0f} MB and {disk_mb(bed, it):.0f} MB of disk"
                             for it in bed.controls)
            bed.record(f"version {value['Version']}: members use {used}; the entry "
                       f"{platform.memory_mb(bed.nodes[bed.entries[0]]):.0f} MB")
        if time.monotonic() - bed.began > 100:
            break
    # The operator reads back what was acknowledged, as at the end of a day.
    back = None
    end = time.monotonic() + 10
    while back is None and time.monotonic() < end:
        status, text = bed.operator("GET", "/-/config")
        if status == 200:
            back = json.loads(text)["Version"]
        else:
            time.sleep(0.5)
    platform.stop()
    ends = [platform.ends.get(it, 0) for it in bed.controls]
    bed.record(f"newest acknowledged version {newest}, {silent} changes without an acknowledgement; read back: {back}")
    bed.record(f"most memory: {', '.join(f'{platform.most[it]:.0f} MB' for it in bed.controls)} (limit 256 MB); disk: "
               f"{', '.join(f'{disk_mb(bed, it):.0f} MB' for it in bed.controls)} (size {DISK_MB} MB); ends by memory: {ends}")
    if back is None or back < newest:
        return f"CONFIG: version {newest} was acknowledged, and {back} is read back"
    if sum(n >= 3 for n in ends) * 2 >= len(ends):
        return f"Fault: processes of half of the core ended by themselves three times: {ends}"
    return ""


sys.exit(common.main(case, HERE / "record.txt"))
