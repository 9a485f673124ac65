"""Slots by which the processes of one ingress find each other: locked files in a folder such as `$TMPDIR`."""

from __future__ import annotations

import fcntl
import os
import struct
import zlib

SLOTS = 4  #: the most processes at once: one that shuts down, one that serves, one that starts, and a spare
RECORD = struct.Struct("<8sII")  #: the magic bytes, the claim, and the CRC-32 of both
CHECKSUM = struct.Struct("<I")
MAGIC = b"mpl-slot"


class NoFreeSlotError(OSError):
    """All slots are in use by running processes."""


def encode_claim(claim: int) -> bytes:
    """Return the record of a claim, in the format of a slot's file."""
    body = RECORD.pack(MAGIC, claim, 0)[: -CHECKSUM.size]
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode_claim(data: bytes) -> int | None:
    """Return the claim of a record, or None if the record is torn, empty or of another program."""
    if len(data) != RECORD.size or not data.startswith(MAGIC):
        return None
    _, claim, checksum = RECORD.unpack(data)
    return int(claim) if checksum == zlib.crc32(data[: -CHECKSUM.size]) else None


class Slots:
    """This process's slot, and read access to the slots of the others.

    Attributes:
        is_oldest: Whether this process is the oldest of those that hold a slot.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Lock the first free slot of the ingress `name`.

        Raises:
            NoFreeSlotError: All slots are locked.
            OSError: The folder cannot be used.
        """
        self._paths = [os.path.join(folder, f"mapleline-{name}.{number}") for number in range(SLOTS)]
        self._path, self._fd = self._lock_free_slot()
        os.ftruncate(self._fd, 0)  # remove the record of an earlier process
        self.is_oldest = not self.others()

    def _lock_free_slot(self) -> tuple[str, int]:
        for path in self._paths:
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                continue
            return path, fd
        raise NoFreeSlotError(f"{SLOTS} processes at once: no slot is free")

    def others(self) -> list[int | None]:
        """Return the claims of the other running processes; None for one that cannot be read."""
        found: list[int | None] = []
        for path in self._paths:
            if path != self._path:
                found += self._claims_at(path)
        if not found:
            self.is_oldest = True
        return found

    @staticmethod
    def _claims_at(path: str) -> list[int | None]:
        """Return the claim in a slot's file, or nothing if no running process holds the slot."""
        try:
            fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            return []
        except OSError:
            return [None]
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return [decode_claim(os.pread(fd, RECORD.size, 0))]
        finally:
            os.close(fd)
        return []  # the lock is free: the process of the slot has ended

    def publish(self, claim: int) -> None:
        """Write this process's claim to its slot.

        Raises:
            OSError: The file cannot be written, for example on a full disk; the old claim then stays.
        """
        os.pwrite(self._fd, encode_claim(claim), 0)
