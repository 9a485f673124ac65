"""Minimal HTTP/1.1 for the soak rig: messages with a head and a body of known length (RFC 9112)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


class MalformedMessageError(Exception):
    """The received bytes are not a message with a head and a body of known length."""


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer.

    Attributes:
        first_line: Parts of the first line, split at spaces into at most three.
        headers: Header fields, with names in lower case.
        body: The body; empty without one.
    """

    first_line: tuple[str, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer.

        Raises:
            MalformedMessageError: The first line has no numeric status.
        """
        try:
            return int(self.first_line[1])
        except (IndexError, ValueError) as error:
            raise MalformedMessageError(str(self.first_line)) from error

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection stays open after this message."""
        return self.headers.get("connection", "").lower() != "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises:
        asyncio.IncompleteReadError: The connection was closed; `partial` is empty if no byte had arrived.
        asyncio.LimitOverrunError: The head exceeds the reader's limit.
        MalformedMessageError: The content length is not a number.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    try:
        length = int(headers.get("content-length", "0"))
    except ValueError as error:
        raise MalformedMessageError(headers["content-length"]) from error
    body = await reader.readexactly(length) if length else b""
    return Message(tuple(first_line.split(" ", 2)), headers, body)


def encode_message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message as bytes, with a `Content-Length` header."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(host: str, port: int, data: bytes, timeout_s: float) -> Message:
    """Send a request over a new connection and return the answer.

    Raises:
        OSError: The connection failed or broke.
        TimeoutError: No answer arrived within `timeout_s` seconds.
        MalformedMessageError: The answer is malformed.
        asyncio.IncompleteReadError: The connection was closed before the end of an answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()


#: Errors of an exchange that ends without a complete answer.
NO_ANSWER_ERRORS = (
    OSError,
    TimeoutError,
    MalformedMessageError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)
