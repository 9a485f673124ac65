"""Simulated data directory of a machine: saved data is durable, and faults make writes fail or hang."""

from __future__ import annotations

import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

from ..balancer.control.consensus import referenced_digests
from ..balancer.control.snapshot import LoadedSnapshot
from ..balancer.transport import messages

if TYPE_CHECKING:
    from ..balancer.control.consensus import Record


class Disk:
    """The durable state of a machine (implements `balancer.control.snapshot.ReplicaStore`)."""

    def __init__(self, on_write: Callable[[bytes], None]) -> None:
        """Create an empty disk; `on_write` is called with the bytes of each record that is written."""
        self.on_write = on_write
        self.record: Record | None = None
        self.contents: dict[int, bytes] = {}
        self.refuses_writes = False
        self.hangs_until = 0.0  #: moment before which no sync returns, in seconds of virtual time

    def load(self) -> LoadedSnapshot:
        """Return the record, the contents that it refers to by digest, and no faults: this disk never corrupts data."""
        return LoadedSnapshot(self.record, dict(self.contents), [])

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        """Save the record and the contents that it refers to, unless a record of a later version is saved already.

        Raises:
            OSError: The disk refuses writes.
        """
        if self.refuses_writes:
            raise OSError(errno.ENOSPC, "no space left")
        saved = self.record
        if saved is None or saved.version < record.version:
            known = contents | self.contents
            self.contents = {name: known[name] for name in referenced_digests(record)}
            self.record = record
            self.on_write(messages.encode(record))

    def quarantine(self) -> None:
        """Empty the disk."""
        self.record = None
        self.contents = {}

    def scrub(self, contents: dict[int, bytes]) -> str | None:
        """Return None: no file is ever corrupt."""
        return None
