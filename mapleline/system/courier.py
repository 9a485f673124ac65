"""How ingresses talk: a datagram socket for the small, one call a connection for the rest."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, ServerFactory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ..net.dial import dial
from . import messages

LARGEST = 16 << 20
USER_TIMEOUT_MS = 3000


def number(host: str) -> int:
    """An IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def host(ip: int) -> str:
    return socket.inet_ntoa(ip.to_bytes(4, "big"))


class Datagrams(DatagramProtocol):
    """Decoded datagrams go to `told(ip, message)`."""

    def __init__(self, port: int, told: Callable[[int, messages.Datagram], None]) -> None:
        self.port, self.told = port, told

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        try:
            message = messages.decode_datagram(data)
        except msgspec.DecodeError:
            return
        self.told(number(addr[0]), message)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """May be lost on its way."""
        if self.transport is not None:
            try:
                self.transport.write(messages.encode(message), (host(ip), self.port))
            except OSError:
                pass  # no way there, or no room: the same as a loss


class _Line(Int32StringReceiver):
    MAX_LENGTH = LARGEST

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Answering(_Line):
    """Takes calls; `answer` gives a reply or a Deferred of one."""

    def stringReceived(self, data: bytes) -> None:
        try:
            call = messages.decode_call(data)
        except msgspec.DecodeError:
            return self.transport.abortConnection()
        reply = self.factory.answer(call)
        if isinstance(reply, Deferred):
            reply.addCallbacks(self._reply, lambda _: self.transport.abortConnection())
        else:
            self._reply(reply)

    def _reply(self, reply: messages.Reply) -> None:
        if self.connected:
            self.sendString(messages.encode(reply))


class AnswerFactory(ServerFactory):
    protocol, noisy = Answering, False

    def __init__(self, answer: Callable[[messages.Call], Any]) -> None:
        self.answer = answer


class _Calling(_Line):
    up: Deferred | None = None

    def __init__(self, done: Deferred) -> None:
        self.done = done

    def connectionMade(self) -> None:
        super().connectionMade()
        if self.up is not None:
            self.up.callback(self)

    def stringReceived(self, data: bytes) -> None:
        done, self.done = self.done, None
        self.transport.loseConnection()
        if done is not None and not done.called:
            try:
                done.callback(messages.decode_reply(data))
            except msgspec.DecodeError:
                done.errback(Failure())

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        if self.done is not None and not self.done.called:
            self.done.errback(reason)


def call(reactor: Any, ip: int, port: int, message: messages.Call, timeout_s: float) -> Deferred:
    """Fires with the reply, or fails."""
    done: Deferred = Deferred()
    dialed = dial(reactor, (host(ip), port), lambda: _Calling(done), timeout_s)
    line: list[_Calling] = []

    def up(made: _Calling) -> None:
        line.append(made)
        made.sendString(messages.encode(message))

    def refused(reason: Failure) -> None:
        if not done.called:
            done.errback(reason)

    def late() -> None:
        if not done.called:
            (line[0].transport.abortConnection if line else dialed.cancel)()

    timer = reactor.callLater(timeout_s, late)
    dialed.addCallbacks(up, refused)

    def over(result: Any) -> Any:
        if timer.active():
            timer.cancel()
        return result

    return done.addBoth(over)
