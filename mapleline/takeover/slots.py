"""The processes of one ingress find each other by locked files under `$TMPDIR`."""

from __future__ import annotations

import fcntl
import os
import struct
import zlib

SLOTS = 4  # processes at once: one that leaves, one that serves, one that starts, one in reserve
RECORD = struct.Struct("<8sII")  # magic, claim, CRC-32 of both
MAGIC = b"mpl-slot"


def pack(claim: int) -> bytes:
    body = RECORD.pack(MAGIC, claim, 0)[:-4]
    return body + struct.pack("<I", zlib.crc32(body))


def unpack(data: bytes) -> int | None:
    """The claim, or None where the record is torn, empty or somebody else's."""
    if len(data) != RECORD.size or data[:8] != MAGIC:
        return None
    _, claim, crc = RECORD.unpack(data)
    return claim if crc == zlib.crc32(data[:-4]) else None


class Slots:
    """This process's slot and those of the others.  Raises OSError where there is none to be had."""

    def __init__(self, folder: str, name: str) -> None:
        self._paths = [os.path.join(folder, f"mapleline-{name}.{n}") for n in range(SLOTS)]
        self._fd = -1
        for path in self._paths:
            fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            try:
                fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(fd)
                continue
            self._fd, self._path = fd, path
            os.ftruncate(fd, 0)  # what a process that is gone left here
            break
        else:
            raise OSError(f"{SLOTS} processes at once: no slot is free")
        #: It was here before any other that holds a slot now.
        self.elder = not self.others()

    def others(self) -> list[int | None]:
        """The claims of the other living processes; None for one that cannot be read."""
        found: list[int | None] = []
        for path in self._paths:
            if path != self._path:
                self._look(path, found)
        if not found:
            self.elder = True
        return found

    @staticmethod
    def _look(path: str, found: list[int | None]) -> None:
        try:
            fd = os.open(path, os.O_RDWR | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            return
        except OSError:
            found.append(None)
            return
        try:
            fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)  # free: its process is gone
        except OSError:
            found.append(unpack(os.pread(fd, RECORD.size, 0)))
        finally:
            os.close(fd)

    def publish(self, claim: int) -> None:
        """Raises OSError, as where the folder is full; the old claim then stands."""
        os.pwrite(self._fd, pack(claim), 0)
