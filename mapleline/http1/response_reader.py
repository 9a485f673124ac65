"""Parser of the responses that a server sends (RFC 9112, section 4)."""

from __future__ import annotations

import re

from .bodies import ContentLengthBody, UntilCloseBody
from .buffers import BufferPool
from .chunked import ChunkedBody
from .errors import RemoteProtocolError
from .headers import Headers, content_length, is_persistent, parse_headers
from .message_reader import MessageReader
from .messages import Response

#: Interim responses (RFC 9110, section 15.2) before a final one; the limit keeps a server that sends only these from
#: prolonging an attempt for ever.
MAX_INTERIM_RESPONSES = 32
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00\r\n]*)?")
FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304


def _body_length(status: int, headers: Headers, max_body_bytes: int) -> int | None:
    """Return the length of the body, or None if its end is found in another way (RFC 9112, section 6.3)."""
    length = 0 if status in (NO_CONTENT, NOT_MODIFIED) else content_length(headers, max_body_bytes)
    if b"transfer-encoding" in headers:
        if headers[b"transfer-encoding"].lower() != b"chunked" or b"content-length" in headers:
            raise RemoteProtocolError(400, "unknown framing")
        return None
    return length


class ResponseReader(MessageReader):
    """Incremental reader of final responses; interim responses are skipped."""

    __slots__ = ("_interim_count", "_response")

    def __init__(self, pool: BufferPool, stream_threshold_bytes: int = 0, is_eager: bool = False) -> None:
        """Create a reader; `MessageReader` describes the arguments."""
        super().__init__(pool, stream_threshold_bytes, is_eager)
        self._response: Response | None = None  # the response whose body is arriving
        self._interim_count = 0  # interim responses since the last final one

    def next_response(self, is_closed: bool = False) -> Response | None:
        """Return the next response once it is complete or streamed, or None before that.

        Args:
            is_closed: whether the connection has ended, which completes a body without a length.

        Raises:
            RemoteProtocolError: if the response is malformed; the input after it cannot be parsed.
        """
        while self._body is None:
            head = self._next_head()
            if head is None:
                return None
            line, section, body_start = head
            match = STATUS_LINE.fullmatch(line)
            if not match:
                raise RemoteProtocolError(400, "malformed status line")
            status = int(match[2])
            headers = parse_headers(section)
            if status < FIRST_FINAL_STATUS:
                self._skip_interim(status, body_start)
                continue
            length = _body_length(status, headers, self._max_body_bytes)
            response = Response(status, headers, b"", is_persistent(match[1], headers), False, length)
            if length is not None:
                end = body_start + length
                if len(self._data) >= end:
                    response.body = self._data[body_start:end]
                    self._consume(end)
                    self._interim_count = 0
                    return response
            self._begin_body(response, body_start)
        return self._pending_response(is_closed)

    def _skip_interim(self, status: int, body_start: int) -> None:
        """Skip a 1xx response; a 101 is an error, as no request asks for an upgrade (RFC 9110, section 15.2.2)."""
        self._interim_count += 1
        if self._interim_count > MAX_INTERIM_RESPONSES or status == SWITCHING_PROTOCOLS:
            raise RemoteProtocolError(400, "too much before the answer")
        self._consume(body_start)

    def _begin_body(self, response: Response, body_start: int) -> None:
        """Create the decoder of a body that did not arrive completely with its head."""
        if response.length is not None:
            self._body = ContentLengthBody(self._pool, response.length)
        elif b"transfer-encoding" in response.headers:
            self._body = ChunkedBody(self._pool, self._max_body_bytes, is_strict=False)
        else:
            response.keep_alive = False
            self._body = UntilCloseBody(self._pool, self._max_body_bytes)
        self._response = response
        self._consume(body_start)

    def _pending_response(self, is_closed: bool) -> Response | None:
        """Return the response whose body is arriving once it is complete or streamed, or None before that."""
        body = self._body
        if is_closed and type(body) is UntilCloseBody:
            body.is_complete = True
        response = self._response
        assert response is not None  # `_begin_body` has set it
        if not self._collect_body(response):
            return None
        self._response = None
        self._interim_count = 0
        return response
