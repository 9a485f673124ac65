"""Parser of the requests that a client sends (RFC 9112, section 3)."""

from __future__ import annotations

import re

from .bodies import ContentLengthBody
from .buffers import BufferPool
from .chunked import ChunkedBody
from .errors import RemoteProtocolError
from .head_reader import MAX_HEAD_BYTES
from .headers import TOKEN, Headers, content_length, is_persistent, parse_headers
from .message_reader import MAX_BODY_BYTES, MessageReader
from .messages import Request

#: Accepts a target in origin form or in absolute form (RFC 9112, section 3.2.2).  The authority of the absolute form
#: is ignored, since the Host field repeats it.
REQUEST_LINE = re.compile(
    rb"(" + TOKEN + rb") (?:[Hh][Tt][Tt][Pp]://[^\x00-\x20/?#@\x7f]+)?((?:/[\x21-\x7e]*)?) HTTP/1\.([01])"
)
#: uri-host [":" port] (RFC 9110, section 7.2).  Two joined Host fields contain a space, which this does not match.
HOST = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[!$&'()*+,;=\-._~%0-9A-Za-z]*)(?::[0-9]{0,5})?")


def parse_request_head(line: bytes, section: bytes, max_body_bytes: int) -> Request:
    """Return the request without its body; its `length` is None with the chunked coding.

    Raises:
        RemoteProtocolError: 400 for malformed or contradictory lines, 413 for a body above the limit, 501 for an
            unknown transfer coding.
    """
    match = REQUEST_LINE.fullmatch(line)
    if not match:
        raise RemoteProtocolError(400, "malformed request line")
    method, target, minor_version = match.groups()
    headers = parse_headers(section)
    if b"transfer-encoding" in headers:
        _check_chunked(minor_version, headers)
        length = None
    else:
        length = content_length(headers, max_body_bytes) or 0
    host = headers.get(b"host")
    if not HOST.fullmatch(host) if host is not None else minor_version == b"1":
        raise RemoteProtocolError(400, "no Host, two, or one that is none")  # RFC 9112, section 3.2
    keep_alive = is_persistent(minor_version, headers)
    return Request(method, target or b"/", headers, b"", keep_alive, False, minor_version, length)


def _check_chunked(minor_version: bytes, headers: Headers) -> None:
    """Reject a Transfer-Encoding that is ambiguous or anything but the chunked coding alone."""
    if b"content-length" in headers or minor_version == b"0":
        # Two recipients may disagree on where the message ends (RFC 9112, section 6.1).
        raise RemoteProtocolError(400, "Transfer-Encoding with Content-Length, or in HTTP/1.0")
    if headers[b"transfer-encoding"].lower() != b"chunked":
        raise RemoteProtocolError(501, "unknown transfer coding")


class RequestReader(MessageReader):
    """Incremental reader of requests."""

    __slots__ = ("_request", "expects_continue")

    def __init__(
        self,
        pool: BufferPool,
        stream_threshold_bytes: int = 0,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a reader; `MessageReader` describes the arguments."""
        super().__init__(pool, stream_threshold_bytes, False, max_head_bytes, max_body_bytes)
        self._request: Request | None = None  # the request whose body is arriving
        self.expects_continue = False  #: whether the client waits for a 100 to send the body (RFC 9110, section 10.1.1)

    def clear(self) -> None:
        """Drop all buffered input and release its buffers."""
        super().clear()
        self.expects_continue = False

    def next_request(self) -> Request | None:
        """Return the next request once it is complete or streamed, or None before that.

        Raises:
            RemoteProtocolError: if the request is rejected; the input after it cannot be parsed.
        """
        if self._body is None:
            head = self._next_head()
            if head is None:
                return None
            line, section, body_start = head
            request = parse_request_head(line, section, self._max_body_bytes)
            if request.length is not None:
                end = body_start + request.length
                if len(self._data) >= end:
                    request.body = self._data[body_start:end]
                    self._consume(end)
                    return request
            self._begin_body(request, body_start)
        pending = self._request
        assert pending is not None  # `_begin_body` has set it
        if not self._collect_body(pending):
            return None
        self.expects_continue = False
        self._request = None
        return pending

    def _begin_body(self, request: Request, body_start: int) -> None:
        """Create the decoder of a body that did not arrive completely with its head."""
        if request.length is None:
            self._body = ChunkedBody(self._pool, self._max_body_bytes, is_strict=True)
        else:
            self._body = ContentLengthBody(self._pool, request.length)
        self._request = request
        self._consume(body_start)
        expectation = request.headers.get(b"expect")
        if expectation is not None and request.minor_version == b"1":  # RFC 9110, section 10.1.1
            if expectation.lower() != b"100-continue":
                raise RemoteProtocolError(417, "unknown expectation")
            self.expects_continue = not self._data
