"""Which worker gets which connection.

The supervisor accepts, and offers each connection to the worker that has fewest.  A worker claims what it is
offered before it reads a byte of it; who does not claim in time is passed over, and a claim that comes after
that is denied.  So a connection is always the supervisor's until a worker that runs has taken it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

OFFERS_MOST = 64  # out to one worker at a time
PLACES = 64  # more than there may be workers
FADE = 0.5  # of a worker's load, at each report: as its connections' own


@dataclass(slots=True)
class Seat:
    """One worker as the dispatcher knows it."""

    worker: int
    granted: int = 0  #: connections, in all
    held: int = 0  #: those it has not parted from, as last reported
    load: float = 0.0  #: requests taken, the older ones weighing less
    full: bool = False  #: it has no descriptor left
    stalled: bool = False  #: it let an offer lie; until it is heard of again
    offered: dict[int, int] = field(default_factory=dict)  #: connection: when

    @property
    def weight(self) -> int:
        return self.held + len(self.offered)


@dataclass(slots=True, frozen=True)
class Offer:
    worker: int
    connection: int


@dataclass(slots=True, frozen=True)
class HandOver:
    """Ask a worker for one connection whose load is about `wanted`."""

    worker: int
    wanted: float


class Dispatcher:
    """Connections are numbers here; the driver holds the sockets.  All times in ns."""

    def __init__(self, offer_ns: int, lean: float) -> None:
        self._offer_ns, self._lean = offer_ns, lean
        self.seats: dict[int, Seat] = {}
        self.waiting: list[int] = []  #: nobody can take them now
        self.revoked = 0  #: offers taken back
        self._last = -1

    # --- workers

    def joined(self, worker: int, now: int) -> list[Offer]:
        self.seats[worker] = Seat(worker)
        return self._place(now)

    def parted(self, worker: int, now: int) -> list[Offer]:
        """It is gone: what it had not claimed is offered to others."""
        seat = self.seats.pop(worker, None)
        if seat is not None:
            self.waiting = [*seat.offered, *self.waiting]
        return self._place(now)

    def report(self, worker: int, parted: int, load: float, full: bool, now: int) -> list[Offer]:
        """`parted`: connections granted to the worker that it no longer has, in all.

        Not how many it holds: a grant may be on its way to it while it reports.
        """
        seat = self.seats.get(worker)
        if seat is None:
            return []
        seat.held = seat.granted - parted
        seat.load, seat.full, seat.stalled = load, full, False
        return self._place(now)

    # --- connections

    def accepted(self, connection: int, now: int) -> list[Offer]:
        self.waiting.append(connection)
        return self._place(now)

    def claimed(self, worker: int, connection: int) -> bool:
        """Whether the worker may have it; the driver then lets go of its own copy."""
        seat = self.seats.get(worker)
        if seat is None:
            return False
        seat.stalled = False
        if seat.offered.pop(connection, None) is None:
            return False
        seat.granted += 1
        seat.held += 1
        return True

    def refused(self, worker: int, connection: int, now: int) -> list[Offer]:
        """The worker has no room."""
        seat = self.seats.get(worker)
        if seat is not None:
            seat.full, seat.stalled = True, False
            if seat.offered.pop(connection, None) is not None:
                self.waiting.insert(0, connection)
        return self._place(now)

    def tick(self, now: int) -> list[Offer]:
        """Take back what lies."""
        for seat in self.seats.values():
            late = [c for c, at in seat.offered.items() if now - at >= self._offer_ns]
            if late:
                seat.stalled = True
                self.revoked += len(seat.offered)
                self.waiting = [*seat.offered, *self.waiting]
                seat.offered.clear()
        return self._place(now)

    def _place(self, now: int) -> list[Offer]:
        offers = []
        while self.waiting:
            able = [s for s in self.seats.values() if not s.stalled and not s.full and len(s.offered) < OFFERS_MOST]
            if not able:
                break
            # Of those with as many, the next in turn: else the first worker has every odd one.
            seat = min(able, key=lambda s: (s.weight, s.load, (s.worker - self._last - 1) % PLACES))
            self._last = seat.worker
            connection = self.waiting.pop(0)
            seat.offered[connection] = now
            offers.append(Offer(seat.worker, connection))
        return offers

    def balance(self) -> HandOver | None:
        """One connection to be moved, where the load lies unevenly and a move can mend it.

        What moves is at most half of what lies between the two: the receiver never ends up with more than the
        giver had, so that nothing goes to and fro.
        """
        seats = [s for s in self.seats.values() if not s.stalled]
        if len(seats) < 2:
            return None
        most, least = max(seats, key=lambda s: s.load), min(seats, key=lambda s: s.load)
        mean = sum(s.load for s in seats) / len(seats)
        gap = most.load - least.load
        if most.held < 2 or least.full or gap < 2 or most.load <= self._lean * mean:
            return None
        return HandOver(most.worker, gap / 2)

    def handed_over(self, worker: int, connection: int, load: float, now: int) -> list[Offer]:
        """A connection has come back; it goes to whom the load is least."""
        giver = self.seats.get(worker)
        if giver is not None:
            giver.load = max(0.0, giver.load - load)
        able = [s for s in self.seats.values() if not s.stalled and not s.full and s is not giver]
        if not able:
            return self.accepted(connection, now)
        seat = min(able, key=lambda s: s.load)
        seat.load += load
        seat.offered[connection] = now
        return [Offer(seat.worker, connection)]
