"""The stamps in front of each message on the wire, with which its receiver tells whether to accept it."""

from __future__ import annotations

import struct
from typing import NamedTuple

_DATAGRAM_FORMAT = struct.Struct("<III")
_CALL_FORMAT = struct.Struct("<IIIII")
DATAGRAM_STAMPS_BYTES = _DATAGRAM_FORMAT.size
CALL_STAMPS_BYTES = _CALL_FORMAT.size


class DatagramStamps(NamedTuple):
    """In front of a datagram; alone: a refusal.  The fields are in the order of the bytes, 32 bits each."""

    system_id: int  #: agreed on when the system was founded; 0 until the sender knows it
    sender_incarnation: int
    receiver_incarnation: int  #: that the message is meant for; 0 for any.  Of a refusal: the newest known one

    def encode(self) -> bytes:
        """Return the stamps as they go out."""
        return _DATAGRAM_FORMAT.pack(*self)

    @classmethod
    def decode(cls, data: bytes) -> DatagramStamps:
        """Read the stamps of a datagram of `DATAGRAM_STAMPS_BYTES` or more."""
        return cls._make(_DATAGRAM_FORMAT.unpack_from(data))


class CallStamps(NamedTuple):
    """In front of a call and its reply; alone: a refusal.  The fields are in the order of the bytes, 32 bits each."""

    system_id: int
    sender_incarnation: int
    receiver_incarnation: int
    call_number: int  #: the caller's count of calls; a reply has that of its call
    sender_ip: int

    def encode(self) -> bytes:
        """Return the stamps as they go out."""
        return _CALL_FORMAT.pack(*self)

    @classmethod
    def decode(cls, data: bytes) -> CallStamps:
        """Read the stamps of a call or reply of `CALL_STAMPS_BYTES` or more."""
        return cls._make(_CALL_FORMAT.unpack_from(data))
