"""Whether a replica knows what was counted of a tenant before it was first asked, and what it assumes if not.

A replica knows the past of a tenant if it was the tenant's replica all the time that counts, by its own view, or if
another one that knows has sent its rows.  After a restart, or where others were passed over, it knows nothing: then as
much may have been admitted as the limit allows, spread evenly, and the tenant gets its rate but no fresh burst.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .counters import CounterReading
from .slots import KEPT_SLOTS

#: Who is no replica by its own view, and was not asked for so many slots, may have missed what others counted.
MAX_IDLE_SLOTS = 2


@dataclass(frozen=True, slots=True)
class UnknownPast:
    """The slots before `first_slot`, of which nothing is known."""

    first_slot: int

    def has_passed(self, slot: int) -> bool:
        """Return whether all slots that still count at this one are later."""
        return slot - self.first_slot >= KEPT_SLOTS

    def reading(self, slot: int, window_slots: int, window_limit: float) -> CounterReading:
        """Return what may have been counted in them.

        Args:
            slot: The current one.
            window_slots: The length of a window.
            window_limit: Of units in one window.
        """
        units_per_slot = window_limit / window_slots
        window_start = slot - slot % window_slots
        return CounterReading(
            units_per_slot * self._unknown_slots(window_start, window_slots),
            units_per_slot * self._unknown_slots(window_start - window_slots, window_slots),
            units_per_slot * self._unknown_slots(slot - KEPT_SLOTS + 1, KEPT_SLOTS),
        )

    def _unknown_slots(self, first: int, count: int) -> int:
        """Return how many of `count` slots from this one on are unknown."""
        return min(max(self.first_slot - first, 0), count)


@dataclass(slots=True)
class AskedTenant:
    """A tenant that the replica was asked for.

    Attributes:
        last_slot: When it was asked last.
        unknown_past: None if its past is known.
    """

    last_slot: int
    unknown_past: UnknownPast | None


class PastKnowledge:
    """What one replica knows of the tenants' pasts; slots are the replica's own."""

    def __init__(self, first_slot: int, was_replica: Callable[[str], bool], *, is_first_start: bool) -> None:
        """Begin with no tenant.

        Args:
            first_slot: In which the process has started.
            was_replica: Returns whether this node was a tenant's replica as long as counts are kept, or as it runs.
            is_first_start: The whole system has started: there is no past before the process.
        """
        self._first_slot = first_slot
        self._was_replica = was_replica
        self._is_first_start = is_first_start
        self._tenants: dict[str, AskedTenant] = {}

    def unknown_past(self, tenant: str, slot: int) -> UnknownPast | None:
        """Return what is unknown of a tenant that is asked for now; None if that is nothing."""
        asked = self._tenants.get(tenant)
        if asked is None or slot - asked.last_slot > MAX_IDLE_SLOTS:
            is_known = self._is_known_unasked(tenant, slot)
            asked = self._tenants[tenant] = AskedTenant(slot, None if is_known else UnknownPast(slot))
        asked.last_slot = slot
        if asked.unknown_past is not None and asked.unknown_past.has_passed(slot):
            asked.unknown_past = None
        return asked.unknown_past

    def is_known(self, tenant: str, slot: int) -> bool:
        """Return whether the whole past of a tenant that counts is known here."""
        asked = self._tenants.get(tenant)
        if asked is None or slot - asked.last_slot > MAX_IDLE_SLOTS:
            return self._is_known_unasked(tenant, slot)
        return asked.unknown_past is None or asked.unknown_past.has_passed(slot)

    def learn(self, tenant: str) -> None:
        """Note that one who knows the tenant's past has sent all of it."""
        asked = self._tenants.get(tenant)
        if asked is not None:
            asked.unknown_past = None

    def expire(self, slot: int) -> None:
        """Forget tenants that were not asked for as long as counts are kept."""
        for tenant, asked in list(self._tenants.items()):
            if slot - asked.last_slot >= KEPT_SLOTS:
                del self._tenants[tenant]

    def _is_known_unasked(self, tenant: str, slot: int) -> bool:
        has_seen_all = self._is_first_start or slot - self._first_slot >= KEPT_SLOTS
        return has_seen_all and self._was_replica(tenant)
