"""One connection of a client to an ingress, and the responses it reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from ..reactor import StreamTransport
from .request import LoadRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import IAddress, IConnector
    from twisted.python.failure import Failure

    from .generator import LoadGenerator

HEAD_END = b"\r\n\r\n"
CONTENT_LENGTH_HEADER = b"content-length:"
CLOSE_HEADER = b"connection: close"
UNKNOWN_OUTCOME_HEADER = b"x-outcome: unknown"
STATUS_START, STATUS_END = len(b"HTTP/1.1 "), len(b"HTTP/1.1 200")


@dataclass(frozen=True, slots=True)
class Response:
    """The parts of a response that a client uses."""

    status: int
    body: bytes
    is_closing: bool
    is_outcome_unknown: bool


class ResponseReader:
    """Parses responses from the received bytes."""

    def __init__(self) -> None:
        """Initialise with an empty buffer."""
        self._received = b""

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._received += data

    def next_response(self) -> Response | None:
        """Remove and return the first response; None until it is complete."""
        head_size = self._received.find(HEAD_END)
        if head_size < 0:
            return None
        head = self._received[:head_size].lower()
        body_start = head_size + len(HEAD_END)
        body_end = body_start + _content_length(head)
        if len(self._received) < body_end:
            return None
        response = Response(
            status=int(self._received[STATUS_START:STATUS_END]),
            body=self._received[body_start:body_end],
            is_closing=CLOSE_HEADER in head,
            is_outcome_unknown=UNKNOWN_OUTCOME_HEADER in head,
        )
        self._received = self._received[body_end:]
        return response


class LoadConnection(Protocol):
    """A connection that carries one request at a time."""

    transport: StreamTransport  # type: ignore[assignment]  # set before any method is called

    def __init__(self, load: LoadGenerator, ingress: str) -> None:
        """Initialise; `ingress` is the name of the connected ingress."""
        self.ingress = ingress
        self.request: LoadRequest | None = None  #: request in flight, if any
        self.was_used = False
        self.created_at = load.reactor.seconds()
        self._load = load
        self._reader = ResponseReader()

    def connectionMade(self) -> None:
        """Make the connection available to waiting requests."""
        self._load.handle_connected(self)

    def send(self, request: LoadRequest) -> None:
        """Send a request; no other request may be in flight on the connection."""
        self.was_used = True
        self.request = request
        self.transport.write(request.data)

    def dataReceived(self, data: bytes) -> None:
        """Read the response."""
        self._reader.receive(data)
        if self.request is None:
            return
        response = self._reader.next_response()
        if response is not None:
            request, self.request = self.request, None
            self._load.handle_response(self, request, response)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the connection and the unanswered request, if any."""
        request, self.request = self.request, None
        self._load.handle_closed(self, request)


class LoadConnectionFactory(ClientFactory):
    """Makes one connection to an ingress."""

    def __init__(self, load: LoadGenerator, ingress: str, on_failed: Callable[[str], None]) -> None:
        """Initialise; `on_failed` gets the ingress's name if the connection fails."""
        self._load = load
        self._ingress = ingress
        self._on_failed = on_failed

    def buildProtocol(self, addr: IAddress | None) -> LoadConnection:
        """Return the protocol of the connection."""
        return LoadConnection(self._load, self._ingress)

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        """Report that the connection failed."""
        self._on_failed(self._ingress)


def _content_length(head: bytes) -> int:
    """Return the content length in a lower-case head, in bytes; 0 without one."""
    at = head.find(CONTENT_LENGTH_HEADER)
    if at < 0:
        return 0
    return int(head[at + len(CONTENT_LENGTH_HEADER) :].partition(b"\r\n")[0])
