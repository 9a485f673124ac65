"""Puts orders and changes of the members to the replicas, a ballot at a time; passes on what others had better put."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred

from ..environment import Environment
from ..logs import say
from ..settings import Settings
from ..transport.addresses import ip_to_int
from ..transport.messages import Accept, Accepted, Call, Chosen, Prepare, Promised, Propose, Proposed
from .commands import Command, CommandResult, CommandStatus, ReplaceConfiguration, apply_all
from .committed_state import CommittedState
from .consensus import NO_BALLOT, Ballot, NextStep, Proposal
from .replica import LocalReplica
from .replica_monitor import ReplicaMonitor
from .state import (
    State,
    begin_reconfiguration,
    bootstrap,
    content_digest,
    finish_reconfiguration,
    has_contents,
    initial_state,
)

CALL_S = 1.5
AGAIN_S = 0.15  # after a call that failed
ROUND_S = 1.2  # after which a ballot that found no majority is given up
TURN_S = 0.25  # how often a replica looks for what is to be proposed
LIMBO_S = 0.4  # after which what was accepted, and is not known to be chosen, is proposed anew
REST_S, REST_MOST_S = 0.2, 1.0  # after a ballot that was lost, twice as long after each more
LOST_MOST = 8  # counted: two to the power of more than a thousand is no float any more
HEDGE_S, RELAY_S = 0.6, 1.2  # an order that was passed on and not answered goes to the next as well; is given up there
OUT_S = 2.5  # without contact: a question a second, and one of them lost


class _Asked:
    """One order on its way."""

    __slots__ = ("body", "done", "end", "order")

    def __init__(self, order: Command, body: bytes | None, end: float) -> None:
        self.order, self.body, self.end = order, body, end
        self.done: Deferred = Deferred()

    def answer(self, outcome: CommandResult) -> None:
        if not self.done.called:
            self.done.callback(outcome)


class Proposer:
    """`won(state)` is called with each state that a ballot from here has seen chosen."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        environment: Environment,
        rng: random.Random,
        held: CommittedState,
        replica: LocalReplica,
        members: ReplicaMonitor,
        won: Callable[[State], None],
    ) -> None:
        self.reactor, self.settings, self.environment, self.rng = reactor, settings, environment, rng
        self.committed, self.replica, self.monitor, self.won = held, replica, members, won
        self.me = replica.me
        self.orders: list[_Asked] = []
        self.taken: list[_Asked] = []  #: orders in the ballot that is out
        self.outcomes: list[CommandResult] = []
        self.proposal: Proposal | None = None
        self.round = 0  #: the highest that was seen
        self.rest_until, self.lost = 0.0, 0  #: and how many ballots on end
        #: accepted, not known to be chosen, and when that is too long
        self.limbo: tuple[Ballot, float] = (NO_BALLOT, 0.0)

    # -- orders --------------------------------------------------------------------------------------------

    def submit(self, order: Command, body: bytes | None, timeout_s: float) -> Deferred:
        """Fires with the outcome of an operator's order: UNSURE if a majority could not be reached in time."""
        asked = _Asked(order, body, self.reactor.seconds() + timeout_s)
        self.reactor.callLater(timeout_s, asked.answer, CommandResult(CommandStatus.UNCERTAIN))
        self._route(asked, set())
        return asked.done

    def _route(self, asked: _Asked, tried: set[int]) -> None:
        """To the coordinator; to the next of the voters if that one does not answer."""
        now = self.reactor.seconds()
        if asked.done.called or now > asked.end:
            return
        untried = [m.ip for m in self.monitor.proposers(now) if m.ip not in tried]
        if not untried:
            if self._is_without_read_lease(now):
                return asked.answer(CommandResult(CommandStatus.UNCERTAIN))
            return self.reactor.callLater(0.2, self._route, asked, set())
        ip = untried[0]
        if ip == self.me:
            return self._take(asked)
        over: list[bool] = []

        def further() -> None:
            if not over and not asked.done.called:
                over.append(True)
                self._route(asked, tried | {ip})

        def answered(reply: Any) -> None:
            if isinstance(reply, Proposed) and reply.status != CommandStatus.UNCERTAIN:
                asked.answer(CommandResult(reply.status, reply.text))
            else:
                self.reactor.callLater(0.05, further)

        size = len(asked.body or b"") / 100_000  # seconds that a thin link takes
        self.reactor.callLater(HEDGE_S + size, further)  # the same order twice is one
        self.environment.call(ip, Propose(asked.order, asked.body), RELAY_S + size).addBoth(answered)

    def passed_on(self, call: Propose) -> Any:
        """Another ingress passes an order on: what it is to be told, or a Deferred of that."""
        if not self.replica.is_voter:
            return Proposed(CommandStatus.UNCERTAIN)
        if isinstance(call.command, ReplaceConfiguration) and (
            call.configuration_body is None or content_digest(call.configuration_body) != call.command.digest
        ):
            return Proposed(CommandStatus.UNCERTAIN)
        asked = _Asked(call.command, call.configuration_body, self.reactor.seconds() + 3 * RELAY_S)
        self.reactor.callLater(3 * RELAY_S, asked.answer, CommandResult(CommandStatus.UNCERTAIN))
        self._take(asked)
        return asked.done.addCallback(lambda outcome: Proposed(*outcome))

    def _take(self, asked: _Asked) -> None:
        """An order that this one proposes itself."""
        if isinstance(asked.order, ReplaceConfiguration) and asked.body is not None:
            self.committed.contents[asked.order.digest] = asked.body
        self.orders.append(asked)
        self.look()

    def names(self) -> set[int]:
        """Contents that must not be forgotten."""
        wanted = {one.order.digest for one in self.orders if isinstance(one.order, ReplaceConfiguration)}
        proposed = self.proposal.proposed_state if self.proposal is not None else None
        return wanted | ({proposed.config.digest} if proposed is not None and proposed.config is not None else set())

    def _is_without_read_lease(self, now: float) -> bool:
        """Whether who asks here had better ask another: there was no contact for some questions on end."""
        return now - self.monitor.current_as_of() > OUT_S

    # -- when to propose -----------------------------------------------------------------------------------

    def turn(self) -> None:
        """Look again and again for what is to be proposed."""
        self.reactor.callLater(TURN_S * self.rng.uniform(0.9, 1.1), self.turn)
        self.look()

    def look(self) -> None:
        """Begin a ballot if there is something to propose, and none is out."""
        now, state = self.reactor.seconds(), self.committed.state
        self.orders = [one for one in self.orders if not one.done.called and one.end > now]
        if self.proposal is not None or now < self.rest_until or not self.replica.disk:
            return
        if state is None:
            if self.monitor.may_found(now):
                self._begin(initial_state(ip_to_int(at) for at, _ in self.settings.seed_nodes), self._found)
        elif self.replica.is_voter and (
            self.orders
            or self._in_limbo(now)
            or state.former
            and self.monitor.is_coordinator(now)
            or self.monitor.due(state, now)
        ):
            self._begin(state, self._next)

    def _in_limbo(self, now: float) -> bool:
        """Something was accepted here, and whether it is chosen is not known: who proposed it may be gone."""
        record = self.replica.acceptor.record
        if record.accepted_state is None or record.accepted_state.number <= self.committed.number:
            return False
        if self.limbo[0] != record.accepted_ballot:
            self.limbo = record.accepted_ballot, now + LIMBO_S * self.rng.uniform(1.0, 2.0)
        return now > self.limbo[1]

    def _found(self, base: State) -> State:
        """The first core; another's, if one was accepted already."""
        return bootstrap(base, self.rng.getrandbits(31) | 1, self.monitor.first(self.reactor.seconds()))

    def _next(self, base: State) -> State:
        """What the orders at hand make of a state, and the members' change that is due."""
        known = base == self.committed.state  # so that it is known to be chosen
        self.taken = [one for one in self.orders if not one.done.called]
        state, self.outcomes = apply_all(
            finish_reconfiguration(base) if known else base,
            [one.order for one in self.taken],
            self.monitor.tolerance,
        )
        if known and not base.former and not state.former:
            voters = self.monitor.due(state, self.reactor.seconds())
            state = begin_reconfiguration(state, voters) if voters is not None else state
        return state

    # -- one ballot ----------------------------------------------------------------------------------------

    def _begin(self, known: State, change: Callable[[State], State]) -> None:
        self.taken, self.outcomes = [], []
        self.round = max(self.round, self.replica.acceptor.record.promised.round) + 1
        proposal = self.proposal = Proposal(Ballot(self.round, self.me, self.replica.disk), known, change)
        self.reactor.callLater(ROUND_S, self._give_up, proposal)

        def first(reply: Promised) -> None:
            """The ballot is on the own disk before anybody hears of it: no later life uses it again."""
            if reply.is_granted and proposal is self.proposal:
                self._ask(proposal)
            else:
                self._give_up(proposal)

        own = maybeDeferred(
            self.replica.prepare, Prepare(proposal.ballot, proposal.known_state.number, self.committed.digest)
        )
        own.addCallback(first).addErrback(self._fault)

    def _ask(self, proposal: Proposal) -> None:
        for ip in proposal.take_prepare_targets():
            self._call(
                ip,
                Prepare(proposal.ballot, proposal.known_state.number, self.committed.digest),
                self._promised,
                proposal,
            )

    def _call(self, ip: int, call: Call, then: Callable[..., None], proposal: Proposal) -> None:
        if ip == self.me:
            take = self.replica.prepare if isinstance(call, Prepare) else self.replica.accept
            done = maybeDeferred(take, call)
        else:
            done = self.environment.call(ip, call, CALL_S)
        known = dict(self.monitor.high)

        def answered(reply: Any) -> None:
            if isinstance(reply, Promised | Accepted) and reply.is_granted:
                if reply.record_version < known.get((ip, reply.disk_id), 0):
                    return  # an older folder was put back there
                self.monitor.record_turn(ip, reply.disk_id, reply.record_version)
            then(proposal, ip, reply)

        done.addCallbacks(answered, lambda _: self._call_again(ip, call, then, proposal))
        done.addErrback(self._fault)

    def _call_again(self, ip: int, call: Call, then: Callable[..., None], proposal: Proposal) -> None:
        """No answer, or none that is believed: the same once more, for as long as the ballot is out."""

        def again() -> None:
            if proposal is self.proposal:
                self._call(ip, call, then, proposal)

        self.reactor.callLater(AGAIN_S, again)

    def _fault(self, reason: Any) -> None:
        say("node", "fault", trace=reason.getTraceback())

    def _promised(self, proposal: Proposal, ip: int, reply: Any) -> None:
        if (
            not isinstance(reply, Promised)
            or proposal is not self.proposal
            or not reply.is_granted
            and not reply.disk_id
        ):
            return
        if reply.accepted_state is not None:
            self.committed.add_body(reply.accepted_state, reply.configuration_body)
        self._step(
            proposal,
            proposal.on_prepare_reply(ip, reply),
        )

    def _accepted(self, proposal: Proposal, ip: int, reply: Any) -> None:
        if not isinstance(reply, Accepted) or proposal is not self.proposal:
            return
        if reply.needs_body:
            body = self.committed.contents[proposal.proposed_state.config.digest]
            self._call(ip, Accept(proposal.ballot, proposal.proposed_state, body), self._accepted, proposal)
        elif reply.is_granted or reply.disk_id:
            self._step(proposal, proposal.on_accept_reply(ip, reply))

    def _step(self, proposal: Proposal, step: NextStep) -> None:
        match step:
            case NextStep.PREPARE:
                self._ask(proposal)
            case NextStep.ACCEPT if has_contents(proposal.proposed_state, self.committed.contents):
                base, state = proposal.base, proposal.proposed_state
                fresh = state.config is not None and state.config != base.config
                body = self.committed.contents[state.config.digest] if fresh else None
                for ip in proposal.accept_targets():
                    self._call(ip, Accept(proposal.ballot, state, body), self._accepted, proposal)
            case NextStep.CHOSEN:
                self._won(proposal)
            case NextStep.PREEMPTED:
                self.round = max(self.round, proposal.highest_ballot.round)
                self._give_up(proposal)

    def _won(self, proposal: Proposal) -> None:
        """The state is chosen: all who voted are told."""
        self.lost = 0
        self.proposal, chosen = None, Chosen(proposal.ballot, proposal.proposed_state.number)
        for ip in proposal.accept_targets():
            if ip != self.me:
                self.environment.send(ip, chosen)
        self.won(proposal.proposed_state)
        for one, outcome in zip(self.taken, self.outcomes, strict=True):
            one.answer(outcome)
        self.look()

    def _give_up(self, proposal: Proposal) -> None:
        """Lost to a higher ballot, or no majority: again after a while that differs from the others'."""
        if proposal is not self.proposal:
            return
        self.proposal, now = None, self.reactor.seconds()
        if self._is_without_read_lease(now) or self.replica.fault is not None:
            for one in self.orders:
                one.answer(CommandResult(CommandStatus.UNCERTAIN))
        rest = self.rng.uniform(0.02, min(REST_MOST_S, REST_S * 2**self.lost))
        self.lost = min(self.lost + 1, LOST_MOST)
        self.rest_until = now + rest
        self.reactor.callLater(rest + 0.001, self.look)
