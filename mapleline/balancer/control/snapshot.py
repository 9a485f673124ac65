"""One replica's snapshot on disk: its record, and the configurations that the record references.

Each file is framed and checksummed: it is written under a temporary name, synced and renamed, and then its folder is
synced.  A save writes the contents first, then the record that references them, and only then removes files that are no
longer referenced.  After a loss of power, the record of the last save that returned is on the disk; a save that was
interrupted leaves either its own record or the previous one.  A start reads one record and the contents it references,
independent of the number of past changes.
"""

from __future__ import annotations

import errno
import os
import shutil
import threading
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, Protocol
from zlib import crc32

import msgspec

from . import migration
from .consensus import Record, referenced_digests
from .errors import CorruptFileError, MissingContentError, ReplacedReplicaError
from .state import content_digest

#: First line of each file; the next line has the CRC-32 of the body (hexadecimal) and its size in bytes.
MAGIC = b"mapleline word 2\n"

#: Folders of the data directory: the replica's files, and the quarantine for corrupt files.
FOLDER = "word"
QUARANTINE_FOLDER = "spoilt"

RECORD_FILE = "replica"
CONTENT_PREFIX = "c-"
TEMPORARY_SUFFIX = ".new"

FOLDER_FLAGS = os.O_RDONLY | os.O_DIRECTORY
FILE_FLAGS = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
FILE_MODE = 0o644


@dataclass(frozen=True, slots=True)
class FileFault:
    """An invalid file of the folder.

    Attributes:
        file: its name, or several names separated by commas.
        reason: the fault.
        is_legacy: whether the only fault is that the file is of the earlier format.
    """

    file: str
    reason: str
    is_legacy: bool = False

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        return f"{self.file}: {self.reason}"


class LoadedSnapshot(NamedTuple):
    """The result of loading a replica's folder.

    Attributes:
        record: the record; None if the folder is empty or has any fault.
        contents: the referenced contents that could be read, by digest.
        faults: the invalid files.
    """

    record: Record | None
    contents: dict[int, bytes]
    faults: list[FileFault]


class ReplicaStore(Protocol):
    """The storage interface of a replica; every call may block, and raises OSError on a disk error."""

    def load(self) -> LoadedSnapshot:
        """Read the record and the contents that it references."""

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        """Return once the record, or a later one of the same disk identity, is durable with its referenced contents.

        Raises:
            MissingContentError: a referenced content is neither on the disk nor in `contents`.
            ReplacedReplicaError: the record has an identity that the folder has abandoned.
        """

    def quarantine(self) -> None:
        """Move all files to a sibling folder, for inspection."""

    def scrub(self, contents: dict[int, bytes]) -> str | None:
        """Check one file, the next at each call, and rewrite it if it is corrupt; return its name in that case."""


def sync_folder(folder: Path) -> None:
    """Make the directory entries of a folder durable."""
    descriptor = os.open(folder, FOLDER_FLAGS)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def make_folder(folder: Path) -> None:
    """Create a folder and its missing parents, and make them durable by syncing the parent of each."""
    if not folder.is_dir():
        make_folder(folder.parent)
        with suppress(FileExistsError):
            os.mkdir(folder)
        sync_folder(folder.parent)


