"""How a worker's counts of a customer are merged with those of the ingress's other workers.

The decision module calls `merge` before it looks at a customer and `publish` after each event.  Nothing is decided
here: the module's own estimate is given the newest total that any worker has seen in the window, and the units that
the workers have admitted since their last totals.

Why that adds up: a worker's `unconfirmed` units are those that it has admitted without an answer.  They go to the
counter with its next call, whose answer makes its row the newest and its `unconfirmed` 0.  So the newest total holds
all units of all workers but the unconfirmed ones.
"""

from __future__ import annotations

from ..policy.state import Customer
from .customer_table import CustomerRow, CustomerTable

NO_WINDOW = -1  # a customer that is new to the process has an earlier one


class PeerUsage:
    """The use of customers by the other workers, for the decision module of one of them."""

    def __init__(self, table: CustomerTable) -> None:
        """Exchange counts by this table."""
        self._table = table
        self._changed: dict[int, Customer] = {}

    def mark_changed(self, customer: Customer) -> None:
        """Have the customer published after this event."""
        self._changed[customer.key] = customer

    def merge(self, customer: Customer, window: int) -> None:
        """Bring a customer's counts to the newest window, up to `window`, that any worker has a row of."""
        self._changed[customer.key] = customer
        if customer.win < NO_WINDOW:
            self._restore(customer, window)
        rows = [row for row in self._table.other_rows(customer.key) if row.window <= window]
        newest = max((row.window for row in rows), default=customer.win)
        if newest > customer.win:
            _start_window(customer, newest)
        customer.peer_blind = 0.0
        customer.peer_own = 0.0
        customer.peer_out = sum(row.in_flight for row in rows)
        for row in rows:
            _merge_buckets(customer, row)
            if row.window == customer.win:
                _merge_window(customer, row)

    def _restore(self, customer: Customer, window: int) -> None:
        """Go on from the row of an earlier process of this worker."""
        row = self._table.own_row(customer.key)
        if row is None or row.window > window:
            return
        customer.win = row.window
        customer.known_at = row.total_at_ns
        customer.prev = row.previous_total
        customer.known = row.total
        customer.blind = row.unconfirmed
        customer.own = row.admitted
        customer.owed = row.owed
        _merge_buckets(customer, row)

    def publish(self) -> None:
        """Write the rows of all customers that changed since."""
        for customer in self._changed.values():
            self._table.write(_to_row(customer))
        self._changed.clear()


def _start_window(customer: Customer, window: int) -> None:
    """Start a window that another worker has begun."""
    customer.win = window
    customer.known_at = 0
    customer.prev = 0.0
    customer.known = 0.0
    customer.blind = 0.0
    customer.own = 0.0
    customer.owed = 0.0
    customer.put = 0.0
    customer.least = 0.0


def _merge_window(customer: Customer, row: CustomerRow) -> None:
    """Add another worker's counts of the same window."""
    customer.peer_blind += row.unconfirmed
    customer.peer_own += row.admitted
    customer.prev = max(customer.prev, row.previous_total)
    if row.total_at_ns > customer.known_at:
        customer.known_at = row.total_at_ns
        customer.known = row.total


def _merge_buckets(customer: Customer, row: CustomerRow) -> None:
    """Take over the buckets' levels if newer: there is one bucket for all, and who updated it last had the others'."""
    if row.burst_at_ns > customer.saved_at:
        customer.saved = row.burst
        customer.saved_at = row.burst_at_ns
    if row.ceiling_at_ns > customer.store_at:
        customer.store = row.ceiling
        customer.store_at = row.ceiling_at_ns


def _to_row(customer: Customer) -> CustomerRow:
    return CustomerRow(
        key=customer.key,
        window=customer.win,
        total_at_ns=customer.known_at,
        previous_total=customer.prev,
        total=customer.known,
        unconfirmed=customer.blind,
        admitted=customer.own,
        owed=customer.owed,
        in_flight=customer.out,
        burst=customer.saved,
        burst_at_ns=customer.saved_at,
        ceiling=customer.store,
        ceiling_at_ns=customer.store_at,
    )
