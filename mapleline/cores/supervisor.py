"""The supervisor of several workers: listens, watches discovery and restarts workers, but serves no request itself."""

from __future__ import annotations

import mmap
import os
import signal
import socket
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from twisted.internet import error

from ..ingress import BACKLOG, SHUTDOWN_DELAY_S, block_reload_signal, observe_twisted_failures
from ..net.alarm import clock_start_ns
from ..net.discovery import Directory
from ..settings import platform
from ..settings.platform import Config, ConfigError
from ..telemetry import COUNTS, log
from .connection_acceptor import ConnectionAcceptor
from .connection_dispatcher import ConnectionDispatcher
from .counter_collector import CounterCollector
from .customer_table import CustomerTable
from .drain_flags import DrainFlags
from .messages import (
    AcknowledgeServerList,
    ClaimConnection,
    CounterSnapshot,
    HandOverConnection,
    LoadReport,
    RefuseConnection,
    Report,
    SetCounterAddress,
    ShutDown,
    StartWorker,
    WorkerReady,
)
from .open_request_ids import clear_open_request_ids
from .restart_policy import RestartPolicy
from .server_list_publisher import ServerListPublisher
from .shared_memory import total_bytes
from .worker_config import MIN_WORKER_SOCKETS, min_sockets, worker_sockets
from .worker_process import WorkerProcess

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..settings.own import Cores, ProgramSettings
    from .reactor import Reactor

NS_PER_MS = 1_000_000
NS_PER_S = 1e9
MS_PER_S = 1e3
TICK_S = 0.02  # interval of the checks for expired offers, stable workers and a paused listener
KILL_AFTER_S = 60.0  # time after the listener is closed in which workers finish their open requests
EXIT_CONFIGURATION = 2  # exit code: the configuration cannot be used
EXIT_GAVE_UP = 3  # exit code: too many consecutive early exits of workers


def check_config(config: Config, workers: int) -> None:
    """Check that the platform's configuration can be used with this number of workers.

    Raises:
        ConfigError: It cannot; the message begins with the faulty key.
    """
    if config.management:
        raise ConfigError("management: not with several workers, because their supervisor has no management listener")
    if config.accept_fd is not None:
        raise ConfigError(f"{platform.ACCEPT_FD}: not with several workers")
    if worker_sockets(config.sockets, workers) < MIN_WORKER_SOCKETS:
        required_sockets = min_sockets(workers)
        raise ConfigError(f"limits.sockets: expected at least {required_sockets} for {workers} workers")


def _restart_policy(settings: Cores) -> RestartPolicy:
    return RestartPolicy(
        initial_backoff_ns=settings.restart_pause_ms * NS_PER_MS,
        max_backoff_ns=settings.restart_pause_most_ms * NS_PER_MS,
        stable_after_ns=settings.settled_ms * NS_PER_MS,
        max_early_exits=settings.deaths_most,
    )


