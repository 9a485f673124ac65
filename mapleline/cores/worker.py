"""One worker: an ingress that gets its connections, server list and commands from its supervisor.

The supervisor starts this module with the channel and the shared memory on fixed descriptors.  It cannot be run
otherwise.
"""

from __future__ import annotations

import mmap
import os
import signal
import socket
import sys
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.protocol import Factory

from ..ingress import SHUTDOWN_DELAY_S, Ingress, freeze_gc, observe_twisted_failures
from ..lifecycle import Phase
from ..net.reactor import install
from ..net.upstream import ServerProcess
from ..policy import interface
from ..policy.brain import Brain
from ..settings.platform import read_config
from ..telemetry import COUNTS, configure_log, log
from .channel import CHANNEL_FD, Channel
from .customer_table import CustomerTable
from .drain_flags import DrainFlags
from .messages import (
    NO_QUERY,
    AcknowledgeServerList,
    ClaimConnection,
    ClaimReply,
    Command,
    CounterSnapshot,
    HandOverConnection,
    LoadReport,
    OfferConnection,
    QueryCounters,
    RefuseConnection,
    RequestHandover,
    ServerEntry,
    ServerListUpdate,
    SetCounterAddress,
    ShutDown,
    StartWorker,
    WorkerReady,
    decode_command,
)
from .open_request_ids import OpenRequestIds
from .peer_usage import PeerUsage
from .shared_memory import SHARED_MEMORY_FD
from .worker_config import divide_config, worker_counter_connections

if TYPE_CHECKING:
    from types import FrameType

    from ..net.discovery import Watcher
    from ..settings.platform import Address
    from .reactor import Reactor

REPORT_INTERVAL_S = 0.1  # interval of the load reports to the supervisor
REPORTS_PER_COUNTERS = 10  # one report in this many has the counters, so that a crash loses about 1 s of counts
# Workers serve this much longer than the listener is open: the connections that it accepted last are offered, claimed
# and granted by then.
EXTRA_SHUTDOWN_DELAY_S = 0.15


class NullWatcher:
    """Replaces an ingress's watcher of discovery, because the supervisor watches discovery for its workers."""

    running = False

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


@dataclass(slots=True, frozen=True)
class OfferedConnection:
    """A connection that the worker has claimed and for which it waits for the supervisor's reply."""

    handle: socket.socket
    has_had_request: bool


