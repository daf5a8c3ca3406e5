"""Writes the outcomes of utils/measure-fleet as a Markdown page and an SVG plot."""

import html
import os

from fleet import BURST_SECONDS, DEADLINE_MS, HEADROOM, STORM_FACTOR, SURGE, WAYS, measures

FINDINGS = "## What the runs show"

HEADER = ("| shape | faults | way | requests inside the rate, whole | hit rate % | first token p50 / p99 ms "
          "| computed again % | worst-served customer % | refused inside the rate: by the limit / else "
          "| services | load average |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")

INTRODUCTION = """# The whole, with real processes

`%(command)s`

Real processes over the loopback: 5 control members, 8 entries, a KV cache store that the entries do not use yet, and

- cyngor: 18 engines of 6,000 to 30,000 prompt tokens a second, 3 failure domains, 3 application servers, 16 requests a second;
- utility: 9 engines of the same range, 4 failure domains, 4 application servers, 8 requests a second.

Engines are stand-ins with caches of 40 blocks of 4,000 tokens. Prompts nest a customer's root (1 block), one of 8 documents
(3), one of 3 conversations (2) and 250 to 2,000 tokens of their own. Five customers send 30, 25, 15, 10 and 20%% of the
requests. The last one sends %(surge)d times its rate; the others have %(headroom)g times what they send, with a burst of
%(burst)d s. The deadline is %(deadline)d s, and callers retry twice, after Retry-After. Each run takes %(seconds)g s from cold
caches, and the first third counts in no hit rate, time and recomputation; seed %(seed)d gives every way the same arrivals.

With faults, at times drawn from the seed: every third engine loses one cache event in 20; two engines crash and come back
cold; an entry and the control leader are killed and come back; other documents become popular twice; and for a fifth of the
run %(storm)d retries come for each request, from callers that do not heed Retry-After.

Only the choice of an engine differs between the ways (the entry's `routing.strategy`); rates, admission and all else are ours
in each. A fixed split of rates and a gossip of them were measured in the model only: docs/measurements/limits.md.

Computed again: prompt tokens, as a share of all, that were computed though an earlier request of the run had computed the same
prefix, be it for the choice of another engine or an eviction. Worst-served customer: tokens of whole answers over what one
exact bucket lets it spend on first attempts. Refused inside the rate: first attempts, of customers to whom one exact
bucket, asked with all their attempts, refuses nothing. First token: of whole answers to these customers, from the time
the request was due, with waits between attempts; callers give up after 30 s of silence, and what they gave up on has no time.
Hit rate and computed again are over whole answers of all customers. Services: status and count of calls that may run once.

The machine has %(cores)d cores; load average before the runs: %(average)s. Most processes at a time: %(processes)d, with
%(resident).0f MiB resident together.
"""


def row(outcome):
    it = measures(outcome)
    services = ", ".join("%s: %d" % pair for pair in sorted(outcome.services.items()))
    return "| %s | %s | %s | %d of %d | %.1f | %.0f / %.0f | %.1f | %.1f (%s) | %d / %d of %d | %s | %.1f |" % (
        outcome.shape, "yes" if outcome.faulty else "no", outcome.way, it["insideWhole"],
        it["insideRequests"], 100 * it["hitRate"], it["p50"], it["p99"], 100 * it["recomputed"],
        100 * it["worstShare"], it["worstCustomer"], it["insideByLimit"], it["insideOther"],
        it["insideRequests"], services, outcome.load_average)


def findings(path):
    """The hand-written end of an earlier page."""
    if not os.path.exists(path):
        return FINDINGS + "\n\nNot looked at yet.\n"
    with open(path) as source:
        text = source.read()
    at = text.find(FINDINGS)
    return text[at:] if at >= 0 else FINDINGS + "\n\nNot looked at yet.\n"


def events_text(outcomes):
    lines = []
    seen = set()
    for it in outcomes:
        if it.events and it.shape not in seen:
            seen.add(it.shape)
            done = "; ".join("%g s %s" % tuple(event) for event in it.events)
            lines.append("- %s, %s: %s" % (it.shape, it.way, done))
    return "\nFaults as they were carried out, first way of each shape:\n\n" + "\n".join(lines) + "\n" \
        if lines else ""


