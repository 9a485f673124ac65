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

#: An incarnation of a peer is told the time of day so often.
MAX_TIMES_TOLD = 4


class ClockOffset(NamedTuple):
    """By how many slots the clock of a peer's incarnation is behind the own one; it is even while both run."""

    incarnation: int
    slots: int


class TimesTold(NamedTuple):
    """How often an incarnation of a peer was told the own time of day."""

    incarnation: int
    times: int


class ClockOffsets:
    """The offsets of the peers that have told their time of day."""

    def __init__(self, membership: MembershipTable, slots: SlotClock) -> None:
        """Know none yet."""
        self._membership = membership
        self._slots = slots
        self._offsets: dict[int, ClockOffset] = {}
        self._told: dict[int, TimesTold] = {}

    def unix_ms_for(self, ip: int) -> int:
        """Return the own time of day, in milliseconds, as a peer is told it with the next message.

        It is told a few times to each incarnation, for messages may be lost, and 0 from then on.
        """
        incarnation = self._membership.incarnation(ip)
        told = self._told.get(ip)
        if told is None or told.incarnation != incarnation:
            told = TimesTold(incarnation, 0)
        if told.times >= MAX_TIMES_TOLD:
            return 0
        self._told[ip] = TimesTold(incarnation, told.times + 1)
        return int(self._slots.unix_time() * MS_PER_S)

    def offset_of(self, ip: int, unix_ms: int) -> int:
        """Return what is added to the slot numbers of a peer.

        It is measured once for each of its incarnations, by the time of day `unix_ms` that it has just told; 0 where it
        has told none, as earlier versions do not.
        """
        incarnation = self._membership.incarnation(ip)
        known = self._offsets.get(ip)
        if known is not None and known.incarnation == incarnation:
            return known.slots
        if not unix_ms:
            return 0
        measured = self._offsets[ip] = ClockOffset(incarnation, self._slots.offset_of(unix_ms / MS_PER_S))
        self._log(ip, measured.slots)
        return measured.slots

    def _log(self, ip: int, slots: int) -> None:
        if slots:
            fields = {"replica": ip_from_int(ip), "behind_s": slots * self._slots.slot_s}
            logger.info("clock of a counter replica is off", extra=fields)
