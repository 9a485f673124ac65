"""Counter calls in flight, whose results reach the decision module in the order of the calls."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..policy.interface import Counted
    from .records import CounterCall


class CounterCalls:
    """The calls in flight of each counter.

    The module knows the calls of one counter by their order alone.  Drivers may report out of order: while the
    counter moves, its new address can answer sooner than the old one.
    """

    def __init__(self) -> None:
        """Start without calls."""
        self._by_name: dict[int, deque[CounterCall]] = {}

    def __len__(self) -> int:
        """Return the number of counters with calls in flight."""
        return len(self._by_name)

    def add(self, call: CounterCall) -> None:
        """Append a call to those of its counter."""
        self._by_name.setdefault(call.name, deque()).append(call)

    def release(self, name: int) -> Iterator[Counted]:
        """Remove the oldest calls of a counter as far as they are finished, and yield their outcomes."""
        calls = self._by_name[name]
        while calls and (outcome := calls[0].outcome) is not None:
            calls.popleft()
            yield outcome
        if not calls:
            self._by_name.pop(name, None)
