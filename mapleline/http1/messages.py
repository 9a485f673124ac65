"""Reading and writing HTTP/1.1 messages; knows no socket and no connection."""

from __future__ import annotations

import re
from dataclasses import dataclass

from .buffers import BufferPool, Inbox

MOST_HEAD = 8 * 1024
MOST_BODY = 64 * 1024
MOST_INTERIM = 32  # 1xx before one answer: a server that sends no other must not keep its attempt for ever
END_OF_HEAD = b"\r\n\r\n"

# One match over the whole head costs less than a check a line.  No folded lines, no bare CR or LF, no NUL.
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
HEADER_LINES = re.compile(rb"(?:" + TOKEN + rb":[^\x00\r\n]*\r\n)*")
REQUEST_LINE = re.compile(rb"(" + TOKEN + rb") (/[\x21-\x7e]*) HTTP/1\.([01])")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00\r\n]*)?")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00\r\n]*)?")

REASONS = {
    200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed", 408: b"Request Timeout",
    409: b"Conflict", 411: b"Length Required", 413: b"Content Too Large", 429: b"Too Many Requests",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 502: b"Bad Gateway",
    503: b"Service Unavailable", 504: b"Gateway Timeout",
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


def _read_chunks(data: bytes, at: int) -> tuple[bytes, int] | None:
    """The body of a chunked message and where it ends, or None while it is not whole."""
    parts, size = [], 0
    while True:
        eol = data.find(b"\r\n", at)
        if eol < 0:
            return None
        match = CHUNK_SIZE.fullmatch(data, at, eol)
        if not match:
            raise Malformed(400, "malformed chunk")
        length = int(match[1], 16)
        size += length
        if size > MOST_BODY:
            raise Malformed(413, "body too large")
        at = eol + 2
        if length == 0:
            if data.startswith(b"\r\n", at):
                return b"".join(parts), at + 2
            end = data.find(END_OF_HEAD, at)
            return (b"".join(parts), end + 4) if end >= 0 else None
        if len(data) < at + length + 2:
            return None
        if data[at + length : at + length + 2] != b"\r\n":
            raise Malformed(400, "malformed chunk")
        parts.append(data[at : at + length])
        at += length + 2


class MessageReader:
    """Takes bytes as they come, split or run together, and gives whole messages.

    A message that arrives whole is parsed where it lies; only what must wait is copied to a pooled buffer.
    """

    __slots__ = ("_data", "_inbox", "_interim", "_need")

    def __init__(self, pool: BufferPool) -> None:
        self._inbox = Inbox(pool)
        self._data = b""  # the newest bytes, not yet looked at
        self._need = 0  # the message in hand is not whole with less than this
        self._interim = 0  # 1xx before the answer in hand

    @property
    def waiting(self) -> int:
        """Bytes taken in that belong to no message given out."""
        return self._inbox.size + len(self._data)

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

    def next_request(self) -> Request | None:
        head = self._head()
        if head is None:
            return None
        line, block, start = head
        match = REQUEST_LINE.fullmatch(line)
        if not match:
            raise Malformed(400, "malformed request line")
        headers = parse_headers(block)
        if b"transfer-encoding" in headers:
            raise Malformed(411, "a body needs a Content-Length")
        end = start + (_length(headers) or 0)
        if len(self._data) < end:
            self._wait(end)
            return None
        body = self._data[start:end]
        self._done(end)
        return Request(match[1], match[2], headers, body, _keep_alive(match[3], headers))

    def next_response(self, ended: bool = False) -> Response | None:
        """The next answer; `ended` says that the connection has closed, which ends a body with no length."""
        if ended:
            self._need = 0
        while True:
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
                whole = _read_chunks(self._data, start)
                if whole is None:
                    self._wait(self.waiting + 1)
                    return None
                body, end = whole
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
