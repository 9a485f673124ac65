"""The ingress: connects its components and runs until it is shut down."""

from __future__ import annotations

import gc
import os
import signal
import socket
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from twisted.internet.tcp import Port
from twisted.logger import globalLogPublisher

from .engine import Engine
from .http1 import MAX_BUFFERED_BODY_BYTES, BufferPool
from .http1.translator import Translator
from .lifecycle import Lifecycle, Phase
from .net.alarm import ReactorAlarm, unix_clock
from .net.clients import ClientListener, ClientListenerPort, inherited_port
from .net.counter import CONNECTIONS, CounterDriver
from .net.discovery import Directory, Watcher, backoff
from .net.management import RESERVED_DESCRIPTORS as MANAGEMENT_DESCRIPTORS
from .net.management import ManagementListener
from .net.upstream import UpstreamPool
from .policy import interface
from .policy.brain import Brain
from .settings import platform as configuration
from .settings.platform import ACCEPT_FD, Address, Config, ConfigError
from .takeover.descriptors import DescriptorUse, descriptor_claim
from .takeover.slots import Slots
from .telemetry import COUNTS, log, log_counters

if TYPE_CHECKING:
    from .net.fleet_member import FleetMember
    from .settings.own import ProgramSettings

SHUTDOWN_DELAY_S = 0.75  # after SIGTERM, clients still connect and are served
PARTIAL_REQUEST_TIMEOUT_S = 2.0  # after that delay, for requests partly received
SHUTDOWN_POLL_S = 0.05  # between checks whether everything is answered
BACKLOG = 512
SPARE_DESCRIPTORS = 40  # standard streams, epoll, the listener, discovery, connections that are closing
CLIENT_DESCRIPTOR_SHARE = 0.55  # clients keep idle connections, attempts need one connection each
LISTEN_DELAY_S = 0.02  # long enough to be a real wait on a slow core too; see `Ingress.run`
TAKEOVER_LIST_TIMEOUT_S = 1.5  # a process that takes over waits this long for the list from discovery
SHARED_SHUTDOWN_DELAY_S = 0.25  # if another process accepts new connections; idle ones may stay open
CLAIM_INTERVAL_S = 0.1  # between checks of the descriptors that other processes of this ingress claim
#: The settings that a reload does not change: key in the file and field of `Config`.
KEYS_FIXED_UNTIL_RESTART = {
    "name": "name",
    "listen": "listen",
    "management": "management",
    "limits.sockets": "sockets",
    "settings": "start",
}
BASE_MEMORY_BYTES = 28e6  # the program's own without any body: 24 MB, and a reserve
BODY_MEMORY_SHARE = 1 / 6  # of the rest, for bodies that are buffered; copies of them take a third and more
MIN_BODY_MEMORY_BYTES = 1e6
SINGLE_BODY_SHARE = 1 / 8  # of the memory for bodies; a larger request body is streamed
GC_THRESHOLD_OBJECTS = 20_000  # a request leaves no cycles, so collections seldom find anything


