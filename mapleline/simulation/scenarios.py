"""Days of a small system in the laboratory: traffic, an operator, troubles by lot, and a closing loss.

`play(seed)` gives what broke; the same seed gives the same day.
"""

from __future__ import annotations

import json
import logging
import multiprocessing
from collections.abc import Callable
from functools import partial

from ..balancer import settings
from .invariants import Record, Sent, judge
from .operators import COLD_RATE, HOST, KINDS, TENANTS, Operators
from .world import PROCESS_START_S, PROTOCOL_BOUNDS, Machine, Server, World

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
CALM_S, DAY_S, AFTER_S, RECOVER_S = 6.0, 24.0, 8.0, 6.0
SAMPLE_S = 0.1
KEEP_SHARE = 0.1  # of clients that stay where they are connected
QUESTION_S = 0.25  # each a read and a look-up at any machine, also at one that is cut off
GRACE_S = 6.0
WEIGHTS = [5, 2, 1, 3]
FOREVER = float("inf")


class Day:
    """One day; `troubles(day)` sets faults at times.  `grown`: two disks a zone, and two losses to be borne."""

    def __init__(self, seed: int, others: int = 1, load: float = 1.0, grown: bool = False) -> None:
        more = {"losses": 2, "disks": 2} if grown else {}
        self.world = world = World(seed, ZONES, others, servers={"slots": 4, "records": 2}, **more)
        world.service_time_s = {name: kind.work_s for name, kind in KINDS.items()}
        self.rng, self.load = world.rng, load
        bounds = settings.Bounds.model_validate(dict(part.split("=") for part in PROTOCOL_BOUNDS.split(",")))
        self.record = Record(
            bounds,
            ZONES,
            runs=world.runs,
            arrivals=world.arrivals,
            cold_rate=COLD_RATE,
            limits=TENANTS,
            services={k.kind: set() for k in KINDS.values()},
            homes={k.kind: set(k.homes) for k in KINDS.values() if k.homes},
            events=world.events,
        )
        for kind in KINDS.values():
            self.record.services[kind.kind].add(kind.service)
        self.operator = Operators(self)
        self.lost: dict[str, float] = {}  #: machines of the core, and until when each counts as lost
        self.tries, self.asked = 0, {}
        self.directory: dict[str, list[Machine]] = {}
        self.kept: dict[str, list[Machine]] = {}  #: the first answers, which some clients go on with
        self.hot: dict[str, float] = {}
        self.open_until = float("inf")

    # -- clients -------------------------------------------------------------------------------------------

    def look_up(self, zone: str) -> None:
        """A zone's clients ask where to go, each 2 s."""
        world = self.world
        self.world.after(2.0, self.look_up, zone)

        near = [m for m in world.known_machines if ZONES[m.zone] == ZONES[zone]]
        machine = self.rng.choice(near or world.known_machines)

        def told(status: int, body: bytes, lines: bytes) -> None:
            self.record.lookups.append((world.now, machine.name, status))
            if status == 200:
                found = [a.split(":")[0] for a in json.loads(body)["address_list"]]
                self.directory[zone] = [m for m in world.machines.values() if m.address in found]
                self.kept.setdefault(zone, self.directory[zone])

        path = f"/lookup?name={HOST}&region={ZONES[zone]}&zone={zone}"
        world.send_request(machine, "GET", path, {}, b"", told, "directory")

    def questions(self) -> None:
        """A read and a look-up at any machine that operators know of, all day long."""
        self.world.after(QUESTION_S, self.questions)
        self.operator.read()
        self.ask_directory(self.rng.choice(self.world.known_machines))

    def ask_directory(self, machine: Machine) -> None:
        """A look-up of which nothing but the status is wanted."""
        world, path = self.world, f"/lookup?name={HOST}&region={ZONES[machine.zone]}&zone={machine.zone}"

        def told(status: int, body: bytes, lines: bytes) -> None:
            self.record.lookups.append((world.now, machine.name, status))

        world.send_request(machine, "GET", path, {}, b"", told, "directory")

    def arrivals(self, zone: str, name: str) -> None:
        """Open loop: the next one comes by chance, whatever became of the last."""
        world, kind = self.world, KINDS[name]
        if world.now > self.open_until:
            return
        weights = [w * self.hot.get(t, 1.0) for t, w in zip(TENANTS, WEIGHTS, strict=True)]
        [tenant] = self.rng.choices(list(TENANTS), weights)
        more = max(self.hot.values(), default=1.0) ** 0.5
        self.tries += 1
        self.attempt(f"q{self.tries}", name, tenant, zone, world.now + kind.deadline_s, 1)
        world.after(self.rng.expovariate(kind.per_s * self.load * more), self.arrivals, zone, name)

    def attempt(self, id: str, name: str, tenant: str, zone: str, end: float, left: int, avoid: str = "") -> None:
        world, kind = self.world, KINDS[name]
        known = self.kept if self.rng.random() < KEEP_SHARE else self.directory
        able = [m for m in known.get(zone, ()) if m.name != avoid] or list(world.machines.values())
        machine = self.rng.choice(able)
        # a client that is connected goes on with the key it has, also once that was taken away
        key = self.rng.choice([f"{tenant}-k{n}" for n in range(3)])
        sent = self.record.sent[id] = Sent(id, kind.kind, tenant, key, zone, world.now)

        def told(status: int, body: bytes, lines: bytes) -> None:
            if sent.status is not None:
                return
            sent.status, sent.ended_at = status, world.now
            sent.stamp = lines.partition(b"server-stamp: s-")[2].partition(b"\r\n")[0].decode()
            promised = status in (429, 503)
            again = promised or status != 401 and status >= 500 or status == 0
            if (
                not again
                or left == 0
                or not (promised or kind.kind == "idempotent" or status == 0 and not machine.is_running)
            ):
                return
            if status == 0 and kind.kind != "idempotent":
                return  # it may have run
            wait = 0.05
            if b"Retry-After: " in lines:
                wait = float(lines.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
            if wait < (end - world.now) / 3:
                world.after(wait, self.attempt, f"{id}.{left}", name, tenant, zone, end, left - 1, machine.name)

        fields = {
            "Host": HOST,
            "Request-Id": id,
            "Authorization": f"Bearer {key}",
            "Deadline-Ms": str(max(1, int(1000 * (end - world.now)))),
        }
        method, body = ("GET", b"") if kind.kind == "idempotent" else ("POST", b"s" * 1000)
        world.send_request(machine, method, f"/{name}/x", fields, body, told)
        world.after(max(0.0, end - world.now), told, 0, b"", b"")

    def sample(self) -> None:
        """What is in force where, who is in contact with a majority, and what of the core is able."""
        world, record = self.world, self.record
        world.after(SAMPLE_S, self.sample)
        machines = list(world.machines.values())
        for machine in machines:
            held = machine.active_configuration()
            if held is not None:
                content = self.operator.known.get(held[1], "unknown")
                record.versions.append((world.now, machine.name, machine.incarnation, held[0], content))
        record.contact.append((world.now, world.machines_with_majority()))
        record.core.append((world.now, world.operational_majority(), {m.name for m in machines if m.is_voter()}))

    # -- troubles ------------------------------------------------------------------------------------------

    def trouble(self, for_s: float, *machines: Machine) -> None:
        """Excuses them (and, where they are of the core, all) for that long."""
        now = self.world.now
        for machine in machines:
            self.record.troubles.append((now, now + for_s + PROCESS_START_S, machine.name))
            if machine.disk is not None:
                self.record.troubles.append((now, now + for_s + PROCESS_START_S, "core"))

    def bearable(self, *machines: Machine, disk: bool = False) -> bool:
        """Whether these may be lost beside those that are; `disk`: for good, so that none that is lost may have been
        the only other one to hold something.
        """
        now, world = self.world.now, self.world
        core = {m.name: m.zone for m in world.control_replicas}
        lost = {name for name, until in self.lost.items() if until > now}
        both = lost | {m.name for m in machines if m.disk is not None}
        zones = {core.get(name, name) for name in both}
        return len(both) <= world.tolerated_losses or len(zones) == 1 and not disk

    def loses(self, until: float, *machines: Machine) -> None:
        """These count as lost until then and for `catch_up` more."""
        for machine in machines:
            if machine.disk is not None:
                over = until + self.record.bounds.catch_up
                self.lost[machine.name] = max(over, self.lost.get(machine.name, 0.0))

    def kill(self, machines: list[Machine], for_s: float, wipe: bool = False) -> None:
        self.trouble(for_s, *machines)
        self.loses(self.world.now + for_s, *machines)
        for machine in machines:
            machine.kill()
            if wipe:
                machine.wipe_disk()
            self.world.after(for_s, machine.start)

    def freeze(self, machine: Machine, for_s: float) -> None:
        self.trouble(for_s, machine)
        self.loses(self.world.now + for_s, machine)
        machine.freeze(for_s)

    def cut(self, some: list[Machine], others: list[Machine], for_s: float, one_way: bool = False) -> None:
        """Cuts overlap; each ends by itself."""
        self.trouble(for_s, *some)
        self.loses(self.world.now + for_s, *some)
        self.world.after(for_s, self.world.partition(some, others, one_way))

    def disk_trouble(self, machine: Machine, for_s: float, hangs: bool) -> None:
        self.trouble(for_s, machine)
        self.loses(self.world.now + for_s, machine)
        if hangs:
            machine.disk.hangs_until = self.world.now + for_s
        else:
            machine.disk.refuses_writes = True
            self.world.after(for_s, setattr, machine.disk, "refuses_writes", False)

    def restart_in_order(self, machine: Machine) -> None:
        """SIGTERM, and a new life once it has ended."""
        self.trouble(GRACE_S, machine)
        self.loses(self.world.now + GRACE_S, machine)
        life = machine.reactor
        machine.terminate()

        def stopped() -> None:
            if machine.reactor in (life, None):
                machine.kill()
                machine.start()

        self.world.after(GRACE_S, stopped)

    def grow(self, zone: str, disk: bool) -> Machine:
        """A machine that is new, with an empty disk or none."""
        machine = self.world.add_machine(zone, disk)
        self.trouble(PROCESS_START_S, machine)
        machine.start()
        return machine

    def leave(self, machine: Machine, grace: bool = True) -> None:
        """Taken away for good, its successor being there."""
        self.trouble(GRACE_S * grace, machine)
        self.loses(self.world.now + GRACE_S * grace, machine)
        self.world.remove_machine(machine, GRACE_S * grace)

    def remove(self, machine: Machine, grace: bool = True) -> None:
        """The same without a successor: it counts as lost for the rest of the day."""
        self.leave(machine, grace)
        self.loses(FOREVER, machine)

    def replace(self, machine: Machine, grace: bool = True, gap_s: float = 0.5) -> None:
        """Taken away for good; a successor with an address of its own and an empty disk starts then."""
        world, until = self.world, GRACE_S * grace + gap_s
        self.trouble(until, machine)
        self.loses(world.now + until, machine)
        world.remove_machine(machine, GRACE_S * grace)
        world.after(until, self.grow, machine.zone, machine.disk is not None)

    def lose_answers(self, share: float, for_s: float) -> None:
        """Of the answers to operators; meanwhile no order has to be acknowledged in time."""
        self.record.troubles.append((self.world.now, self.world.now + for_s, "answers"))
        self.world.answer_loss_rate = share
        self.world.after(for_s, setattr, self.world, "answer_loss_rate", 0.0)

    def step_clock(self, machine: Machine, by_s: float) -> None:
        self.trouble(0.0, machine)
        machine.step_clock(by_s)

    def exchange_seeds(self) -> None:
        """The settings files name other machines."""
        machines = list(self.world.machines.values())
        addresses = [m.address for m in self.rng.sample(machines, 3)]
        for machine in machines:
            machine.seed_addresses = addresses

    def at_acknowledgement(self, machines: Callable[[], list[Machine]], for_s: float, wipe: bool = False) -> None:
        """These lose power at the moment at which the next order is acknowledged."""
        self.operator.at_acknowledgement.append(lambda _: self.kill(machines(), for_s, wipe))

    def lose_zone(self, zone: str, for_s: float) -> None:
        self.kill([m for m in self.world.machines.values() if m.zone == zone], for_s)
        servers = [s for s in self.world.servers.values() if s.zone == zone]
        for server in servers:
            server.is_down = True

        self.world.after(for_s, self.restart, servers)

    def restart(self, servers: list[Server]) -> None:
        """New lives at the same addresses, and cold."""
        for server in servers:
            new = self.world.restart_server(server)
            new.slow_start_until = self.world.now + 3.0
            self.record.cold.append((new.id, self.world.now, new.slow_start_until))
        self.world.publish_server_list()

    def drain(self, server: Server, for_s: float = 4.0) -> None:
        server.is_draining = True
        self.world.publish_server_list()

        def gone() -> None:
            server.is_removed = True
            self.world.publish_server_list()

        self.world.after(0.8, lambda: self.record.drained.setdefault(server.id, self.world.now))
        self.world.after(for_s, gone)

    def race(self) -> None:
        """Two operators at once, at two ingresses."""
        able = [m for m in self.world.machines.values() if m.is_running]
        for machine in self.rng.sample(able, min(2, len(able))):
            self.operator.config(at=machine)

    # -- the day -------------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Start, the first configuration, and traffic."""
        world = self.world
        world.start()
        self.sample()
        self.operator.config()
        world.run(CALM_S)
        for zone in ZONES:
            self.look_up(zone)
            for name in KINDS:
                world.after(self.rng.random(), self.arrivals, zone, name)
        self.questions()

    def served(self, since: float, until: float) -> float:
        """Share of first tries of that time that were served in the end."""
        ids = {sent.id.partition(".")[0] for sent in self.record.sent.values() if since <= sent.at < until}
        good = {sent.id.partition(".")[0] for sent in self.record.sent.values() if sent.status == 200}
        return len(ids & good) / max(1, len(ids))

    def read_back(self) -> list[str]:
        """The operator reads what is in force: the newest that was acknowledged, or a newer one that was sent."""
        world, got = self.world, []

        def ask(tries: int) -> None:
            machine = self.rng.choice(world.known_machines)

            def told(status: int, body: bytes, lines: bytes) -> None:
                if status == 200:
                    got.append(body)
                elif tries:
                    world.after(0.2, ask, tries - 1)

            world.send_request(machine, "GET", "/config/read", {}, b"", told, "control")

        ask(20)
        for _ in range(100):
            world.run(0.1)
            if got:
                break
        newest = max((v for _, key, v in self.record.acknowledged if key == "config"), default=-1)
        if not got:
            return [f"CONFIG {world.now:.2f}: not read back"]
        version = json.loads(got[0])["config_version"]
        if version < newest or got[0] not in self.operator.sent.get(version, ()):
            return [f"LOST {world.now:.2f}: read back {version}, acknowledged {newest}"]
        return []

    def end(self) -> None:
        """The last look at all."""
        self.record.ended = self.world.now
        for machine in self.world.machines.values():
            if machine.is_operational and self.record.in_touch(machine.name, self.world.now):
                self.record.emptied.append((self.world.now, machine.name, machine.evacuated_zones()))


def _faults(day: Day) -> list[Callable[[], None]]:
    """Troubles, one of which is to come; those of the core only where they are still to be borne."""
    world, rng = day.world, day.rng
    machines = [m for m in world.machines.values() if not m.is_removed]
    up = [m for m in machines if m.is_running and not m.is_frozen]
    others = [m for m in up if m.disk is None]
    some = rng.sample(others, min(len(others), 1 + len(others) // 2))
    faults: list[Callable[[], None]] = [
        lambda: day.hot.update({"t1": 6.0}) or world.after(5.0, day.hot.clear),
        lambda: [setattr(s, "lose_share", 0.05) for s in list(world.servers.values())[::2]],
        lambda: day.step_clock(rng.choice(machines), rng.uniform(-30.0, 30.0)),
        day.exchange_seeds,
        lambda: day.grow(rng.choice(list(ZONES)), False),
        lambda: day.lose_answers(rng.uniform(0.2, 0.6), rng.uniform(2.0, 6.0)),
        lambda: _linger(day, rng.uniform(2.0, 6.0)),
    ]
    if some:
        faults += [
            lambda: day.kill(some, rng.uniform(0.5, 3)),
            lambda: day.freeze(some[0], rng.uniform(1, 20)),
            lambda: day.cut(some[:1], world.control_replicas, rng.uniform(4, 8)),
            lambda: day.cut(some[:1], machines, rng.uniform(5, 20), rng.random() < 0.3),
            lambda: day.restart_in_order(some[0]),
            lambda: day.replace(some[0], rng.random() < 0.7),
        ]
    core = [m for m in up if m.disk is not None and day.bearable(m, disk=True)]
    if core:
        one = rng.choice(core)
        rest = [m for m in machines if m is not one]
        faults += [
            lambda: day.kill([one], rng.uniform(0.5, 4)),
            lambda: day.kill([one], rng.uniform(0.5, 4), wipe=True),
            lambda: day.kill([one], rng.uniform(6, 12)),
            lambda: day.freeze(one, rng.uniform(1, 20)),
            lambda: day.cut([one], rest, rng.uniform(2, 20)),
            lambda: day.cut([one, *some], rest, rng.uniform(2, 6)),
            lambda: day.cut([one], world.control_replicas, rng.uniform(2, 6), one_way=True),
            lambda: day.cut(rest, [one], rng.uniform(2, 6), one_way=True) if day.bearable(one) else None,
            lambda: day.disk_trouble(one, 3.0, False),
            lambda: day.disk_trouble(one, 4.0, True),
            lambda: day.restart_in_order(one),
            lambda: day.replace(one, rng.random() < 0.7),
            lambda: day.at_acknowledgement(
                lambda: [one] if day.bearable(one, disk=True) else [], rng.uniform(0.5, 3), wipe=True
            ),
            lambda: day.grow(rng.choice(list(ZONES)), True),
        ]
    if not any(until > world.now for until in day.lost.values()):
        faults.append(lambda: day.kill(world.control_replicas, 0.5))
    zone = rng.choice(list(ZONES))
    if day.bearable(*(m for m in world.control_replicas if m.zone == zone)):
        faults.append(lambda: day.lose_zone(zone, rng.uniform(2, 5)))
    return faults


def _linger(day: Day, for_s: float) -> None:
    day.world.linger = 0.05, 3.0
    day.world.after(for_s, setattr, day.world, "linger", None)


def by_lot(day: Day) -> None:
    """Troubles that overlap within what is to be borne, work of operators, and planned work."""
    world, rng, operator = day.world, day.rng, day.operator

    def trouble() -> None:
        rng.choice(_faults(day))()

    def two_sides() -> None:
        sides = [
            next((m for m in world.known_machines if (m.zone in near) is want), None)
            for near in [world.zone_names[:2]]
            for want in (True, False)
        ]
        operator.rivals([m for m in sides if m is not None])

    def leave() -> None:
        found = [m for m in world.machines.values() if m.is_running and m.disk is None]
        if found:
            rng.choice(found).node.shut_down()

    plans = [
        operator.config,
        day.race,
        lambda: operator.config(revoke=rng.choice(list(TENANTS))),
        lambda: operator.config(revoke=rng.choice(list(TENANTS))),
        lambda: operator.evacuate(rng.choice(list(ZONES)), rng.uniform(3.0, 16.0)),
        lambda: operator.race_evacuation(rng.choice([z for z in ZONES if z not in operator.emptied] or list(ZONES))),
        lambda: day.drain(rng.choice(list(world.servers.values()))),
        leave,
        two_sides,
        lambda: operator.rivals(rng.sample(world.known_machines, min(3, len(world.known_machines)))),
        lambda: operator.rivals([rng.choice(world.known_machines)] * 2),
        operator.newest_again,
        operator.older_again,
        operator.unclear_again,
        operator.invalid,
        operator.flurry,
    ]
    at = 1.0
    for _ in range(rng.randrange(10)):
        world.after(at, trouble)
        at += rng.uniform(0.5, 5.0)
    for plan in rng.choices(plans, k=rng.randrange(5, 14)):
        world.after(rng.uniform(0.5, DAY_S), plan)


def close(day: Day, kind: str) -> list[str]:
    """One more order; at its acknowledgement, or some ms after it was sent (`sent`), all are killed or lose power;
    with `wipe` and `wipes` as many as are to be borne lose their disks, the one that acknowledged among them.
    """
    world, rng, operator = day.world, day.rng, day.operator
    for _ in range(300):  # a disk may go only when all that were lost have caught up
        if kind not in ("wipe", "wipes") or not any(u > world.now and u < FOREVER for u in day.lost.values()):
            break
        world.run(0.1)
    able = [m for m in world.control_replicas if m.is_running and not m.is_removed]
    at = rng.choice(able) if able else None
    if kind == "emptied":
        emptied = {zone for m in world.machines.values() for zone in m.evacuated_zones()}
        zone = rng.choice([z for z in ZONES if z not in emptied] or list(ZONES))
        order = operator.plain(f"/evacuations/{zone}/begin", at)
    else:
        order = operator.config(revoke=rng.choice(list(TENANTS)), at=at)
    for _ in range(5000):
        world.run(0.002)
        if order.over is not None or kind == "sent" and rng.random() < 0.1:
            break
    last = operator.last
    lost = [m for m in world.control_replicas if not m.is_removed] if kind == "wipes" else list(world.machines.values())
    day.kill([m for m in lost if not m.is_removed], rng.uniform(0.5, 2.0))
    if kind in ("wipe", "wipes") and not any(until == FOREVER for until in day.lost.values()):
        core = sorted(world.control_replicas, key=lambda m: (m is not last, rng.random()))
        for machine in core[: world.tolerated_losses]:
            machine.wipe_disk()
    world.run(AFTER_S)
    began = world.now
    world.run(RECOVER_S)
    day.open_until = world.now
    served = day.served(began, world.now - 3.0)
    found = [f"RECOVER {began:.2f}: {served:.2f} served after {kind}"] if served < 0.25 else []
    return found + day.read_back()


CLOSINGS = ["kill", "wipe", "wipes", "sent", "emptied"]


def play(
    seed: int,
    troubles: Callable[[Day], None] = by_lot,
    length: float = DAY_S + 6.0,
    closing: str | None = None,
    load: float = 1.0,
    grown: bool = False,
    observer: Callable[[float, str, str, str, bytes], None] | None = None,
) -> tuple[list[str], Day]:
    """The rules that were broken, and the day.  `closing`: one of CLOSINGS, none; by lot where it isn't said.

    `observer` hears of all that crosses a machine's border, as `World.observe` has it.
    """
    day = Day(seed, load=load, grown=grown)
    day.world.observer = observer
    day.begin()
    troubles(day)
    day.world.run(length)
    closing = closing or day.rng.choice(CLOSINGS)
    found = close(day, closing) if closing != "none" else []
    day.end()
    return found + judge(day.record), day


def _found(seed: int, grown: bool) -> tuple[int, list[str]]:
    logging.disable(logging.CRITICAL)
    return seed, play(seed, grown=grown)[0]


def sweep(seeds: range, jobs: int, say: Callable[[str], None], grown: bool = False) -> int:
    """Days by lot on so many processes; says each broken rule, and gives the number of days that broke one."""
    broken = 0
    with multiprocessing.Pool(jobs) as pool:
        for seed, found in pool.imap_unordered(partial(_found, grown=grown), seeds):
            broken += bool(found)
            for line in found:
                say(f"seed {seed}: {line}")
    return broken
