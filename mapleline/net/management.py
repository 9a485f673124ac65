"""The operators' door: one more address, HTTP/1.1, one call a connection (docs/operations.md)."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from ..http1 import BufferPool, RemoteProtocolError, Request, ServerConnection
from ..lifecycle import Lifecycle
from ..telemetry import COUNTS, log
from .streams import Stream

MOST_CALLERS = 16  # connections at once; for one more the longest silent one goes
DESCRIPTORS = MOST_CALLERS + 2  # set aside: with the listener, and one that is on its way in
ASK_S = 5.0  # from connecting to the end of the call
LINGER_S = 1.0  # for the caller to read its answer and close

Answer = tuple[int, dict[str, Any]]


class Door(Factory):
    """What operators may ask and order, and who is asking."""

    noisy = False

    def __init__(self, reactor: Any, life: Lifecycle, pool: BufferPool, held: Callable[[], dict[str, int]]) -> None:
        """`held` gives what an operator wants to see fall during a drain, by name."""
        self.reactor, self.life, self.pool, self.held = reactor, life, pool, held
        self.callers: dict[Caller, None] = {}  # the longest there first
        self.port: Any = None
        self._calls: dict[bytes, tuple[bytes, Callable[[], Answer]]] = {
            b"/-/ready": (b"GET", self._ready),
            b"/-/drain": (b"POST", self._drain),
            b"/-/resume": (b"POST", self._resume),
        }

    def buildProtocol(self, addr: Any) -> Caller:
        if len(self.callers) >= MOST_CALLERS:
            COUNTS["door.closed_for_room"] += 1
            next(iter(self.callers)).end()
        return Caller(self)

    def answer(self, request: Request) -> tuple[Answer, bytes]:
        """What a call is answered, and header lines that go with it.  Raises RemoteProtocolError."""
        method, call = self._calls.get(request.target.partition(b"?")[0], (b"", None))
        if call is None:
            return (404, {"error": "no such call", "calls": self._listed()}), b""
        if request.method != method:
            return (405, {"error": f"use {method.decode()}"}), b"Allow: %b\r\n" % method
        return call(), b""

    def _listed(self) -> list[str]:
        return [f"{method.decode()} {path.decode()}" for path, (method, _) in self._calls.items()]

    def _state(self, **more: object) -> dict[str, Any]:
        return {"state": self.life.phase.value, **more, **self.held()}

    def _ready(self) -> Answer:
        return 200 if self.life.is_ready else 503, self._state(ready=self.life.is_ready)

    def _drain(self) -> Answer:
        return self._ordered("drain", self.life.drain(self.reactor.seconds()))

    def _resume(self) -> Answer:
        return self._ordered("resume", self.life.resume())

    def _ordered(self, order: str, done: bool) -> Answer:
        COUNTS[f"door.{order}"] += done
        log("door", order=order, done=done, state=self.life.phase.value)
        if not done:
            return 409, self._state(error="this process has been told to leave")
        return 200, self._state(ready=self.life.is_ready)


class Caller(Stream):
    """One call."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.machine = ServerConnection(door.pool)
        self.answered = False

    def connectionMade(self) -> None:
        super().connectionMade()
        self.door.callers[self] = None
        self.timer = self.door.reactor.callLater(ASK_S, self.end)

    def dataReceived(self, data: bytes) -> None:
        if self.answered:
            return  # read, so that closing does not cost the caller its answer, and passed over
        self.machine.receive(data)
        lines = b""
        try:
            request = self.machine.next_request()
            if request is None:
                return
            (status, body), lines = self.door.answer(request)
        except RemoteProtocolError as err:
            status, body = err.status, {"error": err.reason}
        self.answered = True
        COUNTS[f"door.answered.{status}"] += 1
        self.machine.clear()
        lines += b"Content-Type: application/json\r\n"
        self.send(self.machine.answer(status, orjson.dumps(body) + b"\n", lines))
        self.transport.loseWriteConnection()
        self.timer.reset(LINGER_S)

    def end(self) -> None:
        """Whoever has not asked, or not closed, has had its time."""
        if not self.answered:
            COUNTS["door.silent"] += 1
        # At once, so that its descriptor is free before the next caller is let in.
        self.transport.connectionLost(Failure(ConnectionAborted()))

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self.machine.clear()
        self.door.callers.pop(self, None)
        if self.timer.active():
            self.timer.cancel()
