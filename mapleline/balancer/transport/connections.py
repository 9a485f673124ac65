"""The sockets between ingresses: UDP for small messages, and one TCP connection per call for the others."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Protocol, TypeAlias, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.protocol import DatagramProtocol, ServerFactory, connectionDone
from twisted.protocols.basic import Int32StringReceiver

from ...net.dial import dial
from .addresses import ip_from_int, ip_to_int
from .errors import UnexpectedReplyError

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from ..clock import Reactor
    from . import messages
    from .fencing import Fence, OutstandingCall, ReceivedCall

MAX_MESSAGE_BYTES = 16 << 20  #: bound of a call or a reply, stamps included
TCP_USER_TIMEOUT_MS = 3000  #: the kernel drops a connection with bytes unacknowledged that long

Result = TypeVar("Result")
DatagramHandler: TypeAlias = "Callable[[int, messages.Datagram], None]"  #: gets the sender's address first
CallHandler: TypeAlias = "Callable[[messages.Call], messages.Reply | Deferred[messages.Reply]]"


class DatagramTransport(Protocol):
    """The used part of Twisted's UDP transport, whose interface has no type annotations."""

    def write(self, data: bytes, address: tuple[str, int], /) -> object:
        """Send a datagram."""


class StreamTransport(Protocol):
    """The used part of Twisted's TCP transport, whose interface has no type annotations."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Enable or disable `TCP_NODELAY`: whether small segments are sent at once."""

    def getHandle(self) -> socket.socket:
        """Return the socket."""

    def loseConnection(self) -> None:
        """Close the connection after all written bytes have been sent."""

    def abortConnection(self) -> None:
        """Close the connection at once."""


class DatagramSocket(DatagramProtocol):
    """Sends and receives datagrams, and calls the handler with those that the fence accepts."""

    transport: DatagramTransport | None  # type: ignore[assignment]  # Twisted's type has no usable methods

    def __init__(self, port: int, fence: Fence, on_datagram: DatagramHandler) -> None:
        """Create a socket that sends to `port`, which is the same on all ingresses."""
        self._port = port
        self._fence = fence
        self._on_datagram = on_datagram

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram that was received from a host and port."""
        ip = ip_to_int(addr[0])
        received = self._fence.receive_datagram(ip, data)
        if received.refusal is not None:
            self._write(ip, received.refusal)
        if received.message is not None:
            self._on_datagram(ip, received.message)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """Send a datagram; it may be lost on its way."""
        self._write(ip, self._fence.stamp_datagram(ip, message))

    def _write(self, ip: int, data: bytes) -> None:
        if self.transport is None:
            return
        with suppress(OSError):  # no route, or a full socket buffer: equivalent to a lost datagram
            self.transport.write(data, (ip_from_int(ip), self._port))


class MessageConnection(Int32StringReceiver):
    """A connection for one call and its reply, each prefixed with its length."""

    MAX_LENGTH = MAX_MESSAGE_BYTES
    transport: StreamTransport  # type: ignore[assignment]  # set before any method is called

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def send_message(self, data: bytes) -> None:
        """Send bytes with their length as a prefix."""
        self.sendString(data)  # type: ignore[no-untyped-call]  # Twisted does not annotate it


class CalleeConnection(MessageConnection):
    """The callee's end: carries out one call and sends the reply; a second call aborts the connection."""

    factory: CalleeFactory  #: set by the factory

    def __init__(self) -> None:
        """Create a connection that has not received a call yet."""
        self._call: ReceivedCall | None = None

    def stringReceived(self, data: bytes) -> None:
        """Handle a call."""
        if self._call is not None:
            self.transport.abortConnection()
            return
        self._call = call = self.factory.fence.receive_call(data)
        if call.message is None:
            self._refuse(call)
            return
        reply = self.factory.on_call(call.message)
        if isinstance(reply, Deferred):
            reply.addCallbacks(self._send_reply, self._handle_failure)
        else:
            self._send_reply(reply)

    def _refuse(self, call: ReceivedCall) -> None:
        if not call.refusal:
            self.transport.abortConnection()
            return
        self.send_message(call.refusal)
        self.transport.loseConnection()

    def _send_reply(self, reply: messages.Reply) -> None:
        if self.connected and self._call is not None:
            self.send_message(self.factory.fence.stamp_reply(self._call, reply))

    def _handle_failure(self, _: Failure) -> None:
        self.transport.abortConnection()


class CalleeFactory(ServerFactory):
    """Builds the callee's end of each accepted connection."""

    protocol = CalleeConnection  # type: ignore[assignment]  # Twisted expects a type that sets the factory itself
    noisy = False

    def __init__(self, fence: Fence, on_call: CallHandler) -> None:
        """Create a factory; `on_call` is called with each call that the fence accepts."""
        self.fence = fence
        self.on_call = on_call


class CallerConnection(MessageConnection):
    """The caller's end: waits for the reply and fires the call's Deferred with it."""

    connect_result: Deferred[CallerConnection] | None = None  #: fires once connected; set by `dial`

    def __init__(self, fence: Fence, call: OutstandingCall, result: Deferred[messages.Reply]) -> None:
        """Create the end of one call; `result` fires with the reply, or with the error that prevented one."""
        self._fence = fence
        self._call = call
        self._result: Deferred[messages.Reply] | None = result

    def connectionMade(self) -> None:
        """Report the established connection to `dial`."""
        super().connectionMade()
        if self.connect_result is not None:
            self.connect_result.callback(self)

    def stringReceived(self, data: bytes) -> None:
        """Handle the first message as the reply, and close the connection."""
        result, self._result = self._result, None
        self.transport.loseConnection()
        try:
            reply = self._fence.receive_reply(self._call, data)
        except UnexpectedReplyError as error:
            if result is not None and not result.called:
                result.errback(error)
            return
        if result is not None and not result.called:
            result.callback(reply)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the call if no reply was received."""
        if self._result is not None and not self._result.called:
            self._result.errback(reason)


class OutgoingCall:
    """One call: dials, sends the request, and fails after a time-out."""

    def __init__(self, fence: Fence, ip: int, message: messages.Call) -> None:
        """Stamp the request without sending it."""
        self._fence = fence
        self._ip = ip
        self._call, self._request = fence.stamp_call(ip, message)
        self._result: Deferred[messages.Reply] = Deferred()
        self._connection: CallerConnection | None = None

    def start(self, reactor: Reactor, port: int, timeout_s: float) -> Deferred[messages.Reply]:
        """Dial; the result fires with the reply, or with an error if none was received within the time-out."""
        address = ip_from_int(self._ip), port
        make_connection: Any = self._make_connection  # `dial` is typed for HTTP streams, but sets `connect_result` only
        self._dialing = dial(reactor, address, make_connection, timeout_s)
        self._timer = reactor.callLater(timeout_s, self._time_out)
        self._dialing.addCallbacks(self._send_request, self._fail)
        return self._result.addBoth(self._stop_timer)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(self._fence, self._call, self._result)

    def _send_request(self, connection: CallerConnection) -> None:
        self._connection = connection
        connection.send_message(self._request)

    def _fail(self, reason: Failure) -> None:
        if not self._result.called:
            self._result.errback(reason)

    def _time_out(self) -> None:
        """Abort the connection or cancel dialing; either makes the call fail."""
        if self._result.called:
            return
        if self._connection is not None:
            self._connection.transport.abortConnection()
        else:
            self._dialing.cancel()

    def _stop_timer(self, result: Result) -> Result:
        if self._timer.active():
            self._timer.cancel()
        return result
