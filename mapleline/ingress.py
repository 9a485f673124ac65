"""The real ingress: joins the parts and runs until it is told to go."""

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
from .policy import interface as i
from .policy.brain import Brain
from .settings import platform as configuration
from .settings.platform import ACCEPT_FD, Address, Config, ConfigError
from .takeover.descriptors import DescriptorUse, descriptor_claim
from .takeover.slots import Slots
from .telemetry import COUNTS, log, log_counters

if TYPE_CHECKING:
    from .net.fleet_member import FleetMember
    from .settings.own import Own

SHUTDOWN_DELAY_S = 0.75  # after SIGTERM clients still come for a while, and what comes is served
HALF_IN_S = 2.0  # after that, for requests that have begun to come in
LEFT_S = 0.05  # between two looks at whether everything is answered
BACKLOG = 512
SPARE_DESCRIPTORS = 40  # standard streams, epoll, the listener, discovery, those on their way out
CLIENTS_SHARE = 0.55  # of the descriptors: clients keep more than they use, attempts need one each
FIRST_TURN_S = 0.02  # long enough to be a wait on a slow core too: see `Ingress.run`
LISTED_S = 1.5  # a process that takes over waits this long for discovery's own list
GIVEN_UP_S = 0.25  # after SIGTERM, where another process takes what is new, idle connections may stay
CLAIM_S = 0.1  # between two looks at what other processes of this ingress claim
#: What a reload leaves as it is, by key of the file.
KEPT = {
    "name": "name",
    "listen": "listen",
    "management": "management",
    "limits.sockets": "sockets",
    "settings": "start",
}
OWN_MEMORY = 28e6  # bytes: what the program needs without any body, and a little (24 MB measured)
BODIES_SHARE = 1 / 6  # of the rest: all that waits to be whole or is held; a third and more is copies of it
BODIES_LEAST = 1e6  # bytes
BODY_SHARE = 1 / 8  # of that: one request's body, before it goes on as it comes
GC_THRESHOLD = 20_000  # objects; a request leaves no cycles, so a pause seldom finds anything


