"""Directed scenarios with rivals: several contents that are sent under one version."""

from __future__ import annotations

from ..final_fault import FinalFault
from ..history import OperatorCommand
from ..network import LateCopies
from ..scenario import ZONES, Scenario
from .registry import directed, machines_except, take_turns


@directed(14.0, FinalFault.KILL)
def rivals_at_two_ingresses(scenario: Scenario) -> None:
    """Send two contents under one version at the same moment, to two machines."""
    world, operators = scenario.world, scenario.operators
    take_turns(scenario, 1.0, 10.0, lambda: operators.send_rivals(scenario.rng.sample(world.known_machines, 2)))


@directed(14.0, FinalFault.WIPE)
def three_rivals(scenario: Scenario) -> None:
    """Send three contents under one version, and repeat each of them later."""
    world, operators = scenario.world, scenario.operators
    commands: list[OperatorCommand] = []

    def send_three() -> None:
        commands.extend(operators.send_rivals(scenario.rng.sample(world.known_machines, 3)))

    def repeat(index: int) -> None:
        operators.repeat(commands[index])

    take_turns(scenario, 2.0, 8.0, send_three)
    for index in range(12):
        world.after(8.0 + index / 4, repeat, index)


@directed(12.0, FinalFault.KILL)
def rivals_at_one_ingress(scenario: Scenario) -> None:
    """Send two contents under one version to the same machine."""
    world, operators = scenario.world, scenario.operators
    take_turns(scenario, 1.0, 8.0, lambda: operators.send_rivals([scenario.rng.choice(world.known_machines)] * 2))


@directed(26.0, FinalFault.KILL)
def rivals_across_a_partition(scenario: Scenario) -> None:
    """Send rivals to both sides of a partition: at first neither has a majority, then one is a single machine."""
    operators, faults = scenario.operators, scenario.faults
    half = [machine for machine in machines_except(scenario) if ZONES[machine.zone] == "a"]
    other_half = machines_except(scenario, *half)
    machine, other = half[0], other_half[0]
    faults.partition(half, other_half, 6.0)
    scenario.world.after(9.0, faults.partition, [machine], machines_except(scenario), 8.0)
    take_turns(
        scenario,
        1.5,
        17.0,
        lambda: operators.send_rivals([machine, other]),
        lambda: operators.send_rivals([machine, machine, other]),
    )


@directed(20.0, FinalFault.WIPE)
def rivals_during_power_loss(scenario: Scenario) -> None:
    """Make all machines lose power some ms after two rivals were sent, or when one of them is acknowledged."""
    world, faults = scenario.world, scenario.faults

    def kill_all() -> None:
        faults.kill(machines_except(scenario), 0.5)

    def send_rivals_and_lose_power(delay_ms: float | None, disk_delay_s: float) -> None:
        for machine in world.control_replicas:
            if machine.disk is not None:
                machine.disk.hangs_until = world.now + disk_delay_s
        if delay_ms is None:
            faults.kill_at_acknowledgement(lambda: machines_except(scenario), 0.5)
        else:
            world.after(delay_ms / 1000, kill_all)
        scenario.operators.send_rivals(scenario.rng.sample(world.known_machines, 2))

    delays = [(None, 0.0), (None, 0.6), (2.0, 0.0), (6.0, 0.0), (25.0, 0.0), (45.0, 0.0)]
    for index, (delay_ms, disk_delay_s) in enumerate(delays):
        world.after(0.5 + 3.0 * index, send_rivals_and_lose_power, delay_ms, disk_delay_s)


@directed(10.0)
def invalid_beside_valid_configurations(scenario: Scenario) -> None:
    """Send invalid contents: they must not come into force, and their versions stay free for valid contents."""
    operators = scenario.operators

    def send_invalid() -> None:
        operators.send_invalid(reuse_version=True)

    def send_both() -> None:
        send_invalid()
        operators.replace_configuration()

    take_turns(scenario, 0.8, 8.0, send_invalid, operators.replace_configuration, send_both)


@directed(24.0, FinalFault.KILL)
def stray_replies(scenario: Scenario) -> None:
    """Send bursts, some through one replica, while late copies and misrouted replies arrive, also after restarts."""
    world, operators = scenario.world, scenario.operators
    replica = world.control_replicas[0]
    world.network.late_copies = LateCopies(rate=0.3, max_delay_s=4.0)
    world.network.misrouted_reply_rate = 0.3
    world.after(18.0, setattr, world.network, "misrouted_reply_rate", 0.0)
    for index in range(8):
        at = 0.5 + 2.0 * index
        world.after(at, operators.send_burst, replica if index % 2 else None)
        if index % 3 == 1:
            world.after(0.51 + 2.0 * index, scenario.faults.kill, [replica], 0.2)
