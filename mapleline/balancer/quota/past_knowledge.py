"""Whether a replica knows a tenant's past, and what it assumes if it does not.

The past of a tenant is what was counted for it before the replica was first asked, in slots that still matter.  A
replica knows it if it was the tenant's replica for all of that time by its own view, or if another replica that knows
it has sent its rows.  A replica that has restarted, or that stands in for suspected replicas, does not know it.  It
then assumes that as much was admitted as the limit allows, spread evenly, so that the tenant gets its rate but no
fresh burst.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .counters import CounterReading
from .slots import KEPT_SLOTS

#: A node that is not a replica by its own view, and was not asked for more than this many slots, may have missed counts
#: of other nodes.
MAX_IDLE_SLOTS = 2


@dataclass(frozen=True, slots=True)
class UnknownPast:
    """The slots before `first_slot`, whose counts are not known."""

    first_slot: int

    def has_expired(self, slot: int) -> bool:
        """Return whether all slots that are kept at the current slot `slot` are known."""
        return slot - self.first_slot >= KEPT_SLOTS

    def reading(self, slot: int, window_slots: int, window_limit: float) -> CounterReading:
        """Return the most units that may have been counted in the unknown slots.

        Args:
            slot: The current slot.
            window_slots: Length of a window, in slots.
            window_limit: Limit of units in one window.
        """
        units_per_slot = window_limit / window_slots
        window_start = slot - slot % window_slots
        return CounterReading(
            units_per_slot * self._unknown_slots(window_start, window_slots),
            units_per_slot * self._unknown_slots(window_start - window_slots, window_slots),
            units_per_slot * self._unknown_slots(slot - KEPT_SLOTS + 1, KEPT_SLOTS),
        )

    def _unknown_slots(self, range_start: int, slot_count: int) -> int:
        """Return how many of the `slot_count` slots from `range_start` on are unknown."""
        return min(max(self.first_slot - range_start, 0), slot_count)


@dataclass(slots=True)
class ConsultedTenant:
    """A tenant that the replica was asked for.

    Attributes:
        last_slot: The slot in which it was last asked for.
        unknown_past: The part of its past that is unknown; None if there is none.
    """

    last_slot: int
    unknown_past: UnknownPast | None


class PastKnowledge:
    """Which tenants' pasts one replica knows; slots are numbered by the replica's own clock."""

    def __init__(self, first_slot: int, was_replica: Callable[[str], bool], *, is_first_start: bool) -> None:
        """Begin without any tenant.

        Args:
            first_slot: The slot in which the process started.
            was_replica: Returns whether this node was a tenant's replica for as long as counts are kept, or for as long
                as the process has run if that is shorter.
            is_first_start: Whether the whole system was started with this process, so that there is no earlier past.
        """
        self._first_slot = first_slot
        self._was_replica = was_replica
        self._is_first_start = is_first_start
        self._tenants: dict[str, ConsultedTenant] = {}

    def unknown_past(self, tenant: str, slot: int) -> UnknownPast | None:
        """Record that a tenant is asked for in the current slot, and return its unknown past; None if all is known."""
        consulted = self._tenants.get(tenant)
        if consulted is None or slot - consulted.last_slot > MAX_IDLE_SLOTS:
            is_known = self._is_known_by_placement(tenant, slot)
            consulted = self._tenants[tenant] = ConsultedTenant(slot, None if is_known else UnknownPast(slot))
        consulted.last_slot = slot
        if consulted.unknown_past is not None and consulted.unknown_past.has_expired(slot):
            consulted.unknown_past = None
        return consulted.unknown_past

    def is_known(self, tenant: str, slot: int) -> bool:
        """Return whether a tenant's whole past is known at the current slot `slot`."""
        consulted = self._tenants.get(tenant)
        if consulted is None or slot - consulted.last_slot > MAX_IDLE_SLOTS:
            return self._is_known_by_placement(tenant, slot)
        return consulted.unknown_past is None or consulted.unknown_past.has_expired(slot)

    def mark_known(self, tenant: str) -> None:
        """Record that a replica that knows the tenant's past has sent all of it."""
        consulted = self._tenants.get(tenant)
        if consulted is not None:
            consulted.unknown_past = None

    def expire(self, slot: int) -> None:
        """Drop tenants that were not asked for during the slots kept at the current slot `slot`."""
        for tenant, consulted in list(self._tenants.items()):
            if slot - consulted.last_slot >= KEPT_SLOTS:
                del self._tenants[tenant]

    def _is_known_by_placement(self, tenant: str, slot: int) -> bool:
        """Return whether this node has been a replica of the tenant for all of its past."""
        has_run_throughout = self._is_first_start or slot - self._first_slot >= KEPT_SLOTS
        return has_run_throughout and self._was_replica(tenant)
