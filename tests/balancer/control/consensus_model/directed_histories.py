"""Short histories of faults that a random search rarely finds; none breaks an invariant with the unmodified rules."""

from __future__ import annotations

from mapleline.balancer.control.commands import SetEvacuation

from .convergence import bootstrapped_world, deliver_all, run_round
from .network import Link
from .quorums import check_quorums
from .world import World


def draw_first(choice_count):
    """Return index 0 of the choices."""
    return 0


def proposer_does_not_know_the_new_voters():
    """Machine 1, which knows only the voters 1, 2 and 3, proposes a command after the voters became 3, 4 and 5.

    Machine 1 is partitioned while 4 and 5 are added and 1 and 2 are removed.
    """
    world = bootstrapped_world()
    for ip in (2, 3, 9):
        world.network.cut_off(1, ip, True)
    for ip in (4, 5):
        world.add_machine()
        world.network.cut_off(1, ip, True)
        for _ in range(6):
            run_round(world)
    world.request_voters(3, [3, 4, 5])
    world.run_ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], draw_first)
    world.run_ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], draw_first)
    assert [voter.ip for voter in world.newest_chosen.voters] == [3, 4, 5]
    assert not world.newest_chosen.former
    world.network.drop_all()
    world.replace_configuration(3, 0, 0)
    world.run_ballot(3, False, [4, 5], [4, 5], draw_first)
    world.network.heal()
    world.replace_configuration(1, 0, 0)
    for _ in range(3):
        world.run_ballot(1, False, [2], [3, 4, 5], draw_first)
    return world


def older_acceptance_is_reported_first():
    """Machine 3 prepares and receives the reply of 1 first, whose accepted state has the lower ballot.

    A low ballot was accepted by 1 only, and a higher one by 2 and 3.
    """
    world = bootstrapped_world()
    world.replace_by_rivals(1, 2)
    world.run_ballot(1, True, [2], [], draw_first)
    world.run_ballot(2, True, [3], [3], draw_first)
    world.run_ballot(2, True, [3], [3], draw_first)
    assert world.newest_chosen.config == (1, 103)
    # deliver only the message to 1 that the state of 2 is chosen
    world.network.in_flight = [message for message in world.network.in_flight if message.link == Link(2, 1)][-1:]
    world.network.deliver(0)
    world.replace_configuration(3, 0, 0)
    for _ in range(2):
        world.run_ballot(3, True, [1, 2], [1, 2], draw_first, is_own_disk_slow=True)
    return world


def lower_number_under_a_higher_ballot():
    """Machine 1 accepts a state with a high number, then the chosen state with a lower number, and restarts.

    The first state has two changes and is accepted by 1 only.
    """
    world = bootstrapped_world()
    world.replace_configuration(1, 0, 0)
    world.submit(1, SetEvacuation("a", True))
    world.run_ballot(1, True, [2], [], draw_first)
    world.network.drop_all()
    world.node(2).query(1)
    world.run(draw_first, 9)
    world.replace_configuration(2, 0, 1)
    for _ in range(3):
        world.run_ballot(2, True, [3], [1, 3], draw_first)
    assert world.machines[1].disk.record.accepted_state == world.newest_chosen
    assert world.newest_chosen.number == 3
    world.network.drop_all()
    world.crash(3, 0)
    for ip in (1, 2):
        world.node(2).query(ip)
    world.run(draw_first, 9)
    assert world.now - world.node(2).lease_valid_since() < 0.1, "2 has no fresh read lease"
    world.crash(1, 0)
    world.start(1)
    world.node(2).query(1)
    world.run(draw_first, 9)
    return world


def _bootstrapped_without_machine_1():
    """Return a world bootstrapped by 3 with the vote of 2, unknown to 1, after which 2 has lost its disk."""
    world = World(0)
    for ip in (2, 3, 9):
        world.network.cut_off(1, ip, True)
    deliver_all(world)
    for _ in range(2):
        world.node(3).proposer.propose_if_due(True)
        deliver_all(world)
    assert [voter.ip for voter in world.newest_chosen.voters] == [3]
    assert world.newest_chosen.epoch == 2
    world.crash(2, 0)
    world.machines[2].disk.clear()
    world.machines[2].is_initial_start = False
    world.start(2)
    deliver_all(world)
    return world


def _attempt_second_bootstrap(world):
    """Let machine 1 propose a first state while it cannot reach machine 3."""
    world.network.cut_links = {Link(1, 3), Link(3, 1), Link(2, 3), Link(3, 2)}
    for _ in range(2):
        world.node(1).proposer.propose_if_due(True)
        deliver_all(world)
        check_quorums(world)
    return world


def empty_disk_receives_a_bootstrap_prepare():
    """Machine 2 with an empty disk receives a Prepare from state 0."""
    return _attempt_second_bootstrap(_bootstrapped_without_machine_1())


def informed_replica_receives_a_bootstrap_prepare():
    """Machine 2 with an empty disk learns the chosen state, and then receives a Prepare from state 0."""
    world = _bootstrapped_without_machine_1()
    world.node(2).query(3)
    deliver_all(world)
    assert world.node(2).number == 2
    return _attempt_second_bootstrap(world)


#: The histories, by the names of the mutants that they detect.
DIRECTED_HISTORIES = {
    "the proposer ignores other voters that promises report": proposer_does_not_know_the_new_voters,
    "the first accepted state is adopted, not that of the highest ballot": older_acceptance_is_reported_first,
    "the accepted state is marked as chosen under any ballot": older_acceptance_is_reported_first,
    "the record version is the highest accepted number": lower_number_under_a_higher_ballot,
    "the durable accepted number never decreases": lower_number_under_a_higher_ballot,
    "a replica whose disk was emptied takes part in a bootstrap": empty_disk_receives_a_bootstrap_prepare,
    "a replica with a chosen state takes part in another bootstrap": informed_replica_receives_a_bootstrap_prepare,
}
