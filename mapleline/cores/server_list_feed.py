"""The server list as the supervisor feeds it to its workers: each gets the changes it lacks, the newest only.

A worker has one update in flight at a time.  What changes meanwhile is merged, so that a stalled worker costs no
memory and gets everything in one update when it resumes.  Removals are kept until every worker has acknowledged them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..policy.interface import ServerState
from .messages import ServerEntry, ServerListUpdate


@dataclass(slots=True, frozen=True)
class DrainChange:
    """Whether new requests may go to a server: the flag that the supervisor publishes before the update."""

    server: int
    is_draining: bool


@dataclass(slots=True, frozen=True)
class _VersionedEntry:
    """A server's newest entry and the revision that it came with."""

    revision: int
    entry: ServerEntry

    @property
    def is_removed(self) -> bool:
        return self.entry.life == ServerState.GONE


@dataclass(slots=True)
class _Subscriber:
    """What one worker has been sent."""

    acknowledged_revision: int = 0
    in_flight_revision: int = 0  #: 0: no update is in flight
    has_complete_list: bool = False  #: it has been sent the complete list once


class ServerListFeed:
    """Merges updates of the server list for each worker.

    Revisions are this feed's own: those of the discovery service may start anew.

    Attributes:
        revision: Number of updates taken in.
        is_cached: Whether the list is only the one known before the start.
    """

    def __init__(self) -> None:
        """Start with an empty list and without workers."""
        self.revision = 0
        self.is_cached = True
        self._entries: dict[int, _VersionedEntry] = {}
        self._subscribers: dict[int, _Subscriber] = {}

    def apply(self, entries: Sequence[ServerEntry], is_complete: bool, is_cached: bool = False) -> list[DrainChange]:
        """Take in an update.

        Args:
            entries: The servers that are new or changed.
            is_complete: Whether servers that `entries` does not name are removed.
            is_cached: Whether the update is the list known before the start.

        Returns:
            For each server that is named or missing, whether new requests may no longer go to it.
        """
        self.revision += 1
        self.is_cached = is_cached
        changed = [*entries, *(self._removals(entries) if is_complete else ())]
        for entry in changed:
            self._entries[entry.number] = _VersionedEntry(self.revision, entry)
        return [DrainChange(entry.number, entry.life != ServerState.READY) for entry in changed]

    def _removals(self, entries: Sequence[ServerEntry]) -> list[ServerEntry]:
        """A removal for each server that a complete list no longer names."""
        named = {entry.number for entry in entries}
        return [
            replace(known.entry, life=ServerState.GONE)
            for number, known in self._entries.items()
            if number not in named and not known.is_removed
        ]

    def add_worker(self, worker: int) -> None:
        """Start feeding a new process in this slot, which has no list yet."""
        self._subscribers[worker] = _Subscriber()

    def remove_worker(self, worker: int) -> None:
        """Stop feeding a worker."""
        self._subscribers.pop(worker, None)
        self._drop_acknowledged_removals()

    def next_update(self, worker: int) -> ServerListUpdate | None:
        """Return the update to send to this worker now, which is then in flight; None if there is none."""
        subscriber = self._subscribers.get(worker)
        if subscriber is None or subscriber.in_flight_revision:
            return None
        is_complete = not subscriber.has_complete_list
        if not is_complete and subscriber.acknowledged_revision >= self.revision:
            return None
        if is_complete:
            due = [known.entry for known in self._entries.values() if not known.is_removed]
        else:
            since = subscriber.acknowledged_revision
            due = [known.entry for known in self._entries.values() if known.revision > since]
        subscriber.has_complete_list = True
        subscriber.in_flight_revision = self.revision
        return ServerListUpdate(self.revision, is_complete, self.is_cached, due)

    def acknowledge(self, worker: int, revision: int) -> None:
        """Note that a worker has applied the update in flight; other revisions are ignored."""
        subscriber = self._subscribers.get(worker)
        if subscriber is not None and revision == subscriber.in_flight_revision:
            subscriber.acknowledged_revision = revision
            subscriber.in_flight_revision = 0
            self._drop_acknowledged_removals()

    def _drop_acknowledged_removals(self) -> None:
        """Drop the removals that every worker has; a worker added later gets the complete list without them."""
        acknowledged = min(
            (
                subscriber.acknowledged_revision
                for subscriber in self._subscribers.values()
                if subscriber.has_complete_list
            ),
            default=self.revision,
        )
        self._entries = {
            number: known
            for number, known in self._entries.items()
            if not known.is_removed or known.revision > acknowledged
        }

    @property
    def server_count(self) -> int:
        """Number of servers on the list."""
        return sum(1 for known in self._entries.values() if not known.is_removed)
