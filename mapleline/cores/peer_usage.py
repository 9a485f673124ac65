"""Merging of a worker's counts of a customer with those of the ingress's other workers.

The decision module calls `merge` before it looks at a customer and `publish` after each event.  Nothing is decided
here: the module's estimate gets the newest total that any worker has seen in the window, and the units that the
workers have admitted since their last totals.

The sum is complete: a worker's `unconfirmed` units are those that it has admitted without an answer.  They go to the
counter with its next call, whose answer makes its row the newest and its `unconfirmed` 0.  So the newest total holds
all units of all workers except the unconfirmed ones.
"""

from __future__ import annotations

from ..policy.state import Usage
from .customer_table import CustomerRow, CustomerTable

NO_WINDOW = -1  # the window of a customer that is new to the process is below this


class PeerUsage:
    """The use of customers by the other workers, for the decision module of one of them."""

    def __init__(self, table: CustomerTable) -> None:
        """Exchange counts through this table."""
        self._table = table
        self._changed: dict[int, Usage] = {}

    def mark_changed(self, usage: Usage) -> None:
        """Have the customer published after this event."""
        self._changed[usage.key] = usage

    def merge(self, usage: Usage, window: int) -> None:
        """Bring a customer's counts to the newest window, up to `window`, that any worker has a row of."""
        self._changed[usage.key] = usage
        if usage.window < NO_WINDOW:
            self._restore(usage, window)
        rows = [row for row in self._table.other_rows(usage.key) if row.window <= window]
        newest = max((row.window for row in rows), default=usage.window)
        if newest > usage.window:
            _start_window(usage, newest)
        usage.peer_unconfirmed = 0.0
        usage.peer_admitted = 0.0
        usage.peer_in_flight = sum(row.in_flight for row in rows)
        for row in rows:
            _merge_buckets(usage, row)
            if row.window == usage.window:
                _merge_window(usage, row)

    def _restore(self, usage: Usage, window: int) -> None:
        """Continue from the row of an earlier process of this worker."""
        row = self._table.own_row(usage.key)
        if row is None or row.window > window:
            return
        usage.window = row.window
        usage.total_at = row.total_at_ns
        usage.prior = row.previous_total
        usage.total = row.total
        usage.unconfirmed = row.unconfirmed
        usage.admitted = row.admitted
        usage.pending = row.pending
        _merge_buckets(usage, row)

    def publish(self) -> None:
        """Write the rows of all customers that have changed since the last call."""
        for usage in self._changed.values():
            self._table.write(_to_row(usage))
        self._changed.clear()


def _start_window(usage: Usage, window: int) -> None:
    """Start a window that another worker has begun."""
    usage.window = window
    usage.total_at = 0
    usage.prior = 0.0
    usage.total = 0.0
    usage.unconfirmed = 0.0
    usage.admitted = 0.0
    usage.pending = 0.0
    usage.added = 0.0
    usage.floor = 0.0


def _merge_window(usage: Usage, row: CustomerRow) -> None:
    """Add another worker's counts of the same window."""
    usage.peer_unconfirmed += row.unconfirmed
    usage.peer_admitted += row.admitted
    usage.prior = max(usage.prior, row.previous_total)
    if row.total_at_ns > usage.total_at:
        usage.total_at = row.total_at_ns
        usage.total = row.total


def _merge_buckets(usage: Usage, row: CustomerRow) -> None:
    """Take over the buckets' levels if newer: the workers share them, and each update includes the earlier ones."""
    if row.burst_at_ns > usage.burst_at:
        usage.burst = row.burst
        usage.burst_at = row.burst_at_ns
    if row.ceiling_at_ns > usage.ceiling_at:
        usage.ceiling = row.ceiling
        usage.ceiling_at = row.ceiling_at_ns


def _to_row(usage: Usage) -> CustomerRow:
    return CustomerRow(
        key=usage.key,
        window=usage.window,
        total_at_ns=usage.total_at,
        previous_total=usage.prior,
        total=usage.total,
        unconfirmed=usage.unconfirmed,
        admitted=usage.admitted,
        pending=usage.pending,
        in_flight=usage.in_flight,
        burst=usage.burst,
        burst_at_ns=usage.burst_at,
        ceiling=usage.ceiling,
        ceiling_at_ns=usage.ceiling_at,
    )
