"""Tallies: counts named by tenant and window, held by two ingresses in different zones (pure).

The estimate made of them: policy/window.py.
"""

from __future__ import annotations

from collections import deque
from zlib import crc32

HOLDERS = 2
KEPT = 2  # windows for which a name lives


def holders(tenant: str, candidates: list[tuple[int, int]]) -> list[int]:
    """Addresses of those who hold a tenant's names, of (address, zone) pairs: by lot, in different zones."""
    order = sorted(candidates, key=lambda c: crc32(b"%d %s" % (c[0], tenant.encode())))
    found: list[tuple[int, int]] = []
    for ip, zone in order:
        if len(found) < HOLDERS and all(zone != other for _, other in found):
            found.append((ip, zone))
    return [ip for ip, _ in found]


class Names:
    """The counts that this ingress holds for all."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, int], float] = {}
        self._seen: set[tuple[int, int]] = set()
        self._order: deque[tuple[int, int]] = deque()

    def add(self, sender: int, nonce: int, tenant: str, window: int, units: float) -> tuple[float, float]:
        """The count before, and that of the window before; a repeated nonce adds nothing."""
        count = self._counts.get((tenant, window), 0.0)
        previous = self._counts.get((tenant, window - 1), 0.0)
        if (sender, nonce) in self._seen:
            return max(0.0, count - units), previous
        self._seen.add((sender, nonce))
        self._order.append((sender, nonce))
        if len(self._order) > 4096:
            self._seen.discard(self._order.popleft())
        if (tenant, window) not in self._counts:
            for key in [k for k in self._counts if k[0] == tenant and k[1] < window - KEPT + 1]:
                del self._counts[key]
        self._counts[tenant, window] = max(0.0, count + units)
        return count, previous
