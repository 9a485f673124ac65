"""Stand-in of the data folder of a machine: what was saved lasts, and a fault may refuse writes or make them hang."""

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
    """What outlasts a process (`balancer.control.snapshot.ReplicaStore`)."""

    def __init__(self, on_write: Callable[[bytes], None]) -> None:
        """Create an empty disk; `on_write` gets the bytes of each record that is written."""
        self.on_write = on_write
        self.record: Record | None = None
        self.contents: dict[int, bytes] = {}
        self.refuses_writes = False
        self.hangs_until = 0.0  #: moment until which a sync does not return, in seconds

    def load(self) -> LoadedSnapshot:
        """Return the record, the contents that it names by digest, and no faults: this disk corrupts nothing."""
        return LoadedSnapshot(self.record, dict(self.contents), [])

    def save(self, record: Record, contents: dict[int, bytes]) -> None:
        """Keep the record and the contents that it names, unless a later record of this disk was saved before.

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
        """Find no file that went bad."""
        return None
