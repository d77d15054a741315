"""Each check of the soak detects the fault it is meant for."""

import asyncio
import os
import random
import sys
import tempfile
import time
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", ".."))

from tools.soak import checks  # noqa: E402
from tools.soak.caller import Caller  # noqa: E402
from tools.soak.engine import Engine  # noqa: E402
from tools.soak.http import reset  # noqa: E402
from tools.soak.link import OPEN, REFUSING_NEW, Link  # noqa: E402
from tools.soak.site import Site  # noqa: E402


def request(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, key="k", host="h0", sent=100.0, ended=100.1,
                  status=200, service="i-0", body=b"/book/x by r1", complete=True, caller_left=False, deadline=2.5,
                  idle_time=0.1, after_paused_read=False, resumes="", resumed_after=0, could_go_on=False,
                  is_guilty=False)
    values.update(more)
    return types.SimpleNamespace(**values)


def run(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, engine="i-0", service="s0", team="desk",
                  started=100.0, ended=100.1, resumed_after=0, upstream_aborted=False, is_guilty=False, begun=100.0)
    values.update(more)
    return types.SimpleNamespace(**values)


def site(requests, runs, **more):
    values = dict(requests=requests, runs=runs, revoked_keys={}, moves=[], stops=[], drained_at={}, engines=[],
                  limits=[], partitions=[], brittle_times=[], part_crashes=[], request_crashes=[], host_faults=[], kills=[], bursts=[], engine_faults=[], hosts=[], had_other_fault=lambda begin, end: False, reloads=[], configurations=[(0.0, 2.5)], had_fault=lambda begin, end: False,
                  now=lambda: 200.0)
    values.update(more)
    return types.SimpleNamespace(**values)


class UnevenLoad(unittest.TestCase):
    def test_a_prompt_that_is_refused_late(self):
        late = request(path="/chat/s2/", status=503, body=b'"too_late"', ended=100.5)
        self.assertTrue(checks.waits_at_hosts_are_short(site([late], [])))
        late.ended = 100.3
        self.assertFalse(checks.waits_at_hosts_are_short(site([late], [])))

    def test_a_request_that_runs_more_often_than_its_route_allows(self):
        self.assertTrue(checks.repeats_keep_to_attempts(site([], [run(path="/view/x")] * 3)))
        self.assertFalse(checks.repeats_keep_to_attempts(site([], [run(path="/view/x")] * 2)))

    def test_a_withdrawn_request_that_is_said_not_to_have_run(self):
        with tempfile.NamedTemporaryFile("w", suffix=".log") as log:
            log.write("t=1 event=request_ended id=r1 withdrawn=1 not_withdrawn=\n"
                      "t=1 event=request_ended id=r2 withdrawn=0 not_withdrawn=late\n")
            log.flush()
            refused = [request(i, path="/view/x", status=503) for i in ("r1", "r2")]
            found = checks.withdrawn_requests_may_have_run(
                site(refused, [], hosts=[types.SimpleNamespace(log_path=log.name)]))
        self.assertEqual(len(found), 1)


