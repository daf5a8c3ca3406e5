"""What was promised, checked on what callers, servers and operators saw. Each check returns the breaches as texts."""

import json

from standins import DEADLINE_MS, EVENTS, IDEMPOTENT, KEYS, KINDS, event, plain_body, question

# All bounds are the users' rules; times in seconds.
# A process counts from this long after its last disturbance.
STABLE = 4.0
# The time limit of each route in the configuration.
TIME_LIMIT = 4.0
# How late a server may see that a caller left, an answer at the time limit may come, an entry may forget.
LEFT_SLACK, HELD_SLACK, REGRESS_SLACK = 0.5, 0.5, 0.25
RECOVERY = 15.0
# Answers that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
LIMIT_WINDOW, LIMIT_OVER = 8.0, 0.1
# Crashes after which a part, or a request, must be known to crash servers, and how many more may follow the bound.
ENOUGH_BY_PART, ENOUGH_BY_REQUEST, MAX_LATE = 5, 3, 3


class Bounds:
    """The settings and the configuration that the checks refer to."""

    def __init__(self, drain, in_force, ratio, slack, window, limits, limit_slack):
        self.drain, self.in_force = drain, in_force
        self.ratio, self.slack, self.window = ratio, slack, window
        # Rate and burst by customer.
        self.limits, self.limit_slack = limits, limit_slack


def touches(fault, names):
    return "everyone" in fault["touches"] or bool(names & set(fault["touches"]))


def disturbed(history, names, begin, end, planned=False):
    """Whether a fault that touches one of the processes reaches into the time, or ended shortly before."""
    return any(touches(it, names) and it["at"] <= end and (it["ended"] or it["at"]) + STABLE >= begin
               and (planned or not it["planned"]) for it in history.faults)


def with_core(name):
    return {name} | {f"control-{n}" for n in range(1, 10)}


def name_of(request):
    """The process that a request was sent to."""
    return "entry-" + request["entry"].split(".")[-1] if request["entry"] else ""


def arrivals_by_id(history):
    out = {}
    for it in history.arrivals:
        out.setdefault(it["id"], []).append(it)
    return out


def whole_answers(history, _bounds):
    """A success is the whole answer of a run of this request, or shows that it is not whole."""
    breaches, runs = [], arrivals_by_id(history)
    for it in history.requests:
        if it["status"] != 200 or it["kind"] == "probe":
            continue
        if it["stamp"] not in [run["stamp"] for run in runs.get(it["id"], []) if run["ran"]]:
            breaches.append(f"{it['id']}: a success that no run gave, stamp {it['stamp']!r}")
        if it["kind"] in ("ask", "review"):
            wanted = b"".join(event(it["id"], n) for n in range(it["first"], EVENTS + 1))
        else:
            wanted = plain_body(it["id"], it["stamp"])
        if it["body"] != wanted if it["complete"] else not wanted.startswith(it["body"]):
            breaches.append(f"{it['id']}: {it['kind']} with another body, {len(it['body'])} of {len(wanted)} bytes")
    return breaches


def answers_are_well_formed(history, _bounds):
    """No bytes that belong to no answer come where a part of one is due."""
    return [f"{it['id']}: {it['kind']} of {it['entry']} at {it['at']:.1f} s is malformed" for it in history.requests
            if it["end"] == "MalformedAnswer"]


def run_once(history, _bounds):
    """What may not be repeated runs once at most."""
    breaches, kinds = [], {it["id"]: it["kind"] for it in history.requests}
    for name, arrivals in arrivals_by_id(history).items():
        ran = [it for it in arrivals if it["ran"]]
        if kinds.get(name) not in IDEMPOTENT + ("probe",) and len(ran) > 1:
            breaches.append(f"{name}: ran at {[it['server'] for it in ran]}")
    return breaches


def not_run_is_true(history, _bounds):
    """What was answered as not run has not run, before or after."""
    runs = arrivals_by_id(history)
    return [f"{it['id']}: {it['status']} though it ran" for it in history.requests
            if it["status"] in NOT_RUN and it["kind"] not in IDEMPOTENT + ("probe",)
            and any(run["ran"] for run in runs.get(it["id"], []))]


