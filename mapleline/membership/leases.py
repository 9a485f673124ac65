"""Members known by their leases: which leases have expired, and which member succeeds another (pure).

A lease holds until a moment on its owner's clock.  Clocks differ by less than `clock_margin_s`, so that a lease has
expired for the other members only that much after its end.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Lease:
    """One member's lease.

    Attributes:
        name: the member.
        epoch: its incarnation; a restart has a higher one.
        until: the end, in Unix seconds of the member's own clock.
    """

    name: str
    epoch: int
    until: float


@dataclass(slots=True)
class LeaseTable:
    """The leases as they were last read from the store.

    Attributes:
        clock_margin_s: the largest difference of two members' clocks, in seconds.
        known: the leases by member.
    """

    clock_margin_s: float
    known: dict[str, Lease] = field(default_factory=dict)

    def replace_all(self, leases: list[Lease]) -> None:
        """Take the store's leases, as just read, in place of those known before."""
        self.known = {lease.name: lease for lease in leases}

    def expired(self, now: float) -> list[Lease]:
        """Return the leases that have expired on every member's clock; `now` is in Unix seconds."""
        return [lease for lease in self.known.values() if lease.until + self.clock_margin_s < now]

    def successor_of(self, name: str, now: float) -> str | None:
        """Return the member that takes over from `name`: the next by name, in a ring, whose lease holds now."""
        holders = sorted(lease.name for lease in self.known.values() if lease.until >= now and lease.name != name)
        if not holders:
            return None
        return next((holder for holder in holders if holder > name), holders[0])
