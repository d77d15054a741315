"""Checks of the router's guarantees against the records of a run.

Each check returns a list of findings, empty if the guarantee holds."""

import collections
import math
import re

from . import teams
from .engine import STREAMS, event_count, plain_answer
from .streams import expected_text, versions, without_versions

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)
# Prefixes of routes whose requests run at most once.
AT_MOST_ONCE = ("/book/", "/stream/", "/slow/", "/long/", "/prompt/", "/team/", "/chat/")
# Times (s) and ratios. They match the settings of the hosts in the soak.
KEY_LIFETIME = 5.0
APPLY_LIMIT = 2.5
RETRY_RATIO = 0.2
RETRY_EXTRA = 50
BUDGET_WINDOW = 10.0
LEAVING_LIMIT = 0.5
# LIMIT_EFFECT_DELAY after an upstream has advertised a limit, it receives in
# each LIMIT_WINDOW at most LIMIT_SHARE times its limit plus LIMIT_EXTRA requests.
LIMIT_EFFECT_DELAY = 3.0
LIMIT_WINDOW = 4.0
LIMIT_SHARE = 1.5
LIMIT_EXTRA = 5
# Time in which a restarted host receives the limit from its peers.
LIMIT_PROPAGATION = 1.0
PAUSE_DELAY = 0.5
STOP_LIMIT = 8.0
# Time from the begin of a fault until hosts must cope with it, and in which it has effects after its end.
CONTACT, RECOVERY = 3.0, 4.0
# Time in which a host must notice lost links and find a way around (docs/incidents/2026-12-recover.md).
DETOUR_TIME = 0.5
# The host has read a request that was sent this long before its connection ended.
READ_DELAY = 0.2
# A caller that reuses a connection within this time finds it open: a stopping
# host waits 0.5 s, and no idle limit of the soak is shorter.
REUSE_TIME = 0.3
# Allowance for scheduling delays of the machine, far above the usual ones.
SCHEDULING_SLACK = 0.3
# Of the requests of teams within their shares, those that may be refused beyond the baseline; of the accepted ones,
# those that may not have begun by their deadline (docs/UNEVEN_LOAD.md, b and d).
MORE_REFUSED, NOT_BEGUN = 0.02, 0.005
# Part of its target that a prompt may wait at a host (docs/UNEVEN_LOAD.md, component 6).
MAX_WAIT_SHARE = 0.125
# Of routes that allow more than one; see Site.publish.
ATTEMPTS = {"/view/": 2, "/big/": 2, "/resume/": 3}
# A bound on a probability is missed if it would give the observed count, or more, in fewer than one of so many runs.
SAMPLE_ERROR = 0.01


def tail(count, trials, probability):
    """The probability of `count` successes or more in so many trials."""
    if count == 0 or probability >= 1.0:
        return 1.0
    hit, missed = math.log(probability), math.log1p(-probability)
    # By logarithms: factorials of large samples exceed the range of a float.
    return sum(math.exp(math.lgamma(trials + 1) - math.lgamma(n + 1) - math.lgamma(trials - n + 1)
                        + n * hit + (trials - n) * missed) for n in range(count, trials + 1))


def upper_bound(count, trials):
    """The largest probability for which `count` successes or fewer are no rarer than SAMPLE_ERROR."""
    low, high = 0.0, 1.0
    for _ in range(40):
        middle = (low + high) / 2
        low, high = (middle, high) if 1.0 - tail(count + 1, trials, middle) >= SAMPLE_ERROR else (low, middle)
    return low


def ordinary_requests(site):
    """All but those of teams that compete, whose refusals and number have checks of their own."""
    return [t for t in site.requests if not t.path.startswith(("/team/", "/chat/"))]


def runs_by_id(site):
    by_id = collections.defaultdict(list)
    for run in site.runs:
        by_id[run.id].append(run)
    return by_id


def runs_once(site):
    return [
        f"{i} ({runs[0].path}) ran {len(runs)} times"
        for i, runs in runs_by_id(site).items()
        if len(runs) > 1 and runs[0].path.startswith(AT_MOST_ONCE)
    ]


def not_run_is_true(site):
    by_id = runs_by_id(site)
    return [
        f"{t.id} ({t.path}) got {t.status} although it ran"
        for t in site.requests
        if t.status in NOT_EXECUTED_STATUSES and by_id.get(t.id) and t.path.startswith(AT_MOST_ONCE)
    ]


