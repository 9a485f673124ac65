"""One node of the balancer: builds its parts, starts them, and reports its readiness and status."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from ..http1 import BufferPool
from .configuration_applier import ConfigurationApplier
from .context import NodeContext
from .control.api import ControlApi
from .control.control_plane import ControlPlane, ControlPlaneCallbacks
from .control.state_fetcher import NO_ENDPOINT_LIST, EndpointListCopy
from .discovery.directory import Directory
from .discovery.endpoint_poller import EndpointPoller
from .discovery.endpoints import EndpointList
from .dispatcher import DatagramDispatcher, DatagramReceivers
from .graceful_shutdown import GracefulShutdown
from .heartbeats import HEARTBEAT_INTERVAL_S, HeartbeatExchange
from .housekeeping import Housekeeping
from .load_reporter import LoadReporter
from .membership.electorate import Electorate
from .membership.leadership import Leadership
from .membership.member import Member, MemberFlags
from .membership.table import MembershipTable
from .proxy.client_connection import ClientConnection
from .proxy.dependencies import ProxyDependencies
from .proxy.listener import Listener
from .proxy.proxy import Proxy
from .proxy.slow_start_leases import SlowStartLeases
from .proxy.upstream_connection import STREAM_THRESHOLD_BYTES
from .quota.client import QuotaClient
from .settings import Settings, SettingsError
from .topology import Topology
from .transport.addresses import ip_from_int, ip_to_int
from .transport.fencing import Fence

if TYPE_CHECKING:
    from ..http1 import Request
    from .clock import Reactor
    from .control.state import State
    from .environment import Environment

logger = logging.getLogger(__name__)

BODY_MEMORY_BYTES_PER_MB = (1 << 20) // 5
"""Bytes for buffered bodies per MB of memory: a fifth of it; above that limit bodies are streamed."""
CONTROL_BUFFERS_KEPT = 4
READ_LEASE_MARGIN_S = 0.3
"""The read lease ends this long before `revoke_timeout`, to allow for clock drift and network delay."""
LENIENT_LEASE_FACTOR = 4
"""Factor on the read lease if `revocation_strict` is false."""
CONTROL_BACKLOG = 256
FRONT_BACKLOG = 1024
INCARNATIONS_PER_S = 10
INCARNATION_MASK = 0xFFFFFFFF


class Node:
    """One node and its parts.

    The parts are created in the order in which they draw from the node's random numbers.  The order must not change,
    because otherwise simulated runs no longer replay exactly.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: Settings,
        environment: Environment,
        reload_settings: Callable[[], Settings],
    ) -> None:
        """Build the parts.

        Args:
            reactor: provides the clock, timers and listening sockets.
            settings: the settings at the start of the process.
            environment: provides datagrams, calls, the disk and the time of day.
            reload_settings: reads the settings file again.
        """
        self.settings = settings
        self._reload_settings = reload_settings
        self.topology = Topology.from_settings(settings)
        self.context = self._make_context(reactor, settings, environment)
        self.membership = self.context.membership
        self.fence = Fence(self.membership)
        self.endpoints = EndpointList(settings.cloud_api.max_lag)
        self.leadership = Leadership(self.membership.local_member.ip)
        body_pool = BufferPool(limit_bytes=int(settings.limits.memory_mb * BODY_MEMORY_BYTES_PER_MB))
        self.upstream_pool = environment.upstream_pool(body_pool)
        self.control_plane = self._make_control_plane()
        self.electorate = Electorate(self.control_plane.committed.voter_ips, self.membership)
        self.quota_client = QuotaClient(reactor, settings, environment, self.membership, self._home_regions)
        self.proxy = self._make_proxy()
        self.slow_start_leases = self._make_slow_start_leases()
        self.proxy.slow_start.leases = self.slow_start_leases
        self.front_listener = Listener(reactor, body_pool, self.proxy.handle_request, STREAM_THRESHOLD_BYTES)
        self.listeners = [self.front_listener]
        self.control_api = ControlApi(self.control_plane, self.status)
        self.directory = Directory(reactor, settings, self.membership, self.context.rng, self.has_read_lease)
        self.configuration_applier = ConfigurationApplier(
            self.control_plane,
            self.fence,
            self.proxy,
            self.front_listener,
            self.quota_client.replica.on_home_regions_changed,
        )
        self.platform_client = environment.platform_client(self.endpoints, self._on_endpoints_fetched)
        self._make_drivers()

    def _make_context(self, reactor: Reactor, settings: Settings, environment: Environment) -> NodeContext:
        rng = random.Random(f"{settings.node_name} {environment.unix_time()}")
        started_at = reactor.seconds()
        local_member = Member(
            ip_to_int(settings.ip_address),
            self.topology.zone_index(settings.zone),
            int(MemberFlags.HAS_DISK) if settings.data_directory else 0,
            incarnation=int(environment.unix_time() * INCARNATIONS_PER_S) & INCARNATION_MASK,
            last_heartbeat=started_at,
        )
        membership = MembershipTable(local_member, HEARTBEAT_INTERVAL_S)
        return NodeContext(reactor, settings, environment, membership, rng, started_at)

    def _make_control_plane(self) -> ControlPlane:
        callbacks = ControlPlaneCallbacks(
            self._on_state_committed, self._on_state_learned, self._export_endpoints, self._import_endpoints
        )
        return ControlPlane(self.context, callbacks)

    def _make_proxy(self) -> Proxy:
        context = self.context
        dependencies = ProxyDependencies(
            clock=context.reactor,
            settings=context.settings,
            membership=context.membership,
            endpoints=self.endpoints,
            upstream_pool=self.upstream_pool,
            can_serve=self.can_serve,
            consult_quota=self.quota_client.consult,
            rng=context.rng,
        )
        return Proxy(dependencies)

    def _make_slow_start_leases(self) -> SlowStartLeases:
        context = self.context
        return SlowStartLeases(
            context.reactor,
            context.membership.local_member.ip,
            context.rng,
            context.environment.send,
            self.electorate.addresses,
            self.proxy.slow_start.wanted_leases,
            context.membership.local_member.has_disk,
        )

    def _make_drivers(self) -> None:
        """Create the parts that set timers and handle messages."""
        context = self.context
        self.heartbeats = HeartbeatExchange(
            context, self.topology, self.control_plane, self.endpoints, self.leadership, self.member_flags
        )
        self.load_reporter = LoadReporter(context, self.topology, self.proxy, self.fence)
        self.poller = EndpointPoller(
            context, self.endpoints, self.leadership, self.electorate, self.platform_client.fetch
        )
        self.housekeeping = Housekeeping(
            context,
            self.listeners,
            self.proxy,
            self.upstream_pool,
            self.fence,
            self.quota_client.log,
            self.reload_seed_nodes,
        )
        self.shutdown = GracefulShutdown(
            context, self.listeners, self.proxy, self.control_plane, self.poller, self.heartbeats
        )
        receivers = DatagramReceivers(
            self.heartbeats,
            self.control_plane,
            self.poller,
            self.proxy,
            self.slow_start_leases,
            self.quota_client,
        )
        self.dispatcher = DatagramDispatcher(context, self.fence, receivers)

    # -- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        """Load the control state from the disk, open the sockets and start the timers."""
        self.control_plane.load()
        self.context.environment.listen(self.fence, self.dispatcher.receive, self.control_plane.handle_call)
        self._listen()
        self.heartbeats.run()
        self.control_plane.start()
        self.housekeeping.run()
        self.poller.run()
        self.load_reporter.run()
        self.slow_start_leases.start()
        settings = self.settings
        logger.info(
            "started",
            extra={
                "zone": settings.zone,
                "disk": bool(settings.data_directory),
                "initial": settings.initial_start,
            },
        )

    def _listen(self) -> None:
        addresses = self.settings.listen_addresses
        pool = BufferPool(max_free=CONTROL_BUFFERS_KEPT)  # no limit: these requests are small and never streamed
        for address, handler in (
            (addresses.ready_addr, self.handle_readiness),
            (addresses.control_addr, self.control_api.handle_request),
            (addresses.directory_addr, self.directory.handle_request),
        ):
            if address is not None:
                listener = Listener(self.context.reactor, pool, handler)
                self.listeners.append(listener)
                self._listen_at(address, listener, CONTROL_BACKLOG)
        if addresses.front_addr is not None:
            self._listen_at(addresses.front_addr, self.front_listener, FRONT_BACKLOG)

    def _listen_at(self, address: tuple[str, int], listener: Listener, backlog: int) -> None:
        host, port = address
        self.context.reactor.listenTCP(port, listener, backlog=backlog, interface=host)

    def shut_down(self) -> None:
        """Drain the node and then end the process (on SIGTERM)."""
        self.shutdown.begin()

    def reload_seed_nodes(self) -> None:
        """Read the settings file again; of the settings only the seed nodes may change while a process runs."""
        try:
            settings = self._reload_settings()
        except (SettingsError, OSError):
            return
        if settings.seed_nodes != self.heartbeats.seed_nodes:
            self.heartbeats.seed_nodes = settings.seed_nodes
            logger.info("seed nodes changed", extra={"seeds": len(settings.seed_nodes)})

    # -- readiness and status ------------------------------------------------------------------------------

    def can_serve(self) -> bool:
        """Return whether clients are served: this node has a configuration and a read lease."""
        return self.proxy.table is not None and self.has_read_lease()

    def has_read_lease(self) -> bool:
        """Return whether a majority of the voters confirmed the committed state within `revoke_timeout`."""
        bounds = self.settings.protocol_bounds
        lease_s = bounds.revoke_timeout if bounds.revocation_strict else LENIENT_LEASE_FACTOR * bounds.revoke_timeout
        return self.context.now() - self.control_plane.current_as_of() < lease_s - READ_LEASE_MARGIN_S

    def is_ready(self) -> bool:
        """Return whether this node accepts new clients."""
        return self.can_serve() and not self.shutdown.is_draining and bool(self.endpoints.instances)

    def member_flags(self) -> int:
        """Return this node's flags for its heartbeats."""
        flags = MemberFlags(0)
        if self.is_ready():
            flags |= MemberFlags.READY
        if self.shutdown.is_draining:
            flags |= MemberFlags.LEAVING
        if self.membership.local_member.has_disk:
            flags |= MemberFlags.HAS_DISK
        if self.control_plane.monitor.can_propose:
            flags |= MemberFlags.CAN_PROPOSE
        return int(flags)

    def handle_readiness(self, client_connection: ClientConnection, request: Request) -> None:
        """Answer a readiness probe: 200 or 503."""
        client_connection.reply(200 if self.is_ready() else 503)

    def status(self) -> dict[str, Any]:
        """Return this node's part of `GET /status`."""
        state = self.control_plane.state
        # During a change of voters the system may not tolerate another loss, so the node does not count as formed.
        is_formed = state is not None and self.control_plane.replica.is_voter and not state.former
        return {
            "node": self.settings.node_name,
            "ready": self.is_ready(),
            "formed": is_formed,
            "ingresses": len(self.membership.live_members(self.context.now())),
            "servers": len(self.endpoints.instances),
            "list": {"holder": ip_from_int(self.leadership.leader_ip), "term": self.leadership.term},
            "counts": self.proxy.counters,
        }

    def _home_regions(self, tenant: str) -> list[str] | None:
        """Return a tenant's home regions in the current configuration; None if the tenant is unknown."""
        found = self.proxy.table.tenants.get(tenant) if self.proxy.table is not None else None
        return found.home_regions if found is not None else None

    # -- callbacks of the parts ----------------------------------------------------------------------------

    def _on_state_committed(self, before: State | None) -> None:
        self.configuration_applier.apply(before)

    def _on_state_learned(self) -> None:
        self.heartbeats.notify_assigned_nodes()

    def _export_endpoints(self) -> EndpointListCopy:
        """Return the endpoint list, to be sent to another node."""
        if not self.endpoints.digest:
            return NO_ENDPOINT_LIST
        return EndpointListCopy(self.endpoints.body, self.endpoints.age_ms(self.context.now()))

    def _import_endpoints(self, fetched_at: float, body: bytes) -> None:
        """Adopt the endpoint list of another node if it is newer."""
        if self.endpoints.update_from_peer(fetched_at, body):
            self.proxy.update_endpoints()

    def _on_endpoints_fetched(self, is_changed: bool) -> None:
        if is_changed:
            self.proxy.update_endpoints()
            self.heartbeats.broadcast()
