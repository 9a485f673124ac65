"""Agreement on the next state: single-decree Paxos a change, on one register (pure; CASPaxos as published by Rystsov).

An `Acceptor` is one replica: the ballot it has promised and the state it has accepted, both on its disk before it
answers.  A `Proposal` is one ballot of a proposer: it asks for promises, takes the accepted state of the highest ballot
as the one to change, and has the outcome accepted.  A state is *chosen* once a majority of the voters of the state it
came from, and of its own, has accepted it under one ballot.  There is no log and no leader: any replica may propose.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from .state import State

Ballot = tuple[int, int, int]  #: round; address and disk of the proposer, who promised it first: none comes twice
NONE: Ballot = (0, 0, 0)


class Record(msgspec.Struct, array_like=True):
    """What one replica keeps on its disk, whole in one file."""

    ip: int
    disk: int  #: the identity of the disk, drawn when it was empty
    promised: Ballot = NONE
    ballot: Ballot = NONE
    state: State | None = None  #: accepted under `ballot`
    decided: State | None = None  #: the newest known to be chosen; None where it is `state`
    is_decided: bool = False  #: `state` itself is
    turn: int = 0  #: climbs with each change, so that an older one is never written over a newer


class Acceptor:
    """One replica's part.  Answers may leave only once the record is on the disk as it was when they were made."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.kept = 0  #: number of the state known to be chosen that is on the disk
        self.turn = -1  #: of the record on the disk: climbs for as long as the disk is what it was
        self.accepted = 0  #: number of the state accepted there: a higher ballot may bring a lower one
        self.synced(record)

    @property
    def disk(self) -> int:
        return self.record.disk

    @property
    def state(self) -> State | None:
        return self.record.state

    @property
    def decided(self) -> State | None:
        return self.record.state if self.record.is_decided else self.record.decided

    def _changed(self, **fields: object) -> None:
        self.record = msgspec.structs.replace(self.record, turn=self.record.turn + 1, **fields)

    def prepare(self, ballot: Ballot, known: int = 1) -> bool:
        """Promise to accept nothing of a lower ballot; False where a higher one was promised.

        `known`: number of the state that the proposer knows.  Who knows of a core takes no part in another founding: it
        may have come with another disk since, and of what it accepted as a seed nothing is left.
        """
        if ballot < self.record.promised or not known and self.decided is not None:
            return False
        if ballot > self.record.promised:
            self._changed(promised=ballot)
        return True

    def accept(self, ballot: Ballot, state: State) -> bool:
        """Take that state, unless a higher ballot was promised."""
        if ballot < self.record.promised:
            return False
        if ballot != self.record.ballot:
            decided = self.decided
            same = state == decided  # chosen before, and accepted anew
            self._changed(
                promised=ballot, ballot=ballot, state=state, is_decided=same, decided=None if same else decided
            )
        return True

    def chosen(self, ballot: Ballot, number: int) -> bool:
        """Word that what was accepted under that ballot is chosen; says whether that was news."""
        record = self.record
        if ballot != record.ballot or record.is_decided or record.state is None or record.state.number != number:
            return False
        if record.decided is not None and record.decided.number >= number:
            return False  # late word
        self._changed(is_decided=True, decided=None)
        return True

    def learn(self, state: State) -> bool:
        """A chosen state, from who knows it to be; what was accepted stays, for a higher ballot may hang on it."""
        held = self.decided
        if held is not None and held.number >= state.number:
            return False
        if self.record.state == state:
            self._changed(is_decided=True, decided=None)
        else:
            self._changed(decided=state, is_decided=False)
        return True

    def synced(self, record: Record) -> None:
        """That record is on the disk."""
        if record.disk != self.disk:
            return
        decided = record.state if record.is_decided else record.decided
        self.kept = max(self.kept, decided.number if decided is not None else 0)
        if record.turn > self.turn:
            self.turn, self.accepted = record.turn, record.state.number if record.state is not None else 0


class Step(Enum):
    """What a proposal needs next."""

    WAIT = 0
    ASK = 1  #: more replicas have to promise (`to_ask`)
    ACCEPT = 2  #: `state` is to be accepted by `to_accept`
    CHOSEN = 3  #: `state` is chosen
    LOST = 4  #: a higher ballot is out (`highest`)


class Proposal:
    """One ballot.  `change(state)`, called once, gives the state to propose: the same one is accepted anew, and so
    confirmed.
    """

    def __init__(self, ballot: Ballot, known: State, change: Callable[[State], State]) -> None:
        self.ballot, self.known, self.change = ballot, known, change
        self.found: State | None = None  #: accepted under the highest ballot among the promises
        self.found_ballot = NONE
        self.promises: set[tuple[int, int]] = set()
        self.accepts: set[tuple[int, int]] = set()
        self.asked: set[int] = set()
        self.state: State | None = None
        self.highest = ballot
        self.over = False

    @property
    def base(self) -> State:
        """What is to be changed.  Promises that do not show what is known to be chosen are no quorum yet."""
        return self.found if self.found is not None and self.found.number >= self.known.number else self.known

    def to_ask(self) -> list[int]:
        """Addresses that have not been asked for their promise yet."""
        fresh = sorted({r.ip for r in self.base.members()} - self.asked)
        self.asked |= set(fresh)
        return fresh

    def to_accept(self) -> list[int]:
        """Addresses of all whose acceptance counts."""
        return sorted({r.ip for r in (*self.base.members(), *(self.state.members() if self.state else ()))})

    def promised(self, ip: int, disk: int, ok: bool, promised: Ballot, ballot: Ballot, state: State | None) -> Step:
        """A replica's answer to the ballot: what it has accepted, and under which."""
        if self.over or self.state is not None:
            return Step.WAIT
        if not ok:
            return self._lost(promised)
        self.promises.add((ip, disk))
        if state is not None and ballot > self.found_ballot:
            self.found, self.found_ballot = state, ballot
        base = self.base
        if {r.ip for r in base.members()} - self.asked:
            return Step.ASK
        shown = self.found.number if self.found is not None else 0
        if shown < self.known.number or not base.quorum(self.promises):
            return Step.WAIT
        self.state = self.change(base)
        return Step.ACCEPT

    def accepted(self, ip: int, disk: int, ok: bool, promised: Ballot) -> Step:
        """A replica's answer to the state."""
        if self.over or self.state is None:
            return Step.WAIT
        if not ok:
            return self._lost(promised) if promised > self.ballot else Step.WAIT
        self.accepts.add((ip, disk))
        if not (self.base.quorum(self.accepts) and self.state.quorum(self.accepts)):
            return Step.WAIT
        self.over = True
        return Step.CHOSEN

    def _lost(self, promised: Ballot) -> Step:
        self.highest = max(self.highest, promised)
        self.over = True
        return Step.LOST
