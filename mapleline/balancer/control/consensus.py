"""Consensus on the next state: single-decree Paxos for each change, on one register (pure).

This is CASPaxos as published by Rystsov ("CASPaxos: Replicated State Machines without logs", 2018), with joint
consensus for changes of the voters.  There is no log and no leader: any replica may propose at any time.
docs/design/control.md explains why this algorithm was chosen and why ballots cannot fork the chain of states.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, Protocol

import msgspec

from .state import ReplicaId, State

# The rules
# ---------
#
# Phase 1.  A proposer picks an unused ballot, saves it on its own disk, and sends Prepare to all voters it knows.  An
# acceptor that has promised no higher ballot promises this one: it saves the promise, and replies with the state that
# it accepted last and the ballot of that state.
#
# Base.  The proposer must build on the state that was accepted under the highest ballot among the promises, since that
# state may be chosen.  If no promise shows a state as new as the one that the proposer knows to be chosen, it waits for
# more promises.  The base may name voters that the proposer did not know: it sends Prepare to these as well.  Phase 1
# ends once a majority of each voter set of the base has promised.
#
# Phase 2.  The proposer applies its change to the base, once, and sends Accept with the resulting state to the voters
# of the base and of the result.  An acceptor accepts it unless it has promised a higher ballot, and saves it before it
# replies.
#
# Chosen.  The result is chosen once a majority of each voter set, of the base and of the result, has accepted it under
# this ballot.  The proposer then notifies all of these voters.  If a state was accepted but never became known to be
# chosen, the next phase 1 finds it, and it is either accepted again or superseded.
#
# Preempted.  An acceptor that has promised a higher ballot replies with that ballot; the proposer abandons its own, and
# may retry with a higher one.
#
#     proposer                         acceptor
#     --------                         --------
#     PREPARE   -- Prepare(ballot) ->  prepare()   saves `promised`
#               <- Promised ---------
#     ACCEPT    -- Accept(state) --->  accept()    saves `accepted_ballot`, `accepted_state`
#               <- Accepted ---------
#     CHOSEN    -- Chosen ---------->  mark_chosen()
#
# Two rules protect the bootstrap and cover lost disks.  A replica that knows a chosen state does not promise a proposal
# from state 0.  A replica is identified by an address and a disk: a wiped disk gets a new identity, and has no vote
# until a change of the voters adds it.


class Ballot(NamedTuple):
    """A proposal number: ordered by round, then by its proposer.

    No ballot is used twice, since a proposer saves it on its own disk before sending it to other replicas.
    """

    round: int
    ip: int
    disk_id: int


NO_BALLOT = Ballot(0, 0, 0)


class Record(msgspec.Struct, array_like=True):
    """The durable state of one replica, stored in one file (docs/design/control.md).

    Attributes:
        ip: the address of the machine.
        disk_id: the identity of the disk, generated at random when the disk was empty.
        promised: the highest ballot that was promised.
        accepted_ballot: the ballot under which `accepted_state` was accepted.
        accepted_state: the state that was accepted last.
        earlier_chosen: the newest state known to be chosen, if that is not `accepted_state`.
        is_accepted_chosen: whether `accepted_state` is the newest state known to be chosen.
        version: increases with each change, so that an older record never overwrites a newer one.
    """

    ip: int
    disk_id: int
    promised: Ballot = NO_BALLOT
    accepted_ballot: Ballot = NO_BALLOT
    accepted_state: State | None = None
    earlier_chosen: State | None = None
    is_accepted_chosen: bool = False
    version: int = 0

    @property
    def chosen_state(self) -> State | None:
        """The newest state known to be chosen."""
        return self.accepted_state if self.is_accepted_chosen else self.earlier_chosen


def referenced_digests(record: Record) -> set[int]:
    """Return the digests of the configurations that a record's states reference."""
    states = (record.accepted_state, record.earlier_chosen)
    return {state.config.digest for state in states if state is not None and state.config is not None}


