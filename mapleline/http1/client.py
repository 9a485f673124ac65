"""The client's side of a connection as a state machine: requests go out, responses come in, in their order.

| `reusable` | `is_streaming` | state                                                                           |
| ---------- | -------------- | ------------------------------------------------------------------------------- |
| True       | False          | requests may be sent; `receive` gives responses                                 |
| True       | True           | a response is streamed: `receive_part` gives its parts                          |
| False      | False          | done: what arrives belongs to no request and is not read; the owner closes      |

A streamed response that ends the connection, or cannot be read to its end, leads to the last state.
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
    """Requests in the order they were sent, each with the tag that its caller gave it.

    What cannot be read, or belongs to no request, ends the use of the connection and nothing else: the responses
    before it are good and are given, what is behind it is never read.
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
        """Start with a connection that is open and unused.

        Args:
            pool: buffers for what has to wait.
            stream_threshold_bytes: larger bodies are streamed: see `MessageReader`.
            belongs: whether a response is that of the oldest request; one that is not is skipped once, and the
                connection then ends with the request's own.
        """
        self._belongs = belongs
        self._reader = ResponseReader(pool, stream_threshold_bytes, is_eager=True)
        self._keep_alive = True  # the connection outlives the response that is streamed
        self.pending: deque[Tag] = deque()  #: tags of the requests without a response
        self.reusable = True  #: further requests may be sent
        self.stray_count = 0  #: responses to other requests that were skipped
        self.protocol_error = ""  #: why, once something has arrived that no response can begin with
        self.is_truncated = False  #: the response that was streamed cannot be read to its end

    def add_request(self, tag: Tag) -> None:
        """A request is sent."""
        invariant(self.reusable, "call.on_a_used_up_connection")
        self.pending.append(tag)

    def receive(self, data: bytes) -> list[tuple[Tag, Response]]:
        """Return the responses that `data` completes, with their tags."""
        if not self.reusable:
            return []  # behind the last response, or an error: it belongs to nobody
        self._reader.feed(data)
        return self._next_responses(is_closed=False)

    @property
    def is_streaming(self) -> bool:
        """The last response given has more to come."""
        return self._reader.is_streaming

    def receive_part(self, data: bytes) -> bytes:
        """Return more of the response that is streamed; `is_streaming` is False once that was the last of it."""
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
                self._give_up()
        return part

    def on_closed_while_streaming(self, is_orderly: bool) -> bool:
        """The connection has ended: return whether the response that is streamed is complete by that."""
        is_complete = is_orderly and self._reader.ends_at_close()
        self._give_up()
        return is_complete

    def on_closed(self, is_orderly: bool) -> list[tuple[Tag, Response]]:
        """The connection has ended: return a response that only its orderly end could end, if there is one.

        After a reset, or an end of this side's making, what waits is a part of a response (RFC 9112, section 8).
        """
        responses = self._next_responses(is_closed=True) if is_orderly and self.reusable else []
        self._give_up()
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
                    self._give_up()
        except RemoteProtocolError as error:
            self._reject(error.reason)
        return responses

    def _is_stray(self, response: Response) -> bool:
        """Whether the response is another request's, which is skipped.

        Raises:
            RemoteProtocolError: where it cannot be skipped, or is the second.
        """
        if self._belongs is None or self._belongs(self.pending[0], response):
            return False
        self.stray_count += 1
        if response.is_streamed or not response.keep_alive or self.stray_count > 1:
            raise RemoteProtocolError(400, "another call's answer")
        return True

    def _reject(self, reason: str) -> None:
        self.protocol_error = reason
        self._give_up()

    def _give_up(self) -> None:
        self.reusable = False
        self._reader.clear()