def write_page(path, outcomes, command, seconds, seed):
    averages = [it.load_average for it in outcomes]
    kept = findings(path)
    text = INTRODUCTION % {
        "command": command, "surge": SURGE, "headroom": HEADROOM, "burst": BURST_SECONDS,
        "deadline": DEADLINE_MS // 1000, "seconds": seconds, "seed": seed, "storm": STORM_FACTOR,
        "cores": os.cpu_count(), "average": "%.1f to %.1f" % (min(averages), max(averages)),
        "processes": max(it.processes for it in outcomes),
        "resident": max(it.resident_mib for it in outcomes)}
    text += "\n![the five measures](fleet.svg)\n\n" + HEADER + "\n"
    text += "\n".join(row(it) for it in outcomes) + "\n" + events_text(outcomes) + "\n" + kept
    with open(path, "w") as out:
        out.write(text)


COLOURS = dict(zip(WAYS, ("#1b6ca8", "#b0b0b0", "#d9a441", "#7a9e5f")))
PANELS = (("prefix hit rate, %", lambda it: 100 * it["hitRate"]),
          ("first token p99, s", lambda it: it["p99"] / 1000),
          ("computed again, % of prompt tokens", lambda it: 100 * it["recomputed"]),
          ("worst-served customer, % of what its rate allows", lambda it: 100 * it["worstShare"]),
          ("refused inside the rate, % of requests", lambda it: 100 * (
              it["insideByLimit"] + it["insideOther"]) / max(1, it["insideRequests"])))
WIDTH = 760
PANEL_HEIGHT = 150
BAR_AREA = 95


def text_element(x, y, text, size=11, anchor="start"):
    return '<text x="%g" y="%g" font-size="%d" text-anchor="%s">%s</text>' % (
        x, y, size, anchor, html.escape(text))


def panel(title, value, outcomes, top):
    """One measure as bars, grouped by shape and faults."""
    groups = list(dict.fromkeys((it.shape, it.faulty) for it in outcomes))
    values = [value(measures(it)) for it in outcomes]
    largest = max(max(values), 0.001)
    parts = [text_element(10, top + 14, title, 13)]
    base = top + 24 + BAR_AREA
    group_width = (WIDTH - 20) / len(groups)
    for n, group in enumerate(groups):
        left = 10 + n * group_width
        members = [(it, x) for it, x in zip(outcomes, values) if (it.shape, it.faulty) == group]
        width = (group_width - 30) / len(members)
        for k, (it, x) in enumerate(members):
            height = (BAR_AREA - 14) * x / largest
            parts.append('<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>' % (
                left + k * width, base - height, width - 3, height, COLOURS[it.way]))
            parts.append(text_element(left + (k + 0.5) * width, base - height - 3, "%.3g" % x, 10, "middle"))
        label = group[0] + (", faults" if group[1] else "")
        parts.append(text_element(left + (group_width - 30) / 2, base + 14, label, 11, "middle"))
    parts.append('<line x1="10" y1="%g" x2="%d" y2="%g" stroke="#444"/>' % (base, WIDTH - 10, base))
    return parts


def write_plot(path, outcomes):
    height = 40 + PANEL_HEIGHT * len(PANELS)
    parts = ['<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif">' % (
        WIDTH, height), '<rect width="%d" height="%d" fill="white"/>' % (WIDTH, height)]
    for n, way in enumerate(dict.fromkeys(it.way for it in outcomes)):
        parts.append('<rect x="%d" y="12" width="12" height="12" fill="%s"/>' % (10 + 170 * n, COLOURS[way]))
        parts.append(text_element(27 + 170 * n, 22, way))
    for n, (title, value) in enumerate(PANELS):
        parts += panel(title, value, outcomes, 34 + n * PANEL_HEIGHT)
    with open(path, "w") as out:
        out.write("\n".join(parts + ["</svg>"]) + "\n")
