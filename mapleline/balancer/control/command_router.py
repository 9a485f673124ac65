"""Routes operators' commands to the replica that proposes, and accepts commands that other nodes forward.

Commands go to one coordinator so that ballots do not collide; correctness does not depend on it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ..transport.messages import Propose, Proposed, Reply
from .commands import Command, CommandResult, CommandStatus, ReplaceConfiguration
from .pending_commands import PendingCommand
from .state import content_digest

if TYPE_CHECKING:
    from ..context import NodeContext
    from .proposer import Proposer
    from .replica import LocalReplica
    from .replica_monitor import ReplicaMonitor

HEDGE_DELAY_S = 0.6  # without a reply by then, the command is forwarded to the next replica as well
FORWARD_TIMEOUT_S = 1.2
FORWARDED_COMMAND_TIMEOUT_S = 3 * FORWARD_TIMEOUT_S
# HEDGE_DELAY_S and FORWARD_TIMEOUT_S are extended by a body's transfer time at this rate
SLOW_LINK_BYTES_PER_S = 100_000
RETRY_DELAY_S = 0.05  # after a reply that leaves the command undecided
NO_PROPOSER_DELAY_S = 0.2  # before all replicas are tried again


@dataclass(eq=False, slots=True)
class _ForwardAttempt:
    """A command that was forwarded to one replica."""

    pending: PendingCommand
    ip: int
    attempted_ips: frozenset[int]  #: replicas that were tried before
    is_over: bool = False  #: whether the next replica was tried


class CommandRouter:
    """Routes commands from this node's operators, and accepts those of other nodes."""

    def __init__(
        self, context: NodeContext, replica: LocalReplica, monitor: ReplicaMonitor, proposer: Proposer
    ) -> None:
        """Create a router without pending commands."""
        self._context = context
        self._replica = replica
        self._monitor = monitor
        self._proposer = proposer

    def submit(self, command: Command, body: bytes | None, timeout_s: float) -> Deferred[CommandResult]:
        """Fire with the result of an operator's command; UNCERTAIN if no majority decides it in `timeout_s` seconds."""
        pending = self._pending_command(command, body, timeout_s)
        self._route(pending, frozenset())
        return pending.decided

    def handle_forwarded(self, call: Propose) -> Reply | Deferred[Reply]:
        """Propose a command that another node has forwarded, and reply with its result."""
        if not self._replica.is_voter or not _has_body(call):
            return Proposed(CommandStatus.UNCERTAIN)
        pending = self._pending_command(call.command, call.configuration_body, FORWARDED_COMMAND_TIMEOUT_S)
        self._proposer.enqueue(pending)
        return pending.decided.addCallback(_to_reply)

    def _pending_command(self, command: Command, body: bytes | None, timeout_s: float) -> PendingCommand:
        pending = PendingCommand(command, body, self._context.now() + timeout_s)
        self._context.reactor.callLater(timeout_s, pending.resolve, CommandResult(CommandStatus.UNCERTAIN))
        return pending

    def _route(self, pending: PendingCommand, attempted_ips: frozenset[int]) -> None:
        """Propose the command here, or forward it to the first proposer that has not been tried yet."""
        now = self._context.now()
        if pending.is_resolved or now > pending.deadline:
            return
        proposers = [member.ip for member in self._monitor.proposers(now) if member.ip not in attempted_ips]
        if proposers and proposers[0] == self._context.local_ip:
            self._proposer.enqueue(pending)
        elif proposers:
            self._forward(_ForwardAttempt(pending, proposers[0], attempted_ips))
        elif self._proposer.is_without_read_lease(now):
            pending.resolve(CommandResult(CommandStatus.UNCERTAIN))
        else:
            self._context.reactor.callLater(NO_PROPOSER_DELAY_S, self._route, pending, frozenset())

    def _forward(self, attempt: _ForwardAttempt) -> None:
        pending = attempt.pending
        transfer_s = len(pending.body or b"") / SLOW_LINK_BYTES_PER_S
        self._context.reactor.callLater(HEDGE_DELAY_S + transfer_s, self._try_next, attempt)
        call = Propose(pending.command, pending.body)
        reply = self._context.environment.call(attempt.ip, call, FORWARD_TIMEOUT_S + transfer_s)
        reply.addBoth(self._receive_result, attempt)

    def _try_next(self, attempt: _ForwardAttempt) -> None:
        if not attempt.is_over and not attempt.pending.is_resolved:
            attempt.is_over = True
            self._route(attempt.pending, attempt.attempted_ips | {attempt.ip})

    def _receive_result(self, reply: object, attempt: _ForwardAttempt) -> None:
        if isinstance(reply, Proposed) and reply.status != CommandStatus.UNCERTAIN:
            attempt.pending.resolve(CommandResult(reply.status, reply.text))
        else:
            self._context.reactor.callLater(RETRY_DELAY_S, self._try_next, attempt)


def _to_reply(result: CommandResult) -> Reply:
    return Proposed(result.status, result.text)


def _has_body(call: Propose) -> bool:
    """Return whether the call contains the body that its command needs."""
    if not isinstance(call.command, ReplaceConfiguration):
        return True
    return call.configuration_body is not None and content_digest(call.configuration_body) == call.command.digest
