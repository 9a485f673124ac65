"""The set of voters that elect the leader of a singleton role and grant leases (pure)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .table import MembershipTable


class Electorate:
    """The voters of the control plane; while none are known, every known member is a voter."""

    def __init__(self, committed_voters: Callable[[], list[int]], membership: MembershipTable) -> None:
        """`committed_voters` returns the addresses of the committed state's voters."""
        self._committed_voters = committed_voters
        self._membership = membership

    def is_committed(self) -> bool:
        """Return whether this node knows voters of the control plane."""
        return bool(self._committed_voters())

    def addresses(self) -> list[int]:
        """Return the addresses of all voters."""
        return self._committed_voters() or sorted(self._membership.members)
