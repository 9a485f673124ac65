"""By how much the clocks of other replicas differ from the own one, in slots."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ..membership.table import MembershipTable
    from .slots import SlotClock

logger = logging.getLogger(__name__)

MS_PER_S = 1000


class ClockOffset(NamedTuple):
    """By how many slots the clock of a peer's incarnation is behind the own one; it is even while both run."""

    incarnation: int
    slots: int


class ClockOffsets:
    """The offsets of the peers that have told their time of day."""

    def __init__(self, membership: MembershipTable, slots: SlotClock) -> None:
        """Know none yet."""
        self._membership = membership
        self._slots = slots
        self._offsets: dict[int, ClockOffset] = {}

    def own_unix_ms(self) -> int:
        """Return the own time of day, in milliseconds, as it is told to others."""
        return int(self._slots.unix_time() * MS_PER_S)

    def offset_of(self, ip: int, unix_ms: int) -> int:
        """Return what is added to the slot numbers of a peer.

        It is measured once for each of its incarnations, by the time of day `unix_ms` that it has just told; 0 where it
        tells none, as earlier versions do.
        """
        if not unix_ms:
            return 0
        incarnation = self._membership.incarnation(ip)
        known = self._offsets.get(ip)
        if known is None or known.incarnation != incarnation:
            known = self._offsets[ip] = ClockOffset(incarnation, self._slots.offset_of(unix_ms / MS_PER_S))
            self._log(ip, known.slots)
        return known.slots

    def _log(self, ip: int, slots: int) -> None:
        if slots:
            fields = {"replica": ip_from_int(ip), "behind_s": slots * self._slots.slot_s}
            logger.info("clock of a counter replica is off", extra=fields)
