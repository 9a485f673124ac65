"""Messages between the supervisor and a worker: JSON in frames over a socket pair, sockets beside them."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

import orjson
from twisted.internet.interfaces import IFileDescriptorReceiver
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

MOST_FRAME = 64 * 1024 * 1024  # a whole list of some 100,000 servers


@implementer(IFileDescriptorReceiver)
class Channel(Int32StringReceiver):
    """One end.  `told(message, handle)`: where a message has `fd`, a socket comes with it to keep.

    A socket may wait long behind a full buffer while its sender closes its own copy, and the number is given
    to another file.  So each goes out as a copy that is closed only when the other side has it.
    """

    MAX_LENGTH = MOST_FRAME

    def __init__(self, told: Callable[[dict[str, Any], socket.socket | None], None], ended: Callable[[], None]) -> None:
        self._told, self._ended = told, ended
        self._handles: deque[int] = deque()
        self._sent = 0
        self._on_the_way: dict[int, int] = {}  # copies, by the number in `fd`
        self.up = False

    def connectionMade(self) -> None:
        self.up = True

    def tell(self, message: dict[str, Any], handle: socket.socket | None = None) -> None:
        if not self.up:
            return
        if handle is not None:
            self._sent += 1
            message["fd"] = self._sent
            copy = self._on_the_way[self._sent] = os.dup(handle.fileno())
            self.transport.sendFileDescriptor(copy)
        self.sendString(orjson.dumps(message))

    def fileDescriptorReceived(self, descriptor: int) -> None:
        # Twisted gives them in their order, each before the bytes that it was sent with.
        self._handles.append(descriptor)

    def stringReceived(self, string: bytes) -> None:
        message = orjson.loads(string)
        if "got" in message:
            return os.close(self._on_the_way.pop(message["got"]))
        handle = None
        if "fd" in message:
            handle = socket.socket(fileno=self._handles.popleft())
            self.tell({"got": message["fd"]})
        self._told(message, handle)

    def connectionLost(self, reason: Failure) -> None:
        self.up = False
        while self._handles:
            os.close(self._handles.popleft())
        while self._on_the_way:
            os.close(self._on_the_way.popitem()[1])
        self._ended()
