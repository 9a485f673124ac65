"""Reading and writing HTTP/1.1 messages; knows no socket and no connection."""

from __future__ import annotations

import re
from dataclasses import dataclass

from .bodies import BodyUntilClose, BodyWithLength
from .buffers import BufferPool, Inbox
from .chunked import BadChunk, ChunkedBody

MOST_HEAD = 8 * 1024
MOST_WHOLE = 64 * 1024  # bytes of a body that is never passed on before it is whole
MOST_BODY = 32 * 1024 * 1024
MOST_INTERIM = 32  # 1xx before one answer: a server that sends no other must not keep its attempt for ever
END_OF_HEAD = b"\r\n\r\n"

# One match over the whole head costs less than a check a line.  No folded lines, no bare CR or LF, no NUL.
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
HEADER_LINES = re.compile(rb"(?:" + TOKEN + rb":[^\x00\r\n]*\r\n)*")
# The target in origin form, or in absolute form (RFC 9112, section 3.2.2), whose authority Host repeats.
REQUEST_LINE = re.compile(
    rb"(" + TOKEN + rb") (?:[Hh][Tt][Tt][Pp]://[^\x00-\x20/?#@\x7f]+)?((?:/[\x21-\x7e]*)?) HTTP/1\.([01])"
)
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\x00\r\n]*)?")
# uri-host [":" port] (RFC 9110, section 7.2).  Two Host lines joined have a space, which none may hold.
HOST = re.compile(rb"(?:\[[0-9A-Fa-f:.]+\]|[!$&'()*+,;=\-._~%0-9A-Za-z]*)(?::[0-9]{0,5})?")

REASONS = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    412: b"Precondition Failed",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}

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
    target: bytes  #: in origin form
    headers: Headers
    body: bytes
    keep_alive: bool
    more: bool = False  #: `body` is what has come, the rest follows as it comes
    minor: bytes = b"1"  #: of the version, HTTP/1.x
    length: int | None = 0  #: of the whole body; None in chunks


@dataclass(slots=True)
class Response:
    status: int
    headers: Headers
    body: bytes
    keep_alive: bool
    more: bool = False  #: `body` is what has come, the rest follows as it comes
    length: int | None = None  #: of the whole body, where it is known beforehand


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
    said = headers.get(b"connection")
    if said is None:
        return minor == b"1"
    tokens = [token.strip() for token in said.lower().split(b",")]  # RFC 9110, section 7.6.1
    return b"close" not in tokens and (minor == b"1" or b"keep-alive" in tokens)


def _length(headers: Headers, most: int) -> int | None:
    """Content-Length, or None where there is none.  Signs, and lists of what differs, are malformed."""
    text = headers.get(b"content-length")
    if text is None:
        return None
    if not text.isdigit():
        # The same number again says nothing else (RFC 9110, section 8.6).
        text, *others = [part.strip(b" \t") for part in text.split(b",")]
        if not text.isdigit() or any(other != text for other in others):
            raise Malformed(400, "bad Content-Length")
    if len(text) > 19 or int(text) > most:
        raise Malformed(413, "body too large")
    return int(text)


