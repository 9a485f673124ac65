"""Directed scenarios with hundreds of changes and restarts of machines, and with clock steps."""

from __future__ import annotations

from ..final_fault import FinalFault
from ..scenario import Scenario
from .registry import CATCH_UP_S, RECOVERED_S, directed, keep_changing, machines_except, take_turns

CHANGE_PERIOD_S = 0.08


@directed(48.0, FinalFault.KILL)
def three_hundred_changes(scenario: Scenario) -> None:
    """Send 300 changes; then restart a replica, restart another one with an empty disk, and add a third one."""
    world, faults = scenario.world, scenario.faults
    scenario.operators.send_many(300, CHANGE_PERIOD_S)
    world.after(32.0, lambda: faults.kill([world.control_replicas[0]], 0.5))
    world.after(32.5 + RECOVERED_S, lambda: faults.kill([world.control_replicas[1]], 0.5, wipe=True))
    world.after(33.0 + 2 * RECOVERED_S, faults.add_machine, "b1", True)


@directed(44.0, FinalFault.WIPE)
def replica_away_during_many_changes(scenario: Scenario) -> None:
    """Restart a replica with an old state behind a partition.

    The partition ends, and another replica is lost `CATCH_UP_S` later.
    """
    world, faults = scenario.world, scenario.faults
    replica = world.control_replicas[0]
    scenario.operators.send_many(200, CHANGE_PERIOD_S)
    world.after(2.0, faults.kill, [replica], 16.0)
    world.after(17.0, faults.partition, [replica], machines_except(scenario), 6.0)
    world.after(23.0 + CATCH_UP_S, lambda: faults.kill([world.control_replicas[1]], 12.0))
    take_turns(scenario, 0.3, 42.0, lambda: scenario.operators.read(replica))


@directed(30.0, FinalFault.WIPE)
def rolling_restart_during_many_changes(scenario: Scenario) -> None:
    """Restart the replicas in turn, each when the one before has caught up; every second disk is wiped."""
    world, faults = scenario.world, scenario.faults

    def restart(index: int) -> None:
        faults.kill([world.control_replicas[index % 4]], 0.4, wipe=index % 2 == 1)

    scenario.operators.send_many(200, CHANGE_PERIOD_S)
    for index in range(5):
        world.after(1.0 + index * (0.4 + RECOVERED_S), restart, index)


@directed(24.0, FinalFault.WIPE)
def stepping_clocks(scenario: Scenario) -> None:
    """Step clocks forwards and backwards, with restarts; then partition a replica just after its clock stepped back."""
    world, faults = scenario.world, scenario.faults
    replica = world.control_replicas[1]
    for index, step_s in enumerate((-3600.0, 3600.0, -60.0, 90.0)):
        world.after(0.5 + index, faults.step_clock, world.control_replicas[index % 4], step_s)
    world.after(6.0, lambda: faults.kill([world.control_replicas[0]], 1.0))
    world.after(12.0, lambda: faults.kill(world.control_replicas, 0.5))
    world.after(14.9, faults.step_clock, replica, -60.0)
    world.after(15.0, faults.partition, [replica], machines_except(scenario, replica), 8.0)
    take_turns(scenario, 0.25, 23.0, lambda: scenario.clients.look_up(replica))
    keep_changing(scenario, 22.0)
