"""Proposes commands and changes of the voters to the replicas, one ballot at a time.

The rules of a ballot are in `consensus`; this module drives them with timers, calls, retries and a backoff after a lost
ballot.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred, maybeDeferred

from ..transport.addresses import ip_to_int
from ..transport.messages import Accept, Accepted, Chosen, Prepare, Promised
from .commands import CommandResult, CommandStatus, ReplaceConfiguration, apply_all
from .consensus import NO_BALLOT, Ballot, NextStep, Proposal
from .state import State, begin_reconfiguration, bootstrap, finish_reconfiguration, has_contents, initial_state

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..context import NodeContext
    from .committed_state import CommittedState
    from .pending_commands import PendingCommand
    from .replica import LocalReplica
    from .replica_monitor import ReplicaMonitor

logger = logging.getLogger(__name__)

CALL_TIMEOUT_S = 1.5
CALL_RETRY_DELAY_S = 0.15
BALLOT_TIMEOUT_S = 1.2  # a ballot without a majority by then is abandoned
TICK_INTERVAL_S = 0.25
TICK_JITTER = 0.1  # share of the interval
UNDECIDED_TIMEOUT_S = 0.4  # a state accepted here and not known to be chosen is proposed again after 1 to 2 times this
MIN_BACKOFF_S = 0.02
BACKOFF_S = 0.2  # upper bound of the backoff after the first lost ballot; doubles with each further loss in a row
MAX_BACKOFF_S = 1.0
MAX_COUNTED_LOSSES = 8  # 2 ** n overflows a float for large n
BACKOFF_MARGIN_S = 0.001  # makes the timer fire after the end of the backoff, not exactly at it
LEASE_LOST_S = 2.5  # age of the read lease that counts as lost: covers two queries 1 s apart, of which one is lost
SYSTEM_ID_BITS = 31


class Proposer:
    """The queue of commands at this node, and its ballot in progress, of which there is at most one."""

    def __init__(
        self,
        context: NodeContext,
        committed: CommittedState,
        replica: LocalReplica,
        monitor: ReplicaMonitor,
        on_chosen: Callable[[State], None],
    ) -> None:
        """Create an idle proposer; `on_chosen` is called with each state that this proposer's ballots got chosen."""
        self._context = context
        self._committed = committed
        self._replica = replica
        self._monitor = monitor
        self._on_chosen = on_chosen
        self._queue: list[PendingCommand] = []
        self._proposal: Proposal | None = None
        self._proposed_commands: list[PendingCommand] = []  #: the commands in the ballot in progress
        self._results: list[CommandResult] = []  #: of `_proposed_commands`, if the proposed state is chosen
        self._highest_round = 0
        self._backoff_until = 0.0
        self._losses = 0  #: ballots lost in a row
        self._undecided_ballot: Ballot = NO_BALLOT  #: ballot of the state accepted here and not known to be chosen
        self._undecided_deadline = 0.0

    def enqueue(self, pending: PendingCommand) -> None:
        """Add a command to the queue, to be proposed with the next ballot."""
        if isinstance(pending.command, ReplaceConfiguration) and pending.body is not None:
            self._committed.contents[pending.command.digest] = pending.body
        self._queue.append(pending)
        self.begin_ballot_if_due()

    def referenced_contents(self) -> set[int]:
        """Return the digests of the configurations that queued commands or the ballot in progress reference."""
        contents = {
            pending.command.digest for pending in self._queue if isinstance(pending.command, ReplaceConfiguration)
        }
        proposed = self._proposal.proposed_state if self._proposal is not None else None
        if proposed is not None and proposed.config is not None:
            contents.add(proposed.config.digest)
        return contents

    def is_without_read_lease(self, now: float) -> bool:
        """Return whether the read lease has been lost for so long that an operator should ask another node."""
        return now - self._monitor.current_as_of() > LEASE_LOST_S

    # -- when to propose ---------------------------------------------------------------------------------------

    def tick(self) -> None:
        """Begin a ballot if one is due, and schedule the next check."""
        jitter = self._context.rng.uniform(1 - TICK_JITTER, 1 + TICK_JITTER)
        self._context.reactor.callLater(TICK_INTERVAL_S * jitter, self.tick)
        self.begin_ballot_if_due()

    def begin_ballot_if_due(self) -> None:
        """Begin a ballot if there is something to propose and none is in progress."""
        now = self._context.now()
        self._queue = [pending for pending in self._queue if not pending.is_resolved and pending.deadline > now]
        if self._proposal is not None or now < self._backoff_until or not self._replica.disk_id:
            return
        state = self._committed.state
        if state is None:
            if self._monitor.bootstrap.is_due(now):
                seeds = self._context.settings.seed_nodes
                self._begin_ballot(initial_state(ip_to_int(host) for host, _ in seeds), self._bootstrap)
        elif self._replica.is_voter and self._is_change_due(state, now):
            self._begin_ballot(state, self._next_state)

    def _is_change_due(self, state: State, now: float) -> bool:
        if self._queue or self._is_undecided_overdue(now):
            return True
        if state.former and self._monitor.is_coordinator(now):
            return True
        return bool(self._monitor.due_voters(state, now))

    def _is_undecided_overdue(self, now: float) -> bool:
        """Return whether a state accepted here has been undecided for long: its proposer may have failed."""
        record = self._replica.acceptor_record()
        if record is None or record.accepted_state is None or record.accepted_state.number <= self._committed.number:
            return False
        if self._undecided_ballot != record.accepted_ballot:
            self._undecided_ballot = record.accepted_ballot
            self._undecided_deadline = now + UNDECIDED_TIMEOUT_S * self._context.rng.uniform(1.0, 2.0)
        return now > self._undecided_deadline

    # -- what to propose ---------------------------------------------------------------------------------------

    def _bootstrap(self, base: State) -> State:
        """Return the system's first state, or `base` if another node's first state was accepted already."""
        system = self._context.rng.getrandbits(SYSTEM_ID_BITS) | 1
        return bootstrap(base, system, self._monitor.bootstrap.initial_voters(self._context.now()))

    def _next_state(self, base: State) -> State:
        """Apply the queued commands, and the change of the voters that is due, to the base."""
        is_known_chosen = base == self._committed.state
        self._proposed_commands = [pending for pending in self._queue if not pending.is_resolved]
        commands = [pending.command for pending in self._proposed_commands]
        state = finish_reconfiguration(base) if is_known_chosen else base
        state, self._results = apply_all(state, commands, self._monitor.tolerance)
        if is_known_chosen and not base.former and not state.former:
            voters = self._monitor.due_voters(state, self._context.now())
            if voters is not None:
                state = begin_reconfiguration(state, voters)
        return state

    # -- one ballot --------------------------------------------------------------------------------------------

    def _begin_ballot(self, known: State, change: Callable[[State], State]) -> None:
        self._proposed_commands = []
        self._results = []
        self._highest_round = max(self._highest_round, self._replica.promised_round()) + 1
        ballot = Ballot(self._highest_round, self._context.local_ip, self._replica.disk_id)
        proposal = Proposal(ballot, known, change)
        self._proposal = proposal
        self._context.reactor.callLater(BALLOT_TIMEOUT_S, self._give_up, proposal)
        own_promise = self._send(self._context.local_ip, self._prepare_call(proposal))
        own_promise.addCallback(self._receive_own_promise, proposal).addErrback(_log_fault)

    def _receive_own_promise(self, reply: object, proposal: Proposal) -> None:
        """Send Prepare to the others once the ballot is on this disk, so that no later incarnation reuses it."""
        if isinstance(reply, Promised) and reply.is_granted and proposal is self._proposal:
            self._send_prepares(proposal)
        else:
            self._give_up(proposal)

    def _prepare_call(self, proposal: Proposal) -> Prepare:
        return Prepare(proposal.ballot, proposal.known_state.number, self._committed.digest)

    def _send_prepares(self, proposal: Proposal) -> None:
        for ip in proposal.take_prepare_targets():
            self._call(ip, self._prepare_call(proposal), proposal)

    def _send_accepts(self, proposal: Proposal, state: State) -> None:
        """Send the proposed state, with the body of its configuration if that differs from the base's."""
        body = None
        if state.config is not None and state.config != proposal.base.config:
            body = self._committed.contents[state.config.digest]
        for ip in proposal.accept_targets():
            self._call(ip, Accept(proposal.ballot, state, body), proposal)

    def _call(self, ip: int, call: Prepare | Accept, proposal: Proposal) -> None:
        """Send a call of a ballot to one replica, and retry until it replies or the ballot ends."""
        known_versions = dict(self._monitor.highest_versions)

        def receive(reply: object) -> None:
            if isinstance(reply, Promised | Accepted) and reply.is_granted:
                if reply.record_version < known_versions.get((ip, reply.disk_id), 0):
                    return  # the replica's disk was rolled back: its vote must not count
                self._monitor.observe_record_version(ip, reply.disk_id, reply.record_version)
            if isinstance(call, Prepare):
                self._receive_promise(proposal, ip, reply)
            else:
                self._receive_acceptance(proposal, ip, reply)

        def retry_later(_: Failure) -> None:
            self._context.reactor.callLater(CALL_RETRY_DELAY_S, self._retry, ip, call, proposal)

        self._send(ip, call).addCallbacks(receive, retry_later).addErrback(_log_fault)

    def _send(self, ip: int, call: Prepare | Accept) -> Deferred[Any]:
        # Any, since the types of maybeDeferred do not cover a function that returns a reply or a Deferred of one
        if ip != self._context.local_ip:
            return self._context.environment.call(ip, call, CALL_TIMEOUT_S)
        if isinstance(call, Prepare):
            return maybeDeferred(self._replica.prepare, call)
        return maybeDeferred(self._replica.accept, call)

    def _retry(self, ip: int, call: Prepare | Accept, proposal: Proposal) -> None:
        if proposal is self._proposal:
            self._call(ip, call, proposal)

    def _receive_promise(self, proposal: Proposal, ip: int, reply: object) -> None:
        if not isinstance(reply, Promised) or proposal is not self._proposal:
            return
        if not reply.is_granted and not reply.disk_id:
            return  # the replica has no vote at present
        if reply.accepted_state is not None:
            self._committed.add_body(reply.accepted_state, reply.configuration_body)
        self._take_step(proposal, proposal.on_prepare_reply(ip, reply))

    def _receive_acceptance(self, proposal: Proposal, ip: int, reply: object) -> None:
        if not isinstance(reply, Accepted) or proposal is not self._proposal:
            return
        state = proposal.proposed_state
        if reply.needs_body and state is not None and state.config is not None:
            body = self._committed.contents[state.config.digest]
            self._call(ip, Accept(proposal.ballot, state, body), proposal)
        elif reply.is_granted or reply.disk_id:
            self._take_step(proposal, proposal.on_accept_reply(ip, reply))

    def _take_step(self, proposal: Proposal, step: NextStep) -> None:
        state = proposal.proposed_state
        match step:
            case NextStep.PREPARE:
                self._send_prepares(proposal)
            case NextStep.ACCEPT if state is not None and has_contents(state, self._committed.contents):
                self._send_accepts(proposal, state)
            case NextStep.CHOSEN if state is not None:
                self._finish(proposal, state)
            case NextStep.PREEMPTED:
                self._highest_round = max(self._highest_round, proposal.highest_ballot.round)
                self._give_up(proposal)

    def _finish(self, proposal: Proposal, state: State) -> None:
        """Notify the acceptors that the state is chosen, and resolve its commands."""
        self._losses = 0
        self._proposal = None
        chosen = Chosen(proposal.ballot, state.number)
        for ip in proposal.accept_targets():
            if ip != self._context.local_ip:
                self._context.send(ip, chosen)
        self._on_chosen(state)
        for pending, result in zip(self._proposed_commands, self._results, strict=True):
            pending.resolve(result)
        self.begin_ballot_if_due()

    def _give_up(self, proposal: Proposal) -> None:
        """End a ballot that was preempted or found no majority; the next one begins after a random backoff."""
        if proposal is not self._proposal:
            return
        self._proposal = None
        now = self._context.now()
        if self.is_without_read_lease(now) or self._replica.disk_error is not None:
            for pending in self._queue:
                pending.resolve(CommandResult(CommandStatus.UNCERTAIN))
        max_backoff_s = min(MAX_BACKOFF_S, BACKOFF_S * 2**self._losses)
        backoff_s = self._context.rng.uniform(MIN_BACKOFF_S, max_backoff_s)
        self._losses = min(self._losses + 1, MAX_COUNTED_LOSSES)
        self._backoff_until = now + backoff_s
        self._context.reactor.callLater(backoff_s + BACKOFF_MARGIN_S, self.begin_ballot_if_due)


def _log_fault(reason: Failure) -> None:
    logger.info("unexpected exception", extra={"trace": reason.getTraceback()})