class MessageReader:
    """Takes bytes as they come, split or run together, and gives messages.

    A message that arrives whole is parsed where it lies; only what must wait is copied to a pooled buffer,
    and each byte is looked at once, however they are split.

    Without `gather` bodies are given whole and hold `MOST_WHOLE` at most.  With it they may hold `MOST_BODY`;
    one that is not whole with `gather` bytes, or with `MOST_WHOLE` while buffers are short, is given with
    `more` set, and the rest by `next_part` until `passing` is False.
    """

    __slots__ = (
        "_body",
        "_data",
        "_eager",
        "_gather",
        "_inbox",
        "_interim",
        "_most",
        "_most_head",
        "_pool",
        "_seeking",
        "_start",
        "_tail",
        "expects",
        "passing",
    )

    def __init__(
        self,
        pool: BufferPool,
        gather: int = 0,
        eager: bool = False,
        most_head: int = MOST_HEAD,
        most_body: int = MOST_BODY,
    ) -> None:
        """`eager`: a body whose length says that it will be passed on is given with its first byte."""
        self._pool = pool
        self._gather, self._eager = gather, eager
        self._most = most_body if gather else MOST_WHOLE
        self._most_head = most_head
        self._inbox = Inbox(pool)
        self._body: BodyWithLength | BodyUntilClose | ChunkedBody | None = None  # in hand, its head taken out
        self._start: tuple | None = None  # that head
        self._data = b""  # the newest bytes, not yet looked at
        self._seeking = False  # what waits holds no end of a head
        self._tail = b""  # the last bytes of it: an end may be split
        self._interim = 0  # 1xx before the answer in hand
        self.expects = False  #: the client waits for a 100 before it sends the body in hand
        self.passing = False  #: a message has been given whose body goes on

    @property
    def waiting(self) -> int:
        """Bytes taken in that belong to no message given out."""
        held = 0 if self._body is None else self._body.held + 1
        return self._inbox.size + len(self._data) + held

    @property
    def body_size(self) -> int:
        """Bytes so far of a body in hand."""
        return 0 if self._body is None else self._body.size

    def feed(self, data: bytes) -> None:
        if self._data:
            self._inbox.put(self._data)
            if self._seeking:
                self._tail = (self._tail + self._data)[-3:]
        self._data = data

    def clear(self) -> None:
        """Nothing that waits will be read any more; its buffers go back now."""
        self._inbox.take()
        self._data = b""
        self.passing = self.expects = False
        if self._body is not None:
            self._body.take()
            self._body = None

    def _all(self) -> bytes:
        if self._inbox.size:
            self._data = self._inbox.take() + self._data
        return self._data

    def _done(self, end: int) -> None:
        self._data = self._data[end:] if end < len(self._data) else b""

    def _head(self) -> tuple[bytes, bytes, int] | None:
        """Start line, header block, and where the body begins."""
        if not self._data and not self._inbox.size:
            return None
        if self._seeking and self.waiting <= self._most_head and END_OF_HEAD not in self._tail + self._data:
            return None  # `feed` keeps it
        self._seeking, self._tail = False, b""
        data = self._all()
        if data.startswith(b"\r\n"):  # an empty line before a message is passed over (RFC 9112, 2.2)
            data = self._data = data.lstrip(b"\r\n")
        end = data.find(END_OF_HEAD, 0, self._most_head + 4)
        if end < 0:
            if len(data) > self._most_head:
                raise Malformed(431, "head too large")
            if data:
                self._inbox.put(data)
                self._data, self._seeking, self._tail = b"", True, data[-3:]
            return None
        line, _, block = data[: end + 2].partition(b"\r\n")
        return line, block, end + 4

    def _take_in(self) -> None:
        """The body in hand takes what has come, up to its end."""
        try:
            end = self._body.feed(self._all())
        except BadChunk as err:
            raise Malformed(err.status, err.why) from None
        self._done(end)

    def _gathered(self) -> tuple[bytes, bool] | None:
        """The body in hand, once it is whole or is to be passed on, and whether more of it follows."""
        body = self._body
        self._take_in()
        if body.whole:
            self._body = None
            return body.take(), False
        if not self._gather:
            return None
        size = body.size
        known = self._eager and (body.length or 0) > MOST_WHOLE
        if size > self._gather or size > MOST_WHOLE and self._pool.tight or known and size:
            self.passing = True
            return body.take(), True
        return None

    def next_part(self) -> bytes:
        """What has come of the body that is being passed on; `passing` is False once that was the last."""
        self._take_in()
        part = self._body.take()
        if self._body.whole:
            self._body, self.passing = None, False
        return part

    def end(self) -> bool:
        """The connection is gone: whether that ends the body that is being passed on."""
        return self.passing and type(self._body) is BodyUntilClose

    def next_request(self) -> Request | None:
        if self._body is None:
            head = self._head()
            if head is None:
                return None
            line, block, start = head
            match = REQUEST_LINE.fullmatch(line)
            if not match:
                raise Malformed(400, "malformed request line")
            method, target, minor = match.groups()
            target = target or b"/"
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
                length = _length(headers, self._most) or 0
            host = headers.get(b"host")
            if not HOST.fullmatch(host) if host is not None else minor == b"1":
                raise Malformed(400, "no Host, two, or one that is none")  # RFC 9112, section 3.2
            if coding is None:
                end = start + length
                if len(self._data) >= end:
                    body = self._data[start:end]
                    self._done(end)
                    return Request(method, target, headers, body, _keep_alive(minor, headers), False, minor)
                self._body = BodyWithLength(self._pool, length)
            else:
                self._body = ChunkedBody(self._pool, self._most, strict=True)
            self._start = (method, target, minor, headers, self._body.length)
            self._done(start)
            expected = headers.get(b"expect")
            if expected is not None and minor == b"1":  # RFC 9110, section 10.1.1
                if expected.lower() != b"100-continue":
                    raise Malformed(417, "unknown expectation")
                self.expects = not self._data
        found = self._gathered()
        if found is None:
            return None
        self.expects = False
        (method, target, minor, headers, length), self._start = self._start, None
        keep = _keep_alive(minor, headers)
        return Request(method, target, headers, found[0], keep, found[1], minor, length)

    def next_response(self, ended: bool = False) -> Response | None:
        """The next answer; `ended` says that the connection has closed, which ends a body with no length."""
        while True:
            if self._body is not None:
                if ended and type(self._body) is BodyUntilClose:
                    self._body.whole = True
                found = self._gathered()
                if found is None:
                    return None
                (status, headers, keep_alive, length), self._start = self._start, None
                self._interim = 0
                return Response(status, headers, found[0], keep_alive, found[1], length)
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
            length = 0 if status in (204, 304) else _length(headers, self._most)
            if b"transfer-encoding" in headers:
                if headers[b"transfer-encoding"].lower() != b"chunked" or b"content-length" in headers:
                    raise Malformed(400, "unknown framing")
                length, self._body = None, ChunkedBody(self._pool, self._most, strict=False)
            elif length is None:
                keep_alive, self._body = False, BodyUntilClose(self._pool, self._most)
            else:
                end = start + length
                if len(self._data) >= end:
                    body = self._data[start:end]
                    self._done(end)
                    self._interim = 0
                    return Response(status, headers, body, keep_alive, False, length)
                self._body = BodyWithLength(self._pool, length)
            self._start = (status, headers, keep_alive, length)
            self._done(start)


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


def write_head(status: int, lines: bytes, length: int | None, chunks: bool, close: bool) -> bytes:
    """The head of an answer whose body follows: with its length, in chunks, or until the close."""
    if length is not None:
        lines += b"Content-Length: %d\r\n" % length
    elif chunks:
        lines += b"Transfer-Encoding: chunked\r\n"
    if close:
        lines += b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, REASONS.get(status, b""), lines)


LAST_CHUNK = b"0\r\n\r\n"


def write_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
