"""Dispatch of received datagrams to the parts of the node that handle them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from .transport.messages import (
    Chosen,
    CounterIncrement,
    CounterSync,
    CounterValue,
    Datagram,
    Heartbeat,
    LeaseGrant,
    LeaseRequest,
    LoadReport,
    StateQuery,
    StateReport,
    Vote,
    VoteRequest,
)

if TYPE_CHECKING:
    from .context import NodeContext
    from .control.control_plane import ControlPlane
    from .discovery.endpoint_poller import EndpointPoller
    from .heartbeats import HeartbeatExchange
    from .proxy.proxy import Proxy
    from .proxy.slow_start_leases import SlowStartLeases
    from .quota.client import QuotaClient
    from .transport.fencing import Fence


@dataclass(frozen=True, slots=True)
class DatagramReceivers:
    """The parts of a node that handle datagrams."""

    heartbeats: HeartbeatExchange
    control_plane: ControlPlane
    poller: EndpointPoller
    proxy: Proxy
    slow_start_leases: SlowStartLeases
    quota_client: QuotaClient


class DatagramDispatcher:
    """Passes each datagram to the handler of its type."""

    def __init__(self, context: NodeContext, fence: Fence, receivers: DatagramReceivers) -> None:
        """Create the table of handlers; `fence` detects load reports that arrive after newer ones."""
        self._context = context
        self._fence = fence
        self._replica = receivers.control_plane.replica
        self._proxy = receivers.proxy
        self._slow_start_leases = receivers.slow_start_leases
        self._handlers: dict[type[Datagram], Callable[[int, Any], None]] = {
            Heartbeat: receivers.heartbeats.receive,
            StateQuery: receivers.control_plane.handle_state_query,
            StateReport: receivers.control_plane.handle_state_report,
            Chosen: self._receive_chosen_state,
            LoadReport: self._receive_load_report,
            VoteRequest: receivers.poller.handle_vote_request,
            Vote: receivers.poller.receive_vote,
            LeaseRequest: self._handle_lease_request,
            LeaseGrant: receivers.slow_start_leases.handle_grant,
            CounterIncrement: receivers.quota_client.receive,
            CounterValue: receivers.quota_client.receive,
            CounterSync: receivers.quota_client.receive,
        }

    def receive(self, ip: int, message: Datagram) -> None:
        """Handle a datagram that the fence has accepted; `ip` is its sender's address."""
        self._handlers[type(message)](ip, message)

    def _receive_chosen_state(self, _ip: int, message: Chosen) -> None:
        self._replica.handle_chosen(message)

    def _receive_load_report(self, ip: int, report: LoadReport) -> None:
        if self._fence.accept_sequence(ip, report.sequence):  # reports may arrive out of order
            self._proxy.receive_load_report(ip, report, self._context.now())

    def _handle_lease_request(self, ip: int, request: LeaseRequest) -> None:
        grant = self._slow_start_leases.handle_request(ip, request)
        if grant is not None:
            self._context.send(ip, grant)