class Links(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.site = Site(random.Random(1), "none", self.folder.name, 1, 1)
        self.host = self.site.hosts[0]

    def tearDown(self):
        self.site.end()
        self.folder.cleanup()

    async def test_a_link_added_during_a_cut_is_cut(self):
        for name in ("i-0", "i-1"):
            await self.host.add_link(name, Link(1, self.site.ports.allocate()))
        await asyncio.gather(self.host.cut_links(REFUSING_NEW),
                             self.host.add_link("i-2", Link(1, self.site.ports.allocate())))
        self.assertEqual([None] * 3, [link.server for link in self.host.links.values()])

    async def test_changes_of_a_link_that_overlap(self):
        link = Link(1, self.site.ports.allocate())
        await link.start()
        await asyncio.gather(*(link.set_state(state) for state in (REFUSING_NEW, OPEN, REFUSING_NEW, OPEN)))
        await link.set_state(REFUSING_NEW)
        with self.assertRaises(OSError):
            await asyncio.open_connection("127.0.0.1", link.port)

    async def test_an_error_of_the_soak_is_a_finding(self):
        async def fail():
            raise RuntimeError("changed size")

        self.site.actions.append(asyncio.ensure_future(fail()))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(1, len(self.site.failed_actions()))


class Checks(unittest.TestCase):
    def test_late_guilty_parts_are_found(self):
        crashes = [100.0, 100.2, 100.4, 100.6, 100.8]
        ids = [f"r{n}" for n in range(4)]
        sent = [request(i, path="/prompt/x", is_guilty=True) for i in ids]
        late = [run(i, path="/prompt/x", is_guilty=True, started=105.0) for i in ids]
        self.assertTrue(checks.guilty_parts_are_stopped(site(sent, late, part_crashes=crashes)))
        self.assertFalse(checks.guilty_parts_are_stopped(site(sent, late[:3], part_crashes=crashes)))
        self.assertFalse(checks.guilty_parts_are_stopped(site(sent, late, part_crashes=crashes[:4])))
        excused = site(sent, late, part_crashes=crashes, host_faults=[("h0", 104.0, 106.0)])
        self.assertFalse(checks.guilty_parts_are_stopped(excused))

    def test_late_repeats_of_a_guilty_request_are_found(self):
        crashes = [100.0, 100.2, 100.4]
        ids = [f"r{n}" for n in range(4)]
        sent = [request(i, is_guilty=True) for i in ids]
        late = [run(i, is_guilty=True, started=105.0) for i in ids]
        self.assertTrue(checks.guilty_requests_are_stopped(site(sent, late, request_crashes=crashes)))
        self.assertFalse(checks.guilty_requests_are_stopped(site(sent, late[:3], request_crashes=crashes)))
        self.assertFalse(checks.guilty_requests_are_stopped(site(sent, late, request_crashes=crashes[:2])))

    def test_sound_requests_that_are_quarantined_are_found(self):
        refused = request(status=503, body=b'{"reason":"quarantined"}')
        self.assertTrue(checks.sound_requests_are_not_quarantined(site([refused], [])))
        refused.is_guilty = True
        self.assertFalse(checks.sound_requests_are_not_quarantined(site([refused], [])))

    def test_sound_parts_that_are_kept_back_are_found(self):
        refused = request(path="/prompt/x", status=503, body=b'{"reason":"part_kept_back"}')
        self.assertTrue(checks.sound_parts_are_served(site([refused], [])))
        refused.is_guilty = True
        self.assertFalse(checks.sound_parts_are_served(site([refused], [])))

    def test_a_correct_run_has_no_findings(self):
        correct = site([request()], [run()])
        self.assertEqual([], [line for check in checks.ALL + checks.KNOWN_RED for line in check(correct)])

    def test_a_booking_that_ran_twice(self):
        self.assertTrue(checks.runs_once(site([request()], [run(), run()])))

    def test_a_lookup_may_run_twice(self):
        twice = [run(path="/view/x"), run(path="/view/x")]
        self.assertFalse(checks.runs_once(site([request(path="/view/x")], twice)))

    def test_a_host_without_links_that_refuses(self):
        refused = [request(f"c{n}", status=503, sent=104.0) for n in range(20)]
        served = [request(f"o{n}", host="h1", sent=104.0) for n in range(20)]
        cut = site(refused + served, [], partitions=[(["h0"], 100.0, 110.0)])
        self.assertTrue(checks.hosts_without_links_serve(cut))
        self.assertFalse(checks.hosts_without_links_serve(site(served, [], partitions=[(["h1"], 100.0, 110.0)])))

    def test_brittle_engines_that_crash(self):
        engines = [types.SimpleNamespace(crashes=[104.0]) for _ in range(3)]
        self.assertTrue(checks.brittle_engines_stay_up(site([], [], brittle_times=[(engines, 100.0, 108.0)])))
        self.assertFalse(checks.brittle_engines_stay_up(site([], [], brittle_times=[(engines[:2], 100.0, 108.0)])))

    def test_a_false_not_run(self):
        self.assertTrue(checks.not_run_is_true(site([request(status=503)], [run()])))

    def test_another_requests_answer(self):
        self.assertTrue(checks.answers_are_whole(site([request(body=b"/book/x by r2")], [])))

    def test_a_stream_with_a_repeated_event(self):
        events = "".join(f"id: {n}\ndata: r1 {n} v1\n\n" for n in [1, 2, 2, *range(3, 21)])
        repeated = request(path="/stream/x", body=events.encode())
        self.assertTrue(checks.answers_are_whole(site([repeated], [])))

    def test_a_truncated_stream_that_ended_normally(self):
        short = request(path="/stream/x", body=b"id: 1\ndata: r1 1 v1\n\n")
        self.assertTrue(checks.answers_are_whole(site([short], [])))

    def test_a_stream_of_two_versions(self):
        def attempt(request_id, version, **more):
            body = f"id: 1\ndata: {request_id} 1 {version}\n\n".encode()
            return request(request_id, path="/resume/x", body=body, complete=False, **more)

        first = attempt("r1", "v1")
        keep = checks.streams_keep_their_version
        self.assertFalse(keep(site([first, attempt("r2", "v1", resumes="r1")], [])))
        self.assertTrue(keep(site([first, attempt("r2", "v2", resumes="r1")], [])))
        self.assertFalse(keep(site([first, attempt("r2", "v2")], [])), "another stream")
        mixed = b"id: 1\ndata: r1 1 v1\n\nid: 2\ndata: r1 2 v2\n\n"
        self.assertTrue(keep(site([request(path="/resume/x", body=mixed)], [])))

    def test_streams_that_do_not_go_on(self):
        new = [request(f"n{n}", path="/resume/x") for n in range(10)]
        def taken(count, status):
            return [request(f"t{status}{n}", path="/resume/x", resumes="r", could_go_on=True, status=status)
                    for n in range(count)]

        go_on = checks.taken_up_streams_go_on
        self.assertTrue(go_on(site(new + taken(5, 200) + taken(7, 503), [])))
        self.assertFalse(go_on(site(new + taken(6, 200) + taken(6, 503), [])))
        self.assertFalse(go_on(site(new + taken(11, 503), [])), "too few to tell")

    def test_streams_taken_up_at_a_host_that_has_just_lost_its_detour(self):
        """Guards against a narrower check: only attempts at a host without links count as excused, and only for half a
        second after a host with links was killed."""
        def findings(killed="h1", at=99.6, cut=("h0",), end=110.0, reason=b"no_upstream"):
            sent = [request(f"n{n}", host="h2", path="/resume/x") for n in range(10)]
            sent += [request(f"t{n}", path="/resume/x", resumes="r", could_go_on=True, status=503,
                             body=b'{"error":{"reason":"%s"' % reason) for n in range(12)]
            return checks.taken_up_streams_go_on(site(sent, [], kills=[(killed, at)], partitions=[(cut, 90.0, end)]))

        self.assertFalse(findings())
        self.assertTrue(findings(at=99.4), "it has found another way")
        self.assertTrue(findings(at=100.1), "the kill came after the attempt")
        self.assertTrue(findings(cut=("h3",)), "the host has links")
        self.assertTrue(findings(cut=("h0", "h1")), "the killed host had no links either")
        self.assertTrue(findings(end=103.9), "the links were back")
        self.assertTrue(findings(reason=b"version_unknown"), "links don't matter for that")

    def test_a_removed_key(self):
        self.assertTrue(checks.removed_keys_are_dead(site([request()], [run()], revoked_keys={"k": 94.9})))
        self.assertFalse(checks.removed_keys_are_dead(site([request()], [run()], revoked_keys={"k": 95.1})))

    def test_a_run_that_no_caller_sent(self):
        self.assertTrue(checks.removed_keys_are_dead(site([], [run()])))

    def test_work_for_a_caller_that_left(self):
        self.assertTrue(checks.work_ends_with_its_caller(site([request(caller_left=True)], [run(ended=101.5)])))

    def test_an_old_configuration(self):
        old = site([request()], [run(service="s0")], moves=[(96.0, "s1")])
        self.assertTrue(checks.configuration_is_in_force(old))

    def test_a_leaving_engine(self):
        engine = Engine("i-0", "s0", [], 1)
        engine.arrivals.append((100.0, "r1"))
        self.assertTrue(checks.leaving_engines_are_left(site([], [], drained_at={engine: 96.0})))

    def test_an_engine_that_says_it_leaves_and_is_used_on(self):
        told, late = request("r1", ended=100.1), request("r2", sent=103.0, ended=103.1)
        engine = types.SimpleNamespace(name="i-0", said_leaving=[(100.0, "r1"), (103.1, "r2")], pauses=[])
        requests = [told, late]
        self.assertTrue(checks.engines_that_say_they_leave_are_left(site(requests, [], engines=[engine])))
        stopped = site(requests, [], engines=[engine], stops=[["h0", 101.0, 102.0]])
        self.assertFalse(checks.engines_that_say_they_leave_are_left(stopped))
        requests[1] = request("r2", host="h1", sent=103.0, ended=103.1)
        self.assertFalse(checks.engines_that_say_they_leave_are_left(site(requests, [], engines=[engine])))

    def test_an_engine_that_gets_requests_in_a_pause(self):
        sent = [request(f"r{n}") for n in range(5)]
        arrivals = [(100.0, "r0"), (100.4, "r1"), (100.6, "r2"), (101.0, "r3"), (102.9, "r4")]
        engine = types.SimpleNamespace(name="i-0", said_leaving=[], pauses=[(100.0, "r0", 3)], arrivals=arrivals)
        self.assertTrue(checks.pauses_are_kept(site(sent, [], engines=[engine])))
        cut = site(sent, [], engines=[engine], partitions=[(["h0"], 102.0, 110.0)])
        self.assertFalse(checks.pauses_are_kept(cut))
        engine.arrivals = arrivals[:4]
        self.assertFalse(checks.pauses_are_kept(site(sent, [], engines=[engine])))

    def test_an_upstream_that_receives_more_than_its_limit(self):
        engine = Engine("i-0", "s0", [], 1)
        engine.arrivals = [(104.0 + n / 4, f"r{n}") for n in range(16)]
        self.assertTrue(checks.limits_are_kept(site([], [], limits=[(engine, 1.5, 100.0, 109.0)])))
        # First before all hosts have received the limit, then within it.
        self.assertFalse(checks.limits_are_kept(site([], [], limits=[(engine, 1.5, 104.5, 109.0)])))
        self.assertFalse(checks.limits_are_kept(site([], [], limits=[(engine, 2.0, 100.0, 109.0)])))

    def test_too_many_retries(self):
        arrivals = [(100.0 + n / 100, f"r{n}") for n in range(100)] * 2
        engine = types.SimpleNamespace(name="i-0", arrivals=arrivals)
        many = [request(request_id=f"r{n}") for n in range(100)]
        self.assertTrue(checks.retries_keep_to_budget(site(many, [], engines=[engine])))

    def lost(self, runs=(), **more):
        """Runs the check on a request that was sent at 100.0 and ended without an answer."""
        around = {k: more.pop(k) for k in ("stops", "reloads", "configurations", "had_fault") if k in more}
        cut = request(**{"complete": False, "status": None, "ended": 101.0, **more})
        return checks.planned_work_loses_nothing(site([cut], list(runs), **around))

    def test_an_answer_that_a_planned_stop_cut(self):
        self.assertTrue(self.lost([run()], status=200, stops=[("h0", 100.5, 108.0)]))
        self.assertFalse(self.lost([run()], status=200, stops=[("h1", 100.5, 108.0)]))

    def test_a_late_request_that_a_planned_stop_accepted_and_cut(self):
        """Guards against a stop that accepts more than it can answer: sent 3.5 s after the signal, cut at the limit."""
        late = dict(path="/long/100", deadline=12.0, ended=104.3, status=200)
        self.assertTrue(self.lost([run(ended=104.3)], stops=[("h0", 96.5, 104.4)], **late))

    def test_a_request_that_was_read_and_never_forwarded(self):
        """Guards against a close that discards requests already read: 0.3 s is longer than a transfer takes."""
        self.assertTrue(self.lost(ended=100.3, stops=[("h0", 99.0, 108.0)]))

    def test_a_request_that_a_reload_cut(self):
        self.assertTrue(self.lost([run()], reloads=[("h0", 100.5)]))
        self.assertFalse(self.lost([run()], reloads=[("h1", 100.5)]))

    def test_a_request_that_a_change_of_configuration_cut(self):
        self.assertTrue(self.lost([run()], configurations=[(0.0, 2.5), (100.5, 2.5)]))
        self.assertFalse(self.lost([run()]))

    def test_requests_that_may_end_without_an_answer(self):
        stop = dict(stops=[("h0", 99.0, 107.5)])
        allowed = {
            "its upstream closed the connection": dict(runs=[run(upstream_aborted=True)]),
            "its deadline was reached": dict(runs=[run()], ended=102.5),
            "its route's timeout was reached": dict(runs=[run()], ended=101.6, configurations=[(0.0, 1.5)]),
            "in progress in the last sixth of the stop": dict(
                runs=[run(ended=106.7)], ended=106.7, deadline=12.0, path="/long/100"),
            "it was refused": dict(status=503),
            "it was in transit when the connection closed": dict(ended=100.1),
            "sent after the process had ended": dict(ended=100.5, stops=[("h0", 92.0, 99.9)]),
            "its caller disconnected": dict(runs=[run()], caller_left=True),
            "another fault was active": dict(runs=[run()], had_fault=lambda begin, end: True),
        }
        for why, case in allowed.items():
            with self.subTest(why):
                self.assertFalse(self.lost(**{**stop, **case}))

    def test_a_kept_connection_that_a_stop_closed(self):
        """Guards against closing a connection whose last answer has just allowed another request."""
        cut = request(complete=False, status=None, ended=100.01)
        kept = checks.kept_connections_are_kept
        self.assertTrue(kept(site([cut], [], stops=[("h0", 99.0, 107.0)])))
        self.assertFalse(kept(site([cut], [], stops=[("h0", 97.0, 100.2)])), "the process ends")
        self.assertFalse(
            kept(site([request(complete=False, status=None, idle_time=0.6)], [])), "the connection was idle")

    def test_a_connection_that_idled_while_its_caller_still_read(self):
        """Guards against an idle limit that runs while the answer is still being received."""
        cut = request(complete=False, status=None, after_paused_read=True)
        self.assertTrue(checks.connections_of_paused_readers_are_kept(site([cut], [])))

    def test_a_pausing_caller_that_was_cut(self):
        """Guards against a limit on bytes that an active caller has not read yet."""
        cut = request(path="/big/x", complete=False, ended=102.0, deadline=12.0)
        self.assertTrue(checks.slow_readers_get_all(site([cut], [run(path="/big/x")])))

    def test_no_host_starts_when_the_run_is_over(self):
        """Guards against a host that outlives its run and sends this run's state to the next one."""
        started = []
        with tempfile.TemporaryDirectory() as folder:
            over = Site(random.Random(1), "none", folder, 1, 0)
            over.hosts[0].start = lambda *_: started.append(1)
            over.end()
            over.start_host(over.hosts[0])
        self.assertEqual([], started)

    def test_a_host_that_runs_is_not_started_again(self):
        """Guards against an orphaned process that sends its state to later runs."""
        with tempfile.TemporaryDirectory() as folder:
            host = Site(random.Random(1), sys.executable, folder, 1, 0).hosts[0]
            running = types.SimpleNamespace(poll=lambda: None)
            host.process = running
            host.store_path = types.SimpleNamespace(port=1)
            host.start("", [])
            self.assertIs(running, host.process)

    def test_a_killed_host_that_starts_again_is_selected(self):
        with tempfile.TemporaryDirectory() as folder:
            restarted = Site(random.Random(1), "/bin/true", folder, 1, 0)
            host = restarted.hosts[0]
            host.store_path = types.SimpleNamespace(port=1)
            host.start("", [])
            host.is_ready = True
            host.kill()
            caller = Caller(restarted, restarted.random)
            self.assertIsNone(caller.pick_host())
            host.start("", [])
            self.assertIs(host, caller.pick_host())
            host.process.wait()

    def test_callers_select_no_killed_hosts(self):
        """Guards against streams whose attempts all go to killed hosts that were ready at the last poll: the check of
        taken-up streams then judges attempts that no host has received."""
        with tempfile.TemporaryDirectory() as folder:
            small = Site(random.Random(1), sys.executable, folder, 4, 0)
        killed, ended, unready, stopping = small.hosts
        for host in small.hosts:
            host.process = types.SimpleNamespace(poll=lambda: None, send_signal=lambda _: None, wait=lambda: None)
            host.is_ready = host is not unready
        killed.kill()
        ended.process.poll = lambda: 1
        stopping.is_ready, stopping.is_stopping = False, True

        def selected(**more):
            caller = Caller(small, small.random, **more)
            return {caller.pick_host() for _ in range(50)}

        self.assertEqual({ended}, selected(), "a host that ended without a fault has to be noticed")
        self.assertEqual({stopping}, selected(uses_stopping_hosts=True))
        ended.is_ready = False
        self.assertEqual({None}, selected())

    def test_other_teams_that_are_refused_beside_a_burst(self):
        """Guards against refusals that hit each team alike when one of them sends several times its usual."""
        def prompts(service, team, refused, count):
            return [request(f"{service}{team}{n}", path=f"/team/{service}/x", key=f"key-{team}", sent=105.0,
                            status=503 if n < refused else 200) for n in range(count)]

        def findings(beside, baseline, count=100):
            sent = prompts("s2", "t1", beside, count) + prompts("s3", "t1", baseline, count)
            sent += prompts("s2", "t3", 200, 200)
            return checks.teams_within_their_share_are_not_refused(site(sent, [], bursts=[("t3", 100.0, 110.0)]))

        self.assertTrue(findings(20, 0))
        self.assertFalse(findings(2, 0), "within the bound")
        self.assertFalse(findings(20, 20), "as many without the burst")
        self.assertFalse(findings(2, 0, 10), "too few to tell")
        self.assertTrue(findings(300, 100, 2000), "a large sample needs no tolerance")
        before = site(prompts("s2", "t1", 20, 20), [], bursts=[("t3", 105.1, 110.0)])
        self.assertFalse(checks.teams_within_their_share_are_not_refused(before), "refused before the burst")

    def test_accepted_requests_that_engines_do_not_begin(self):
        """Guards against requests that wait behind more than an engine can read in time."""
        def findings(unread, count=400, sent=None, more=(), **begun):
            ids = [f"r{n}" for n in range(count)]
            requests = [request(i, **{"ended": 102.5, "status": 504, **(sent or {})}) for i in ids[:unread]]
            requests += [request(i) for i in ids[unread:]]
            runs = [run(i, **{"begun": None, "ended": 102.5, **begun}) for i in ids[:unread]]
            return checks.accepted_requests_begin(site(requests, runs + [run(i) for i in ids[unread:]], **dict(more)))

        self.assertTrue(findings(10))
        self.assertTrue(findings(10, begun=102.6), "begun too late")
        self.assertFalse(findings(10, begun=102.4))
        self.assertFalse(findings(2), "within the bound")
        self.assertFalse(findings(1, 20), "too few to tell")
        self.assertFalse(findings(10, sent=dict(caller_left=True)))
        self.assertFalse(findings(10, sent=dict(status=None, ended=101.0)), "its host was killed")
        self.assertFalse(findings(10, more=dict(engine_faults=[("i-0", 102.0, 103.0)])))
        self.assertTrue(findings(10, more=dict(engine_faults=[("i-1", 102.0, 103.0), ("i-0", 90.0, 99.0)])))
        late = dict(started=105.0, begun=105.0, more=dict(had_fault=lambda begin, end: True))
        self.assertFalse(findings(10, **late), "a silent link held them")
        self.assertTrue(findings(10, started=105.0, begun=105.0))

    def test_binomial_bounds(self):
        self.assertAlmostEqual(0.5 ** 3, checks.tail(3, 3, 0.5))
        self.assertAlmostEqual(1.0 - 0.01 ** (1 / 100), checks.upper_bound(0, 100))

    def test_nothing_served(self):
        self.assertTrue(checks.requests_are_answered(site([request(status=503)], [])))


class PromptReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_prompts_are_read_in_turn_and_shared_parts_once(self):
        engine = Engine("i-0", "s0", [], 1, speed=2.0)
        # No slow period.
        engine.prompts.offset = 1.0 - time.monotonic() % 4.0
        ended = []

        async def read(name, priority):
            headers = {"prompt-prefix": f"shared:6000,{name}:6000", "request-priority": priority}
            await engine.prompts.read(run(ended=None), headers)
            ended.append((name, time.monotonic() - begin))

        begin = time.monotonic()
        await asyncio.gather(read("first", "9"), read("long", "9"), read("chat", "0"))
        self.assertEqual(["chat", "first", "long"], [name for name, _ in ended])
        for (_, elapsed), least in zip(ended, (0.1, 0.15, 0.2)):
            self.assertGreater(elapsed, least - 0.01)


class ResetTest(unittest.TestCase):
    """Guards against a cut answer without a length that its reader takes for a whole one."""

    def test_a_connection_that_is_closing_is_reset(self):
        async def play():
            async def cut(reader, writer):
                writer.write(b"x" * 16_000_000)
                writer.close()
                reset(writer)

            server = await asyncio.start_server(cut, "127.0.0.1", 0)
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            try:
                with self.assertRaises(ConnectionResetError):
                    await reader.read()
            finally:
                writer.close()
                server.close()

        asyncio.run(play())


if __name__ == "__main__":
    unittest.main()
