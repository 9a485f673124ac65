"""Several operators of one system: orders with their tries, rivals, what is sent again, and reads at any machine.

Each call goes to a machine of a list that lags, ends after a second of silence, and is repeated unchanged elsewhere
until the answer is clear.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from ..balancer.configuration import parse_configuration
from .invariants import FOR_GOOD, READ, REPLACE, SILENCE_S, Answer, Order
from .world import Machine, configuration_digest

if TYPE_CHECKING:
    from .scenarios import Day

HOST = "day.example"
PAUSE_S, PAUSE_MOST_S = 0.2, 1.0
SENT_FOR_S = 30.0  # a configuration; other orders for `ack_timeout`
THIRD = 3  # a 4xx that is not for good ends a call at the third
AT_ONCE = 8  # orders under way


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
KEYS = {name: tuple(f"{name}-k{n}" for n in range(3)) for name in TENANTS}
COLD_RATE = 2.0


def configuration(version: int, keys: dict[str, list[str]], mark: int = 0) -> dict:
    """A whole one; `mark` tells it from others of the same version."""
    routes = {
        name: {
            "host_name": HOST,
            "path_prefix": f"/{name}/",
            "route_kind": k.kind,
            "target_service": k.service,
            "timeout": f"{k.deadline_s:g}s",
            "target_latency": f"{k.aim_s:g}s",
            "max_attempts": 2,
            "home_regions": list(k.homes),
        }
        for name, k in KINDS.items()
    }
    services = {
        k.service: {"max_connections": 130, "cold_start": "3s", "cold_rate_s": COLD_RATE} for k in KINDS.values()
    }
    tenants = {
        name: {"api_keys": keys[name], "rate_per_s": rate, "burst_size": burst}
        for name, (rate, burst) in TENANTS.items()
    }
    return {
        "config_version": version,
        "route_table": routes,
        "service_table": services,
        "tenant_table": tenants,
        "limits": {"idle_timeout": f"{15000 + mark}ms"},
    }


def spoil(whole: dict, how: int) -> bytes:
    """The same made invalid, in one of five ways."""
    if how == 0:
        whole["route_table"]["see"]["target_service"] = "nobody"
    elif how == 1:
        whole["route_table"]["see"]["timeout"] = "0ms"
    elif how == 2:
        whole["route_table"]["see"]["target_latency"] = "64s"
    elif how == 3:
        whole["tenant_table"]["t2"]["api_keys"] = ["t1-k2", "t2-k2"]
    body = json.dumps(whole).encode()
    return body if how < 4 else body[: len(body) // 2]


class Operators:
    """They share the versions; which ingress each of them asks is a matter of chance."""

    def __init__(self, day: Day) -> None:
        self.day, self.world, self.record = day, day.world, day.record
        self.version, self.marks = 0, 0
        self.sent: dict[int, list[bytes]] = {}  #: valid contents, by version
        self.bodies: dict[str, bytes] = {}
        self.known: dict[str, str] = {}  #: contents by the digest of what they say
        self.without: dict[str, set[str]] = {}  #: keys that a content took away
        self.emptied: set[str] = set()
        self.last: Machine | None = None  #: who acknowledged last
        self.at_acknowledgement: list[Callable[[Order], None]] = []  #: called at the next one, once
        self.keys = {name: list(keys) for name, keys in KEYS.items()}

    # -- calls ---------------------------------------------------------------------------------------------

    def ask(
        self,
        machine: Machine,
        method: str,
        path: str,
        body: bytes,
        order: Order | None,
        told: Callable[[int, bytes], None],
    ) -> None:
        """One call; `told` gets its answer, or status 0 after a second of silence."""
        world, asked, over = self.world, self.world.now, []

        def answered(status: int, said: bytes, lines: bytes) -> None:
            if over:
                return  # it has hung up
            over.append(True)
            if status:
                number, content = self._says(said) if status == 200 and (order is None or path == REPLACE) else (-1, "")
                row = Answer(order, machine.name, asked, world.now, status, number, content)
                self.record.answers.append(row)
            told(status, said)

        client_conn = world.send_request(machine, method, path, {}, body, answered, "control")

        def hang_up() -> None:
            world.disconnect(client_conn)
            answered(0, b"", b"")

        world.after(SILENCE_S, hang_up)

    def _says(self, body: bytes) -> tuple[int, str]:
        try:
            number = json.loads(body).get("config_version", -1)
        except ValueError:
            return -1, "no configuration"
        return number, f"{crc32(body):08x}"

    def send(
        self, order: Order, body: bytes = b"", at: Machine | None = None, done: Callable[[], None] | None = None
    ) -> Order:
        """To one ingress after the other until the answer is clear; the first is `at`."""
        world, tried, others = self.world, [], []
        self.record.orders.append(order)
        most = SENT_FOR_S if order.path == REPLACE else self.record.bounds.ack_timeout

        def again(pause: float, machine: Machine | None = None) -> None:
            if order.over is not None:
                return
            if world.now - order.at >= most - 0.001:
                order.over = world.now
                return
            machine = machine or world.rng.choice(
                [m for m in world.known_machines if m not in tried] or world.known_machines
            )
            tried.append(machine)
            if len(tried) >= len(world.known_machines):
                tried.clear()

            def told(status: int, said: bytes) -> None:
                if order.over is not None:
                    return
                if status == 200:
                    order.acknowledged = order.over = world.now
                    self.last = machine
                    self._taken(order)
                    if done is not None:
                        done()
                elif 400 <= status < 500 and status not in (408, 429):
                    others.append(status)
                    if status in FOR_GOOD or len(others) >= THIRD:
                        order.refused, order.over = status, world.now
                    else:
                        world.after(pause, again, pause)
                else:
                    left = order.at + most - world.now
                    world.after(min(pause, max(left, 0.0)), again, min(PAUSE_MOST_S, 2 * pause))

            self.ask(machine, "POST", order.path, body, order, told)

        again(PAUSE_S, at)
        return order

    def _taken(self, order: Order) -> None:
        now = self.world.now
        if order.path == REPLACE and order.valid:
            newest = max((v for _, key, v in self.record.acknowledged if key == "config"), default=-1)
            self.record.acknowledged.append((now, "config", order.number))
            if order.number > newest:
                for key in self.without[order.content]:
                    self.record.revoked.setdefault(key, now)
        waiting, self.at_acknowledgement = self.at_acknowledgement, []
        for work in waiting:
            work(order)

    def read(self, machine: Machine | None = None) -> None:
        """The configuration, at any machine of the list."""
        self.ask(machine or self.world.rng.choice(self.world.known_machines), "GET", READ, b"", None, lambda *_: None)

    # -- configurations ------------------------------------------------------------------------------------

    def compose(self, version: int) -> bytes:
        """A content that no other has."""
        self.marks += 1
        body = json.dumps(configuration(version, self.keys, self.marks)).encode()
        content = f"{crc32(body):08x}"
        self.bodies[content] = body
        self.known[configuration_digest(parse_configuration(body))] = content
        kept = {key for keys in self.keys.values() for key in keys}
        self.without[content] = {key for keys in KEYS.values() for key in keys} - kept
        self.sent.setdefault(version, []).append(body)
        for key in self.without[content]:
            self.record.withdrawn.setdefault(key, self.world.now)
        return body

    def _order(self, version: int, body: bytes, valid: bool = True) -> Order:
        return Order(REPLACE, version, f"{crc32(body):08x}", self.world.now, valid)

    def config(self, revoke: str | None = None, at: Machine | None = None) -> Order:
        """A new version; `revoke`: without the first key of that tenant."""
        self.version += self.world.rng.randrange(1, 4)
        if revoke is not None and len(self.keys[revoke]) > 1:
            self.keys[revoke].pop(0)
        body = self.compose(self.version)
        return self.send(self._order(self.version, body), body, at)

    def rivals(self, ingresses: list[Machine]) -> list[Order]:
        """Different contents under one number at the same moment, one at each of these."""
        self.version += self.world.rng.randrange(1, 4)
        bodies = [self.compose(self.version) for _ in ingresses]
        return [
            self.send(self._order(self.version, body), body, at) for body, at in zip(bodies, ingresses, strict=True)
        ]

    def again(self, order: Order, at: Machine | None = None) -> Order:
        """That order once more, unchanged."""
        repeat = Order(order.path, order.number, order.content, self.world.now, order.valid)
        return self.send(repeat, self.bodies.get(order.content, b""), at)

    def earlier(self, acknowledged: bool = True) -> list[Order]:
        """Valid configurations that were sent, from the lowest version: those acknowledged, or those left unclear."""
        found = [
            o
            for o in self.record.orders
            if o.path == REPLACE and o.valid and not o.refused and (o.acknowledged is not None) == acknowledged
        ]
        return sorted(found, key=lambda order: order.number)

    def newest_again(self, at: Machine | None = None) -> None:
        for order in self.earlier()[-1:]:
            self.again(order, at)

    def older_again(self, at: Machine | None = None) -> None:
        earlier = self.earlier()[:-1]
        if earlier:
            self.again(self.world.rng.choice(earlier), at)

    def unclear_again(self) -> None:
        """What never had an answer."""
        for order in self.earlier(False)[-1:]:
            self.again(order)

    def invalid(self, at: Machine | None = None, then_valid: bool | None = None) -> Order:
        """One that is to be refused; at times its number is that of the next proper one."""
        rng = self.world.rng
        self.version += 1
        body = spoil(configuration(self.version, self.keys, -1), rng.randrange(5))
        order = self.send(self._order(self.version, body, valid=False), body, at)
        if rng.random() < 0.5 if then_valid is None else then_valid:
            self.version -= 1  # who is refused has used up no number
        return order

    def storm(self, many: int, every_s: float) -> None:
        """So many changes in quick succession; few of them are invalid, and some are sent again."""
        if not many:
            return
        if sum(order.over is None for order in self.record.orders) >= AT_ONCE:
            return self.world.after(every_s, self.storm, many, every_s)
        self.world.after(every_s, self.storm, many - 1, every_s)
        if many % 40 == 7:
            self.invalid()
        elif many % 40 == 19:
            self.newest_again()
        else:
            self.config()

    def flurry(self, at: Machine | None = None) -> None:
        """Eight calls at once, by way of one ingress or of any."""
        zones = sorted(self.world.zones)
        self.config(at=at)
        self.rivals([at or self.world.rng.choice(self.world.known_machines) for _ in range(2)])
        self.newest_again(at)
        self.older_again(at)
        self.evacuate(zones[0], 3.0, at)
        self.evacuate(zones[-1], 2.0, at)
        self.invalid(at)
        for _ in range(3):
            self.read(at)

    # -- other orders --------------------------------------------------------------------------------------

    def plain(self, path: str, at: Machine | None = None, done: Callable[[], None] | None = None) -> Order:
        """An order without a body."""
        return self.send(Order(path, -1, "", self.world.now), b"", at, done)

    def forget(self, machine: Machine) -> None:
        """It is gone for good."""
        self.plain(
            f"/core/{machine.address}/forget", done=lambda: self.record.acknowledged.append((self.world.now, "core", 0))
        )

    def evacuate(self, zone: str, for_s: float, at: Machine | None = None) -> None:
        """A zone's servers are to get nothing for that long."""
        record, row = self.record, [zone, float("inf"), float("inf")]  # acknowledged, taken back
        if zone in self.emptied:
            return
        self.emptied.add(zone)
        record.evacuated.append(row)

        def begun() -> None:
            row[1] = self.world.now

        def finish() -> None:
            self.emptied.discard(zone)
            row[2] = self.world.now
            self.plain(f"/evacuations/{zone}/finish")

        self.plain(f"/evacuations/{zone}/begin", at, begun)
        self.world.after(for_s, finish)

    def race_evacuation(self, zone: str) -> None:
        """Begun and withdrawn at once, by two ingresses; withdrawn once more when both have ended."""
        if zone in self.emptied:
            return
        self.emptied.add(zone)
        for order in ("begin", "finish"):
            self.plain(f"/evacuations/{zone}/{order}")

        def finish() -> None:
            self.emptied.discard(zone)
            self.plain(f"/evacuations/{zone}/finish")

        self.world.after(2 * self.record.bounds.ack_timeout, finish)
