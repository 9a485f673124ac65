"""What outlasts a process of the model: machines and their disks."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mapleline.balancer.control.consensus import Record, referenced_digests

if TYPE_CHECKING:
    from .node import Node


class DurableDisk:
    """What a loss of power leaves; `save` follows `SnapshotStore.save`."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Lose everything, also what an operator could put back."""
        self.record: Record | None = None
        self.contents: set[int] = set()
        self.history: list[tuple[Record, set[int]]] = []  #: everything that was ever saved

    def save(self, record, contents):
        """Save a record unless a newer one of its disk is there; KeyError where a content is missing."""
        saved = self.record
        if saved is not None and saved.disk_id == record.disk_id and saved.version >= record.version:
            return
        referenced = referenced_digests(record)
        if referenced - self.contents - contents:
            raise KeyError(referenced)
        self.record = record
        self.contents = referenced
        self.history.append((record, referenced))


class Machine:
    """An address, with or without a disk, and the process that runs on it.

    Attributes:
        ip: the address.
        disk: the disk, if it has one.
        is_initial_start: whether its next process may take part in the founding.
        node: the process; None while it is down.
        start_count: how many processes there were.
        down_since: when it went down last.
        is_leaving: it is shutting down gracefully.
        is_removed: it never comes back.
    """

    def __init__(self, ip, has_disk, is_initial_start):
        self.ip = ip
        self.disk = DurableDisk() if has_disk else None
        self.is_initial_start = is_initial_start
        self.node: Node | None = None
        self.start_count = 0
        self.down_since = 0.0
        self.is_leaving = False
        self.is_removed = False
