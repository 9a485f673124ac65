"""The supervisor's watch of discovery, and the way of the server list to the workers."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..http1 import BufferPool
from ..net.discovery import Directory, Watcher, backoff
from ..policy.interface import News, Server, ServerNews, ServerState
from ..telemetry import COUNTS
from .drain_flags import DrainFlags
from .messages import ServerEntry
from .server_list_feed import ServerListFeed

if TYPE_CHECKING:
    from ..settings.platform import Address, Config
    from .reactor import Reactor
    from .worker_process import WorkerProcess


class ServerListPublisher:
    """Watches discovery, sets the drain flags and sends each worker the updates that it lacks."""

    def __init__(
        self, reactor: Reactor, config: Config, drain_flags: DrainFlags, workers: Mapping[int, WorkerProcess]
    ) -> None:
        """Prepare the watch; `workers`, by number, are kept up to date by the caller."""
        self._reactor = reactor
        self._config = config
        self._drain_flags = drain_flags
        self._workers = workers
        self._feed = ServerListFeed()
        self._directory = Directory(config.zone_names, config.kind_names)
        self._watcher = self._new_watcher(config.discovery)

    def _new_watcher(self, address: Address, is_list_due: bool = False) -> Watcher:
        """A watch of the agent at this address, which begins with the complete list if `is_list_due`."""
        pauses = backoff(self._config.start)
        return Watcher(self._reactor, address, BufferPool(), self._directory, self._publish, pauses, is_list_due)

    @property
    def server_count(self) -> int:
        """Number of servers on the list."""
        return self._feed.server_count

    def publish_known(self) -> None:
        """Publish the list known before the start, from the configuration.

        Raises:
            ValueError: It is not a list in discovery's form.
        """
        self._publish(self._directory.read(self._config.known, cached=True))

    def start(self) -> None:
        """Start to watch discovery."""
        self._watcher.start()

    def stop(self) -> None:
        """Stop watching discovery."""
        self._watcher.stop()

    def move(self, address: Address) -> None:
        """Watch discovery at another address, if it is being watched."""
        if self._watcher.running:
            self._watcher.stop()
            self._watcher = self._new_watcher(address, is_list_due=True)
            self._watcher.start()

    def add_worker(self, worker: WorkerProcess) -> None:
        """Start to send updates to a new process, once it is sent its first."""
        self._feed.add_worker(worker.number)

    def remove_worker(self, worker: WorkerProcess) -> None:
        """Note that a worker has exited."""
        self._feed.remove_worker(worker.number)

    def handle_acknowledgement(self, worker: WorkerProcess, revision: int) -> None:
        """Note that a worker has applied an update; it is sent the next if there is one."""
        self._feed.acknowledge(worker.number, revision)
        self.send_update(worker)

    def send_update(self, worker: WorkerProcess) -> None:
        """Send a worker what it lacks, if no update to it is in flight."""
        update = self._feed.next_update(worker.number)
        if update is not None:
            worker.send(update)

    def _publish(self, news: ServerNews) -> None:
        """Set the drain flags first: from here on no new request goes to a server that drains or is gone."""
        COUNTS["discovery.lines"] += len(news.servers)
        entries = [self._entry(server) for server in news.servers]
        is_cached = news.news == News.CACHED
        is_complete = is_cached or news.news == News.FULL
        for change in self._feed.apply(entries, is_complete, is_cached):
            self._drain_flags.set(change.server, change.is_draining)
        for worker in list(self._workers.values()):
            self.send_update(worker)

    def _entry(self, server: Server) -> ServerEntry:
        host, port = "", 0
        if server.state != ServerState.GONE:
            host, port = self._directory.places[server.server].address
        return ServerEntry(
            number=server.server,
            life=server.state,
            started_ns=server.started_ns,
            weight=server.weight,
            kind=server.kind,
            zone=server.zone,
            cell=server.cell,
            host=host,
            port=port,
        )
