"""Mutants of the balancer: each patch disables one safeguard, so that a directed scenario must break its rule."""

import contextlib
import re
from unittest import mock

from twisted.internet.defer import succeed

from mapleline.balancer.control.reconfiguration import next_voters
from mapleline.balancer.control.state import ConfigurationRef, remember_version, replace_configuration

BALANCER = "mapleline.balancer."
CONTROL = BALANCER + "control."


def grant_every_read_lease():
    """Let a machine serve without contact to a majority."""
    return mock.patch(BALANCER + "node.Node.has_read_lease", lambda self: True)


def read_without_asking_others():
    """Answer reads from the local state, without a round to a majority."""
    return mock.patch(
        CONTROL + "control_plane.ControlPlane.acquire_read_lease", lambda self, timeout_s=1.5: succeed(True)
    )


def accept_half_as_a_majority():
    """Accept half of the voters as a majority."""
    return mock.patch(
        CONTROL + "state.has_majority",
        lambda voters, heard: 2 * len([v for v in voters if any(v.matches(sender) for sender in heard)]) >= len(voters),
    )


def respond_before_writing():
    """Send promises and acceptances before they are stored on the disk."""

    def respond_at_once(self, acceptor):
        if self.store is not None:
            contents = dict(self._committed.contents)
            saved = self._context.environment.run_in_thread(self.store.save, acceptor.record, contents)
            saved.addErrback(lambda _: None)
        acceptor.on_record_saved(acceptor.record)
        return succeed(None)

    return mock.patch(CONTROL + "replica.LocalReplica._save", respond_at_once)


def never_change_voters():
    """Keep the initial voters."""
    return mock.patch(CONTROL + "replica_monitor.next_voters", lambda *_: None)


def never_remove_voters():
    """Add voters, but never remove any."""

    def next_larger_voters(state, *args):
        voters = next_voters(state, *args)
        return voters if voters is None or len(voters) > len(state.voters) else None

    return mock.patch(CONTROL + "replica_monitor.next_voters", next_larger_voters)


def forget_known_members():
    """Do not restore the members that an earlier incarnation knew."""
    return mock.patch(BALANCER + "membership.table.MembershipTable.add_member", lambda *_: None)


def confirm_every_content():
    """Acknowledge every content under a version; the last one stays in force."""

    def replaced_without_check(state, version, content):
        if state.config is not None and version < state.config.version:
            return state, True
        confirmed = ConfigurationRef(version, content)
        return remember_version(state, confirmed, confirmed), True

    return mock.patch(CONTROL + "commands.replace_configuration", replaced_without_check)


def remember_only_the_version_in_force():
    """Remember only the content of the version in force."""

    def replaced_with_check(state, version, content):
        if state.config is not None and version < state.config.version:
            return state, True
        return replace_configuration(state, version, content)

    return mock.patch(CONTROL + "commands.replace_configuration", replaced_with_check)


def reject_repeated_commands():
    """Reject every version that is not higher, including those that were acknowledged before."""

    def replaced_with_check(state, version, content):
        if state.config is not None and version <= state.config.version:
            return state, False
        return replace_configuration(state, version, content)

    return mock.patch(CONTROL + "commands.replace_configuration", replaced_with_check)


def execute_commands_of_disconnected_callers():
    """Execute a command although its caller has disconnected to retry at another machine."""

    def submit(self, client_conn, request):
        decided = self._control_plane.submit_command(request.command, request.body, self.command_timeout_s)
        self.reply_when_decided(client_conn, decided, request.label)

    patches = contextlib.ExitStack()
    patches.enter_context(mock.patch(CONTROL + "api.ControlApi.submit", submit))
    patches.enter_context(
        mock.patch(CONTROL + "proposer.Proposer.is_without_read_lease", lambda *_: False)
    )  # each of the two safeguards suffices alone
    return patches


def believe_any_reply():
    """Accept any reply for a call in flight, also the reply to another call."""
    return mock.patch(BALANCER + "transport.fencing.Fence._check_reply", lambda *_: None)


def measure_by_the_wall_clock():
    """Measure ages by the time of day instead of the monotonic clock."""
    return mock.patch(
        "mapleline.simulation.event_loop.ProcessReactor.seconds",
        lambda self: self.clock.seconds() + self.machine.clock_skew_s,
    )


def accept_invalid_configurations():
    """Accept configurations without validation."""

    def parse_version_only(body):
        return mock.Mock(config_version=int(re.search(rb'"config_version": (\d+)', body)[1]))

    return mock.patch(CONTROL + "api.parse_configuration", parse_version_only)
