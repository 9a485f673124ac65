"""Assignment of connections to workers.

The supervisor accepts connections and offers each to the worker with the fewest connections.  A worker claims an
offered connection before it reads a byte from it.  An offer that is not claimed in time is revoked, and a later claim
is denied.  A connection therefore belongs to the supervisor until a running worker has claimed it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_OFFERS_PER_WORKER = 64  # unclaimed offers at a time
MAX_WORKERS = 64  # modulus of the round robin; larger than any permitted number of workers
MIN_LOAD_GAP = 2  # requests (decayed count); a smaller difference does not justify a handover


@dataclass(slots=True)
class WorkerSlot:
    """One worker as the dispatcher knows it.

    Attributes:
        worker: Number of the worker.
        granted: Total number of connections granted to the worker.
        open_connections: Granted connections that the worker has not closed or handed over: as last reported, plus
            those granted since.
        load: Decaying count of received requests, as last reported.
        is_full: Whether the worker cannot take another connection, because of its connection limit.
        is_stalled: Whether an offer to the worker was revoked and no message has come from it since.
        offered_at_ns: Time of each unclaimed offer, by connection.
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
        """Number of connections that the worker has or is offered."""
        return self.open_connections + len(self.offered_at_ns)

    @property
    def is_available(self) -> bool:
        """Whether the worker can be offered another connection."""
        return not self.is_stalled and not self.is_full


@dataclass(slots=True, frozen=True)
class Offer:
    """Instruction to offer a connection to a worker."""

    worker: int
    connection: int


@dataclass(slots=True, frozen=True)
class Handover:
    """Instruction to ask a worker to hand over one connection whose load is about `target_load`."""

    worker: int
    target_load: float


class ConnectionDispatcher:
    """Assigns connections to workers.

    Connections are identified by numbers; the caller keeps the sockets.  All times are in nanoseconds of one monotonic
    clock.  Methods that return a list of `Offer` return the offers that the caller has to send now.

    Attributes:
        slots: Workers that are ready, by number.
        waiting: Connections that no worker can take at present, oldest first.
        revoked: Total number of revoked offers.
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
        """Add a worker that is ready."""
        self.slots[worker] = WorkerSlot(worker)
        return self._offer_waiting(now_ns)

    def remove_worker(self, worker: int, now_ns: int) -> list[Offer]:
        """Remove a worker that has exited, and offer its unclaimed connections to others."""
        slot = self.slots.pop(worker, None)
        if slot is not None:
            self.waiting = [*slot.offered_at_ns, *self.waiting]
        return self._offer_waiting(now_ns)

    def record_report(self, worker: int, released: int, load: float, is_full: bool, now_ns: int) -> list[Offer]:
        """Process the periodic report of a worker.

        Args:
            worker: Number of the worker.
            released: Total number of granted connections that the worker has closed or handed over.  The number of its
                open connections would be ambiguous, because a grant may be in transit when the worker reports.
            load: Decaying count of received requests.
            is_full: Whether the worker is at its connection limit.
            now_ns: Current time.
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
        """Add an accepted connection."""
        self.waiting.append(connection)
        return self._offer_waiting(now_ns)

    def claim(self, worker: int, connection: int) -> bool:
        """Return whether a claim is granted.  If so, the caller closes its own copy of the socket."""
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
        """Record that a worker refused a connection, which is then the first to be offered to others."""
        slot = self.slots.get(worker)
        if slot is not None:
            slot.is_full = True
            slot.is_stalled = False
            if slot.offered_at_ns.pop(connection, None) is not None:
                self.waiting.insert(0, connection)
        return self._offer_waiting(now_ns)

    def revoke_expired_offers(self, now_ns: int) -> list[Offer]:
        """Revoke all offers to each worker that has left one unclaimed for the offer timeout."""
        for slot in self.slots.values():
            if any(now_ns - at_ns >= self._offer_timeout_ns for at_ns in slot.offered_at_ns.values()):
                slot.is_stalled = True
                self.revoked += len(slot.offered_at_ns)
                self.waiting = [*slot.offered_at_ns, *self.waiting]
                slot.offered_at_ns.clear()
        return self._offer_waiting(now_ns)

    def _offer_waiting(self, now_ns: int) -> list[Offer]:
        """Offer waiting connections, each to the worker with the fewest, while a worker is available."""
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
        """Return the available worker with the fewest connections, then the least load, then the next in turn.

        Without the round robin among equal workers, the first one would get every odd connection.
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
        """Return the handover that reduces an uneven load, or None if there is none.

        The target load is half of the difference between the workers with the most and the least load.  The receiver
        then does not end up with more load than the sender had, so that no connection is moved back and forth.
        """
        slots = [slot for slot in self.slots.values() if not slot.is_stalled]
        if len(slots) < 2:
            return None
        most_loaded = max(slots, key=lambda slot: slot.load)
        least_loaded = min(slots, key=lambda slot: slot.load)
        mean = sum(slot.load for slot in slots) / len(slots)
        gap = most_loaded.load - least_loaded.load
        if most_loaded.open_connections < 2 or least_loaded.is_full or gap < MIN_LOAD_GAP:
            return None
        if most_loaded.load <= self._imbalance_ratio * mean:
            return None
        return Handover(most_loaded.worker, gap / 2)

    def add_handed_over(self, worker: int, connection: int, load: float, now_ns: int) -> list[Offer]:
        """Add a connection that a worker handed over, and offer it to the worker with the least load."""
        sender = self.slots.get(worker)
        if sender is not None:
            sender.load = max(0.0, sender.load - load)
        available = [slot for slot in self.slots.values() if slot.is_available and slot is not sender]
        if not available:
            return self.add_connection(connection, now_ns)
        receiver = min(available, key=lambda slot: slot.load)
        receiver.load += load
        receiver.offered_at_ns[connection] = now_ns
        return [Offer(receiver.worker, connection)]
