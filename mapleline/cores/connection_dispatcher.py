"""Which worker gets which connection.

The supervisor accepts, and offers each connection to the worker with the fewest.  A worker claims what it is offered
before it reads a byte of it.  An offer that is not claimed in time is revoked, and a claim that comes after that is
denied.  So a connection belongs to the supervisor until a running worker has claimed it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_OFFERS_PER_WORKER = 64  # unclaimed at a time
MAX_WORKERS = 64  # modulus of the round robin among equals: more than there may be workers
MIN_LOAD_GAP = 2  # requests (weighted): a smaller gap is not worth a handover


@dataclass(slots=True)
class WorkerSlot:
    """One worker as the dispatcher knows it.

    Attributes:
        worker: Its number.
        granted: Connections granted to it in all.
        open_connections: Those of them that it has not closed or handed over, as last reported.
        load: Requests received, the older ones weighing less.
        is_full: It has no descriptor left for another connection.
        is_stalled: An offer to it was revoked and it has not been heard from since.
        offered_at_ns: Its unclaimed offers: connection to the time of the offer.
    """

    worker: int
    granted: int = 0
    open_connections: int = 0
    load: float = 0.0
    is_full: bool = False
    is_stalled: bool = False
    offered_at_ns: dict[int, int] = field(default_factory=dict)

    @property
    def connection_count(self) -> int:
        """Connections that it has or is offered."""
        return self.open_connections + len(self.offered_at_ns)

    @property
    def is_available(self) -> bool:
        """Whether it may be given another connection."""
        return not self.is_stalled and not self.is_full


@dataclass(slots=True, frozen=True)
class Offer:
    """Offer this connection to this worker."""

    worker: int
    connection: int


@dataclass(slots=True, frozen=True)
class Handover:
    """Ask a worker to hand over one connection whose load is about `wanted_load`."""

    worker: int
    wanted_load: float


class ConnectionDispatcher:
    """Assigns connections, which are numbers here; the caller keeps the sockets.  All times in nanoseconds.

    Attributes:
        slots: The workers that are ready, by number.
        waiting: Connections that no worker can take now, oldest first.
        revoked: Offers revoked in all.
    """

    def __init__(self, offer_timeout_ns: int, imbalance_ratio: float) -> None:
        """Start without workers.

        Args:
            offer_timeout_ns: An offer that is unclaimed for this long is revoked.
            imbalance_ratio: A worker hands over connections when its load exceeds the mean by this factor.
        """
        self._offer_timeout_ns = offer_timeout_ns
        self._imbalance_ratio = imbalance_ratio
        self.slots: dict[int, WorkerSlot] = {}
        self.waiting: list[int] = []
        self.revoked = 0
        self._last_worker = -1

    # --- workers

    def add_worker(self, worker: int, now_ns: int) -> list[Offer]:
        """Note that a worker is ready.  Returns the offers to make now, as all methods that do."""
        self.slots[worker] = WorkerSlot(worker)
        return self._offer_waiting(now_ns)

    def remove_worker(self, worker: int, now_ns: int) -> list[Offer]:
        """Note that a worker is gone: what it had not claimed is offered to others."""
        slot = self.slots.pop(worker, None)
        if slot is not None:
            self.waiting = [*slot.offered_at_ns, *self.waiting]
        return self._offer_waiting(now_ns)

    def record_report(self, worker: int, released: int, load: float, is_full: bool, now_ns: int) -> list[Offer]:
        """Take in a worker's periodic report.

        Args:
            worker: Its number.
            released: Connections granted to it that it no longer has, in all.  Not those it has: a grant may be on
                its way to it while it reports.
            load: Requests received, the older ones weighing less.
            is_full: Whether it has no descriptor left.
            now_ns: The time.
        """
        slot = self.slots.get(worker)
        if slot is None:
            return []
        slot.open_connections = slot.granted - released
        slot.load = load
        slot.is_full = is_full
        slot.is_stalled = False
        return self._offer_waiting(now_ns)

    # --- connections

    def add_connection(self, connection: int, now_ns: int) -> list[Offer]:
        """Take in a connection that was accepted."""
        self.waiting.append(connection)
        return self._offer_waiting(now_ns)

    def claim(self, worker: int, connection: int) -> bool:
        """Return whether the claim is granted; the caller then closes its own copy of the socket."""
        slot = self.slots.get(worker)
        if slot is None:
            return False
        slot.is_stalled = False
        if slot.offered_at_ns.pop(connection, None) is None:
            return False
        slot.granted += 1
        slot.open_connections += 1
        return True

    def refuse(self, worker: int, connection: int, now_ns: int) -> list[Offer]:
        """Note that a worker has no room for a connection: it is the next to be offered to others."""
        slot = self.slots.get(worker)
        if slot is not None:
            slot.is_full = True
            slot.is_stalled = False
            if slot.offered_at_ns.pop(connection, None) is not None:
                self.waiting.insert(0, connection)
        return self._offer_waiting(now_ns)

    def revoke_expired_offers(self, now_ns: int) -> list[Offer]:
        """Revoke all offers of each worker that has left one unclaimed for too long."""
        for slot in self.slots.values():
            if any(now_ns - at_ns >= self._offer_timeout_ns for at_ns in slot.offered_at_ns.values()):
                slot.is_stalled = True
                self.revoked += len(slot.offered_at_ns)
                self.waiting = [*slot.offered_at_ns, *self.waiting]
                slot.offered_at_ns.clear()
        return self._offer_waiting(now_ns)

    def _offer_waiting(self, now_ns: int) -> list[Offer]:
        """Offer the waiting connections, each to the worker with the fewest, as long as one can take them."""
        offers = []
        while self.waiting:
            slot = self._next_slot()
            if slot is None:
                break
            self._last_worker = slot.worker
            connection = self.waiting.pop(0)
            slot.offered_at_ns[connection] = now_ns
            offers.append(Offer(slot.worker, connection))
        return offers

    def _next_slot(self) -> WorkerSlot | None:
        """The available worker with the fewest connections, then the least load, then the next in turn.

        Without the turn the first worker would get every odd connection.
        """
        available = [
            slot
            for slot in self.slots.values()
            if slot.is_available and len(slot.offered_at_ns) < MAX_OFFERS_PER_WORKER
        ]
        return min(available, key=self._preference, default=None)

    def _preference(self, slot: WorkerSlot) -> tuple[int, float, int]:
        turn = (slot.worker - self._last_worker - 1) % MAX_WORKERS
        return slot.connection_count, slot.load, turn

    # --- rebalancing

    def plan_handover(self) -> Handover | None:
        """Return one connection to move where the load is uneven and a move can even it out.

        What moves is at most half of the gap between the two: the receiver never ends up with more than the giver
        had, so that no connection goes back and forth.
        """
        slots = [slot for slot in self.slots.values() if not slot.is_stalled]
        if len(slots) < 2:
            return None
        most = max(slots, key=lambda slot: slot.load)
        least = min(slots, key=lambda slot: slot.load)
        mean = sum(slot.load for slot in slots) / len(slots)
        gap = most.load - least.load
        if most.open_connections < 2 or least.is_full or gap < MIN_LOAD_GAP:
            return None
        if most.load <= self._imbalance_ratio * mean:
            return None
        return Handover(most.worker, gap / 2)

    def add_handed_over(self, worker: int, connection: int, load: float, now_ns: int) -> list[Offer]:
        """Take in a connection that a worker handed over; the worker with the least load is offered it."""
        giver = self.slots.get(worker)
        if giver is not None:
            giver.load = max(0.0, giver.load - load)
        available = [slot for slot in self.slots.values() if slot.is_available and slot is not giver]
        if not available:
            return self.add_connection(connection, now_ns)
        receiver = min(available, key=lambda slot: slot.load)
        receiver.load += load
        receiver.offered_at_ns[connection] = now_ns
        return [Offer(receiver.worker, connection)]
