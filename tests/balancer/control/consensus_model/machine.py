"""Machines and their disks, which survive the processes of the model."""

from __future__ import annotations

from typing import TYPE_CHECKING

from mapleline.balancer.control.consensus import Record, referenced_digests

if TYPE_CHECKING:
    from .node import Node


class DurableDisk:
    """The durable content of a disk; `save` behaves as `SnapshotStore.save`."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Remove everything, including the history from which the disk could be restored."""
        self.record: Record | None = None
        self.contents: set[int] = set()
        self.history: list[tuple[Record, set[int]]] = []  #: all records saved so far, with their contents

    def save(self, record, contents):
        """Save a record unless the disk has a newer one of the same identity; KeyError if a content is missing."""
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
        disk: the disk; None for a machine without one.
        is_initial_start: whether its next process may take part in the bootstrap.
        node: the process; None while it is down.
        start_count: the number of processes started so far.
        down_since: when it last went down, in seconds.
        is_leaving: whether it is shutting down gracefully.
        is_removed: whether it is removed permanently.
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