class Ingress:
    """The parts of one ingress."""

    def __init__(
        self,
        reactor: Any,
        config: Config,
        brain: Brain | None = None,
        clock_start: int | None = None,
        lanes: int = CONNECTIONS,
        own: Own | None = None,
        settings_file: str | None = None,
    ) -> None:
        self.reactor, self.config = reactor, config
        self.own_settings = own
        self.settings_file = settings_file
        self.fleet_member: FleetMember | None = None
        start = config.start
        clock = unix_clock(clock_start)
        self.lifecycle = Lifecycle(is_socket_shared=config.accept_fd is not None)
        if self.lifecycle.is_socket_shared:
            lanes //= 2  # the other process has as many
        memory = config.memory // (2 if self.lifecycle.is_socket_shared else 1)  # the other process needs as much
        for_bodies = int(max(BODIES_LEAST, (memory - OWN_MEMORY) * BODIES_SHARE))
        buffers = self.buffers = BufferPool(limit_bytes=for_bodies)
        self.engine = Engine(brain or Brain(start), clock)
        for_management = MANAGEMENT_DESCRIPTORS if config.management else 0
        self.own = SPARE_DESCRIPTORS + for_management + 2 * lanes  #: descriptors that serve nobody
        for_clients, for_servers = self._divided(config.sockets)
        self.upstreams = UpstreamPool(
            reactor,
            self.engine,
            clock,
            buffers,
            config.dial_timeout_s,
            config.conn_idle_s,
            for_servers,
        )
        self.counter = CounterDriver(reactor, self.engine, clock, buffers, config.counter, config.dial_timeout_s, lanes)
        alarm = ReactorAlarm(reactor, clock, self.engine.handle_alarm)
        self.engine.connect(self.upstreams, self.counter, alarm)
        translator = Translator(start, config.class_names, config.plan_names)
        self.client_listener = ClientListener(
            reactor,
            self.engine,
            translator,
            buffers,
            for_clients,
            config.open_cap,
            start.max_retry_after_ns,
            self.lifecycle,
            max(MAX_BUFFERED_BODY_BYTES, int(for_bodies * BODY_SHARE)),
        )
        self.fault: ConfigError | None = None  #: why it could not start
        self.management = ManagementListener(reactor, self.lifecycle, buffers, self._held)
        self.directory = Directory(config.zone_names, config.kind_names)
        self.watcher = self._watcher(config.discovery, whole=self.lifecycle.is_socket_shared)

    def _watcher(self, address: Address, whole: bool = False) -> Watcher:
        pauses = backoff(self.config.start)
        return Watcher(self.reactor, address, self.buffers, self.directory, self.apply_server_list, pauses, whole)

    def _divided(self, sockets: int) -> tuple[int, int]:
        """Of so many descriptors, those for clients and those for agenda servers."""
        room = max(0, sockets - self.own)
        for_clients = int(room * CLIENTS_SHARE)
        return for_clients, room - for_clients

    def apply_server_list(self, news: i.ServerNews) -> None:
        """Addresses first: the module may send as soon as it knows."""
        COUNTS["discovery.lines"] += len(news.servers)
        self.upstreams.update(self.directory.places)
        for line in news.servers:
            if line.state == i.ServerState.DRAINING:  # nothing new will go there
                self.upstreams.close_idle(line.server)
        self.engine.handle_server_update(news)
        # An empty list from before the start is no reason to send clients here.
        if news.news != i.News.CACHED:
            self._listed()
        elif news.servers:
            # Who takes over from a process that serves has time to hear what is true now.
            self.reactor.callLater(LISTED_S, self._listed) if self.lifecycle.is_socket_shared else self._listed()

    def _listed(self) -> None:
        self.lifecycle.mark_servers_known()
        self.client_listener.update_accepting()

    def run(self) -> None:
        self.apply_server_list(self._read_known(self.directory, self.config))
        self.watcher.start()
        own = self.own_settings
        if own is not None and (own.budgets.enabled or own.handoff.enabled):  # off on the platform
            from .net.fleet import join_fleet

            self.fleet_member = join_fleet(self, own)
        self.reactor.callWhenRunning(self._heed_signals)
        freeze_gc()
        # Whoever connects is kept waiting by all that a start has still to do, and its request's time has
        # begun.  So nothing listens before the reactor has come round once.
        self.reactor.callWhenRunning(lambda: self.reactor.callLater(FIRST_TURN_S, self._open))
        self.reactor.run()
        if self.fault is not None:
            raise self.fault
        log_counters("exit")

    def _open(self) -> None:
        """Listen, and say so."""
        if self.lifecycle.phase is Phase.SHUTTING_DOWN:
            return
        try:
            if self.lifecycle.is_socket_shared:
                self._inherit()
            else:
                self.client_listener.port = self._listen(
                    "listen", self.config.listen, self.client_listener, ClientListenerPort
                )
            if self.config.management:
                self.management.port = self._listen("management", self.config.management, self.management)
        except ConfigError as fault:
            self.fault = fault
            return self.reactor.stop()
        ports = {"listen": self.client_listener.port, "management": self.management.port}
        bound = {key: port.getHost() for key, port in ports.items() if port is not None}
        addresses = {key: f"{at.host}:{at.port}" for key, at in bound.items()}
        log("serving", name=self.config.name, servers=len(self.directory.places), **addresses)

    def _listen(self, key: str, address: Address, factory: Any, kind: type[Port] = Port) -> Port:
        host, number = address
        port = kind(number, factory, BACKLOG, host, self.reactor)
        try:
            port.startListening()
        except Exception as err:
            raise ConfigError(f"{key}: {err}") from None
        return port

    def _inherit(self) -> None:
        """Listen on the socket that the platform holds, and find the other process, if there is one."""
        fd = self.config.accept_fd
        try:
            with socket.socket(fileno=os.dup(fd)) as listener:
                if listener.type != socket.SOCK_STREAM or listener.family != socket.AF_INET:
                    raise OSError("expected a stream socket over IPv4")
                if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                    raise OSError("expected a listening socket")
            if self.config.sockets // 2 <= self.own:
                raise ConfigError(f"limits.sockets: expected more than {2 * self.own} for two processes")
            os.set_blocking(fd, False)  # the other process may take what woke us: accept must not wait
            self.client_listener.port = inherited_port(self.reactor, fd, self.client_listener)
        except OSError as err:
            raise ConfigError(f"{ACCEPT_FD}: {err.strerror or err}") from None
        os.close(fd)  # the reactor has a copy, and this one would outlive it
        self.client_listener.update_accepting()
        host, port = self.client_listener.port.getHost().host, self.client_listener.port.getHost().port
        self.slots: Slots | None = None
        try:
            self.slots = Slots(os.environ.get("TMPDIR") or "/tmp", f"{host}-{port}")
        except OSError as err:
            COUNTS["takeover.no_slot"] += 1
            log("no slot", why=str(err))
        self._claim()

    def _claim(self) -> None:
        """What the other process does not use is ours; looked at again and again."""
        self.reactor.callLater(CLAIM_S, self._claim)
        total, start = self.config.sockets, self.own
        claimed = total // 2  # whatever the others do
        if self.slots is not None:
            held = self.own + len(self.client_listener.streams) + self.upstreams.connection_count
            others = [total - start if one is None else one for one in self.slots.others()]
            leaving = self.lifecycle.phase is Phase.SHUTTING_DOWN
            use = DescriptorUse(total, start, held, self.slots.is_elder, leaving)
            claimed = descriptor_claim(use, others)
            try:
                self.slots.publish(claimed)
            except OSError:
                COUNTS["takeover.not_published"] += 1
            COUNTS["takeover.beside"] += bool(others)
        for_clients, for_servers = self._divided(claimed)
        if (for_clients, for_servers) != (self.client_listener.max_connections, self.upstreams.max_connections):
            self.client_listener.resize(for_clients)
            self.upstreams.resize(for_servers)

    def _held(self) -> dict[str, int]:
        """What an operator watches during a drain: it falls to nothing."""
        return {"connections": len(self.client_listener.streams), "open_requests": len(self.engine.requests)}

    @staticmethod
    def _read_known(directory: Directory, config: Config) -> i.ServerNews:
        try:
            return directory.read(config.known, cached=True)
        except ValueError as err:
            raise ConfigError(f"known: {err}") from None

    def _heed_signals(self) -> None:
        """Before anything says that we serve: SIGUSR1 ends a process that does not handle it."""
        handlers = {
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.shut_down,
            signal.SIGINT: self.shut_down,
            signal.SIGUSR1: lambda: log_counters("asked"),
        }
        for number, handler in handlers.items():
            signal.signal(number, lambda *_, handler=handler: self.reactor.callFromThread(handler))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])  # one since the start counts now

    def reload(self) -> None:
        """Read the configuration anew: the counter and discovery move, all else stays until the next start.

        A file that the program would not start with changes nothing.  With budgets on, our own HCL is read
        again for the clock's offset.
        """
        if self.fleet_member is not None and self.settings_file is not None:
            self.fleet_member.reload_settings(self.settings_file)
        try:
            new = configuration.load()
            self._read_known(Directory(new.zone_names, new.kind_names), new)
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
            self.watcher = self._watcher(new.discovery, whole=True)
            self.watcher.start()
        new.start.seed = old.start.seed  # new in every file, and of use at a start only
        kept = [key for key, field in KEPT.items() if getattr(new, field) != getattr(old, field)]
        log(
            "reloaded",
            counter=":".join(map(str, new.counter)),
            discovery=":".join(map(str, new.discovery)),
            until_restart=kept,
        )

    def shut_down(self, stay_s: float = SHUTDOWN_DELAY_S) -> None:
        """Go on serving for a while, then take nothing new, finish what is open, and stop."""
        if not self.lifecycle.begin_shutdown(self.reactor.seconds()):
            return
        log("told to leave", open=len(self.engine.requests))
        if self.lifecycle.is_socket_shared:
            self.client_listener.stop_accepting()  # at once: the other process takes what waits
            stay_s = GIVEN_UP_S
        self.reactor.callLater(stay_s, self._finish)

    def _finish(self) -> None:
        self.client_listener.begin_shutdown()
        self._stop_when_done(self.reactor.seconds() + HALF_IN_S)

    def _stop_when_done(self, last: float) -> None:
        if self.engine.requests or self.client_listener.has_unfinished(self.reactor.seconds() < last):
            self.reactor.callLater(LEFT_S, self._stop_when_done, last)
        else:
            self.watcher.stop()
            self._stop()

    def _stop(self) -> None:
        self.reactor.stop()


def freeze_gc() -> None:
    """What there is after the start stays, and is looked at no more."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)


def observe_twisted_failures() -> None:
    """What Twisted catches for us is a fault of ours: counted, and logged a few times."""

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("log_failure")
        if failure is not None:
            COUNTS["twisted.caught"] += 1
            if COUNTS["twisted.caught"] <= 20:
                log("caught", why=failure.getErrorMessage(), trace=failure.getTraceback()[-2000:])

    globalLogPublisher.addObserver(observe)


def block_reload_signal() -> None:
    """A reload asked for before there is anything to reload waits for it, and must not end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGHUP])


def main(own: Own | None = None, settings_file: str | None = None) -> int:
    """One process that reads `EDGE_CONFIG` and serves; returns the exit code.  `own`: our own HCL."""
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
