"""Replicated counters of tenants' requests: one for each tenant and slot, without input or output.

A counter is a state-based CRDT similar to a G-counter.  Each incarnation of a replica has a row of its own that only it
changes, and a merge keeps the row with the higher version.  Rows carry versions because, unlike in a G-counter, a row
may also decrease when a rejected request is reverted.  The value is the sum of the rows.  Replicas never exchange sums,
because three replicas that did would add each other's sums without end.

Slots are numbered and expire by the replica's own clock (`slots.py`); no message makes a counter expire.

`policy/window.py` decides by the counts; `placement.py` chooses the replicas.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..transport.messages import CounterRows, ReplicaCount
from .slots import KEPT_SLOTS

#: Rows of slots up to this many ahead of the current one are accepted, because replicas' clocks differ a little.
MAX_SLOTS_AHEAD = 2

#: Number of operations that are remembered to recognise repeats and reverts; the oldest are forgotten first.
REMEMBERED_OPERATIONS = 4096

#: A tenant's rows are synchronised at once after this many changes, or after this share of its limit if that is more.
#: Changes that replicas do not know of each other let in more than the limit (docs/design/system.md, Bounds, QUOTA).
SYNC_MIN_CHANGES = 2
SYNC_LIMIT_SHARE = 0.07

#: Fewer changes are synchronised after this time.
SYNC_MAX_DELAY_S = 0.3


class CounterRow(NamedTuple):
    """What one incarnation of a replica has counted in a slot; the row with the higher version is the newer one."""

    version: int = 0
    units: float = 0.0


class Operation(NamedTuple):
    """Identifies an increment, by the incarnation of its sender and its nonce."""

    sender: int
    nonce: int


class AppliedUnits(NamedTuple):
    """The units that an operation has added, and the slot that it added them to."""

    slot: int
    units: float


class SentChanges(NamedTuple):
    """The number of changes of the own rows that a peer has been sent, and when they were last sent, in seconds."""

    changes: int
    sent_at: float


class CounterReading(NamedTuple):
    """Units before an increment: in the current window, in the previous one, and in a whole quota window."""

    current: float
    previous: float
    quota_window_units: float


EMPTY_ROW = CounterRow()
NEVER_SENT = SentChanges(-1, -1e9)
NOTHING_APPLIED = AppliedUnits(0, 0.0)


@dataclass(slots=True)
class SlotCounter:
    """One tenant's count in one slot.

    A replica that has restarted counts in a new row; the row of its earlier incarnation stays beside it.

    Attributes:
        rows: The rows by incarnation (`MembershipTable.session_key`).
        changed_at: The tenant's number of changes (`TenantCounter.changes`) when the own row was last changed.
    """

    rows: dict[int, CounterRow] = field(default_factory=dict)
    changed_at: int = 0

    def units(self, replica: int | None) -> float:
        """Return the units of one incarnation's row, or the sum of all rows for None."""
        if replica is not None:
            return self.rows.get(replica, EMPTY_ROW).units
        return sum(row.units for row in self.rows.values())


