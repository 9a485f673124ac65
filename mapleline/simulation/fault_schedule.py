"""A random schedule of overlapping faults that a site must tolerate, together with commands of operators."""

from __future__ import annotations

from collections.abc import Callable

from .machine import Machine
from .scenario import ZONES, Scenario
from .workload import TENANTS

SCHEDULE_S = 24.0
"""Time over which faults and operations are scheduled."""
FIRST_FAULT_S = 1.0
"""Time from the start of the schedule to the first fault."""
MAX_FAULTS = 9
MIN_OPERATIONS = 5
MAX_OPERATIONS = 13
POWER_LOSS_S = 0.5
RESPONSE_LOSS_RATE = 0.05
OVERLOADING_TENANT = "t1"
OVERLOAD_FACTOR = 6.0
OVERLOAD_S = 5.0

Action = Callable[[], object]


def random_faults(scenario: Scenario) -> None:
    """Schedule random faults and operations over the next `SCHEDULE_S`."""
    world, rng = scenario.world, scenario.rng

    def inject() -> None:
        rng.choice(_possible_faults(scenario))()

    operations = _operations(scenario)
    at = FIRST_FAULT_S
    for _ in range(rng.randrange(MAX_FAULTS + 1)):
        world.after(at, inject)
        at += rng.uniform(0.5, 5.0)
    for operation in rng.choices(operations, k=rng.randrange(MIN_OPERATIONS, MAX_OPERATIONS + 1)):
        world.after(rng.uniform(0.5, SCHEDULE_S), operation)


# -- faults ------------------------------------------------------------------------------------------------


