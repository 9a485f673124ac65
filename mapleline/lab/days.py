"""Days of a small system in the laboratory: traffic, an operator, troubles by lot, and a closing loss.

`play(seed)` gives what broke; the same seed gives the same day.
"""

from __future__ import annotations

import json
import logging
import multiprocessing
from collections.abc import Callable
from dataclasses import dataclass

from ..system import settings
from .judge import Record, Sent, judge
from .world import BOUNDS, START_S, Machine, Server, World

ZONES = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
CALM_S, DAY_S, AFTER_S, RECOVER_S = 6.0, 24.0, 8.0, 6.0
SAMPLE_S = 0.1
KEEP_SHARE = 0.1  # of clients that stay where they are connected
HOST = "day.example"


@dataclass(frozen=True)
class Kind:
    """One kind of request (times in seconds)."""

    kind: str
    service: str
    per_s: float  #: from each zone
    work_s: float
    aim_s: float
    deadline_s: float
    homes: tuple[str, ...] = ()


KINDS = {
    "see": Kind("idempotent", "slots", 4.0, 0.22, 0.8, 3.0),
    "book": Kind("non_idempotent", "slots", 2.0, 0.29, 1.0, 4.0, ("a",)),
    "scan": Kind("upload", "records", 0.7, 0.26, 1.0, 4.0),
    "past": Kind("idempotent", "records", 0.8, 0.88, 3.0, 12.0),
}
TENANTS = {"t1": (20.0, 20.0), "t2": (8.0, 8.0), "t3": (4.0, 4.0), "t4": (0.0, 0.0)}  #: rate, burst
WEIGHTS = [5, 2, 1, 3]
COLD_RATE = 2.0


def configuration(version: int, keys: dict[str, list[str]]) -> dict:
    """A whole one."""
    routes = {name: {"host_name": HOST, "path_prefix": f"/{name}/", "route_kind": k.kind, "target_service": k.service,
                     "timeout": f"{k.deadline_s:g}s", "target_latency": f"{k.aim_s:g}s", "max_attempts": 2,
                     "home_regions": list(k.homes)} for name, k in KINDS.items()}  # fmt: skip
    services = {k.service: {"max_connections": 130, "cold_start": "3s", "cold_rate_s": COLD_RATE}
                for k in KINDS.values()}  # fmt: skip
    tenants = {name: {"api_keys": keys[name], "rate_per_s": rate, "burst_size": burst}
               for name, (rate, burst) in TENANTS.items()}  # fmt: skip
    return {"config_version": version, "route_table": routes, "service_table": services, "tenant_table": tenants}


class Operator:
    """Sends an order to one ingress after the other until it is acknowledged."""

    def __init__(self, day: Day) -> None:
        self.day, self.world = day, day.world
        self.version, self.sent = 0, {}
        self.emptied: set[str] = set()
        self.last: Machine | None = None  #: who acknowledged last
        self.keys = {name: [f"{name}-k{n}" for n in range(3)] for name in TENANTS}

    def order(self, path: str, body: bytes, done: Callable[[], None], at: Machine | None = None) -> None:
        world, began, over = self.world, self.world.now, []

        def again(pause: float) -> None:
            if over or world.now - began > 30.0:
                return
            machine = at if at is not None and pause < 0.3 else world.rng.choice(list(world.machines.values()))
            answered: list[int] = []

            def told(status: int, body: bytes, lines: bytes) -> None:
                if answered:
                    return
                answered.append(status)
                if status == 200:
                    self.last = machine
                    if not over:  # an earlier try may be answered as well
                        over.append(True)
                        done()
                elif 400 <= status < 500:
                    self.day.record.late_orders.append((world.now, f"{path} refused with {status}: {body.decode()}"))
                else:
                    world.after(pause, again, min(1.0, 2 * pause))

            world.ask(machine, "POST", path, {}, body, told, "control")
            world.after(4.6, lambda: told(0, b"", b""))

        again(0.2)

    def config(self, revoke: str | None = None, at: Machine | None = None) -> None:
        """A new version; `revoke`: without the first key of that tenant."""
        self.version += self.world.rng.randrange(1, 4)
        version, gone = self.version, None
        if revoke is not None and len(self.keys[revoke]) > 1:
            gone = self.keys[revoke].pop(0)
        body = json.dumps(configuration(version, self.keys)).encode()
        self.sent[version] = body
        began = self.world.now

        def done() -> None:
            record = self.day.record
            record.acknowledged.append((self.world.now, "config", version))
            if gone is not None:
                record.revoked.setdefault(gone, self.world.now)
            self._timely(began, f"version {version}")

        self.order("/config/replace", body, done, at)

    def _timely(self, began: float, what: str) -> None:
        record, now = self.day.record, self.world.now
        if now - began > record.bounds.ack_timeout and record.in_touch("core", now, now - began):
            record.late_orders.append((now, f"{what} took {now - began:.1f} s in calm"))

    def forget(self, machine: Machine) -> None:
        """It is gone for good."""
        began = self.world.now
        path = f"/core/{machine.address}/forget"
        self.order(path, b"", lambda: self.day.record.acknowledged.append((self.world.now, path, int(began))))

    def evacuate(self, zone: str, for_s: float) -> None:
        record, row = self.day.record, [zone, float("inf"), float("inf")]  # acknowledged, taken back
        if zone in self.emptied:
            return
        self.emptied.add(zone)
        record.evacuated.append(row)

        def begun() -> None:
            row[1] = self.world.now

        def finish() -> None:
            self.emptied.discard(zone)
            row[2] = self.world.now
            self.order(f"/evacuations/{zone}/finish", b"", lambda: None)

        self.order(f"/evacuations/{zone}/begin", b"", begun)
        self.world.after(for_s, finish)


