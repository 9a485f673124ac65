"""Directed scenarios with a second loss right after a control replica was replaced, wiped, added or removed."""

from __future__ import annotations

from ..faults import GRACE_PERIOD_S, REPLACEMENT_GAP_S
from ..final_fault import FinalFault
from ..machine import Machine
from ..scenario import LARGE_SITE, Scenario
from .registry import CATCH_UP_S, RECOVERED_S, REPLACED_S, directed, keep_changing, machines_except


@directed(34.0, FinalFault.WIPE)
def second_loss_after_a_replacement(scenario: Scenario) -> None:
    """Replace a replica; when its successor has caught up, lose another one for 14 s."""
    world, faults = scenario.world, scenario.faults
    faults.replace(world.control_replicas[0])
    keep_changing(scenario, 32.0)
    world.after(REPLACED_S, lambda: faults.kill([world.control_replicas[0]], 14.0))


@directed(56.0, FinalFault.WIPE)
def all_replicas_replaced_in_turn(scenario: Scenario) -> None:
    """Replace all replicas in turn, and then lose one of the new ones."""
    world, faults = scenario.world, scenario.faults
    for index, replica in enumerate(world.control_replicas):
        is_graceful = index % 2 == 0
        gap_s = REPLACEMENT_GAP_S if is_graceful else REPLACEMENT_GAP_S + GRACE_PERIOD_S
        world.after(index * REPLACED_S, faults.replace, replica, is_graceful, gap_s)
    world.after(4 * REPLACED_S, lambda: faults.kill([world.control_replicas[0]], 11.0))
    keep_changing(scenario, 54.0)


@directed(30.0, FinalFault.WIPE)
def second_loss_after_a_wiped_disk(scenario: Scenario) -> None:
    """Wipe a disk; when its replica has caught up, wipe another one, and then a third whose replica stays down."""
    world, faults = scenario.world, scenario.faults
    faults.kill(world.control_replicas[:1], 1.0, wipe=True)
    world.after(1.0 + RECOVERED_S, lambda: faults.kill([world.control_replicas[1]], 1.0, wipe=True))
    world.after(2 * (1.0 + RECOVERED_S), lambda: faults.kill([world.control_replicas[2]], 13.0, wipe=True))
    keep_changing(scenario, 28.0)


@directed(30.0, FinalFault.WIPE)
def retired_replica_with_the_only_copy(scenario: Scenario) -> None:
    """Replace a replica at the moment of an acknowledgement in which it took part.

    When its successor has caught up, the coordinator loses its disk at the moment of another acknowledgement, before
    slower disks have stored the acknowledged change.
    """
    world, operators, faults = scenario.world, scenario.operators, scenario.faults
    retired = world.control_replicas[0]
    operators.on_next_acknowledgement(lambda: faults.replace(retired))
    for index in range(4):
        world.after(0.01 + index / 500, operators.replace_configuration, None, retired)
    world.after(GRACE_PERIOD_S - 0.1, operators.replace_configuration, None, retired)

    def wipe_coordinator() -> None:
        replicas = world.control_replicas
        coordinator = next((replica for replica in replicas if replica.is_coordinator()), replicas[1])
        _slow_down_other_disks(scenario, coordinator)
        faults.kill_at_acknowledgement(lambda: [coordinator], 1.0, wipe=True)
        operators.replace_configuration(at=coordinator)

    world.after(GRACE_PERIOD_S + 1.0 + RECOVERED_S, wipe_coordinator)
    keep_changing(scenario, 28.0)


def _slow_down_other_disks(scenario: Scenario, coordinator: Machine) -> None:
    """Make the disks of all replicas except the coordinator hang for 0.6 s."""
    for replica in scenario.world.control_replicas:
        if replica.disk is not None:
            replica.disk.hangs_until = 0.0 if replica is coordinator else scenario.world.now + 0.6


@directed(34.0, FinalFault.WIPE, LARGE_SITE)
def two_replaced_and_two_lost(scenario: Scenario) -> None:
    """Replace two of eight replicas and then lose two, at a site that must tolerate two losses."""
    world, faults = scenario.world, scenario.faults
    for replica in world.control_replicas[:2]:
        faults.replace(replica)
    world.after(REPLACED_S, lambda: faults.kill([world.control_replicas[0], world.control_replicas[-1]], 14.0))
    keep_changing(scenario, 32.0)


@directed(30.0, FinalFault.WIPE)
def replicas_added_and_one_lost(scenario: Scenario) -> None:
    """Add two replicas in turn, and then lose one of the initial ones."""
    world, faults = scenario.world, scenario.faults
    for index, zone in enumerate(("a1", "b2")):
        world.after(0.5 + index * RECOVERED_S, faults.add_machine, zone, True)
    world.after(0.5 + 3 * RECOVERED_S, lambda: faults.kill([world.control_replicas[0]], 13.0))
    keep_changing(scenario, 28.0)


@directed(36.0, FinalFault.WIPE)
def successors_started_first(scenario: Scenario) -> None:
    """Add two replicas; when they have caught up, retire two of the initial ones in turn, and then lose a third."""
    world, faults = scenario.world, scenario.faults
    for zone in ("a1", "b2"):
        faults.add_machine(zone, has_disk=True)
    first, second, third, _ = world.control_replicas[:4]
    first_retired_s = RECOVERED_S + GRACE_PERIOD_S + CATCH_UP_S
    world.after(RECOVERED_S, faults.retire, first)
    world.after(first_retired_s, faults.retire, second, False)
    world.after(RECOVERED_S + GRACE_PERIOD_S + 2 * CATCH_UP_S, lambda: faults.kill([third], 13.0))
    keep_changing(scenario, 34.0)


@directed(26.0, FinalFault.KILL)
def removed_seed_machines(scenario: Scenario) -> None:
    """Make all settings files name seed machines that are then removed; later all other machines lose power at once."""
    world, faults = scenario.world, scenario.faults
    seeds = [machine for machine in machines_except(scenario) if machine.disk is None][:3]
    for machine in machines_except(scenario):
        machine.seed_addresses = [seed.address for seed in seeds]
    for seed in seeds:
        world.after(2.0, faults.remove, seed)
    world.after(10.0, lambda: faults.kill(machines_except(scenario), 0.8))
    keep_changing(scenario, 24.0)
