"""Ids of the requests in flight, unique over the fleet: each has one owner in the store (files; no reactor).

The HTTP front claims an id before it takes a request and releases it once the answer is on its way.  Rules:
docs/design/handoff.md.
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
    """An id whose request was answered, and when, in Unix seconds."""

    at: float
    request_id: bytes


class FleetIds:
    """The ids that this ingress owns."""

    def __init__(self, store: Store, current_log: Callable[[], str]) -> None:
        """Own none.

        Args:
            store: the fleet's store.
            current_log: returns the name of this ingress's log, which the store has for the owner of its ids.
        """
        self._store = store
        self._current_log = current_log
        self._claimed: set[bytes] = set()
        self._charged: set[bytes] = set()
        self._retained: set[bytes] = set()
        self._released: deque[ReleasedId] = deque()

    def claim(self, request_id: bytes) -> bool:
        """Claim an id for a new request; False while a request with it is in flight or its outcome is kept.

        An id whose earlier attempt was refused by the ingress that took it over may be claimed again: the units of
        that attempt are charged already (`take_charged`).
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
        """Remove the outcome of a refused attempt; False if there is none or another ingress was quicker."""
        outcome = self._store.outcome(request_id)
        if not outcome or not outcome.get("paid"):
            return False
        return self._store.take_outcome(request_id)

    def release(self, request_id: bytes) -> None:
        """Release an id whose answer is on its way; its link in the store goes a moment later."""
        self._claimed.discard(request_id)
        self._released.append(ReleasedId(time.time(), request_id))

    def retain(self, request_id: bytes) -> None:
        """Keep the link in the store when the id is released: it has an outcome that no client has heard."""
        self._retained.add(request_id)

    def take_charged(self, request_id: bytes) -> bool:
        """Return whether the units of a claimed id are charged already; they are so for one request."""
        if request_id not in self._charged:
            return False
        self._charged.discard(request_id)
        return True

    def take_released(self, before: float) -> Iterator[bytes]:
        """Yield the ids released before that time (Unix seconds), but for those to be retained."""
        while self._released and self._released[0].at < before:
            request_id = self._released.popleft().request_id
            if request_id not in self._retained:
                yield request_id
            self._retained.discard(request_id)

    def take_all_released(self) -> Iterator[bytes]:
        """Yield all released ids; for the end of the process."""
        while self._released:
            yield self._released.popleft().request_id

    def clear(self) -> None:
        """Give up all ids: another ingress has taken over what this one had in flight."""
        self._claimed.clear()
        self._charged.clear()
        self._released.clear()
