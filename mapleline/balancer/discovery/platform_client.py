"""The platform's list, fetched page by page within the rate that all ingresses share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from urllib.parse import quote

import msgspec
from twisted.python.failure import Failure

from ...http1.buffers import BufferPool
from ...http1.client import ClientConnection
from ...http1.messages import Response
from ...net.dial import dial
from ...net.streams import Stream
from ..settings import Settings
from .endpoints import EndpointList, ListedInstance, read_page

CALL_S = 1.0
EVERY_S, STALE_S, FIRST_S = 0.8, 2.0, 0.2
WHOLE = 1 << 24


class _Asking(Stream):
    def __init__(self, pool: BufferPool, done: Callable[[Response | None], None]) -> None:
        self.machine, self.done = ClientConnection(pool, WHOLE), done

    def ask(self, data: bytes) -> None:
        self.machine.called(None)
        self.send(data)

    def _end(self, response: Response | None) -> None:
        done, self.done = self.done, lambda _: None
        done(response)

    def dataReceived(self, data: bytes) -> None:
        for _, response in self.machine.receive(data):
            self.transport.loseConnection()
            return self._end(response)
        if not self.machine.reusable:
            self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        super().connectionLost(reason)
        self._end(None)


class PlatformClient:
    """`listed(changed)` is called when a whole list has come into the catalogue."""

    def __init__(
        self, reactor: Any, settings: Settings, endpoints: EndpointList, listed: Callable[[bool], None]
    ) -> None:
        self.reactor, self.settings, self.endpoints, self.listed = reactor, settings, endpoints, listed
        self.pool = BufferPool(kept=2)
        self.busy = False

    def fetch(self) -> None:
        """Ask for the whole list, unless a question is out."""
        if not self.busy:
            self.busy = True
            self._page("", [], self.reactor.seconds())

    def _page(self, token: str, found: list[ListedInstance], began: float) -> None:
        host, port = self.settings.cloud_api.address
        path = "/instances" + (f"?page_token={quote(token)}" if token else "")
        data = f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\nConnection: close\r\n\r\n".encode()

        def done(response: Response | None) -> None:
            if timer.active():
                timer.cancel()
            page = None
            if response is not None and response.status == 200:
                try:
                    page = read_page(response.body)
                except msgspec.DecodeError:
                    page = None
            if page is None:
                self.busy = False
                return
            found.extend(page.instance_list)
            if page.next_token:
                return self._page(page.next_token, found, began)
            self.busy = False
            self.listed(self.endpoints.take_list(began, found))

        made: list[_Asking] = []
        dialed = dial(self.reactor, (host, port), lambda: _Asking(self.pool, done), CALL_S)

        def up(line: _Asking) -> None:
            made.append(line)
            line.ask(data)

        timer = self.reactor.callLater(CALL_S, lambda: made[0].transport.abortConnection() if made else None)
        dialed.addCallbacks(up, lambda _: done(None))
