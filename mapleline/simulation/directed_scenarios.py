"""Directed days: each brings about one failure of the control side, as operators have told of it.

(1) a machine cut off for long, (2) two contents under one number and orders sent again, (3) a second loss right after
a repair or a replacement, (4) hundreds of changes and a machine that comes back, (5) answers to the wrong caller.
`DAYS` has how long each is, and its closing fault.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .scenarios import GRACE_S, ZONES, Day
from .world import PROCESS_START_S, Machine

CATCH_UP_S = 4.0
WHOLE_S = PROCESS_START_S + CATCH_UP_S + 0.1  # after which a machine that was started is no longer lost
DAYS: dict[Callable[[Day], None], dict[str, Any]] = {}


def lasts(length: float, closing: str = "none", **more: Any) -> Callable[[Callable], Callable]:
    """Registers a day of that many seconds after its calm beginning."""

    def membership(troubles: Callable[[Day], None]) -> Callable[[Day], None]:
        DAYS[troubles] = {"length": length, "closing": closing, "load": 0.15, **more}
        return troubles

    return membership


def every(day: Day, period_s: float, until_s: float, *works: Callable[[], Any]) -> None:
    """These by turns, one a period."""
    for n in range(int(until_s / period_s)):
        day.world.after((n + 0.5) * period_s, works[n % len(works)])


def rest(day: Day, *without: Machine) -> list[Machine]:
    return [m for m in day.world.machines.values() if m not in without]


# -- (1) cut off -------------------------------------------------------------------------------------------


def _asked(day: Day, one: Machine) -> None:
    """Operators go on for 20 s, and ask that machine as well as all others; clients ask its directory."""
    operator = day.operator
    every(day, 0.25, 27.0, lambda: day.ask_directory(one))
    every(
        day,
        0.5,
        20.0,
        lambda: operator.config(at=one),
        lambda: operator.read(one),
        operator.config,
        lambda: operator.newest_again(one),
        lambda: operator.config(revoke="t1", at=one),
        lambda: operator.older_again(one),
        lambda: operator.evacuate("b2", 3.0, one),
    )


@lasts(27.0)
def cut_off_for_twenty_seconds(day: Day) -> None:
    """A machine of the core is cut off from all others."""
    one = day.world.control_replicas[0]
    day.cut([one], rest(day), 20.0)
    _asked(day, one)


@lasts(27.0)
def cut_off_without_a_disk(day: Day) -> None:
    """So is one without a disk."""
    one = rest(day, *day.world.control_replicas)[0]
    day.cut([one], rest(day), 20.0)
    _asked(day, one)


@lasts(27.0)
def heard_by_none_and_then_hearing_none(day: Day) -> None:
    """The cut is one way, first the one, then the other."""
    one = day.world.control_replicas[0]
    day.cut([one], rest(day), 10.0, one_way=True)
    day.loses(day.world.now + 20.0, one)
    day.world.after(10.0, day.cut, rest(day, one), [one], 10.0, True)
    _asked(day, one)


@lasts(27.0)
def frozen_for_twenty_seconds(day: Day) -> None:
    """It does nothing for 20 s, and goes on with all that it was asked meanwhile."""
    world, operator, one = day.world, day.operator, day.world.control_replicas[0]
    day.freeze(one, 20.0)
    _asked(day, one)
    begun, ended = "/evacuations/a1/begin", "/evacuations/a1/finish"
    for at, path, machine in ((1.0, begun, None), (5.0, ended, one), (12.0, begun, None)):
        world.after(at, operator.plain, path, machine)


@lasts(22.0)
def core_cut_in_two(day: Day) -> None:
    """Neither half is a majority; both are asked for everything, and then joined."""
    world, operator = day.world, day.operator
    half = [m for m in rest(day) if ZONES[m.zone] == "a"]
    day.cut(half, rest(day, *half), 10.0)
    one, other = half[0], rest(day, *half)[0]
    every(
        day,
        0.4,
        9.0,
        lambda: operator.config(at=one),
        lambda: operator.config(at=other),
        lambda: operator.evacuate("a1", 2.0, one),
        lambda: operator.newest_again(other),
        lambda: operator.read(one),
        lambda: operator.read(other),
    )
    world.after(16.0, operator.config)


# -- (2) rivals, and what is sent again --------------------------------------------------------------------


@lasts(14.0, "kill")
def rivals_at_two_ingresses(day: Day) -> None:
    """Two contents under one number at the same moment."""
    every(day, 1.0, 10.0, lambda: day.operator.rivals(day.rng.sample(day.world.known_machines, 2)))


@lasts(14.0, "wipe")
def three_rivals(day: Day) -> None:
    """Three of them, and later each is sent again."""
    orders = []
    every(day, 2.0, 8.0, lambda: orders.extend(day.operator.rivals(day.rng.sample(day.world.known_machines, 3))))
    for n in range(12):
        day.world.after(8.0 + n / 4, lambda n=n: day.operator.again(orders[n]))


@lasts(12.0, "kill")
def rivals_by_way_of_one_ingress(day: Day) -> None:
    """Both go to the same machine."""
    every(day, 1.0, 8.0, lambda: day.operator.rivals([day.rng.choice(day.world.known_machines)] * 2))


@lasts(26.0, "kill")
def rivals_at_two_sides_of_a_cut(day: Day) -> None:
    """First neither side is a majority, then one of them is a single machine."""
    world, operator = day.world, day.operator
    half = [m for m in rest(day) if ZONES[m.zone] == "a"]
    one, other = half[0], rest(day, *half)[0]
    day.cut(half, rest(day, *half), 6.0)
    world.after(9.0, day.cut, [one], rest(day), 8.0)
    every(day, 1.5, 17.0, lambda: operator.rivals([one, other]), lambda: operator.rivals([one, one, other]))


@lasts(20.0, "wipe")
def rivals_while_power_is_lost(day: Day) -> None:
    """All lose power some ms after two contents were sent, or as one of them is acknowledged."""
    world = day.world

    def both(after_ms: float | None, slow_s: float) -> None:
        for machine in world.control_replicas:
            machine.disk.hangs_until = world.now + slow_s
        if after_ms is None:
            day.at_acknowledgement(lambda: rest(day), 0.5)
        else:
            world.after(after_ms / 1000, lambda: day.kill(rest(day), 0.5))
        day.operator.rivals(day.rng.sample(world.known_machines, 2))

    lots = (None, 0.0), (None, 0.6), (2.0, 0.0), (6.0, 0.0), (25.0, 0.0), (45.0, 0.0)
    for n, (after_ms, slow_s) in enumerate(lots):
        world.after(0.5 + 3.0 * n, both, after_ms, slow_s)


@lasts(18.0, "kill")
def answers_lost_on_their_way(day: Day) -> None:
    """Half of the answers; the orders are sent again until one comes, at any ingress, and once more later."""
    operator = day.operator
    day.lose_answers(0.5, 11.0)
    every(
        day,
        0.5,
        10.0,
        operator.config,
        operator.newest_again,
        lambda: operator.evacuate("b1", 2.0),
        operator.older_again,
        operator.unclear_again,
    )
    every(day, 1.0, 16.0, operator.unclear_again, operator.newest_again)


@lasts(34.0, "kill")
def sent_again_long_after(day: Day) -> None:
    """The newest change with no other since, at every machine; after restarts, a wiped disk and a replacement too; and
    older ones.
    """
    world, operator = day.world, day.operator

    def at_each(again: Callable[[Machine], None]) -> None:
        for machine in list(world.machines.values()):
            again(machine)

    for at in (0.2, 0.6, 1.0):
        world.after(at, operator.config)
    world.after(3.0, at_each, operator.newest_again)
    world.after(4.0, day.kill, rest(day), 0.6)
    world.after(8.0, at_each, operator.newest_again)
    world.after(9.0, at_each, operator.older_again)
    world.after(10.0, lambda: day.kill([world.control_replicas[0]], 0.6, True))
    world.after(16.0, at_each, operator.newest_again)
    world.after(17.0, lambda: day.replace(world.control_replicas[1], grace=False))
    world.after(23.0, at_each, operator.newest_again)
    world.after(24.0, operator.config)
    world.after(26.0, at_each, operator.older_again)
    world.after(28.0, at_each, operator.newest_again)


@lasts(22.0, "emptied")
def evacuations_raced(day: Day) -> None:
    """Begun and withdrawn at the same moment by two, again and again; what was acknowledged last holds."""
    operator = day.operator
    one, other = day.rng.sample(rest(day), 2)
    every(
        day,
        0.5,
        8.0,
        lambda: operator.plain("/evacuations/a1/begin", one),
        lambda: operator.plain("/evacuations/a1/finish", other),
    )
    for at in (1.0, 3.0, 5.0):
        day.world.after(
            at, lambda: [operator.plain("/evacuations/a1/begin", one), operator.plain("/evacuations/a1/finish", other)]
        )
    operator.race_evacuation("b1")
    day.world.after(15.0, operator.plain, "/evacuations/a1/begin")
    for machine in day.world.control_replicas:  # no disk answers until well after the last order was sent
        day.world.after(21.0, setattr, machine.disk, "hangs_until", day.world.now + 25.0)


@lasts(10.0)
def an_invalid_one_beside_a_proper_one(day: Day) -> None:
    """What is refused is nowhere in force, and its number is free for a proper content."""
    operator = day.operator
    every(
        day,
        0.8,
        8.0,
        lambda: operator.invalid(then_valid=True),
        operator.config,
        lambda: (operator.invalid(then_valid=True), operator.config()),
    )


# -- (3) the second loss -----------------------------------------------------------------------------------


def _orders(day: Day, until_s: float) -> None:
    operator = day.operator
    every(day, 0.9, until_s, operator.config, lambda: operator.evacuate("b2", 2.0), operator.newest_again)


@lasts(34.0, "wipe")
def second_loss_after_a_replacement(day: Day) -> None:
    """A machine of the core is replaced; once its successor has had its time, another is lost for long."""
    world = day.world
    day.replace(world.control_replicas[0])
    _orders(day, 32.0)
    world.after(GRACE_S + 0.5 + WHOLE_S, lambda: day.kill([world.control_replicas[0]], 14.0))


@lasts(56.0, "wipe")
def all_replaced_in_turn(day: Day) -> None:
    """None of the first machines is left, and then one of the new ones is lost."""
    world, step = day.world, GRACE_S + 0.5 + WHOLE_S
    for n, machine in enumerate(world.control_replicas):
        world.after(n * step, day.replace, machine, n % 2 == 0, 0.5 + GRACE_S * (n % 2))
    world.after(4 * step, lambda: day.kill([world.control_replicas[0]], 11.0))
    _orders(day, 54.0)


@lasts(30.0, "wipe")
def second_loss_after_a_repair(day: Day) -> None:
    """A disk comes back empty; once the machine has had its time, another loses its disk, and stays away."""
    world = day.world
    day.kill(world.control_replicas[:1], 1.0, wipe=True)
    world.after(1.0 + WHOLE_S, lambda: day.kill([world.control_replicas[1]], 1.0, wipe=True))
    world.after(2 * (1.0 + WHOLE_S), lambda: day.kill([world.control_replicas[2]], 13.0, wipe=True))
    _orders(day, 28.0)


@lasts(30.0, "wipe")
def leaver_with_the_only_copy(day: Day) -> None:
    """A machine takes orders and has to leave at the moment of an acknowledgement; when its successor has had its time,
    the one that proposes loses its disk at such a moment, before slower disks have what is acknowledged.
    """
    world, operator = day.world, day.operator
    one = world.control_replicas[0]

    def leave(_: object) -> None:
        day.replace(one)

    operator.at_acknowledgement.append(leave)
    for n in range(4):
        world.after(0.01 + n / 500, operator.config, None, one)
    world.after(GRACE_S - 0.1, operator.config, None, one)

    def second() -> None:
        two = next((m for m in world.control_replicas if m.is_coordinator()), world.control_replicas[1])
        for machine in world.control_replicas:
            machine.disk.hangs_until = 0.0 if machine is two else world.now + 0.6
        day.at_acknowledgement(lambda: [two], 1.0, True)
        operator.config(at=two)

    world.after(GRACE_S + 1.0 + WHOLE_S, second)
    _orders(day, 28.0)


@lasts(34.0, "wipe", grown=True)
def two_replaced_and_two_lost(day: Day) -> None:
    """The same with eight machines that have a disk, where two losses are to be borne."""
    world = day.world
    for machine in world.control_replicas[:2]:
        day.replace(machine)
    world.after(
        GRACE_S + 0.5 + WHOLE_S, lambda: day.kill([world.control_replicas[0], world.control_replicas[-1]], 14.0)
    )
    _orders(day, 32.0)


@lasts(30.0, "wipe")
def grown_and_one_lost(day: Day) -> None:
    """Machines with a disk are added in turn, and then one of the first is lost."""
    world = day.world
    for n, zone in enumerate(("a1", "b2")):
        world.after(0.5 + n * WHOLE_S, day.grow, zone, True)
    world.after(0.5 + 3 * WHOLE_S, lambda: day.kill([world.control_replicas[0]], 13.0))
    _orders(day, 28.0)


@lasts(36.0, "wipe")
def successors_first(day: Day) -> None:
    """Two machines with a disk are added; once they have had their time two of the first leave for good, in turn, and
    then one is lost.
    """
    world = day.world
    for zone in ("a1", "b2"):
        day.grow(zone, True)
    one, two, three, _ = world.control_replicas[:4]
    world.after(WHOLE_S, day.leave, one)
    world.after(WHOLE_S + GRACE_S + CATCH_UP_S, day.leave, two, False)
    world.after(WHOLE_S + GRACE_S + 2 * CATCH_UP_S, lambda: day.kill([three], 13.0))
    _orders(day, 34.0)


# -- (4) hundreds of changes -------------------------------------------------------------------------------


@lasts(48.0, "kill")
def three_hundred_changes(day: Day) -> None:
    """Then one machine is restarted, one comes back with an empty disk, and one is new."""
    world = day.world
    day.operator.storm(300, 0.08)
    world.after(32.0, lambda: day.kill([world.control_replicas[0]], 0.5))
    world.after(32.5 + WHOLE_S, lambda: day.kill([world.control_replicas[1]], 0.5, wipe=True))
    world.after(33.0 + 2 * WHOLE_S, day.grow, "b1", True)


@lasts(44.0, "wipe")
def away_for_hundreds_of_changes(day: Day) -> None:
    """A machine with what was in force long ago comes back behind a cut; it is joined, and once it has had its time
    another is lost.
    """
    world, one = day.world, day.world.control_replicas[0]
    day.operator.storm(200, 0.08)
    world.after(2.0, day.kill, [one], 16.0)
    world.after(17.0, day.cut, [one], rest(day), 6.0)
    world.after(23.0 + CATCH_UP_S, lambda: day.kill([world.control_replicas[1]], 12.0))
    every(day, 0.3, 42.0, lambda: day.operator.read(one))


@lasts(30.0, "wipe")
def restarted_again_and_again_during_changes(day: Day) -> None:
    """One after the other, each as soon as the last one has had its time; every second disk comes back empty."""
    world = day.world
    day.operator.storm(200, 0.08)
    for n in range(5):
        world.after(1.0 + n * (0.4 + WHOLE_S), lambda n=n: day.kill([world.control_replicas[n % 4]], 0.4, n % 2 == 1))


# -- (5) the wrong caller ----------------------------------------------------------------------------------


@lasts(24.0, "kill")
def answers_to_the_wrong_caller(day: Day) -> None:
    """Eight calls at once by way of one ingress, while messages come twice and late, also to another life."""
    world, one = day.world, day.world.control_replicas[0]
    world.linger, world.strays = (0.3, 4.0), 0.3
    world.after(18.0, setattr, world, "strays", 0.0)
    for n in range(8):
        world.after(0.5 + 2.0 * n, day.operator.flurry, one if n % 2 else None)
        if n % 3 == 1:
            world.after(0.51 + 2.0 * n, lambda: day.kill([one], 0.2))


# -- clocks and seeds --------------------------------------------------------------------------------------


@lasts(24.0, "wipe")
def clocks_that_step(day: Day) -> None:
    """Times of day jump both ways, restarts between; then one whose clock was just set back is cut off."""
    world = day.world
    one = world.control_replicas[1]
    for n, by_s in enumerate((-3600.0, 3600.0, -60.0, 90.0)):
        world.after(0.5 + n, day.step_clock, world.control_replicas[n % 4], by_s)
    world.after(6.0, lambda: day.kill([world.control_replicas[0]], 1.0))
    world.after(12.0, lambda: day.kill(world.control_replicas, 0.5))
    world.after(14.9, day.step_clock, one, -60.0)
    world.after(15.0, day.cut, [one], rest(day, one), 8.0)
    every(day, 0.25, 23.0, lambda: day.ask_directory(one))
    _orders(day, 22.0)


@lasts(26.0, "kill")
def seeds_that_are_gone(day: Day) -> None:
    """All settings files name machines that then leave for good; all the others lose power at once."""
    world = day.world
    named = [m for m in rest(day) if m.disk is None][:3]
    for machine in rest(day):
        machine.seed_addresses = [m.address for m in named]
    for machine in named:
        world.after(2.0, day.remove, machine)
    world.after(10.0, lambda: day.kill(rest(day), 0.8))
    _orders(day, 24.0)
