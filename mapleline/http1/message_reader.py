"""Collects the body of a message, or passes it on while it arrives; the base of both readers of messages."""

from __future__ import annotations

from .bodies import ContentLengthBody, UntilCloseBody
from .buffers import BufferPool
from .chunked import ChunkedBody
from .head_reader import MAX_HEAD_BYTES, HeadReader
from .messages import Request, Response

MAX_BUFFERED_BODY_BYTES = 64 * 1024  #: of a body that is never streamed
MAX_BODY_BYTES = 32 * 1024 * 1024  #: of a body that may be streamed


class MessageReader(HeadReader):
    """What requests and responses share: their bodies.

    Without `stream_threshold_bytes` each body is given complete and has `MAX_BUFFERED_BODY_BYTES` at most.
    With it a body may have `max_body_bytes`; one that is not complete with the threshold, or with
    `MAX_BUFFERED_BODY_BYTES` while buffers are short, is streamed: the message is given with `is_streamed` set, and
    the rest by `next_part` until `is_streaming` is False.
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
        """`is_eager`: a body whose length says that it will be streamed is given with its first byte."""
        super().__init__(pool, max_head_bytes)
        self._pool = pool
        self._stream_threshold_bytes = stream_threshold_bytes
        self._is_eager = is_eager
        self._max_body_bytes = max_body_bytes if stream_threshold_bytes else MAX_BUFFERED_BODY_BYTES
        self._body: ContentLengthBody | UntilCloseBody | ChunkedBody | None = None  # its head has been parsed
        self.is_streaming = False  #: a message has been given whose body goes on

    @property
    def waiting_bytes(self) -> int:
        """Bytes taken in that belong to no message given out; a body that has begun counts one more."""
        body_bytes = 0 if self._body is None else self._body.buffered_bytes + 1
        return self._queue.size + len(self._data) + body_bytes

    @property
    def received_body_bytes(self) -> int:
        """Bytes so far of the body that is arriving."""
        return 0 if self._body is None else self._body.received_bytes

    def clear(self) -> None:
        """Drop what waits, none of which will be read; its buffers go back now."""
        self._queue.take()
        self._data = b""
        self.is_streaming = False
        if self._body is not None:
            self._body.take()
            self._body = None

    def next_part(self) -> bytes:
        """Return what has arrived of the body that is streamed; `is_streaming` is False once that was the last.

        Raises:
            RemoteProtocolError: where the body cannot be read to its end.
        """
        body = self._body
        assert body is not None  # the caller has seen `is_streaming`
        self._consume(body.feed(self._join_data()))
        part = body.take()
        if body.is_complete:
            self._body = None
            self.is_streaming = False
        return part

    def ends_at_close(self) -> bool:
        """The connection has ended: return whether that ends the body that is streamed."""
        return self.is_streaming and type(self._body) is UntilCloseBody

    def _collect_body(self, message: Request | Response) -> bool:
        """Give `message` its body; return False while it has to wait for more of it."""
        body = self._body
        assert body is not None  # the caller has begun it
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
        """Whether an incomplete body goes on now instead of being collected."""
        size = body.received_bytes
        if size > self._stream_threshold_bytes:
            return True
        if size > MAX_BUFFERED_BODY_BYTES and self._pool.is_short:
            return True
        return self._is_eager and size > 0 and (body.length or 0) > MAX_BUFFERED_BODY_BYTES
