"""Consensus on the next state: single-decree Paxos for each change, on one register (pure).

This is CASPaxos as published by Rystsov ("CASPaxos: Replicated State Machines without logs", 2018), with joint
consensus for the change of voters.  There is no log and no leader: any replica may propose at any time.
docs/design/control.md says why this was chosen and why ballots cannot fork the chain of states.
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
# Phase 1.  A proposer draws a ballot that nobody has used, saves it on its own disk, and sends Prepare to all voters it
# knows.  An acceptor that has promised no higher ballot promises this one: it saves the promise, and answers with the
# state it accepted last and the ballot of that.
#
# Base.  The proposer must build upon the state that was accepted under the highest ballot among the promises, since
# that one may be chosen.  Where promises show none as new as the state that it knows to be chosen, it waits for more.
# The base may name voters that the proposer did not know: these are asked as well.  Once a majority of each set of
# voters of the base has promised, phase 1 is done.
#
# Phase 2.  The proposer applies its change to the base, once, and sends Accept with the outcome to the voters of the
# base and of the outcome.  An acceptor takes it unless it has promised a higher ballot, and saves it before it answers.
#
# Chosen.  The outcome is chosen once a majority of each set of voters, of the base and of the outcome, has accepted it
# under this ballot.  The proposer then tells all of them; a state that was accepted and never became known to be chosen
# is found by the next phase 1, and either accepted anew or passed over.
#
# Preempted.  An acceptor that has promised a higher ballot answers with it; the proposer gives its ballot up, and may
# try again with a higher one.
#
#     proposer                         acceptor
#     --------                         --------
#     PREPARE   -- Prepare(ballot) ->  prepare()   saves `promised`
#               <- Promised ---------
#     ACCEPT    -- Accept(state) --->  accept()    saves `accepted_ballot`, `accepted_state`
#               <- Accepted ---------
#     CHOSEN    -- Chosen ---------->  mark_chosen()
#
# Two rules protect the founding and lost disks.  A proposal from state 0 gets no promise of a replica that knows a
# chosen state.  A replica is an address and a disk: a disk that was wiped has another identity, and no vote until a
# change of the voters lets it in.


class Ballot(NamedTuple):
    """A proposal number: ordered by round, then by its proposer.

    No ballot is used twice: before anybody else hears of one, its proposer has it on its own disk.
    """

    round: int
    ip: int
    disk_id: int


NO_BALLOT = Ballot(0, 0, 0)


class Record(msgspec.Struct, array_like=True):
    """What one replica keeps on its disk, in one file (docs/design/control.md).

    Attributes:
        ip: the address of the machine.
        disk_id: the identity of the disk, drawn when it was empty.
        promised: the highest ballot that was promised.
        accepted_ballot: the ballot under which `accepted_state` was accepted.
        accepted_state: the state that was accepted last.
        earlier_chosen: the newest state known to be chosen, where that is not `accepted_state`.
        is_accepted_chosen: whether `accepted_state` is the newest state known to be chosen.
        version: climbs with each change, so that an older record is never written over a newer one.
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
    """A replica's part in a ballot.

    An answer may leave only after the record, as it was when the answer was made, is on the disk.  The driver saves
    `record` and reports it to `on_record_saved`.

    Attributes:
        record: the state of this acceptor, replaced with each change.
        durable_chosen_number: the number of the chosen state on the disk.
        durable_version: the version of the record on the disk; -1 before the first.
        durable_accepted_number: the number of the accepted state on the disk.  It may go back, as a higher ballot may
            bring a lower number.
    """

    def __init__(self, record: Record) -> None:
        """Continue from a record that is on the disk."""
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
        """Promise to accept nothing under a lower ballot; return False if that can't be promised.

        Args:
            ballot: the ballot to promise.
            known_number: the number of the newest state that the proposer knows to be chosen; 0 before the founding.
                A replica that knows a chosen state takes no part in another founding: it may have another disk
                since, and nothing is left of what it accepted as a seed.
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
        """Note that the state accepted under a ballot is chosen.

        Returns:
            Whether that was new: False for another ballot or number, and where a chosen state as new is known.
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
        """Take over a state that is known to be chosen; return False if a chosen state as new is known.

        What was accepted stays, as a higher ballot may depend on it.
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
        """Note that a record is on the disk; records may be reported in any order."""
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
    """An acceptor's answer to Prepare (`transport.messages.Promised`)."""

    is_granted: bool  #: the ballot is promised, and the promise is on the disk
    disk_id: int  #: the identity of the disk
    promised_ballot: Ballot  #: the highest ballot that was promised
    accepted_ballot: Ballot  #: the ballot of `accepted_state`
    accepted_state: State | None  #: what was accepted last


class AcceptReply(Protocol):
    """An acceptor's answer to Accept (`transport.messages.Accepted`)."""

    is_granted: bool  #: the state is accepted, and on the disk
    disk_id: int  #: the identity of the disk
    promised_ballot: Ballot  #: the highest ballot that was promised


class NextStep(Enum):
    """What the driver of a proposal has to do next."""

    WAIT = 0  #: for more answers
    PREPARE = 1  #: send Prepare to `take_prepare_targets()`
    ACCEPT = 2  #: send Accept with `proposed_state` to `accept_targets()`
    CHOSEN = 3  #: `proposed_state` is chosen
    PREEMPTED = 4  #: give up: `highest_ballot` was promised elsewhere


class Proposal:
    """A proposer's part in one ballot.

    Attributes:
        ballot: the ballot, used by nobody else.
        known_state: the newest state that the proposer knows to be chosen, or the initial state.
        highest_accepted_state: the state accepted under the highest ballot among the promises.
        highest_accepted_ballot: that ballot.
        proposed_state: what is to be accepted; None during phase 1.
        highest_ballot: the highest ballot that an acceptor has answered with.
        is_finished: whether the proposal was chosen or preempted; later answers count for nothing.
    """

    def __init__(self, ballot: Ballot, known_state: State, change: Callable[[State], State]) -> None:
        """Begin a ballot.

        Args:
            ballot: a ballot that nobody has used.
            known_state: the newest state that the proposer knows to be chosen, or the initial state.
            change: called once with the base; returns the state to propose.  To return the base itself is to have it
                accepted anew, and so confirmed.
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
        """The state to be changed, as far as the promises show."""
        accepted = self.highest_accepted_state
        if accepted is not None and accepted.number >= self.known_state.number:
            return accepted
        return self.known_state

    def take_prepare_targets(self) -> list[int]:
        """Return the addresses of voters that were not returned before, ascending."""
        targets = sorted({voter.ip for voter in self.base.all_voters()} - self._prepared_ips)
        self._prepared_ips |= set(targets)
        return targets

    def accept_targets(self) -> list[int]:
        """Return the addresses of all whose acceptance counts, ascending."""
        proposed = self.proposed_state.all_voters() if self.proposed_state is not None else []
        return sorted({voter.ip for voter in (*self.base.all_voters(), *proposed)})

    def on_prepare_reply(self, ip: int, reply: PrepareReply) -> NextStep:
        """Take in the answer to Prepare of the replica at that address."""
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
        """Take in the answer to Accept of the replica at that address."""
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
        """Return whether a promise shows what is known to be chosen; without one, the promises are no quorum yet."""
        shown = self.highest_accepted_state.number if self.highest_accepted_state is not None else 0
        return shown >= self.known_state.number

    def _preempt(self, promised: Ballot) -> NextStep:
        self.highest_ballot = max(self.highest_ballot, promised)
        self.is_finished = True
        return NextStep.PREEMPTED