@dataclass(slots=True)
class TenantCounter:
    """One tenant's counts in the slots that are kept.

    Attributes:
        slots: The counters by slot number.
        limit: The tenant's limit of units in one window, as the last increment gave it; it determines how exact the
            counts must be.
        changes: Number of changes of the own rows so far.
        sent: What each peer was last sent, by the peer's incarnation.
    """

    slots: dict[int, SlotCounter] = field(default_factory=dict)
    limit: float = 0.0
    changes: int = 0
    sent: dict[int, SentChanges] = field(default_factory=dict)

    def slot(self, slot_number: int) -> SlotCounter:
        """Return the counter of a slot; it is created if there is none."""
        counter = self.slots.get(slot_number)
        if counter is None:
            counter = self.slots[slot_number] = SlotCounter()
        return counter

    def add_units(self, replica: int, slot_number: int, units: float) -> None:
        """Add units, which may be negative, to the own row of a slot as its next version; the row stays at 0 or more.

        Args:
            replica: This replica's incarnation.
            slot_number: The slot to count in.
            units: The units to add.
        """
        counter = self.slot(slot_number)
        row = counter.rows.get(replica, EMPTY_ROW)
        self.changes += 1
        counter.changed_at = self.changes
        counter.rows[replica] = CounterRow(row.version + 1, max(0.0, row.units + units))

    def expire(self, oldest_slot: int) -> None:
        """Drop the slots before `oldest_slot`."""
        for slot_number in [slot_number for slot_number in self.slots if slot_number < oldest_slot]:
            del self.slots[slot_number]

    def reading(
        self, current_slot: int, window_slots: int, replica: int | None, excluded: AppliedUnits
    ) -> CounterReading:
        """Return the units in the windows around a slot.

        Windows begin at multiples of their length.  Slots ahead of the current one count as the current one, because
        the clock of the replica that sent them is a little ahead.

        Args:
            current_slot: The number of the current slot.
            window_slots: Length of a window, in slots.
            replica: The incarnation whose counts are read; None for those of all replicas.
            excluded: Units that are left out.
        """
        window_start = current_slot - current_slot % window_slots
        current = previous = quota_window_units = 0.0
        for slot_number, counter in self.slots.items():
            units = counter.units(replica)
            if slot_number == excluded.slot:
                units = max(0.0, units - excluded.units)
            if slot_number > current_slot - KEPT_SLOTS:
                quota_window_units += units
            if slot_number >= window_start:
                current += units
            elif slot_number >= window_start - window_slots:
                previous += units
        return CounterReading(current, previous, quota_window_units)

    def has_changes_for(self, peer: int) -> bool:
        """Return whether the own rows have changed since they were last sent to the peer."""
        return self.changes > self.sent.get(peer, NEVER_SENT).changes

    def is_sync_due(self, now: float, peer: int) -> bool:
        """Return whether the own rows have to be sent to the peer: many changes at once, few after a delay."""
        sent = self.sent.get(peer, NEVER_SENT)
        unsent_changes = self.changes - sent.changes
        if unsent_changes >= max(SYNC_MIN_CHANGES, SYNC_LIMIT_SHARE * self.limit):
            return True
        return unsent_changes > 0 and now - sent.sent_at >= SYNC_MAX_DELAY_S

    def rows_for(self, peer: int, own: int, *, complete: bool) -> Iterator[tuple[int, list[ReplicaCount]]]:
        """Yield the slots, and their rows, that a peer has to be sent.

        A peer gets the own rows that changed since the last time, because other replicas send it theirs themselves.
        It gets the rows of all replicas if it was never sent any, or if `complete` is true.

        Args:
            peer: The peer's incarnation.
            own: This replica's incarnation.
            complete: Whether to yield all rows.
        """
        sent = self.sent.get(peer, NEVER_SENT)
        has_all = sent is not NEVER_SENT and not complete
        for slot_number, counter in self.slots.items():
            if not has_all:
                yield slot_number, [ReplicaCount(replica, *row) for replica, row in counter.rows.items()]
            elif counter.changed_at > sent.changes:
                yield slot_number, [ReplicaCount(own, *counter.rows[own])]


