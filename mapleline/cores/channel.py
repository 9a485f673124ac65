"""The channel between the supervisor and a worker: JSON messages in frames over a UNIX socket pair.

A message can carry a socket, which is passed as a file descriptor.
"""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

import orjson
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.protocols.basic import Int32StringReceiver
from zope.interface import implementer  # type: ignore[import-untyped]  # it has no stubs

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .messages import JsonObject, Message
    from .reactor import ChannelTransport

CHANNEL_FD = 3  # descriptor of the channel in a worker process, set by the supervisor when it starts the worker
MAX_FRAME_BYTES = 64 * 1024 * 1024  # enough for a complete list of about 100,000 servers
SOCKET_KEY = "fd"  # key that is added to a message with a socket: the socket's number on this channel
SOCKET_RECEIVED_KEY = "got"  # only key of the message that confirms receipt of the socket with this number

Received = TypeVar("Received")


@implementer(IFileDescriptorReceiver)
class Channel(Int32StringReceiver, Generic[Received]):
    """One end of the channel.  It sends any message and receives the messages of one direction.

    A socket can be queued behind a full send buffer for a long time.  Meanwhile the sender may close its own copy, and
    the descriptor's number may be reused for another file.  Each socket is therefore sent as a duplicate, which is
    closed only when the other end has confirmed that it received the socket.

    Attributes:
        is_connected: Whether messages can be sent.
    """

    transport: ChannelTransport  # type: ignore[assignment]  # a UNIX socket's transport; Twisted declares the general interface
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(
        self,
        decode: Callable[[JsonObject], Received | None],
        on_message: Callable[[Received, socket.socket | None], None],
        on_disconnect: Callable[[], None],
    ) -> None:
        """Create one end, which is not connected yet.

        Args:
            decode: Parses a message from its JSON form.  If it returns None, the message is ignored.
            on_message: Called with each message and the socket that came with it, or None.  The callee owns the socket.
            on_disconnect: Called when the channel is closed.
        """
        self._decode = decode
        self._on_message = on_message
        self._on_disconnect = on_disconnect
        self._received_descriptors: deque[int] = deque()
        self._sockets_sent = 0
        self._unconfirmed_duplicates: dict[int, int] = {}  # descriptors by the socket's number on this channel
        self.is_connected = False

    def connectionMade(self) -> None:
        """Called by Twisted when the channel is connected."""
        self.is_connected = True

    def send(self, message: Message, handle: socket.socket | None = None) -> None:
        """Send a message, with a duplicate of `handle` if one is given.  Does nothing once the channel is closed."""
        if self.is_connected:
            self._send_json(message.encode(), handle)

    def _send_json(self, message: JsonObject, handle: socket.socket | None = None) -> None:
        if handle is not None:
            self._sockets_sent += 1
            message[SOCKET_KEY] = self._sockets_sent
            duplicate = os.dup(handle.fileno())
            self._unconfirmed_duplicates[self._sockets_sent] = duplicate
            self.transport.sendFileDescriptor(duplicate)
        self.sendString(orjson.dumps(message))  # type: ignore[no-untyped-call]  # Twisted's is untyped

    def fileDescriptorReceived(self, descriptor: int) -> None:  # noqa: N802  # called by Twisted
        """Called by Twisted with the descriptors in the order sent, each before the bytes that it was sent with."""
        self._received_descriptors.append(descriptor)

    def stringReceived(self, string: bytes) -> None:
        """Called by Twisted with each frame."""
        message: JsonObject = orjson.loads(string)
        if SOCKET_RECEIVED_KEY in message:
            os.close(self._unconfirmed_duplicates.pop(message[SOCKET_RECEIVED_KEY]))
            return
        handle = None
        if SOCKET_KEY in message:
            handle = socket.socket(fileno=self._received_descriptors.popleft())
            if self.is_connected:
                self._send_json({SOCKET_RECEIVED_KEY: message[SOCKET_KEY]})
        decoded = self._decode(message)
        if decoded is not None:
            self._on_message(decoded, handle)
        elif handle is not None:
            handle.close()

    def connectionLost(self, reason: Failure | None = None) -> None:
        """Called by Twisted when the channel is closed: closes unclaimed descriptors and unconfirmed duplicates."""
        self.is_connected = False
        while self._received_descriptors:
            os.close(self._received_descriptors.popleft())
        while self._unconfirmed_duplicates:
            os.close(self._unconfirmed_duplicates.popitem()[1])
        self._on_disconnect()

    def close(self) -> None:
        """Close the channel once all sent messages are written."""
        self.transport.loseConnection()
