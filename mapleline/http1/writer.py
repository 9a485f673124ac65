"""Serialisers of requests, responses and chunks (RFC 9112, sections 3, 4 and 7.1)."""

from __future__ import annotations

#: Reason phrases (RFC 9110, section 15); a status without one is sent with an empty phrase.
REASON_PHRASES = {
    200: b"OK",
    307: b"Temporary Redirect",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    411: b"Length Required",
    412: b"Precondition Failed",
    413: b"Content Too Large",
    417: b"Expectation Failed",
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
LAST_CHUNK = b"0\r\n\r\n"  #: with an empty trailer section (RFC 9112, section 7.1)


def write_request(method: bytes, target: bytes, lines: bytes, body: bytes = b"") -> bytes:
    """Return a request with a complete body.

    Args:
        method: the method in the form sent.
        target: the target in origin form.
        lines: complete header lines, each with its CRLF; Content-Length is added.
        body: the complete body.
    """
    if body or method == b"POST":
        return b"%b %b HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n%b" % (method, target, lines, len(body), body)
    return b"%b %b HTTP/1.1\r\n%b\r\n" % (method, target, lines)


def write_response(status: int, body: bytes = b"", lines: bytes = b"", close: bool = False) -> bytes:
    """Return a response with a complete body; `lines` as in `write_request`."""
    if close:
        lines += b"Connection: close\r\n"
    start = b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n" % (status, REASON_PHRASES.get(status, b""), len(body))
    return b"%b%b\r\n%b" % (start, lines, body)


def write_head(status: int, lines: bytes, length: int | None, is_chunked: bool, close: bool) -> bytes:
    """Return the head of a response whose body follows.

    The body has `length` bytes; if that is None, it is sent in chunks (`is_chunked`) or ends with the connection.
    """
    if length is not None:
        lines += b"Content-Length: %d\r\n" % length
    elif is_chunked:
        lines += b"Transfer-Encoding: chunked\r\n"
    if close:
        lines += b"Connection: close\r\n"
    return b"HTTP/1.1 %d %b\r\n%b\r\n" % (status, REASON_PHRASES.get(status, b""), lines)


def write_chunk(data: bytes) -> bytes:
    """Return non-empty `data` as one chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)
