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

    The decision module identifies the calls of one counter by their order alone, but drivers may report out of order:
    after the counter moves to another address, the new address can answer before the old one.
    """

    def __init__(self) -> None:
        """Start with no calls in flight."""
        self._by_name: dict[int, deque[CounterCall]] = {}

    def __len__(self) -> int:
        """Return the number of counters with calls in flight."""
        return len(self._by_name)

    def add(self, call: CounterCall) -> None:
        """Append a call to those of its counter."""
        self._by_name.setdefault(call.name, deque()).append(call)

    def release(self, name: int) -> Iterator[Counted]:
        """Remove the finished calls at the head of a counter's queue, and yield their outcomes in order."""
        calls = self._by_name[name]
        while calls and (outcome := calls[0].outcome) is not None:
            calls.popleft()
            yield outcome
        if not calls:
            self._by_name.pop(name, None)
