"""One worker: an ingress whose connections, server list and orders come from its supervisor.

Started by the supervisor with the channel on descriptor 3 and the shared memory on 4; of no use otherwise.
"""

from __future__ import annotations

import copy
import mmap
import os
import signal
import socket
import sys
from types import FrameType
from typing import Any

from twisted.internet.protocol import Factory

from ..ingress import STAY_S, Ingress, calm_gc, watch_twisted
from ..lifecycle import Phase
from ..net.discovery import Directory, Watcher
from ..net.reactor import install
from ..net.upstream import Place
from ..policy import interface as i
from ..policy.brain import Brain
from ..settings.platform import Address, Config, read_config
from ..telemetry import COUNTS, configure_log, log
from .board import AccountBoard, IdBoard, Vetoes
from .channel import Channel
from .kin import Kin

CHANNEL_FD, BOARD_FD = 3, 4
REPORT_S = 0.1
COUNTS_EVERY = 10  # reports: the counters, so that a death loses little of them
COUNTER_CONNECTIONS = 16  # of the whole ingress: half of the 32 that the counter holds for it
LONGER_S = 0.15  # than the listener: what it accepted last is offered, claimed and granted by then
SPARE = 40  # descriptors of the supervisor: streams, its listener, discovery
SPARE_EACH = 16  # and for each worker: its channel, copies of connections that are on their way to it
LEAST_SOCKETS = 128  # of one worker


def sockets_each(sockets: int, workers: int) -> int:
    """Descriptors of one worker: `limits.sockets` holds for the ingress as a whole."""
    return (sockets - SPARE) // workers - SPARE_EACH


