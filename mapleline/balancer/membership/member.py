"""The record of one ingress in the membership table of another."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntFlag
from zlib import crc32

NEVER = -1e9  #: in seconds, far before any reading of a steady clock; the time of an event that has not happened


class MemberFlags(IntFlag):
    """The state that an ingress reports of itself with each heartbeat; one byte on the wire."""

    READY = 1  #: it serves requests
    LEAVING = 2  #: it is shutting down gracefully
    HAS_DISK = 4  #: it keeps a replica of the control state
    CAN_PROPOSE = 8  #: its replica has a vote, and the disk accepts writes


# Plain integers: flags are tested per request, and operators of an enumeration cost some 30 times those of `int`.
_READY = int(MemberFlags.READY)
_LEAVING = int(MemberFlags.LEAVING)
_HAS_DISK = int(MemberFlags.HAS_DISK)
_CAN_PROPOSE = int(MemberFlags.CAN_PROPOSE)


@dataclass(slots=True)
class Member:
    """One ingress as known to the ingress that holds the table.

    Attributes:
        ip: Its IPv4 address as an integer; the key of the table.
        zone: The index of its zone in the sorted names of the zones.
        flags: Bits of `MemberFlags`, as a plain integer.
        incarnation: Number that rises with each start of its process; 0 while unknown.
        heartbeat_count: Number of heartbeats that it has sent in this incarnation.
        last_heartbeat: When the newest known heartbeat was sent, in seconds on the clock of the table's holder.
    """

    ip: int
    zone: int
    flags: int
    incarnation: int = 0
    heartbeat_count: int = 0
    last_heartbeat: float = NEVER

    @property
    def is_ready(self) -> bool:
        """Whether it serves requests."""
        return bool(self.flags & _READY)

    @property
    def is_leaving(self) -> bool:
        """Whether it is shutting down."""
        return bool(self.flags & _LEAVING)

    @property
    def has_disk(self) -> bool:
        """Whether it keeps a replica of the control state."""
        return bool(self.flags & _HAS_DISK)

    @property
    def can_propose(self) -> bool:
        """Whether commands may be forwarded to it."""
        return bool(self.flags & _CAN_PROPOSE)

    @property
    def ring_position(self) -> int:
        """Its position on the hash ring, 32 bits; the same on every ingress."""
        return crc32(self.ip.to_bytes(4, "big"))
