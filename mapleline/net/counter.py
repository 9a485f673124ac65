"""The quota counter: calls pipelined over a few connections, one name always on the same one."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.python.failure import Failure

from ..engine import CounterCall, Engine
from ..http1 import BufferPool, ClientConnection, Response, write_request
from ..policy.interface import Result
from ..settings.platform import Address
from ..telemetry import COUNTS
from .dial import dial
from .streams import Stream

CONNECTIONS = 16  # of the 32 that the counter holds for an ingress: one that is slow to die takes no room
DEAD_S = 1.0  # a connection whose oldest call waits longer is given up: its machine may be gone for good
MOST_LIFE_MS = 60_000
NOTHING_ADDED = (400, 404, 503)
TOTAL = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][+-]?[0-9]{1,2})?")  # no nan, no inf
MOST_QUEUED = 256  # calls that wait for one connection


def read_total(response: Response) -> float | None:
    """The total that an answer holds, if it says that the amount was added and to what."""
    total = TOTAL.fullmatch(response.body) if response.status == 200 else None
    return None if total is None else float(total[0])


class CounterStream(Stream):
    """One connection; answers come in the order of the calls."""

    def __init__(self, lane: Lane) -> None:
        self.lane = lane
        self.machine = ClientConnection(lane.driver.buffers)
        self.last = False  #: it closes with the answer to its last call
        self.closing: Any = None  #: or when this goes off

    def call(self, call: CounterCall) -> None:
        life_ms = max(1, min(MOST_LIFE_MS, -(-call.ttl_ns // 1_000_000)))
        amount = format(call.amount, ".7g").encode()
        target = b"/v2/numbers/%016x?delta=%b&life_ms=%d" % (call.name, amount, life_ms)
        call.is_written = True
        self.machine.add_request(call)
        self.send(write_request(b"POST", target, self.lane.driver.host_line))

    def dataReceived(self, data: bytes) -> None:
        readable = True
        for call, response in self.machine.receive(data):
            readable = self.lane.driver.answered(call, response) and readable
        if self.machine.protocol_error:
            COUNTS["counter.malformed"] += 1
        if not self.machine.reusable or not readable:
            # Calls behind the answer may have been added, and no answer of theirs can be trusted.
            self.lane.part(self)
            self.transport.abortConnection()
        elif self.last:
            self.close_when_done()

    def close_when_done(self) -> None:
        """At once where nothing is out, and after a while all the same: the old counter may never answer."""
        if not self.machine.pending:
            self.transport.loseConnection()
        elif self.closing is None:
            self.closing = self.lane.driver.reactor.callLater(DEAD_S, self.transport.abortConnection)

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.machine.on_closed(False)
        self.lane.part(self)
        if self.closing is not None and self.closing.active():
            self.closing.cancel()
        # Each of them may have been added, but for the last one if the kernel never took all of it.
        unsent = 0 if self.is_flushed else 1
        calls = list(self.machine.pending)
        for n, call in enumerate(calls):
            sure = n >= len(calls) - unsent
            self.lane.driver.engine.handle_counter_result(call, Result.NO_CONNECTION if sure else Result.TIMEOUT)


class Lane:
    """The names that share one connection to one address."""

    def __init__(self, driver: CounterDriver) -> None:
        self.driver = driver
        self.retired = False  #: the counter has moved: nothing new goes this way
        self.stream: CounterStream | None = None
        self.dialing = False
        self.queue: deque[CounterCall] = deque()  # until the connection is up

    def add(self, call: CounterCall) -> None:
        if self.stream is not None:
            return self.stream.call(call)
        if len(self.queue) >= MOST_QUEUED:
            return self.driver.engine.handle_counter_result(call, Result.NO_CONNECTION)
        self.queue.append(call)
        if not self.dialing:
            self.dialing = True
            COUNTS["counter.dialed"] += 1
            driver = self.driver
            dialed = dial(driver.reactor, driver.address, lambda: CounterStream(self), driver.dial_timeout_s)
            dialed.addBoth(self._dialed)

    def _dialed(self, stream: CounterStream | Failure) -> None:
        self.dialing = False
        queue, self.queue = self.queue, deque()
        if self.retired:
            if not isinstance(stream, Failure):
                stream.transport.abortConnection()  # nothing was written on it, and its calls have moved on
            return
        if isinstance(stream, Failure):
            COUNTS["counter.dial_failed"] += 1
            for call in queue:
                if not call.is_finished:
                    self.driver.engine.handle_counter_result(call, Result.NO_CONNECTION)
            return
        self.stream = stream
        for call in queue:
            if not call.is_finished:  # one that ran out of time unsent was told as never added
                stream.call(call)

    def part(self, stream: CounterStream) -> None:
        if self.stream is stream:
            self.stream = None

    def retire(self) -> list[CounterCall]:
        """What is written here finishes here; returns the calls that are not written, in their order."""
        self.retired = True
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.last = True
            stream.close_when_done()
        unwritten, self.queue = [call for call in self.queue if not call.is_finished], deque()
        return unwritten


class CounterDriver:
    """The engine's QuotaCounter."""

    def __init__(
        self,
        reactor: Any,
        engine: Engine,
        clock: Callable[[], int],
        buffers: BufferPool,
        address: Address,
        dial_timeout_s: float,
        connections: int = CONNECTIONS,
    ) -> None:
        self.reactor, self.engine, self.clock, self.buffers = reactor, engine, clock, buffers
        self.dial_timeout_s = dial_timeout_s
        self.connections = connections
        self.lanes: list[Lane] = []
        self.move(address)

    def move(self, address: Address) -> None:
        """Calls go to this address from now on, unwritten ones too; the others finish where they are."""
        unwritten = [call for lane in self.lanes for call in lane.retire()]
        self.address = address
        self.host_line = b"Host: %b:%d\r\n" % (address[0].encode(), address[1])
        self.lanes = [Lane(self) for _ in range(self.connections)]
        for call in unwritten:
            self.add(call)

    def add(self, call: CounterCall) -> None:
        self.lanes[call.name % self.connections].add(call)

    def answered(self, call: CounterCall, response: Response) -> bool:
        """Tell what the answer says; False if it says nothing that can be read."""
        if response.status in NOTHING_ADDED:
            self.engine.handle_counter_result(call, Result.REJECTED)
            return True
        total = read_total(response)
        if total is not None:
            self.engine.handle_counter_result(call, Result.OK, total)
        else:
            # Added, though it does not say to what: to the module that is a call without an answer, whose
            # amount it must not add a second time.
            COUNTS["counter.malformed"] += 1
            self.engine.handle_counter_result(call, Result.TIMEOUT)
        return total is not None

    def expire(self, call: CounterCall) -> None:
        """Its time has run out: if its connection has long been silent, the next calls take a new one."""
        lane = self.lanes[call.name % self.connections]
        stream = lane.stream
        calls = stream.machine.pending if stream is not None else ()
        if calls and self.clock() - calls[0].created_ns > DEAD_S * 1e9:
            COUNTS["counter.given_up"] += 1
            lane.part(stream)
            stream.transport.abortConnection()
