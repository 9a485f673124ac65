"""One replica's snapshot on disk: its record, and the contents that its states name.  Framed, checksummed, synced.

Written beside, synced, renamed, the folder synced; the contents first, then the record that names them, and only then
what nothing names any more is taken away: what `save` has returned for is there after a loss of power, and at each
moment between the record before it.  What is read at a start is one record and the contents it names, however many
changes led there.
"""

from __future__ import annotations

import errno
import os
import shutil
import threading
from contextlib import suppress
from pathlib import Path
from typing import Protocol
from zlib import crc32

import msgspec

from . import migration
from .consensus import Record
from .state import State, digest

MAGIC = b"mapleline word 2\n"
FOLDER, RECORD, ASIDE = "word", "replica", "spoilt"
CONTENT, BESIDE = "c-", ".new"


class CorruptFileError(Exception):
    """A file that is torn, empty or foreign; the text names it."""


class Store(Protocol):
    """What a replica needs of a disk; every call may wait, and raises OSError where the disk refuses."""

    def load(self) -> tuple[Record | None, dict[int, bytes], list[str]]:
        """The record, the contents it names by digest, and what could not be believed: with any of that, no record."""

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        """The record, or a later one of that disk, and these contents are lasting once this returns."""

    def put_aside(self) -> None:
        """What could not be believed makes room; it can be looked at beside the folder."""

    def scrub(self, contents: dict[int, bytes]) -> str | None:
        """Read one file that lies still; its name if it had gone bad and was written anew."""


def named(record: Record) -> set[int]:
    """Digests of the contents that a record names."""
    return {s.config[1] for s in (record.state, record.decided) if s is not None and s.config is not None}


