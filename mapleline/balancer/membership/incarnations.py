"""Incarnations of ingresses that have sent something and are no members yet."""

from __future__ import annotations

MAX_UNLISTED = 256  #: then the one that was seen first is forgotten: a flood of senders must not fill the memory


class UnlistedIncarnations:
    """The newest incarnation of each sender that no membership table has named yet."""

    def __init__(self) -> None:
        """Start with none."""
        self._incarnations: dict[int, int] = {}

    def get(self, ip: int) -> int:
        """Return the newest one of a sender, 0 if none is known."""
        return self._incarnations.get(ip, 0)

    def observe(self, ip: int, incarnation: int) -> None:
        """Note that something came from this incarnation of a sender."""
        known = self._incarnations
        if ip not in known and len(known) >= MAX_UNLISTED:
            del known[next(iter(known))]
        known[ip] = max(incarnation, known.get(ip, 0))

    def pop(self, ip: int) -> int:
        """Forget a sender, which has become a member; return its newest incarnation, 0 if none was known."""
        return self._incarnations.pop(ip, 0)
