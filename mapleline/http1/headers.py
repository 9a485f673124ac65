"""Parser of header fields (RFC 9110, section 5), and readers of the fields that define a message's framing."""

from __future__ import annotations

import re

from .errors import RemoteProtocolError

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"  #: RFC 9110, section 5.6.2
#: Matches a whole header section, which is cheaper than a check of each line.  Folded lines, bare CR or LF, and NUL
#: are rejected (RFC 9112, sections 2.2 and 5.2; RFC 9110, section 5.5).
FIELD_LINES = re.compile(rb"(?:" + TOKEN + rb":[^\x00\r\n]*\r\n)*")
MAX_LENGTH_DIGITS = 19  #: of a Content-Length; a longer one is too large

Headers = dict[bytes, bytes]


def parse_headers(section: bytes) -> Headers:
    """Return the fields by lower-case name; values of a repeated name are joined (RFC 9110, section 5.3).

    Raises:
        RemoteProtocolError: 400 if a line is malformed.
    """
    if not FIELD_LINES.fullmatch(section):
        raise RemoteProtocolError(400, "malformed header")
    headers: Headers = {}
    for line in section.split(b"\r\n")[:-1]:
        name, _, value = line.partition(b":")
        name = name.lower()
        value = value.strip(b" \t")
        headers[name] = headers[name] + b", " + value if name in headers else value
    return headers


def is_persistent(minor_version: bytes, headers: Headers) -> bool:
    """Return whether the connection persists after the message (RFC 9112, section 9.3)."""
    connection = headers.get(b"connection")
    if connection is None:
        return minor_version == b"1"
    options = [option.strip() for option in connection.lower().split(b",")]  # RFC 9110, section 7.6.1
    return b"close" not in options and (minor_version == b"1" or b"keep-alive" in options)


def content_length(headers: Headers, max_body_bytes: int) -> int | None:
    """Return the Content-Length, or None if the field is absent (RFC 9110, section 8.6).

    Raises:
        RemoteProtocolError: 400 for a value with a sign or a list of different numbers, 413 above the limit.
    """
    text = headers.get(b"content-length")
    if text is None:
        return None
    if not text.isdigit():
        # A list that repeats one number is valid (RFC 9110, section 8.6).
        text, *others = [part.strip(b" \t") for part in text.split(b",")]
        if not text.isdigit() or any(other != text for other in others):
            raise RemoteProtocolError(400, "bad Content-Length")
    if len(text) > MAX_LENGTH_DIGITS or int(text) > max_body_bytes:
        raise RemoteProtocolError(413, "body too large")
    return int(text)
