"""The operator's word: registers whose highest stamp wins, their quorums, and leases by age (pure).

A write counts once it stands synced on `write_quorum` machines of the core; a read of `read_quorum` of them that
have not come back empty meets each such write, also after `losses` disks are gone.
"""

from __future__ import annotations

from zlib import crc32

import msgspec

Stamp = tuple[int, str]  #: version, and what decides between two of the same
CONFIG, EVACUATION, REMOVED = "config", "evacuation/", "core/"
RANGES = 16  # of keys, by their checksum: copies are compared by a digest of each


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """What a register holds somewhere, without the content."""

    key: str
    version: int
    tie: str

    @property
    def stamp(self) -> Stamp:
        return self.version, self.tie


class Entry(Mark, array_like=True, frozen=True):
    """The same with the content."""

    body: bytes


def write_quorum(core: int, losses: int) -> int:
    """More than half, and more than may lose their disks."""
    return min(core, max(core // 2 + 1, losses + 1))


def read_quorum(core: int, losses: int) -> int:
    """So many that every write quorum is met."""
    return core - write_quorum(core, losses) + 1


class Word:
    """The registers as one process holds them."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}

    def stamp(self, key: str) -> Stamp:
        entry = self.entries.get(key)
        return entry.stamp if entry is not None else (-1, "")

    def offer(self, entry: Entry) -> bool:
        """Take it if it is newer than what is held."""
        if entry.stamp <= self.stamp(entry.key):
            return False
        self.entries[entry.key] = entry
        return True

    def marks(self) -> list[Mark]:
        return [Mark(e.key, e.version, e.tie) for e in self.entries.values()]

    def lacks(self, marks: list[Mark]) -> list[str]:
        """Keys of which there is something newer."""
        return [mark.key for mark in marks if mark.stamp > self.stamp(mark.key)]

    def removed(self, least: int = 2) -> set[int]:
        """Machines of the core that were taken away for good, by address; from version 1 on they say nothing, from
        version 2 on the core is smaller (`seat.py`).
        """
        return {int(key.removeprefix(REMOVED)) for key, entry in self.entries.items()
                if key.startswith(REMOVED) and entry.version >= least}  # fmt: skip

    def evacuated(self) -> set[str]:
        """Zones whose servers are to get nothing."""
        return {e.key.removeprefix(EVACUATION) for e in self.entries.values()
                if e.key.startswith(EVACUATION) and e.body == b"begin"}  # fmt: skip


def range_of(key: str) -> int:
    return crc32(key.encode()) % RANGES


def digests(stamps: dict[str, Stamp]) -> list[int]:
    """What a copy holds, as one number for each range of keys; the order of arrival is no matter."""
    found = [0] * RANGES
    for key, (version, tie) in stamps.items():
        found[range_of(key)] ^= crc32(f"{key} {version} {tie}".encode())
    return found


class Lease:
    """Until when what is held is known to have been the newest: by ages, never by times of day."""

    def __init__(self, losses: int) -> None:
        self.losses = losses
        self.core = 0  #: size of the core, as far as is known
        self.told: dict[int, float] = {}  #: by machine of the core: when we asked what we now hold
        self.relayed = float("-inf")  #: the same certainty at second hand

    def agree(self, ip: int, asked: float) -> None:
        """That machine, asked at that time, held nothing newer than is held here now."""
        self.told[ip] = max(asked, self.told.get(ip, -1e9))

    def relay(self, asked: float, age: float) -> None:
        """Another ingress, asked at that time, held nothing newer, and was certain of what is that old.

        The age counts from the question: the answer was given no earlier.
        """
        self.relayed = max(self.relayed, asked - age)

    def drop(self, ips: set[int]) -> None:
        """Machines that are no longer of the core say nothing."""
        for ip in ips & self.told.keys():
            del self.told[ip]

    def since(self) -> float:
        """Everything acknowledged before this moment is held here; minus infinity if that isn't known."""
        need = read_quorum(self.core, self.losses)
        times = sorted(self.told.values(), reverse=True)
        own = times[need - 1] if self.core and len(times) >= need else float("-inf")
        return max(own, self.relayed)