def answers_are_whole(site):
    found = []
    for t in site.requests:
        if t.status != 200 or not t.complete:
            continue
        if t.path.startswith(STREAMS):
            got = without_versions(t.body.decode())
            want = expected_text(t.id, range(t.resumed_after + 1, event_count(t.path) + 1))
        else:
            got, want = t.body.decode(), plain_answer(t.path, t.id)
        if got != want:
            same = next((n for n, (a, b) in enumerate(zip(got, want)) if a != b), min(len(got), len(want)))
            found.append(f"{t.id} ({t.path}) got {len(got)} of {len(want)} characters, the first {same} right, "
                         f"then {got[same:same + 48]!r}")
        if not t.service:
            found.append(f"{t.id} got 200 without a Response-Seal")
    return found


def was_in_touch(site, host, at):
    return not any(h == host and begin <= at <= end for h, begin, end in site.host_faults)


def late_guilty_runs(site, crashes, graced):
    """Runs that crash engines, sent by hosts without a fault later than CONTACT after so many crashes."""
    if len(crashes) < graced:
        return []
    bound = crashes[graced - 1] + CONTACT + SCHEDULING_SLACK
    hosts = {t.id: t.host for t in site.requests}
    return [r for r in site.runs if r.is_guilty and r.started > bound and was_in_touch(site, hosts[r.id], r.started)]


def guilty_parts_are_stopped(site):
    """Three requests at most reach engines later than CONTACT after the fifth crash, from hosts without a fault."""
    late = late_guilty_runs(site, site.part_crashes, 5)
    return [f"{len(late)} requests with a part that crashes engines ran after its fifth crash"] if len(late) > 3 else []


def guilty_requests_are_stopped(site):
    """A request that crashes engines reaches three at most later than CONTACT after the third crash."""
    late = late_guilty_runs(site, site.request_crashes, 3)
    return [f"a request that crashes engines ran {len(late)} times after its third crash"] if len(late) > 3 else []


def sound_requests_are_not_quarantined(site):
    return [f"{t.id} ({t.path}) was refused: {t.body[:80]!r}" for t in site.requests
            if not t.is_guilty and b"quarantined" in t.body]


def sound_parts_are_served(site):
    """No request without such a part is kept from the engines."""
    return [f"{t.id} was refused for a part: {t.body[:80]!r}" for t in site.requests
            if t.path.startswith("/prompt/") and not t.is_guilty and b"part_kept_back" in t.body]


def removed_keys_are_dead(site):
    sent = {t.id: t for t in site.requests}
    found = []
    for run in site.runs:
        t = sent.get(run.id)
        if t is None:
            found.append(f"{run.id} ran but no caller sent it")
        elif t.key in site.revoked_keys and t.sent > site.revoked_keys[t.key] + KEY_LIFETIME:
            found.append(f"{t.id} ran {t.sent - site.revoked_keys[t.key]:.2f} s after its key was removed")
    return found


def work_ends_with_its_caller(site):
    by_id = runs_by_id(site)
    found = []
    for t in site.requests:
        for run in by_id.get(t.id, ()):
            late = (run.ended or site.now()) - t.ended if t.ended else 0
            if t.caller_left and late > LEAVING_LIMIT + SCHEDULING_SLACK and not site.had_fault(t.ended, t.ended + 1.0):
                found.append(f"{t.id} ({t.path}) was processed for {late:.2f} s after its caller disconnected")
    return found


def configuration_is_in_force(site):
    sent = {t.id: t for t in site.requests}
    found = []
    for run in site.runs:
        t = sent.get(run.id)
        if t is None or not t.path.startswith("/book/"):
            continue
        for moved, service in site.moves:
            later = [m for m, _ in site.moves if m > moved]
            ends = min(later) if later else float("inf")
            is_fault_free = not site.had_fault(moved - 3.0, t.sent)
            if (t.sent > moved + APPLY_LIMIT + SCHEDULING_SLACK and t.sent < ends and is_fault_free
                    and run.service != service):
                found.append(f"{t.id} ran at {run.service} {t.sent - moved:.2f} s after the route moved")
    return found


def leaving_engines_are_left(site):
    found = []
    for engine, drained in site.drained_at.items():
        for at, request_id in engine.arrivals:
            if at > drained + APPLY_LIMIT + SCHEDULING_SLACK and not site.had_fault(drained - 3.0, at):
                found.append(f"{request_id} reached {engine.name} {at - drained:.2f} s after it started draining")
    return found


