"""State machine of the client side of a connection: matches responses to pipelined requests in their order.

| `reusable` | `is_streaming` | state                                                                           |
| ---------- | -------------- | ------------------------------------------------------------------------------- |
| True       | False          | requests may be sent; `receive` returns responses                               |
| True       | True           | a response is streamed: `receive_part` returns its parts                        |
| False      | False          | finished: further input belongs to no request and is ignored; the owner closes  |

A streamed response that ends the connection, or that cannot be read to its end, leads to the last state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Generic, TypeVar

from ..telemetry import invariant
from .buffers import BufferPool
from .errors import RemoteProtocolError
from .messages import Response
from .response_reader import ResponseReader

Tag = TypeVar("Tag")


class ClientConnection(Generic[Tag]):
    """Keeps the tags of the requests in flight, in the order sent, and assigns responses to them.

    Input that is malformed, or that belongs to no request, only ends the use of the connection: the responses
    before it are valid and are returned, and the input after it is ignored.
    """

    __slots__ = (
        "_belongs",
        "_keep_alive",
        "_reader",
        "pending",
        "is_truncated",
        "reusable",
        "protocol_error",
        "stray_count",
    )

    def __init__(
        self,
        pool: BufferPool,
        stream_threshold_bytes: int = 0,
        belongs: Callable[[Tag, Response], bool] | None = None,
    ) -> None:
        """Create the state of a connection that is open and unused.

        Args:
            pool: buffers for incomplete messages.
            stream_threshold_bytes: larger bodies are streamed: see `MessageReader`.
            belongs: returns whether a response answers the oldest request in flight.  One response that does not
                is skipped; the connection is then not reused after the response that does.
        """
        self._belongs = belongs
        self._reader = ResponseReader(pool, stream_threshold_bytes, is_eager=True)
        self._keep_alive = True  # whether the connection persists after the streamed response
        self.pending: deque[Tag] = deque()  #: tags of the requests in flight, oldest first
        self.reusable = True  #: whether further requests may be sent
        self.stray_count = 0  #: skipped responses that belonged to other requests
        self.protocol_error = ""  #: the reason, once malformed or unrequested input has arrived
        self.is_truncated = False  #: whether the streamed response is malformed before its end

    def add_request(self, tag: Tag) -> None:
        """Record a request that is being sent."""
        invariant(self.reusable, "call.on_a_used_up_connection")
        self.pending.append(tag)

    def receive(self, data: bytes) -> list[tuple[Tag, Response]]:
        """Return the responses that `data` completes, with the tags of their requests."""
        if not self.reusable:
            return []  # input after the last response or after an error
        self._reader.feed(data)
        return self._next_responses(is_closed=False)

    @property
    def is_streaming(self) -> bool:
        """Whether the last response returned is streamed and not complete."""
        return self._reader.is_streaming

    def receive_part(self, data: bytes) -> bytes:
        """Return the next part of the streamed response; `is_streaming` is False after the last part."""
        self._reader.feed(data)
        try:
            part = self._reader.next_part()
        except RemoteProtocolError as error:
            self.is_truncated = True
            self._reject(error.reason)
            return b""
        if not self._reader.is_streaming:
            if self._reader.waiting_bytes:
                self.protocol_error = "more than was asked for"
            if self.protocol_error or not self._keep_alive:
                self._retire()
        return part

    def on_closed_while_streaming(self, is_orderly: bool) -> bool:
        """Handle the end of the connection; return whether it completes the streamed response."""
        is_complete = is_orderly and self._reader.ends_at_close()
        self._retire()
        return is_complete

    def on_closed(self, is_orderly: bool) -> list[tuple[Tag, Response]]:
        """Handle the end of the connection; return the response that its orderly end completes, if there is one.

        After a reset, or a close by this side, buffered input is an incomplete response (RFC 9112, section 8).
        """
        responses = self._next_responses(is_closed=True) if is_orderly and self.reusable else []
        self._retire()
        return responses

    def _next_responses(self, is_closed: bool) -> list[tuple[Tag, Response]]:
        responses: list[tuple[Tag, Response]] = []
        try:
            while self.reusable and self._reader.waiting_bytes:
                if not self.pending:
                    raise RemoteProtocolError(400, "more than was asked for")
                response = self._reader.next_response(is_closed)
                if response is None:
                    break
                if self._is_stray(response):
                    continue
                responses.append((self.pending.popleft(), response))
                if response.is_streamed:
                    self._keep_alive = response.keep_alive
                    break
                if not response.keep_alive or self.stray_count:
                    self._retire()
        except RemoteProtocolError as error:
            self._reject(error.reason)
        return responses

    def _is_stray(self, response: Response) -> bool:
        """Return whether the response belongs to another request and is skipped.

        Raises:
            RemoteProtocolError: if it cannot be skipped, or is the second of its kind.
        """
        if self._belongs is None or self._belongs(self.pending[0], response):
            return False
        self.stray_count += 1
        if response.is_streamed or not response.keep_alive or self.stray_count > 1:
            raise RemoteProtocolError(400, "another call's answer")
        return True

    def _reject(self, reason: str) -> None:
        self.protocol_error = reason
        self._retire()

    def _retire(self) -> None:
        """End the use of the connection and drop buffered input."""
        self.reusable = False
        self._reader.clear()
