"""Client of the platform's instance list: fetches it page by page, one fetch at a time.

All nodes share the platform's rate limit, so only the leader fetches the list regularly (`endpoint_poller`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import msgspec
from twisted.internet.protocol import connectionDone

from ...http1 import BufferPool, ClientConnection, Response
from ...net.dial import dial
from ...net.streams import Stream
from .endpoints import InstancePage, ListedInstance, decode_page

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from ..clock import Reactor
    from ..settings import Settings
    from .endpoints import EndpointList

#: A page that takes longer is aborted, and the fetch fails.
REQUEST_TIMEOUT_S = 1.0

#: Between two fetches of the leader: all nodes must know a change in under 3 s (docs/design/system.md, Bounds, DRAIN).
POLL_INTERVAL_S = 0.8

#: Between two fetches before the first list is known.
EMPTY_POLL_INTERVAL_S = 0.2

#: A node with an older list may fetch it itself: the leader is lost, or cannot be reached from here.
STALE_AFTER_S = 2.0

#: Bound of one page.
MAX_RESPONSE_BYTES = 1 << 24

#: Number of free buffers kept; connections are not reused, so few are needed.
MAX_FREE_BUFFERS = 2


@dataclass(frozen=True, slots=True)
class _Fetch:
    """A fetch in progress: when it began, in seconds, and the instances of the pages received so far."""

    began_at: float
    instances: list[ListedInstance] = field(default_factory=list)


class _PageConnection(Stream):
    """A connection for one page; `on_response` is called once, with None if there is no complete response."""

    transport: Any  # Twisted's interfaces declare methods without self, which mypy takes for attributes

    def __init__(self, pool: BufferPool, on_response: Callable[[Response | None], None]) -> None:
        self._http: ClientConnection[None] = ClientConnection(pool, MAX_RESPONSE_BYTES)
        self._on_response: Callable[[Response | None], None] | None = on_response

    def request(self, data: bytes) -> None:
        """Send an encoded GET request."""
        self._http.add_request(None)
        self.send(data)

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes (called by Twisted)."""
        for _, response in self._http.receive(data):
            self.transport.loseConnection()
            self._finish(response)
            return
        if not self._http.reusable:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Handle the end of the connection (called by Twisted)."""
        super().connectionLost(reason)
        self._finish(None)

    def _finish(self, response: Response | None) -> None:
        on_response = self._on_response
        self._on_response = None
        if on_response is not None:
            on_response(response)


class PlatformClient:
    """Fetches the list and stores it in `endpoints`."""

    def __init__(
        self, reactor: Reactor, settings: Settings, endpoints: EndpointList, on_listed: Callable[[bool], None]
    ) -> None:
        """Create an idle client; `on_listed` is called after each complete fetch, with whether the list has changed."""
        self.reactor = reactor
        self.settings = settings
        self.endpoints = endpoints
        self.on_listed = on_listed
        self._pool = BufferPool(max_free=MAX_FREE_BUFFERS)
        self._is_fetching = False

    def fetch(self) -> None:
        """Start to fetch the complete list, unless a fetch is in progress."""
        if not self._is_fetching:
            self._is_fetching = True
            self._request_page(_Fetch(self.reactor.seconds()), "")

    def _request_page(self, fetch: _Fetch, token: str) -> None:
        address = self.settings.cloud_api.address
        connections: list[_PageConnection] = []

        def on_response(response: Response | None) -> None:
            if timeout.active():
                timeout.cancel()
            self._on_page(fetch, _decode_response(response))

        def on_connected(connection: _PageConnection) -> None:
            connections.append(connection)
            connection.request(_encode_request(address, token))

        def abort() -> None:
            if connections:
                connections[0].transport.abortConnection()

        connected: Deferred[_PageConnection] = dial(
            self.reactor, address, lambda: _PageConnection(self._pool, on_response), REQUEST_TIMEOUT_S
        )
        timeout = self.reactor.callLater(REQUEST_TIMEOUT_S, abort)
        connected.addCallbacks(on_connected, lambda _: on_response(None))

    def _on_page(self, fetch: _Fetch, page: InstancePage | None) -> None:
        if page is None:
            self._is_fetching = False
            return
        fetch.instances.extend(page.instance_list)
        if page.next_token:
            self._request_page(fetch, page.next_token)
            return
        self._is_fetching = False
        has_changed = self.endpoints.update_from_platform(fetch.began_at, fetch.instances)
        self.on_listed(has_changed)


def _encode_request(address: tuple[str, int], token: str) -> bytes:
    host, port = address
    path = "/instances" + (f"?page_token={quote(token)}" if token else "")
    return f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode()


def _decode_response(response: Response | None) -> InstancePage | None:
    if response is None or response.status != 200:
        return None
    try:
        return decode_page(response.body)
    except msgspec.DecodeError:
        return None
