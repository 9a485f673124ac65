"""Incarnations of ingresses that have sent a message but are not members yet."""

from __future__ import annotations

MAX_UNLISTED_SENDERS = (
    256  #: beyond it the oldest entry is evicted, so that a flood of senders cannot exhaust the memory
)


class UnlistedIncarnations:
    """The newest incarnation of each sender that is not in the membership table yet."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._incarnations: dict[int, int] = {}

    def get(self, ip: int) -> int:
        """Return the newest incarnation of a sender, 0 if none is known."""
        return self._incarnations.get(ip, 0)

    def observe(self, ip: int, incarnation: int) -> None:
        """Record that a message was received from this incarnation of a sender."""
        known = self._incarnations
        if ip not in known and len(known) >= MAX_UNLISTED_SENDERS:
            del known[next(iter(known))]
        known[ip] = max(incarnation, known.get(ip, 0))

    def pop(self, ip: int) -> int:
        """Remove a sender that has become a member; return its newest incarnation, 0 if none was known."""
        return self._incarnations.pop(ip, 0)
