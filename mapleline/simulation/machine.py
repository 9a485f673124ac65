"""One machine of a simulated system: the life cycle of its process, and the environment of that process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar
from zlib import crc32

from twisted.internet.defer import Deferred

from ..balancer import settings
from ..balancer.environment import Environment
from ..balancer.node import Node
from ..balancer.transport.addresses import ip_to_int
from .disk import Disk
from .event_loop import ProcessReactor
from .node_settings import NodeSettings, settings_text
from .platform import SimulatedPlatformClient
from .records import ActiveConfiguration, MachineEventKind
from .remote_call import RemoteCall
from .servers import SimulatedUpstreamPool

if TYPE_CHECKING:
    from ..balancer.configuration import Configuration
    from ..balancer.discovery.endpoints import EndpointList
    from ..balancer.discovery.platform_client import PlatformClient
    from ..balancer.proxy.upstream_pool import UpstreamPool
    from ..balancer.routing_table import RoutingTable
    from ..balancer.transport import messages
    from ..balancer.transport.connections import CallHandler, DatagramHandler
    from ..balancer.transport.fencing import Fence
    from ..http1 import BufferPool
    from .world import World

PROCESS_START_S = 0.6  #: time from the start of a process until its node starts, give or take the jitter
PROCESS_START_JITTER = 0.1  #: largest relative deviation from `PROCESS_START_S`
SYNC_S = 0.004  #: duration of a disk sync
MAX_CLOCK_SKEW_S = 0.05
UNIX_TIME_AT_START_S = 1.7e9
UDP_OVERHEAD_BYTES = 28  #: IPv4 and UDP headers (RFC 791, RFC 768)

Result = TypeVar("Result")


class NotRunningError(Exception):
    """An operation needs a running process, and there is none."""


def configuration_digest(configuration: Configuration) -> str:
    """Return a digest of the contents of a configuration, independent of its formatting."""
    return f"{crc32(configuration.model_dump_json().encode()):08x}"


@dataclass(frozen=True, slots=True)
class Port:
    """The handlers by which a process receives messages of other ingresses."""

    fence: Fence
    on_datagram: DatagramHandler
    on_call: CallHandler


class Machine(Environment):
    """One machine, and the process that runs on it.

    Attributes:
        disk: The disk, which outlasts the process; None on a machine without one.
        node: The balancer's node; None while no process runs.
        reactor: The reactor of the current incarnation; None while there is no process.
        port: The handlers of received messages; None until the process listens.
        incarnation: Number of starts so far.
        frozen_until: The moment until which the process executes nothing, in seconds of virtual time.
        is_removed: Whether the machine was removed permanently.
        seed_addresses: Seed machines in its settings file; if empty, the default ones of the world.
        clock_skew_s: Its time of day minus the true time of day, in seconds.
    """

    def __init__(self, world: World, zone: str, number: int, has_disk: bool) -> None:
        """Create a machine that is not started yet; `number` is the last byte of its address."""
        self.world = world
        self.zone = zone
        self.number = number
        self.name = f"{zone}-{number}"
        self.address = f"10.{world.zone_names.index(zone) + 1}.0.{number}"
        self.ip = ip_to_int(self.address)
        self.disk = Disk(self._observe_write) if has_disk else None
        self.node: Node | None = None
        self.reactor: ProcessReactor | None = None
        self.port: Port | None = None
        self.incarnation = 0
        self.frozen_until = 0.0
        self.is_removed = False
        self.seed_addresses: list[str] = []
        self.clock_skew_s = world.rng.uniform(-MAX_CLOCK_SKEW_S, MAX_CLOCK_SKEW_S)
        self._digested_table: RoutingTable | None = None
        self._digest = ""
        self._settings_text = ""
        self._settings: settings.Settings | None = None

    # -- inspection of the node: no other code of the simulation depends on a node's internals --------------

    def active_configuration(self) -> ActiveConfiguration | None:
        """Return the configuration in force at this machine; None while the machine cannot serve."""
        if self.node is None or not self.is_running or self.is_frozen or not self.node.can_serve():
            return None
        table = self.node.proxy.table
        if table is None:
            return None
        if self._digested_table is not table:
            self._digested_table = table
            self._digest = configuration_digest(table.config)
        return ActiveConfiguration(table.version, self._digest)

    def is_voter(self) -> bool:
        """Return whether its replica is a voter, according to its own state."""
        return self.node is not None and self.is_running and self.node.control_plane.replica.is_voter

    def is_coordinator(self) -> bool:
        """Return whether it is the coordinator, to which commands are forwarded, according to its own state."""
        if self.node is None or not self.is_running:
            return False
        return self.node.control_plane.monitor.is_coordinator(self.world.now)

    def evacuated_zones(self) -> set[str]:
        """Return the zones to whose servers it sends nothing because they are evacuated."""
        return set(self.node.proxy.evacuated_zones) if self.node is not None and self.is_running else set()

    # -- life cycle of the process -------------------------------------------------------------------------

    @property
    def is_running(self) -> bool:
        """Whether its process has started completely."""
        return self.node is not None and self.port is not None

    @property
    def is_frozen(self) -> bool:
        """Whether its process is frozen."""
        return self.frozen_until > self.world.now

    @property
    def is_operational(self) -> bool:
        """Whether its process runs and is not frozen, and its disk, if it has one, is writable."""
        return self.is_running and not self.is_frozen and self._is_disk_writable()

    def _is_disk_writable(self) -> bool:
        disk = self.disk
        return disk is None or (not disk.refuses_writes and disk.hangs_until <= self.world.now)

    def start(self, initial: bool = False) -> None:
        """Start a new incarnation, unless there is a process; `initial` marks the first start of the system."""
        if self.reactor is not None or self.is_removed:
            return
        self.world.record_event(self, MachineEventKind.INITIAL_START if initial else MachineEventKind.START)
        self.incarnation += 1
        self.reactor = ProcessReactor(self.world.clock, self)
        jitter = self.world.rng.uniform(1 - PROCESS_START_JITTER, 1 + PROCESS_START_JITTER)
        self.reactor.callLater(PROCESS_START_S * jitter, self._start_node, self.reactor, initial)

    def _start_node(self, reactor: ProcessReactor, initial: bool) -> None:
        self.node = Node(reactor, self._load_settings(initial), self, lambda: self._load_settings(initial))
        self.node.start()

    def _load_settings(self, initial: bool) -> settings.Settings:
        """Return its current settings; they are parsed again only if the text of the file has changed."""
        node_settings = NodeSettings(
            name=self.name,
            address=self.address,
            zone=self.zone,
            seed_addresses=self.seed_addresses or self.world.seed_addresses,
            is_initial_start=initial,
            has_disk=self.disk is not None,
        )
        text = settings_text(self.world.system_settings, node_settings)
        if self._settings is None or self._settings_text != text:
            self._settings_text = text
            self._settings = settings.parse_settings(text)
        return self._settings

    def kill(self) -> None:
        """End the process at once, as SIGKILL or a power loss does; its clients receive no response."""
        if self.reactor is not None:
            self.reactor.is_stopped = True
            self.world.record_event(self, MachineEventKind.KILL)
        self.reactor = None
        self.node = None
        self.port = None
        self.world.drop_connections(self)

    def terminate(self) -> None:
        """Send the process SIGTERM."""
        if self.node is not None and self.is_running:
            self.world.record_event(self, MachineEventKind.TERMINATE)
            self._running_reactor().run(self.node.shut_down)

    def freeze(self, duration_s: float) -> None:
        """Freeze the process for `duration_s`; afterwards it handles everything that arrived meanwhile."""
        self.frozen_until = max(self.frozen_until, self.world.now + duration_s)
        self.world.record_event(self, MachineEventKind.FREEZE)
        self.world.after(duration_s, self.world.record_event, self, MachineEventKind.THAW)

    def step_clock(self, step_s: float) -> None:
        """Step its time of day by `step_s`, which may be negative."""
        self.clock_skew_s += step_s
        self.world.record_event(self, MachineEventKind.CLOCK_STEP)

    def wipe_disk(self) -> None:
        """Replace its disk, if it has one, with an empty disk."""
        if self.disk is not None:
            self.disk = Disk(self._observe_write)

    def _observe_write(self, data: bytes) -> None:
        self.world.observe("write", self.name, "", data)

    def _running_reactor(self) -> ProcessReactor:
        if self.reactor is None:
            raise NotRunningError(self.name)
        return self.reactor

    # -- environment of the process (`balancer.environment.Environment`) -----------------------------------

    def listen(self, fence: Fence, on_datagram: DatagramHandler, on_call: CallHandler) -> None:
        """Register the handlers of datagrams and calls from other ingresses."""
        self.port = Port(fence, on_datagram, on_call)

    def send(self, ip: int, message: messages.Datagram) -> None:
        """Send a datagram; this has no effect before the process listens."""
        if self.port is not None:
            self._transmit(ip, self.port.fence.stamp_datagram(ip, message), type(message).__name__)

    def _transmit(self, ip: int, data: bytes, kind: str) -> None:
        world, network = self.world, self.world.network
        network.bytes_sent[kind] += len(data) + UDP_OVERHEAD_BYTES
        receiver = world.machine_at(ip)
        world.observe("datagram", self.name, str(ip), data)
        if receiver is None or network.is_partitioned(self.name, receiver.name) or network.is_lost():
            return
        for _ in range(network.copies()):
            delay_s = network.delay_s(self.zone, receiver.zone) + network.extra_delay_s()
            world.after(delay_s, receiver.deliver_datagram, self.ip, data)
        late_copy_delay_s = network.late_copy_delay_s()
        if late_copy_delay_s is not None:
            world.after(late_copy_delay_s, receiver.deliver_datagram, self.ip, data)

    def deliver_datagram(self, sender_ip: int, data: bytes) -> None:
        """Pass an arriving datagram to the process, if one runs."""
        if self.is_running:
            self._running_reactor().run(self._receive_datagram, sender_ip, data)

    def _receive_datagram(self, sender_ip: int, data: bytes) -> None:
        if self.port is None:
            raise NotRunningError(self.name)
        received = self.port.fence.receive_datagram(sender_ip, data)
        if received.refusal is not None:
            self._transmit(sender_ip, received.refusal, "refusals")
        if received.message is not None:
            self.port.on_datagram(sender_ip, received.message)

    def call(self, ip: int, message: messages.Call, timeout_s: float) -> Deferred[messages.Reply]:
        """Call an ingress; the result fires with the reply, or fails with an error after the time-out at the latest."""
        if self.port is None:
            raise NotRunningError(self.name)
        call = RemoteCall(self, self._running_reactor(), self.port.fence, ip, message)
        call.send(timeout_s)
        return call.result

    def run_in_thread(self, work: Callable[..., Result], *args: object) -> Deferred[Result]:
        """Run work that waits for the disk: it takes effect after a sync, or never if the process ends before that."""
        result: Deferred[Result] = Deferred()

        def finish() -> None:
            try:
                value = work(*args)
            except OSError as error:
                result.errback(error)
                return
            result.callback(value)

        sync_s = SYNC_S
        if self.disk is not None:
            sync_s = max(SYNC_S, self.disk.hangs_until - self.world.now)
        self.world.after(sync_s, self._running_reactor().run, finish)
        return result

    def unix_time(self) -> float:
        """Return its time of day in Unix seconds, including the clock skew."""
        return UNIX_TIME_AT_START_S + self.world.now + self.clock_skew_s

    def snapshot_store(self) -> Disk | None:
        """Return its disk."""
        return self.disk

    def audit_log(self) -> None:
        """Return None: the simulation keeps no audit log."""

    def upstream_pool(self, pool: BufferPool) -> UpstreamPool:
        """Return the process's connections to the simulated servers."""
        return SimulatedUpstreamPool(self, self._running_reactor(), pool)

    def platform_client(self, endpoints: EndpointList, on_listed: Callable[[bool], None]) -> PlatformClient:
        """Return the process's client of the simulated platform."""
        return SimulatedPlatformClient(self, self._running_reactor(), endpoints, on_listed)
