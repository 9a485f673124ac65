"""Scenarios in which servers are in slow start while faults keep the machines of the balancer from agreeing.

Each directed scenario produces one cause of too many requests to such a server; `stacked_faults` injects random faults.
"""

from __future__ import annotations

import logging
import multiprocessing
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .faults import SLOW_START_S
from .history import DeliveredRequest
from .invariants import Rule, Violation, check
from .machine import Machine
from .runner import FaultSchedule, RunResult
from .scenario import ZONES, Scenario, SiteSize
from .servers import Server

UNLIMITED_TENANT = "t4"
SERVICES = ("slots", "records")
EVACUATION_EFFECT_S = 1.0
"""Time after the acknowledgement of an evacuation until its zone receives no requests, without faults."""
BEFORE_WITHDRAWAL_S = 0.05
"""Time from the start of the servers' slow start to the withdrawal of the evacuation."""
REDIRECT_PERIOD_S = 0.1
"""Time between two updates by which `redirect_clients` overrides the directory."""
REPORT_ROUNDING_S = 0.01
WINDOW_S = 1.0
"""Window of the FAILBACK rule."""


@dataclass(frozen=True, slots=True)
class SlowStartOptions:
    """Duration, load and number of machines of a scenario."""

    duration_s: float = 16.0
    load: float = 2.0
    """Factor on the usual request rates."""
    machines_without_disk: int = 2
    """Number in each zone."""


DEFAULT_OPTIONS = SlowStartOptions()


# -- helpers -----------------------------------------------------------------------------------------------


def servers_in(scenario: Scenario, zone: str) -> list[Server]:
    """Return the reachable servers of a zone."""
    servers = scenario.world.servers.values()
    return [server for server in servers if server.zone == zone and not server.is_removed and not server.is_down]


def machines_in(scenario: Scenario, zone: str) -> list[Machine]:
    """Return the machines of a zone."""
    return [machine for machine in scenario.world.machines.values() if machine.zone == zone]


def overload(scenario: Scenario, service_time_s: float = 0.05, load_factor: float = 8.0) -> None:
    """Leave one server per service and zone, and make a tenant without a limit send many short requests."""
    world = scenario.world
    for zone in ZONES:
        for service in SERVICES:
            servers = [server for server in servers_in(scenario, zone) if server.service == service]
            for server in servers[1:]:
                server.is_removed = True
    world.platform.servers_changed()
    world.service_time_s = dict.fromkeys(world.service_time_s, service_time_s)
    scenario.clients.load_factors[UNLIMITED_TENANT] = load_factor


def begin_slow_start(scenario: Scenario, servers: list[Server], for_s: float = SLOW_START_S) -> None:
    """Begin a slow start of running servers; the endpoint list shows it after its lag."""
    for server in servers:
        scenario.faults.begin_slow_start(server, for_s)
    scenario.world.platform.servers_changed()


def evacuate(
    scenario: Scenario,
    zone: str,
    for_s: float,
    slow_start_s: float = SLOW_START_S,
    at: Machine | None = None,
) -> None:
    """Evacuate a zone; if that was in force for a while, its servers begin a slow start just before the withdrawal."""
    evacuations = scenario.history.evacuations
    count_before = len(evacuations)
    scenario.operators.evacuate(zone, for_s, at)
    new_evacuations = evacuations[count_before:]

    def begin_slow_start_if_evacuated() -> None:
        now = scenario.world.now
        if any(now - evacuation.acknowledged_at > EVACUATION_EFFECT_S for evacuation in new_evacuations):
            begin_slow_start(scenario, servers_in(scenario, zone), slow_start_s)

    scenario.world.after(for_s - BEFORE_WITHDRAWAL_S, begin_slow_start_if_evacuated)


def split(scenario: Scenario, groups: list[list[Machine]], for_s: float) -> None:
    """Partition groups of machines from each other; all of them keep their connections to clients."""
    for index, group in enumerate(groups):
        others = [machine for other in groups[index + 1 :] for machine in other]
        scenario.faults.partition(group, others, for_s)


def isolate_each(scenario: Scenario, isolated: list[Machine], for_s: float) -> None:
    """Partition each of these machines from all others; the remaining machines stay connected."""
    rest = [machine for machine in scenario.world.machines.values() if machine not in isolated]
    split(scenario, [[machine] for machine in isolated] + [rest], for_s)


