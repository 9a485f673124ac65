"""Replicated counters of tenants' requests: one for each tenant and window, without input or output.

A counter is a state-based CRDT close to a G-counter: each incarnation of a replica has a row of its own, only that
incarnation changes it, and a merge keeps the row with the higher version.  Unlike in a G-counter a row may also go down
(a rejected request is reverted), which is why rows carry versions.  The value is the sum of the rows; replicas never
exchange sums, for three of them that did would count for ever.

What is made of the counts: `policy/window.py`; where the replicas are: `placement.py`.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from ..transport.messages import CounterRows, ReplicaCount

#: Windows that a counter is kept for: the estimate needs the current and the previous one.
KEPT_WINDOWS = 2

#: Operations that are remembered, the oldest forgotten first, to recognise repeats and reverts.
REMEMBERED_OPERATIONS = 4096

#: A row is synchronised at once after so many changes, or that share of a limit if it is more: what the replicas do not
#: know of each other lets in more than the limit (docs/design/system.md, Bounds, QUOTA).
SYNC_MIN_CHANGES = 2
SYNC_LIMIT_SHARE = 0.07

#: Fewer changes are synchronised after that time.
SYNC_MAX_DELAY_S = 0.3


class CounterKey(NamedTuple):
    """Names a counter."""

    tenant: str
    window: int


class CounterRow(NamedTuple):
    """What one incarnation of a replica has counted; the higher version is the newer."""

    version: int = 0
    units: float = 0.0


class Operation(NamedTuple):
    """Names one increment: the incarnation that sent it, and its nonce."""

    sender: int
    nonce: int


class SentVersion(NamedTuple):
    """Which version of the own row a peer was sent last, and when."""

    version: int
    at: float


class CounterReading(NamedTuple):
    """The count of a window before an increment, and that of the window before."""

    current: float
    previous: float


EMPTY_ROW = CounterRow()
NEVER_SENT = SentVersion(-1, -1e9)


@dataclass(slots=True)
class Counter:
    """One tenant's count in one window.

    A replica that has restarted counts in a new row, beside that of its earlier incarnation.

    Attributes:
        rows: By incarnation (`MembershipTable.session_key`).
        limit: The tenant's limit in one window, as the node that asked last knew it.
        sent: By the incarnation of a peer, what of the own row it was sent last.
    """

    rows: dict[int, CounterRow] = field(default_factory=dict)
    limit: float = 0.0
    sent: dict[int, SentVersion] = field(default_factory=dict)

    @property
    def total(self) -> float:
        """The sum of the rows."""
        return sum(row.units for row in self.rows.values())

    def row(self, replica: int) -> CounterRow:
        """Return the row of an incarnation, empty if it has none."""
        return self.rows.get(replica, EMPTY_ROW)

    def change(self, replica: int, units: float) -> None:
        """Give the row of an incarnation another number of units, as its next version."""
        self.rows[replica] = CounterRow(self.row(replica).version + 1, units)

    def is_sync_due(self, now: float, own: int, peer: int) -> bool:
        """Return whether the peer is to be sent the own row: many changes at once, few after a while."""
        version = self.row(own).version
        sent = self.sent.get(peer, NEVER_SENT)
        changes = version - sent.version
        if changes >= max(SYNC_MIN_CHANGES, SYNC_LIMIT_SHARE * self.limit):
            return True
        return changes > 0 and now - sent.at >= SYNC_MAX_DELAY_S


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
        self.counters: dict[CounterKey, Counter] = {}
        self._applied_units: dict[Operation, float] = {}
        self._operations: deque[Operation] = deque()

    def add(
        self, sender: int, nonce: int, tenant: str, window: int, units: float, limit: float = 0.0
    ) -> CounterReading:
        """Add units to a counter, unless that operation was applied or reverted before.

        Returns:
            The counts without these units.
        """
        previous = self.counters.get(CounterKey(tenant, window - 1))
        previous_total = previous.total if previous is not None else 0.0
        counter = self._counter(CounterKey(tenant, window))
        counter.limit = limit
        total = counter.total
        operation = Operation(sender, nonce)
        applied = self._applied_units.get(operation)
        if applied is not None:
            return CounterReading(max(0.0, total - applied), previous_total)
        self._remember(operation, units)
        counter.change(self.own, counter.row(self.own).units + units)
        return CounterReading(total, previous_total)

    def revert(self, sender: int, nonce: int, tenant: str, window: int) -> None:
        """Take off what an operation added; if it comes later, it will add nothing."""
        operation = Operation(sender, nonce)
        applied = self._applied_units.get(operation)
        if applied is None:
            self._remember(operation, 0.0)
            return
        self._applied_units[operation] = 0.0
        counter = self.counters.get(CounterKey(tenant, window))
        if applied and counter is not None:
            counter.change(self.own, max(0.0, counter.row(self.own).units - applied))

    def merge(self, updates: list[CounterRows]) -> None:
        """Take in a peer's rows where they are newer.

        A newer version of the own row can only mean that this replica has lost it; what was counted since is added.
        """
        for update in updates:
            counter = self._counter(CounterKey(update.tenant, update.window))
            for replica, version, units in update.rows:
                known = counter.row(replica)
                if version <= known.version:
                    continue
                if replica == self.own:
                    counter.rows[replica] = CounterRow(version + 1, units + known.units)
                else:
                    counter.rows[replica] = CounterRow(version, units)

    def updates_for(self, now: float, peer: int, tenants: set[str], *, complete: bool = False) -> list[CounterRows]:
        """Return all rows of the tenants' counters that are due to be sent to a peer, and take them for sent.

        With `complete`, also of those that are not due.
        """
        updates = []
        for key, counter in self.counters.items():
            if key.tenant not in tenants or not (complete or counter.is_sync_due(now, self.own, peer)):
                continue
            counter.sent[peer] = SentVersion(counter.row(self.own).version, now)
            rows = [ReplicaCount(replica, row.version, row.units) for replica, row in counter.rows.items()]
            updates.append(CounterRows(key.tenant, key.window, rows))
        return updates

    def tenants(self) -> list[str]:
        """Return the tenants that have counters here, each once."""
        return list(dict.fromkeys(key.tenant for key in self.counters))

    def own_count(self, tenant: str, window: int) -> float:
        """Return what this replica itself has counted."""
        counter = self.counters.get(CounterKey(tenant, window))
        return counter.row(self.own).units if counter is not None else 0.0

    def _counter(self, key: CounterKey) -> Counter:
        """Return a counter; a new one replaces those of the tenant's windows that are not needed any more."""
        counter = self.counters.get(key)
        if counter is None:
            self._drop_windows(key.tenant, key.window - KEPT_WINDOWS)
            counter = self.counters[key] = Counter()
        return counter

    def _drop_windows(self, tenant: str, last: int) -> None:
        expired = [key for key in self.counters if key.tenant == tenant and key.window <= last]
        for key in expired:
            del self.counters[key]

    def _remember(self, operation: Operation, units: float) -> None:
        self._applied_units[operation] = units
        self._operations.append(operation)
        if len(self._operations) > REMEMBERED_OPERATIONS:
            self._applied_units.pop(self._operations.popleft(), None)
