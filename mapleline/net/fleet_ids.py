"""Ids of the requests in flight, unique over the fleet: each has one owner in the store (files; no reactor).

The HTTP front claims an id before it accepts a request, and releases it once the answer is being sent.  The rules are
in docs/design/handoff.md.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..handoff.store import Store


@dataclass(frozen=True, slots=True)
class ReleasedId:
    """An id whose request was answered, and the time of that in Unix seconds."""

    released_at_s: float
    request_id: bytes


class FleetIds:
    """The ids that this ingress owns."""

    def __init__(self, store: Store, current_log: Callable[[], str]) -> None:
        """Start with no ids.

        Args:
            store: The fleet's store.
            current_log: Returns the name of this ingress's log, which the store records as the owner of its ids.
        """
        self._store = store
        self._current_log = current_log
        self._claimed: set[bytes] = set()
        self._charged: set[bytes] = set()
        self._retained: set[bytes] = set()
        self._released: deque[ReleasedId] = deque()

    def claim(self, request_id: bytes) -> bool:
        """Claim an id for a new request; False while a request with that id is in flight or its outcome is kept.

        An id whose request was refused by the ingress that took it over may be claimed again: the units of that
        request have been charged already (`take_charged`).
        """
        if request_id in self._claimed:
            return False
        if not self._store.claim_id(request_id, self._current_log()):
            if not self._take_refused(request_id):
                return False
            self._store.move_id(request_id, self._current_log())
            self._charged.add(request_id)
        self._claimed.add(request_id)
        return True

    def _take_refused(self, request_id: bytes) -> bool:
        """Remove the outcome of a refused request; False if there is none or another ingress has removed it first."""
        outcome = self._store.outcome(request_id)
        if not outcome or not outcome.get("paid"):
            return False
        return self._store.take_outcome(request_id)

    def release(self, request_id: bytes) -> None:
        """Release an id whose answer is being sent; its link in the store is removed by a later update."""
        self._claimed.discard(request_id)
        self._released.append(ReleasedId(time.time(), request_id))

    def retain(self, request_id: bytes) -> None:
        """Keep the link in the store when the id is released: its outcome has not reached a client."""
        self._retained.add(request_id)

    def take_charged(self, request_id: bytes) -> bool:
        """Return whether the units of a claimed id have been charged already, and reset that, so that it holds once."""
        if request_id not in self._charged:
            return False
        self._charged.discard(request_id)
        return True

    def take_released(self, before_s: float) -> Iterator[bytes]:
        """Remove the ids released before that time (Unix seconds), and yield those that are not retained."""
        while self._released and self._released[0].released_at_s < before_s:
            request_id = self._released.popleft().request_id
            if request_id not in self._retained:
                yield request_id
            self._retained.discard(request_id)

    def take_all_released(self) -> Iterator[bytes]:
        """Remove and yield all released ids; called at the end of the process."""
        while self._released:
            yield self._released.popleft().request_id

    def clear(self) -> None:
        """Drop all ids: another ingress has taken over the requests that this one had in flight."""
        self._claimed.clear()
        self._charged.clear()
        self._released.clear()
