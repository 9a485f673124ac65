"""Replicated counters of tenants' requests: one for each tenant and slot, without input or output.

A counter is a state-based CRDT close to a G-counter: each incarnation of a replica has a row of its own, only that
incarnation changes it, and a merge keeps the row with the higher version.  Unlike in a G-counter a row may also go down
(a rejected request is reverted), which is why rows carry versions.  The value is the sum of the rows; replicas never
exchange sums, for three of them that did would count for ever.

Slots are numbered by the replica's own clock (`slots.py`), and grow old by it alone: no message makes a counter go.

What is made of the counts: `policy/window.py`; where the replicas are: `placement.py`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from ..transport.messages import CounterRows, ReplicaCount
from .slots import KEPT_SLOTS

#: Rows of slots that begin so much later are still taken: clocks of replicas differ a little.
MAX_SLOTS_AHEAD = 2

#: Operations that are remembered, the oldest forgotten first, to recognise repeats and reverts.
REMEMBERED_OPERATIONS = 4096

#: A tenant's rows are synchronised at once after so many changes, or that share of a limit if it is more: what the
#: replicas do not know of each other lets in more than the limit (docs/design/system.md, Bounds, QUOTA).
SYNC_MIN_CHANGES = 2
SYNC_LIMIT_SHARE = 0.07

#: Fewer changes are synchronised after that time.
SYNC_MAX_DELAY_S = 0.3


class CounterRow(NamedTuple):
    """What one incarnation of a replica has counted in a slot; the higher version is the newer."""

    version: int = 0
    units: float = 0.0


class Operation(NamedTuple):
    """Names one increment: the incarnation that sent it, and its nonce."""

    sender: int
    nonce: int


class AppliedUnits(NamedTuple):
    """What an operation has added, and where."""

    slot: int
    units: float


class SentChanges(NamedTuple):
    """How many changes of the own rows a peer had been sent at last, and when."""

    changes: int
    at: float


class CounterReading(NamedTuple):
    """Units before an increment: in the current window, in the one before, and in a whole quota window."""

    current: float
    previous: float
    in_quota_window: float


EMPTY_ROW = CounterRow()
NEVER_SENT = SentChanges(-1, -1e9)
NOTHING_APPLIED = AppliedUnits(0, 0.0)


@dataclass(slots=True)
class SlotCounter:
    """One tenant's count in one slot.

    A replica that has restarted counts in a new row, beside that of its earlier incarnation.

    Attributes:
        rows: By incarnation (`MembershipTable.session_key`).
        changed_at: The tenant's number of changes when the own row was changed last.
    """

    rows: dict[int, CounterRow] = field(default_factory=dict)
    changed_at: int = 0

    def units(self, replica: int | None) -> float:
        """Return the sum of the rows, or what one incarnation has counted."""
        if replica is not None:
            return self.rows.get(replica, EMPTY_ROW).units
        return sum(row.units for row in self.rows.values())


@dataclass(slots=True)
class TenantCounter:
    """One tenant's counts in the slots that are kept.

    Attributes:
        slots: By number.
        limit: The tenant's limit in one window, as the node that asked last knew it; it says how exact counts must be.
        changes: Of the own rows, so far.
        sent: By the incarnation of a peer, what it was sent last.
    """

    slots: dict[int, SlotCounter] = field(default_factory=dict)
    limit: float = 0.0
    changes: int = 0
    sent: dict[int, SentChanges] = field(default_factory=dict)

    def slot(self, number: int) -> SlotCounter:
        """Return the counter of a slot, which is made if there is none."""
        counter = self.slots.get(number)
        if counter is None:
            counter = self.slots[number] = SlotCounter()
        return counter

    def change(self, replica: int, number: int, units: float) -> None:
        """Add to the own row of a slot, as its next version; units may be negative, a row is not."""
        counter = self.slot(number)
        row = counter.rows.get(replica, EMPTY_ROW)
        self.changes += 1
        counter.changed_at = self.changes
        counter.rows[replica] = CounterRow(row.version + 1, max(0.0, row.units + units))

    def expire(self, oldest: int) -> None:
        """Drop the slots before this one."""
        for number in [number for number in self.slots if number < oldest]:
            del self.slots[number]

    def reading(
        self, current_slot: int, window_slots: int, replica: int | None, left_out: AppliedUnits
    ) -> CounterReading:
        """Return the units in the windows around a slot, of all replicas or of one, without those of an operation.

        Windows begin at multiples of their length.  Slots that lie ahead count as the current one: their replica's
        clock is a little ahead.
        """
        window_start = current_slot - current_slot % window_slots
        current = previous = in_quota_window = 0.0
        for number, counter in self.slots.items():
            units = counter.units(replica)
            if number == left_out.slot:
                units = max(0.0, units - left_out.units)
            if number > current_slot - KEPT_SLOTS:
                in_quota_window += units
            if number >= window_start:
                current += units
            elif number >= window_start - window_slots:
                previous += units
        return CounterReading(current, previous, in_quota_window)

    def has_changes_for(self, peer: int) -> bool:
        """Return whether the peer was not sent the own rows as they are."""
        return self.changes > self.sent.get(peer, NEVER_SENT).changes

    def is_sync_due(self, now: float, peer: int) -> bool:
        """Return whether the peer is to be sent the own rows: many changes at once, few after a while."""
        sent = self.sent.get(peer, NEVER_SENT)
        changes = self.changes - sent.changes
        if changes >= max(SYNC_MIN_CHANGES, SYNC_LIMIT_SHARE * self.limit):
            return True
        return changes > 0 and now - sent.at >= SYNC_MAX_DELAY_S

    def rows_for(self, peer: int, own: int, *, complete: bool) -> Iterator[tuple[int, list[ReplicaCount]]]:
        """Yield slots and their rows for a peer: own ones that it does not have; all, if it has none or `complete`.

        The rows of others come to it from them.
        """
        sent = self.sent.get(peer, NEVER_SENT)
        has_all = sent is not NEVER_SENT and not complete
        for number, counter in self.slots.items():
            if not has_all:
                yield number, [ReplicaCount(replica, *row) for replica, row in counter.rows.items()]
            elif counter.changed_at > sent.changes:
                yield number, [ReplicaCount(own, *counter.rows[own])]


class CounterTable:
    """The counters that one replica has.

    Senders, peers and the replica itself are named by incarnation (`MembershipTable.session_key`).

    The last `REMEMBERED_OPERATIONS` operations are remembered: a repeated increment adds nothing, a repeated revert
    takes nothing off, and an increment that comes after its revert is not added.  Errors of what is forgotten lie on
    the side of rejecting: a repeat adds once more, and a revert takes nothing off.
    """

    def __init__(self, own: int) -> None:
        """`own`: the incarnation of this replica."""
        self.own = own
        self.counters: dict[str, TenantCounter] = {}
        self._applied: dict[Operation, AppliedUnits] = {}
        self._operations: deque[Operation] = deque()

    def add(self, operation: Operation, tenant: str, slot: int, units: float, limit: float = 0.0) -> bool:
        """Add units in the current slot; return False, and add nothing, if that was applied or reverted before."""
        counter = self._tenant(tenant)
        counter.limit = limit
        if operation in self._applied:
            return False
        self._remember(operation, AppliedUnits(slot, units))
        counter.expire(slot - KEPT_SLOTS)
        counter.change(self.own, slot, units)
        return True

    def revert(self, operation: Operation, tenant: str) -> None:
        """Take off what an operation added; if it comes later, it will add nothing."""
        applied = self._applied.get(operation)
        if applied is None:
            self._remember(operation, NOTHING_APPLIED)
            return
        self._applied[operation] = applied._replace(units=0.0)
        counter = self.counters.get(tenant)
        if applied.units and counter is not None and applied.slot in counter.slots:
            counter.change(self.own, applied.slot, -applied.units)

    def read(
        self, tenant: str, slot: int, window_slots: int = 1, *, without: Operation | None = None, own: bool = False
    ) -> CounterReading:
        """Return a tenant's counts at a slot.

        Args:
            tenant: Whose.
            slot: The current one.
            window_slots: The length of the windows.
            without: An operation whose units are left out.
            own: Count only what this replica has counted itself.
        """
        counter = self.counters.get(tenant)
        if counter is None:
            return CounterReading(0.0, 0.0, 0.0)
        left_out = self._applied.get(without, NOTHING_APPLIED) if without is not None else NOTHING_APPLIED
        return counter.reading(slot, window_slots, self.own if own else None, left_out)

    def merge(self, updates: list[CounterRows], slot: int, offset: int = 0) -> None:
        """Take in a peer's rows where they are newer, of slots that are kept.

        A newer version of the own row can only mean that this replica has lost it; what was counted since is added.

        Args:
            updates: The peer's rows.
            slot: The current slot here.
            offset: What is added to the peer's slot numbers, for its clock is that far behind.
        """
        for update in updates:
            number = update.slot + offset
            if not update.rows or not slot - KEPT_SLOTS < number <= slot + MAX_SLOTS_AHEAD:
                continue
            counter = self._tenant(update.tenant).slot(number)
            for replica, version, units in update.rows:
                known = counter.rows.get(replica, EMPTY_ROW)
                if version <= known.version:
                    continue
                if replica != self.own:
                    counter.rows[replica] = CounterRow(version, units)
                elif not offset:
                    counter.rows[replica] = CounterRow(version + 1, units + known.units)

    def updates_for(
        self, now: float, peer: int, tenants: set[str], *, complete: bool = False, is_due: bool = False
    ) -> list[CounterRows]:
        """Return the rows of the tenants' counters that have changed, once any is due, and take them for sent.

        Args:
            now: The time on the steady clock, in seconds.
            peer: The incarnation that gets them.
            tenants: Whose counters.
            complete: Return all rows.
            is_due: Return what has changed though none may be due yet.
        """
        counters = [(tenant, counter) for tenant, counter in self.counters.items() if tenant in tenants]
        if not complete:
            if not is_due and not any(counter.is_sync_due(now, peer) for _, counter in counters):
                return []
            counters = [(tenant, counter) for tenant, counter in counters if counter.has_changes_for(peer)]
        updates = []
        for tenant, counter in counters:
            for number, rows in counter.rows_for(peer, self.own, complete=complete):
                updates.append(CounterRows(tenant, number, rows))
            counter.sent[peer] = SentChanges(counter.changes, now)
        return updates

    def expire(self, slot: int) -> None:
        """Drop what is older than is kept, at this current slot; tenants without any count go."""
        for tenant, counter in list(self.counters.items()):
            counter.expire(slot - KEPT_SLOTS)
            if not counter.slots:
                del self.counters[tenant]

    def tenants(self) -> list[str]:
        """Return the tenants that have counters here."""
        return list(self.counters)

    def _tenant(self, tenant: str) -> TenantCounter:
        counter = self.counters.get(tenant)
        if counter is None:
            counter = self.counters[tenant] = TenantCounter()
        return counter

    def _remember(self, operation: Operation, applied: AppliedUnits) -> None:
        self._applied[operation] = applied
        self._operations.append(operation)
        if len(self._operations) > REMEMBERED_OPERATIONS:
            self._applied.pop(self._operations.popleft(), None)
