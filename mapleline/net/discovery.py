"""Discovery: the agent's list of agenda servers, watched without a gap."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any
from zlib import crc32

import orjson
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.error import ConnectionDone
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from ..http1 import BufferPool, ClientConnection, Response, write_request
from ..policy import interface as i
from ..settings.platform import Address, read_address
from ..telemetry import COUNTS, log
from .backoff import Backoff
from .dial import dial
from .streams import Stream
from .upstream import Place

WAIT_MS = 20_000
DIAL_S = 1.0
SPARE_S = 1.5  # for the answer of a watch whose time is over
WHOLE_S = 1.0  # for the whole list, which the agent gives without waiting
ASK_SHARE = 2.0  # of the time without a call after which the list counts as told; four times it after one
LIVES = {"in_service": i.ServerState.READY, "terminating": i.ServerState.DRAINING, "terminated": i.ServerState.GONE}


class Directory:
    """The list as last told: numbers for the module, places for the upstream driver."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self._zones = {name: n for n, name in enumerate(zones)}
        self._kinds = {name: n for n, name in enumerate(kinds)}
        self._numbers: dict[str, int] = {}
        self._next = 0
        self.places: dict[int, Place] = {}
        self.zones: dict[int, int] = {}  #: zone by server's number
        self.ids: dict[int, int] = {}  #: by number: of the uid, so the same on every ingress
        self.rev = 0

    def read(self, raw: object, cached: bool = False) -> i.ServerNews:
        """Take in a list or changes in discovery's form; raises ValueError if neither it is."""
        if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
            raise ValueError("targets: expected a list")
        rev, whole = raw.get("rev"), raw.get("all")
        if isinstance(rev, bool) or not isinstance(rev, int) or not isinstance(whole, bool):
            raise ValueError("rev, all: missing or of another kind")
        lines = [line for entry in raw["targets"] if (line := self._line(entry)) is not None]
        if whole:
            listed = {line.server for line in lines}
            self.places = {n: place for n, place in self.places.items() if n in listed}
        for line in lines:
            if line.state == i.ServerState.GONE:
                self.places.pop(line.server, None)
        self._numbers = {uid: n for uid, n in self._numbers.items() if n in self.places}
        for table in (self.zones, self.ids):
            for gone in table.keys() - self.places.keys():
                del table[gone]
        self.rev = rev
        kind = i.News.CACHED if cached else i.News.FULL if whole else i.News.CHANGES
        return i.ServerNews(kind, lines)

    def _line(self, entry: object) -> i.Server | None:
        try:
            uid, life = entry["uid"], LIVES[entry["state"]]
            if not isinstance(uid, str):
                raise TypeError("uid")
            address = read_address(entry["endpoint"])
            started = int(entry.get("boot_ms") or 0) * 1_000_000
            weight = float(entry.get("capacity_hint") or 1.0)
            cell = int(entry.get("pod_group") or 0)
            kind, zone = self._kinds.get(entry.get("model"), 0), self._zones.get(entry.get("az"), 0)
        except (KeyError, TypeError, ValueError, AttributeError):
            COUNTS["discovery.bad_entry"] += 1  # the others on the list are still good
            return None
        if uid not in self._numbers:
            self._next += 1
            self._numbers[uid] = self._next
        number = self._numbers[uid]
        self.places[number] = Place(address, started)
        self.zones[number], self.ids[number] = zone, crc32(uid.encode())
        return i.Server(number, life, started, weight, kind, zone, cell)


class AgentStream(Stream):
    """A connection to the agent, or the counter; each call is a Deferred, and answers come in their order."""

    def __init__(self, pool: BufferPool) -> None:
        self.machine = ClientConnection(pool)

    def call(self, target: bytes, host_line: bytes, method: bytes = b"GET") -> Deferred[Response]:
        done: Deferred[Response] = Deferred()
        self.machine.add_request(done)
        self.send(write_request(method, target, host_line))
        return done

    def dataReceived(self, data: bytes) -> None:
        for done, response in self.machine.receive(data):
            done.callback(response)
        if self.machine.protocol_error:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        for done, response in self.machine.on_closed(reason.check(ConnectionDone) is not None):
            done.callback(response)
        while self.machine.pending:
            self.machine.pending.popleft().errback(reason)


