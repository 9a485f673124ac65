"""The write-ahead log of one process: its requests in flight, written before anything is sent (files)."""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from .log_format import Record, encode_record, log_header

LOG_MODE = 0o600


def log_name(name: str, epoch: int) -> str:
    """Return the name of the log of a member's epoch in the store."""
    return f"{name}.{epoch}"


class WriteAheadLog:
    """An open log; when `write` returns, the kernel has each record that is not deferred.

    Attributes:
        size_bytes: The size of the whole file.
        grown_bytes: The bytes written since the snapshot at the start of the file.
    """

    def __init__(self, folder: Path, name: str, epoch: int, records: Iterable[Record]) -> None:
        """Create the log with `records` at its start.

        Raises:
            FileExistsError: There is a log of that epoch.
            OSError: The folder cannot be used.
        """
        self.path = folder / f"{log_name(name, epoch)}.log"
        self.name = name
        self.epoch = epoch
        self.fd = os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND, LOG_MODE)
        self.size_bytes = 0
        self.grown_bytes = 0
        self._pending = b""
        self._write(self._encode(records))
        self.grown_bytes = 0

    def _encode(self, records: Iterable[Record]) -> bytes:
        return log_header(self.name, self.epoch) + b"".join(encode_record(record) for record in records)

    def write(self, record: Record, is_deferred: bool = False) -> None:
        """Append a record; a deferred one is written with the next record that is not deferred, or by `flush`."""
        self._pending += encode_record(record)
        if not is_deferred:
            self.flush()

    def flush(self) -> None:
        """Write the deferred records."""
        if self._pending:
            data = self._pending
            self._pending = b""
            self._write(data)

    def _write(self, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self.fd, view) :]
        self.size_bytes += len(data)
        self.grown_bytes += len(data)

    def sync(self) -> None:
        """Wait until the log is on disk; may be called in any thread."""
        os.fdatasync(self.fd)

    def replace_with_snapshot(self, records: Iterable[Record]) -> None:
        """Replace the log by one that holds only `records`, which is written to another file and synced first.

        Deferred records are dropped, since `records` includes their effect.
        """
        temporary_path = self.path.with_suffix(".new")
        data = self._encode(records)
        old_fd = self.fd
        self.fd = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, LOG_MODE)
        self.size_bytes = 0
        self._pending = b""
        self._write(data)
        os.fdatasync(self.fd)
        os.replace(temporary_path, self.path)
        os.close(old_fd)
        self.grown_bytes = 0

    def close(self) -> None:
        """Close the file; nothing may be written afterwards."""
        os.close(self.fd)
