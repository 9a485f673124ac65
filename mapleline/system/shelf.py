"""The operator's word on disk: a plain file for each register, framed, checksummed and synced.

Written beside, synced, renamed, the folder synced: what `save` has returned for is there after a loss of power.
"""

from __future__ import annotations

import os
import threading
from pathlib import Path
from zlib import crc32

import msgspec

from .archive import Entry, Stamp

MAGIC = b"mapleline word 1\n"


class BadFile(Exception):
    """A file that is torn, empty or foreign; the text names it."""


class CoreNote(msgspec.Struct):
    """Who the core is, as this machine knows it; its presence says that the word here may be believed."""

    core: list[tuple[int, int]]  #: address, zone


def write(path: Path, body: bytes) -> None:
    """The body under that name, whole or not at all, and lasting."""
    beside = path.with_name(path.name + ".new")
    fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
    try:
        data = memoryview(MAGIC + b"%08x %d\n" % (crc32(body), len(body)) + body)
        while data:
            data = data[os.write(fd, data) :]
        os.fsync(fd)
    finally:
        os.close(fd)
    os.rename(beside, path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def read(path: Path) -> bytes:
    """The body of a file written so.  Raises BadFile."""
    data = path.read_bytes()
    head, _, body = data.removeprefix(MAGIC).partition(b"\n")
    if not data.startswith(MAGIC) or head != b"%08x %d" % (crc32(body), len(body)):
        raise BadFile(f"{path}: torn, empty or foreign")
    return body


class Shelf:
    """One machine's folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder) / "word"
        self._lock = threading.Lock()  # threads save; a slow one must not lay an older entry over a newer
        self._written: dict[str, Stamp] = {}
        self._scrubbed = -1

    def load(self) -> tuple[list[Entry], CoreNote | None, list[str]]:
        """Registers, the note on the core, and what could not be read."""
        self.folder.mkdir(parents=True, exist_ok=True)
        entries, note, bad = [], None, []
        for path in sorted(self.folder.iterdir()):
            if path.suffix == ".new":
                continue
            try:
                if path.name == "core":
                    note = msgspec.msgpack.decode(read(path), type=CoreNote)
                else:
                    entry = msgspec.msgpack.decode(read(path), type=Entry)
                    entries.append(entry)
                    self._written[entry.key] = entry.stamp
            except (BadFile, msgspec.DecodeError, OSError) as err:
                bad.append(f"{path.name}: {err}")
        return entries, None if bad else note, bad

    def save(self, entry: Entry) -> None:
        """This, or what is newer, is lasting once this returns.  Raises OSError."""
        with self._lock:
            if self._written.get(entry.key, (-1, "")) < entry.stamp:
                write(self._path(entry.key), msgspec.msgpack.encode(entry))
                self._written[entry.key] = entry.stamp

    def scrub(self) -> str | None:
        """Read the file that was read longest ago; its key if it can't be believed, else None.  Raises OSError."""
        with self._lock:
            keys = sorted(self._written)
            if not keys:
                return None
            self._scrubbed = (self._scrubbed + 1) % len(keys)
            key = keys[self._scrubbed]
            try:
                held = msgspec.msgpack.decode(read(self._path(key)), type=Entry)
                if held.stamp >= self._written[key]:
                    return None
            except (BadFile, msgspec.DecodeError, FileNotFoundError):
                pass
            del self._written[key]
            return key

    def _path(self, key: str) -> Path:
        return self.folder / ("r-" + key.encode().hex())

    def save_core(self, note: CoreNote) -> None:
        with self._lock:
            write(self.folder / "core", msgspec.msgpack.encode(note))
