"""The processes of one ingress find each other by locked files, one slot each, below a folder such as `$TMPDIR`."""

from __future__ import annotations

import fcntl
import os
import struct
import zlib

SLOTS = 4  #: processes at once: one that leaves, one that serves, one that starts, one in reserve
RECORD = struct.Struct("<8sII")  #: magic, claim, CRC-32 of both
CHECKSUM = struct.Struct("<I")
MAGIC = b"mpl-slot"


class NoFreeSlotError(OSError):
    """As many processes as there are slots run already."""


def encode_claim(claim: int) -> bytes:
    """Return the record of a claim, as it stands in a slot's file."""
    body = RECORD.pack(MAGIC, claim, 0)[: -CHECKSUM.size]
    return body + CHECKSUM.pack(zlib.crc32(body))


def decode_claim(data: bytes) -> int | None:
    """Return the claim of a record, or None where it is torn, empty or of another program."""
    if len(data) != RECORD.size or not data.startswith(MAGIC):
        return None
    _, claim, checksum = RECORD.unpack(data)
    return int(claim) if checksum == zlib.crc32(data[: -CHECKSUM.size]) else None


class Slots:
    """This process's slot, and a look at those of the others.

    Attributes:
        is_elder: this process was here before any other that holds a slot now.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Lock the first free slot of the ingress `name`.

        Raises:
            NoFreeSlotError: all slots are locked.
            OSError: the folder cannot be used.
        """
        self._paths = [os.path.join(folder, f"mapleline-{name}.{number}") for number in range(SLOTS)]
        self._path, self._fd = self._lock_free_slot()
        os.ftruncate(self._fd, 0)  # what a process that is gone left here
        self.is_elder = not self.others()

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
        """Return the claims of the other living processes; None for one that cannot be read."""
        found: list[int | None] = []
        for path in self._paths:
            if path != self._path:
                found += self._claims_at(path)
        if not found:
            self.is_elder = True
        return found

    @staticmethod
    def _claims_at(path: str) -> list[int | None]:
        """Return the claim in a slot's file, or nothing where no living process holds the slot."""
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
        return []  # nobody holds the lock: its process is gone

    def publish(self, claim: int) -> None:
        """Write this process's claim to its slot.

        Raises:
            OSError: the folder is full, for one; the old claim then stands.
        """
        os.pwrite(self._fd, encode_claim(claim), 0)