class Day:
    """One day; `troubles(day)` sets faults at times."""

    def __init__(self, seed: int, others: int = 1, load: float = 1.0) -> None:
        self.world = world = World(seed, ZONES, others, servers={"slots": 4, "records": 2})
        world.work_s = {name: kind.work_s for name, kind in KINDS.items()}
        self.rng, self.load = world.rng, load
        bounds = settings.Bounds.model_validate(dict(part.split("=") for part in BOUNDS.split(",")))
        self.record = Record(
            bounds, ZONES, runs=world.runs, arrivals=world.arrivals, cold_rate=COLD_RATE, limits=TENANTS,
            services={k.kind: set() for k in KINDS.values()},
            homes={k.kind: set(k.homes) for k in KINDS.values() if k.homes},
        )  # fmt: skip
        for kind in KINDS.values():
            self.record.services[kind.kind].add(kind.service)
        self.operator = Operator(self)
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

        def told(status: int, body: bytes, lines: bytes) -> None:
            if status == 200:
                found = [a.split(":")[0] for a in json.loads(body)["address_list"]]
                self.directory[zone] = [m for m in world.machines.values() if m.address in found]
                self.kept.setdefault(zone, self.directory[zone])

        near = [m for m in world.machines.values() if ZONES[m.zone] == ZONES[zone]]
        path = f"/lookup?name={HOST}&region={ZONES[zone]}&zone={zone}"
        world.ask(self.rng.choice(near), "GET", path, {}, b"", told, "directory")

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
            promised = status in (429, 503)
            again = promised or status != 401 and status >= 500 or status == 0
            if not again or left == 0 or not (promised or kind.kind == "idempotent" or status == 0 and not machine.up):
                return
            if status == 0 and kind.kind != "idempotent":
                return  # it may have run
            wait = 0.05
            if b"Retry-After: " in lines:
                wait = float(lines.partition(b"Retry-After: ")[2].partition(b"\r\n")[0])
            if wait < (end - world.now) / 3:
                world.after(wait, self.attempt, f"{id}.{left}", name, tenant, zone, end, left - 1, machine.name)

        fields = {"Host": HOST, "Request-Id": id, "Authorization": f"Bearer {key}",
                  "Deadline-Ms": str(max(1, int(1000 * (end - world.now))))}  # fmt: skip
        method, body = ("GET", b"") if kind.kind == "idempotent" else ("POST", b"s" * 1000)
        world.ask(machine, method, f"/{name}/x", fields, body, told)
        world.after(max(0.0, end - world.now), told, 0, b"", b"")

    def sample(self) -> None:
        """What is in force where."""
        self.world.after(SAMPLE_S, self.sample)
        for machine in self.world.machines.values():
            if machine.up and machine.node.may_serve() and machine.frozen_until < self.world.now:
                version = machine.node.desk.table.version
                self.record.versions.append((self.world.now, machine.name, machine.lives, version))

    # -- troubles ------------------------------------------------------------------------------------------

    def trouble(self, for_s: float, *machines: Machine) -> None:
        """Excuses them (and, where they are of the core, all) for that long."""
        now = self.world.now
        for machine in machines:
            self.record.troubles.append((now, now + for_s + START_S, machine.name))
            if machine.disk is not None:
                self.record.troubles.append((now, now + for_s + START_S, "core"))

    def kill(self, machines: list[Machine], for_s: float, wipe: bool = False) -> None:
        self.trouble(for_s, *machines)
        for machine in machines:
            machine.end()
            if wipe:
                machine.wipe()
            self.world.after(for_s, machine.start)

    def freeze(self, machine: Machine, for_s: float) -> None:
        self.trouble(for_s, machine)
        machine.frozen_until = self.world.now + for_s

    def cut(self, some: list[Machine], others: list[Machine], for_s: float, one_way: bool = False) -> None:
        self.trouble(for_s, *some)
        self.world.cut(some, others, one_way)
        self.world.after(for_s, self.world.join)

    def lose_zone(self, zone: str, for_s: float) -> None:
        self.kill([m for m in self.world.machines.values() if m.zone == zone], for_s)
        servers = [s for s in self.world.servers.values() if s.zone == zone]
        for server in servers:
            server.dark = True

        self.world.after(for_s, self.restart, servers)

    def restart(self, servers: list[Server]) -> None:
        """New lives at the same addresses, and cold."""
        for server in servers:
            new = self.world.again(server)
            new.cold_until = self.world.now + 3.0
            self.record.cold.append((new.id, self.world.now, new.cold_until))
        self.world.changed()

    def drain(self, server: Server, for_s: float = 4.0) -> None:
        server.draining = True
        self.world.changed()

        def gone() -> None:
            server.gone = True
            self.world.changed()

        self.world.after(0.8, lambda: self.record.drained.setdefault(server.id, self.world.now))
        self.world.after(for_s, gone)

    def race(self) -> None:
        """Two operators at once, at two ingresses."""
        able = [m for m in self.world.machines.values() if m.up]
        for machine in self.rng.sample(able, min(2, len(able))):
            self.operator.config(at=machine)

    # -- the day -------------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Start, the first configuration, and traffic."""
        world = self.world
        world.start()
        self.operator.config()
        world.run(CALM_S)
        for zone in ZONES:
            self.look_up(zone)
            for name in KINDS:
                world.after(self.rng.random(), self.arrivals, zone, name)
        self.sample()

    def served(self, since: float, until: float) -> float:
        """Share of first tries of that time that were served in the end."""
        ids = {sent.id.partition(".")[0] for sent in self.record.sent.values() if since <= sent.at < until}
        good = {sent.id.partition(".")[0] for sent in self.record.sent.values() if sent.status == 200}
        return len(ids & good) / max(1, len(ids))

    def read_back(self) -> list[str]:
        """The operator reads what is in force: the newest that was acknowledged, or a newer one that was sent."""
        world, got = self.world, []

        def ask(tries: int) -> None:
            machine = self.rng.choice(list(world.machines.values()))

            def told(status: int, body: bytes, lines: bytes) -> None:
                if status == 200:
                    got.append(body)
                elif tries:
                    world.after(0.2, ask, tries - 1)

            world.ask(machine, "GET", "/config/read", {}, b"", told, "control")

        ask(20)
        for _ in range(100):
            world.run(0.1)
            if got:
                break
        newest = max((v for _, _, v in self.record.acknowledged), default=-1)
        if not got:
            return [f"CONFIG {world.now:.2f}: not read back"]
        version = json.loads(got[0])["config_version"]
        if version < newest or got[0] != self.operator.sent.get(version):
            return [f"LOST {world.now:.2f}: read back {version}, acknowledged {newest}"]
        return []


