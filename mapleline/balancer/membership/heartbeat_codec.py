"""Encoding of the membership table in heartbeats: one row of 16 bytes per member, the sender's own row first."""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .member import Member

_ROW_FORMAT = struct.Struct("<IIIBBH")
_AGE_UNITS_PER_S = 100  # ages are encoded in units of 10 ms
MAX_AGE_UNITS = 0xFFFF  #: in units of 10 ms; the newest heartbeat is 655 s old or more, or was never seen


class MemberRow(NamedTuple):
    """One member as encoded in a heartbeat; the fields are in wire order."""

    ip: int
    incarnation: int
    heartbeat_count: int
    zone: int
    flags: int  #: bits of `MemberFlags`
    age_units: int  #: the age of the newest heartbeat in units of 10 ms, at most `MAX_AGE_UNITS`

    @property
    def age_s(self) -> float:
        """The age of the newest heartbeat in seconds."""
        return self.age_units / _AGE_UNITS_PER_S


def encode_rows(members: Iterable[Member], now: float) -> bytes:
    """Return the encoded rows of these members, in their order, with ages as of `now` in seconds."""
    rows = []
    for member in members:
        age_units = min(MAX_AGE_UNITS, max(0, int((now - member.last_heartbeat) * _AGE_UNITS_PER_S)))
        rows.append(
            _ROW_FORMAT.pack(
                member.ip, member.incarnation, member.heartbeat_count, member.zone, member.flags, age_units
            )
        )
    return b"".join(rows)


def decode_rows(data: bytes) -> Iterator[MemberRow]:
    """Return the decoded rows, in their order.

    Raises:
        struct.error: The length is not a multiple of a row's length.
    """
    return map(MemberRow._make, _ROW_FORMAT.iter_unpack(data))


def decode_first_row(data: bytes) -> MemberRow | None:
    """Return the first row, which is the sender's own; None if there is no row."""
    if len(data) < _ROW_FORMAT.size:
        return None
    return MemberRow._make(_ROW_FORMAT.unpack_from(data))
