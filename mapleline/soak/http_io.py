"""Just enough of HTTP/1.1 for the stand-ins: messages with a head and a body of known length (RFC 9112)."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


class MalformedMessageError(Exception):
    """What came is no message with a head and a body of known length."""


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer: its first line in words, its fields in lower case, and its body."""

    first_line: tuple[str, ...]
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer.

        Raises:
            MalformedMessageError: It is none.
        """
        try:
            return int(self.first_line[1])
        except (IndexError, ValueError) as error:
            raise MalformedMessageError(str(self.first_line)) from error

    @property
    def keeps_connection(self) -> bool:
        """Whether the connection goes on after it."""
        return self.headers.get("connection", "").lower() != "close"


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message.

    Raises:
        asyncio.IncompleteReadError: The connection was closed, with `partial` empty if that was before a first byte.
        MalformedMessageError: It cannot be read.
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
    """Return a message as bytes, with its length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()), f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def exchange(host: str, port: int, data: bytes, timeout_s: float) -> Message:
    """Send a request over a connection of its own, and return the answer.

    Raises:
        OSError: There is no connection, or it broke.
        TimeoutError: There is no answer in time.
        MalformedMessageError: The answer cannot be read.
        asyncio.IncompleteReadError: The connection was closed before the end of an answer.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()


#: Why an exchange has no answer.
NO_ANSWER_ERRORS = (
    OSError,
    TimeoutError,
    MalformedMessageError,
    asyncio.IncompleteReadError,
    asyncio.LimitOverrunError,
)
