"""The report of a soak: what was played, what callers got, the worst gaps, and a plot of it."""

import collections
import json
import xml.sax.saxutils

from checks import unserved_in_calm

MAX_SHOWN = 10
MAX_UNSERVED = 40
WIDTH, HEIGHT, ROW = 1000, 160, 14


def gaps(history):
    """Returns the longest times without a served request, as pairs of length and begin."""
    times = sorted(it["ended"] for it in history.requests if it["status"] == 200 and it["ended"])
    return sorted(((b - a, a) for a, b in zip(times, times[1:])), reverse=True)[:3]


def reason(request):
    """Returns the code of an error answer, empty for any other body."""
    try:
        return json.loads(request["body"]).get("error", "")
    except (ValueError, AttributeError):
        return ""


def unserved_lines(history):
    """Describes the requests that were not served once all faults were over, with what servers saw of each."""
    arrivals = collections.defaultdict(list)
    for it in history.arrivals:
        ended = f"{it['ended']:.2f}" if it["ended"] else "-"
        arrivals[it["id"]].append(f"{it['server']} {it['at']:.2f} to {ended} {it['end']}".rstrip())
    lines = []
    for it in unserved_in_calm(history)[:MAX_UNSERVED]:
        words = [f"unserved: {it['at']:.2f} to {it['ended']:.2f} s", it["kind"], it["entry"] or "-", str(it["status"] or it["end"]),
                 reason(it), "; ".join(arrivals[it["id"]]) or "at no server"]
        lines.append(" ".join(word for word in words if word))
    return lines


def summary(seed, history, breaches):
    ends = collections.Counter(f"{it['kind']} {it['status'] or it['end']}" for it in history.requests)
    lines = [f"seed {seed}: {len(history.requests)} requests, {len(history.arrivals)} arrivals, {len(history.changes)} changes, "
             f"{len(history.faults)} faults"]
    for it in history.faults:
        ended = f"{it['ended']:.1f}" if it["ended"] else "-"
        lines.append(f"  {it['at']:7.1f} to {ended:>6} s  {it['kind']}  {', '.join(it['touches'])}")
    lines.append("what callers got: " + ", ".join(f"{name} {n}" for name, n in sorted(ends.items())))
    lines.append("longest gaps between answers: " + ", ".join(f"{length:.2f} s from {at:.1f} s" for length, at in gaps(history)))
    if breaches.get("recovered"):
        lines += unserved_lines(history)
    for name, found in breaches.items():
        for it in found[:MAX_SHOWN]:
            lines.append(f"broken: {name}: {it}")
        if len(found) > MAX_SHOWN:
            lines.append(f"broken: {name}: {len(found) - MAX_SHOWN} more")
    lines.append("nothing broken" if not any(breaches.values()) else "broken: " + ", ".join(k for k, v in breaches.items() if v))
    return "\n".join(lines)


def plot(history):
    """Requests served, refused and failed for each second, above the faults, as SVG."""
    length = max([it["ended"] or it["at"] for it in history.requests], default=1) + 1
    seconds = collections.defaultdict(lambda: [0, 0, 0])
    for it in history.requests:
        served = it["status"] == 200 and it["complete"]
        refused = it["status"] in (429, 503)
        seconds[int(it["at"])][0 if served else 1 if refused else 2] += 1
    most = max((sum(it) for it in seconds.values()), default=1)
    x = WIDTH / length
    shapes = []
    for second, counts in seconds.items():
        base = HEIGHT
        for count, colour in zip(counts, ("#4a4", "#fb3", "#c33")):
            height = HEIGHT * count / most
            base -= height
            shapes.append(f'<rect x="{second * x:.1f}" y="{base:.1f}" width="{x * 0.9:.1f}" height="{height:.1f}" fill="{colour}"/>')
    for row, it in enumerate(history.faults):
        begin, end = it["at"] * x, max((it["ended"] or it["at"]) * x, it["at"] * x + 2)
        label = xml.sax.saxutils.escape(f"{it['kind']} {', '.join(it['touches'])}")
        y = HEIGHT + ROW * (row + 1)
        shapes.append(f'<rect x="{begin:.1f}" y="{y - 9}" width="{end - begin:.1f}" height="8" fill="#88c"/>'
                      f'<text x="{end + 4:.1f}" y="{y - 2}" font-size="9">{label}</text>')
    height = HEIGHT + ROW * (len(history.faults) + 2)
    return (f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH + 200}" height="{height}" font-family="sans-serif">'
            + "".join(shapes) + "</svg>\n")