def _possible_faults(scenario: Scenario) -> list[Action]:
    """Return the faults to choose from; faults of control replicas only where the loss budget allows them."""
    world, rng, budget = scenario.world, scenario.rng, scenario.faults.loss_budget
    machines = [machine for machine in world.machines.values() if not machine.is_removed]
    running = [machine for machine in machines if machine.is_running and not machine.is_frozen]
    diskless = [machine for machine in running if machine.disk is None]
    diskless_sample = rng.sample(diskless, min(len(diskless), 1 + len(diskless) // 2))
    faults = _harmless_faults(scenario, machines)
    if diskless_sample:
        faults += _diskless_faults(scenario, diskless_sample, machines)
    expendable = [
        machine for machine in running if machine.disk is not None and budget.allows(machine, permanently=True)
    ]
    if expendable:
        faults += _replica_faults(scenario, rng.choice(expendable), diskless_sample, machines)
    if not budget.has_losses():
        faults.append(lambda: scenario.faults.kill(world.control_replicas, POWER_LOSS_S))
    zone = rng.choice(list(ZONES))
    if budget.allows(*(machine for machine in world.control_replicas if machine.zone == zone)):
        faults.append(lambda: scenario.faults.lose_zone(zone, rng.uniform(2, 5)))
    return faults


def _harmless_faults(scenario: Scenario, machines: list[Machine]) -> list[Action]:
    """Return faults that stop or isolate no machine."""
    world, rng, faults = scenario.world, scenario.rng, scenario.faults

    def overload() -> None:
        scenario.clients.load_factors.update({OVERLOADING_TENANT: OVERLOAD_FACTOR})
        world.after(OVERLOAD_S, scenario.clients.load_factors.clear)

    def lose_server_responses() -> None:
        for server in list(world.servers.values())[::2]:
            server.response_loss_rate = RESPONSE_LOSS_RATE

    return [
        overload,
        lose_server_responses,
        lambda: faults.step_clock(rng.choice(machines), rng.uniform(-30.0, 30.0)),
        faults.exchange_seeds,
        lambda: faults.add_machine(rng.choice(list(ZONES)), has_disk=False),
        lambda: faults.lose_responses(rng.uniform(0.2, 0.6), rng.uniform(2.0, 6.0)),
        lambda: faults.duplicate_datagrams_late(rng.uniform(2.0, 6.0)),
    ]


def _diskless_faults(scenario: Scenario, diskless: list[Machine], machines: list[Machine]) -> list[Action]:
    """Return faults of machines without a disk."""
    world, rng, faults = scenario.world, scenario.rng, scenario.faults
    machine = diskless[0]
    return [
        lambda: faults.kill(diskless, rng.uniform(0.5, 3)),
        lambda: faults.freeze(machine, rng.uniform(1, 20)),
        lambda: faults.partition([machine], world.control_replicas, rng.uniform(4, 8)),
        lambda: faults.partition([machine], machines, rng.uniform(5, 20), rng.random() < 0.3),
        lambda: faults.restart_gracefully(machine),
        lambda: faults.replace(machine, rng.random() < 0.7),
    ]


def _replica_faults(
    scenario: Scenario, replica: Machine, diskless: list[Machine], machines: list[Machine]
) -> list[Action]:
    """Return faults of one control replica that may be lost."""
    world, rng, faults = scenario.world, scenario.rng, scenario.faults
    rest = [machine for machine in machines if machine is not replica]

    def block_incoming() -> None:
        if faults.loss_budget.allows(replica):
            faults.partition(rest, [replica], rng.uniform(2, 6), one_way=True)

    def still_expendable() -> list[Machine]:
        return [replica] if faults.loss_budget.allows(replica, permanently=True) else []

    return [
        lambda: faults.kill([replica], rng.uniform(0.5, 4)),
        lambda: faults.kill([replica], rng.uniform(0.5, 4), wipe=True),
        lambda: faults.kill([replica], rng.uniform(6, 12)),
        lambda: faults.freeze(replica, rng.uniform(1, 20)),
        lambda: faults.partition([replica], rest, rng.uniform(2, 20)),
        lambda: faults.partition([replica, *diskless], rest, rng.uniform(2, 6)),
        lambda: faults.partition([replica], world.control_replicas, rng.uniform(2, 6), one_way=True),
        block_incoming,
        lambda: faults.refuse_disk_writes(replica, 3.0),
        lambda: faults.hang_disk(replica, 4.0),
        lambda: faults.restart_gracefully(replica),
        lambda: faults.replace(replica, rng.random() < 0.7),
        lambda: faults.kill_at_acknowledgement(still_expendable, rng.uniform(0.5, 3), wipe=True),
        lambda: faults.add_machine(rng.choice(list(ZONES)), has_disk=True),
    ]


# -- operations --------------------------------------------------------------------------------------------


def _operations(scenario: Scenario) -> list[Action]:
    """Return the operators' actions: configurations, rivals, repetitions, evacuations and planned restarts."""
    world, rng, operators = scenario.world, scenario.rng, scenario.operators

    def revoke_key() -> None:
        operators.replace_configuration(revoke=rng.choice(TENANTS))

    def race_evacuation() -> None:
        open_zones = [zone for zone in ZONES if zone not in operators.evacuated_zones]
        operators.race_evacuation(rng.choice(open_zones or list(ZONES)))

    def send_three_rivals() -> None:
        known = world.known_machines
        operators.send_rivals(rng.sample(known, min(3, len(known))))

    return [
        operators.replace_configuration,
        operators.replace_at_two_machines,
        revoke_key,
        revoke_key,
        lambda: operators.evacuate(rng.choice(list(ZONES)), rng.uniform(3.0, 16.0)),
        race_evacuation,
        lambda: scenario.faults.drain_server(rng.choice(list(world.servers.values()))),
        lambda: _shut_down_diskless(scenario),
        lambda: _send_rivals_to_both_regions(scenario),
        send_three_rivals,
        lambda: operators.send_rivals([rng.choice(world.known_machines)] * 2),
        operators.repeat_newest,
        operators.repeat_older,
        operators.repeat_unclear,
        operators.send_invalid,
        operators.send_burst,
    ]


def _shut_down_diskless(scenario: Scenario) -> None:
    """Shut down a random machine without a disk gracefully; it is not started again."""
    running = [machine for machine in scenario.world.machines.values() if machine.is_running and machine.disk is None]
    if not running:
        return
    node = scenario.rng.choice(running).node
    if node is not None:
        node.shut_down()


def _send_rivals_to_both_regions(scenario: Scenario) -> None:
    world = scenario.world
    first_region = world.zone_names[:2]
    inside = [machine for machine in world.known_machines if machine.zone in first_region]
    outside = [machine for machine in world.known_machines if machine.zone not in first_region]
    scenario.operators.send_rivals(inside[:1] + outside[:1])
