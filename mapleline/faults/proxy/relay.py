"""A relayed TCP connection: two sockets, and a queue of chunks for each direction."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from ..addresses import CONNECT_TIMEOUT_S, LOOPBACK
from ..modes import LinkMode
from ..reactor import StreamTransport

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress, IConnector
    from twisted.python.failure import Failure

    from ...balancer.clock import DelayedCall
    from .link import Link

REQUEST_MARKER = b"X-Request-ID"  # header of every request of the load, also when an ingress forwards it


@dataclass(frozen=True, slots=True)
class Chunk:
    """Bytes that may be forwarded at `due`, in seconds of the reactor's clock."""

    due: float
    data: bytes


class ChunkQueue:
    """The waiting chunks of one direction of one connection, in order."""

    def __init__(self, link: Link, is_upward: bool) -> None:
        """Initialise an empty queue; upward is from the client to the server."""
        self.destination: StreamTransport | None = None  #: receiver of the chunks; None until connected
        self._link = link
        self._is_upward = is_upward
        self._chunks: deque[Chunk] = deque()
        self._last_due = 0.0
        self._timer: DelayedCall | None = None

    def push(self, data: bytes) -> None:
        """Forward a chunk as soon as the link's fault permits; a blackhole drops it."""
        link = self._link
        if self._is_upward:
            self._report_unanswered(data)
        if link.fault is not None and link.fault.mode == LinkMode.BLACKHOLE:
            return
        self._last_due = link.due_time(len(data), self._last_due)
        self._chunks.append(Chunk(self._last_due, data))
        self.flush()

    def flush(self) -> None:
        """Forward all chunks that are due, and set the timer for the next one."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if self.destination is None or self._link.blocks(self._is_upward):
            return
        now = self._link.reactor.seconds()
        while self._chunks and self._chunks[0].due <= now:
            self.destination.write(self._chunks.popleft().data)
        if self._chunks:
            self._timer = self._link.reactor.callLater(self._chunks[0].due - now, self.flush)

    def clear(self) -> None:
        """Drop all waiting chunks."""
        self._chunks.clear()

    def has_request(self) -> bool:
        """Return whether a waiting chunk contains a request."""
        return any(REQUEST_MARKER in chunk.data for chunk in self._chunks)

    def _report_unanswered(self, data: bytes) -> None:
        link = self._link
        if link.on_unanswered_request is None or link.fault is None:
            return
        if link.fault.is_unanswered and REQUEST_MARKER in data:
            link.on_unanswered_request()


class RelayedConnection:
    """A client's connection to the link, and the link's connection to its target."""

    def __init__(self, link: Link, client_transport: StreamTransport) -> None:
        """Add this connection to the link's connections; `dial` connects to the target."""
        self.is_dialled = False  #: whether a connection to the target has been tried
        self.upward = ChunkQueue(link, is_upward=True)
        self.downward = ChunkQueue(link, is_upward=False)
        self.downward.destination = client_transport
        self._link = link
        self._client_transport = client_transport
        self._server_transport: StreamTransport | None = None
        self._is_closed = False
        link.connections.add(self)

    def dial(self) -> None:
        """Connect to the target; while the link is unreachable, no connection is established."""
        if self._link.is_unreachable() or self.is_dialled:
            return
        self.is_dialled = True
        factory = ServerSideFactory(self)
        self._link.reactor.connectTCP(LOOPBACK, self._link.target_port, factory, timeout=CONNECT_TIMEOUT_S)

    def handle_connected(self, server_transport: StreamTransport) -> None:
        """Attach the connected server side and send the chunks that wait for it."""
        if self._is_closed:
            server_transport.abortConnection()
            return
        self._server_transport = server_transport
        self.upward.destination = server_transport
        self.upward.flush()

    def handle_refused(self) -> None:
        """Reset the client side because the target refused the connection."""
        if self._link.on_unanswered_request is not None and self.upward.has_request():
            self._link.on_unanswered_request()
        self.abort()

    def handle_closed(self) -> None:
        """Close the other side after one side has closed, once all written bytes have been sent."""
        if self._is_closed:
            return
        self._detach()
        for transport in self._transports():
            transport.loseConnection()

    def abort(self) -> None:
        """Reset both sides."""
        self._detach()
        for transport in self._transports():
            transport.abortConnection()

    def flush(self) -> None:
        """Forward all chunks that are due, in both directions."""
        self.upward.flush()
        self.downward.flush()

    def drop_chunks(self) -> None:
        """Drop all waiting chunks, in both directions."""
        self.upward.clear()
        self.downward.clear()

    def _detach(self) -> None:
        self._is_closed = True
        self._link.connections.discard(self)

    def _transports(self) -> list[StreamTransport]:
        if self._server_transport is None:
            return [self._client_transport]
        return [self._client_transport, self._server_transport]


class ClientSide(Protocol):
    """The connection from the client to the link."""

    transport: StreamTransport  # type: ignore[assignment]  # set before any method is called
    _connection: RelayedConnection

    def __init__(self, link: Link) -> None:
        """Initialise; `link` accepted the connection."""
        self._link = link

    def connectionMade(self) -> None:
        """Connect to the target, or reset the connection under a `reset` fault."""
        self._connection = RelayedConnection(self._link, self.transport)
        if self._link.fault is not None and self._link.fault.mode == LinkMode.RESET:
            self.transport.abortConnection()
            return
        self._connection.dial()

    def dataReceived(self, data: bytes) -> None:
        """Relay bytes to the target."""
        self._connection.upward.push(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the other side."""
        self._connection.handle_closed()


class ServerSide(Protocol):
    """The connection from the link to the target."""

    transport: StreamTransport  # type: ignore[assignment]  # set before any method is called

    def __init__(self, connection: RelayedConnection) -> None:
        """Initialise; `connection` holds both sides."""
        self._connection = connection

    def connectionMade(self) -> None:
        """Attach this side and send the waiting chunks."""
        self._connection.handle_connected(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Relay bytes to the client."""
        self._connection.downward.push(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Close the other side."""
        self._connection.handle_closed()


class ServerSideFactory(ClientFactory):
    """Creates the protocol of one connection to the target."""

    def __init__(self, connection: RelayedConnection) -> None:
        """Initialise; `connection` holds both sides."""
        self._connection = connection

    def buildProtocol(self, addr: IAddress | None) -> ServerSide:
        """Return the protocol of the connection."""
        return ServerSide(self._connection)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report that the target refused the connection."""
        self._connection.handle_refused()
