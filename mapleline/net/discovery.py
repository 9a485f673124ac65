"""Service discovery: watches the agent's list of agenda servers by long polling."""

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
from ..policy import interface
from ..settings.platform import Address, read_address
from ..telemetry import COUNTS, log
from .backoff import Backoff
from .dial import dial
from .streams import Stream
from .upstream import ServerProcess

WATCH_TIMEOUT_MS = 20_000  # the agent answers a watch after this time at the latest
CONNECT_TIMEOUT_S = 1.0
WATCH_ANSWER_MARGIN_S = 1.5  # added to that time for the answer to arrive
FULL_LIST_TIMEOUT_S = 1.0  # for the complete list, which the agent returns without waiting
#: Limit on the pauses between calls, as a multiple of the time without a call after which the list counts as
#: delivered; after a call, that time is four times as long.
MAX_PAUSE_SHARE = 2.0
SERVER_STATES = {
    "in_service": interface.ServerState.READY,
    "terminating": interface.ServerState.DRAINING,
    "terminated": interface.ServerState.GONE,
}


class Directory:
    """The server list as last received.

    Attributes:
        processes: the address and start time of each server's process, by the server's number.
        zones: the zone of each server, by number.
        uid_hashes: the CRC-32 of each server's uid, by number; the same on every ingress, unlike the number.
        rev: the list's revision.
    """

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        """Start without servers; `zones` and `kinds` are the names in the settings."""
        self._zones = {name: number for number, name in enumerate(zones)}
        self._kinds = {name: number for number, name in enumerate(kinds)}
        self._numbers: dict[str, int] = {}
        self._last_number = 0
        self.processes: dict[int, ServerProcess] = {}
        self.zones: dict[int, int] = {}
        self.uid_hashes: dict[int, int] = {}
        self.rev = 0

    def read(self, raw: object, cached: bool = False) -> interface.ServerNews:
        """Apply a complete list or changes in discovery's form.

        Args:
            raw: the decoded JSON.
            cached: whether the list was known before the start.

        Returns:
            The update for the decision module.

        Raises:
            ValueError: if it is neither a list nor changes.
        """
        if not isinstance(raw, dict) or not isinstance(raw.get("targets"), list):
            raise ValueError("targets: expected a list")
        revision, is_complete = raw.get("rev"), raw.get("all")
        if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(is_complete, bool):
            raise ValueError("rev, all: missing or of another kind")
        servers = [server for entry in raw["targets"] if (server := self._read_entry(entry)) is not None]
        if is_complete:
            listed = {server.server for server in servers}
            self.processes = {number: place for number, place in self.processes.items() if number in listed}
        for server in servers:
            if server.state == interface.ServerState.GONE:
                self.processes.pop(server.server, None)
        self._numbers = {uid: number for uid, number in self._numbers.items() if number in self.processes}
        for table in (self.zones, self.uid_hashes):
            for number in table.keys() - self.processes.keys():
                del table[number]
        self.rev = revision
        kind = interface.News.CACHED if cached else interface.News.FULL if is_complete else interface.News.CHANGES
        return interface.ServerNews(kind, servers)

    def _read_entry(self, entry: object) -> interface.Server | None:
        try:
            uid, state = entry["uid"], SERVER_STATES[entry["state"]]
            if not isinstance(uid, str):
                raise TypeError("uid")
            address = read_address(entry["endpoint"])
            started_ns = int(entry.get("boot_ms") or 0) * 1_000_000
            weight = float(entry.get("capacity_hint") or 1.0)
            cell = int(entry.get("pod_group") or 0)
            kind, zone = self._kinds.get(entry.get("model"), 0), self._zones.get(entry.get("az"), 0)
        except (KeyError, TypeError, ValueError, AttributeError):
            COUNTS["discovery.bad_entry"] += 1  # the other entries are still used
            return None
        if uid not in self._numbers:
            self._last_number += 1
            self._numbers[uid] = self._last_number
        number = self._numbers[uid]
        self.processes[number] = ServerProcess(address, started_ns)
        self.zones[number], self.uid_hashes[number] = zone, crc32(uid.encode())
        return interface.Server(number, state, started_ns, weight, kind, zone, cell)


class AgentStream(Stream):
    """A connection to the agent, or to the counter; calls are pipelined, and each returns a Deferred."""

    def __init__(self, pool: BufferPool) -> None:
        """Start without calls; answers are read into buffers of `pool`."""
        self.http1 = ClientConnection(pool)

    def call(self, target: bytes, host_line: bytes, method: bytes = b"GET") -> Deferred[Response]:
        """Send a request; returns a Deferred that fires with the response, or fails with the reason of the close."""
        result: Deferred[Response] = Deferred()
        self.http1.add_request(result)
        self.send(write_request(method, target, host_line))
        return result

    def dataReceived(self, data: bytes) -> None:
        """Take bytes, and report the responses among them."""
        for result, response in self.http1.receive(data):
            result.callback(response)
        if self.http1.protocol_error:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        """Report the calls without a response."""
        super().connectionLost(reason)
        for result, response in self.http1.on_closed(reason.check(ConnectionDone) is not None):
            result.callback(response)
        while self.http1.pending:
            self.http1.pending.popleft().errback(reason)


