"""Tests of commands on a control state: the resulting state, and the status for the operator."""

import unittest

from mapleline.balancer.control.commands import RemoveReplica, ReplaceConfiguration, SetEvacuation, apply_all
from mapleline.balancer.control.reconfiguration import FaultTolerance
from mapleline.balancer.control.state import MAX_PAST_VERSIONS, finish_reconfiguration
from tests.balancer.control.builders import state_of

ONE_MACHINE = FaultTolerance(machine_losses=1, zones=0)


def apply(state, *commands):
    """Return the state after commands, and the status of each command."""
    state, results = apply_all(state, commands, ONE_MACHINE)
    return state, [result.status for result in results]


def replace(state, *configurations):
    """Return the state after configurations, given as (version, digest), and the status of each."""
    return apply(state, *(ReplaceConfiguration(*configuration) for configuration in configurations))


class TestReplaceConfiguration(unittest.TestCase):
    def test_repeating_the_first_content_of_a_version_is_done_and_another_content_conflicts(self):
        state, statuses = replace(state_of(1, 2, 3), (7, 70), (7, 71), (7, 70))
        self.assertEqual((state.config, statuses), ((7, 70), [200, 409, 200]))

    def test_a_version_below_the_one_in_force_is_confirmed_without_effect(self):
        state, _ = replace(state_of(1, 2, 3), (7, 70))
        state, statuses = replace(state, (9, 90), (7, 70), (7, 71), (8, 80), (8, 81), (9, 90), (9, 91))
        self.assertEqual((state.config, statuses), ((9, 90), [200, 200, 409, 200, 409, 200, 409]))

    def test_a_version_older_than_all_remembered_ones_is_superseded(self):
        state, _ = replace(state_of(1, 2, 3), (7, 70), (9, 90), (8, 80))
        for version in range(10, 10 + MAX_PAST_VERSIONS):
            state, _ = replace(state, (version, version))
        self.assertEqual(len(state.past), MAX_PAST_VERSIONS)
        self.assertEqual(replace(state, (7, 71), (3, 30)), (state, [200, 200]))


class TestSetEvacuation(unittest.TestCase):
    def test_repeating_an_evacuation_changes_nothing(self):
        state, statuses = apply(state_of(1, 2, 3, 4), SetEvacuation("z", True), SetEvacuation("z", True))
        self.assertEqual((state.evacuated, statuses), (("z",), [200, 200]))
        self.assertEqual(state.number, state_of(1, 2, 3, 4).number + 1)

    def test_an_evacuation_ends(self):
        state, _ = apply(state_of(1, 2, 3, 4), SetEvacuation("z", True))
        state, statuses = apply(state, SetEvacuation("z", False))
        self.assertEqual((state.evacuated, statuses), ((), [200]))


class TestRemoveReplica(unittest.TestCase):
    def test_a_removal_during_a_change_of_the_voters_is_uncertain(self):
        state, statuses = apply(state_of(1, 2, 3, 4), RemoveReplica(4), RemoveReplica(3))
        self.assertEqual((len(state.voters), statuses), (3, [200, 503]))

    def test_removing_a_non_voter_is_done_and_removing_one_too_many_conflicts(self):
        state, _ = apply(state_of(1, 2, 3, 4), RemoveReplica(4))
        state, statuses = apply(finish_reconfiguration(state), RemoveReplica(4), RemoveReplica(3))
        self.assertEqual((len(state.voters), statuses), (3, [200, 409]))


class TestApplyAll(unittest.TestCase):
    def test_each_command_of_a_mixed_list_has_its_own_result(self):
        state, statuses = apply(
            state_of(1, 2, 3, 4),
            SetEvacuation("z", True),
            SetEvacuation("z", True),
            RemoveReplica(4),
            RemoveReplica(3),
        )
        self.assertEqual((state.evacuated, len(state.voters)), (("z",), 3))
        self.assertEqual(statuses, [200, 200, 200, 503])
        state, statuses = apply(
            finish_reconfiguration(state), RemoveReplica(4), RemoveReplica(3), SetEvacuation("z", False)
        )
        self.assertEqual((state.evacuated, len(state.voters), statuses), ((), 3, [200, 409, 200]))