def divided(config: Config, workers: int, number: int) -> Config:
    """The configuration of one of several workers.

    To the module each is an ingress of its own among `workers` times as many: what it learns of servers, the
    room it allows itself and its part of a cold server's budget need no word from the others.  Only quotas
    are not divided: there the workers are one (`Kin`).
    """
    config = copy.copy(config)
    start = config.start = copy.copy(config.start)
    start.workers = workers
    start.gateway, start.gateways = start.gateway * workers + number, start.gateways * workers
    start.seed += number  # else all workers would draw the same lots at the same time
    config.sockets = sockets_each(config.sockets, workers)
    config.open_cap = -(-config.open_cap // workers)
    return config


class NoWatcher:
    """Stands where an ingress watches discovery: here the supervisor does."""

    running = False

    def start(self) -> None: ...
    def stop(self) -> None: ...


class Worker(Ingress):
    """An ingress without a listener or a watch."""

    def __init__(self, reactor: Any, first: dict[str, Any], board: memoryview) -> None:
        self.number, self.workers = first["number"], first["workers"]
        whole = read_config(first["config"], os.environ)
        brain_start = divided(whole, self.workers, self.number)
        brain = Brain(brain_start.start)
        accounts = AccountBoard(board, self.workers, self.number, first["accounts"])
        brain.kin = Kin(accounts)
        # The translator checks what clients say against the settings as they are.
        whole.sockets, whole.open_cap = brain_start.sockets, brain_start.open_cap
        super().__init__(reactor, whole, brain, first["clock"], max(1, COUNTER_CONNECTIONS // self.workers))
        self.front.ids = self.ids = IdBoard(board, self.workers, self.number)
        self.upstreams.vetoed = Vetoes(board).__getitem__
        self.accounts = accounts
        self.offered: dict[int, tuple[socket.socket, bool]] = {}
        self.counts_due = 0
        self.full = self.done = False

    def _watcher(self, address: Address, whole: bool = False) -> Watcher:
        return NoWatcher()  # type: ignore[return-value]

    # --- from the supervisor

    def attach(self, channel: Channel) -> None:
        self.channel = channel
        channel.tell({"ready": os.getpid()})
        self._report()

    def hear(self, message: dict[str, Any], handle: socket.socket | None) -> None:
        if "offer" in message:
            self._offered(message["offer"], handle, message["asked"])
        elif "granted" in message:
            self._granted(message["granted"], message["yes"])
        elif "news" in message:
            self._hear_news(message)
        elif "hand" in message:
            self._hand_over(message["hand"])
        elif "counter" in message:
            self.counter.move(tuple(message["counter"]))
        elif "counts" in message:
            self.channel.tell({"counts": dict(COUNTS), "asked": message["counts"]})
        elif "leave" in message:
            self.leave(STAY_S + LONGER_S)

    def _offered(self, number: int, handle: socket.socket, asked: bool) -> None:
        if len(self.front.streams) >= self.front.most and not any(s.idle for s in self.front.streams):
            handle.close()
            self.full = True
            return self.channel.tell({"refuse": number})
        self.offered[number] = (handle, asked)
        self.channel.tell({"claim": number})

    def _granted(self, number: int, yes: bool) -> None:
        handle, asked = self.offered.pop(number)
        if yes:
            self.front.adopt(handle, asked)
        handle.close()  # the front has its own copy, or another worker has the connection

    def _hear_news(self, message: dict[str, Any]) -> None:
        directory: Directory = self.directory
        if message["whole"]:
            directory.places = {}
        lines = []
        for number, life, started, weight, kind, zone, cell, host, port in message["lines"]:
            server = i.Server(number, i.Life(life), started, weight, kind, zone, cell)
            lines.append(server)
            if server.life == i.Life.GONE:
                directory.places.pop(number, None)
            else:
                directory.places[number] = Place((host, port), started)
        kind = i.News.CACHED if message["cached"] else i.News.FULL if message["whole"] else i.News.CHANGES
        self.told(i.ServerNews(kind, lines))
        self.channel.tell({"acked": message["news"]})

    def _hand_over(self, wanted: float) -> None:
        if self.life.phase is not Phase.LEAVING:
            self.front.hand_over(wanted, self._handed)

    def _handed(self, handle: socket.socket, load: float) -> None:
        self.channel.tell({"handed": load}, handle)
        handle.close()  # the channel has its own copy

    def _report(self) -> None:
        self.reactor.callLater(REPORT_S, self._report)
        front = self.front
        load = sum(stream.recent for stream in front.streams)
        front.fade()
        if self.full and (len(front.streams) < front.most or any(s.idle for s in front.streams)):
            self.full = False
        parted = COUNTS["client.connected"] - len(front.streams)
        message: dict[str, Any] = {"parted": parted, "load": load, "full": self.full, "open": len(self.engine.requests)}
        self.counts_due = (self.counts_due + 1) % COUNTS_EVERY
        if not self.counts_due:
            message["all"] = dict(COUNTS)
        self.channel.tell(message)

    # --- the end

    def _finish(self) -> None:
        for handle, _ in self.offered.values():
            handle.close()
        self.offered.clear()
        super()._finish()

    def _stop(self) -> None:
        """The last counters go out before the end does."""
        self.done = True
        if not self.channel.up:
            return self.reactor.stop()
        self.channel.tell({"counts": dict(COUNTS), "asked": 0})
        self.channel.transport.loseConnection()

    def orphaned(self) -> None:
        """The supervisor is gone: nothing new will come, and what is open is finished."""
        if self.done:
            self.reactor.stop()
        elif self.life.leave(self.reactor.seconds()):
            log("supervisor gone", open=len(self.engine.requests))
            self._finish()


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a terminal's goes to the whole group
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)
    watch_twisted()
    reactor = install()
    state: dict[str, Worker] = {}
    board = memoryview(mmap.mmap(BOARD_FD, 0))

    def told(message: dict[str, Any], handle: socket.socket | None) -> None:
        if state:
            return state["worker"].hear(message, handle)
        configure_log(message["log"], worker=message["number"])
        state["worker"] = worker = Worker(reactor, message, board)
        calm_gc()
        worker.attach(channel)

    def ended() -> None:
        if state:
            state["worker"].orphaned()
        elif reactor.running:
            reactor.stop()

    def term(number: int, frame: FrameType | None) -> None:
        reactor.callFromThread(lambda: state["worker"].leave() if state else reactor.stop())

    channel = Channel(told, ended)
    end = socket.socket(fileno=CHANNEL_FD)
    end.setblocking(False)
    factory = Factory.forProtocol(lambda: channel)
    factory.noisy = False
    reactor.callWhenRunning(lambda: signal.signal(signal.SIGTERM, term))
    reactor.adoptStreamConnection(end.fileno(), socket.AF_UNIX, factory)
    end.close()
    reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
