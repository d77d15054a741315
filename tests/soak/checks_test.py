"""Each check of the soak finds the fault that it is for."""

import os
import random
import sys
import tempfile
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", ".."))

from tools.soak import checks  # noqa: E402
from tools.soak.engine import Engine  # noqa: E402
from tools.soak.site import Site  # noqa: E402


def told(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, key="k", host="h0", sent=100.0, ended=100.1,
                  status=200, service="i-0", body=b"/book/x by r1", whole=True, left=False, deadline=2.5, rested=0.1,
                  after_pause=False)
    values.update(more)
    return types.SimpleNamespace(**values)


def run(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, engine="i-0", service="s0", team="desk",
                  began=100.0, ended=100.1, resumed_after=0, broke_off=False)
    values.update(more)
    return types.SimpleNamespace(**values)


def site(all_told, runs, **more):
    values = dict(told=all_told, runs=runs, revoked={}, moves=[], stops=[], left_at={}, engines=[], limits=[],
                  reloads=[], configurations=[(0.0, 2.5)], harmed=lambda begin, end: False, now=lambda: 200.0)
    values.update(more)
    return types.SimpleNamespace(**values)


class Checks(unittest.TestCase):
    def test_a_sound_run_has_no_findings(self):
        sound = site([told()], [run()])
        self.assertEqual([], [line for check in checks.ALL for line in check(sound)])

    def test_a_booking_that_ran_twice(self):
        self.assertTrue(checks.runs_once(site([told()], [run(), run()])))

    def test_a_lookup_may_run_twice(self):
        twice = [run(path="/view/x"), run(path="/view/x")]
        self.assertFalse(checks.runs_once(site([told(path="/view/x")], twice)))

    def test_a_false_not_run(self):
        self.assertTrue(checks.not_run_is_true(site([told(status=503)], [run()])))

    def test_another_requests_answer(self):
        self.assertTrue(checks.answers_are_whole(site([told(body=b"/book/x by r2")], [])))

    def test_a_stream_with_a_seam(self):
        events = "".join(f"id: {n}\ndata: r1 {n}\n\n" for n in [1, 2, 2, *range(3, 21)])
        seam = told(path="/stream/x", body=events.encode())
        self.assertTrue(checks.answers_are_whole(site([seam], [])))

    def test_a_short_stream_that_looks_whole(self):
        short = told(path="/stream/x", body=b"id: 1\ndata: r1 1\n\n")
        self.assertTrue(checks.answers_are_whole(site([short], [])))

    def test_a_removed_key(self):
        self.assertTrue(checks.removed_keys_are_dead(site([told()], [run()], revoked={"k": 94.9})))
        self.assertFalse(checks.removed_keys_are_dead(site([told()], [run()], revoked={"k": 95.1})))

    def test_a_run_that_nobody_sent(self):
        self.assertTrue(checks.removed_keys_are_dead(site([], [run()])))

    def test_work_for_a_caller_that_left(self):
        self.assertTrue(checks.work_ends_with_its_caller(site([told(left=True)], [run(ended=101.5)])))

    def test_an_old_configuration(self):
        old = site([told()], [run(service="s0")], moves=[(96.0, "s1")])
        self.assertTrue(checks.configuration_is_in_force(old))

    def test_a_leaving_engine(self):
        engine = Engine("i-0", "s0", [], 1)
        engine.arrivals.append((100.0, "r1"))
        self.assertTrue(checks.leaving_engines_are_left(site([], [], left_at={engine: 96.0})))

    def test_an_upstream_that_gets_more_than_it_takes(self):
        engine = Engine("i-0", "s0", [], 1)
        engine.arrivals = [(104.0 + n / 4, f"r{n}") for n in range(16)]
        self.assertTrue(checks.limits_are_kept(site([], [], limits=[(engine, 1.5, 100.0, 109.0)])))
        # Before all hosts have heard of the limit, and within it.
        self.assertFalse(checks.limits_are_kept(site([], [], limits=[(engine, 1.5, 104.5, 109.0)])))
        self.assertFalse(checks.limits_are_kept(site([], [], limits=[(engine, 2.0, 100.0, 109.0)])))

    def test_too_many_second_sends(self):
        arrivals = [(100.0 + n / 100, f"r{n}") for n in range(100)] * 2
        engine = types.SimpleNamespace(name="i-0", arrivals=arrivals)
        many = [told(request_id=f"r{n}") for n in range(100)]
        self.assertTrue(checks.retries_keep_to_budget(site(many, [], engines=[engine])))

    def lost(self, runs=(), **more):
        """What the check says of a request that was sent at 100.0 and ended without an answer."""
        around = {k: more.pop(k) for k in ("stops", "reloads", "configurations", "harmed") if k in more}
        cut = told(**{"whole": False, "status": None, "ended": 101.0, **more})
        return checks.planned_work_loses_nothing(site([cut], list(runs), **around))

    def test_an_answer_that_a_planned_stop_cut(self):
        self.assertTrue(self.lost([run()], status=200, stops=[("h0", 100.5, 108.0)]))
        self.assertFalse(self.lost([run()], status=200, stops=[("h1", 100.5, 108.0)]))

    def test_a_late_request_that_a_planned_stop_took_and_cut(self):
        """Guards against a stop that takes more than it can answer: sent 3.5 s after the signal, cut at its limit."""
        late = dict(path="/long/100", deadline=12.0, ended=104.3, status=200)
        self.assertTrue(self.lost([run(ended=104.3)], stops=[("h0", 96.5, 104.4)], **late))

    def test_a_request_that_was_read_and_never_passed_on(self):
        """Guards against a close that throws away what it has read: 0.3 s is longer than a crossing takes."""
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
            "its upstream broke off": dict(runs=[run(broke_off=True)]),
            "its deadline was reached": dict(runs=[run()], ended=102.5),
            "its route's timeout was reached": dict(runs=[run()], ended=101.6, configurations=[(0.0, 1.5)]),
            "at work in the last sixth": dict(runs=[run(ended=106.7)], ended=106.7, deadline=12.0, path="/long/100"),
            "it was refused": dict(status=503),
            "it crossed the close unread": dict(ended=100.1),
            "sent after the process was gone": dict(ended=100.5, stops=[("h0", 92.0, 99.9)]),
            "its caller left": dict(runs=[run()], left=True),
            "something else went wrong": dict(runs=[run()], harmed=lambda begin, end: True),
        }
        for why, case in allowed.items():
            with self.subTest(why):
                self.assertFalse(self.lost(**{**stop, **case}))

    def test_a_kept_connection_that_a_stop_closed(self):
        """Guards against a close of a connection on which an answer has just allowed another request."""
        cut = told(whole=False, status=None, ended=100.01)
        kept = checks.kept_connections_are_kept
        self.assertTrue(kept(site([cut], [], stops=[("h0", 99.0, 107.0)])))
        self.assertFalse(kept(site([cut], [], stops=[("h0", 97.0, 100.2)])), "the process ends")
        self.assertFalse(kept(site([told(whole=False, status=None, rested=0.6)], [])), "it has rested")

    def test_a_connection_that_idled_while_its_caller_still_read(self):
        """Guards against an idle limit that runs while the answer is on its way."""
        cut = told(whole=False, status=None, after_pause=True)
        self.assertTrue(checks.connections_of_paused_readers_are_kept(site([cut], [])))

    def test_a_pausing_caller_that_was_cut(self):
        """Guards against a limit on bytes that a live caller has not taken yet."""
        cut = told(path="/big/x", whole=False, ended=102.0, deadline=12.0)
        self.assertTrue(checks.slow_readers_get_all(site([cut], [run(path="/big/x")])))

    def test_no_host_starts_when_the_run_is_over(self):
        """Guards against a host that stays behind and tells the next run of this one's state."""
        started = []
        with tempfile.TemporaryDirectory() as folder:
            over = Site(random.Random(1), "none", folder, 1, 0)
            over.hosts[0].start = lambda *_: started.append(1)
            over.end()
            over.start_host(over.hosts[0])
        self.assertEqual([], started)

    def test_a_host_that_runs_is_not_started_again(self):
        """Guards against a process that no run knows any more and that tells the next ones of its state."""
        with tempfile.TemporaryDirectory() as folder:
            host = Site(random.Random(1), sys.executable, folder, 1, 0).hosts[0]
            running = types.SimpleNamespace(poll=lambda: None)
            host.process = running
            host.store_path = types.SimpleNamespace(port=1)
            host.start("", [])
            self.assertIs(running, host.process)

    def test_nothing_served(self):
        self.assertTrue(checks.requests_are_answered(site([told(status=503)], [])))


if __name__ == "__main__":
    unittest.main()
