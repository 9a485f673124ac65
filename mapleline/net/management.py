"""The management listener: HTTP/1.1 on an address of its own, one call per connection (docs/operations.md)."""

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

MAX_CONNECTIONS = 16  # one more replaces the connection that has been open longest
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 2  # reserved: also for the listener and a connection being accepted
CALL_TIMEOUT_S = 5.0  # from connecting to the end of the call
LINGER_S = 1.0  # for the client to read its answer and close

Answer = tuple[int, dict[str, Any]]


class ManagementListener(Factory):
    """Serves the calls of operators: readiness, drain and resume.

    Attributes:
        remaining_counts: returns, by name, the counts that fall to 0 during a drain.
        connections: the open connections, the oldest first.
        port: the listening port; None without a management address.
    """

    noisy = False

    def __init__(
        self, reactor: Any, lifecycle: Lifecycle, pool: BufferPool, remaining_counts: Callable[[], dict[str, int]]
    ) -> None:
        """Prepare the calls; the caller opens the port."""
        self.reactor, self.lifecycle, self.pool, self.remaining_counts = reactor, lifecycle, pool, remaining_counts
        self.connections: dict[ManagementConnection, None] = {}
        self.port: Any = None
        self._calls: dict[bytes, tuple[bytes, Callable[[], Answer]]] = {
            b"/-/ready": (b"GET", self._ready),
            b"/-/drain": (b"POST", self._drain),
            b"/-/resume": (b"POST", self._resume),
        }

    def buildProtocol(self, addr: Any) -> ManagementConnection:
        """Return the protocol of a new connection; at the limit the oldest connection is closed first."""
        if len(self.connections) >= MAX_CONNECTIONS:
            COUNTS["door.closed_for_room"] += 1
            next(iter(self.connections)).abort()
        return ManagementConnection(self)

    def answer(self, request: Request) -> tuple[Answer, bytes]:
        """Return the answer to a call and further header lines."""
        method, call = self._calls.get(request.target.partition(b"?")[0], (b"", None))
        if call is None:
            return (404, {"error": "no such call", "calls": self._call_names()}), b""
        if request.method != method:
            return (405, {"error": f"use {method.decode()}"}), b"Allow: %b\r\n" % method
        return call(), b""

    def _call_names(self) -> list[str]:
        return [f"{method.decode()} {path.decode()}" for path, (method, _) in self._calls.items()]

    def _state(self, **more: object) -> dict[str, Any]:
        return {"state": self.lifecycle.phase.value, **more, **self.remaining_counts()}

    def _ready(self) -> Answer:
        return 200 if self.lifecycle.is_ready else 503, self._state(ready=self.lifecycle.is_ready)

    def _drain(self) -> Answer:
        return self._command_answer("drain", self.lifecycle.drain(self.reactor.seconds()))

    def _resume(self) -> Answer:
        return self._command_answer("resume", self.lifecycle.resume())

    def _command_answer(self, command: str, is_accepted: bool) -> Answer:
        COUNTS[f"door.{command}"] += is_accepted
        log("door", order=command, done=is_accepted, state=self.lifecycle.phase.value)
        if not is_accepted:
            return 409, self._state(error="this process has been told to leave")
        return 200, self._state(ready=self.lifecycle.is_ready)


class ManagementConnection(Stream):
    """One connection with one call."""

    def __init__(self, listener: ManagementListener) -> None:
        self.listener = listener
        self.http1 = ServerConnection(listener.pool)
        self.is_answered = False

    def connectionMade(self) -> None:
        """Add the connection, and start the timeout of the call."""
        super().connectionMade()
        self.listener.connections[self] = None
        self.timeout = self.listener.reactor.callLater(CALL_TIMEOUT_S, self.abort)

    def dataReceived(self, data: bytes) -> None:
        """Answer the call once it is complete."""
        if self.is_answered:
            return  # discarded: closing with bytes unread resets the connection and may lose the answer
        self.http1.receive(data)
        lines = b""
        try:
            request = self.http1.next_request()
            if request is None:
                return
            (status, body), lines = self.listener.answer(request)
        except RemoteProtocolError as err:
            status, body = err.status, {"error": err.reason}
        self.is_answered = True
        COUNTS[f"door.answered.{status}"] += 1
        self.http1.clear()
        lines += b"Content-Type: application/json\r\n"
        self.send(self.http1.answer(status, orjson.dumps(body) + b"\n", lines))
        self.transport.loseWriteConnection()
        self.timeout.reset(LINGER_S)

    def abort(self) -> None:
        """Close the connection: its timeout has passed, or its place is needed."""
        if not self.is_answered:
            COUNTS["door.silent"] += 1
        # Frees the descriptor before the next connection is accepted.
        self.transport.connectionLost(Failure(ConnectionAborted()))

    def connectionLost(self, reason: Failure) -> None:
        """Remove the connection and cancel its timeout."""
        super().connectionLost(reason)
        self.http1.clear()
        self.listener.connections.pop(self, None)
        if self.timeout.active():
            self.timeout.cancel()
