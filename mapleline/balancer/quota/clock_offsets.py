"""Differences between the clocks of other replicas and this node's clock, in slots."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, NamedTuple

from ..transport.addresses import ip_from_int

if TYPE_CHECKING:
    from ..membership.table import MembershipTable
    from .slots import SlotClock

logger = logging.getLogger(__name__)

MS_PER_S = 1000

#: Number of messages that carry this node's time of day to each incarnation of a peer, because messages may be lost.
MAX_TIMES_SENT = 4


class ClockOffset(NamedTuple):
    """By how many slots the clock of a peer's incarnation is behind; it stays the same while both processes run."""

    incarnation: int
    slots: int


class TimesSent(NamedTuple):
    """Number of messages that carried this node's time of day to an incarnation of a peer."""

    incarnation: int
    messages: int


class ClockOffsets:
    """The clock offsets of the peers that have sent their time of day."""

    def __init__(self, membership: MembershipTable, slots: SlotClock) -> None:
        """Begin without any offset.

        Args:
            membership: Supplies the incarnations of peers.
            slots: This node's clock.
        """
        self._membership = membership
        self._slots = slots
        self._offsets: dict[int, ClockOffset] = {}
        self._times_sent: dict[int, TimesSent] = {}

    def unix_ms_for(self, ip: int) -> int:
        """Return the time of day, in milliseconds since 1970, that the next message to a peer carries.

        Each incarnation of the peer gets it in `MAX_TIMES_SENT` messages; from then on the value is 0.
        """
        incarnation = self._membership.incarnation(ip)
        sent = self._times_sent.get(ip)
        if sent is None or sent.incarnation != incarnation:
            sent = TimesSent(incarnation, 0)
        if sent.messages >= MAX_TIMES_SENT:
            return 0
        self._times_sent[ip] = TimesSent(incarnation, sent.messages + 1)
        return int(self._slots.unix_time() * MS_PER_S)

    def offset_of(self, ip: int, unix_ms: int) -> int:
        """Return the number of slots to add to the slot numbers of a peer.

        The offset is measured once for each incarnation of the peer.

        Args:
            ip: The peer's address.
            unix_ms: The time of day that the peer has just sent, in milliseconds since 1970; 0 if it has sent none.

        Returns:
            The offset; 0 as long as the peer has sent no time of day, as is the case for peers of earlier versions.
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
