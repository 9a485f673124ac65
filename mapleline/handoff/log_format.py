"""The format of the write-ahead log: a header line, then records framed by length and CRC-32 (pure).

Reading stops at the first frame that is truncated or does not match its checksum: bytes behind a torn write are never
read as a record.  Integers are little-endian; the payload is a JSON object.
"""

from __future__ import annotations

import struct
from typing import Any
from zlib import crc32

import orjson

MAGIC = b"mapleline handoff 1 "
FRAME = struct.Struct("<II")  #: the payload's length in bytes, and its CRC-32
MAX_PAYLOAD_BYTES = 1 << 20  #: a greater length means that the frame is corrupt

#: One record: a JSON object whose `op` is its type (`in_flight.Op`).
Record = dict[str, Any]


class LogFormatError(ValueError):
    """A file is not the log of the expected member and epoch: it is foreign, empty, or has a torn header."""


def log_header(name: str, epoch: int) -> bytes:
    """Return the first line of the log of a member's epoch."""
    return b"%b%b %d\n" % (MAGIC, name.encode(), epoch)


def encode_record(record: Record) -> bytes:
    """Return a record as one frame."""
    payload = orjson.dumps(record)
    return FRAME.pack(len(payload), crc32(payload)) + payload


def read_log(data: bytes, name: str, epoch: int) -> tuple[list[Record], int]:
    """Return the records of a log, and how many bytes of `data` are valid.

    Raises:
        LogFormatError: The data is not the log of that epoch.  An empty file is not a log either: the header is written
            before the lease, and only the log of a lease can be taken over.
    """
    header = log_header(name, epoch)
    if not data.startswith(header):
        raise LogFormatError(f"not the log of {name}, epoch {epoch}")
    records: list[Record] = []
    offset = len(header)
    while offset + FRAME.size <= len(data):
        frame = _read_frame(data, offset)
        if frame is None:
            break
        record, offset = frame
        records.append(record)
    return records, offset


def _read_frame(data: bytes, offset: int) -> tuple[Record, int] | None:
    """Return the record framed at `offset` and the offset behind it; None if the frame is torn or corrupt."""
    length, checksum = FRAME.unpack_from(data, offset)
    start = offset + FRAME.size
    payload = data[start : start + length]
    if length > MAX_PAYLOAD_BYTES or len(payload) < length or crc32(payload) != checksum:
        return None
    try:
        record = orjson.loads(payload)
    except orjson.JSONDecodeError:
        return None
    if not isinstance(record, dict) or "op" not in record:
        return None
    return record, start + length
