"""Tallies: counts named by tenant and window, held by two ingresses far apart (pure).

Tenants fall into shards.  A shard has two holders, in different regions if its homes allow, else in different zones.
An ingress asks the nearer one; each holder counts what it was asked for and tells the other, so that either knows
the whole but for what is on its way.  The estimate made of it: policy/window.py.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from zlib import crc32

from ..transport.messages import CounterRows

SHARD = 16  # tenants: what two holders tell each other fits one datagram
KEPT = 2  # windows for which a name lives
NONCES = 4096
MUCH, MUCH_PART = 2, 0.07  # changes, and part of a limit, after which the other holder is told at once
WHILE_S = 0.3  # and in any case


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
class Counter:
    """One tenant's count in one window: a row (version, count) for each holder that ever counted it, by its life
    (`Register.life`): a holder that is back, empty, counts in a row of its own beside that of its earlier life.

    Rows are added up and never passed on as a sum: three holders that tell each other sums would count for ever.
    """

    rows: dict[int, tuple[int, float]] = field(default_factory=dict)
    limit: float = 0.0  #: as an ingress that asked last knew it
    told: dict[int, tuple[int, float]] = field(default_factory=dict)  #: our row's version, and when; by life

    @property
    def total(self) -> float:
        return sum(count for _, count in self.rows.values())

    def due(self, now: float, me: int, to: int) -> bool:
        """Much of our own row is told at once, little in a while, all of it to a new holder."""
        version = self.rows.get(me, (0, 0.0))[0]
        told, at = self.told.get(to, (-1, -1e9))
        return version - told >= max(MUCH, MUCH_PART * self.limit) or version > told and now - at >= WHILE_S


class CounterTable:
    """The counts that this ingress holds; `me` and whoever sends or is told are lives (`Register.life`).

    What was added is remembered by sender and nonce, the last few thousand: coming again it adds nothing; taken off it
    is taken off once, and if that comes first it is not added.  What is forgotten errs towards refusing: a double adds
    once more, and nothing is taken off for it.
    """

    def __init__(self, me: int) -> None:
        self.me = me
        self._names: dict[tuple[str, int], Counter] = {}
        self._counted: dict[tuple[int, int], float] = {}  #: units that stand, by sender and nonce
        self._order: deque[tuple[int, int]] = deque()

    def _name(self, tenant: str, window: int) -> Counter:
        name = self._names.get((tenant, window))
        if name is None:
            for key in [k for k in self._names if k[0] == tenant and k[1] <= window - KEPT]:
                del self._names[key]
            name = self._names[tenant, window] = Counter()
        return name

    def add(
        self, sender: int, nonce: int, tenant: str, window: int, units: float, limit: float = 0.0
    ) -> tuple[float, float]:
        """The count before, and that of the window before; a repeated nonce adds nothing."""
        previous = self._names.get((tenant, window - 1))
        name, before = self._name(tenant, window), previous.total if previous is not None else 0.0
        count, name.limit = name.total, limit
        counted = self._counted.get((sender, nonce))
        if counted is not None:
            return max(0.0, count - counted), before
        self._remember((sender, nonce), units)
        version, own = name.rows.get(self.me, (0, 0.0))
        name.rows[self.me] = version + 1, own + units
        return count, before

    def take_off(self, sender: int, nonce: int, tenant: str, window: int) -> None:
        """What was added under that nonce counts no more, and will not if it is still on its way."""
        counted = self._counted.get((sender, nonce))
        if counted is None:
            return self._remember((sender, nonce), 0.0)
        self._counted[sender, nonce] = 0.0
        name = self._names.get((tenant, window))
        if counted and name is not None:
            version, own = name.rows.get(self.me, (0, 0.0))
            name.rows[self.me] = version + 1, max(0.0, own - counted)

    def _remember(self, key: tuple[int, int], units: float) -> None:
        self._counted[key] = units
        self._order.append(key)
        if len(self._order) > NONCES:
            self._counted.pop(self._order.popleft(), None)

    def take(self, parts: list[CounterRows]) -> None:
        """What another holder knows.  Of our own row it knows more only if we have lost it."""
        for part in parts:
            name = self._name(part.tenant, part.window)
            for ip, version, count in part.rows:
                held, own = name.rows.get(ip, (0, 0.0))
                if version <= held:
                    continue
                if ip == self.me:
                    version, count = version + 1, count + own
                name.rows[ip] = version, count

    def parts(self, now: float, to: int, tenants: set[str], all: bool = False) -> list[CounterRows]:
        """What another holder is to be told of these tenants; `all`: whether or not it is due."""
        found = []
        for (tenant, window), name in self._names.items():
            if tenant in tenants and (all or name.due(now, self.me, to)):
                name.told[to] = name.rows.get(self.me, (0, 0.0))[0], now
                found.append(CounterRows(tenant, window, [(ip, *row) for ip, row in name.rows.items()]))
        return found

    def tenants(self) -> list[str]:
        """Of whom there are names here."""
        return list(dict.fromkeys(tenant for tenant, _ in self._names))

    def own(self, tenant: str, window: int) -> float:
        """What this holder itself was asked for."""
        name = self._names.get((tenant, window))
        return name.rows.get(self.me, (0, 0.0))[1] if name is not None else 0.0