def is_excused(site, host, begin, end):
    """Whether the host may have forgotten or not known: it stopped, had no links, or there was another fault."""
    is_stopped = any(h == host and a < end and begin < b for h, a, b in site.stops)
    is_cut = any(host in hosts and a < end and begin < b for hosts, a, b in site.partitions)
    return is_stopped or is_cut or site.had_other_fault(begin, end)


def engines_that_say_they_leave_are_left(site):
    """By each host, later than APPLY_LIMIT after it has passed such an answer on."""
    sent = {t.id: t for t in site.requests}
    found = []
    for engine in site.engines:
        heard_at = {}
        for at, request_id in engine.said_leaving:
            t = sent.get(request_id)
            if t is None or t.status is None:
                continue
            heard = heard_at.setdefault(t.host, t.ended)
            if t.sent > heard + APPLY_LIMIT and not is_excused(site, t.host, heard, at):
                found.append(f"{t.id} at {t.host} reached {engine.name} {t.sent - heard:.2f} s after it was told")
    return found


def pauses_are_kept(site):
    """At most two requests reach an engine from a host from PAUSE_DELAY after it has asked for a pause to its end."""
    hosts = {t.id: t.host for t in site.requests}
    found = []
    for engine in site.engines:
        for asked, request_id, seconds in engine.pauses:
            host, end = hosts.get(request_id), asked + seconds
            got = [i for at, i in engine.arrivals if asked + PAUSE_DELAY < at < end and hosts.get(i) == host]
            if len(got) > 2 and not is_excused(site, host, asked, end):
                found.append(f"{engine.name} asked {host} for {seconds} s and got {len(got)} requests: {got[:5]}")
    return found


def limits_are_kept(site):
    found = []
    for engine, limit, since, until in site.limits:
        arrivals = [at for at, _ in engine.arrivals if since + LIMIT_EFFECT_DELAY <= at < until]
        allowed = LIMIT_SHARE * limit * LIMIT_WINDOW + LIMIT_EXTRA
        for begin in arrivals:
            end = begin + LIMIT_WINDOW
            received = sum(begin <= at < end for at in arrivals)
            # A restarted host has to receive the limit first.
            has_start = any(begin - LIMIT_PROPAGATION < started < end for _, _, started in site.stops)
            is_fault_free = not has_start and not site.had_fault(begin - LIMIT_PROPAGATION, end)
            if received > allowed and is_fault_free:
                found.append(f"{engine.name} advertised {limit} per second and received {received} in {LIMIT_WINDOW} s")
                break
    return found


def retries_keep_to_budget(site):
    arrivals = {}
    retry_times = []
    for engine in site.engines:
        for at, request_id in engine.arrivals:
            arrivals.setdefault(request_id, []).append(at)
    for times in arrivals.values():
        retry_times += sorted(times)[1:]
    retry_times.sort()
    sent = sorted(t.sent for t in ordinary_requests(site))
    for begin in retry_times:
        retries = sum(begin <= s < begin + BUDGET_WINDOW for s in retry_times)
        requests = sum(begin - BUDGET_WINDOW <= s < begin + BUDGET_WINDOW for s in sent)
        if retries > RETRY_RATIO * requests + RETRY_EXTRA:
            return [f"{retries} retries in {BUDGET_WINDOW} s for {requests} requests"]
    return []


def is_cut(t):
    """Whether the host ended the connection without a complete answer."""
    return t.ended is not None and not t.caller_left and not t.complete and t.status in (None, 200)


def time_limit(site, t):
    """The minimum of the deadline and the route timeouts that may have been in force."""
    if t.path.startswith(("/big/", "/long/")):
        return t.deadline
    ends = [at for at, _ in site.configurations[1:]] + [float("inf")]
    in_force = [timeout for (at, timeout), end in zip(site.configurations, ends)
                if at <= t.ended and t.sent < end + APPLY_LIMIT]
    return min([t.deadline, *in_force])


def may_be_cut(site, t, runs):
    """Whether the host may end the answer: its upstream failed, its time is up, or the last 1/6 of STOP_LIMIT began."""
    if site.had_fault(t.sent - 1.0, t.ended) or any(run.upstream_aborted for run in runs):
        return True
    processed_until = max((run.ended or site.now() for run in runs), default=0)
    is_stop_ending = any(host == t.host and begin < t.ended and t.sent <= begin + 3.0
                         and processed_until >= begin + STOP_LIMIT * 5 / 6 for host, begin, _ in site.stops)
    return is_stop_ending or t.ended - t.sent >= time_limit(site, t)