def own_requests(history, _bounds):
    """Servers get what callers sent, under the customer of their key and without the key."""
    breaches, sent = [], {it["id"]: it for it in history.requests}
    for it in history.arrivals:
        request = sent.get(it["id"])
        if request is None:
            breaches.append(f"{it['id']}: nobody sent it")
        elif it["tenant"] != KEYS[request["key"]] or it["key"] is not None:
            breaches.append(f"{it['id']}: customer {it['tenant']}, key {it['key']}")
        elif it["body"] != question(request["kind"]):
            breaches.append(f"{it['id']}: body of {len(it['body'])} bytes")
        elif request["kind"] != "probe" and it["path"] != f"/{request['kind']}/{it['id']}":
            breaches.append(f"{it['id']}: path {it['path']}")
        elif it["ran"] and request["kind"] in KINDS and (it["service"] == "lm") != (request["kind"] in ("ask", "review")):
            breaches.append(f"{it['id']}: {request['kind']} ran at service {it['service']}")
    return breaches


def leaving_ends_work(history, _bounds):
    """Requests of callers that left are not sent on, but for a few."""
    runs = arrivals_by_id(history)
    late = [f"{it['id']}: at a server {run['at'] - it['left']:.2f} s after its caller left"
            for it in history.requests if it["left"]
            for run in runs.get(it["id"], []) if run["at"] > it["left"] + LEFT_SLACK
            and not disturbed(history, with_core(name_of(it)), it["at"], run["at"], planned=True)]
    return late if len(late) > 3 else []


def leaving_stops_servers(history, _bounds):
    """Servers are no longer at work for most callers that left, but for what may not be repeated."""
    runs = arrivals_by_id(history)
    at_work = [(it, run) for it in history.requests if it["left"] and it["kind"] in ("read", "ask", "review")
               for run in runs.get(it["id"], []) if run["at"] < it["left"] and (run["ended"] or it["left"] + 99) > it["left"]
               and not disturbed(history, with_core(name_of(it)) | {"servers"}, it["at"], it["left"] + LEFT_SLACK, planned=True)]
    late = [f"{it['id']}: its server was at work {LEFT_SLACK} s after its caller left" for it, run in at_work
            if run["ended"] is None or run["ended"] > it["left"] + LEFT_SLACK]
    return late if len(late) > max(3, len(at_work) / 4) else []


def time_left_is_told(history, _bounds):
    """Servers are told the time that is left, never more than the caller gave."""
    wrong = [f"{it['id']}: X-Deadline-Ms {it['deadline']}" for it in history.arrivals
             if not (it["deadline"] or "").isdigit() or int(it["deadline"]) > DEADLINE_MS]
    return wrong


def limits_kept(history, bounds):
    """No customer runs more than its rate and burst allow in any window."""
    breaches, kinds = [], {it["id"]: it for it in history.requests}
    for customer, (rate, burst) in bounds.limits.items():
        ran = sorted((it["at"], kinds[it["id"]]["tokens"] if it["service"] == "lm" else 10) for it in history.arrivals
                     if it["ran"] and it["tenant"] == customer and it["id"] in kinds)
        most = (rate * LIMIT_WINDOW + burst) * (1 + LIMIT_OVER) + bounds.limit_slack
        for begin, _ in ran:
            tokens = sum(n for at, n in ran if begin <= at < begin + LIMIT_WINDOW)
            if tokens > most:
                breaches.append(f"{customer}: {tokens} tokens from {begin:.1f} s, {most:.0f} allowed")
                break
    return breaches


def repeats_in_budget(history, bounds):
    """Arrivals beyond the first of each request stay within the budget of all instances."""
    breaches, first = [], set()
    kinds = {it["id"]: it["kind"] for it in history.requests}
    service_of = {"read": "app", "write": "app", "probe": "app", "ask": "lm", "review": "lm"}
    repeats = []
    for it in sorted(history.arrivals, key=lambda it: it["at"]):
        if it["id"] in first:
            repeats.append((it["at"], service_of[kinds.get(it["id"], "read")]))
        first.add(it["id"])
    for begin, service in repeats:
        n = sum(at >= begin and at < begin + bounds.window and of == service for at, of in repeats)
        requests = max(sum(begin - back <= it["at"] < begin - back + bounds.window and service_of[it["kind"]] == service
                           for it in history.requests) for back in (0, bounds.window / 2, bounds.window))
        if n > bounds.ratio * requests + bounds.slack:
            breaches.append(f"{service}: {n} repeats from {begin:.1f} s for {requests} requests")
            break
    return breaches


