"""Whose votes elect the leader of a singleton role and grant leases (pure)."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .table import MembershipTable


class Electorate:
    """The control plane's voters; while none are known, every known member."""

    def __init__(self, committed_voters: Callable[[], list[int]], membership: MembershipTable) -> None:
        """`committed_voters` returns the addresses of the committed state's voters."""
        self._committed_voters = committed_voters
        self._membership = membership

    def is_committed(self) -> bool:
        """Return whether the control plane has voters as far as is known here."""
        return bool(self._committed_voters())

    def addresses(self) -> list[int]:
        """Return the addresses of all whose votes count."""
        return self._committed_voters() or sorted(self._membership.members)
