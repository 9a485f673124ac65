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


def shard_of(tenant: str, tenants: int) -> int:
    """The shard of a tenant, of as many as there are."""
    return crc32(tenant.encode()) % max(1, tenants // SHARD)


def holders(shard: int, homes: str, candidates: list[tuple[int, int, str]]) -> list[int]:
    """The two holders of a shard, of (address, zone, region): by lot, as far apart as there are."""
    if not candidates:
        return []
    order = sorted(candidates, key=lambda c: crc32(b"%d %d %s" % (c[0], shard, homes.encode())))
    first = order[0]
    others = [c for c in order if c[2] != first[2]] or [c for c in order if c[1] != first[1]]
    return [first[0]] + [c[0] for c in others[:1]]


@dataclass(slots=True)
class Name:
    """One tenant's count in one window."""

    own: float = 0.0  #: what this holder was asked for
    told: dict[int, float] = field(default_factory=dict)  #: what other holders said they, and those before them, had
    changed: bool = True

    @property
    def total(self) -> float:
        return self.own + sum(self.told.values())


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
        name.own, name.changed = max(0.0, name.own + units), True
        return count, before

    def take(self, sender: int, parts: list[Part]) -> None:
        """What another holder counted; where we have nothing, also what it knows that we had."""
        for part in parts:
            fresh = (part.tenant, part.window) not in self._names
            name = self._name(part.tenant, part.window)
            name.told[sender] = part.own
            if fresh:
                name.own, name.changed = part.yours, False

    def parts(self, to: int, tenants: set[str]) -> list[Part]:
        """What has changed of these tenants since it was last told, for the other holder."""
        found = []
        for (tenant, window), name in self._names.items():
            if name.changed and tenant in tenants:
                name.changed = False
                others = sum(count for ip, count in name.told.items() if ip != to)
                found.append(Part(tenant, window, name.own + others, name.told.get(to, 0.0)))
        return found

    @property
    def changed(self) -> set[str]:
        """Tenants of which something is to be told."""
        return {tenant for (tenant, _), name in self._names.items() if name.changed}
