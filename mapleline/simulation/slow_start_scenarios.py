"""Days on which servers come back cold while the ingresses do not agree about anything else.

`play(seed, trouble)` gives what broke and the day; `sweep` plays many, each with troubles stacked by lot.
"""

from __future__ import annotations

import logging
import multiprocessing
from collections import Counter
from collections.abc import Callable

from .invariants import judge
from .scenarios import ZONES, Day
from .world import Machine, Server

COLD_S = 3.0
OTHERS = 2  # machines without a disk in each zone
LENGTH_S = 16.0
EMPTY_S = 1.0  # after which a zone that is emptied gets nothing, in calm


def servers_of(day: Day, zone: str) -> list[Server]:
    return [s for s in day.world.servers.values() if s.zone == zone and not s.is_removed and not s.is_down]


def of_zone(day: Day, zone: str) -> list[Machine]:
    return [m for m in day.world.machines.values() if m.zone == zone]


def press(day: Day, work_s: float = 0.05, times: float = 8.0) -> None:
    """Much is asked of few servers, in little pieces, by a tenant without a limit."""
    for zone in ZONES:
        for service in ("slots", "records"):
            for server in [s for s in servers_of(day, zone) if s.service == service][1:]:
                server.is_removed = True
    day.world.publish_server_list()
    day.world.service_time_s = dict.fromkeys(day.world.service_time_s, work_s)
    day.hot["t4"] = times


def turn_cold(day: Day, servers: list[Server], for_s: float = COLD_S) -> None:
    """The same lives of them, cold from now on; the list shows it after its lag."""
    now = day.world.now
    for server in servers:
        server.slow_start_until = now + for_s
        day.record.cold.append((server.id, now, now + for_s))
    day.world.publish_server_list()


def evacuate(day: Day, zone: str, for_s: float, cold_s: float = COLD_S, at: Machine | None = None) -> None:
    """A zone is emptied; where that was in force for a while, its servers turn cold just before it is taken back."""
    known = len(day.record.evacuated)
    day.operator.evacuate(zone, for_s, at)
    rows = day.record.evacuated[known:]

    def turn() -> None:
        if any(day.world.now - row[1] > EMPTY_S for row in rows):
            turn_cold(day, servers_of(day, zone), cold_s)

    day.world.after(for_s - 0.05, turn)


def split(day: Day, groups: list[list[Machine]], for_s: float) -> None:
    """Nothing goes from one group to another; all go on serving their clients."""
    for n, group in enumerate(groups):
        day.cut(group, [m for other in groups[n + 1 :] for m in other], for_s)


def release(day: Day, machines: list[Machine], every_s: float) -> None:
    """One process after the other is started anew."""
    for n, machine in enumerate(machines):
        day.world.after(n * every_s, day.kill, [machine], 0.1)


def all_to(day: Day, machines: list[Machine], for_s: float) -> None:
    """All clients go to these, wherever they are."""
    day.directory.update(dict.fromkeys(ZONES, machines))
    if for_s > 0:
        day.world.after(0.1, all_to, day, machines, for_s - 0.1)


# -- directed days: each brings about one cause ------------------------------------------------------------


def each_alone(day: Day) -> None:
    """All machines of a zone are cut off from all others; each takes itself for the only one there."""
    press(day)
    near, machines = of_zone(day, "a1"), list(day.world.machines.values())
    split(day, [[m] for m in near] + [[m for m in machines if m not in near]], 8.0)
    all_to(day, near, 6.0)
    day.world.after(2.7, day.restart, servers_of(day, "a1"))


def pairs_apart(day: Day) -> None:
    """The machines of a zone do not hear each other's beats, but all of them reach the whole core."""
    press(day)
    near = of_zone(day, "a1")
    others = [m for m in day.world.machines.values() if m.disk is None]
    for one in near:
        day.cut([one], [m for m in others if m is not one], 9.0)
    day.world.after(3.0, day.restart, servers_of(day, "a1"))


def evacuated_over_a_release(day: Day) -> None:
    """Machines without a disk are started anew while an evacuation ends: they know of its end alone."""
    press(day)
    evacuate(day, "a1", 4.0, at=day.world.control_replicas[0])
    day.world.after(3.8, day.kill, [m for m in day.world.machines.values() if m.disk is None], 0.1)


def evacuated_behind_a_cut(day: Day) -> None:
    """Most machines never hear of an evacuation, and serve on while their lease lets them; then the cut ends."""
    press(day)
    machines = list(day.world.machines.values())
    away = [m for m in machines if m.disk is None]
    split(day, [[m] for m in away] + [[m for m in machines if m not in away]], 6.3)
    all_to(day, away, 8.0)
    day.world.after(0.5, evacuate, day, "a1", day.record.bounds.evacuation + 0.5, COLD_S, day.world.control_replicas[0])


