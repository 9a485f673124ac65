"""Tallies: counts named by tenant and window, held by two ingresses far apart (pure).

Tenants fall into shards.  A shard has two holders, in different regions if its homes allow, else in different zones.
An ingress asks the nearer one; each holder counts what it was asked for and tells the other, so that either knows
the whole but for what is on its way.  The estimate made of it: policy/window.py.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from .messages import Part

SHARD = 16  # tenants: what two holders tell each other fits one datagram
KEPT = 2  # windows for which a name lives
NONCES = 4096
MUCH, WHILE_S = 2.0, 0.2  # units, and seconds, after which the other holder is told


def shard_of(tenant: str, tenants: int) -> int:
    """The shard of a tenant, of as many as there are."""
    return crc32(tenant.encode()) % max(1, tenants // SHARD)


def holders(shard: int, homes: str, candidates: list[tuple[int, int, str, bool]]) -> list[int]:
    """The two holders of a shard, of (address, zone, region, core): by lot, as far apart as there are.

    Machines of the core come last: a cut through the core must not lie between two holders.
    """
    if not candidates:
        return []
    order = sorted(candidates, key=lambda c: (c[3], crc32(b"%d %d %s" % (c[0], shard, homes.encode()))))
    first = order[0]
    others = [c for c in order if c[2] != first[2]] or [c for c in order if c[1] != first[1]]
    return [first[0]] + [c[0] for c in others[:1]]


@dataclass(slots=True)
class Name:
    """One tenant's count in one window."""

    own: float = 0.0  #: what this holder was asked for
    told: dict[int, float] = field(default_factory=dict)  #: what other holders said they, and those before them, had
    untold: float = 0.0  #: how much of it the other holder was not told
    told_at: float = -1e9
    told_to: int = 0

    @property
    def total(self) -> float:
        return self.own + sum(self.told.values())

    def due(self, now: float, to: int) -> bool:
        """Much is told at once, little in a while, all of it to a new holder."""
        waited = now - self.told_at >= WHILE_S
        return self.untold >= MUCH or self.untold > 0 and waited or to != self.told_to and self.total > 0


class Names:
    """The counts that this ingress holds."""

    def __init__(self) -> None:
        self._names: dict[tuple[str, int], Name] = {}
        self._seen: set[tuple[int, int]] = set()
        self._order: deque[tuple[int, int]] = deque()

    def _name(self, tenant: str, window: int) -> Name:
        name = self._names.get((tenant, window))
        if name is None:
            for key in [k for k in self._names if k[0] == tenant and k[1] <= window - KEPT]:
                del self._names[key]
            name = self._names[tenant, window] = Name()
        return name

    def add(self, sender: int, nonce: int, tenant: str, window: int, units: float) -> tuple[float, float]:
        """The count before, and that of the window before; a repeated nonce adds nothing."""
        previous = self._names.get((tenant, window - 1))
        name, before = self._name(tenant, window), previous.total if previous is not None else 0.0
        if (sender, nonce) in self._seen:
            return max(0.0, name.total - units), before
        self._seen.add((sender, nonce))
        self._order.append((sender, nonce))
        if len(self._order) > NONCES:
            self._seen.discard(self._order.popleft())
        count = name.total
        name.own = max(0.0, name.own + units)
        name.untold += abs(units)
        return count, before

    def take(self, sender: int, parts: list[Part]) -> None:
        """What another holder counted; where we have nothing, also what it knows that we had."""
        for part in parts:
            fresh = (part.tenant, part.window) not in self._names
            name = self._name(part.tenant, part.window)
            name.told[sender] = part.own
            if fresh:
                name.own = part.yours

    def parts(self, now: float, to: int, tenants: set[str]) -> list[Part]:
        """What the other holder is to be told of these tenants."""
        found = []
        for (tenant, window), name in self._names.items():
            if tenant in tenants and name.due(now, to):
                name.untold, name.told_at, name.told_to = 0.0, now, to
                others = sum(count for ip, count in name.told.items() if ip != to)
                found.append(Part(tenant, window, name.own + others, name.told.get(to, 0.0)))
        return found

    def tenants(self) -> set[str]:
        """Of whom there are names here."""
        return {tenant for tenant, _ in self._names}

    def own(self, tenant: str, window: int) -> float:
        """What this holder itself was asked for."""
        name = self._names.get((tenant, window))
        return name.own if name is not None else 0.0
