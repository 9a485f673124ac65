"""Scenarios in which servers come back warming up while the machines of the balancer do not agree about anything else.

Each directed one brings about one cause of too many requests to such a server; `stacked_faults` adds faults at random.
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
"""After that an evacuated zone gets nothing, where there is no fault."""
BEFORE_WITHDRAWAL_S = 0.05
REDIRECT_PERIOD_S = 0.1
REPORT_ROUNDING_S = 0.01
WINDOW_S = 1.0


@dataclass(frozen=True, slots=True)
class SlowStartOptions:
    """How long, under which load and on how many machines a scenario runs."""

    duration_s: float = 16.0
    load: float = 2.0
    machines_without_disk: int = 2
    """In each zone."""


DEFAULT_OPTIONS = SlowStartOptions()


# -- helpers -----------------------------------------------------------------------------------------------


def servers_in(scenario: Scenario, zone: str) -> list[Server]:
    """Return the servers of a zone that are up."""
    servers = scenario.world.servers.values()
    return [server for server in servers if server.zone == zone and not server.is_removed and not server.is_down]


def machines_in(scenario: Scenario, zone: str) -> list[Machine]:
    """Return the machines of a zone."""
    return [machine for machine in scenario.world.machines.values() if machine.zone == zone]


def overload(scenario: Scenario, service_time_s: float = 0.05, load_factor: float = 8.0) -> None:
    """Leave one server a service and zone, and let a tenant without a limit send many short requests."""
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
    """Let running servers warm up from now on; the list shows it after its lag."""
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
    """Evacuate a zone; if that was in force for a while, its servers warm up from just before the withdrawal."""
    evacuations = scenario.history.evacuations
    count_before = len(evacuations)
    scenario.operators.evacuate(zone, for_s, at)
    begun = evacuations[count_before:]

    def cool_down() -> None:
        now = scenario.world.now
        if any(now - evacuation.acknowledged_at > EVACUATION_EFFECT_S for evacuation in begun):
            begin_slow_start(scenario, servers_in(scenario, zone), slow_start_s)

    scenario.world.after(for_s - BEFORE_WITHDRAWAL_S, cool_down)


def split(scenario: Scenario, groups: list[list[Machine]], for_s: float) -> None:
    """Cut groups of machines off from each other; all go on serving their clients."""
    for index, group in enumerate(groups):
        others = [machine for other in groups[index + 1 :] for machine in other]
        scenario.faults.partition(group, others, for_s)


def isolate_each(scenario: Scenario, isolated: list[Machine], for_s: float) -> None:
    """Cut these off from each other and from all the rest, which stay together."""
    rest = [machine for machine in scenario.world.machines.values() if machine not in isolated]
    split(scenario, [[machine] for machine in isolated] + [rest], for_s)


def restart_in_turn(scenario: Scenario, machines: list[Machine], period_s: float) -> None:
    """Restart one process after the other."""
    for index, machine in enumerate(machines):
        scenario.world.after(index * period_s, scenario.faults.kill, [machine], 0.1)


def redirect_clients(scenario: Scenario, machines: list[Machine], for_s: float) -> None:
    """Send the clients of all zones to these machines."""
    scenario.clients.directory.update(dict.fromkeys(ZONES, machines))
    if for_s > 0:
        scenario.world.after(REDIRECT_PERIOD_S, redirect_clients, scenario, machines, for_s - REDIRECT_PERIOD_S)


# -- directed scenarios ------------------------------------------------------------------------------------


def isolated_machines(scenario: Scenario) -> None:
    """Cut all machines of a zone off from all others; each takes itself for the only one there."""
    overload(scenario)
    machines = machines_in(scenario, "a1")
    isolate_each(scenario, machines, 8.0)
    redirect_clients(scenario, machines, 6.0)
    scenario.world.after(2.7, scenario.faults.restart_servers, servers_in(scenario, "a1"))


def mutually_unheard_machines(scenario: Scenario) -> None:
    """Let the machines of a zone hear no heartbeat of each other, but reach all control replicas."""
    overload(scenario)
    diskless = [machine for machine in scenario.world.machines.values() if machine.disk is None]
    for machine in machines_in(scenario, "a1"):
        others = [other for other in diskless if other is not machine]
        scenario.faults.partition([machine], others, 9.0)
    scenario.world.after(3.0, scenario.faults.restart_servers, servers_in(scenario, "a1"))


def withdrawal_during_restart(scenario: Scenario) -> None:
    """Restart machines without a disk while an evacuation ends: they know of its end alone."""
    overload(scenario)
    evacuate(scenario, "a1", 4.0, at=scenario.world.control_replicas[0])
    diskless = [machine for machine in scenario.world.machines.values() if machine.disk is None]
    scenario.world.after(3.8, scenario.faults.kill, diskless, 0.1)


def evacuation_behind_a_partition(scenario: Scenario) -> None:
    """Let most machines never hear of an evacuation and serve on while their lease allows it; then join them."""
    overload(scenario)
    world = scenario.world
    diskless = [machine for machine in world.machines.values() if machine.disk is None]
    isolate_each(scenario, diskless, 6.3)
    redirect_clients(scenario, diskless, 8.0)
    for_s = scenario.history.bounds.evacuation + 0.5
    world.after(0.5, evacuate, scenario, "a1", for_s, SLOW_START_S, world.control_replicas[0])


def late_endpoint_list(scenario: Scenario) -> None:
    """End an evacuation while the platform answers nobody."""
    overload(scenario)
    world = scenario.world
    evacuate(scenario, "a1", 5.0, 2 * SLOW_START_S)
    world.after(4.5, world.platform.unreachable_from.update, list(world.machines))
    world.after(12.0, world.platform.unreachable_from.clear)


def repeated_slow_start(scenario: Scenario) -> None:
    """Let servers that are warming up begin once more before that has ended."""
    overload(scenario)
    scenario.faults.restart_servers(servers_in(scenario, "a1"))
    scenario.world.after(1.5, lambda: begin_slow_start(scenario, servers_in(scenario, "a1"), 4.0))


def lease_holders_restart(scenario: Scenario) -> None:
    """Restart the machines of a zone that is warming up again and again; they remember nothing."""
    overload(scenario)
    machines = machines_in(scenario, "a1")
    scenario.faults.restart_servers(servers_in(scenario, "a1"))
    for index in range(12):
        machine = machines[index % len(machines)]
        scenario.world.after(0.3 + 0.25 * index, scenario.faults.kill, [machine], 0.05)


# -- random faults -----------------------------------------------------------------------------------------


def stacked_faults(scenario: Scenario) -> None:
    """Add partitions of machines and groups, zones that come back, evacuations and restarts at random."""
    rng = scenario.rng
    overload(scenario, rng.choice([0.05, 0.1]), rng.choice([6.0, 10.0]))
    faults = _possible_faults(scenario)
    for fault in rng.sample(faults, rng.randrange(4, len(faults) + 1)):
        scenario.world.after(rng.uniform(0.0, 8.0), fault)


def _possible_faults(scenario: Scenario) -> list[Callable[[], object]]:
    world, rng, faults = scenario.world, scenario.rng, scenario.faults
    machines = list(world.machines.values())
    zones = list(ZONES)

    def partition_some() -> None:
        some = rng.sample(machines, rng.randrange(1, len(machines)))
        rest = [machine for machine in machines if machine not in some]
        others = rng.choice([machines, rest, world.control_replicas])
        for_s = rng.uniform(2, 8)
        faults.partition(some, others, for_s, one_way=rng.random() < 0.4)

    def split_at_random() -> None:
        shuffled = rng.sample(machines, len(machines))
        count = rng.randrange(2, 7)
        split(scenario, [shuffled[index::count] for index in range(count)], rng.uniform(3, 8))

    def restart_servers() -> None:
        faults.restart_servers(servers_in(scenario, rng.choice(zones)))

    def evacuate_zone() -> None:
        evacuate(scenario, rng.choice(zones), rng.uniform(2.0, 6.0))

    return [
        partition_some,
        partition_some,
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
    """Run a scenario without a final fault, and check what was seen until its end."""
    size = SiteSize(machines_without_disk=options.machines_without_disk)
    scenario = Scenario(seed, options.load, size)
    scenario.begin()
    schedule(scenario)
    scenario.world.run(options.duration_s)
    scenario.collect_world_records()
    return RunResult(check(scenario.history), scenario)


def arrivals_in_slow_start(scenario: Scenario) -> list[DeliveredRequest]:
    """Return the requests that were sent to servers while these were warming up."""
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
    """Count by machine the requests that broke FAILBACK at a server, in the second after the reported moment."""
    since = round(violation.at, 2)
    return Counter(
        arrival.sender
        for arrival in arrivals_in_slow_start(scenario)
        if arrival.server_id == violation.subject and since - REPORT_ROUNDING_S <= arrival.sent_at < since + WINDOW_S
    )


@dataclass(frozen=True, slots=True)
class SweepResult:
    """How many runs broke FAILBACK, and how many requests servers got while they were warming up."""

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