def drained_servers_rest(history, bounds):
    """Nothing reaches a server that has been leaving for long enough."""
    breaches, sent = [], {it["id"]: it for it in history.requests}
    for drained in history.lists:
        for it in history.arrivals:
            late = it["server"] == drained["server"] and it["at"] > drained["at"] + bounds.drain
            if late and it["end"] != "misdirected" and it["id"] in sent:
                names = with_core(name_of(sent[it["id"]])) | {"servers"}
                if not disturbed(history, names, drained["at"], it["at"]):
                    breaches.append(f"{it['id']}: at {it['server']} {it['at'] - drained['at']:.1f} s after it began to leave")
    return breaches


def configuration_kept(history, bounds):
    """Nothing acknowledged is lost or read back as older, nothing invalid holds, a version has one content."""
    breaches, contents = [], {}
    acknowledged = [it for it in history.changes if it["status"] == 200]
    breaches += [f"version {it['version']}: invalid, and acknowledged" for it in acknowledged if not it["valid"]]
    for it in acknowledged + [it for it in history.reads if it["version"] is not None]:
        # One that was overtaken is acknowledged too, and never in force.
        overtaken = "status" in it and any(other["version"] > it["version"] for other in history.changes
                                           if other["at"] < it["acknowledged"])
        if not overtaken and contents.setdefault(it["version"], it["text"]) != it["text"]:
            breaches.append(f"version {it['version']}: two contents")
    sent = {it["text"] for it in history.changes if it["valid"]}
    for read in history.reads:
        if read["version"] is None:
            continue
        if read["text"] not in sent:
            breaches.append(f"version {read['version']}: read back, and not sent so")
        newest = max((it["version"] for it in acknowledged if it["acknowledged"] < read["at"] - bounds.in_force), default=0)
        if read["version"] < newest:
            breaches.append(f"member {read['member']} at {read['at']:.1f} s: version {read['version']}, {newest} was acknowledged")
    if history.reads and (history.reads[-1]["version"] or 0) < max((it["version"] for it in acknowledged), default=0):
        breaches.append(f"at the end: version {history.reads[-1]['version']}")
    return breaches


def configuration_obeyed(history, bounds):
    """An entry that is in touch knows the routes of what was acknowledged, and none forgets what it knew."""
    breaches, known = [], {}
    times = {}
    for it in history.changes:
        if it["status"] == 200:
            times[it["version"]] = min(times.get(it["version"], it["acknowledged"]), it["acknowledged"])
    for it in sorted((it for it in history.requests if it["kind"] == "probe" and it["status"]), key=lambda it: it["at"]):
        name, version = name_of(it), it["version"]
        if it["status"] == 200:
            known[name] = max(known.get(name, (0, 0)), (version, it["ended"]))
        elif it["status"] == 404:
            # A new version holds the routes of its own only, so a newer one explains the 404.
            newer = any(other["version"] > version and other["at"] < it["ended"] for other in history.changes if other["valid"])
            late = version in times and it["at"] > times[version] + bounds.in_force
            if late and not newer and not disturbed(history, with_core(name), times[version], it["ended"], planned=True):
                breaches.append(f"{name} at {it['at']:.1f} s: does not know version {version} of {times[version]:.1f} s")
            seen, when = known.get(name, (0, 0))
            if seen >= version and not newer and it["at"] > when + REGRESS_SLACK and not restarted(history, name, when, it["ended"]):
                breaches.append(f"{name} at {it['at']:.1f} s: forgot version {seen}")
    return breaches


def restarted(history, name, begin, end):
    kinds = ("killed", "killed in a row", "stopped", "all killed", "power lost", "disk lost")
    return any(it["kind"] in kinds and touches(it, {name}) and it["at"] <= end and (it["ended"] or it["at"]) >= begin
               for it in history.faults)


def stopping_cuts_nothing(history, _bounds):
    """Around an orderly stop without other faults, no request that was passed on is cut."""
    breaches, runs = [], arrivals_by_id(history)
    for stop in history.faults:
        if stop["kind"] != "stopped":
            continue
        name, = stop["touches"]
        for it in history.requests:
            near = name_of(it) == name and stop["at"] - 1 <= it["at"] <= (stop["ended"] or stop["at"]) + 1
            if not near or it["left"] or it["end"] in ("answered", "") or not runs.get(it["id"]):
                continue
            broke = any(run["end"] in ("cut", "failed") for run in runs[it["id"]])
            others = with_core(name) | {"servers"}
            if not broke and not disturbed(history, others, it["at"], it["ended"] or it["at"]):
                breaches.append(f"{it['id']}: cut by {name} that was stopping, {it['end']}")
    return breaches


