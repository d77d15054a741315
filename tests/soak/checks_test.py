"""Each check of the soak finds the fault that it is for."""

import os
import sys
import types
import unittest

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", ".."))

from tools.soak import checks  # noqa: E402
from tools.soak.engine import Engine  # noqa: E402


def told(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, key="k", host="h0", sent=100.0, ended=100.1,
                  status=200, service="i-0", body=b"/book/x by r1", whole=True, left=False)
    values.update(more)
    return types.SimpleNamespace(**values)


def run(request_id="r1", path="/book/x", **more):
    values = dict(id=request_id, path=path, engine="i-0", service="s0", team="desk",
                  began=100.0, ended=100.1, resumed_after=0)
    values.update(more)
    return types.SimpleNamespace(**values)


def site(all_told, runs, **more):
    values = dict(told=all_told, runs=runs, revoked={}, moves=[], stops=[], left_at={}, engines=[],
                  harmed=lambda begin, end: False, now=lambda: 200.0)
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

    def test_too_many_second_sends(self):
        arrivals = [(100.0 + n / 100, f"r{n}") for n in range(100)] * 2
        engine = types.SimpleNamespace(name="i-0", arrivals=arrivals)
        many = [told(request_id=f"r{n}") for n in range(100)]
        self.assertTrue(checks.retries_keep_to_budget(site(many, [], engines=[engine])))

    def test_an_answer_that_a_planned_stop_cut(self):
        cut = told(whole=False, status=200, ended=101.0)
        self.assertTrue(checks.planned_stops_cut_nothing(site([cut], [run()], stops=[("h0", 100.5, 108.0)])))

    def test_nothing_served(self):
        self.assertTrue(checks.requests_are_answered(site([told(status=503)], [])))


if __name__ == "__main__":
    unittest.main()