class Supervisor:
    """Owns the listener, the watch of discovery, the shared memory and the worker processes.

    A worker that exits is restarted with an exponential backoff; see `RestartPolicy`.
    """

    def __init__(
        self, reactor: Reactor, config: Config, raw_config: object, own: ProgramSettings, workers: int
    ) -> None:
        """Create the shared memory and the components.

        Args:
            reactor: Reactor that runs the supervisor.
            config: The platform's configuration.
            raw_config: The same configuration as read from its file, which is sent to the workers.
            own: The program's own settings.
            workers: Number of workers.

        Raises:
            ConfigError: The configuration cannot be used with this number of workers.
        """
        check_config(config, workers)
        self._reactor = reactor
        self._config = config
        self._raw_config = raw_config
        self._log_form = own.log.form
        self._settings = own.cores
        self._worker_count = workers
        self._memory_fd = os.memfd_create("mapleline", os.MFD_CLOEXEC)  # freed when the last process that has it exits
        os.ftruncate(self._memory_fd, total_bytes(workers, own.cores.accounts))
        self._memory = memoryview(mmap.mmap(self._memory_fd, 0))
        self._clock_start_ns = clock_start_ns()
        self._workers: dict[int, WorkerProcess] = {}
        self._restarts = _restart_policy(own.cores)
        self._server_list = ServerListPublisher(reactor, config, DrainFlags(self._memory), self._workers)
        dispatcher = ConnectionDispatcher(own.cores.offer_ms * NS_PER_MS, own.cores.lean)
        self._acceptor = ConnectionAcceptor(reactor, dispatcher, self._workers)
        self._counters = CounterCollector(reactor, self._workers)
        self._is_serving = False
        self._is_shutting_down = False
        self._is_listener_closed = False
        self._exit_code = 0

    # --- start

    def run(self) -> int:
        """Serve until shut down; returns the exit code.

        Raises:
            ConfigError: The address to listen on or the configured server list cannot be used.
        """
        host, port = self._config.listen
        try:
            self._acceptor.listen(host, port, BACKLOG)
        except OSError as err:
            raise ConfigError(f"listen: {err.strerror or err}") from None
        try:
            self._server_list.publish_initial_list()
        except ValueError as err:
            raise ConfigError(f"known: {err}") from None
        self._server_list.start()
        for number in range(self._worker_count):
            self._start_worker(number)
        self._reactor.callWhenRunning(self._start_serving)
        self._reactor.run()
        self._counters.log_exit()
        return self._exit_code

    def _start_serving(self) -> None:
        self._install_signal_handler(signal.SIGHUP, self.reload)
        self._install_signal_handler(signal.SIGTERM, self.shut_down)
        self._install_signal_handler(signal.SIGINT, self.shut_down)
        self._install_signal_handler(signal.SIGUSR1, self._counters.query)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
        self._tick()
        if self._settings.balance_ms:
            self._rebalance()

    def _install_signal_handler(self, signal_number: signal.Signals, handler: Callable[[], None]) -> None:
        signal.signal(signal_number, lambda *_: self._reactor.callFromThread(handler))

    def _start_worker(self, number: int) -> None:
        worker = WorkerProcess(number, self._handle_report, self._handle_exit)
        self._workers[number] = worker
        worker.start(self._reactor, self._memory_fd)
        COUNTS["cores.started"] += 1
        self._server_list.add_worker(worker)
        worker.send(
            StartWorker(
                config=self._raw_config,
                number=number,
                workers=self._worker_count,
                customer_rows=self._settings.accounts,
                log_form=self._log_form,
                clock_start_ns=self._clock_start_ns,
            )
        )
        worker.send(SetCounterAddress(self._config.counter))
        self._server_list.send_update(worker)

    # --- reports of the workers

    def _handle_report(self, worker: WorkerProcess, report: Report, handle: socket.socket | None) -> None:
        if self._workers.get(worker.number) is not worker:  # a replacement has been started
            if handle is not None:
                handle.close()
            return
        match report:
            case LoadReport():
                self._handle_load_report(worker, report)
            case ClaimConnection():
                self._acceptor.handle_claim(worker, report.connection)
            case RefuseConnection():
                self._acceptor.handle_refusal(worker, report.connection)
            case HandOverConnection():
                assert handle is not None
                self._acceptor.handle_handover(worker, handle, report.load)
            case AcknowledgeServerList():
                self._server_list.handle_acknowledgement(worker, report.revision)
            case CounterSnapshot():
                self._counters.handle_snapshot(worker, report)
            case WorkerReady():
                self._handle_ready(worker, report.pid)

    def _handle_load_report(self, worker: WorkerProcess, report: LoadReport) -> None:
        worker.open_requests = report.open_requests
        if report.counters is not None:
            worker.counters = report.counters
        self._acceptor.handle_report(worker, report)

    def _handle_ready(self, worker: WorkerProcess, pid: int) -> None:
        worker.is_ready = True
        self._restarts.record_ready(worker.number, time.monotonic_ns())
        if self._is_shutting_down:
            worker.send(ShutDown())
        self._acceptor.add_worker(worker)
        log("worker ready", worker=worker.number, pid=pid)
        if not self._is_serving and all(other.is_ready for other in self._workers.values()):
            self._is_serving = True
            self._acceptor.start()
            self._log_serving()

    def _log_serving(self) -> None:
        host, port = self._acceptor.address
        log(
            "serving",
            name=self._config.name,
            listen=f"{host}:{port}",
            servers=self._server_list.server_count,
            workers=self._worker_count,
        )

    # --- periodic work

    def _tick(self) -> None:
        self._reactor.callLater(TICK_S, self._tick)
        self._acceptor.revoke_expired_offers()
        self._restarts.reset_stable_workers(time.monotonic_ns())
        self._acceptor.resume_if_possible()

    def _rebalance(self) -> None:
        self._reactor.callLater(self._settings.balance_ms / MS_PER_S, self._rebalance)
        if not self._is_shutting_down:
            self._acceptor.rebalance()

    # --- exits of workers

    def _handle_exit(self, worker: WorkerProcess, reason: Failure) -> None:
        """Release what a worker held that has exited, and restart it unless the ingress is shutting down.

        Released are its open request ids, its attempts in flight and the connections that it had not claimed.
        """
        worker.is_ready = False
        self._server_list.remove_worker(worker)
        lost_requests = clear_open_request_ids(self._memory, worker.number)
        attempts_in_flight = self._clear_attempts_in_flight(worker)
        is_clean = isinstance(reason.value, error.ProcessDone)
        if is_clean and self._is_shutting_down:
            self._acceptor.forget_worker(worker)
            self._stop_if_done()
            return
        self._counters.add_exited(worker)
        COUNTS["cores.died"] += 1
        COUNTS["cores.requests_lost"] += lost_requests
        log(
            "worker died",
            worker=worker.number,
            why=str(reason.value),
            requests_lost=lost_requests,
            attempts_out=attempts_in_flight,
        )
        self._acceptor.remove_worker(worker)
        if self._is_shutting_down:
            self._stop_if_done()
        else:
            self._restart_or_give_up(worker.number)

    def _clear_attempts_in_flight(self, worker: WorkerProcess) -> int:
        """Clear the attempts in flight of a worker that has exited; returns the number that it had."""
        table = CustomerTable(self._memory, self._worker_count, worker.number, self._settings.accounts)
        return table.clear_in_flight()

    def _restart_or_give_up(self, number: int) -> None:
        backoff_ns = self._restarts.record_exit(number, time.monotonic_ns())
        if backoff_ns is not None:
            self._reactor.callLater(backoff_ns / NS_PER_S, self._restart_worker, number)
            return
        early_exits, settled_ms = self._restarts.early_exits, self._settings.settled_ms
        log("giving up", why=f"{early_exits} workers in a row died within {settled_ms} ms")
        self._exit_code = EXIT_GAVE_UP
        self.shut_down()

    def _restart_worker(self, number: int) -> None:
        if not self._is_shutting_down:
            self._start_worker(number)

    # --- signals

    def reload(self) -> None:
        """Reload the configuration.  Only the supervisor checks it, so that either all workers apply it or none."""
        try:
            new_config = platform.read_config(platform.read_file(os.environ["EDGE_CONFIG"]), os.environ)
            Directory(new_config.zone_names, new_config.kind_names).read(new_config.known, cached=True)
        except (ConfigError, ValueError) as err:
            COUNTS["reload.failed"] += 1
            log("reload failed", fault=str(err))
            return
        COUNTS["reload.done"] += 1
        has_discovery_moved = new_config.discovery != self._config.discovery
        self._config.counter = new_config.counter
        self._config.discovery = new_config.discovery
        for worker in self._workers.values():
            worker.send(SetCounterAddress(new_config.counter))
        if has_discovery_moved:
            self._server_list.move(new_config.discovery)
        log(
            "reloaded",
            counter=":".join(map(str, new_config.counter)),
            discovery=":".join(map(str, new_config.discovery)),
        )

    def shut_down(self) -> None:
        """Shut down gracefully.

        The listener stays open for a short delay, because clients still connect during that time.  It is then closed,
        and the workers finish their open requests.
        """
        if self._is_shutting_down:
            return
        self._is_shutting_down = True
        log("told to leave", open=sum(worker.open_requests for worker in self._workers.values()))
        for worker in self._workers.values():
            worker.send(ShutDown())
        self._reactor.callLater(SHUTDOWN_DELAY_S, self._close_listener)

    def _close_listener(self) -> None:
        # This accepts the connections in the kernel's queue.  They are still served: workers stay a little longer.
        self._acceptor.close()
        self._is_listener_closed = True
        self._server_list.stop()
        self._stop_if_done()
        self._reactor.callLater(KILL_AFTER_S, self._kill_workers)

    def _kill_workers(self) -> None:
        for worker in self._workers.values():
            if worker.is_running:
                worker.kill()

    def _stop_if_done(self) -> None:
        if self._is_listener_closed and not any(worker.is_running for worker in self._workers.values()):
            self._acceptor.close_pending()
            if self._reactor.running:
                self._reactor.stop()


def main(own: ProgramSettings, workers: int) -> int:
    """Serve with several workers; returns the exit code."""
    block_reload_signal()
    try:
        path = os.environ.get("EDGE_CONFIG")
        if not path:
            raise ConfigError("EDGE_CONFIG: not set")
        raw_config = platform.read_file(path)
        config = platform.read_config(raw_config, os.environ)
        observe_twisted_failures()
        from twisted.internet import reactor

        return Supervisor(reactor, config, raw_config, own, workers).run()
    except ConfigError as err:
        log("configuration", fault=str(err))
        return EXIT_CONFIGURATION
