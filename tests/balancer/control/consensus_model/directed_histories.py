"""Short histories of faults that chance finds late; each holds under the rules as they are."""

from __future__ import annotations

from mapleline.balancer.control.commands import SetEvacuation

from .convergence import deliver_all, founded_world, run_round
from .network import Link
from .quorums import check_quorums
from .world import World


def first(choices):
    """Draw the first of so many."""
    return 0


def one_has_not_heard_of_new_voters():
    """1 is cut off, 4 and 5 come in, 1 and 2 go; then 1, which knows 1, 2, 3 alone, has a command."""
    world = founded_world()
    for ip in (2, 3, 9):
        world.network.cut_off(1, ip, True)
    for ip in (4, 5):
        world.add_machine()
        world.network.cut_off(1, ip, True)
        for _ in range(6):
            run_round(world)
    world.want_voters(3, [3, 4, 5])
    world.run_ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], first)
    world.run_ballot(3, True, [2, 3, 4, 5], [2, 3, 4, 5], first)
    assert [voter.ip for voter in world.newest_chosen.voters] == [3, 4, 5]
    assert not world.newest_chosen.former
    world.network.lose_all()
    world.replace_configuration(3, 0, 0)
    world.run_ballot(3, False, [4, 5], [4, 5], first)
    world.network.heal()
    world.replace_configuration(1, 0, 0)
    for _ in range(3):
        world.run_ballot(1, False, [2], [3, 4, 5], first)
    return world


def an_older_acceptance_answers_first():
    """A low ballot was accepted by 1 alone, a higher one by 2 and 3; then 3 asks, and hears 1 first."""
    world = founded_world()
    world.replace_by_rivals(1, 2)
    world.run_ballot(1, True, [2], [], first)
    world.run_ballot(2, True, [3], [3], first)
    world.run_ballot(2, True, [3], [3], first)
    assert world.newest_chosen.config == (1, 103)
    # the message that the other's is chosen
    world.network.wire = [message for message in world.network.wire if message.link == Link(2, 1)][-1:]
    world.network.deliver(0)
    world.replace_configuration(3, 0, 0)
    for _ in range(2):
        world.run_ballot(3, True, [1, 2], [1, 2], first, is_own_disk_slow=True)
    return world


def a_lower_number_under_a_higher_ballot():
    """1 alone accepts two changes at once, and later the one that was chosen in their place; then it starts anew."""
    world = founded_world()
    world.replace_configuration(1, 0, 0)
    world.submit(1, SetEvacuation("a", True))
    world.run_ballot(1, True, [2], [], first)
    world.network.lose_all()
    world.node(2).query(1)
    world.run(first, 9)
    world.replace_configuration(2, 0, 1)
    for _ in range(3):
        world.run_ballot(2, True, [3], [1, 3], first)
    assert world.machines[1].disk.record.accepted_state == world.newest_chosen
    assert world.newest_chosen.number == 3
    world.network.lose_all()
    world.crash(3, 0)
    for ip in (1, 2):
        world.node(2).query(ip)
    world.run(first, 9)
    assert world.now - world.node(2).lease_valid_since() < 0.1, "2 is not sure"
    world.crash(1, 0)
    world.start(1)
    world.node(2).query(1)
    world.run(first, 9)
    return world


def _founded_apart():
    """3 has founded the system with the votes of 2, and 1 knows nothing of it; then 2 loses its disk."""
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


def _found_again(world):
    world.network.cut_links = {Link(1, 3), Link(3, 1), Link(2, 3), Link(3, 2)}
    for _ in range(2):
        world.node(1).proposer.propose_if_due(True)
        deliver_all(world)
        check_quorums(world)
    return world


def an_empty_disk_is_asked_for_a_founding():
    return _found_again(_founded_apart())


def who_has_learnt_of_a_core_is_asked_for_a_founding():
    world = _founded_apart()
    world.node(2).query(3)
    deliver_all(world)
    assert world.node(2).number == 2
    return _found_again(world)


#: by the name of the mutant that each finds
DIRECTED_HISTORIES = {
    "asks those it knows, not those that promises show": one_has_not_heard_of_new_voters,
    "the first accepted state, not the highest": an_older_acceptance_answers_first,
    "chosen under another ballot": an_older_acceptance_answers_first,
    "a disk is known by the number it accepted": a_lower_number_under_a_higher_ballot,
    "the highest number it ever accepted": a_lower_number_under_a_higher_ballot,
    "an empty disk founds again": an_empty_disk_is_asked_for_a_founding,
    "who knows a core founds another": who_has_learnt_of_a_core_is_asked_for_a_founding,
}