def answered_in_time(history, _bounds):
    """Requests that reach their time limit are answered then."""
    late = [it for it in history.requests if it["ended"] and it["kind"] != "probe" and not it["left"]
            and it["ended"] - it["at"] > TIME_LIMIT and not disturbed(history, with_core(name_of(it)), it["at"], it["ended"], True)]
    held = [it for it in late if it["ended"] - it["at"] > TIME_LIMIT + HELD_SLACK]
    return [f"{it['id']}: held {it['ended'] - it['at']:.1f} s" for it in held] if len(held) > max(3, len(late) / 2) else []


def calm_since(history):
    """When the last fault was over, the crashes under callers' requests among them."""
    return max([(it["ended"] or it["at"]) for it in history.faults], default=0)


def requests_in_calm(history):
    """The requests that should be served, since all faults have been over for long enough."""
    begin = calm_since(history) + RECOVERY
    return [it for it in history.requests if it["at"] > begin and it["ended"] and not it["left"]
            and it["kind"] != "probe" and it["status"] != 429]


def is_served(request):
    return request["status"] == 200 and request["complete"]


def unserved_in_calm(history):
    return [it for it in requests_in_calm(history) if not is_served(it)]


def recovered(history, _bounds):
    """Once all faults have been over for long enough, requests are served."""
    after = requests_in_calm(history)
    served = sum(is_served(it) for it in after)
    if len(after) < 20:
        return [f"only {len(after)} requests after the last fault"]
    return [] if served >= 0.95 * len(after) else [f"{served} of {len(after)} served {RECOVERY:.0f} s after the last fault"]


def all_servers_used(history, _bounds):
    """Once all faults have been over for long enough, each server that is ready gets requests."""
    begin = calm_since(history) + RECOVERY
    used = {it["server"] for it in history.arrivals if it["at"] > begin and it["end"] != "misdirected"}
    return [f"{it} got no request from {RECOVERY:.0f} s after the last fault on" for it in history.ready if it not in used]


def crashing_requests_rest(history, _bounds):
    """Requests that crash servers stop reaching servers, and no other request is refused for them."""
    breaches = [f"{it['id']}: {it['kind']} of {it['entry']} was refused" for it in history.requests if it["status"] == 400]
    entries = {it["id"]: name_of(it) for it in history.crashing}
    enough = ENOUGH_BY_PART if history.crashing_by_part else ENOUGH_BY_REQUEST
    # No entry that runs on has the verdict after all were killed.
    begins = [0.0] + [it["at"] for it in history.faults if it["kind"] == "all killed"]
    for begin, end in zip(begins, begins[1:] + [float("inf")]):
        crashes = sorted((it["at"], it["id"]) for it in history.crashes if begin <= it["at"] < end)
        if len(crashes) <= enough:
            continue
        known = crashes[enough - 1][0]
        late = [(at, name) for at, name in crashes if at > known + STABLE
                and not disturbed(history, {entries.get(name, "")}, known, at, planned=True)]
        if len(late) > MAX_LATE:
            breaches.append(f"{len(late)} crashes later than {STABLE:.0f} s after the one of {known:.1f} s, the last at {late[-1][0]:.1f} s")
    return breaches


def ran_throughout(history, _bounds):
    """No process ends by itself, and those that are to end do so in time."""
    return [f"{it['name']} {it['how']} at {it['at']:.1f} s" for it in history.exits]


CHECKS = (whole_answers, answers_are_well_formed, run_once, not_run_is_true, own_requests, leaving_ends_work,
          leaving_stops_servers, time_left_is_told, limits_kept, repeats_in_budget,
          drained_servers_rest, configuration_kept, configuration_obeyed, stopping_cuts_nothing, answered_in_time, recovered,
          all_servers_used, crashing_requests_rest, ran_throughout)


def check_all(history, bounds):
    """Returns the breaches by the name of their check."""
    return {check.__name__: check(history, bounds) for check in CHECKS}


def as_json(history):
    """The history as text, for a report that can be looked at again."""
    def plain(value):
        return value.decode(errors="replace") if isinstance(value, bytes) else str(value)
    return json.dumps({name: getattr(history, name) for name in ("faults", "changes", "reads", "lists", "exits", "requests", "arrivals", "crashing",
                                                             "crashes")},
                      default=plain)
