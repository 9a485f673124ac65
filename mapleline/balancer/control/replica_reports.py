"""The report of a machine with a disk on its replica."""

from __future__ import annotations

from typing import NamedTuple


class ReplicaReport(NamedTuple):
    """The newest report of the replica at one address."""

    disk_id: int  #: the identity of its disk; 0 for none
    durable_number: int  #: number of the newest chosen state on that disk
    asked_at: float  #: when the query was sent, on this node's clock, in seconds


NO_REPORT = ReplicaReport(0, 0, 0.0)