class Acceptor:
    """The acceptor role of a replica.

    A reply may be sent only after the record, as it was when the reply was made, is on the disk.  The driver saves
    `record` and then passes it to `on_record_saved`.

    Attributes:
        record: the state of this acceptor, replaced with each change.
        durable_chosen_number: the number of the chosen state on the disk.
        durable_version: the version of the record on the disk; -1 before the first.
        durable_accepted_number: the number of the accepted state on the disk.  It may decrease, since a state accepted
            under a higher ballot may have a lower number.
    """

    def __init__(self, record: Record) -> None:
        """Create an acceptor from a record that is on the disk."""
        self.record = record
        self.durable_chosen_number = 0
        self.durable_version = -1
        self.durable_accepted_number = 0
        self.on_record_saved(record)

    @property
    def disk_id(self) -> int:
        """The identity of the disk."""
        return self.record.disk_id

    @property
    def accepted_state(self) -> State | None:
        """The state that was accepted last."""
        return self.record.accepted_state

    @property
    def chosen_state(self) -> State | None:
        """The newest state known to be chosen."""
        return self.record.chosen_state

    def prepare(self, ballot: Ballot, known_number: int = 1) -> bool:
        """Promise to accept nothing under a lower ballot.

        Args:
            ballot: the ballot to promise.
            known_number: the number of the newest state that the proposer knows to be chosen; 0 before the bootstrap.
                A replica that knows a chosen state takes no part in another bootstrap: its disk may have been replaced
                since, and with it the record of what it accepted as a seed.

        Returns:
            Whether the promise was made.
        """
        if ballot < self.record.promised:
            return False
        if not known_number and self.chosen_state is not None:
            return False
        if ballot > self.record.promised:
            self._change(promised=ballot)
        return True

    def accept(self, ballot: Ballot, state: State) -> bool:
        """Accept a state; return False if a higher ballot was promised."""
        if ballot < self.record.promised:
            return False
        if ballot == self.record.accepted_ballot:
            return True
        chosen = self.chosen_state
        was_chosen_before = state == chosen
        self._change(
            promised=ballot,
            accepted_ballot=ballot,
            accepted_state=state,
            is_accepted_chosen=was_chosen_before,
            earlier_chosen=None if was_chosen_before else chosen,
        )
        return True

    def mark_chosen(self, ballot: Ballot, number: int) -> bool:
        """Record that the state accepted under a ballot is chosen.

        Returns:
            Whether the record changed: False for another ballot or number, and if a chosen state with this number or a
            higher one is known already.
        """
        record = self.record
        if record.accepted_state is None or record.accepted_state.number != number:
            return False
        if record.accepted_ballot != ballot or record.is_accepted_chosen:
            return False
        if record.earlier_chosen is not None and record.earlier_chosen.number >= number:
            return False
        self._change(is_accepted_chosen=True, earlier_chosen=None)
        return True

    def learn(self, state: State) -> bool:
        """Record a state that is known to be chosen; the accepted state stays, as a higher ballot may depend on it.

        Returns:
            Whether the record changed: False if a chosen state with this number or a higher one is known already.
        """
        chosen = self.chosen_state
        if chosen is not None and chosen.number >= state.number:
            return False
        if self.record.accepted_state == state:
            self._change(is_accepted_chosen=True, earlier_chosen=None)
        else:
            self._change(is_accepted_chosen=False, earlier_chosen=state)
        return True

    def on_record_saved(self, record: Record) -> None:
        """Update the durable numbers after a record was saved; records may be reported in any order."""
        if record.disk_id != self.disk_id:
            return
        chosen = record.chosen_state
        if chosen is not None:
            self.durable_chosen_number = max(self.durable_chosen_number, chosen.number)
        if record.version > self.durable_version:
            accepted = record.accepted_state
            self.durable_version = record.version
            self.durable_accepted_number = accepted.number if accepted is not None else 0

    def _change(self, **fields: object) -> None:
        self.record = msgspec.structs.replace(self.record, version=self.record.version + 1, **fields)


class PrepareReply(Protocol):
    """An acceptor's reply to Prepare (`transport.messages.Promised`)."""

    is_granted: bool  #: the ballot is promised, and the promise is on the disk
    disk_id: int  #: the identity of the disk
    promised_ballot: Ballot  #: the highest ballot that was promised
    accepted_ballot: Ballot  #: the ballot of `accepted_state`
    accepted_state: State | None  #: the state that was accepted last


class AcceptReply(Protocol):
    """An acceptor's reply to Accept (`transport.messages.Accepted`)."""

    is_granted: bool  #: the state is accepted, and on the disk
    disk_id: int  #: the identity of the disk
    promised_ballot: Ballot  #: the highest ballot that was promised


