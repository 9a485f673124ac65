"""Whether a restarted replica's disk may have been rolled back, by what its peers remember of it (pure).

A replica whose disk was put back from an older copy has forgotten promises that it made, and must not vote.  After a
start it votes only once so many voters have confirmed that they know no newer record of its disk that no majority with
it is without one of them; or, where these are not reachable, some time after the first has.
"""

from __future__ import annotations

from collections.abc import Collection

MAX_WAIT_S = 1.0  # some queries in a row: a voter that has not confirmed by then is not reachable


class RollbackCheck:
    """The peers that have confirmed since the start that this disk's record is the newest they know."""

    def __init__(self) -> None:
        """Begin with no confirmation."""
        self._confirmed_at: dict[int, float] = {}

    def record_confirmation(self, ip: int, now: float) -> None:
        """Note that a voter has confirmed."""
        self._confirmed_at.setdefault(ip, now)

    def is_complete(self, now: float, peer_sets: Collection[set[int]]) -> bool:
        """Whether the replica may vote; `peer_sets`: the other voters of each set that has to agree."""
        confirmed = self._confirmed_at.keys()
        if all(len(peers & confirmed) > len(peers) // 2 for peers in peer_sets):
            return True
        return bool(confirmed) and now - min(self._confirmed_at.values()) > MAX_WAIT_S
