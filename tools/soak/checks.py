"""The promises, checked from what callers were told and upstreams ran.

Each check gives a list of findings; empty means kept."""

import collections

from .engine import event_count, plain_answer

PROMISES = (408, 421, 429, 503)
# Prefixes of routes whose requests run once at most.
ONCE = ("/book/", "/stream/", "/slow/", "/long/")
# Times in seconds, from the settings that the soak gives its hosts.
KEY_LIFETIME = 5.0
APPLY_LIMIT = 2.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 50
BUDGET_WINDOW = 10.0
LEAVING_LIMIT = 0.5
# From so long after an upstream has named a limit, it gets no more in a window
# than so much of it, and some requests.
LIMIT_LEARNT = 3.0
LIMIT_WINDOW = 4.0
LIMIT_SHARE = 1.5
LIMIT_EXTRA = 5
LIMIT_HEARD = 1.0
STOP_LIMIT = 8.0
# A request that was wholly sent so long before its connection ended was read.
LOSS_SLACK = 0.2
# A caller that goes on with a connection so soon finds it open: a stopping
# host waits for half a second, and no idle limit of the soak is shorter.
SOON = 0.3
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
        if len(runs) > 1 and runs[0].path.startswith(ONCE)
    ]


def not_run_is_true(site):
    by_id = runs_by_id(site)
    return [
        f"{t.id} ({t.path}) was told {t.status} and ran"
        for t in site.told
        if t.status in PROMISES and by_id.get(t.id) and t.path.startswith(ONCE)
    ]


def answers_are_whole(site):
    found = []
    for t in site.told:
        if t.status != 200 or not t.whole:
            continue
        if t.path.startswith(("/stream/", "/resume/", "/long/")):
            want = "".join(f"id: {n}\ndata: {t.id} {n}\n\n" for n in range(1, event_count(t.path) + 1))
        else:
            want = plain_answer(t.path, t.id)
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


def limits_are_kept(site):
    found = []
    for engine, limit, since, until in site.limits:
        arrivals = [at for at, _ in engine.arrivals if since + LIMIT_LEARNT <= at < until]
        allowed = LIMIT_SHARE * limit * LIMIT_WINDOW + LIMIT_EXTRA
        for begin in arrivals:
            end = begin + LIMIT_WINDOW
            got = sum(begin <= at < end for at in arrivals)
            # A host that has started anew has to hear of the limit first.
            starts = any(begin - LIMIT_HEARD < started < end for _, _, started in site.stops)
            calm = not starts and not site.harmed(begin - LIMIT_HEARD, end)
            if got > allowed and calm:
                found.append(f"{engine.name} named {limit} a second and got {got} in {LIMIT_WINDOW} s")
                break
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


def is_cut(t):
    """The connection ended, by the host, without a complete answer."""
    return t.ended is not None and not t.left and not t.whole and t.status in (None, 200)


def time_allowed(site, t):
    """The shortest of its deadline and the timeouts of its route that may have been in force."""
    if t.path.startswith(("/big/", "/long/")):
        return t.deadline
    ends = [at for at, _ in site.configurations[1:]] + [float("inf")]
    in_force = [timeout for (at, timeout), end in zip(site.configurations, ends)
                if at <= t.ended and t.sent < end + APPLY_LIMIT]
    return min([t.deadline, *in_force])


def may_be_cut(site, t, runs):
    """What allows a host to end an answer: its upstream, the time, or the last sixth of its stop."""
    if site.harmed(t.sent - 1.0, t.ended) or any(run.broke_off for run in runs):
        return True
    worked_until = max((run.ended or site.now() for run in runs), default=0)
    at_the_limit = any(host == t.host and begin < t.ended and t.sent <= begin + 3.0
                       and worked_until >= begin + STOP_LIMIT * 5 / 6 for host, begin, _ in site.stops)
    return at_the_limit or t.ended - t.sent >= time_allowed(site, t)


def planned_work(site, t):
    """What was planned at the request's host while it was open, or None."""
    for host, begin, end in site.stops:
        if host == t.host and begin < t.ended and t.sent < min(end, begin + STOP_LIMIT + 1.0):
            return f"{t.ended - begin:.2f} s after a planned stop began"
    for host, at in site.reloads:
        if host == t.host and t.sent < at + APPLY_LIMIT and at < t.ended:
            return f"{t.ended - at:.2f} s after a reload"
    for at, _ in site.configurations:
        if at < t.ended < at + APPLY_LIMIT + 1.0:
            return f"{t.ended - at:.2f} s after a change of configuration"
    return None


def planned_work_loses_nothing(site):
    by_id = runs_by_id(site)
    found = []
    for t in filter(is_cut, site.told):
        runs = by_id.get(t.id, [])
        planned = planned_work(site, t)
        was_read = runs or t.ended - t.sent > LOSS_SLACK
        if planned and was_read and not may_be_cut(site, t, runs):
            ran = "ran" if runs else "didn't run"
            found.append(f"{t.id} ({t.path}) at {t.host}, {t.ended - t.sent:.2f} s old, {ran}, was cut {planned}")
    return found


def closed_too_soon(site, after_pause):
    """Requests sent soon after an answer that allowed them, or after the connection was opened, but not taken."""
    found = []
    for t in filter(is_cut, site.told):
        # Whoever connects as the process ends may be too late.
        late = any(host == t.host and min(end, begin + STOP_LIMIT) - 0.5 < t.ended < end + SLACK
                   for host, begin, end in site.stops)
        calm = not late and not site.harmed(t.sent - 1.0, t.ended)
        if t.status is None and t.rested < SOON and t.after_pause == after_pause and calm:
            found.append(f"{t.id} ({t.path}) at {t.host} was cut, sent {t.rested:.3f} s after the answer before")
    return found


def kept_connections_are_kept(site):
    return closed_too_soon(site, False)


def connections_of_paused_readers_are_kept(site):
    """Their idle limit begins when they have the answer, not when the system has taken it."""
    return closed_too_soon(site, True)


def slow_readers_get_all(site):
    by_id = runs_by_id(site)
    return [
        f"{t.id} at {t.host} was cut {t.ended - t.sent:.2f} s after it was sent, its caller pausing"
        for t in site.told
        if t.path.startswith("/big/") and is_cut(t) and t.status and not may_be_cut(site, t, by_id.get(t.id, []))
    ]


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
    limits_are_kept,
    retries_keep_to_budget,
    planned_work_loses_nothing,
    kept_connections_are_kept,
    slow_readers_get_all,
    requests_are_answered,
)

# Checks of faults that are not mended yet: KNOWN-RED.txt.
KNOWN_RED = (connections_of_paused_readers_are_kept,)