class CounterTable:
    """The counters of one replica.

    Senders, peers and the replica itself are identified by incarnation (`MembershipTable.session_key`).

    The last `REMEMBERED_OPERATIONS` operations are remembered: a repeated increment adds nothing, a repeated revert
    subtracts nothing, and an increment that arrives after its revert adds nothing.  Once an operation is forgotten,
    errors can only cause too many rejections: a repeated increment adds again, and a revert subtracts nothing.

    Attributes:
        own: The incarnation of this replica.
        counters: The counters by tenant.
    """

    def __init__(self, own: int) -> None:
        """Create an empty table for the replica's incarnation `own`."""
        self.own = own
        self.counters: dict[str, TenantCounter] = {}
        self._applied: dict[Operation, AppliedUnits] = {}
        self._operations: deque[Operation] = deque()

    def add(self, operation: Operation, tenant: str, slot: int, units: float, limit: float = 0.0) -> bool:
        """Add units in the current slot, unless the operation was applied or reverted before.

        Args:
            operation: Identifies the increment.
            tenant: The tenant to count for.
            slot: The current slot.
            units: The units to add.
            limit: The tenant's limit of units in one window.

        Returns:
            Whether the units were added.
        """
        counter = self._counter_of(tenant)
        counter.limit = limit
        if operation in self._applied:
            return False
        self._remember(operation, AppliedUnits(slot, units))
        counter.expire(slot - KEPT_SLOTS)
        counter.add_units(self.own, slot, units)
        return True

    def revert(self, operation: Operation, tenant: str) -> None:
        """Subtract what an operation added; if the operation arrives later, it adds nothing."""
        applied = self._applied.get(operation)
        if applied is None:
            self._remember(operation, NOTHING_APPLIED)
            return
        self._applied[operation] = applied._replace(units=0.0)
        counter = self.counters.get(tenant)
        if applied.units and counter is not None and applied.slot in counter.slots:
            counter.add_units(self.own, applied.slot, -applied.units)

    def read(
        self, tenant: str, slot: int, window_slots: int = 1, *, without: Operation | None = None, own: bool = False
    ) -> CounterReading:
        """Return a tenant's counts at a slot.

        Args:
            tenant: The tenant whose counts are read.
            slot: The current slot.
            window_slots: Length of the windows, in slots.
            without: An operation whose units are left out.
            own: Whether to read only what this replica has counted itself.
        """
        counter = self.counters.get(tenant)
        if counter is None:
            return CounterReading(0.0, 0.0, 0.0)
        excluded = self._applied.get(without, NOTHING_APPLIED) if without is not None else NOTHING_APPLIED
        return counter.reading(slot, window_slots, self.own if own else None, excluded)

    def merge(self, updates: list[CounterRows], slot: int, offset: int = 0) -> None:
        """Accept a peer's rows that are newer than the known ones, for slots that are kept.

        A newer version of the own row means that this replica has lost it; the units counted since are added to it.

        Args:
            updates: The peer's rows.
            slot: The current slot of this replica.
            offset: Added to the peer's slot numbers: the number of slots by which its clock is behind.
        """
        for update in updates:
            slot_number = update.slot + offset
            if not update.rows or not slot - KEPT_SLOTS < slot_number <= slot + MAX_SLOTS_AHEAD:
                continue
            counter = self._counter_of(update.tenant).slot(slot_number)
            for replica, version, units in update.rows:
                known_row = counter.rows.get(replica, EMPTY_ROW)
                if version <= known_row.version:
                    continue
                if replica != self.own:
                    counter.rows[replica] = CounterRow(version, units)
                elif not offset:
                    counter.rows[replica] = CounterRow(version + 1, units + known_row.units)

    def updates_for(
        self, now: float, peer: int, tenants: set[str], *, complete: bool = False, is_due: bool = False
    ) -> list[CounterRows]:
        """Return the changed rows of the tenants' counters once any of them is due, and record them as sent.

        Args:
            now: Time on the steady clock, in seconds.
            peer: The incarnation that the rows are sent to.
            tenants: The tenants whose rows are returned.
            complete: Whether to return all rows.
            is_due: Whether to return the changed rows even if none is due yet.
        """
        counters = [(tenant, counter) for tenant, counter in self.counters.items() if tenant in tenants]
        if not complete:
            if not is_due and not any(counter.is_sync_due(now, peer) for _, counter in counters):
                return []
            counters = [(tenant, counter) for tenant, counter in counters if counter.has_changes_for(peer)]
        updates = []
        for tenant, counter in counters:
            for slot_number, rows in counter.rows_for(peer, self.own, complete=complete):
                updates.append(CounterRows(tenant, slot_number, rows))
            counter.sent[peer] = SentChanges(counter.changes, now)
        return updates

    def expire(self, slot: int) -> None:
        """Drop slots that are no longer kept at the current slot `slot`, and tenants that have no slots left."""
        for tenant, counter in list(self.counters.items()):
            counter.expire(slot - KEPT_SLOTS)
            if not counter.slots:
                del self.counters[tenant]

    def tenants(self) -> list[str]:
        """Return the tenants that have counters here."""
        return list(self.counters)

    def _counter_of(self, tenant: str) -> TenantCounter:
        counter = self.counters.get(tenant)
        if counter is None:
            counter = self.counters[tenant] = TenantCounter()
        return counter

    def _remember(self, operation: Operation, applied: AppliedUnits) -> None:
        self._applied[operation] = applied
        self._operations.append(operation)
        if len(self._operations) > REMEMBERED_OPERATIONS:
            self._applied.pop(self._operations.popleft(), None)
