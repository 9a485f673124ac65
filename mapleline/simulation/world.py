"""Whole nodes of the balancer on one virtual clock: a deterministic simulation that depends only on its seed.

The network, disks, platform, servers and clients are simulated; everything else is the real program, whose environment
a `Machine` implements.  Faults change the state of the world; `invariants` checks the history of the run.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..http1 import Request
from .client_connection import (
    NO_RESPONSE,
    PORTS,
    ClientConnection,
    ClientRequest,
    IngressListener,
    ResponseHandler,
)
from .event_loop import EventLoop
from .machine import Machine
from .network import IN_ZONE_DELAY_S, Network
from .node_settings import PROTOCOL_BOUNDS, SystemSettings
from .platform import Platform
from .reachability import largest_connected_majority, machines_with_majority
from .records import MachineEvent, MachineEventKind, ObservedKind, Observer, ServerEvent
from .servers import SPEED_FACTORS, Server

START_OF_TIME_S = 1000.0
KNOWN_MACHINES_LAG_S = 3.0  #: lag of the list of machines that operators and new machines use
SEED_COUNT = 3  #: number of seed machines in a settings file


@dataclass(frozen=True, slots=True)
class Topology:
    """The initial machines and servers of a world."""

    regions: Mapping[str, str]  #: region by zone
    replicas_per_zone: int = 1  #: number of machines with a disk
    stateless_per_zone: int = 1  #: number of machines without a disk
    servers_per_zone: Mapping[str, int] = field(default_factory=dict)  #: number of servers by service


class World:
    """All machines, the network between them, the platform and the servers.

    Attributes:
        rng: The only source of random numbers.
        clock: The virtual time.
        network: Delays, loss and partitions between machines.
        platform: Publishes the list of servers.
        machines: The machines that are not removed, by name.
        known_machines: The machines that operators know of; this list lags behind.
        servers: The servers by address.
        service_time_s: Mean service times by route, in seconds.
        operator_response_loss_rate: Share of responses to operators that the network loses.
        observer: Called with each message and operation that enters or leaves a machine.
        machine_events: Events of the control replicas.
        server_arrivals: Requests that arrived at servers.
        server_runs: Requests whose execution began.
    """

    def __init__(
        self, seed: int, topology: Topology, tolerated_losses: int = 1, protocol_bounds: str = PROTOCOL_BOUNDS
    ) -> None:
        """Create a world whose machines are not started.

        Args:
            seed: Seed of the random numbers.
            topology: Zones, machines and servers.
            tolerated_losses: Number of replicas that may be lost at once, for the settings files.
            protocol_bounds: Protocol bounds for the settings files.
        """
        self.rng = random.Random(seed)
        self.clock = EventLoop(START_OF_TIME_S)
        self.zones = topology.regions
        self.zone_names = sorted(topology.regions)
        self.tolerated_losses = tolerated_losses
        self.system_settings = SystemSettings(topology.regions, tolerated_losses, protocol_bounds)
        self.network = Network(self.rng, topology.regions)
        self.observer: Observer | None = None
        self.operator_response_loss_rate = 0.0
        self.machine_events: list[MachineEvent] = []
        self.machines = self._create_machines(topology)
        self.known_machines = list(self.machines.values())
        self.seed_addresses = [machine.address for machine in self.control_replicas][:SEED_COUNT]
        self.servers: dict[tuple[str, int], Server] = {}
        self.service_time_s: dict[str, float] = {}
        self.server_arrivals: list[ServerEvent] = []
        self.server_runs: list[ServerEvent] = []
        self.platform = Platform(self.clock, self.rng, self.servers)
        self._machines_by_ip = {machine.ip: machine for machine in self.machines.values()}
        self._connections: dict[Machine, dict[ClientConnection, None]] = {}  #: open connections, oldest first
        self._create_servers(topology)

    def _create_machines(self, topology: Topology) -> dict[str, Machine]:
        machines = {}
        for zone in self.zone_names:
            for number in range(1, topology.replicas_per_zone + topology.stateless_per_zone + 1):
                machine = Machine(self, zone, number, has_disk=number <= topology.replicas_per_zone)
                machines[machine.name] = machine
        return machines

    def _create_servers(self, topology: Topology) -> None:
        for service, count in topology.servers_per_zone.items():
            for zone in self.zone_names:
                for nth in range(1, count + 1):
                    number = len(self.servers) + 1
                    server = Server(self, service, zone, number, SPEED_FACTORS[nth % len(SPEED_FACTORS)])
                    self.servers[server.address] = server

    # -- time ----------------------------------------------------------------------------------------------

    @property
    def now(self) -> float:
        """The virtual time in seconds."""
        return self.clock.seconds()

    def after(self, delay_s: float, function: Callable[..., object], *args: object) -> None:
        """Call `function(*args)` in `delay_s` seconds."""
        self.clock.callLater(delay_s, function, *args)

    def run(self, duration_s: float) -> None:
        """Advance the virtual time by `duration_s`, and fire all timers that are due in it."""
        self.clock.run_until(self.now + duration_s)

    # -- histories -----------------------------------------------------------------------------------------

    def observe(self, kind: ObservedKind, source: str, target: str, data: bytes) -> None:
        """Report a message or operation that enters or leaves a machine to the observer, if there is one."""
        if self.observer is not None:
            self.observer(self.now, kind, source, target, data)

    def record_event(self, machine: Machine, kind: MachineEventKind) -> None:
        """Record an event of a machine, if it is a control replica."""
        if machine.disk is not None:
            self.machine_events.append(MachineEvent(self.now, machine.name, kind))

    # -- machines ------------------------------------------------------------------------------------------

    @property
    def control_replicas(self) -> list[Machine]:
        """The machines with a disk."""
        return [machine for machine in self.machines.values() if machine.disk is not None]

    def machine_at(self, ip: int) -> Machine | None:
        """Return the machine with that address, including removed machines."""
        return self._machines_by_ip.get(ip)

    def start(self) -> None:
        """Start all machines for the first time."""
        for machine in self.machines.values():
            machine.start(initial=True)

    def add_machine(self, zone: str, has_disk: bool) -> Machine:
        """Add a machine with a new address, and with an empty disk or without a disk; it is not started.

        The seed machines in its settings file are machines that operators currently know of.
        """
        numbers = [machine.number for machine in self._machines_by_ip.values() if machine.zone == zone]
        machine = Machine(self, zone, 1 + max(numbers), has_disk)
        seeds = self.rng.sample(self.known_machines, min(SEED_COUNT, len(self.known_machines)))
        machine.seed_addresses = [seed.address for seed in seeds]
        self.machines[machine.name] = machine
        self._machines_by_ip[machine.ip] = machine
        self.after(KNOWN_MACHINES_LAG_S, self.known_machines.append, machine)
        return machine

    def remove_machine(self, machine: Machine, grace_s: float = 0.0) -> None:
        """Remove a machine and its disk permanently: `grace_s` after SIGTERM, or at once if that is 0."""
        machine.is_removed = True
        if grace_s:
            machine.terminate()
            self.after(grace_s, self._remove_now, machine)
        else:
            self._remove_now(machine)

    def _remove_now(self, machine: Machine) -> None:
        machine.kill()
        del self.machines[machine.name]
        self.record_event(machine, MachineEventKind.REMOVE)
        self.after(KNOWN_MACHINES_LAG_S, self.known_machines.remove, machine)

    # -- partitions ----------------------------------------------------------------------------------------

    def partition(self, sources: list[Machine], targets: list[Machine], one_way: bool = False) -> Callable[[], None]:
        """Block messages from the sources to the targets and, unless `one_way`, in the other direction.

        Returns:
            A function that ends this partition and no other one; further calls have no effect.
        """
        pairs = {(source.name, target.name) for source in sources for target in targets if source is not target}
        if not one_way:
            pairs |= {(target, source) for source, target in pairs}
        self.network.block(pairs)
        self._record_partition(pairs, MachineEventKind.PARTITION)
        is_healed = False

        def heal() -> None:
            nonlocal is_healed
            if not is_healed:
                is_healed = True
                self.network.unblock(pairs)
                self._record_partition(pairs, MachineEventKind.HEAL)

        return heal

    def _record_partition(self, pairs: set[tuple[str, str]], kind: MachineEventKind) -> None:
        replicas = {machine.name: machine for machine in self.control_replicas}
        affected = {source for source, target in pairs if source in replicas and target in replicas}
        for name in sorted(affected):
            self.record_event(replicas[name], kind)

    def machines_with_majority(self) -> set[str]:
        """Return the names of the running machines that are connected to more than half of the replicas."""
        running = {machine.name for machine in self.machines.values() if machine.is_running and not machine.is_frozen}
        replicas = {machine.name for machine in self.control_replicas}
        running_replicas = running & replicas
        if 2 * len(running_replicas) <= len(replicas):
            return set()
        if not self.network.has_partitions:
            return running
        return machines_with_majority(running, replicas, running_replicas, self.network.is_partitioned)

    def operational_majority(self) -> set[str]:
        """Return the largest group of operational, connected replicas; empty if it is not a majority."""
        replicas = self.control_replicas
        operational = [machine.name for machine in replicas if machine.is_operational]
        return largest_connected_majority(operational, len(replicas), self.network.is_partitioned)

    # -- servers -------------------------------------------------------------------------------------------

    def restart_server(self, server: Server) -> Server:
        """Replace a server with a new incarnation at its address; requests in flight to the old one are lost."""
        server.is_down = True
        restarted = Server(
            self, server.service, server.zone, server.number, server.speed_factor, server.incarnation + 1
        )
        self.servers[server.address] = restarted
        return restarted

    # -- clients and operators -----------------------------------------------------------------------------

    def send_request(
        self, machine: Machine, request: ClientRequest, on_response: ResponseHandler
    ) -> ClientConnection | None:
        """Send a request to an ingress over a new connection.

        Args:
            machine: The machine of the ingress.
            request: The request and the listener that it is sent to.
            on_response: Called with the response.  It is not called if a response of the control listener is lost.

        Returns:
            The connection; None if no process accepts it.
        """
        if machine.node is None or machine.reactor is None or not machine.is_running:
            self.after(IN_ZONE_DELAY_S, on_response, NO_RESPONSE, b"", b"")
            return None
        connections = self._connections.setdefault(machine, {})
        listener = request.listener

        def receive_response(status: int, body: bytes, lines: bytes) -> None:
            connections.pop(connection, None)
            self.observe("answer", machine.name, PORTS[listener], b"%d\r\n%b\r\n%b" % (status, lines, body))
            if listener is not IngressListener.CONTROL or not self._is_operator_response_lost():
                self.after(IN_ZONE_DELAY_S, on_response, status, body, lines)

        connection = ClientConnection(receive_response, machine.reactor)
        connections[connection] = None
        self._observe_request(machine, request)
        handlers = {
            IngressListener.PROXY: machine.node.proxy.handle_request,
            IngressListener.CONTROL: machine.node.control_api.handle_request,
            IngressListener.DIRECTORY: machine.node.directory.handle_request,
        }
        machine.reactor.run(handlers[listener], connection, _parsed(request))
        return connection

    def _is_operator_response_lost(self) -> bool:
        return self.operator_response_loss_rate > 0 and self.rng.random() < self.operator_response_loss_rate

    def _observe_request(self, machine: Machine, request: ClientRequest) -> None:
        head = repr((request.method, request.path, dict(request.headers))).encode()
        self.observe("request", PORTS[request.listener], machine.name, b"%b\r\n%b" % (head, request.body))

    def disconnect(self, connection: ClientConnection | None) -> None:
        """Close a connection from the client's side; a frozen process notices this only after the request."""
        if connection is not None:
            connection.reactor.run(setattr, connection, "connected", False)

    def drop_connections(self, machine: Machine) -> None:
        """End the connections of a machine whose process has ended: their clients receive no response."""
        for connection in list(self._connections.pop(machine, ())):
            connection.reply(NO_RESPONSE)


def _parsed(request: ClientRequest) -> Request:
    """Return the request in the form in which an ingress's listener passes it to its handler."""
    headers = {name.lower().encode(): value.encode() for name, value in request.headers.items()}
    return Request(
        request.method.encode(),
        request.path.encode(),
        headers,
        request.body,
        True,
        False,
        b"1",
        len(request.body),
    )
