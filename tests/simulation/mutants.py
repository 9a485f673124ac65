"""Mutants of the balancer: each patch takes one defence out, so that a scenario has to break the rule it is about."""

import contextlib
import re
from unittest import mock

from twisted.internet.defer import succeed

from mapleline.balancer.control.reconfiguration import due
from mapleline.balancer.control.state import _numbered, replaced

BALANCER = "mapleline.balancer."
CONTROL = BALANCER + "control."


def grant_every_read_lease():
    """Contact with a majority is never wanted."""
    return mock.patch(BALANCER + "node.Node.has_read_lease", lambda self: True)


def read_without_asking_others():
    """Without asking the others."""
    return mock.patch(
        CONTROL + "control_plane.ControlPlane.acquire_read_lease", lambda self, timeout_s=1.5: succeed(True)
    )


def accept_half_as_a_majority():
    """Half of the voters decide."""
    return mock.patch(
        CONTROL + "state.majority",
        lambda voters, heard: 2 * len([r for r in voters if any(r.is_at(*one) for one in heard)]) >= len(voters),
    )


def respond_before_writing():
    """Promises and acceptances leave before they are on the disk."""

    def sync(self, acceptor):
        if self.store is not None:
            self.environment.run_in_thread(self.store.save, acceptor.record, dict(self.committed.contents)).addErrback(
                lambda _: None
            )
        acceptor.synced(acceptor.record)
        return succeed(None)

    return mock.patch(CONTROL + "replica.LocalReplica._sync", sync)


def never_change_voters():
    """The voters stay who they were at the founding."""
    return mock.patch(CONTROL + "replica_monitor.due", lambda *_: None)


def never_remove_voters():
    """The voters only become more."""

    def grows(state, *rest):
        voters = due(state, *rest)
        return voters if voters is None or len(voters) > len(state.voters) else None

    return mock.patch(CONTROL + "replica_monitor.due", grows)


def forget_known_members():
    """What an earlier life knew of the others is forgotten."""
    return mock.patch(BALANCER + "membership.table.MembershipTable.add_member", lambda *_: None)


def confirm_every_content():
    """The last content under a number is confirmed, and stands."""

    def replaced(state, version, content):
        if state.config is not None and version < state.config[0]:
            return state, True
        return _numbered(state, version, content, (version, content)), True

    return mock.patch(CONTROL + "commands.replaced", replaced)


def remember_only_the_version_in_force():
    """Of the numbers that were confirmed, only that in force has a content."""

    def replaced_(state, version, content):
        if state.config is not None and version < state.config[0]:
            return state, True
        return replaced(state, version, content)

    return mock.patch(CONTROL + "commands.replaced", replaced_)


def reject_repeated_commands():
    """Also what it has confirmed itself."""

    def replaced_(state, version, content):
        if state.config is not None and version <= state.config[0]:
            return state, False
        return replaced(state, version, content)

    return mock.patch(CONTROL + "commands.replaced", replaced_)


def execute_commands_of_disconnected_callers():
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


def believe_any_reply():
    """A reply is believed for whatever call is out."""
    return mock.patch(BALANCER + "transport.fencing.Fence._check_reply", lambda *_: None)


def measure_by_the_wall_clock():
    """Ages are differences of times of day."""
    return mock.patch(
        "mapleline.simulation.event_loop.ProcessReactor.seconds",
        lambda self: self.clock.seconds() + self.machine.clock_skew_s,
    )


def accept_invalid_configurations():
    """A configuration is not checked."""

    def version(body):
        return mock.Mock(config_version=int(re.search(rb'"config_version": (\d+)', body)[1]))

    return mock.patch(CONTROL + "api.parse_configuration", version)
