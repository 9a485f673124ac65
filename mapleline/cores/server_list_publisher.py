"""The supervisor's watch of discovery, and the distribution of the server list to the workers."""

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
    """Watches discovery, sets the drain flags and sends each worker the updates that it has not been sent."""

    def __init__(
        self, reactor: Reactor, config: Config, drain_flags: DrainFlags, workers: Mapping[int, WorkerProcess]
    ) -> None:
        """Prepare the watch; `workers` is a mapping by number that the caller keeps up to date."""
        self._reactor = reactor
        self._config = config
        self._drain_flags = drain_flags
        self._workers = workers
        self._feed = ServerListFeed()
        self._directory = Directory(config.zone_names, config.kind_names)
        self._watcher = self._new_watcher(config.discovery)

    def _new_watcher(self, address: Address, needs_complete_list: bool = False) -> Watcher:
        """Return a watcher of the agent at this address, which starts with the complete list if that is needed."""
        retry_delays = backoff(self._config.start)
        return Watcher(
            self._reactor, address, BufferPool(), self._directory, self._publish, retry_delays, needs_complete_list
        )

    @property
    def server_count(self) -> int:
        """Number of servers on the list."""
        return self._feed.server_count

    def publish_initial_list(self) -> None:
        """Publish the server list from the configuration, before discovery is watched.

        Raises:
            ValueError: The list does not have the format of the discovery service.
        """
        self._publish(self._directory.read(self._config.known, cached=True))

    def start(self) -> None:
        """Start to watch discovery."""
        self._watcher.start()

    def stop(self) -> None:
        """Stop watching discovery."""
        self._watcher.stop()

    def move(self, address: Address) -> None:
        """Watch discovery at another address, if it is being watched at present."""
        if self._watcher.running:
            self._watcher.stop()
            self._watcher = self._new_watcher(address, needs_complete_list=True)
            self._watcher.start()

    def add_worker(self, worker: WorkerProcess) -> None:
        """Register a new process; its first update is sent by `send_update`."""
        self._feed.add_worker(worker.number)

    def remove_worker(self, worker: WorkerProcess) -> None:
        """Stop sending updates to a worker that has exited."""
        self._feed.remove_worker(worker.number)

    def handle_acknowledgement(self, worker: WorkerProcess, revision: int) -> None:
        """Record that a worker has applied an update, and send it the next one if there is one."""
        self._feed.acknowledge(worker.number, revision)
        self.send_update(worker)

    def send_update(self, worker: WorkerProcess) -> None:
        """Send a worker the changes that it has not been sent, if no update to it is in flight."""
        update = self._feed.next_update(worker.number)
        if update is not None:
            worker.send(update)

    def _publish(self, news: ServerNews) -> None:
        """Set the drain flags, then send the updates.

        From the moment the flags are set, no worker sends a new request to a server that is draining or removed, even
        if it has not applied the update yet.
        """
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
            host, port = self._directory.processes[server.server].address
        return ServerEntry(
            number=server.server,
            state=server.state,
            started_ns=server.started_ns,
            weight=server.weight,
            kind=server.kind,
            zone=server.zone,
            cell=server.cell,
            host=host,
            port=port,
        )
