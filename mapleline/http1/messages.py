"""The messages that the readers give: a request and a response."""

from __future__ import annotations

from dataclasses import dataclass

from .headers import Headers


@dataclass(slots=True)
class Request:
    """A request, with the whole body or with the beginning of it."""

    method: bytes
    target: bytes  #: in origin form (RFC 9112, section 3.2.1)
    headers: Headers  #: names in lower case
    body: bytes
    keep_alive: bool  #: the client keeps the connection for further requests
    is_streamed: bool = False  #: `body` is what has arrived, the rest follows as it arrives
    minor_version: bytes = b"1"  #: of the version, HTTP/1.x
    length: int | None = 0  #: of the whole body where `is_streamed` is set, in bytes; None with the chunked coding


@dataclass(slots=True)
class Response:
    """A final response, with the whole body or with the beginning of it."""

    status: int
    headers: Headers  #: names in lower case
    body: bytes
    keep_alive: bool  #: the server keeps the connection for further requests
    is_streamed: bool = False  #: `body` is what has arrived, the rest follows as it arrives
    length: int | None = None  #: of the whole body, in bytes, where it is known beforehand