def backoff(start: i.Start) -> Backoff:
    """The pauses of one watcher.  Asked calls are work for the fleet's one discovery; where changes are
    pushed, the agent on this machine answers alone, and each moment without a watch is one without news."""
    most_s = ASK_SHARE * start.list_ask_within_ns / 1e9
    fleet = start.ingresses if start.list_on_request else 1
    return Backoff(start.seed, fleet, most_s or float("inf"))


class Watcher:
    """Asks one address for what is newer than the list in hand, again and again.

    After a move `whole` is set: another discovery's versions need not go on from the old ones, so it is asked
    for its whole list first.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        buffers: BufferPool,
        directory: Directory,
        told: Callable[[i.ServerNews], None],
        pauses: Backoff,
        whole: bool = False,
    ) -> None:
        self.reactor, self.address, self.directory, self.told = reactor, address, directory, told
        self.pauses, self.whole = pauses, whole
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.buffers = buffers
        self.stream: AgentStream | None = None
        self.running = True
        self.failing = False

    def start(self) -> None:
        self._loop = self._run()
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))  # `stop` within a pause: no fault

    @inlineCallbacks
    def _run(self):  # type: ignore[no-untyped-def]
        """Until stopped.  Nothing that comes back may end it: without it the ingress goes blind."""
        if not self.whole and self.pauses.shared:  # a start may be the whole fleet's; a move is one ingress's
            yield deferLater(self.reactor, self.pauses.pause())
        while self.running:
            try:
                response = yield self._ask()
                news = self._read(response)
                self.pauses.succeeded()
                if self.failing:
                    self.failing = False
                    log("discovery back", rev=self.directory.rev)
                if news is not None:
                    self.told(news)
            except Exception as err:
                if not self.running:
                    return  # stopped: what broke off is no failure, and there is nothing to try again
                COUNTS["discovery.failed"] += 1
                if not self.failing:
                    self.failing = True
                    log("discovery failing", why=f"{type(err).__name__}: {err}")
                self.drop()
                yield deferLater(self.reactor, self.pauses.pause())

    def _read(self, response: Response) -> i.ServerNews | None:
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        raw = orjson.loads(response.body)
        if self.whole and not (isinstance(raw, dict) and raw.get("all") is True):
            raise ValueError("all: expected the whole list")  # changes to a list that is not ours
        news = self.directory.read(raw)
        self.whole = False
        COUNTS["discovery.answered"] += 1
        if news.news == i.News.CHANGES and not news.servers:
            return None  # the time of the watch was over
        return news

    @inlineCallbacks
    def _ask(self):  # type: ignore[no-untyped-def]
        if self.stream is None or not self.stream.connected or not self.stream.machine.reusable:
            self.stream = yield dial(self.reactor, self.address, partial(AgentStream, self.buffers), DIAL_S)
        target, wait_s = b"/registry/instances", WHOLE_S
        if not self.whole:
            target += b"?after=%d&wait_ms=%d" % (self.directory.rev, WAIT_MS)
            wait_s = WAIT_MS / 1000 + SPARE_S
        call = self.stream.call(target, self.host_line)
        call.addTimeout(wait_s, self.reactor)
        response = yield call
        return response

    def drop(self) -> None:
        if self.stream is not None and self.stream.connected:
            self.stream.transport.abortConnection()
        self.stream = None

    def stop(self) -> None:
        """Nothing is reported or asked from here on, whatever is under way: a dial, a watch or a pause."""
        self.running = False
        self.drop()
        self._loop.cancel()
