"""Explores the consensus of the control replicas under message loss, delay, restarts, wiped disks and rival proposers.

`consensus_model` describes the model.  Each mutant of the consensus rules must be detected.
"""

import unittest
from unittest import mock

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from mapleline.balancer.control import state
from tests.balancer.control.consensus_model.convergence import heal_and_converge
from tests.balancer.control.consensus_model.directed_histories import DIRECTED_HISTORIES
from tests.balancer.control.consensus_model.mutants import MUTANTS, mutant
from tests.balancer.control.consensus_model.quorums import check_quorums
from tests.balancer.control.consensus_model.random_history import search
from tests.balancer.control.consensus_model.state_machine import HistoryMachine

HYPOTHESIS_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=30,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


class TestModel(unittest.TestCase):
    def test_no_random_history_breaks_an_invariant(self):
        search(600)

    def test_long_histories_break_no_invariant(self):
        with mock.patch.object(state, "MAX_PAST_VERSIONS", 6):
            search(2, steps=1500)

    def test_hypothesis_finds_no_violation_and_detects_a_mutant(self):
        run_state_machine_as_test(HistoryMachine, settings=HYPOTHESIS_SETTINGS)
        with mutant("one voter less than a majority is a quorum"), self.assertRaises(AssertionError):
            run_state_machine_as_test(HistoryMachine, settings=HYPOTHESIS_SETTINGS)

    def test_the_random_search_detects_each_mutant(self):
        for name in MUTANTS.keys() - DIRECTED_HISTORIES.keys():
            with self.subTest(name), mutant(name), self.assertRaises(AssertionError):
                search(400, steps=120, must_converge=False)

    def test_directed_histories_break_no_invariant_and_detect_their_mutants(self):
        for name, history in DIRECTED_HISTORIES.items():
            with self.subTest(name):
                world = history()
                world.invariants.check_nodes()
                check_quorums(world)
                heal_and_converge(world)
                with mutant(name), self.assertRaises(AssertionError):
                    history()
