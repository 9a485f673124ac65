"""One call from a machine to another over the simulated network, and its reply."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.error import ConnectionRefusedError, TimeoutError

from ..balancer.transport.errors import UnexpectedReplyError
from .network import CallRecord

if TYPE_CHECKING:
    from ..balancer.transport import messages
    from ..balancer.transport.fencing import Fence
    from .event_loop import ProcessReactor
    from .machine import Machine, Port

CONNECTED_CALL_DELAYS = 3  #: number of one-way delays until a call arrives: a TCP connection is established first
CALL_OVERHEAD_BYTES = 200  #: size of the connection's packets and headers


class RemoteCall:
    """A call in flight.

    Both processes may end or freeze meanwhile, so each step runs on the reactor of the incarnation that it belongs to.
    """

    def __init__(self, caller: Machine, reactor: ProcessReactor, fence: Fence, ip: int, message: messages.Call) -> None:
        """Prepare a call.

        Args:
            caller: The machine that calls.
            reactor: The reactor of the calling process.
            fence: The fence of the calling process.
            ip: The address of the called machine; there may be no such machine.
            message: The message that the called machine handles.
        """
        self.result: Deferred[messages.Reply] = Deferred()
        self._caller = caller
        self._reactor = reactor
        self._fence = fence
        self._ip = ip
        self._message_type = type(message).__name__
        self._outstanding, self._data = fence.stamp_call(ip, message)
        self._world = caller.world
        self._network = caller.world.network

    def send(self, timeout_s: float) -> None:
        """Send the call; `result` fires with the reply, or fails with an error after `timeout_s` at the latest."""
        world, network, caller = self._world, self._network, self._caller
        target = world.machine_at(self._ip)
        self._record(target)
        world.after(timeout_s, self._fail, _timed_out())
        if target is None or network.is_partitioned(caller.name, target.name):
            return
        delay_s = network.delay_s(caller.zone, target.zone)
        for _ in range(network.copies()):
            arrival_s = CONNECTED_CALL_DELAYS * delay_s + network.extra_delay_s()
            world.after(arrival_s, self._arrive, target, delay_s)

    def _record(self, target: Machine | None) -> None:
        """Record the call, and report it to the observer."""
        world, network, caller = self._world, self._network, self._caller
        network.bytes_sent["calls"] += len(self._data) + CALL_OVERHEAD_BYTES
        target_name = target.name if target is not None else ""
        network.calls.append(CallRecord(world.now, caller.name, target_name, self._message_type))
        world.observe("call", caller.name, str(self._ip), self._data)

    def _fail(self, error: Exception) -> None:
        """Fail the call on the caller's reactor, unless it has a result already."""
        if not self.result.called:
            self._reactor.run(self._fail_now, error)

    def _fail_now(self, error: Exception) -> None:
        if not self.result.called:
            self.result.errback(error)

    # -- at the target -------------------------------------------------------------------------------------

    def _arrive(self, target: Machine, delay_s: float) -> None:
        if target.reactor is None or target.port is None or not target.is_running:
            self._world.after(delay_s, self._fail, _refused())
            return
        target.reactor.run(self._execute, target, target.port, delay_s)

    def _execute(self, target: Machine, port: Port, delay_s: float) -> None:
        """Handle the call on the target's reactor, or send back the reason for its refusal."""
        received = port.fence.receive_call(self._data)
        if received.message is None:
            self._send_reply(target, received.refusal, delay_s)
            return

        def on_reply(reply: messages.Reply) -> None:
            self._send_reply(target, port.fence.stamp_reply(received, reply), delay_s)

        reply = maybeDeferred(port.on_call, received.message)
        reply.addCallbacks(on_reply, lambda _: None)  # a call that fails at the target has no reply

    def _send_reply(self, target: Machine, data: bytes, delay_s: float) -> None:
        network, caller = self._network, self._caller
        network.bytes_sent["calls"] += len(data)
        self._world.observe("reply", target.name, caller.name, data)
        if network.is_partitioned(caller.name, target.name):
            return
        data = network.route_reply(caller.name, data)
        self._world.after(delay_s + network.extra_delay_s(), self._reactor.run, self._receive_reply, data)

    # -- back at the caller --------------------------------------------------------------------------------

    def _receive_reply(self, data: bytes) -> None:
        try:
            reply = self._fence.receive_reply(self._outstanding, data)
        except UnexpectedReplyError as error:
            self._fail_now(error)
            return
        if not self.result.called:
            self.result.callback(reply)


def _timed_out() -> Exception:
    return TimeoutError()  # type: ignore[no-untyped-call]  # Twisted's errors have no annotations


def _refused() -> Exception:
    return ConnectionRefusedError()  # type: ignore[no-untyped-call]  # Twisted's errors have no annotations
