"""The checksum that identifies a server in messages between nodes: load reports and slow-start leases."""

from __future__ import annotations

from functools import lru_cache
from zlib import crc32

CACHED_IDS = 1024
"""Size of the cache; load reports need the checksums of all servers many times a second."""


@lru_cache(maxsize=CACHED_IDS)
def server_checksum(instance_id: str) -> int:
    """Return the CRC-32 of a server's id."""
    return crc32(instance_id.encode())
