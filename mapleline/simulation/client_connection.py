"""Simulated connection of a client to an ingress: it carries one request and one response."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from .event_loop import ProcessReactor

#: called with the status, body and header lines; the status is `NO_RESPONSE` if the connection ended without a response
ResponseHandler: TypeAlias = Callable[[int, bytes, bytes], None]
NO_RESPONSE = 0


class IngressListener(StrEnum):
    """The listeners of an ingress that clients and operators use."""

    PROXY = "proxy"
    CONTROL = "control"
    DIRECTORY = "directory"


#: port by which the observer identifies each listener
PORTS = {IngressListener.PROXY: "8388", IngressListener.CONTROL: "8381", IngressListener.DIRECTORY: "8383"}


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of a client or an operator."""

    method: str
    path: str
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    listener: IngressListener = IngressListener.PROXY


class ClientConnection:
    """The ingress's side of the connection, with the interface that its request handlers use."""

    upload = None  #: never streamed: the body is complete when a request is handled

    def __init__(self, on_response: ResponseHandler, reactor: ProcessReactor) -> None:
        """Open a connection to the process that runs on `reactor`; `on_response` is called once."""
        self.reactor = reactor
        self.connected = True
        self._on_response: ResponseHandler | None = on_response

    def reply(self, status: int, body: bytes = b"", lines: bytes = b"") -> None:
        """Send the response; any further response is ignored."""
        on_response, self._on_response = self._on_response, None
        if on_response is not None:
            on_response(status, body, lines)
