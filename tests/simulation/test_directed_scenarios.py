"""The directed scenarios: each breaks no rule, and with one safeguard disabled its rule is found broken."""

import contextlib
import logging
import unittest

from mapleline.simulation.directed_scenarios import (
    SCENARIOS,
    many_changes,
    membership_changes,
    partitions,
    repetitions,
    rivals,
)
from mapleline.simulation.invariants import Rule
from mapleline.simulation.runner import run_scenario

from . import mutants

SEED = 3
ATTEMPTS = 4
"""Number of seeds to try: the effect of a mutant depends on timing, and one seed must break the rule."""

MUTANTS = {
    partitions.replica_isolated_for_twenty_seconds: (Rule.DIRECTORY, mutants.grant_every_read_lease),
    partitions.diskless_machine_isolated: (Rule.STALE, mutants.read_without_asking_others),
    partitions.one_way_partitions: (Rule.STALE, mutants.read_without_asking_others),
    partitions.replica_frozen_for_twenty_seconds: (Rule.LOST, mutants.execute_commands_of_disconnected_callers),
    partitions.replicas_split_in_halves: (Rule.STALE, mutants.accept_half_as_a_majority),
    rivals.rivals_at_two_ingresses: (Rule.RIVALS, mutants.confirm_every_content),
    rivals.three_rivals: (Rule.RIVALS, mutants.remember_only_the_version_in_force),
    rivals.rivals_at_one_ingress: (Rule.RIVALS, mutants.confirm_every_content),
    rivals.rivals_across_a_partition: (Rule.RIVALS, mutants.accept_half_as_a_majority),
    rivals.rivals_during_power_loss: (Rule.RIVALS, mutants.respond_before_writing),
    repetitions.lost_responses: (Rule.REPEATED_COMMAND, mutants.reject_repeated_commands),
    repetitions.commands_repeated_long_after: (Rule.REPEATED_COMMAND, mutants.reject_repeated_commands),
    repetitions.concurrent_evacuation_and_withdrawal: (Rule.LOST, mutants.respond_before_writing),
    rivals.invalid_beside_valid_configurations: (Rule.IN_FORCE, mutants.accept_invalid_configurations),
    membership_changes.second_loss_after_a_replacement: (Rule.MAJORITY, mutants.never_change_voters),
    membership_changes.all_replicas_replaced_in_turn: (Rule.MAJORITY, mutants.never_change_voters),
    membership_changes.second_loss_after_a_wiped_disk: (Rule.MAJORITY, mutants.never_change_voters),
    membership_changes.retired_replica_with_the_only_copy: (Rule.MAJORITY, mutants.never_change_voters),
    membership_changes.two_replaced_and_two_lost: (Rule.CATCH_UP, mutants.never_change_voters),
    membership_changes.replicas_added_and_one_lost: (Rule.CATCH_UP, mutants.never_change_voters),
    membership_changes.successors_started_first: (Rule.MAJORITY, mutants.never_remove_voters),
    many_changes.three_hundred_changes: (Rule.CATCH_UP, mutants.never_change_voters),
    many_changes.replica_away_during_many_changes: (Rule.STALE, mutants.read_without_asking_others),
    many_changes.rolling_restart_during_many_changes: (Rule.CATCH_UP, mutants.never_change_voters),
    rivals.stray_replies: (Rule.RIVALS, mutants.believe_any_reply),
    many_changes.stepping_clocks: (Rule.DIRECTORY, mutants.measure_by_the_wall_clock),
    membership_changes.removed_seed_machines: (Rule.CATCH_UP, mutants.forget_known_members),
}
"""By scenario: the rule that it tests, and the mutant that must break the rule."""


class TestDirectedScenarios(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def violations(self, scenario, mutant=contextlib.nullcontext, seed=SEED):
        with mutant():
            return run_scenario(seed, scenario, SCENARIOS[scenario]).violations

    def test_each_scenario_has_its_mutant(self):
        self.assertEqual(set(MUTANTS), set(SCENARIOS))
        without = [scenario.__name__ for scenario, (_, mutant) in MUTANTS.items() if mutant is None]
        self.assertEqual(without, [], "scenarios whose defence nobody has taken out")


def _holds(scenario):
    def test(self):
        violations = self.violations(scenario)
        self.assertEqual(violations, [], f"{len(violations)} violations")

    return test


def _breaks(scenario, rule, mutant):
    def test(self):
        for seed in range(SEED, SEED + ATTEMPTS):
            violations = self.violations(scenario, mutant, seed)
            if any(violation.rule is rule for violation in violations):
                return
        self.fail(f"{rule} not among {violations[:3]}")

    return test


def _add(name, test):
    test.__name__ = name
    setattr(TestDirectedScenarios, name, test)


for _scenario, (_rule, _mutant) in MUTANTS.items():
    _add(f"test_holds_{_scenario.__name__}", _holds(_scenario))
    if _mutant is not None:
        _add(f"test_is_found_{_scenario.__name__}", _breaks(_scenario, _rule, _mutant))
