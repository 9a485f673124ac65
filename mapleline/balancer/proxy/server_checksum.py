"""The number that names a server between nodes, in load reports and slow start leases."""

from __future__ import annotations

from zlib import crc32


def server_checksum(instance_id: str) -> int:
    """Return the CRC-32 of a server's id."""
    return crc32(instance_id.encode())