def backoff(start: interface.Start) -> Backoff:
    """Return the pauses between the calls of a watcher.

    If the list must be requested, the whole fleet calls one discovery service, which backoff protects.  If changes are
    pushed, the agent of this machine serves this ingress alone, and short pauses keep the time without a watch, in
    which no change is seen, short.
    """
    max_bound_s = MAX_PAUSE_SHARE * start.list_ask_within_ns / 1e9
    fleet_size = start.ingresses if start.list_on_request else 1
    return Backoff(start.seed, fleet_size, max_bound_s or float("inf"))


class Watcher:
    """Requests the changes since the known revision from one address, again and again.

    Attributes:
        reactor: the event loop.
        address: the agent's.
        directory: the list that is kept up to date.
        on_update: receives each update of the list.
        pauses: before the first call and between failed ones.
        needs_full_list: whether to request the complete list first.  This is so after a move, because the revisions of
            another discovery service need not continue the old ones.
        host_line: the Host header line of each request.
        buffers: where answers are read into.
        stream: the connection, if there is one.
        running: whether it has not been stopped.
        failing: whether the last call failed.
    """

    def __init__(
        self,
        reactor: Any,
        address: Address,
        buffers: BufferPool,
        directory: Directory,
        on_update: Callable[[interface.ServerNews], None],
        pauses: Backoff,
        needs_full_list: bool = False,
    ) -> None:
        """Prepare a watch; `start` begins it."""
        self.reactor, self.address, self.directory, self.on_update = reactor, address, directory, on_update
        self.pauses, self.needs_full_list = pauses, needs_full_list
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.buffers = buffers
        self.stream: AgentStream | None = None
        self.running = True
        self.failing = False

    def start(self) -> None:
        """Begin to watch."""
        self._loop = self._run()
        self._loop.addErrback(lambda failure: failure.trap(CancelledError))  # raised by a `stop` during a pause

    @inlineCallbacks
    def _run(self):  # type: ignore[no-untyped-def]
        """Call until stopped; no answer or error may end the loop, or the server list would never change again."""
        # The whole fleet may start at once; a move to another address concerns this ingress only.
        if not self.needs_full_list and self.pauses.shared:
            yield deferLater(self.reactor, self.pauses.pause())
        while self.running:
            try:
                response = yield self._request_list()
                update = self._read(response)
                self.pauses.succeeded()
                if self.failing:
                    self.failing = False
                    log("discovery back", rev=self.directory.rev)
                if update is not None:
                    self.on_update(update)
            except Exception as err:
                if not self.running:
                    return  # the interrupted call is no failure, and is not retried
                COUNTS["discovery.failed"] += 1
                if not self.failing:
                    self.failing = True
                    log("discovery failing", why=f"{type(err).__name__}: {err}")
                self.disconnect()
                yield deferLater(self.reactor, self.pauses.pause())

    def _read(self, response: Response) -> interface.ServerNews | None:
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        raw = orjson.loads(response.body)
        if self.needs_full_list and not (isinstance(raw, dict) and raw.get("all") is True):
            # Changes do not apply without the list that they belong to.
            raise ValueError("all: expected the whole list")
        update = self.directory.read(raw)
        self.needs_full_list = False
        COUNTS["discovery.answered"] += 1
        if update.news == interface.News.CHANGES and not update.servers:
            return None  # the watch timed out without changes
        return update

    @inlineCallbacks
    def _request_list(self):  # type: ignore[no-untyped-def]
        if self.stream is None or not self.stream.connected or not self.stream.http1.reusable:
            self.stream = yield dial(self.reactor, self.address, partial(AgentStream, self.buffers), CONNECT_TIMEOUT_S)
        target, timeout_s = b"/registry/instances", FULL_LIST_TIMEOUT_S
        if not self.needs_full_list:
            target += b"?after=%d&wait_ms=%d" % (self.directory.rev, WATCH_TIMEOUT_MS)
            timeout_s = WATCH_TIMEOUT_MS / 1000 + WATCH_ANSWER_MARGIN_S
        call = self.stream.call(target, self.host_line)
        call.addTimeout(timeout_s, self.reactor)
        response = yield call
        return response

    def disconnect(self) -> None:
        """Close the connection, if there is one."""
        if self.stream is not None and self.stream.connected:
            self.stream.transport.abortConnection()
        self.stream = None

    def stop(self) -> None:
        """Stop watching: cancels a connect, a call or a pause, and reports nothing more."""
        self.running = False
        self.disconnect()
        self._loop.cancel()
