"""One count among the workers of an ingress: how a worker's customer is brought up to what the others know.

The decision module calls `meet` before it looks at a customer and `show` after each event.  Nothing is
decided here: the module's own estimate is given the newest total that any worker has seen in the window, and
the units that workers have let in since their last totals.

Why that adds up: a worker's `blind` units are those it has let in without an answer; they go to the counter
with its next call, whose answer makes its row the newest and its `blind` 0.  So the newest total holds all
units of all workers but the `blind` ones.
"""

from __future__ import annotations

from ..policy.state import Customer
from .board import AccountBoard, Row


class Kin:
    """The other workers, as the decision module of one of them meets them."""

    def __init__(self, board: AccountBoard) -> None:
        self._board = board
        self._touched: dict[int, Customer] = {}

    def touch(self, c: Customer) -> None:
        self._touched[c.key] = c

    def meet(self, c: Customer, win: int) -> None:
        """Bring `c` to the newest window, up to `win`, that any worker has a row of."""
        self._touched[c.key] = c
        if c.win < -1:  # new to this process: what a dead one in its place knew goes on
            row = self._board.own(c.key)
            if row is not None and row.win <= win:
                c.win, c.known_at, c.prev, c.known = row.win, row.known_at, row.prev, row.known
                c.blind, c.own, c.owed = row.blind, row.own, row.owed
                self._stores(c, row)
        rows = [row for row in self._board.others(c.key) if row.win <= win]
        newest = max((row.win for row in rows), default=c.win)
        if newest > c.win:
            c.win, c.known_at, c.prev, c.known = newest, 0, 0.0, 0.0
            c.blind = c.own = c.owed = c.put = c.least = 0.0
        c.kin_blind = c.kin_own = 0.0
        c.kin_out = sum(row.out for row in rows)
        for row in rows:
            self._stores(c, row)
            if row.win == c.win:
                c.kin_blind += row.blind
                c.kin_own += row.own
                c.prev = max(c.prev, row.prev)
                if row.known_at > c.known_at:
                    c.known_at, c.known = row.known_at, row.known

    @staticmethod
    def _stores(c: Customer, row: Row) -> None:
        """What a customer has saved up is one for all: whoever saw to it last has taken the others' over."""
        if row.saved_at > c.saved_at:
            c.saved, c.saved_at = row.saved, row.saved_at
        if row.store_at > c.store_at:
            c.store, c.store_at = row.store, row.store_at

    def show(self) -> None:
        """Tell the others of every customer touched since."""
        for c in self._touched.values():
            self._board.show(
                Row(
                    c.key,
                    c.win,
                    c.known_at,
                    c.prev,
                    c.known,
                    c.blind,
                    c.own,
                    c.owed,
                    c.out,
                    c.saved,
                    c.saved_at,
                    c.store,
                    c.store_at,
                )
            )
        self._touched.clear()
