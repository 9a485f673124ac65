"""The channel between the supervisor and a worker: JSON in frames over a socket pair, with sockets passed beside it."""

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

CHANNEL_FD = 3  # of a worker process, as the supervisor starts it
MAX_FRAME_BYTES = 64 * 1024 * 1024  # a complete list of some 100,000 servers
SOCKET_KEY = "fd"  # in a message with a socket: the socket's number on this channel
SOCKET_RECEIVED_KEY = "got"  # a message of its own: the socket of this number has arrived

Received = TypeVar("Received")


@implementer(IFileDescriptorReceiver)
class Channel(Int32StringReceiver, Generic[Received]):
    """One end of the channel, which receives messages of one direction.

    A socket may wait long behind a full buffer while its sender closes its own copy, and the descriptor's number is
    given to another file.  So each is sent as a duplicate that is closed only when the other side has received it.

    Attributes:
        is_connected: Whether messages can be sent.
    """

    transport: ChannelTransport  # type: ignore[assignment]  # of a UNIX socket; Twisted names the general one
    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(
        self,
        decode: Callable[[JsonObject], Received | None],
        on_message: Callable[[Received, socket.socket | None], None],
        on_disconnect: Callable[[], None],
    ) -> None:
        """Wait for the connection.

        Args:
            decode: Reads a message from its JSON form; a message that it returns None for is ignored.
            on_message: Called with each message, and the socket that came with it, if one did, which the callee owns.
            on_disconnect: Called when the channel has ended.
        """
        self._decode = decode
        self._on_message = on_message
        self._on_disconnect = on_disconnect
        self._received_descriptors: deque[int] = deque()
        self._sockets_sent = 0
        self._unconfirmed_duplicates: dict[int, int] = {}  # descriptor by the socket's number on this channel
        self.is_connected = False

    def connectionMade(self) -> None:
        """Called by Twisted when the channel can be used."""
        self.is_connected = True

    def send(self, message: Message, handle: socket.socket | None = None) -> None:
        """Send a message, with a duplicate of `handle` if one is given; nothing happens once the channel ended."""
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
        """Called by Twisted with descriptors in their order, each before the bytes that it was sent with."""
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
        """Called by Twisted when the channel has ended: closes the descriptors that nobody will ask for."""
        self.is_connected = False
        while self._received_descriptors:
            os.close(self._received_descriptors.popleft())
        while self._unconfirmed_duplicates:
            os.close(self._unconfirmed_duplicates.popitem()[1])
        self._on_disconnect()

    def close(self) -> None:
        """Close the channel once what was sent is written."""
        self.transport.loseConnection()
