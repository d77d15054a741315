"""The promises, checked from what callers were told and upstreams ran.

Each check gives a list of findings; empty means kept."""

import collections

PROMISES = (408, 421, 429, 503)
# Times in seconds, from the settings that the soak gives its hosts.
KEY_LIFETIME = 5.0
APPLY_LIMIT = 2.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 50
BUDGET_WINDOW = 10.0
LEAVING_LIMIT = 0.5
# Scheduling of this machine, far above what its runs showed.
SLACK = 0.3


def runs_by_id(site):
    by_id = collections.defaultdict(list)
    for run in site.runs:
        by_id[run.id].append(run)
    return by_id


def runs_once(site):
    return [
        f"{i} ({runs[0].path}) ran {len(runs)} times"
        for i, runs in runs_by_id(site).items()
        if len(runs) > 1 and runs[0].path.startswith(("/book/", "/stream/"))
    ]


def not_run_is_true(site):
    by_id = runs_by_id(site)
    return [
        f"{t.id} ({t.path}) was told {t.status} and ran"
        for t in site.told
        if t.status in PROMISES and by_id.get(t.id) and t.path.startswith(("/book/", "/stream/"))
    ]


def answers_are_whole(site):
    found = []
    for t in site.told:
        if t.status != 200 or not t.whole:
            continue
        if t.path.startswith(("/stream/", "/resume/")):
            want = "".join(f"id: {n}\ndata: {t.id} {n}\n\n" for n in range(1, 21))
        else:
            want = f"{t.path} by {t.id}"
        if t.body.decode() != want:
            found.append(f"{t.id} ({t.path}) got {t.body[:80]!r}")
        if not t.service:
            found.append(f"{t.id} got a success without a seal")
    return found


def removed_keys_are_dead(site):
    sent = {t.id: t for t in site.told}
    found = []
    for run in site.runs:
        t = sent.get(run.id)
        if t is None:
            found.append(f"{run.id} ran and nobody sent it")
        elif t.key in site.revoked and t.sent > site.revoked[t.key] + KEY_LIFETIME:
            found.append(f"{t.id} ran {t.sent - site.revoked[t.key]:.2f} s after its key was removed")
    return found


def work_ends_with_its_caller(site):
    by_id = runs_by_id(site)
    found = []
    for t in site.told:
        for run in by_id.get(t.id, ()):
            late = (run.ended or site.now()) - t.ended if t.ended else 0
            if t.left and late > LEAVING_LIMIT + SLACK and not site.harmed(t.ended, t.ended + 1.0):
                found.append(f"{t.id} ({t.path}) was worked on {late:.2f} s after its caller left")
    return found


def configuration_is_in_force(site):
    sent = {t.id: t for t in site.told}
    found = []
    for run in site.runs:
        t = sent.get(run.id)
        if t is None or not t.path.startswith("/book/"):
            continue
        for moved, service in site.moves:
            later = [m for m, _ in site.moves if m > moved]
            ends = min(later) if later else float("inf")
            calm = not site.harmed(moved - 3.0, t.sent)
            if t.sent > moved + APPLY_LIMIT + SLACK and t.sent < ends and calm and run.service != service:
                found.append(f"{t.id} ran at {run.service} {t.sent - moved:.2f} s after the route moved")
    return found


def leaving_engines_are_left(site):
    found = []
    for engine, left in site.left_at.items():
        for at, request_id in engine.arrivals:
            if at > left + APPLY_LIMIT + SLACK and not site.harmed(left - 3.0, at):
                found.append(f"{request_id} reached {engine.name} {at - left:.2f} s after it left")
    return found


def retries_keep_to_budget(site):
    first = {}
    seconds = []
    for engine in site.engines:
        for at, request_id in engine.arrivals:
            first.setdefault(request_id, []).append(at)
    for times in first.values():
        seconds += sorted(times)[1:]
    seconds.sort()
    sent = sorted(t.sent for t in site.told)
    for begin in seconds:
        spent = sum(begin <= s < begin + BUDGET_WINDOW for s in seconds)
        asked = sum(begin - BUDGET_WINDOW <= s < begin + BUDGET_WINDOW for s in sent)
        if spent > RETRY_RATIO * asked + RETRY_EXTRA:
            return [f"{spent} second sends in {BUDGET_WINDOW} s for {asked} requests"]
    return []


def planned_stops_cut_nothing(site):
    found = []
    for host, begin, end in site.stops:
        for t in site.told:
            if t.host != host or t.left or t.whole or not begin - 2.5 < t.sent < begin + 3.0:
                continue
            if t.ended and t.ended > begin and t.status in (None, 200) and not site.harmed(t.sent - 1.0, t.ended):
                # A request that crosses the end of an idle connection was
                # not read: no upstream has it.
                if any(run.id == t.id for run in site.runs):
                    found.append(f"{t.id} ({t.path}) at {host} was cut by its planned stop")
    return found


def requests_are_answered(site):
    served = sum(t.status == 200 and t.whole for t in site.told)
    return [] if served > len(site.told) / 4 else [f"{served} of {len(site.told)} were served"]


ALL = (
    runs_once,
    not_run_is_true,
    answers_are_whole,
    removed_keys_are_dead,
    work_ends_with_its_caller,
    configuration_is_in_force,
    leaving_engines_are_left,
    retries_keep_to_budget,
    planned_stops_cut_nothing,
    requests_are_answered,
)