class NextStep(Enum):
    """The next action of the driver of a proposal."""

    WAIT = 0  #: wait for more replies
    PREPARE = 1  #: send Prepare to `take_prepare_targets()`
    ACCEPT = 2  #: send Accept with `proposed_state` to `accept_targets()`
    CHOSEN = 3  #: `proposed_state` is chosen
    PREEMPTED = 4  #: abandon the ballot: an acceptor has promised `highest_ballot`


class Proposal:
    """The proposer role in one ballot.

    Attributes:
        ballot: the ballot, unique to this proposal.
        known_state: the newest state that the proposer knows to be chosen, or the initial state.
        highest_accepted_state: the state accepted under the highest ballot among the promises.
        highest_accepted_ballot: the ballot of `highest_accepted_state`.
        proposed_state: the state to be accepted; None during phase 1.
        highest_ballot: the highest ballot in any reply.
        is_finished: whether the proposal was chosen or preempted; later replies are ignored.
    """

    def __init__(self, ballot: Ballot, known_state: State, change: Callable[[State], State]) -> None:
        """Begin a ballot.

        Args:
            ballot: an unused ballot.
            known_state: the newest state that the proposer knows to be chosen, or the initial state.
            change: called once with the base; returns the state to propose.  If it returns the base itself, the base is
                accepted again, which confirms it.
        """
        self.ballot = ballot
        self.known_state = known_state
        self.highest_accepted_state: State | None = None
        self.highest_accepted_ballot = NO_BALLOT
        self.proposed_state: State | None = None
        self.highest_ballot = ballot
        self.is_finished = False
        self._change = change
        self._promised_by: set[ReplicaId] = set()
        self._accepted_by: set[ReplicaId] = set()
        self._prepared_ips: set[int] = set()

    @property
    def base(self) -> State:
        """The state to change, according to the promises received so far."""
        accepted = self.highest_accepted_state
        if accepted is not None and accepted.number >= self.known_state.number:
            return accepted
        return self.known_state

    def take_prepare_targets(self) -> list[int]:
        """Return the addresses of the voters that no earlier call has returned, ascending."""
        targets = sorted({voter.ip for voter in self.base.all_voters()} - self._prepared_ips)
        self._prepared_ips |= set(targets)
        return targets

    def accept_targets(self) -> list[int]:
        """Return the addresses of all voters whose acceptance counts, ascending."""
        proposed = self.proposed_state.all_voters() if self.proposed_state is not None else []
        return sorted({voter.ip for voter in (*self.base.all_voters(), *proposed)})

    def on_prepare_reply(self, ip: int, reply: PrepareReply) -> NextStep:
        """Process the reply to Prepare from the replica at `ip`, and return the next step."""
        if self.is_finished or self.proposed_state is not None:
            return NextStep.WAIT
        if not reply.is_granted:
            return self._preempt(reply.promised_ballot)
        self._promised_by.add(ReplicaId(ip, reply.disk_id))
        if reply.accepted_state is not None and reply.accepted_ballot > self.highest_accepted_ballot:
            self.highest_accepted_state = reply.accepted_state
            self.highest_accepted_ballot = reply.accepted_ballot
        base = self.base
        if {voter.ip for voter in base.all_voters()} - self._prepared_ips:
            return NextStep.PREPARE
        if not self._shows_known_state() or not base.has_quorum(self._promised_by):
            return NextStep.WAIT
        self.proposed_state = self._change(base)
        return NextStep.ACCEPT

    def on_accept_reply(self, ip: int, reply: AcceptReply) -> NextStep:
        """Process the reply to Accept from the replica at `ip`, and return the next step."""
        if self.is_finished or self.proposed_state is None:
            return NextStep.WAIT
        if not reply.is_granted:
            return self._preempt(reply.promised_ballot) if reply.promised_ballot > self.ballot else NextStep.WAIT
        self._accepted_by.add(ReplicaId(ip, reply.disk_id))
        if not self.base.has_quorum(self._accepted_by) or not self.proposed_state.has_quorum(self._accepted_by):
            return NextStep.WAIT
        self.is_finished = True
        return NextStep.CHOSEN

    def _shows_known_state(self) -> bool:
        """Return whether a promise shows a state as new as the known chosen one; until then there is no quorum."""
        highest_number = self.highest_accepted_state.number if self.highest_accepted_state is not None else 0
        return highest_number >= self.known_state.number

    def _preempt(self, promised: Ballot) -> NextStep:
        self.highest_ballot = max(self.highest_ballot, promised)
        self.is_finished = True
        return NextStep.PREEMPTED
