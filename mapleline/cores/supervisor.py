"""The process that listens, watches discovery, keeps the workers, and serves nothing itself."""

from __future__ import annotations

import mmap
import os
import signal
import socket
import sys
import time
from collections import Counter
from typing import Any

from twisted.internet import error
from twisted.internet.protocol import Factory, ProcessProtocol
from twisted.python.failure import Failure

from ..http1.buffers import BufferPool
from ..ingress import BACKLOG, STAY_S, wait_for_reload, watch_twisted
from ..net.alarm import clock_start
from ..net.discovery import Directory, Watcher, backoff
from ..policy import interface as i
from ..settings import platform
from ..settings.own import Own
from ..settings.platform import Config, ConfigError
from ..telemetry import COUNTS, log
from .balance import Dispatcher, HandOver, Offer
from .board import AccountBoard, IdBoard, Vetoes, size_of
from .bulletin import Bulletin
from .channel import Channel
from .life import Lives
from .worker import BOARD_FD, CHANNEL_FD, LEAST_SOCKETS, SPARE, SPARE_EACH, sockets_each

MS = 1_000_000
TICK_S = 0.02
ACCEPTED_MOST = 64  # in one turn
HANDLES_MOST = 12  # accepted and not yet a worker's: more are left to the kernel, or descriptors run out
COUNTS_WAIT_S = 0.5  # for the workers' counters; who is stalled is named
KILL_S = 60.0  # for a worker to finish what it has, after that


class Place(ProcessProtocol):
    """One worker's place: the process in it now, and its channel."""

    def __init__(self, supervisor: Supervisor, number: int) -> None:
        self.supervisor, self.number = supervisor, number
        self.channel: Channel | None = None
        self.ready = False
        self.open = 0  #: requests, as last reported
        self.counts: dict[str, int] = {}  #: of this process, as last reported
        self.reason: Failure | None = None
        self.cut = False

    def processEnded(self, reason: Failure) -> None:
        self.reason = reason
        self._gone()

    def channel_ended(self) -> None:
        self.cut = True
        self._gone()

    def _gone(self) -> None:
        """Once both have ended: what the process said last may be read after its death is known."""
        if self.cut and self.reason is not None:
            self.supervisor.ended(self, self.reason)


