"""Reading and writing HTTP/1.1 messages; knows no socket and no connection."""

from __future__ import annotations

import re
from dataclasses import dataclass

from .buffers import BufferPool, Inbox
from .chunked import BadChunk, ChunkedBody

MOST_HEAD = 8 * 1024
MOST_BODY = 64 * 1024
MOST_INTERIM = 32  # 1xx before one answer: a server that sends no other must not keep its attempt for ever
END_OF_HEAD = b"\r\n\r\n"

# One match over the whole head costs less than a check a line.  No folded lines, no bare CR or LF, no NUL.
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
HEADER_LINES = re.compile(rb"(?:" + TOKEN + rb":[^\x00\r\n]*\r\n)*")
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") (/[\x21-\x7e]*) HTTP/1\.([01])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00\r\n]*)?")
# uri-host [":" port] (RFC 9110, section 7.2).  Two Host lines joined have a space, which none may hold.
HOST = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[!$&'()*+,;=\-._~%0-9A-Za-z]*)(?::[0-9]{0,5})?")

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 411: b"Length Required", 413: b"Content Too Large", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 501: b"Not Implemented",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
}  # fmt: skip

Headers = dict[bytes, bytes]


class Malformed(Exception):
    """A message that is turned down, with the status that says why."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status
        self.why = why


@dataclass(slots=True)
class Request:
    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keep_alive: bool


@dataclass(slots=True)
class Response:
    status: int
    headers: Headers
    body: bytes
    keep_alive: bool


def parse_headers(block: bytes) -> Headers:
    """The header lines, names in lower case; a name that stands twice has its values joined."""
    if not HEADER_LINES.fullmatch(block):
        raise Malformed(400, "malformed header")
    headers: Headers = {}
    for line in block.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name, value = name.lower(), value.strip(b" \t")
        headers[name] = headers[name] + b", " + value if name in headers else value
    return headers


def _keep_alive(minor: bytes, headers: Headers) -> bool:
    said = headers.get(b"connection", b"").lower()
    return b"close" not in said if minor == b"1" else b"keep-alive" in said


def _length(headers: Headers) -> int | None:
    """Content-Length, or None where there is none.  Two that differ, signs and lists are malformed."""
    text = headers.get(b"content-length")
    if text is None:
        return None
    if not text.isdigit():
        raise Malformed(400, "bad Content-Length")
    if len(text) > 8 or int(text) > MOST_BODY:
        raise Malformed(413, "body too large")
    return int(text)


class MessageReader:
    """Takes bytes as they come, split or run together, and gives whole messages.

    A message that arrives whole is parsed where it lies; only what must wait is copied to a pooled buffer.
    """

    __slots__ = ("_chunks", "_data", "_inbox", "_interim", "_need", "_pool", "_start")

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._inbox = Inbox(pool)
        self._chunks: ChunkedBody | None = None  # the body in hand, its head already taken out
        self._start: tuple | None = None  # that head
        self._data = b""  # the newest bytes, not yet looked at
        self._need = 0  # the message in hand is not whole with less than this
        self._interim = 0  # 1xx before the answer in hand

    @property
    def waiting(self) -> int:
        """Bytes taken in that belong to no message given out."""
        held = 0 if self._chunks is None else self._chunks.held + 1
        return self._inbox.size + len(self._data) + held

    def feed(self, data: bytes) -> None:
        if self._data:
            self._inbox.put(self._data)
            self._data = data
        else:
            self._data = data

    def clear(self) -> None:
        """Nothing that waits will be read any more; its buffers go back now."""
        self._inbox.take()
        self._data = b""
        if self._chunks is not None:
            self._chunks.take()
            self._chunks = None

    def _all(self) -> bytes:
        if self._inbox.size:
            self._data = self._inbox.take() + self._data
        return self._data

    def _wait(self, need: int) -> None:
        self._need = need
        if self._data:
            self._inbox.put(self._data)
            self._data = b""

    def _done(self, end: int) -> None:
        self._data = self._data[end:] if end < len(self._data) else b""
        self._need = 0

    def _head(self) -> tuple[bytes, bytes, int] | None:
        """Start line, header block, and where the body begins."""
        if not self.waiting:
            return None
        if self.waiting < self._need:
            self._wait(self._need)
            return None
        data = self._all()
        if data.startswith(b"\r\n"):  # an empty line before a message is passed over (RFC 9112, 2.2)
            data = self._data = data.lstrip(b"\r\n")
        end = data.find(END_OF_HEAD, 0, MOST_HEAD + 4)
        if end < 0:
            if len(data) > MOST_HEAD:
                raise Malformed(431, "head too large")
            self._wait(len(data) + 1)
            return None
        line, _, block = data[: end + 2].partition(b"\r\n")
        return line, block, end + 4

    def _chunked(self) -> bytes | None:
        """The body in chunks, once it is whole."""
        body, data = self._chunks, self._all()
        try:
            end = body.feed(data)
        except BadChunk as err:
            raise Malformed(err.status, err.why) from None
        self._done(end)
        if not body.whole:
            return None
        self._chunks = None
        return body.take()

    def next_request(self) -> Request | None:
        if self._chunks is None:
            head = self._head()
            if head is None:
                return None
            line, block, start = head
            match = REQUEST_LINE.fullmatch(line)
            if not match:
                raise Malformed(400, "malformed request line")
            method, target, minor = match.groups()
            headers = parse_headers(block)
            coding = headers.get(b"transfer-encoding")
            if coding is not None:
                if b"content-length" in headers or minor == b"0":
                    # Two readers of it may not agree where it ends (RFC 9112, section 6.1).
                    raise Malformed(400, "Transfer-Encoding with Content-Length, or in HTTP/1.0")
                if coding.lower() != b"chunked":
                    raise Malformed(501, "unknown transfer coding")
                length = 0
            else:
                length = _length(headers) or 0
            host = headers.get(b"host")
            if not HOST.fullmatch(host) if host is not None else minor == b"1":
                raise Malformed(400, "no Host, two, or one that is none")  # RFC 9112, section 3.2
            if coding is None:
                end = start + length
                if len(self._data) < end:
                    self._wait(end)
                    return None
                body = self._data[start:end]
                self._done(end)
                return Request(method, target, headers, body, _keep_alive(minor, headers))
            self._chunks = ChunkedBody(self._pool, MOST_BODY, strict=True)
            self._start = (method, target, minor, headers)
            self._done(start)
        whole = self._chunked()
        if whole is None:
            return None
        (method, target, minor, headers), self._start = self._start, None
        return Request(method, target, headers, whole, _keep_alive(minor, headers))

    def next_response(self, ended: bool = False) -> Response | None:
        """The next answer; `ended` says that the connection has closed, which ends a body with no length."""
        if ended:
            self._need = 0
        while True:
            if self._chunks is not None:
                whole = self._chunked()
                if whole is None:
                    return None
                (status, headers, keep_alive), self._start = self._start, None
                self._interim = 0
                return Response(status, headers, whole, keep_alive)
            head = self._head()
            if head is None:
                return None
            line, block, start = head
            match = STATUS_LINE.fullmatch(line)
            if not match:
                raise Malformed(400, "malformed status line")
            status, headers = int(match[2]), parse_headers(block)
            if status < 200:  # 1xx: the answer proper is still to come
                self._interim += 1
                if self._interim > MOST_INTERIM or status == 101:  # nobody asked to switch
                    raise Malformed(400, "too much before the answer")
                self._done(start)
                continue
            keep_alive = _keep_alive(match[1], headers)
            length = 0 if status in (204, 304) else _length(headers)
            if b"transfer-encoding" in headers:
                if headers[b"transfer-encoding"].lower() != b"chunked" or b"content-length" in headers:
                    raise Malformed(400, "unknown framing")
                self._chunks = ChunkedBody(self._pool, MOST_BODY, strict=False)
                self._start = (status, headers, keep_alive)
                self._done(start)
                continue
            elif length is None:
                if len(self._data) - start > MOST_BODY:
                    raise Malformed(413, "body too large")
                if not ended:
                    self._wait(self.waiting + 1)
                    return None
                body, end, keep_alive = self._data[start:], len(self._data), False
            else:
                end = start + length
                if len(self._data) < end:
                    self._wait(end)
                    return None
                body = self._data[start:end]
            self._done(end)
            self._interim = 0
            return Response(status, headers, body, keep_alive)


def write_request(method: bytes, target: bytes, lines: bytes, body: bytes = b"") -> bytes:
    """`lines`: whole header lines, each with its line end."""
    if body or method == b"POST":
        return b"%b %b HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n%b" % (method, target, lines, len(body), body)
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, lines)


def write_response(status: int, body: bytes = b"", lines: bytes = b"", close: bool = False) -> bytes:
    if close:
        lines += b"Connection: close\r\n"
    start = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASONS.get(status, b""), len(body))
    return b"%b%b\r\n%b" % (start, lines, body)
