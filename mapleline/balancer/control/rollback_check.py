"""Checks a restarted replica's disk for a rollback, by its peers' knowledge of it (pure).

A replica whose disk was restored from an older copy has lost promises that it made, and must not vote.  After a start
it votes only once more than half of its peers in each voter set have confirmed that they know no newer record of its
disk: every majority that includes the replica then includes one of them.  If these are not reachable, it votes
`MAX_WAIT_S` after the first confirmation.
"""

from __future__ import annotations

from collections.abc import Collection

MAX_WAIT_S = 1.0  # spans several queries: a voter that has not confirmed by then counts as unreachable


class RollbackCheck:
    """Collects the peers that have confirmed since the start that they know no newer record of this disk."""

    def __init__(self) -> None:
        """Create a check without confirmations."""
        self._confirmed_at: dict[int, float] = {}

    def record_confirmation(self, ip: int, now: float) -> None:
        """Record a voter's confirmation at the time `now`, in seconds; repeated confirmations are ignored."""
        self._confirmed_at.setdefault(ip, now)

    def is_complete(self, now: float, peer_sets: Collection[set[int]]) -> bool:
        """Return whether the replica may vote; `peer_sets` has the other voters of each voter set."""
        confirmed = self._confirmed_at.keys()
        if all(len(peers & confirmed) > len(peers) // 2 for peers in peer_sets):
            return True
        return bool(confirmed) and now - min(self._confirmed_at.values()) > MAX_WAIT_S