def planned_operation(site, t):
    """Describes the planned operation at the request's host while it was open, or returns None."""
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
    for t in filter(is_cut, site.requests):
        runs = by_id.get(t.id, [])
        planned = planned_operation(site, t)
        was_read = runs or t.ended - t.sent > READ_DELAY
        if planned and was_read and not may_be_cut(site, t, runs):
            ran = "ran" if runs else "did not run"
            found.append(f"{t.id} ({t.path}) at {t.host}, {t.ended - t.sent:.2f} s old, {ran}, was cut {planned}")
    return found


def closed_too_soon(site, after_pause):
    """Requests lost on a connection that was opened, or whose previous answer was complete, within REUSE_TIME."""
    found = []
    for t in filter(is_cut, site.requests):
        # A caller that connects while the process ends may be too late.
        is_late = any(host == t.host and min(end, begin + STOP_LIMIT) - 0.5 < t.ended < end + SCHEDULING_SLACK
                      for host, begin, end in site.stops)
        is_fault_free = not is_late and not site.had_fault(t.sent - 1.0, t.ended)
        if t.status is None and t.idle_time < REUSE_TIME and t.after_paused_read == after_pause and is_fault_free:
            found.append(f"{t.id} ({t.path}) at {t.host} was cut, sent {t.idle_time:.3f} s after the previous answer")
    return found


def kept_connections_are_kept(site):
    return closed_too_soon(site, False)


def connections_of_paused_readers_are_kept(site):
    """The idle limit starts when the caller has the answer, not when the system has buffered it."""
    return closed_too_soon(site, True)


def slow_readers_get_all(site):
    by_id = runs_by_id(site)
    return [
        f"{t.id} at {t.host} was cut {t.ended - t.sent:.2f} s after it was sent, while its caller paused"
        for t in site.requests
        if t.path.startswith("/big/") and is_cut(t) and t.status and not may_be_cut(site, t, by_id.get(t.id, []))
    ]


def first_tries(site, hosts, begin, end):
    """How many requests at the hosts were sent in this time by callers that stayed, and how many were served."""
    sent = [t for t in ordinary_requests(site)
            if t.host in hosts and begin <= t.sent < end and t.ended and not t.caller_left]
    return len(sent), sum(t.status == 200 and t.complete for t in sent)


def hosts_without_links_serve(site):
    found = []
    for hosts, begin, end in site.partitions:
        begin, end = begin + CONTACT, end - RECOVERY
        others = {t.host for t in site.requests} - set(hosts)
        if site.had_other_fault(begin - CONTACT, end) or any(a < end and begin < b for _, a, b in site.stops):
            continue
        sent, served = first_tries(site, hosts, begin, end)
        sent_elsewhere, served_elsewhere = first_tries(site, others, begin, end)
        failed = sent + sent_elsewhere - served - served_elsewhere
        is_worse = served * sent_elsewhere * 3 < served_elsewhere * sent * 2
        if is_worse and failed > 10 + (sent + sent_elsewhere) / 50:
            found.append(f"{sorted(hosts)} without links served {served} of {sent}, "
                         f"the others {served_elsewhere} of {sent_elsewhere}")
    return found


def brittle_engines_stay_up(site):
    found = []
    for engines, begin, end in site.brittle_times:
        crashes = sum(begin + CONTACT <= at < end for engine in engines for at in engine.crashes)
        if crashes > 2 + len(engines) / 10:
            found.append(f"{crashes} crashes of {len(engines)} engines that bear few rejections")
    return found


def streams_by_first_id(site):
    """The attempts of each stream that began, in order, by the id of the one that brought its first event."""
    streams = collections.defaultdict(list)
    for t in site.requests:
        if t.path.startswith("/resume/") and (t.resumes or versions(t.body)):
            streams[t.resumes or t.id].append(t)
    return streams


def streams_keep_their_version(site):
    """In one answer and over a caller's attempts. No fault excuses two versions."""
    found = []
    for first, attempts in streams_by_first_id(site).items():
        seen = set().union(*(versions(t.body) for t in attempts))
        if len(seen) > 1:
            found.append(f"{first} holds events of {sorted(seen)}, at {[t.host for t in attempts]}")
    return found


def has_just_lost_links(site, t):
    """Whether the host was cut from the upstreams so shortly before that it need not cope yet."""
    return any(t.host in hosts and begin - 1.0 <= t.sent < begin + CONTACT for hosts, begin, _ in site.partitions)