class Ingress:
    """One ingress process: its components, start, reload and shutdown.

    Attributes:
        reactor: the event loop.
        config: the platform's configuration.
        own_settings: the program's own settings (HCL), if there are any.
        settings_file: the path of the own settings, for a reload.
        fleet_member: this ingress's part in the fleet's budgets; None if they are off.
        lifecycle: whether it is ready, draining or shutting down.
        buffers: the pool of read buffers, with the memory limit of bodies.
        engine: decides on requests.
        own_descriptors: the descriptors that are not for clients or servers.
        upstreams: the connections to agenda servers.
        counter: the client of the quota counter.
        client_listener: the connections of clients.
        start_error: why the start failed, if it did.
        management: the listener for operators.
        directory: the server list.
        watcher: the watch of discovery.
    """

    def __init__(
        self,
        reactor: Any,
        config: Config,
        brain: Brain | None = None,
        clock_start_ns: int | None = None,
        counter_connections: int = CONNECTIONS,
        own: ProgramSettings | None = None,
        settings_file: str | None = None,
    ) -> None:
        """Build the components.

        Args:
            reactor: the event loop.
            config: the platform's configuration.
            brain: the decision module; None for the usual one.
            clock_start_ns: see `unix_clock`.
            counter_connections: to the quota counter.
            own: the program's own settings.
            settings_file: the path of the own settings.
        """
        self.reactor, self.config = reactor, config
        self.own_settings = own
        self.settings_file = settings_file
        self.fleet_member: FleetMember | None = None
        start = config.start
        clock = unix_clock(clock_start_ns)
        self.lifecycle = Lifecycle(is_socket_shared=config.accept_fd is not None)
        if self.lifecycle.is_socket_shared:
            counter_connections //= 2  # the other process uses as many
        memory = config.memory // (2 if self.lifecycle.is_socket_shared else 1)  # the other process needs as much
        body_memory_bytes = int(max(MIN_BODY_MEMORY_BYTES, (memory - BASE_MEMORY_BYTES) * BODY_MEMORY_SHARE))
        buffers = self.buffers = BufferPool(limit_bytes=body_memory_bytes)
        self.engine = Engine(brain or Brain(start), clock)
        management_descriptors = MANAGEMENT_DESCRIPTORS if config.management else 0
        self.own_descriptors = SPARE_DESCRIPTORS + management_descriptors + 2 * counter_connections
        client_descriptors, server_descriptors = self._divide_descriptors(config.sockets)
        self.upstreams = UpstreamPool(
            reactor,
            self.engine,
            clock,
            buffers,
            config.dial_timeout_s,
            config.conn_idle_s,
            server_descriptors,
        )
        self.counter = CounterDriver(
            reactor, self.engine, clock, buffers, config.counter, config.dial_timeout_s, counter_connections
        )
        alarm = ReactorAlarm(reactor, clock, self.engine.handle_alarm)
        self.engine.connect(self.upstreams, self.counter, alarm)
        translator = Translator(start, config.class_names, config.plan_names)
        self.client_listener = ClientListener(
            reactor,
            self.engine,
            translator,
            buffers,
            client_descriptors,
            config.open_cap,
            start.max_retry_after_ns,
            self.lifecycle,
            max(MAX_BUFFERED_BODY_BYTES, int(body_memory_bytes * SINGLE_BODY_SHARE)),
        )
        self.start_error: ConfigError | None = None
        self.management = ManagementListener(reactor, self.lifecycle, buffers, self._remaining_counts)
        self.directory = Directory(config.zone_names, config.kind_names)
        self.watcher = self._new_watcher(config.discovery, needs_full_list=self.lifecycle.is_socket_shared)

    def _new_watcher(self, address: Address, needs_full_list: bool = False) -> Watcher:
        pauses = backoff(self.config.start)
        return Watcher(
            self.reactor, address, self.buffers, self.directory, self.apply_server_list, pauses, needs_full_list
        )

    def _divide_descriptors(self, descriptors: int) -> tuple[int, int]:
        """Divide a number of descriptors; returns those for clients and those for agenda servers."""
        available = max(0, descriptors - self.own_descriptors)
        client_descriptors = int(available * CLIENT_DESCRIPTOR_SHARE)
        return client_descriptors, available - client_descriptors

    def apply_server_list(self, update: interface.ServerNews) -> None:
        """Apply a list of servers or changes to it.

        The addresses go first, because the decision module may send as soon as it has the update.
        """
        COUNTS["discovery.lines"] += len(update.servers)
        self.upstreams.update(self.directory.processes)
        for server in update.servers:
            if server.state == interface.ServerState.DRAINING:  # it gets no new requests
                self.upstreams.close_idle(server.server)
        self.engine.handle_server_update(update)
        # An empty list from before the start does not make the process ready.
        if update.news != interface.News.CACHED:
            self._mark_servers_known()
        elif update.servers:
            # A process that takes over from another first waits for the current list.
            self.reactor.callLater(
                TAKEOVER_LIST_TIMEOUT_S, self._mark_servers_known
            ) if self.lifecycle.is_socket_shared else self._mark_servers_known()

    def _mark_servers_known(self) -> None:
        self.lifecycle.mark_servers_known()
        self.client_listener.update_accepting()

    def run(self) -> None:
        """Serve until the process is shut down.

        Raises:
            ConfigError: if an address cannot be used.
        """
        self.apply_server_list(self._read_known_servers(self.directory, self.config))
        self.watcher.start()
        own = self.own_settings
        if own is not None and (own.budgets.enabled or own.handoff.enabled):  # both are off on the platform
            from .net.fleet import join_fleet

            self.fleet_member = join_fleet(self, own)
        self.reactor.callWhenRunning(self._install_signal_handlers)
        freeze_gc()
        # A client that connects during the start would wait for the rest of it while its deadline runs.  So the process
        # listens only after the reactor's first turn.
        self.reactor.callWhenRunning(lambda: self.reactor.callLater(LISTEN_DELAY_S, self._start_listening))
        self.reactor.run()
        if self.start_error is not None:
            raise self.start_error
        log_counters("exit")

    def _start_listening(self) -> None:
        """Listen on all addresses, and log them."""
        if self.lifecycle.phase is Phase.SHUTTING_DOWN:
            return
        try:
            if self.lifecycle.is_socket_shared:
                self._inherit_socket()
            else:
                self.client_listener.port = self._listen(
                    "listen", self.config.listen, self.client_listener, ClientListenerPort
                )
            if self.config.management:
                self.management.port = self._listen("management", self.config.management, self.management)
        except ConfigError as fault:
            self.start_error = fault
            return self.reactor.stop()
        ports = {"listen": self.client_listener.port, "management": self.management.port}
        bound = {key: port.getHost() for key, port in ports.items() if port is not None}
        addresses = {key: f"{at.host}:{at.port}" for key, at in bound.items()}
        log("serving", name=self.config.name, servers=len(self.directory.processes), **addresses)

    def _listen(self, key: str, address: Address, factory: Any, port_class: type[Port] = Port) -> Port:
        host, number = address
        port = port_class(number, factory, BACKLOG, host, self.reactor)
        try:
            port.startListening()
        except Exception as err:
            raise ConfigError(f"{key}: {err}") from None
        return port

    def _inherit_socket(self) -> None:
        """Listen on the inherited socket, and share the descriptors with other processes that do."""
        fd = self.config.accept_fd
        try:
            with socket.socket(fileno=os.dup(fd)) as listener:
                if listener.type != socket.SOCK_STREAM or listener.family != socket.AF_INET:
                    raise OSError("expected a stream socket over IPv4")
                if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                    raise OSError("expected a listening socket")
            if self.config.sockets // 2 <= self.own_descriptors:
                raise ConfigError(f"limits.sockets: expected more than {2 * self.own_descriptors} for two processes")
            os.set_blocking(fd, False)  # the other process may accept the connection first: accept must not block
            self.client_listener.port = inherited_port(self.reactor, fd, self.client_listener)
        except OSError as err:
            raise ConfigError(f"{ACCEPT_FD}: {err.strerror or err}") from None
        os.close(fd)  # the port has a duplicate; this descriptor would keep the socket open after it closes
        self.client_listener.update_accepting()
        host, port = self.client_listener.port.getHost().host, self.client_listener.port.getHost().port
        self.slots: Slots | None = None
        try:
            self.slots = Slots(os.environ.get("TMPDIR") or "/tmp", f"{host}-{port}")
        except OSError as err:
            COUNTS["takeover.no_slot"] += 1
            log("no slot", why=str(err))
        self._claim_descriptors()

    def _claim_descriptors(self) -> None:
        """Claim the descriptors that other processes of this ingress do not use; repeated at intervals."""
        self.reactor.callLater(CLAIM_INTERVAL_S, self._claim_descriptors)
        total, reserve = self.config.sockets, self.own_descriptors
        claimed = total // 2  # without knowledge of the other processes
        if self.slots is not None:
            in_use = self.own_descriptors + len(self.client_listener.streams) + self.upstreams.connection_count
            others = [total - reserve if claim is None else claim for claim in self.slots.others()]
            is_leaving = self.lifecycle.phase is Phase.SHUTTING_DOWN
            use = DescriptorUse(total, reserve, in_use, self.slots.is_oldest, is_leaving)
            claimed = descriptor_claim(use, others)
            try:
                self.slots.publish(claimed)
            except OSError:
                COUNTS["takeover.not_published"] += 1
            COUNTS["takeover.beside"] += bool(others)
        client_descriptors, server_descriptors = self._divide_descriptors(claimed)
        if (client_descriptors, server_descriptors) != (
            self.client_listener.max_connections,
            self.upstreams.max_connections,
        ):
            self.client_listener.resize(client_descriptors)
            self.upstreams.resize(server_descriptors)

    def _remaining_counts(self) -> dict[str, int]:
        """Return the counts that an operator watches during a drain; they fall to 0."""
        return {"connections": len(self.client_listener.streams), "open_requests": len(self.engine.requests)}

    @staticmethod
    def _read_known_servers(directory: Directory, config: Config) -> interface.ServerNews:
        try:
            return directory.read(config.known, cached=True)
        except ValueError as err:
            raise ConfigError(f"known: {err}") from None

    def _install_signal_handlers(self) -> None:
        """Install the handlers; before the log says that we serve, because an unhandled SIGUSR1 ends the process."""
        handlers = {
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
            signal.SIGUSR1: lambda: log_counters("asked"),
        }
        for number, handler in handlers.items():
            signal.signal(number, lambda *_, handler=handler: self.reactor.callFromThread(handler))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # a signal received since the start is handled now

    def reload(self) -> None:
        """Read the configuration again: the addresses of counter and discovery change, the rest needs a restart.

        A file with which the program would not start changes nothing.  With budgets on, the own settings are read
        again as well, for the clock's offset.
        """
        if self.fleet_member is not None and self.settings_file is not None:
            self.fleet_member.reload_settings(self.settings_file)
        try:
            new = configuration.load()
            self._read_known_servers(Directory(new.zone_names, new.kind_names), new)
        except ConfigError as err:
            COUNTS["reload.failed"] += 1
            return log("reload failed", fault=str(err))
        COUNTS["reload.done"] += 1
        old = self.config
        self.config = replace(old, counter=new.counter, discovery=new.discovery)
        if new.counter != old.counter:
            self.counter.move(new.counter)
            if self.fleet_member is not None:
                self.fleet_member.counter.address = new.counter
        if new.discovery != old.discovery and self.watcher.running:
            self.watcher.stop()
            self.watcher = self._new_watcher(new.discovery, needs_full_list=True)
            self.watcher.start()
        new.start.seed = old.start.seed  # it differs in every file, and is used at a start only
        ignored_keys = [
            key for key, field in KEYS_FIXED_UNTIL_RESTART.items() if getattr(new, field) != getattr(old, field)
        ]
        log(
            "reloaded",
            counter=":".join(map(str, new.counter)),
            discovery=":".join(map(str, new.discovery)),
            until_restart=ignored_keys,
        )

    def shut_down(self, delay_s: float = SHUTDOWN_DELAY_S) -> None:
        """Serve for `delay_s` more, then accept nothing new, finish the open requests and stop.

        On a shared socket the process stops accepting now, and the delay is `SHARED_SHUTDOWN_DELAY_S`.
        """
        if not self.lifecycle.begin_shutdown(self.reactor.seconds()):
            return
        log("told to leave", open=len(self.engine.requests))
        if self.lifecycle.is_socket_shared:
            self.client_listener.stop_accepting()  # now: the other process accepts the connections that wait
            delay_s = SHARED_SHUTDOWN_DELAY_S
        self.reactor.callLater(delay_s, self._finish)

    def _finish(self) -> None:
        self.client_listener.begin_shutdown()
        self._stop_when_done(self.reactor.seconds() + PARTIAL_REQUEST_TIMEOUT_S)

    def _stop_when_done(self, partial_until_s: float) -> None:
        if self.engine.requests or self.client_listener.has_unfinished(self.reactor.seconds() < partial_until_s):
            self.reactor.callLater(SHUTDOWN_POLL_S, self._stop_when_done, partial_until_s)
        else:
            self.watcher.stop()
            self._stop()

    def _stop(self) -> None:
        self.reactor.stop()


def freeze_gc() -> None:
    """Exclude the objects that exist after the start from garbage collection, and collect less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS, 20, 20)


def observe_twisted_failures() -> None:
    """Count the exceptions that Twisted catches, which are bugs of this program, and log the first 20."""

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            COUNTS["twisted.caught"] += 1
            if COUNTS["twisted.caught"] <= 20:
                log("caught", why=failure.getErrorMessage(), trace=failure.getTraceback()[-2000:])

    globalLogPublisher.addObserver(observe)


def block_reload_signal() -> None:
    """Block SIGHUP until its handler is installed: until then it would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def main(own: ProgramSettings | None = None, settings_file: str | None = None) -> int:
    """Read `EDGE_CONFIG` and serve in one process.

    Args:
        own: the program's own settings (HCL).
        settings_file: their path.

    Returns:
        The exit code: 2 if the configuration is wrong.
    """
    block_reload_signal()
    try:
        config = configuration.load()
        observe_twisted_failures()
        from .net.reactor import install

        Ingress(install(), config, own=own, settings_file=settings_file).run()
    except ConfigError as err:
        log("configuration", fault=str(err))
        return 2
    return 0