def sync(folder: Path) -> None:
    """What the folder names now is lasting."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def make(folder: Path) -> None:
    """The folder is there, and lasting: a new one is a name in the one above it."""
    if not folder.is_dir():
        make(folder.parent)
        with suppress(FileExistsError):
            os.mkdir(folder)
        sync(folder.parent)


def write(path: Path, body: bytes) -> None:
    """The body under that name, whole or not at all, and lasting.  What a full disk cut off is not left lying."""
    beside = path.with_name(path.name + BESIDE)
    try:
        fd = os.open(beside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            data = memoryview(MAGIC + b"%08x %d\n" % (crc32(body), len(body)) + body)
            while data:
                data = data[os.write(fd, data) :]
            os.fsync(fd)
        finally:
            os.close(fd)
        os.rename(beside, path)
    except OSError:
        with suppress(OSError):
            os.unlink(beside)
        raise
    sync(path.parent)


def read(path: Path) -> bytes:
    """The body of a file written so.  Raises BadFile, OSError."""
    data = path.read_bytes()
    head, _, body = data.removeprefix(MAGIC).partition(b"\n")
    if not data.startswith(MAGIC) or head != b"%08x %d" % (crc32(body), len(body)):
        raise CorruptFileError("torn, empty or foreign")
    return body


class Snapshot:
    """One machine's folder."""

    def __init__(self, folder: str) -> None:
        self.folder = Path(folder) / FOLDER
        self._lock = threading.Lock()  # threads save; a slow one must not lay an older record over a newer
        self._record: Record | None = None  #: as it is on the disk
        self._former: set[int] = set()  #: disks that this folder was, and is no longer
        self._kept: set[int] = set()  #: digests of the contents on the disk
        self._litter: set[str] = set()  #: files that nothing names
        self._scrubbed = -1

    def load(self) -> tuple[Record | None, dict[int, bytes], list[str]]:
        make(self.folder)
        for folder in (self.folder, self.folder.parent):
            sync(folder)  # an earlier life may have been killed between a rename and this
        names = sorted(os.listdir(self.folder))
        record, contents, bad = None, {}, []
        try:
            if RECORD in names:
                record = msgspec.msgpack.decode(read(self.folder / RECORD), type=Record)
            elif any(name.startswith(CONTENT) and not name.endswith(BESIDE) for name in names):
                bad.append(f"{RECORD}: missing")
        except (CorruptFileError, msgspec.DecodeError, OSError) as err:
            bad.append(f"{RECORD}: {err}")
        for content in sorted(named(record)) if record is not None else ():
            try:
                body = read(self.folder / self._name(content))
                if digest(body) != content:
                    raise CorruptFileError("another's content")
                contents[content] = body
            except FileNotFoundError:
                bad.append(f"{self._name(content)}: missing")
            except (CorruptFileError, OSError) as err:
                bad.append(f"{self._name(content)}: {err}")
        old = [name for name in names if migration.is_of(name)]
        if old:
            bad.append(f"{', '.join(old)}: {migration.FAULT}")
        ours = {RECORD, *(self._name(content) for content in contents)}
        self._litter = {n for n in names if n not in ours and (n.startswith(CONTENT) or n.endswith(BESIDE))}
        bad += [
            f"{name}: foreign"
            for name in names
            if name not in ours | self._litter
            and name not in old
            and not any(fault.startswith(name + ":") for fault in bad)
        ]
        self._kept, self._record = set(contents), record if not bad else None
        return self._record, contents, bad

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        with self._lock:
            held, wanted = self._record, named(record)
            if record.disk in self._former:
                raise OSError(errno.ESTALE, "this folder is another replica's by now")
            if held is not None and held.disk == record.disk and held.turn >= record.turn:
                return
            for content in wanted - self._kept - contents.keys():
                raise KeyError(self._name(content))
            self._clean(self._litter)  # before: a full disk may want that room
            for content in sorted(wanted - self._kept):
                self._litter.add(self._name(content))  # till it is known to lie whole
                write(self.folder / self._name(content), contents[content])
                self._litter.discard(self._name(content))
                self._kept.add(content)
            write(self.folder / RECORD, msgspec.msgpack.encode(record))
            if held is not None and held.disk != record.disk:
                self._former.add(held.disk)
            self._record = record
            gone, self._kept = self._kept - wanted, self._kept & wanted
            self._clean({self._name(content) for content in gone})

    def _clean(self, names: set[str]) -> None:
        """What nothing names goes; what would not is tried again at the next save."""
        for name in sorted(names):
            try:
                os.unlink(self.folder / name)
            except FileNotFoundError:
                self._litter.discard(name)
            except OSError:
                self._litter.add(name)
            else:
                self._litter.discard(name)

    def put_aside(self) -> None:
        with self._lock:
            aside, old = self.folder.with_name(ASIDE), self.folder.with_name(migration.FOLDER)
            shutil.rmtree(aside, ignore_errors=True)  # one is kept: they must not fill the disk
            for name in sorted(os.listdir(self.folder)):
                to = old if migration.is_of(name) else aside
                make(to)
                os.replace(self.folder / name, to / name)
            sync(self.folder)
            self._kept, self._litter, self._record = set(), set(), None

    def scrub(self, contents: dict[int, bytes]) -> str | None:
        with self._lock:
            if self._record is None:
                return None
            files = [RECORD, *(self._name(content) for content in sorted(self._kept))]
            self._scrubbed = (self._scrubbed + 1) % len(files)
            name = files[self._scrubbed]
            record = msgspec.msgpack.encode(self._record)
            with suppress(CorruptFileError, OSError):
                body = read(self.folder / name)
                if body == record if name == RECORD else self._name(digest(body)) == name:
                    return None
            body = record if name == RECORD else contents.get(int(name.removeprefix(CONTENT), 16))
            if body is None:  # the states have gone on, and their record did not come to the disk yet
                raise OSError(errno.EIO, f"{name} went bad, and its body is not held any more")
            write(self.folder / name, body)
            return name

    @staticmethod
    def _name(content: int) -> str:
        return f"{CONTENT}{content:016x}"


def whole(state: State | None, contents: dict[int, bytes]) -> bool:
    """Whether every content that a state names is there."""
    return state is not None and (state.config is None or state.config[1] in contents)
