"""Requests the pasts of tenants that this replica does not know from other replicas.

The past of a tenant is defined in `past_knowledge.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .past_knowledge import UnknownPast

#: Time that an answer waits for a tenant's unknown past: a round trip between regions.
PAST_TIMEOUT_S = 0.05

#: A past is requested at most this many times, each time from at most this many peers.  The delay before a further
#: attempt is `RETRY_BASE_DELAY_S` times `RETRY_FACTOR` after the first one, and grows by the factor with each attempt.
MAX_ATTEMPTS = 4
MAX_PEERS = 3
RETRY_BASE_DELAY_S = 0.05
RETRY_FACTOR = 2


@dataclass(slots=True)
class PastFetch:
    """A fetch of a tenant's unknown past; times are in seconds.

    Attributes:
        unknown_past: The past that is fetched.
        started_at: When it was first requested.
        attempts: Number of times that it was requested so far.
        next_attempt_at: When it is requested again, because the request or the answer may have been lost.
    """

    unknown_past: UnknownPast
    started_at: float
    attempts: int = 0
    next_attempt_at: float = 0.0


class PastFetcher:
    """The fetches of one replica; times are in seconds of its steady clock."""

    def __init__(self, peers_of: Callable[[str], list[int]], request: Callable[[int, str], None]) -> None:
        """Begin without any fetch.

        Args:
            peers_of: Returns the peers that may know a tenant's past, the likeliest first.
            request: Requests a tenant's past from a node.
        """
        self._peers_of = peers_of
        self._request = request
        self._fetches: dict[str, PastFetch] = {}

    def fetch(self, tenant: str, unknown_past: UnknownPast, now: float) -> float:
        """Start to fetch a past, unless its fetch has started already.

        Returns:
            How many seconds to wait for the past; 0 or less if there is nothing to wait for.
        """
        fetch = self._fetches.get(tenant)
        if fetch is None or fetch.unknown_past != unknown_past:
            fetch = self._fetches[tenant] = PastFetch(unknown_past, now)
            if not self._attempt(tenant, fetch, now):
                return 0.0
        return fetch.started_at + PAST_TIMEOUT_S - now

    def retry(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Request pasts that are still unknown again, up to `MAX_ATTEMPTS` times; end the fetches of known ones."""
        for tenant, fetch in list(self._fetches.items()):
            if is_known(tenant):
                del self._fetches[tenant]
            elif fetch.attempts < MAX_ATTEMPTS and now >= fetch.next_attempt_at:
                self._attempt(tenant, fetch, now)

    def cancel(self, tenant: str) -> None:
        """End the fetch for a tenant, if there is one."""
        self._fetches.pop(tenant, None)

    def _attempt(self, tenant: str, fetch: PastFetch, now: float) -> bool:
        """Request the past once from each peer; return whether there is any peer."""
        fetch.attempts += 1
        fetch.next_attempt_at = now + RETRY_BASE_DELAY_S * RETRY_FACTOR**fetch.attempts
        peers = self._peers_of(tenant)[:MAX_PEERS]
        for peer in peers:
            self._request(peer, tenant)
        return bool(peers)
