"""The directed scenarios of `mapleline/simulation/directed_scenarios.py`.

Each has to hold, and with the defence taken out an invariant has to be found broken.
"""

import contextlib
import logging
import re
import unittest
from unittest import mock

from twisted.internet.defer import succeed

from mapleline.balancer.control.reconfiguration import due
from mapleline.balancer.control.state import _numbered, replaced
from mapleline.simulation import directed_scenarios
from mapleline.simulation.scenarios import play

SEED, TRIES = 3, 4
BALANCER = "mapleline.balancer."
CONTROL = BALANCER + "control."


def always_in_touch():
    """Contact with a majority is never wanted."""
    return mock.patch(BALANCER + "node.Node.has_read_lease", lambda self: True)


def reads_what_is_held():
    """Without asking the others."""
    return mock.patch(
        CONTROL + "control_plane.ControlPlane.acquire_read_lease", lambda self, timeout_s=1.5: succeed(True)
    )


def half_is_enough():
    """Half of the voters decide."""
    return mock.patch(
        CONTROL + "state.majority",
        lambda voters, heard: 2 * len([r for r in voters if any(r.is_at(*one) for one in heard)]) >= len(voters),
    )


def answers_before_it_is_kept():
    """Promises and acceptances leave before they are on the disk."""

    def sync(self, acceptor):
        if self.store is not None:
            self.environment.run_in_thread(self.store.save, acceptor.record, dict(self.committed.contents)).addErrback(
                lambda _: None
            )
        acceptor.synced(acceptor.record)
        return succeed(None)

    return mock.patch(CONTROL + "replica.LocalReplica._sync", sync)


def lets_nobody_in():
    """The voters stay who they were at the founding."""
    return mock.patch(CONTROL + "replica_monitor.due", lambda *_: None)


def lets_nobody_go():
    """The voters only become more."""

    def grows(state, *rest):
        voters = due(state, *rest)
        return voters if voters is None or len(voters) > len(state.voters) else None

    return mock.patch(CONTROL + "replica_monitor.due", grows)


def knows_its_seeds_alone():
    """What an earlier life knew of the others is forgotten."""
    return mock.patch(BALANCER + "membership.table.MembershipTable.add_member", lambda *_: None)


def takes_whatever_it_is_asked():
    """The last content under a number is confirmed, and stands."""

    def replaced(state, version, content):
        if state.config is not None and version < state.config[0]:
            return state, True
        return _numbered(state, version, content, (version, content)), True

    return mock.patch(CONTROL + "commands.replaced", replaced)


def remembers_the_last_number_alone():
    """Of the numbers that were confirmed, only that in force has a content."""

    def replaced_(state, version, content):
        if state.config is not None and version < state.config[0]:
            return state, True
        return replaced(state, version, content)

    return mock.patch(CONTROL + "commands.replaced", replaced_)


def refuses_what_is_not_higher():
    """Also what it has confirmed itself."""

    def replaced_(state, version, content):
        if state.config is not None and version <= state.config[0]:
            return state, False
        return replaced(state, version, content)

    return mock.patch(CONTROL + "commands.replaced", replaced_)


def heeds_who_has_hung_up():
    """An order is carried out although its caller has gone elsewhere."""

    def submit(self, client_conn, order, body, key, version):
        self._reply_when_decided(
            client_conn, self.control_plane.submit_command(order, body, self._command_timeout_s), key, version
        )

    always = contextlib.ExitStack()
    always.enter_context(mock.patch(CONTROL + "api.ControlApi.submit", submit))
    always.enter_context(
        mock.patch(CONTROL + "proposer.Proposer._is_without_read_lease", lambda *_: False)
    )  # either is enough
    return always


def believes_any_reply():
    """A reply is believed for whatever call is out."""
    return mock.patch(BALANCER + "transport.fencing.Fence._check_reply", lambda *_: None)


def counts_by_the_wall_clock():
    """Ages are differences of times of day."""
    return mock.patch(
        "mapleline.simulation.world.ProcessReactor.seconds",
        lambda self: self.clock.seconds() + self.machine.clock_skew_s,
    )


def takes_what_is_invalid():
    """A configuration is not checked."""

    def version(body):
        return mock.Mock(config_version=int(re.search(rb'"config_version": (\d+)', body)[1]))

    return mock.patch(CONTROL + "api.parse_configuration", version)