class Worker(Ingress):
    """An ingress without its own listener and watch of discovery; the supervisor provides both."""

    def __init__(self, reactor: Reactor, start: StartWorker, memory: memoryview, channel: Channel[Command]) -> None:
        """Build the ingress from the first message of the supervisor."""
        config = read_config(start.config, os.environ)
        divided = divide_config(config, start.workers, start.number)
        brain = Brain(divided.start)
        table = CustomerTable(memory, start.workers, start.number, start.customer_rows)
        brain.peers = PeerUsage(table)  # type: ignore[assignment]  # the decision module names no type for it
        # Only these two limits are divided in `config`: the translator checks requests against the undivided settings.
        config.sockets = divided.sockets
        config.open_cap = divided.open_cap
        connections = worker_counter_connections(start.workers)
        super().__init__(reactor, config, brain, start.clock_start_ns, connections)
        ids = OpenRequestIds(memory, start.workers, start.number)
        self.client_listener.request_ids = ids
        self.upstreams.is_vetoed = DrainFlags(memory).is_draining
        self._channel = channel
        self._offered: dict[int, OfferedConnection] = {}
        self._reports_since_counters = 0  # reports since the last one with the counters
        self._is_full = False
        self._has_stopped = False

    def _new_watcher(self, address: Address, needs_full_list: bool = False) -> Watcher:
        return NullWatcher()  # type: ignore[return-value]  # Ingress declares `Watcher`, but uses only these members

    def report_ready(self) -> None:
        """Report to the supervisor that this worker is ready, and start the periodic reports."""
        self._channel.send(WorkerReady(os.getpid()))
        self._send_report()

    # --- commands of the supervisor

    def handle_command(self, command: Command, handle: socket.socket | None) -> None:
        """Carry out a command; `handle` is the socket that came with it, or None."""
        match command:
            case OfferConnection():
                assert handle is not None
                self._handle_offer(command, handle)
            case ClaimReply():
                self._handle_claim_reply(command)
            case ServerListUpdate():
                self._handle_server_list(command)
            case RequestHandover():
                self._handle_handover_request(command)
            case SetCounterAddress():
                self.counter.move(command.address)
            case QueryCounters():
                self._channel.send(CounterSnapshot(dict(COUNTS), command.query))
            case ShutDown():
                self.shut_down(SHUTDOWN_DELAY_S + EXTRA_SHUTDOWN_DELAY_S)

    def _has_capacity(self) -> bool:
        """Return whether it can take a connection: it is below its limit, or it can close an idle connection."""
        streams = self.client_listener.streams
        return len(streams) < self.client_listener.max_connections or any(stream.is_idle for stream in streams)

    def _handle_offer(self, offer: OfferConnection, handle: socket.socket) -> None:
        if not self._has_capacity():
            handle.close()
            self._is_full = True
            self._channel.send(RefuseConnection(offer.connection))
            return
        self._offered[offer.connection] = OfferedConnection(handle, offer.has_had_request)
        self._channel.send(ClaimConnection(offer.connection))

    def _handle_claim_reply(self, reply: ClaimReply) -> None:
        offered = self._offered.pop(reply.connection)
        if reply.is_granted:
            self.client_listener.adopt(offered.handle, offered.has_had_request)
        offered.handle.close()  # the client listener has duplicated it, or the claim was denied

    def _handle_server_list(self, update: ServerListUpdate) -> None:
        if update.is_complete:
            self.directory.processes = {}
        servers = [self._apply_server(entry) for entry in update.servers]
        self.apply_server_list(interface.ServerNews(_kind_of_update(update), servers))
        self._channel.send(AcknowledgeServerList(update.revision))

    def _apply_server(self, entry: ServerEntry) -> interface.Server:
        """Update the server's address; returns the entry in the form of the decision module."""
        if entry.state == interface.ServerState.GONE:
            self.directory.processes.pop(entry.number, None)
        else:
            self.directory.processes[entry.number] = ServerProcess((entry.host, entry.port), entry.started_ns)
        return interface.Server(
            entry.number, entry.state, entry.started_ns, entry.weight, entry.kind, entry.zone, entry.cell
        )

    def _handle_handover_request(self, request: RequestHandover) -> None:
        if self.lifecycle.phase is not Phase.SHUTTING_DOWN:
            self.client_listener.hand_over(request.target_load, self._hand_over)

    def _hand_over(self, handle: socket.socket, load: float) -> None:
        self._channel.send(HandOverConnection(load), handle)
        handle.close()  # the channel has its own copy

    # --- reports to the supervisor

    def _send_report(self) -> None:
        self.reactor.callLater(REPORT_INTERVAL_S, self._send_report)
        streams = self.client_listener.streams
        load = sum(stream.recent_requests for stream in streams)
        self.client_listener.decay_loads()
        if self._is_full and self._has_capacity():
            self._is_full = False
        self._reports_since_counters = (self._reports_since_counters + 1) % REPORTS_PER_COUNTERS
        report = LoadReport(
            released=COUNTS["client.connected"] - len(streams),
            load=load,
            is_full=self._is_full,
            open_requests=len(self.engine.requests),
            counters=None if self._reports_since_counters else dict(COUNTS),
        )
        self._channel.send(report)

    # --- shutdown

    def _finish(self) -> None:
        for offered in self._offered.values():
            offered.handle.close()
        self._offered.clear()
        super()._finish()

    def _stop(self) -> None:
        """Send the last counters before the process ends."""
        self._has_stopped = True
        if not self._channel.is_connected:
            self.reactor.stop()
            return
        self._channel.send(CounterSnapshot(dict(COUNTS), NO_QUERY))
        self._channel.close()

    def handle_supervisor_exit(self) -> None:
        """Finish the open requests and stop, because the supervisor has exited and sends no new connections."""
        if self._has_stopped:
            self.reactor.stop()
        elif self.lifecycle.begin_shutdown(self.reactor.seconds()):
            log("supervisor gone", open=len(self.engine.requests))
            self._finish()


def _kind_of_update(update: ServerListUpdate) -> interface.News:
    if update.is_cached:
        return interface.News.CACHED
    return interface.News.FULL if update.is_complete else interface.News.CHANGES


class WorkerProgram:
    """The process of a worker: the channel, and the worker once the supervisor's first message has arrived."""

    def __init__(self, reactor: Reactor, memory: memoryview) -> None:
        """Create the channel, which `run` connects."""
        self._reactor = reactor
        self._memory = memory
        self._worker: Worker | None = None
        self._channel: Channel[Command] = Channel(decode_command, self._handle_command, self._handle_disconnect)

    def run(self) -> None:
        """Run until the worker has shut down."""
        channel_socket = socket.socket(fileno=CHANNEL_FD)
        channel_socket.setblocking(False)
        factory = Factory.forProtocol(lambda: self._channel)
        factory.noisy = False
        self._reactor.callWhenRunning(lambda: signal.signal(signal.SIGTERM, self._handle_sigterm))
        self._reactor.adoptStreamConnection(channel_socket.fileno(), socket.AF_UNIX, factory)
        channel_socket.close()
        self._reactor.run()

    def _handle_command(self, command: Command, handle: socket.socket | None) -> None:
        if self._worker is not None:
            self._worker.handle_command(command, handle)
        elif isinstance(command, StartWorker):
            configure_log(command.log_form, worker=command.number)
            self._worker = Worker(self._reactor, command, self._memory, self._channel)
            freeze_gc()
            self._worker.report_ready()

    def _handle_disconnect(self) -> None:
        if self._worker is not None:
            self._worker.handle_supervisor_exit()
        elif self._reactor.running:
            self._reactor.stop()

    def _handle_sigterm(self, number: int, frame: FrameType | None) -> None:
        self._reactor.callFromThread(self._shut_down)

    def _shut_down(self) -> None:
        if self._worker is not None:
            self._worker.shut_down()
        else:
            self._reactor.stop()


def main() -> int:
    """Run one worker; returns the exit code."""
    # A terminal sends these signals to the whole process group; only the supervisor handles them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    observe_twisted_failures()
    reactor = install()
    memory = memoryview(mmap.mmap(SHARED_MEMORY_FD, 0))
    WorkerProgram(reactor, memory).run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