def write_file(path: Path, body: bytes) -> None:
    """Write a framed file atomically and durably; on an error, such as a full disk, the partial file is removed."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    try:
        _write_and_sync(temporary, MAGIC + _header(body) + b"\n" + body)
        os.rename(temporary, path)
    except OSError:
        with suppress(OSError):
            os.unlink(temporary)
        raise
    sync_folder(path.parent)


def _write_and_sync(path: Path, data: bytes) -> None:
    descriptor = os.open(path, FILE_FLAGS, FILE_MODE)
    try:
        rest = memoryview(data)
        while rest:
            rest = rest[os.write(descriptor, rest) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _header(body: bytes) -> bytes:
    return b"%08x %d" % (crc32(body), len(body))


def read_file(path: Path) -> bytes:
    """Return the body of a framed file.

    Raises:
        CorruptFileError: the file is torn, empty or foreign.
        OSError: the file is missing or cannot be read.
    """
    data = path.read_bytes()
    header, _, body = data.removeprefix(MAGIC).partition(b"\n")
    if not data.startswith(MAGIC) or header != _header(body):
        raise CorruptFileError("torn, empty or foreign")
    return body


def content_file(digest: int) -> str:
    """Return the name of the file that holds the content of that digest."""
    return f"{CONTENT_PREFIX}{digest:016x}"


class SnapshotStore:
    """A `ReplicaStore` in one folder of a machine.

    Saves and scrubs may run in several threads: a slow thread must not overwrite a newer record with an older one.

    Attributes:
        folder: the folder of the replica's files.
    """

    def __init__(self, data_folder: str) -> None:
        """Use the replica folder of a data directory; it is not read or written before the first call."""
        self.folder = Path(data_folder) / FOLDER
        self._lock = threading.Lock()
        self._record: Record | None = None  #: the record on the disk
        self._former_disk_ids: set[int] = set()  #: identities that this folder had and has abandoned
        self._digests: set[int] = set()  #: of the contents on the disk
        self._unreferenced: set[str] = set()  #: files to be removed
        self._last_scrubbed = -1  #: index of the file that was scrubbed last

    def load(self) -> LoadedSnapshot:
        """Read the record and the contents that it references (`ReplicaStore.load`)."""
        make_folder(self.folder)
        for folder in (self.folder, self.folder.parent):
            sync_folder(folder)  # an earlier process may have been killed between a rename and the sync
        names = sorted(os.listdir(self.folder))
        record, faults = self._load_record(names)
        contents, content_faults = self._load_contents(record)
        faults += content_faults
        legacy = [name for name in names if migration.is_legacy_file(name)]
        if legacy:
            faults.append(FileFault(", ".join(legacy), migration.LEGACY_FAULT, is_legacy=True))
        referenced = {RECORD_FILE, *map(content_file, contents)}
        self._unreferenced = {name for name in names if name not in referenced and _is_own_file(name)}
        explained = referenced | self._unreferenced | {*legacy} | {fault.file for fault in faults}
        faults += [FileFault(name, "foreign") for name in names if name not in explained]
        self._digests = set(contents)
        self._record = record if not faults else None
        return LoadedSnapshot(self._record, contents, faults)

    def _load_record(self, names: list[str]) -> tuple[Record | None, list[FileFault]]:
        try:
            if RECORD_FILE in names:
                return msgspec.msgpack.decode(read_file(self.folder / RECORD_FILE), type=Record), []
        except (CorruptFileError, msgspec.DecodeError, OSError) as err:
            return None, [FileFault(RECORD_FILE, str(err))]
        if any(name.startswith(CONTENT_PREFIX) and not name.endswith(TEMPORARY_SUFFIX) for name in names):
            return None, [FileFault(RECORD_FILE, "missing")]
        return None, []

    def _load_contents(self, record: Record | None) -> tuple[dict[int, bytes], list[FileFault]]:
        contents = {}
        faults = []
        for digest in sorted(referenced_digests(record)) if record is not None else ():
            name = content_file(digest)
            try:
                body = read_file(self.folder / name)
                if content_digest(body) != digest:
                    raise CorruptFileError("content does not match its digest")
                contents[digest] = body
            except FileNotFoundError:
                faults.append(FileFault(name, "missing"))
            except (CorruptFileError, OSError) as err:
                faults.append(FileFault(name, str(err)))
        return contents, faults

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        """Return once the record and the contents it references are durable (`ReplicaStore.save`)."""
        with self._lock:
            if self._is_saved(record):
                return
            referenced = referenced_digests(record)
            for digest in referenced - self._digests - contents.keys():
                raise MissingContentError(content_file(digest))
            self._remove(self._unreferenced)  # before the writes: a full disk may need that space
            for digest in sorted(referenced - self._digests):
                self._write_content(digest, contents[digest])
            self._write_record(record)
            removed = self._digests - referenced
            self._digests &= referenced
            self._remove(map(content_file, removed))

    def _is_saved(self, record: Record) -> bool:
        """Return whether that record, or a later one of the same identity, is on the disk."""
        if record.disk_id in self._former_disk_ids:
            raise ReplacedReplicaError(errno.ESTALE, "this folder belongs to another replica identity now")
        saved = self._record
        return saved is not None and saved.disk_id == record.disk_id and saved.version >= record.version

    def _write_content(self, digest: int, body: bytes) -> None:
        name = content_file(digest)
        self._unreferenced.add(name)  # a failed write leaves it to be removed by the next save
        write_file(self.folder / name, body)
        self._unreferenced.discard(name)
        self._digests.add(digest)

    def _write_record(self, record: Record) -> None:
        write_file(self.folder / RECORD_FILE, msgspec.msgpack.encode(record))
        if self._record is not None and self._record.disk_id != record.disk_id:
            self._former_disk_ids.add(self._record.disk_id)
        self._record = record

    def _remove(self, names: Iterable[str]) -> None:
        """Remove unreferenced files; a file that cannot be removed is retried at the next save."""
        for name in sorted(names):
            try:
                os.unlink(self.folder / name)
            except FileNotFoundError:
                self._unreferenced.discard(name)
            except OSError:
                self._unreferenced.add(name)
            else:
                self._unreferenced.discard(name)

    def quarantine(self) -> None:
        """Move all files away, those of the earlier format to a folder of their own (`ReplicaStore.quarantine`)."""
        with self._lock:
            quarantine = self.folder.with_name(QUARANTINE_FOLDER)
            legacy = self.folder.with_name(migration.LEGACY_FOLDER)
            shutil.rmtree(quarantine, ignore_errors=True)  # keep only the newest set, to bound the disk space
            for name in sorted(os.listdir(self.folder)):
                target = legacy if migration.is_legacy_file(name) else quarantine
                make_folder(target)
                os.replace(self.folder / name, target / name)
            sync_folder(self.folder)
            self._digests = set()
            self._unreferenced = set()
            self._record = None

    def scrub(self, contents: dict[int, bytes]) -> str | None:
        """Check one file, and rewrite it if it is corrupt (`ReplicaStore.scrub`)."""
        with self._lock:
            if self._record is None:
                return None
            files = [RECORD_FILE, *map(content_file, sorted(self._digests))]
            self._last_scrubbed = (self._last_scrubbed + 1) % len(files)
            name = files[self._last_scrubbed]
            record_body = msgspec.msgpack.encode(self._record)
            if self._is_intact(name, record_body):
                return None
            body = record_body if name == RECORD_FILE else contents.get(int(name.removeprefix(CONTENT_PREFIX), 16))
            if body is None:  # newer states are committed, but their record is not on the disk yet
                raise OSError(errno.EIO, f"{name} is corrupt, and its body is no longer in memory")
            write_file(self.folder / name, body)
            return name

    def _is_intact(self, name: str, record_body: bytes) -> bool:
        with suppress(CorruptFileError, OSError):
            body = read_file(self.folder / name)
            return body == record_body if name == RECORD_FILE else content_file(content_digest(body)) == name
        return False


def _is_own_file(name: str) -> bool:
    return name.startswith(CONTENT_PREFIX) or name.endswith(TEMPORARY_SUFFIX)
