"""Tests that each checker rejects a history that violates its promise and accepts one that does not.

call() returns a record as callers.py makes it, run() the event that records the start of a run.
"""

import unittest

import checkers

NS_PER_S = 1_000_000_000


def call(order, outcome="run", kind="order", start=0, end=1, **overrides):
    record = {"order": order, "kind": kind, "method": "POST", "outcome": outcome, "reason": "", "start": start,
              "end": end, "status": 200 if outcome == "run" else 503, "complete": True, "error": "", "port": 1,
              "connected": True, "echo": {"order": order, "length": 3, "hash": "aa"}}
    record.update(overrides)
    return record


def run(order, ns=0, **overrides):
    event = {"event": "begin", "order": order, "method": "POST", "ns": ns, "daemon": "d1", "dataCentre": "klang-a",
             "state": "warm", "inUse": 1}
    event.update(overrides)
    return event


class CheckersRejectViolations(unittest.TestCase):
    def test_duplicate_run(self):
        self.assertTrue(checkers.at_most_once([], [run("a"), run("a")]))
        self.assertFalse(checkers.at_most_once([], [run("a"), run("b")]))

    def test_false_not_run_refusal(self):
        self.assertTrue(checkers.not_run_refusals_are_true([call("a", "not-run")], [run("a")]))
        self.assertFalse(checkers.not_run_refusals_are_true([call("a", "unknown")], [run("a")]))

    def test_swapped_and_modified_answers(self):
        expected = {"order": (3, "aa")}
        swapped = call("a", echo={"order": "b", "length": 3, "hash": "aa"})
        modified = call("a", echo={"order": "a", "length": 2, "hash": "aa"})
        self.assertTrue(checkers.answers_match_requests([swapped], [], expected))
        self.assertTrue(checkers.answers_match_requests([modified], [], expected))
        self.assertFalse(checkers.answers_match_requests([call("a")], [], expected))

    def test_answer_cut_as_complete(self):
        def long_answer(**overrides):
            return call("a", kind="long answer", **{"requested": 9, "received": 9, "altered": False, **overrides})
        self.assertTrue(checkers.long_answers_are_whole([long_answer(received=5)]))
        self.assertTrue(checkers.long_answers_are_whole([long_answer(altered=True)]))
        self.assertFalse(checkers.long_answers_are_whole([long_answer(), long_answer(received=5, complete=False), call("b")]))

    def test_memory_over_limit(self):
        self.assertTrue(checkers.memory_within_limit({"d1": 65, "d2": 3}, 64))
        self.assertFalse(checkers.memory_within_limit({"d1": 64}, 64))

    def test_hidden_and_gone_daemons(self):
        self.assertTrue(checkers.daemons_list_each_other({"a": ["a", "b"], "b": ["b"]}))
        self.assertTrue(checkers.daemons_list_each_other({"a": ["a", "gone"]}))
        self.assertTrue(checkers.daemons_list_each_other({"a": None}))
        self.assertFalse(checkers.daemons_list_each_other({"a": ["a", "b"], "b": ["a", "b"]}))

    def test_run_after_removal(self):
        self.assertTrue(checkers.no_run_after_removal([run("a", 4 * NS_PER_S)], "dataCentre", "klang-a", 0))
        self.assertFalse(checkers.no_run_after_removal([run("a", 2 * NS_PER_S)], "dataCentre", "klang-a", 0))

    def test_reverted_and_overdue_versions(self):
        self.assertTrue(checkers.versions_in_force([(1, "d", 1, 5), (2, "d", 1, 4)], []))
        self.assertTrue(checkers.versions_in_force([(4 * NS_PER_S, "d", 1, 1)], [(0, 2)]))
        self.assertFalse(checkers.versions_in_force([(4 * NS_PER_S, "d", 1, 2)], [(0, 2)]))

    def test_known_route_refused(self):
        self.assertTrue(checkers.routes_stay_known([call("a", "not-run", status=404)]))
        self.assertFalse(checkers.routes_stay_known([call("a", "not-run", status=503), call("b")]))

    def test_call_interrupted_by_planned_stop(self):
        self.assertTrue(checkers.planned_stop_interrupts_no_call([call("a", "", error="reset", end=5)], 1, 2))
        self.assertFalse(checkers.planned_stop_interrupts_no_call([call("a", end=5)], 1, 2))

    def test_overloaded_cold_server(self):
        self.assertTrue(checkers.cold_servers_not_overloaded([run("a", state="cold", inUse=3)], 2))
        self.assertTrue(checkers.cold_servers_not_overloaded([run("a", event="fell")], 2))
        self.assertFalse(checkers.cold_servers_not_overloaded([run("a", state="cold", inUse=2)], 2))

    def test_run_or_data_outside_home_regions(self):
        self.assertTrue(checkers.runs_stay_in_home_regions("h-", {"d2"}, [run("h-1")], {}))
        self.assertTrue(checkers.runs_stay_in_home_regions("h-", {"d1"}, [], {"spans of d9": "x h-1 y"}))
        self.assertFalse(checkers.runs_stay_in_home_regions("h-", {"d1"}, [run("h-1")], {"spans of d9": ""}))

    def test_probe_budget(self):
        self.assertTrue(checkers.probes_within_budget(30, 10, 2))
        self.assertFalse(checkers.probes_within_budget(20, 10, 2))


if __name__ == "__main__":
    unittest.main()
