"""One simulated run: a world with its operators, clients and faults, and the history that is recorded."""

from __future__ import annotations

from dataclasses import dataclass

from ..balancer import settings
from .clients import ClientTraffic
from .faults import FaultInjector
from .history import (
    STATUS_OK,
    ConfigurationSample,
    ContactSample,
    DeliveredRequest,
    FinalEvacuations,
    History,
    ReplicaSample,
)
from .node_settings import PROTOCOL_BOUNDS
from .operators import SimulatedOperators
from .records import ServerEvent
from .workload import QUOTAS, ROUTES, SLOW_START_RATE_S
from .world import Topology, World

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
"""The region of each zone."""
SERVERS_PER_ZONE = {"slots": 4, "records": 2}
WARM_UP_S = 6.0
"""Time from the start of the machines to the start of the traffic."""
SAMPLE_PERIOD_S = 0.1
"""Time between two samples of the machines' states."""
PROBE_PERIOD_S = 0.25
"""Time between two reads and directory lookups at random machines, including partitioned ones."""


@dataclass(frozen=True, slots=True)
class SiteSize:
    """The machines of the simulated site, and the losses that it must tolerate."""

    machines_without_disk: int = 1
    """Number in each zone."""
    machines_with_disk: int = 1
    """Number of control replicas in each zone."""
    tolerated_losses: int = 1
    """Number of control replicas that may be lost at once."""


SMALL_SITE = SiteSize()
LARGE_SITE = SiteSize(machines_with_disk=2, tolerated_losses=2)


class Scenario:
    """One run of a site; `load` is a factor on the clients' request rates."""

    def __init__(self, seed: int, load: float = 1.0, size: SiteSize = SMALL_SITE) -> None:
        """Create the site without starting it."""
        self.world = World(seed, _topology(size), size.tolerated_losses)
        self.world.service_time_s = {name: route.service_time_s for name, route in ROUTES.items()}
        self.rng = self.world.rng
        self.history = _new_history()
        self.operators = SimulatedOperators(self.world, self.history)
        self.faults = FaultInjector(self.world, self.history, self.operators)
        self.clients = ClientTraffic(self.world, self.history, load)

    def begin(self) -> None:
        """Start the machines, send the first configuration, and start the traffic after `WARM_UP_S`."""
        self.world.start()
        self._sample()
        self.operators.replace_configuration()
        self.world.run(WARM_UP_S)
        self.clients.start(ZONES)
        self._probe()

    def _sample(self) -> None:
        """Sample periodically each machine's configuration, its contact to a majority, and the control replicas."""
        world = self.world
        world.after(SAMPLE_PERIOD_S, self._sample)
        now = world.now
        machines = list(world.machines.values())
        for machine in machines:
            active = machine.active_configuration()
            if active is None:
                continue
            content = self.operators.content_by_configuration.get(active.digest, "unknown")
            sample = ConfigurationSample(now, machine.name, machine.incarnation, active.version, content)
            self.history.configurations.append(sample)
        self.history.contacts.append(ContactSample(now, world.machines_with_majority()))
        voters = {machine.name for machine in machines if machine.is_voter()}
        self.history.replicas.append(ReplicaSample(now, world.operational_majority(), voters))

    def _probe(self) -> None:
        """Read the configuration and query the directory periodically, at random known machines."""
        self.world.after(PROBE_PERIOD_S, self._probe)
        self.operators.read()
        self.clients.look_up(self.rng.choice(self.world.known_machines))

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the requests sent in the interval that were served, possibly by a retry."""
        attempts = self.history.attempts.values()
        sent = {_request_id(attempt.id) for attempt in attempts if since <= attempt.sent_at < until}
        served = {_request_id(attempt.id) for attempt in attempts if attempt.status == STATUS_OK}
        return len(sent & served) / max(1, len(sent))

    def finish(self) -> None:
        """Record the state at the end of the run, and the records of the world."""
        now = self.world.now
        self.history.ended_at = now
        for machine in self.world.machines.values():
            if machine.is_operational and self.history.is_undisturbed(machine.name, now):
                final = FinalEvacuations(now, machine.name, machine.evacuated_zones())
                self.history.final_evacuations.append(final)
        self.collect_world_records()

    def collect_world_records(self) -> None:
        """Copy the world's records of servers and control replicas into the history."""
        world, history = self.world, self.history
        history.arrivals = [_delivered(event) for event in world.server_arrivals]
        history.runs = [_delivered(event) for event in world.server_runs]
        history.replica_events = list(world.machine_events)


def _topology(size: SiteSize) -> Topology:
    return Topology(
        ZONES,
        replicas_per_zone=size.machines_with_disk,
        stateless_per_zone=size.machines_without_disk,
        servers_per_zone=SERVERS_PER_ZONE,
    )


def _new_history() -> History:
    bounds = settings.Bounds.model_validate(dict(part.split("=") for part in PROTOCOL_BOUNDS.split(",")))
    history = History(
        bounds,
        ZONES,
        limits={tenant: (quota.rate_s, quota.burst) for tenant, quota in QUOTAS.items()},
        slow_start_rate_s=SLOW_START_RATE_S,
    )
    for route in ROUTES.values():
        history.services.setdefault(route.kind, set()).add(route.service)
        if route.home_regions:
            history.homes[route.kind] = set(route.home_regions)
    return history


def _delivered(event: ServerEvent) -> DeliveredRequest:
    server, request = event.server, event.request
    return DeliveredRequest(
        sent_at=event.sent_at,
        arrived_at=event.at,
        request_id=request.headers["request-id"],
        tenant=request.headers.get("tenant"),
        sender=request.sender.name,
        server_id=server.id,
        service=server.service,
        zone=server.zone,
    )


def _request_id(attempt_id: str) -> str:
    """Return the id of the first attempt of the request that an attempt belongs to."""
    return attempt_id.partition(".")[0]
