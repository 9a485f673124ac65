"""How ingresses talk: a datagram socket for the small, one call a connection for the rest."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import DatagramProtocol, ServerFactory
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from ...net.dial import dial
from . import messages
from .fencing import Fence, Outstanding, Taken, UnexpectedReplyError

LARGEST = 16 << 20
USER_TIMEOUT_MS = 3000


def number(host: str) -> int:
    """An IPv4 address as a number."""
    return int.from_bytes(socket.inet_aton(host), "big")


def host(ip: int) -> str:
    return socket.inet_ntoa(ip.to_bytes(4, "big"))


class Datagrams(DatagramProtocol):
    """What the fence believes of datagrams goes to `told(ip, message)`."""

    def __init__(self, port: int, fence: Fence, told: Callable[[int, messages.Datagram], None]) -> None:
        self.port, self.fence, self.told = port, fence, told

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        ip = number(addr[0])
        message, back = self.fence.open(ip, data)
        if back is not None:
            self._write(ip, back)
        if message is not None:
            self.told(ip, message)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """May be lost on its way."""
        self._write(ip, self.fence.seal(ip, message))

    def _write(self, ip: int, data: bytes) -> None:
        if self.transport is not None:
            try:
                self.transport.write(data, (host(ip), self.port))
            except OSError:
                pass  # no way there, or no room: the same as a loss


class _Line(Int32StringReceiver):
    MAX_LENGTH = LARGEST

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


class Answering(_Line):
    """Takes one call; `answer` gives a reply or a Deferred of one."""

    taken: Taken | None = None

    def stringReceived(self, data: bytes) -> None:
        if self.taken is not None:
            return self.transport.abortConnection()
        self.taken = taken = self.factory.fence.take(data)
        if taken.message is None:
            if not taken.refusal:
                return self.transport.abortConnection()
            self.sendString(taken.refusal)
            return self.transport.loseConnection()
        reply = self.factory.answer(taken.message)
        if isinstance(reply, Deferred):
            reply.addCallbacks(self._reply, lambda _: self.transport.abortConnection())
        else:
            self._reply(reply)

    def _reply(self, reply: messages.Reply) -> None:
        if self.connected:
            self.sendString(self.factory.fence.reply(self.taken, reply))


class AnswerFactory(ServerFactory):
    protocol, noisy = Answering, False

    def __init__(self, fence: Fence, answer: Callable[[messages.Call], Any]) -> None:
        self.fence, self.answer = fence, answer


class _Calling(_Line):
    up: Deferred | None = None

    def __init__(self, fence: Fence, out: Outstanding, done: Deferred) -> None:
        self.fence, self.out, self.done = fence, out, done

    def connectionMade(self) -> None:
        super().connectionMade()
        if self.up is not None:
            self.up.callback(self)

    def stringReceived(self, data: bytes) -> None:
        done, self.done = self.done, None
        self.transport.loseConnection()
        try:
            reply = self.fence.believe(self.out, data)
        except UnexpectedReplyError:
            if done is not None and not done.called:
                done.errback(Failure())
            return
        if done is not None and not done.called:
            done.callback(reply)

    def connectionLost(self, reason: Failure = Failure(ConnectionDone())) -> None:  # noqa: B008
        if self.done is not None and not self.done.called:
            self.done.errback(reason)


def call(reactor: Any, ip: int, port: int, fence: Fence, message: messages.Call, timeout_s: float) -> Deferred:
    """Fires with the reply if it is the answer to this call, or fails."""
    out, data = fence.request(ip, message)
    done: Deferred = Deferred()
    dialed = dial(reactor, (host(ip), port), lambda: _Calling(fence, out, done), timeout_s)
    line: list[_Calling] = []

    def up(made: _Calling) -> None:
        line.append(made)
        made.sendString(data)

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