def by_lot(day: Day) -> None:
    """Three to five troubles, planned work, and a closing loss at the end."""
    world, rng = day.world, day.rng
    machines = list(world.machines.values())
    core, others = world.core, [m for m in machines if m.disk is None]
    one, two = rng.sample(core, 2)
    faults = [
        lambda: day.kill([one], rng.uniform(0.5, 4)), lambda: day.kill([one], rng.uniform(0.5, 4), wipe=True),
        lambda: day.kill(rng.sample(others, max(1, len(others) // 2)), rng.uniform(0.5, 3)),
        lambda: day.kill(core, 0.5), lambda: day.freeze(rng.choice(machines), rng.uniform(1, 6)),
        lambda: day.cut([one], [m for m in machines if m is not one], rng.uniform(2, 6)),
        lambda: day.cut([one], core, rng.uniform(2, 6), one_way=True),
        lambda: day.cut([one, *rng.sample(others, 2)], [m for m in machines if m is not one], rng.uniform(2, 6)),
        lambda: day.cut(rng.sample(others, 1), core, rng.uniform(4, 8)),
        lambda: day.cut(rng.sample(others, 1), machines, rng.uniform(5, 9)),
        lambda: day.lose_zone(rng.choice(list(ZONES)), rng.uniform(2, 5)),
        lambda: (day.trouble(3.0, one), setattr(one.disk, "refuses", True),
                 world.after(3.0, setattr, one.disk, "refuses", False)),
        lambda: (day.trouble(4.0, two), setattr(two.disk, "hangs_until", world.now + 4.0)),
        lambda: day.hot.update({"t1": 6.0}) or world.after(5.0, day.hot.clear),
        lambda: [setattr(s, "lose_share", 0.05) for s in list(world.servers.values())[::2]],
    ]  # fmt: skip
    plans = [
        lambda: day.operator.config(), lambda: day.operator.config(revoke=rng.choice(list(TENANTS))), day.race,
        lambda: day.operator.config(revoke=rng.choice(list(TENANTS))),
        lambda: day.operator.evacuate(rng.choice(list(ZONES)), rng.uniform(3.0, 16.0)),
        lambda: day.drain(rng.choice(list(world.servers.values()))),
        lambda: rng.choice(others).node.leave() if (others := [m for m in machines if m.up]) else None,
    ]  # fmt: skip
    at = 1.0
    for fault in rng.sample(faults, rng.randrange(6)):  # one after the other: each may use the whole tolerance
        world.after(at, fault)
        at += rng.uniform(5.0, 7.0)
    for plan in rng.choices(plans, k=rng.randrange(4, 9)):
        world.after(rng.uniform(0.5, DAY_S), plan)


def close(day: Day, kind: str) -> list[str]:
    """One more change, acknowledged; then all are killed at once, or lose power and one its disk (`wipe`)."""
    world, rng = day.world, day.rng
    before = len(day.record.acknowledged)
    able = [m for m in world.core if m.up]
    day.operator.config(revoke=rng.choice(list(TENANTS)), at=rng.choice(able) if able else None)
    for _ in range(5000):
        world.run(0.002)
        if len(day.record.acknowledged) > before:
            break
    last = day.operator.last
    day.kill(list(world.machines.values()), rng.uniform(0.5, 2.0))
    if kind == "wipe":
        (last if last is not None and last.disk is not None else rng.choice(world.core)).wipe()
    world.run(AFTER_S)
    began = world.now
    world.run(RECOVER_S)
    day.open_until = world.now
    served = day.served(began, world.now - 3.0)
    found = [f"RECOVER {began:.2f}: {served:.2f} served after {kind}"] if served < 0.25 else []
    return found + day.read_back()


def play(
    seed: int, troubles: Callable[[Day], None] = by_lot, length: float = DAY_S + 6.0, closing: str | None = None,
    load: float = 1.0,
) -> tuple[list[str], Day]:  # fmt: skip
    """The rules that were broken, and the day.  `closing`: kill, wipe, none; by lot where it isn't said."""
    day = Day(seed, load=load)
    day.begin()
    troubles(day)
    day.world.run(length)
    closing = closing or day.rng.choice(["kill", "wipe"])
    found = close(day, closing) if closing != "none" else []
    return found + judge(day.record), day


def _found(seed: int) -> tuple[int, list[str]]:
    logging.disable(logging.CRITICAL)
    return seed, play(seed)[0]


def sweep(seeds: range, jobs: int, say: Callable[[str], None]) -> int:
    """Days by lot on so many processes; says each broken rule, and gives the number of days that broke one."""
    broken = 0
    with multiprocessing.Pool(jobs) as pool:
        for seed, found in pool.imap_unordered(_found, seeds):
            broken += bool(found)
            for line in found:
                say(f"seed {seed}: {line}")
    return broken
