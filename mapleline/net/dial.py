"""Connecting over TCP, as a Deferred.

`twisted.internet.endpoints` does the same, but importing it adds 16 ms to each start.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

if TYPE_CHECKING:
    from twisted.internet import protocol
    from twisted.internet.interfaces import IAddress, IConnector

    from ..settings.platform import Address


class Dialed(Protocol):
    """A protocol that reports its connection: a `streams.Stream`, or one that calls `connect_result` itself."""

    connect_result: Any  # a Deferred[Self] | None; a typing protocol cannot express that for a settable attribute


DialedT = TypeVar("DialedT", bound=Dialed)


class _DialFactory(ClientFactory):
    """Makes the protocol of one connection, and reports a failed attempt."""

    noisy = False

    def __init__(self, make_protocol: Callable[[], Dialed], result: Deferred[Any]) -> None:
        self._make_protocol = make_protocol
        self._result = result

    def buildProtocol(self, addr: IAddress | None) -> protocol.Protocol:
        dialed: Any = self._make_protocol()
        dialed.connect_result = self._result
        made: protocol.Protocol = dialed
        return made

    def clientConnectionFailed(self, connector: IConnector, reason: Failure) -> None:
        if not self._result.called:
            self._result.errback(reason)


def dial(
    reactor: Any,  # noqa: ANN401  # a reactor, or a test's stand-in that has `connectTCP` only
    address: Address,
    make_protocol: Callable[[], DialedT],
    timeout_s: float,
) -> Deferred[DialedT]:
    """Connect to an address.

    Args:
        reactor: the event loop.
        address: host and port.
        make_protocol: makes the protocol of the connection.
        timeout_s: seconds after which the attempt fails.

    Returns:
        A Deferred that fires with the connected protocol, or fails with the reason; cancelling it ends the attempt.
    """
    result: Deferred[DialedT] = Deferred(lambda _: connector.disconnect())
    host, port = address
    connector = reactor.connectTCP(host, port, _DialFactory(make_protocol, result), timeout=timeout_s)
    return result
