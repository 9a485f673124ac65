"""Base of the request and response readers: collects a message's body or streams it as it arrives."""

from __future__ import annotations

from .bodies import ContentLengthBody, UntilCloseBody
from .buffers import BufferPool
from .chunked import ChunkedBody
from .head_reader import MAX_HEAD_BYTES, HeadReader
from .messages import Request, Response

MAX_BUFFERED_BODY_BYTES = 64 * 1024  #: of a body that is never streamed
MAX_BODY_BYTES = 32 * 1024 * 1024  #: of a body that may be streamed


class MessageReader(HeadReader):
    """Reads the bodies of requests and responses.

    If `stream_threshold_bytes` is 0, each message is returned with its complete body of at most
    `MAX_BUFFERED_BODY_BYTES`.  Otherwise a body may have `max_body_bytes`.  A body that is incomplete after
    the threshold, or after `MAX_BUFFERED_BODY_BYTES` while the pool is short of buffers, is streamed: the message is
    returned with `is_streamed` set, and `next_part` returns the rest until `is_streaming` is False.
    """

    __slots__ = (
        "_body",
        "_is_eager",
        "_max_body_bytes",
        "_pool",
        "_stream_threshold_bytes",
        "is_streaming",
    )

    def __init__(
        self,
        pool: BufferPool,
        stream_threshold_bytes: int = 0,
        is_eager: bool = False,
        max_head_bytes: int = MAX_HEAD_BYTES,
        max_body_bytes: int = MAX_BODY_BYTES,
    ) -> None:
        """Create a reader.

        Args:
            pool: buffers for incomplete messages.
            stream_threshold_bytes: larger bodies are streamed; 0: none is.
            is_eager: stream a body from its first byte if its length exceeds `MAX_BUFFERED_BODY_BYTES`.
            max_head_bytes: longer heads are rejected.
            max_body_bytes: larger bodies are rejected, if bodies are streamed.
        """
        super().__init__(pool, max_head_bytes)
        self._pool = pool
        self._stream_threshold_bytes = stream_threshold_bytes
        self._is_eager = is_eager
        self._max_body_bytes = max_body_bytes if stream_threshold_bytes else MAX_BUFFERED_BODY_BYTES
        self._body: ContentLengthBody | UntilCloseBody | ChunkedBody | None = None  # the body that is arriving
        self.is_streaming = False  #: whether the last message returned has an incomplete body

    @property
    def waiting_bytes(self) -> int:
        """Number of buffered bytes that have not been returned; a body that has begun counts one more."""
        body_bytes = 0 if self._body is None else self._body.buffered_bytes + 1
        return self._queue.size + len(self._data) + body_bytes

    @property
    def received_body_bytes(self) -> int:
        """Number of bytes received of the body that is arriving."""
        return 0 if self._body is None else self._body.received_bytes

    def clear(self) -> None:
        """Drop all buffered input and release its buffers."""
        self._queue.take()
        self._data = b""
        self.is_streaming = False
        if self._body is not None:
            self._body.take()
            self._body = None

    def next_part(self) -> bytes:
        """Return the received part of the streamed body; `is_streaming` is False after the last part.

        Raises:
            RemoteProtocolError: if the body is malformed.
        """
        body = self._body
        assert body is not None  # the caller has checked `is_streaming`
        self._consume(body.feed(self._join_data()))
        part = body.take()
        if body.is_complete:
            self._body = None
            self.is_streaming = False
        return part

    def ends_at_close(self) -> bool:
        """Return whether the end of the connection, which has come, completes the streamed body."""
        return self.is_streaming and type(self._body) is UntilCloseBody

    def _collect_body(self, message: Request | Response) -> bool:
        """Set the body of `message`; return False while the message cannot be returned yet."""
        body = self._body
        assert body is not None  # the caller has begun the body
        self._consume(body.feed(self._join_data()))
        if body.is_complete:
            self._body = None
            message.body = body.take()
            return True
        if not self._stream_threshold_bytes or not self._is_to_be_streamed(body):
            return False
        self.is_streaming = True
        message.body = body.take()
        message.is_streamed = True
        return True

    def _is_to_be_streamed(self, body: ContentLengthBody | UntilCloseBody | ChunkedBody) -> bool:
        """Return whether an incomplete body is streamed from now on instead of being collected."""
        size = body.received_bytes
        if size > self._stream_threshold_bytes:
            return True
        if size > MAX_BUFFERED_BODY_BYTES and self._pool.is_short:
            return True
        return self._is_eager and size > 0 and (body.length or 0) > MAX_BUFFERED_BODY_BYTES
