"""The messages that the readers return: requests and responses."""

from __future__ import annotations

from dataclasses import dataclass

from .headers import Headers


@dataclass(slots=True)
class Request:
    """A request with its whole body, or with the beginning of a streamed body."""

    method: bytes
    target: bytes  #: in origin form (RFC 9112, section 3.2.1)
    headers: Headers  #: names in lower case
    body: bytes
    keep_alive: bool  #: whether the client keeps the connection for further requests
    is_streamed: bool = False  #: whether `body` is only the part received so far and the rest is streamed
    minor_version: bytes = b"1"  #: the x of the version HTTP/1.x
    length: int | None = 0  #: bytes of the whole body if `is_streamed` is set; None with chunked coding


@dataclass(slots=True)
class Response:
    """A final response with its whole body, or with the beginning of a streamed body."""

    status: int
    headers: Headers  #: names in lower case
    body: bytes
    keep_alive: bool  #: whether the server keeps the connection for further requests
    is_streamed: bool = False  #: whether `body` is only the part received so far and the rest is streamed
    length: int | None = None  #: bytes of the whole body, if known in advance