def has_just_lost_detour(site, t):
    """Whether a host with links was killed so shortly before that a host without links need not have another way."""
    cut_off = [hosts for hosts, begin, end in site.partitions
               if t.host in hosts and begin <= t.sent < end - RECOVERY]
    # Which version began a stream doesn't depend on links.
    is_version_refusal = b'"version_' in t.body
    return not is_version_refusal and any(killed not in hosts and at <= t.sent < at + DETOUR_TIME
                                          for hosts in cut_off for killed, at in site.kills)


def resumable_attempts(site):
    """Attempts of resumable streams whose callers stayed, at hosts that must reach the upstreams."""
    return [t for t in site.requests if t.path.startswith("/resume/") and t.ended and not t.caller_left
            and not has_just_lost_links(site, t) and not has_just_lost_detour(site, t)]


def takeovers(site):
    """(attempts that take streams up while two engines of their version serve, how many of them go on)."""
    taken = [t for t in resumable_attempts(site) if t.resumes and t.could_go_on]
    return len(taken), sum(t.status == 200 for t in taken)


def taken_up_streams_go_on(site):
    """At least half as often as new ones begin."""
    taken, went_on = takeovers(site)
    new = [t for t in resumable_attempts(site) if not t.resumes]
    began = sum(t.status == 200 for t in new)
    if taken >= 12 and went_on * len(new) * 2 < began * taken:
        return [f"{went_on} of {taken} streams that were taken up went on, {began} of {len(new)} new ones began"]
    return []


def requests_are_answered(site):
    sent = ordinary_requests(site)
    served = sum(t.status == 200 and t.complete for t in sent)
    return [] if served > len(sent) / 4 else [f"{served} of {len(sent)} were served"]


def refusals(site, service, begin, end, is_counted):
    """(refused, sent) of the teams' long prompts at a service in some seconds."""
    sent = [t for t in site.requests if t.path.startswith(f"/team/{service}/") and begin <= t.sent < end
            and is_counted(t) and not t.caller_left]
    return sum(t.status in NOT_EXECUTED_STATUSES for t in sent), len(sent)


def burst_refusals(site):
    """Of each burst: the refusals of its team, of the other teams beside it, and of these at the baseline."""
    result = []
    for team, begin, end in site.bursts:
        def is_own(t):
            return t.key == teams.key_of(team)

        def is_other(t):
            return not is_own(t)

        result.append((team, refusals(site, teams.BURST_SERVICE, begin, end, is_own),
                       refusals(site, teams.BURST_SERVICE, begin, end, is_other),
                       refusals(site, teams.BASELINE_SERVICE, begin, end, is_other)))
    return result


def teams_within_their_share_are_not_refused(site):
    """At most MORE_REFUSED more often beside a team above its share than at the baseline. Both samples are small: the
    baseline counts with the upper bound of its probability, and the other sample is judged by its binomial tail."""
    found = []
    for team, _, (refused, sent), (usual, usual_sent) in burst_refusals(site):
        allowed = upper_bound(usual, usual_sent) + MORE_REFUSED if usual_sent else 1.0
        if tail(refused, sent, allowed) < SAMPLE_ERROR:
            found.append(f"beside {team}, {refused} of {sent} requests of other teams were refused, "
                         f"{usual} of {usual_sent} at the baseline")
    return found


def lies_unread(site, t, runs):
    """Whether a request that reached an engine had not begun when its time was up."""
    limit = t.sent + time_limit(site, t)
    was_up = t.status == 504 or t.ended >= limit - SCHEDULING_SLACK
    return was_up and not any(run.begun is not None and run.begun <= limit for run in runs)


def is_excused_unread(site, t, runs):
    """Whether an engine of the request had a fault in its time, or a fault kept it on the way there until after that:
    a silent link delivers what it holds when it is repaired."""
    until = t.sent + time_limit(site, t)
    was_on_its_way = all(run.started > until for run in runs) and site.had_fault(t.sent, t.ended)
    return was_on_its_way or any(name == run.engine and begin < until and t.sent < end
                                 for run in runs for name, begin, end in site.engine_faults)


def accepted(site):
    """Requests that reached engines without a fault and whose callers stayed, and their runs."""
    by_id = runs_by_id(site)
    return [(t, by_id[t.id]) for t in site.requests if t.id in by_id and t.ended is not None and not t.caller_left
            and not is_excused_unread(site, t, by_id[t.id])]