def restart_in_turn(scenario: Scenario, machines: list[Machine], period_s: float) -> None:
    """Restart the processes one after the other, one every `period_s`."""
    for index, machine in enumerate(machines):
        scenario.world.after(index * period_s, scenario.faults.kill, [machine], 0.1)


def redirect_clients(scenario: Scenario, machines: list[Machine], for_s: float) -> None:
    """Make the clients of all zones send to these machines for `for_s`."""
    scenario.clients.directory.update(dict.fromkeys(ZONES, machines))
    if for_s > 0:
        scenario.world.after(REDIRECT_PERIOD_S, redirect_clients, scenario, machines, for_s - REDIRECT_PERIOD_S)


# -- directed scenarios ------------------------------------------------------------------------------------


def isolated_machines(scenario: Scenario) -> None:
    """Partition each machine of a zone from all others, so that it considers itself the only one in the zone."""
    overload(scenario)
    machines = machines_in(scenario, "a1")
    isolate_each(scenario, machines, 8.0)
    redirect_clients(scenario, machines, 6.0)
    scenario.world.after(2.7, scenario.faults.restart_servers, servers_in(scenario, "a1"))


def mutually_unheard_machines(scenario: Scenario) -> None:
    """Partition a zone's machines from all without a disk: no heartbeats pass, but most replicas stay reachable."""
    overload(scenario)
    diskless = [machine for machine in scenario.world.machines.values() if machine.disk is None]
    for machine in machines_in(scenario, "a1"):
        others = [other for other in diskless if other is not machine]
        scenario.faults.partition([machine], others, 9.0)
    scenario.world.after(3.0, scenario.faults.restart_servers, servers_in(scenario, "a1"))


def withdrawal_during_restart(scenario: Scenario) -> None:
    """Restart machines without a disk while an evacuation ends: they learn only of its end."""
    overload(scenario)
    evacuate(scenario, "a1", 4.0, at=scenario.world.control_replicas[0])
    diskless = [machine for machine in scenario.world.machines.values() if machine.disk is None]
    scenario.world.after(3.8, scenario.faults.kill, diskless, 0.1)


def evacuation_behind_a_partition(scenario: Scenario) -> None:
    """Isolate most machines during an evacuation: they serve while their lease lasts, and learn only of its end."""
    overload(scenario)
    world = scenario.world
    diskless = [machine for machine in world.machines.values() if machine.disk is None]
    isolate_each(scenario, diskless, 6.3)
    redirect_clients(scenario, diskless, 8.0)
    for_s = scenario.history.bounds.evacuation + 0.5
    world.after(0.5, evacuate, scenario, "a1", for_s, SLOW_START_S, world.control_replicas[0])


def late_endpoint_list(scenario: Scenario) -> None:
    """End an evacuation while no machine can reach the platform."""
    overload(scenario)
    world = scenario.world
    evacuate(scenario, "a1", 5.0, 2 * SLOW_START_S)
    world.after(4.5, world.platform.unreachable_from.update, list(world.machines))
    world.after(12.0, world.platform.unreachable_from.clear)


def repeated_slow_start(scenario: Scenario) -> None:
    """Begin a new slow start of servers before their current one has ended."""
    overload(scenario)
    scenario.faults.restart_servers(servers_in(scenario, "a1"))
    scenario.world.after(1.5, lambda: begin_slow_start(scenario, servers_in(scenario, "a1"), 4.0))


def lease_holders_restart(scenario: Scenario) -> None:
    """Restart the machines of a zone repeatedly during a slow start: they lose their state."""
    overload(scenario)
    machines = machines_in(scenario, "a1")
    scenario.faults.restart_servers(servers_in(scenario, "a1"))
    for index in range(12):
        machine = machines[index % len(machines)]
        scenario.world.after(0.3 + 0.25 * index, scenario.faults.kill, [machine], 0.05)


# -- random faults -----------------------------------------------------------------------------------------


def stacked_faults(scenario: Scenario) -> None:
    """Inject random partitions of machines and groups, losses of zones, evacuations and restarts."""
    rng = scenario.rng
    overload(scenario, rng.choice([0.05, 0.1]), rng.choice([6.0, 10.0]))
    faults = _possible_faults(scenario)
    for fault in rng.sample(faults, rng.randrange(4, len(faults) + 1)):
        scenario.world.after(rng.uniform(0.0, 8.0), fault)


