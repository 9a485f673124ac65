"""Directed scenarios with repeated commands: after lost responses, after restarts, and beside opposite commands."""

from __future__ import annotations

from collections.abc import Callable

from ..final_fault import FinalFault
from ..machine import Machine
from ..scenario import Scenario
from .registry import directed, machines_except, take_turns


@directed(18.0, FinalFault.KILL)
def lost_responses(scenario: Scenario) -> None:
    """Lose half of the responses; commands are repeated at any ingress until a response arrives, and again later."""
    operators = scenario.operators
    scenario.faults.lose_responses(0.5, 11.0)
    take_turns(
        scenario,
        0.5,
        10.0,
        operators.replace_configuration,
        operators.repeat_newest,
        lambda: operators.evacuate("b1", 2.0),
        operators.repeat_older,
        operators.repeat_unclear,
    )
    take_turns(scenario, 1.0, 16.0, operators.repeat_unclear, operators.repeat_newest)


@directed(34.0, FinalFault.KILL)
def commands_repeated_long_after(scenario: Scenario) -> None:
    """Repeat the newest and older changes at every machine, also after restarts, a disk wipe and a replacement."""
    world, operators, faults = scenario.world, scenario.operators, scenario.faults

    def at_each(repeat: Callable[[Machine], None]) -> None:
        for machine in list(world.machines.values()):
            repeat(machine)

    for at in (0.2, 0.6, 1.0):
        world.after(at, operators.replace_configuration)
    world.after(3.0, at_each, operators.repeat_newest)
    world.after(4.0, faults.kill, machines_except(scenario), 0.6)
    world.after(8.0, at_each, operators.repeat_newest)
    world.after(9.0, at_each, operators.repeat_older)
    world.after(10.0, lambda: faults.kill([world.control_replicas[0]], 0.6, wipe=True))
    world.after(16.0, at_each, operators.repeat_newest)
    world.after(17.0, lambda: faults.replace(world.control_replicas[1], graceful=False))
    world.after(23.0, at_each, operators.repeat_newest)
    world.after(24.0, operators.replace_configuration)
    world.after(26.0, at_each, operators.repeat_older)
    world.after(28.0, at_each, operators.repeat_newest)


@directed(22.0, FinalFault.KILL_AFTER_EVACUATION)
def concurrent_evacuation_and_withdrawal(scenario: Scenario) -> None:
    """Begin and end an evacuation at the same moment, several times; the last acknowledged command must hold."""
    world, operators = scenario.world, scenario.operators
    machine, other = scenario.rng.sample(machines_except(scenario), 2)

    def begin() -> None:
        operators.send_command("/evacuations/a1/begin", machine)

    def withdraw() -> None:
        operators.send_command("/evacuations/a1/finish", other)

    def begin_and_withdraw() -> None:
        begin()
        withdraw()

    take_turns(scenario, 0.5, 8.0, begin, withdraw)
    for at in (1.0, 3.0, 5.0):
        world.after(at, begin_and_withdraw)
    operators.race_evacuation("b1")
    world.after(15.0, operators.send_command, "/evacuations/a1/begin")
    for replica in world.control_replicas:  # all syncs hang until well after the last command was sent
        world.after(21.0, setattr, replica.disk, "hangs_until", world.now + 25.0)