def accepted_requests_begin(site):
    """At most NOT_BEGUN of them don't, beyond what the binomial tail of the sample allows."""
    sent = accepted(site)
    unread = [t for t, runs in sent if lies_unread(site, t, runs)]
    if tail(len(unread), len(sent), NOT_BEGUN) >= SAMPLE_ERROR:
        return []
    return [f"{len(unread)} of {len(sent)} accepted requests had not begun by their deadline: "
            f"{[(t.id, t.path) for t in unread[:5]]}"]


def team_summary(site):
    """What the checks of teams counted, as key=value pairs."""
    sent = accepted(site)
    pairs = [f"accepted={len(sent)} not_begun={sum(lies_unread(site, t, runs) for t, runs in sent)}"]
    for team, own, others, baseline in burst_refusals(site):
        counts = {"refused": own, "others_refused": others, "baseline_refused": baseline}
        pairs += [f"burst={team}", *(f"{name}={refused}/{count}" for name, (refused, count) in counts.items())]
    return " ".join(pairs)


def waits_at_hosts_are_short(site):
    """A prompt that finds no room is refused within MAX_WAIT_SHARE of its target, so that its caller has time left for
    another host (docs/UNEVEN_LOAD.md, component 6)."""
    found = []
    for t in site.requests:
        target = teams.TARGETS.get(t.path.split("/")[1])
        is_refused = t.status == 503 and (b"too_late" in t.body or b"over_share" in t.body)
        is_host_sound = was_in_touch(site, t.host, t.sent) and was_in_touch(site, t.host, t.ended)
        if target is None or not is_refused or not is_host_sound:
            continue
        wait = t.ended - t.sent
        if wait > MAX_WAIT_SHARE * target + SCHEDULING_SLACK:
            found.append(f"{t.id} ({t.path}) was refused after {wait:.2f} s")
    return found


def repeats_keep_to_attempts(site):
    """A request runs no more often than its route allows, withdrawn or not (component 7)."""
    by_id = runs_by_id(site)
    return [f"{i} ({runs[0].path}) ran {len(runs)} times" for i, runs in by_id.items()
            if len(runs) > ATTEMPTS.get(f"/{runs[0].path.split('/')[1]}/", 1)]


def ends_in_logs(site, pattern):
    """The lines of hosts' logs about ended requests that match `pattern`."""
    lines = []
    for host in site.hosts:
        with open(host.log_path, encoding="utf-8", errors="replace") as log:
            lines += [line for line in log if "request_ended" in line and re.search(pattern, line)]
    return lines


def withdrawn_requests_may_have_run(site):
    """The answer to a request that was withdrawn from an engine never says that it hasn't run (component 7)."""
    lines = ends_in_logs(site, r" withdrawn=1\b")
    withdrawn = {match[1] for match in (re.search(r"\bid=(\S+)", line) for line in lines) if match}
    return [f"{t.id} ({t.path}) was withdrawn and got {t.status}" for t in site.requests
            if t.id in withdrawn and t.status in NOT_EXECUTED_STATUSES]


def host_log_summary(site):
    """How many requests waited at hosts and were withdrawn from engines: the checks of both judge nothing without."""
    return (f"host_waits={len(ends_in_logs(site, r' host_wait_ms=[1-9]'))} "
            f"withdrawn={len(ends_in_logs(site, r' withdrawn=1'))}")


ALL = (
    runs_once,
    not_run_is_true,
    answers_are_whole,
    removed_keys_are_dead,
    work_ends_with_its_caller,
    configuration_is_in_force,
    leaving_engines_are_left,
    engines_that_say_they_leave_are_left,
    pauses_are_kept,
    limits_are_kept,
    retries_keep_to_budget,
    planned_work_loses_nothing,
    kept_connections_are_kept,
    connections_of_paused_readers_are_kept,
    slow_readers_get_all,
    hosts_without_links_serve,
    brittle_engines_stay_up,
    streams_keep_their_version,
    taken_up_streams_go_on,
    guilty_parts_are_stopped,
    sound_parts_are_served,
    guilty_requests_are_stopped,
    sound_requests_are_not_quarantined,
    requests_are_answered,
    accepted_requests_begin,
    waits_at_hosts_are_short,
    repeats_keep_to_attempts,
    withdrawn_requests_may_have_run,
)

# Checks that fail because of known faults, listed in KNOWN-RED.txt.
KNOWN_RED = (teams_within_their_share_are_not_refused,)
# Seeds in which a check fails because of such a fault.
KNOWN_RED_SEEDS = {requests_are_answered: (3, 15, 16)}