def _possible_faults(scenario: Scenario) -> list[Callable[[], object]]:
    world, rng, faults = scenario.world, scenario.rng, scenario.faults
    machines = list(world.machines.values())
    zones = list(ZONES)

    def partition_at_random() -> None:
        isolated = rng.sample(machines, rng.randrange(1, len(machines)))
        rest = [machine for machine in machines if machine not in isolated]
        others = rng.choice([machines, rest, world.control_replicas])
        for_s = rng.uniform(2, 8)
        faults.partition(isolated, others, for_s, one_way=rng.random() < 0.4)

    def split_at_random() -> None:
        shuffled = rng.sample(machines, len(machines))
        count = rng.randrange(2, 7)
        split(scenario, [shuffled[index::count] for index in range(count)], rng.uniform(3, 8))

    def restart_servers() -> None:
        faults.restart_servers(servers_in(scenario, rng.choice(zones)))

    def evacuate_zone() -> None:
        evacuate(scenario, rng.choice(zones), rng.uniform(2.0, 6.0))

    return [
        partition_at_random,
        partition_at_random,
        split_at_random,
        restart_servers,
        restart_servers,
        lambda: faults.lose_zone(rng.choice(zones), rng.uniform(2, 4)),
        evacuate_zone,
        evacuate_zone,
        lambda: restart_in_turn(scenario, rng.sample(machines, len(machines)), rng.uniform(0.2, 0.6)),
        lambda: faults.freeze(rng.choice(machines), rng.uniform(0.5, 4.0)),
        scenario.operators.replace_configuration,
    ]


# -- runs --------------------------------------------------------------------------------------------------


def run_slow_start(
    seed: int, schedule: FaultSchedule = stacked_faults, options: SlowStartOptions = DEFAULT_OPTIONS
) -> RunResult:
    """Run a scenario without a final fault, and check its history."""
    size = SiteSize(machines_without_disk=options.machines_without_disk)
    scenario = Scenario(seed, options.load, size)
    scenario.begin()
    schedule(scenario)
    scenario.world.run(options.duration_s)
    scenario.collect_world_records()
    return RunResult(check(scenario.history), scenario)


def arrivals_in_slow_start(scenario: Scenario) -> list[DeliveredRequest]:
    """Return the requests that were sent to servers during their slow start."""
    history = scenario.history
    return [
        arrival
        for arrival in history.arrivals
        if any(
            slow_start.server_id == arrival.server_id and slow_start.since <= arrival.sent_at < slow_start.until
            for slow_start in history.slow_starts
        )
    ]


def senders_of(scenario: Scenario, violation: Violation) -> Counter[str]:
    """Count, by sending machine, the requests of a FAILBACK violation: those of the second after its moment."""
    since = round(violation.at, 2)
    return Counter(
        arrival.sender
        for arrival in arrivals_in_slow_start(scenario)
        if arrival.server_id == violation.subject and since - REPORT_ROUNDING_S <= arrival.sent_at < since + WINDOW_S
    )


@dataclass(frozen=True, slots=True)
class SweepResult:
    """The number of runs that broke FAILBACK, and of requests that servers received during their slow start."""

    broken_runs: int
    slow_start_arrivals: int


@dataclass(frozen=True, slots=True)
class _SeedResult:
    seed: int
    reports: list[str]
    slow_start_arrivals: int


def run_many(seeds: range, processes: int, report: Callable[[str], None]) -> SweepResult:
    """Run stacked faults for the seeds on several processes, and report each FAILBACK violation with its senders."""
    broken_runs = 0
    arrivals = 0
    with multiprocessing.Pool(processes) as pool:
        for result in pool.imap_unordered(_run_seed, seeds):
            broken_runs += bool(result.reports)
            arrivals += result.slow_start_arrivals
            for line in result.reports:
                report(f"seed {result.seed}: {line}")
    return SweepResult(broken_runs, arrivals)


def _run_seed(seed: int) -> _SeedResult:
    logging.disable(logging.CRITICAL)
    result = run_slow_start(seed)
    reports = [
        f"{violation} {dict(senders_of(result.scenario, violation))}"
        for violation in result.violations
        if violation.rule is Rule.FAILBACK
    ]
    return _SeedResult(seed, reports, len(arrivals_in_slow_start(result.scenario)))
