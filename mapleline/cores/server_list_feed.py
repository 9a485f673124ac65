"""The supervisor's server list and the updates of it for each worker.

An update has the newest state of each server that changed since the worker's last acknowledgement.  A worker has one
update in flight at a time.  Changes during that time are merged, so that a stalled worker uses no memory and gets all
of them in one update when it resumes.  Removals are kept until every worker has acknowledged them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from ..policy.interface import ServerState
from .messages import ServerEntry, ServerListUpdate


@dataclass(slots=True, frozen=True)
class DrainChange:
    """The new drain flag of a server, which the supervisor sets before it sends the update."""

    server: int
    is_draining: bool


@dataclass(slots=True, frozen=True)
class _VersionedEntry:
    """The newest entry of a server and the revision in which it changed."""

    revision: int
    entry: ServerEntry

    @property
    def is_removed(self) -> bool:
        return self.entry.state == ServerState.GONE


@dataclass(slots=True)
class _Subscriber:
    """The updates sent to one worker and acknowledged by it."""

    acknowledged_revision: int = 0
    in_flight_revision: int = 0  #: 0 if no update is in flight
    has_complete_list: bool = False  #: whether it has been sent the complete list


class ServerListFeed:
    """Keeps the server list and merges its updates for each worker.

    The feed numbers revisions itself, because the revisions of the discovery service may be reset.

    Attributes:
        revision: Number of applied updates.
        is_cached: Whether the list is still the one from the configuration.
    """

    def __init__(self) -> None:
        """Create the feed with an empty list and without workers."""
        self.revision = 0
        self.is_cached = True
        self._entries: dict[int, _VersionedEntry] = {}
        self._subscribers: dict[int, _Subscriber] = {}

    def apply(self, entries: Sequence[ServerEntry], is_complete: bool, is_cached: bool = False) -> list[DrainChange]:
        """Apply an update to the list.

        Args:
            entries: New and changed servers.
            is_complete: Whether servers that are missing from `entries` are removed.
            is_cached: Whether the update is the list from the configuration.

        Returns:
            The drain flag of each server in `entries` and of each removed server.
        """
        self.revision += 1
        self.is_cached = is_cached
        changed = [*entries, *(self._removals(entries) if is_complete else ())]
        for entry in changed:
            self._entries[entry.number] = _VersionedEntry(self.revision, entry)
        return [DrainChange(entry.number, entry.state != ServerState.READY) for entry in changed]

    def _removals(self, entries: Sequence[ServerEntry]) -> list[ServerEntry]:
        """Return a removal for each known server that is missing from a complete list."""
        listed = {entry.number for entry in entries}
        return [
            replace(known.entry, state=ServerState.GONE)
            for number, known in self._entries.items()
            if number not in listed and not known.is_removed
        ]

    def add_worker(self, worker: int) -> None:
        """Add a worker process, new in this slot, which has no list yet."""
        self._subscribers[worker] = _Subscriber()

    def remove_worker(self, worker: int) -> None:
        """Remove a worker that has exited."""
        self._subscribers.pop(worker, None)
        self._drop_acknowledged_removals()

    def next_update(self, worker: int) -> ServerListUpdate | None:
        """Return the update to send to this worker now, which is then in flight, or None if there is none."""
        subscriber = self._subscribers.get(worker)
        if subscriber is None or subscriber.in_flight_revision:
            return None
        is_complete = not subscriber.has_complete_list
        if not is_complete and subscriber.acknowledged_revision >= self.revision:
            return None
        if is_complete:
            servers = [known.entry for known in self._entries.values() if not known.is_removed]
        else:
            since = subscriber.acknowledged_revision
            servers = [known.entry for known in self._entries.values() if known.revision > since]
        subscriber.has_complete_list = True
        subscriber.in_flight_revision = self.revision
        return ServerListUpdate(self.revision, is_complete, self.is_cached, servers)

    def acknowledge(self, worker: int, revision: int) -> None:
        """Record that a worker has applied the update in flight; other revisions are ignored."""
        subscriber = self._subscribers.get(worker)
        if subscriber is not None and revision == subscriber.in_flight_revision:
            subscriber.acknowledged_revision = revision
            subscriber.in_flight_revision = 0
            self._drop_acknowledged_removals()

    def _drop_acknowledged_removals(self) -> None:
        """Drop removals that every worker has applied; a worker added later gets the complete list without them."""
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
