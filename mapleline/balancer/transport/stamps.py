"""The stamps: the header of each message on the wire, by which its receiver decides whether to accept it."""

from __future__ import annotations

import struct
from typing import NamedTuple

_DATAGRAM_FORMAT = struct.Struct("<III")
_CALL_FORMAT = struct.Struct("<IIIII")
DATAGRAM_STAMPS_BYTES = _DATAGRAM_FORMAT.size
CALL_STAMPS_BYTES = _CALL_FORMAT.size


class DatagramStamps(NamedTuple):
    """The header of a datagram; alone it is a refusal.  Fields are in wire order, 32 bits each."""

    system_id: int  #: agreed on when the system was founded; 0 until the sender knows it
    sender_incarnation: int
    receiver_incarnation: int  #: the addressed one, 0 for any; in a refusal the newest that its sender knows

    def encode(self) -> bytes:
        """Return the stamps as bytes."""
        return _DATAGRAM_FORMAT.pack(*self)

    @classmethod
    def decode(cls, data: bytes) -> DatagramStamps:
        """Decode the stamps of a datagram, which must have at least `DATAGRAM_STAMPS_BYTES` bytes."""
        return cls._make(_DATAGRAM_FORMAT.unpack_from(data))


class CallStamps(NamedTuple):
    """The header of a call and of its reply; alone it is a refusal.  Fields are in wire order, 32 bits each."""

    system_id: int
    sender_incarnation: int
    receiver_incarnation: int
    call_number: int  #: counts the caller's calls; a reply repeats the number of its call
    sender_ip: int

    def encode(self) -> bytes:
        """Return the stamps as bytes."""
        return _CALL_FORMAT.pack(*self)

    @classmethod
    def decode(cls, data: bytes) -> CallStamps:
        """Decode the stamps of a call or reply, which must have at least `CALL_STAMPS_BYTES` bytes."""
        return cls._make(_CALL_FORMAT.unpack_from(data))
