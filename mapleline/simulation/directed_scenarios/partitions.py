"""Directed scenarios in which one machine is partitioned or frozen, or half of them are partitioned, for long."""

from __future__ import annotations

from ..machine import Machine
from ..scenario import ZONES, Scenario
from .registry import directed, machines_except, take_turns

ISOLATION_S = 20.0


def _keep_asking(scenario: Scenario, machine: Machine) -> None:
    """Schedule commands and reads of operators at that machine and at others; clients query its directory."""
    operators = scenario.operators
    take_turns(scenario, 0.25, 27.0, lambda: scenario.clients.look_up(machine))
    take_turns(
        scenario,
        0.5,
        ISOLATION_S,
        lambda: operators.replace_configuration(at=machine),
        lambda: operators.read(machine),
        operators.replace_configuration,
        lambda: operators.repeat_newest(machine),
        lambda: operators.replace_configuration(revoke="t1", at=machine),
        lambda: operators.repeat_older(machine),
        lambda: operators.evacuate("b2", 3.0, machine),
    )


@directed(27.0)
def replica_isolated_for_twenty_seconds(scenario: Scenario) -> None:
    """Partition a control replica from all other machines."""
    replica = scenario.world.control_replicas[0]
    scenario.faults.partition([replica], machines_except(scenario), ISOLATION_S)
    _keep_asking(scenario, replica)


@directed(27.0)
def diskless_machine_isolated(scenario: Scenario) -> None:
    """Partition a machine without a disk from all other machines."""
    machine = machines_except(scenario, *scenario.world.control_replicas)[0]
    scenario.faults.partition([machine], machines_except(scenario), ISOLATION_S)
    _keep_asking(scenario, machine)


@directed(27.0)
def one_way_partitions(scenario: Scenario) -> None:
    """Block the messages that a replica sends, and then the messages that it would receive."""
    world, faults = scenario.world, scenario.faults
    replica = world.control_replicas[0]
    half_s = ISOLATION_S / 2
    faults.partition([replica], machines_except(scenario), half_s, one_way=True)
    faults.loss_budget.spend(world.now + ISOLATION_S, replica)
    world.after(half_s, faults.partition, machines_except(scenario, replica), [replica], half_s, True)
    _keep_asking(scenario, replica)


@directed(27.0)
def replica_frozen_for_twenty_seconds(scenario: Scenario) -> None:
    """Freeze a replica; afterwards it handles all requests that arrived meanwhile."""
    world, operators = scenario.world, scenario.operators
    replica = world.control_replicas[0]
    scenario.faults.freeze(replica, ISOLATION_S)
    _keep_asking(scenario, replica)
    world.after(1.0, operators.send_command, "/evacuations/a1/begin", None)
    world.after(5.0, operators.send_command, "/evacuations/a1/finish", replica)
    world.after(12.0, operators.send_command, "/evacuations/a1/begin", None)


@directed(22.0)
def replicas_split_in_halves(scenario: Scenario) -> None:
    """Partition the machines into halves without a majority, send commands and reads to both, and end the partition."""
    operators = scenario.operators
    half = [machine for machine in machines_except(scenario) if ZONES[machine.zone] == "a"]
    other_half = machines_except(scenario, *half)
    scenario.faults.partition(half, other_half, 10.0)
    machine, other = half[0], other_half[0]
    take_turns(
        scenario,
        0.4,
        9.0,
        lambda: operators.replace_configuration(at=machine),
        lambda: operators.replace_configuration(at=other),
        lambda: operators.evacuate("a1", 2.0, machine),
        lambda: operators.repeat_newest(other),
        lambda: operators.read(machine),
        lambda: operators.read(other),
    )
    scenario.world.after(16.0, operators.replace_configuration)
