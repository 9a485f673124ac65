"""The sockets between ingresses: datagrams for what is small, a TCP connection a call for the rest."""

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

MAX_MESSAGE_BYTES = 16 << 20  #: of a call or a reply with its stamps
TCP_USER_TIMEOUT_MS = 3000  #: a connection whose bytes go unacknowledged for so long is dropped by the kernel

Result = TypeVar("Result")
DatagramHandler: TypeAlias = "Callable[[int, messages.Datagram], None]"  #: gets the sender's address as well
CallHandler: TypeAlias = "Callable[[messages.Call], messages.Reply | Deferred[messages.Reply]]"


class DatagramTransport(Protocol):
    """What is used of Twisted's UDP transport, whose interface has no types."""

    def write(self, data: bytes, address: tuple[str, int], /) -> object:
        """Send a datagram."""


class StreamTransport(Protocol):
    """What is used of Twisted's TCP transport, whose interface has no types."""

    def setTcpNoDelay(self, enabled: bool, /) -> None:
        """Send small segments at once, or wait for more."""

    def getHandle(self) -> socket.socket:
        """Return the socket."""

    def loseConnection(self) -> None:
        """Close the connection once all that was written has been sent."""

    def abortConnection(self) -> None:
        """Close the connection at once."""


class DatagramSocket(DatagramProtocol):
    """Sends and receives datagrams; those that the fence accepts go to the handler."""

    transport: DatagramTransport | None  # type: ignore[assignment]  # Twisted's type has no usable methods

    def __init__(self, port: int, fence: Fence, on_datagram: DatagramHandler) -> None:
        """All ingresses use the same port."""
        self._port = port
        self._fence = fence
        self._on_datagram = on_datagram

    def datagramReceived(self, data: bytes, addr: tuple[str, int]) -> None:
        """Handle a datagram that came from a host and port."""
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
        with suppress(OSError):  # no route, or no room in the buffer: the same as a datagram that is lost
            self.transport.write(data, (ip_from_int(ip), self._port))


class MessageConnection(Int32StringReceiver):
    """A connection on which a call and its reply travel, each with its length in front."""

    MAX_LENGTH = MAX_MESSAGE_BYTES
    transport: StreamTransport  # type: ignore[assignment]  # set before any method is called

    def connectionMade(self) -> None:
        """Set the socket's options."""
        self.transport.setTcpNoDelay(True)
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)

    def send_message(self, data: bytes) -> None:
        """Send bytes with their length in front."""
        self.sendString(data)  # type: ignore[no-untyped-call]  # Twisted does not annotate it


class CalleeConnection(MessageConnection):
    """The called side: carries out one call and sends the reply; a second call on a connection breaks it off."""

    factory: CalleeFactory  #: set by the factory

    def __init__(self) -> None:
        """Start before the call has come."""
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
    """Makes the called side of each connection that comes in."""

    protocol = CalleeConnection  # type: ignore[assignment]  # Twisted wants a type that sets the factory itself
    noisy = False

    def __init__(self, fence: Fence, on_call: CallHandler) -> None:
        """Calls that the fence accepts go to the handler."""
        self.fence = fence
        self.on_call = on_call


class CallerConnection(MessageConnection):
    """The calling side: waits for the reply and fires the call's Deferred with it."""

    connect_result: Deferred[CallerConnection] | None = None  #: fires once connected; set by `dial`

    def __init__(self, fence: Fence, call: OutstandingCall, done: Deferred[messages.Reply]) -> None:
        """`done` fires with the reply to this call, or with why there is none."""
        self._fence = fence
        self._call = call
        self._done: Deferred[messages.Reply] | None = done

    def connectionMade(self) -> None:
        """Tell who dialed."""
        super().connectionMade()
        if self.connect_result is not None:
            self.connect_result.callback(self)

    def stringReceived(self, data: bytes) -> None:
        """Handle what is to be the reply, and close the connection."""
        done, self._done = self._done, None
        self.transport.loseConnection()
        try:
            reply = self._fence.receive_reply(self._call, data)
        except UnexpectedReplyError as error:
            if done is not None and not done.called:
                done.errback(error)
            return
        if done is not None and not done.called:
            done.callback(reply)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Fail the call if it has no reply."""
        if self._done is not None and not self._done.called:
            self._done.errback(reason)


class OutgoingCall:
    """One call: dials, sends the request, and gives up after a time-out."""

    def __init__(self, fence: Fence, ip: int, message: messages.Call) -> None:
        """Stamp the request; nothing is sent yet."""
        self._fence = fence
        self._ip = ip
        self._call, self._request = fence.stamp_call(ip, message)
        self._done: Deferred[messages.Reply] = Deferred()
        self._connection: CallerConnection | None = None

    def start(self, reactor: Reactor, port: int, timeout_s: float) -> Deferred[messages.Reply]:
        """Dial; the result fires with the reply, or with why there is none within the time-out."""
        address = ip_from_int(self._ip), port
        make_connection: Any = self._make_connection  # `dial` is typed for HTTP streams, and uses `up` alone
        self._dialing = dial(reactor, address, make_connection, timeout_s)
        self._timer = reactor.callLater(timeout_s, self._time_out)
        self._dialing.addCallbacks(self._send_request, self._fail)
        return self._done.addBoth(self._stop_timer)

    def _make_connection(self) -> CallerConnection:
        return CallerConnection(self._fence, self._call, self._done)

    def _send_request(self, connection: CallerConnection) -> None:
        self._connection = connection
        connection.send_message(self._request)

    def _fail(self, reason: Failure) -> None:
        if not self._done.called:
            self._done.errback(reason)

    def _time_out(self) -> None:
        """Break the call off; the end of the connection, or of dialing, fails it."""
        if self._done.called:
            return
        if self._connection is not None:
            self._connection.transport.abortConnection()
        else:
            self._dialing.cancel()

    def _stop_timer(self, result: Result) -> Result:
        if self._timer.active():
            self._timer.cancel()
        return result
