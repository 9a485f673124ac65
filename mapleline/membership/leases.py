"""The leases of the members: which have expired, and which member succeeds another (pure).

A lease is valid until a time on its owner's clock.  Clocks differ by less than `clock_margin_s`, so other members treat
a lease as expired only that long after its end.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Lease:
    """One member's lease.

    Attributes:
        name: The member's name.
        epoch: The member's incarnation, which increases with each restart.
        until_s: The end of the lease, in Unix seconds of the member's own clock.
    """

    name: str
    epoch: int
    until_s: float


@dataclass(slots=True)
class LeaseTable:
    """The leases as they were last read from the store.

    Attributes:
        clock_margin_s: The largest difference of two members' clocks, in seconds.
        by_name: The leases by the member's name.
    """

    clock_margin_s: float
    by_name: dict[str, Lease] = field(default_factory=dict)

    def replace_all(self, leases: list[Lease]) -> None:
        """Replace the leases by those just read from the store."""
        self.by_name = {lease.name: lease for lease in leases}

    def expired(self, now_s: float) -> list[Lease]:
        """Return the leases that have expired on every member's clock; `now_s` is in Unix seconds."""
        return [lease for lease in self.by_name.values() if lease.until_s + self.clock_margin_s < now_s]

    def successor_of(self, name: str, now_s: float) -> str | None:
        """Return the member that takes over from `name`: the next by name, in a ring, with a lease valid at `now_s`."""
        holders = sorted(lease.name for lease in self.by_name.values() if lease.until_s >= now_s and lease.name != name)
        if not holders:
            return None
        return next((holder for holder in holders if holder > name), holders[0])
