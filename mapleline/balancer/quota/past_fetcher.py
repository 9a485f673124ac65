"""Asks other replicas for the pasts of tenants that this one does not know."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .past_knowledge import UnknownPast

#: An answer waits so long for the tenant's past, if that is unknown: a round trip between regions.
PAST_TIMEOUT_S = 0.05

#: A past is asked for so often at most, of so many: again after `RETRY_S` times the factor, then ever later.
MAX_TRIES = 4
MAX_PEERS = 3
RETRY_S = 0.05
RETRY_FACTOR = 2


@dataclass(slots=True)
class PastFetch:
    """The other replicas are asked for an unknown past of a tenant.

    Attributes:
        unknown: The past.
        began_at: When they were asked first.
        tries: How often they were asked so far.
        next_try_at: When they are asked again, for the answer may have been lost.
    """

    unknown: UnknownPast
    began_at: float
    tries: int = 0
    next_try_at: float = 0.0


class PastFetcher:
    """The fetches of one replica; times are in seconds of its steady clock."""

    def __init__(self, peers_of: Callable[[str], list[int]], request: Callable[[int, str], None]) -> None:
        """Fetch nothing yet.

        Args:
            peers_of: Returns whom to ask for a tenant's past, the likeliest first.
            request: Asks a node for a tenant's past.
        """
        self._peers_of = peers_of
        self._request = request
        self._fetches: dict[str, PastFetch] = {}

    def fetch(self, tenant: str, unknown: UnknownPast, now: float) -> float:
        """Begin to ask for a past, unless that has begun.

        Returns:
            How long to wait for it, in seconds; 0 or less for not.
        """
        fetch = self._fetches.get(tenant)
        if fetch is None or fetch.unknown != unknown:
            fetch = self._fetches[tenant] = PastFetch(unknown, now)
            if not self._try(tenant, fetch, now):
                return 0.0
        return fetch.began_at + PAST_TIMEOUT_S - now

    def retry(self, now: float, is_known: Callable[[str], bool]) -> None:
        """Ask again for what is still unknown, a few times."""
        for tenant, fetch in list(self._fetches.items()):
            if is_known(tenant):
                del self._fetches[tenant]
            elif fetch.tries < MAX_TRIES and now >= fetch.next_try_at:
                self._try(tenant, fetch, now)

    def forget(self, tenant: str) -> None:
        """Fetch nothing more of a tenant."""
        self._fetches.pop(tenant, None)

    def _try(self, tenant: str, fetch: PastFetch, now: float) -> bool:
        """Ask once; return whether there is anybody to ask."""
        fetch.tries += 1
        fetch.next_try_at = now + RETRY_S * RETRY_FACTOR**fetch.tries
        peers = self._peers_of(tenant)[:MAX_PEERS]
        for peer in peers:
            self._request(peer, tenant)
        return bool(peers)