class Supervisor:
    """Owns the listener, the watch, the shared memory and the worker processes."""

    def __init__(self, reactor: Any, config: Config, raw: object, own: Own, workers: int) -> None:
        self.reactor, self.config, self.raw, self.own, self.workers = reactor, config, raw, own, workers
        cores = own.cores
        if config.management:
            raise ConfigError("management: not with several workers, whose supervisor has no such door")
        if config.accept_fd is not None:
            raise ConfigError(f"{platform.ACCEPT_FD}: not with several workers")
        if sockets_each(config.sockets, workers) < LEAST_SOCKETS:
            least = (LEAST_SOCKETS + SPARE_EACH) * workers + SPARE
            raise ConfigError(f"limits.sockets: expected at least {least} for {workers} workers")
        self.board_fd = os.memfd_create("mapleline", os.MFD_CLOEXEC)  # goes with its last process
        os.ftruncate(self.board_fd, size_of(workers, cores.accounts))
        self.board = memoryview(mmap.mmap(self.board_fd, 0))
        self.vetoes = Vetoes(self.board)
        self.bulletin = Bulletin()
        self.dispatcher = Dispatcher(cores.offer_ms * MS, cores.lean)
        self.lives = Lives(
            cores.restart_pause_ms * MS, cores.restart_pause_most_ms * MS, cores.settled_ms * MS, cores.deaths_most
        )
        self.clock_start = clock_start()
        self.directory = Directory(config.zone_names, config.kind_names)
        self.watcher = self._watcher(config.discovery)
        self.places: dict[int, Place] = {}
        self.handles: dict[int, tuple[socket.socket, bool]] = {}  #: accepted, granted to nobody yet
        self.next = 0
        self.dead: Counter[str] = Counter()  #: counters of processes that are gone
        self.asked = 0
        self.answers: dict[int, dict[str, int]] = {}
        self.leaving = self.going = False
        self.serving = False
        self.status = 0
        self.reading = False

    def _watcher(self, address: platform.Address, whole: bool = False) -> Watcher:
        pauses = backoff(self.config.start)
        return Watcher(self.reactor, address, BufferPool(), self.directory, self.told, pauses, whole)

    # --- start

    def run(self) -> int:
        host, port = self.config.listen
        try:
            self.listener = socket.create_server((host, port), backlog=BACKLOG)
        except OSError as err:
            raise ConfigError(f"listen: {err.strerror or err}") from None
        self.listener.setblocking(False)
        self.fileno = self.listener.fileno
        try:
            known = self.directory.read(self.config.known, cached=True)
        except ValueError as err:
            raise ConfigError(f"known: {err}") from None
        self.told(known)
        self.watcher.start()
        for number in range(self.workers):
            self._spawn(number)
        self.reactor.callWhenRunning(self._running)
        self.reactor.run()
        self._print("exit", {n: place.counts for n, place in self.places.items()}, [])
        return self.status

    def _running(self) -> None:
        handlers = {
            signal.SIGHUP: self.reload,
            signal.SIGTERM: self.leave,
            signal.SIGINT: self.leave,
            signal.SIGUSR1: self.ask_counts,
        }
        for number, handler in handlers.items():
            signal.signal(number, lambda *_, handler=handler: self.reactor.callFromThread(handler))
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGHUP])
        self._tick()
        if self.own.cores.balance_ms:
            self._balance()

    def _spawn(self, number: int) -> None:
        place = self.places[number] = Place(self, number)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        channel = place.channel = Channel(
            lambda message, handle: self.hear(place, message, handle), place.channel_ended
        )
        factory = Factory.forProtocol(lambda: channel)
        factory.noisy = False
        self.reactor.adoptStreamConnection(ours.fileno(), socket.AF_UNIX, factory)
        ours.close()
        flags = ["-O"] if sys.flags.optimize else []
        self.reactor.spawnProcess(
            place,
            sys.executable,
            [sys.executable, *flags, "-m", "mapleline.cores.worker"],
            env=os.environ,
            childFDs={0: 0, 1: 1, 2: 2, CHANNEL_FD: theirs.fileno(), BOARD_FD: self.board_fd},
        )
        theirs.close()
        COUNTS["cores.started"] += 1
        self.bulletin.joined(number)
        channel.tell(
            {
                "config": self.raw,
                "number": number,
                "workers": self.workers,
                "accounts": self.own.cores.accounts,
                "log": self.own.log.form,
                "clock": self.clock_start,
            }
        )
        channel.tell({"counter": self.config.counter})
        self._tell_news(place)

    # --- news

    def told(self, news: i.ServerNews) -> None:
        """Vetoes first: from here on nothing new goes to a server that is drained or gone."""
        COUNTS["discovery.lines"] += len(news.servers)
        lines = []
        for s in news.servers:
            address = self.directory.places[s.server].address if s.life != i.Life.GONE else ("", 0)
            lines.append([s.server, int(s.life), s.started_ns, s.weight, s.kind, s.zone, s.cell, *address])
        cached = news.news == i.News.CACHED
        for server, gone in self.bulletin.tell(lines, cached or news.news == i.News.FULL, cached):
            self.vetoes.set(server, gone)
        for place in list(self.places.values()):
            self._tell_news(place)

    def _tell_news(self, place: Place) -> None:
        message = self.bulletin.due(place.number)
        if message is not None:
            place.channel.tell(message)

    # --- connections

    def doRead(self) -> None:
        """The listener's reader: accept, as the dispatcher bears it."""
        for _ in range(ACCEPTED_MOST):
            try:
                handle, _ = self.listener.accept()
            except BlockingIOError:
                return
            except OSError:
                COUNTS["cores.accept_failed"] += 1
                return self._read(False)  # no descriptor: the tick tries again
            COUNTS["cores.accepted"] += 1
            handle.setblocking(False)
            self._offer(self.dispatcher.accepted(self._keep(handle, False), self._now()))
            if len(self.handles) >= HANDLES_MOST:
                return self._read(False)

    def logPrefix(self) -> str:
        return "listener"

    def connectionLost(self, reason: Failure) -> None:
        """The reactor is stopping."""

    def _read(self, on: bool) -> None:
        if on != self.reading:
            self.reading = on
            (self.reactor.addReader if on else self.reactor.removeReader)(self)

    def _accept_on(self) -> None:
        if self.serving and not self.going and len(self.handles) < HANDLES_MOST:
            self._read(True)

    def _keep(self, handle: socket.socket, asked: bool) -> int:
        self.next += 1
        self.handles[self.next] = (handle, asked)
        return self.next

    def _offer(self, offers: list[Offer]) -> None:
        for offer in offers:
            handle, asked = self.handles[offer.connection]
            self.places[offer.worker].channel.tell({"offer": offer.connection, "asked": asked}, handle)

    @staticmethod
    def _now() -> int:
        return time.monotonic_ns()

    # --- what workers say

    def hear(self, place: Place, message: dict[str, Any], handle: socket.socket | None) -> None:
        number, now = place.number, self._now()
        if self.places.get(number) is not place:
            if handle is not None:
                handle.close()
            return
        if "parted" in message:
            place.open = message["open"]
            place.counts = message.get("all", place.counts)
            told = message["parted"], message["load"], message["full"]
            self._offer(self.dispatcher.report(number, *told, now))
        elif "claim" in message:
            yes = self.dispatcher.claimed(number, message["claim"])
            place.channel.tell({"granted": message["claim"], "yes": yes})
            if yes:
                self.handles.pop(message["claim"])[0].close()
                self._accept_on()
            else:
                COUNTS["cores.claimed_late"] += 1
        elif "refuse" in message:
            COUNTS["cores.refused"] += 1
            self._offer(self.dispatcher.refused(number, message["refuse"], now))
        elif "handed" in message:
            COUNTS["cores.moved"] += 1
            connection = self._keep(handle, True)
            self._offer(self.dispatcher.handed_over(number, connection, message["handed"], now))
        elif "acked" in message:
            self.bulletin.acked(number, message["acked"])
            self._tell_news(place)
        elif "counts" in message:
            place.counts = message["counts"]
            if message["asked"] == self.asked:
                self.answers[number] = message["counts"]
                self._counts_done(self.asked, False)
        elif "ready" in message:
            self._ready(place, message["ready"], now)

    def _ready(self, place: Place, pid: int, now: int) -> None:
        place.ready = True
        self.lives.ready(place.number, now)
        if self.leaving:
            place.channel.tell({"leave": True})
        self._offer(self.dispatcher.joined(place.number, now))
        log("worker ready", worker=place.number, pid=pid)
        if not self.serving and all(p.ready for p in self.places.values()):
            self.serving = True
            self._read(True)
            host, port = self.listener.getsockname()[:2]
            log(
                "serving",
                name=self.config.name,
                listen=f"{host}:{port}",
                servers=self.bulletin.servers,
                workers=self.workers,
            )

    def _tick(self) -> None:
        self.reactor.callLater(TICK_S, self._tick)
        now = self._now()
        before = self.dispatcher.revoked
        self._offer(self.dispatcher.tick(now))
        COUNTS["cores.offers_revoked"] += self.dispatcher.revoked - before
        self.lives.settled(now)
        self._accept_on()

    def _balance(self) -> None:
        self.reactor.callLater(self.own.cores.balance_ms / 1e3, self._balance)
        move = self.dispatcher.balance()
        if isinstance(move, HandOver) and not self.leaving:
            self.places[move.worker].channel.tell({"hand": move.wanted})

    # --- life

    def ended(self, place: Place, reason: Failure) -> None:
        """A worker is gone, by our word or on its own."""
        number, now = place.number, self._now()
        clean = reason.check(error.ProcessDone) is not None
        place.ready = False
        self.bulletin.parted(number)
        lost = IdBoard.clear(self.board, number)
        out = AccountBoard.clear_out(self.board, self.workers, number, self.own.cores.accounts)
        if clean and self.leaving:
            self.dispatcher.parted(number, now)
            return self._stop_if_done()
        self.dead.update(place.counts)
        place.counts = {}
        COUNTS["cores.died"] += 1
        COUNTS["cores.requests_lost"] += lost
        log("worker died", worker=number, why=str(reason.value), requests_lost=lost, attempts_out=out)
        self._offer(self.dispatcher.parted(number, now))
        if self.leaving:
            return self._stop_if_done()
        pause = self.lives.died(number, now)
        if pause is None:
            why = f"{self.lives.in_a_row} workers in a row died within {self.own.cores.settled_ms} ms"
            log("giving up", why=why)
            self.status = 3
            return self.leave()
        self.reactor.callLater(pause / 1e9, self._replace, number)

    def _replace(self, number: int) -> None:
        if not self.leaving:
            self._spawn(number)

    # --- signals

    def reload(self) -> None:
        """Read the configuration anew.  It is checked here, once, so that all workers take it or none."""
        try:
            raw = platform.read_file(os.environ["EDGE_CONFIG"])
            new = platform.read_config(raw, os.environ)
            Directory(new.zone_names, new.kind_names).read(new.known, cached=True)
        except (ConfigError, ValueError) as err:
            COUNTS["reload.failed"] += 1
            return log("reload failed", fault=str(err))
        COUNTS["reload.done"] += 1
        moved = new.discovery != self.config.discovery
        self.config.counter, self.config.discovery = new.counter, new.discovery
        for place in self.places.values():
            place.channel.tell({"counter": new.counter})
        if moved and self.watcher.running:
            self.watcher.stop()
            self.watcher = self._watcher(new.discovery, whole=True)
            self.watcher.start()
        log("reloaded", counter=":".join(map(str, new.counter)), discovery=":".join(map(str, new.discovery)))

    def ask_counts(self) -> None:
        self.asked += 1
        self.answers = {}
        for place in self.places.values():
            place.channel.tell({"counts": self.asked})
        self.reactor.callLater(COUNTS_WAIT_S, self._counts_done, self.asked, True)

    def _counts_done(self, asked: int, now: bool) -> None:
        up = {n for n, place in self.places.items() if place.ready}
        if asked != self.asked or not (now or up <= set(self.answers)):
            return
        self.asked += 1  # printed
        last = {n: self.places[n].counts for n in up - set(self.answers)}
        self._print("asked", {**last, **self.answers}, sorted(last))

    def _print(self, why: str, by_worker: dict[int, dict[str, int]], silent: list[int]) -> None:
        """One set, summed over the living and the dead, and each worker's own; `silent` gave old ones."""
        total = Counter(COUNTS) + self.dead
        for counts in by_worker.values():
            total.update(counts)
        by_name = {str(n): dict(sorted(counts.items())) for n, counts in sorted(by_worker.items())}
        log("counters", why=why, counts=dict(sorted(total.items())), workers=by_name, silent=silent)

    def leave(self) -> None:
        """Go on serving for a while, then close the listener; the workers finish what is open."""
        if self.leaving:
            return
        self.leaving = True
        log("told to leave", open=sum(place.open for place in self.places.values()))
        for place in self.places.values():
            place.channel.tell({"leave": True})
        self.reactor.callLater(STAY_S, self._close)

    def _close(self) -> None:
        self.doRead()  # what the kernel accepted is still served: workers stay a little longer
        self.going = True
        self._read(False)
        self.listener.close()
        self.watcher.stop()
        self._stop_if_done()
        self.reactor.callLater(KILL_S, self._kill)

    def _kill(self) -> None:
        for place in self.places.values():
            if place.transport.pid:
                place.transport.signalProcess("KILL")

    def _stop_if_done(self) -> None:
        if self.going and not any(place.transport and place.transport.pid for place in self.places.values()):
            for handle, _ in self.handles.values():
                handle.close()
            if self.reactor.running:
                self.reactor.stop()


def main(own: Own, workers: int) -> int:
    """Serve with several workers; returns the exit code."""
    wait_for_reload()
    try:
        path = os.environ.get("EDGE_CONFIG")
        if not path:
            raise ConfigError("EDGE_CONFIG: not set")
        raw = platform.read_file(path)
        config = platform.read_config(raw, os.environ)
        watch_twisted()
        from twisted.internet import reactor

        return Supervisor(reactor, config, raw, own, workers).run()
    except ConfigError as err:
        log("configuration", fault=str(err))
        return 2