def list_is_late(day: Day) -> None:
    """An evacuation ends while the platform answers nobody."""
    press(day)
    evacuate(day, "a1", 5.0, 2 * COLD_S)
    day.world.after(4.5, day.world.listless.update, list(day.world.machines))
    day.world.after(12.0, day.world.listless.clear)


def cold_again(day: Day) -> None:
    """Servers that are cold turn cold once more before that has ended."""
    press(day)
    day.restart(servers_of(day, "a1"))
    day.world.after(1.5, lambda: turn_cold(day, servers_of(day, "a1"), 4.0))


def owners_restart(day: Day) -> None:
    """Whoever is in a zone that is cold is started anew, again and again, without a memory."""
    press(day)
    near = of_zone(day, "a1")
    servers = servers_of(day, "a1")
    day.restart(servers)
    for n in range(12):
        day.world.after(0.3 + 0.25 * n, day.kill, [near[n % len(near)]], 0.05)


DIRECTED = [
    each_alone,
    pairs_apart,
    evacuated_over_a_release,
    evacuated_behind_a_cut,
    list_is_late,
    cold_again,
    owners_restart,
]


def stacked(day: Day) -> None:
    """Cuts of single machines and of groups, one way and both, zones that come back, evacuations, a release."""
    world, rng = day.world, day.rng
    press(day, rng.choice([0.05, 0.1]), rng.choice([6.0, 10.0]))
    machines, zones = list(world.machines.values()), list(ZONES)

    def cut() -> None:
        some = rng.sample(machines, rng.randrange(1, len(machines)))
        day.cut(
            some,
            rng.choice([machines, [m for m in machines if m not in some], world.control_replicas]),
            rng.uniform(2, 8),
            one_way=rng.random() < 0.4,
        )

    def pieces() -> None:
        lot = rng.sample(machines, len(machines))
        many = rng.randrange(2, 7)
        split(day, [lot[n::many] for n in range(many)], rng.uniform(3, 8))

    def come_back() -> None:
        day.restart(servers_of(day, rng.choice(zones)))

    troubles = [
        cut,
        cut,
        pieces,
        come_back,
        come_back,
        lambda: day.lose_zone(rng.choice(zones), rng.uniform(2, 4)),
        lambda: evacuate(day, rng.choice(zones), rng.uniform(2.0, 6.0)),
        lambda: evacuate(day, rng.choice(zones), rng.uniform(2.0, 6.0)),
        lambda: release(day, rng.sample(machines, len(machines)), rng.uniform(0.2, 0.6)),
        lambda: day.freeze(rng.choice(machines), rng.uniform(0.5, 4.0)),
        day.operator.config,
    ]
    for trouble in rng.sample(troubles, rng.randrange(4, len(troubles) + 1)):
        world.after(rng.uniform(0.0, 8.0), trouble)


def play(
    seed: int,
    troubles: Callable[[Day], None] = stacked,
    length: float = LENGTH_S,
    load: float = 2.0,
    others: int = OTHERS,
) -> tuple[list[str], Day]:
    """The rules that were broken, and the day."""
    day = Day(seed, others, load)
    day.begin()
    troubles(day)
    day.world.run(length)
    return judge(day.record), day


def to_cold(day: Day) -> list[tuple[float, str, str]]:
    """Requests that came to servers while these were cold: when, at which, by whom."""
    spans = [(id, since, until) for id, since, until in day.record.cold]
    return [
        (sent, server.id, one.by.name)
        for sent, _, server, one in day.record.arrivals
        if any(id == server.id and since <= sent < until for id, since, until in spans)
    ]


def trace(day: Day, line: str) -> Counter:
    """By whom a server got what broke the rule: `line` is the judge's."""
    _, at, id, *_ = line.replace(":", "").split()
    return Counter(by for sent, server, by in to_cold(day) if server == id and float(at) - 0.01 <= sent < float(at) + 1)


def _found(seed: int) -> tuple[int, list[str], int]:
    logging.disable(logging.CRITICAL)
    found, day = play(seed)
    found = [f"{line} {dict(trace(day, line))}" for line in found if line.startswith("FAILBACK")]
    return seed, found, len(to_cold(day))


def sweep(seeds: range, jobs: int, say: Callable[[str], None]) -> tuple[int, int]:
    """Stacked days on so many processes; the number that broke FAILBACK, and how many requests cold servers got."""
    broken = got = 0
    with multiprocessing.Pool(jobs) as pool:
        for seed, found, cold in pool.imap_unordered(_found, seeds):
            broken += bool(found)
            got += cold
            for line in found:
                say(f"seed {seed}: {line}")
    return broken, got