#: the day, the rule that it is about, and the defence to be taken out
MUTANTS = {
    directed_scenarios.cut_off_for_twenty_seconds: ("DIRECTORY", always_in_touch),
    directed_scenarios.cut_off_without_a_disk: ("STALE", reads_what_is_held),
    directed_scenarios.heard_by_none_and_then_hearing_none: ("STALE", reads_what_is_held),
    directed_scenarios.frozen_for_twenty_seconds: ("LOST", heeds_who_has_hung_up),
    directed_scenarios.core_cut_in_two: ("STALE", half_is_enough),
    directed_scenarios.rivals_at_two_ingresses: ("RIVALS", takes_whatever_it_is_asked),
    directed_scenarios.three_rivals: ("RIVALS", remembers_the_last_number_alone),
    directed_scenarios.rivals_by_way_of_one_ingress: ("RIVALS", takes_whatever_it_is_asked),
    directed_scenarios.rivals_at_two_sides_of_a_cut: ("RIVALS", half_is_enough),
    directed_scenarios.rivals_while_power_is_lost: ("RIVALS", answers_before_it_is_kept),
    directed_scenarios.answers_lost_on_their_way: ("AGAIN", refuses_what_is_not_higher),
    directed_scenarios.sent_again_long_after: ("AGAIN", refuses_what_is_not_higher),
    directed_scenarios.evacuations_raced: ("LOST", answers_before_it_is_kept),
    directed_scenarios.an_invalid_one_beside_a_proper_one: ("FORCE", takes_what_is_invalid),
    directed_scenarios.second_loss_after_a_replacement: ("MAJORITY", lets_nobody_in),
    directed_scenarios.all_replaced_in_turn: ("MAJORITY", lets_nobody_in),
    directed_scenarios.second_loss_after_a_repair: ("MAJORITY", lets_nobody_in),
    directed_scenarios.leaver_with_the_only_copy: ("MAJORITY", lets_nobody_in),
    directed_scenarios.two_replaced_and_two_lost: ("WHOLE", lets_nobody_in),
    directed_scenarios.grown_and_one_lost: ("WHOLE", lets_nobody_in),
    directed_scenarios.successors_first: ("MAJORITY", lets_nobody_go),
    directed_scenarios.three_hundred_changes: ("WHOLE", lets_nobody_in),
    directed_scenarios.away_for_hundreds_of_changes: ("STALE", reads_what_is_held),
    directed_scenarios.restarted_again_and_again_during_changes: ("WHOLE", lets_nobody_in),
    directed_scenarios.answers_to_the_wrong_caller: ("RIVALS", believes_any_reply),
    directed_scenarios.clocks_that_step: ("DIRECTORY", counts_by_the_wall_clock),
    directed_scenarios.seeds_that_are_gone: ("WHOLE", knows_its_seeds_alone),
}


class TestWorstDays(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def found(self, day, mutant=contextlib.nullcontext, seed=SEED):
        with mutant():
            return play(seed, day, **directed_scenarios.DAYS[day])[0]

    def test_each_day_has_its_mutant(self):
        self.assertEqual(set(MUTANTS), set(directed_scenarios.DAYS))
        without = [day.__name__ for day, (_, mutant) in MUTANTS.items() if mutant is None]
        self.assertEqual(without, [], "days whose defence nobody has taken out")


def _holds(day):
    def test(self):
        found = self.found(day)
        self.assertEqual(found, [], f"{len(found)} lines")

    return test


def _breaks(day, rule, mutant):
    def test(self):
        for seed in range(SEED, SEED + TRIES):  # what a mutant does hangs on moments
            found = self.found(day, mutant, seed)
            if any(line.startswith(rule) for line in found):
                return
        self.fail(f"{rule} not among {found[:3]}")

    return test


def _add(name, test):
    test.__name__ = name
    setattr(TestWorstDays, name, test)


for _day, (_rule, _mutant) in MUTANTS.items():
    _add(f"test_holds_{_day.__name__}", _holds(_day))
    if _mutant is not None:
        _add(f"test_is_found_{_day.__name__}", _breaks(_day, _rule, _mutant))
