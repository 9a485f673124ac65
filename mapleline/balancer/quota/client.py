"""Consults the holders of tallies, and answers as one of them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from ...policy.window import Ask
from ..environment import Environment
from ..membership.table import MembershipTable
from ..settings import Settings
from ..transport.messages import CounterIncrement, CounterSync, CounterValue
from .counters import CounterTable, holders, shard_of

AGAIN_S = 0.045  # the nearer holder is asked again, and the other one as well
MOST_S = 0.16  # then the request is refused: a fifth of the shortest aim seen
TELL_S = 0.05  # holders look so often for what they have to tell each other
SILENT_S = 0.6  # a holder that has told and heard nothing since counts what it is asked for twice
MISSES, SUSPECT_S = 2, 1.2  # consultations in a row without an answer; then it is not asked for a while


class _Open:
    """One consultation."""

    __slots__ = ("ask", "asked", "left", "message", "order", "timers")

    def __init__(self, ask: Ask, message: CounterIncrement, left: float, order: list[int]) -> None:
        self.ask, self.message, self.left, self.order = ask, message, left, order
        self.asked: set[int] = set()
        self.timers: list[Any] = []


class QuotaClient:
    """`tenants()` tells how many there are."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        environment: Environment,
        membership: MembershipTable,
        tenants: Callable[[], int],
    ) -> None:
        self.reactor, self.settings, self.membership, self.tenants = reactor, settings, membership, tenants
        self.send = environment.send
        began = environment.unix_time() - reactor.seconds()
        self.unix = lambda: began + reactor.seconds()  # windows are named by it: a step of the clock moves none
        self.zones = sorted(settings.zones)
        self.me = membership.local_member
        self.names = CounterTable(membership.session_key(membership.local_member.ip))
        self.open: dict[int, _Open] = {}
        self.misses: dict[int, int] = {}
        self.suspect: dict[int, float] = {}
        self.unheard: dict[int, float] = {}  #: other holders, and since when they owe us a word
        self.homes: dict[str, tuple[str, ...]] = {}  #: of the tenants whose names are held here
        self.nonce = int(self.unix() * 1000) & 0x3FFFFFFF  # another life's nonces are others
        reactor.callLater(TELL_S, self._tell)

    def _holders(self, tenant: str, homes: tuple[str, ...]) -> list[int]:
        now = self.reactor.seconds()
        able = []
        for m in self.membership.alive(now):
            zone = self.zones[m.zone]
            if m.is_leaving or self.suspect.get(m.ip, -1.0) > now:
                continue
            if not homes or self.settings.zones[zone] in homes:
                able.append((m.ip, m.zone, self.settings.zones[zone], m.has_disk))
        return holders(shard_of(tenant, self.tenants()), ",".join(homes), able)

    def _distance(self, ip: int) -> tuple[int, bool]:
        member = self.membership.members.get(ip)
        if ip == self.me.ip or member is None:
            return 0, False
        zone = self.zones[member.zone]
        away = 0 if zone == self.settings.zone else 1 if self.settings.zones[zone] == self.settings.region else 2
        return away, True

    def ask(self, ask: Ask) -> None:
        """One consultation for one request."""
        homes = tuple(sorted(ask.homes))
        order = self._holders(ask.tenancy.name, homes)
        order.sort(key=self._distance)
        if not order:
            ask.done(None)
            return
        window, left = ask.tenancy.place(self.unix())
        self.nonce = (self.nonce + 1) & 0x7FFFFFFF
        one = _Open(
            ask,
            CounterIncrement(self.nonce, ask.tenancy.name, window, 1.0, list(homes), ask.tenancy.limit),
            left,
            order,
        )
        self.open[self.nonce] = one
        self._send(one, order[0])
        if self.nonce in self.open:
            one.timers = [
                self.reactor.callLater(AGAIN_S, self._again, one),
                self.reactor.callLater(MOST_S, self._late, one),
            ]

    def _send(self, one: _Open, ip: int) -> None:
        one.asked.add(ip)
        if ip == self.me.ip:
            self._total(ip, self._count(ip, one.message))
        else:
            self.send(ip, one.message)

    def _again(self, one: _Open) -> None:
        if self._distance(one.order[0])[0] < 2:  # a far one's answer is still on its way
            self._missed(one.order[0])
        for ip in one.order:
            if one.message.nonce in self.open:
                self._send(one, ip)

    def _missed(self, ip: int) -> None:
        self.misses[ip] = self.misses.get(ip, 0) + 1
        if self.misses[ip] >= MISSES:
            self.suspect[ip] = self.reactor.seconds() + SUSPECT_S

    def _late(self, one: _Open) -> None:
        for ip in one.asked:
            self._missed(ip)
        self._decide(one, None)

    def _decide(self, one: _Open, answer: tuple[float, float, float] | None, by: int = 0) -> None:
        self.open.pop(one.message.nonce, None)
        for timer in one.timers:
            if timer.active():
                timer.cancel()
        stays = {by} if one.ask.done(answer) else set()  # a refused try's units are taken off again
        if one.asked <= stays:
            return
        off = replace(one.message, ask=False)  # it may overtake what it takes off, or come where that never came
        for ip in one.asked - stays:
            if ip == self.me.ip:
                self._count(ip, off)
            else:
                self.send(ip, off)

    # -- as a holder ---------------------------------------------------------------------------------------

    def told(self, ip: int, message: CounterIncrement | CounterValue | CounterSync) -> None:
        """A datagram has come."""
        if isinstance(message, CounterIncrement):
            total = self._count(ip, message)
            if total is not None:
                self.send(ip, total)
        elif isinstance(message, CounterValue):
            self._total(ip, message)
        else:
            self.unheard.pop(ip, None)
            self.names.take(message.parts)
            self.suspect.pop(ip, None)
            if not message.answer:
                tenants = {part.tenant for part in message.parts}
                others = {ip for name in tenants for ip in self._holders(name, self.homes.get(name, ()))}
                # who isn't a holder by our register counts for those who can't reach one: it gets the whole
                known = (
                    [] if ip in others else self.names.parts(0.0, self.membership.session_key(ip), tenants, all=True)
                )
                self.send(ip, CounterSync(known, answer=True))

    def _count(self, ip: int, message: CounterIncrement) -> CounterValue | None:
        homes = self.homes[message.tenant] = tuple(message.homes)
        name, sender = (message.tenant, message.window), self.membership.session_key(ip)
        if not message.ask:
            return self.names.take_off(sender, message.nonce, *name)
        before, previous = self.names.add(sender, message.nonce, *name, message.units, message.limit)
        now = self.reactor.seconds()
        if self.unheard and any(
            now - self.unheard.get(other, now) > SILENT_S for other in self._holders(message.tenant, homes)
        ):
            before = max(before, 2 * self.names.own(message.tenant, message.window))  # a cut: it lets in as much
            previous = max(previous, 2 * self.names.own(message.tenant, message.window - 1))
        alone = self.membership.isolation_factor(now)
        return CounterValue(message.nonce, before * alone, previous * alone)

    def _total(self, ip: int, total: CounterValue) -> None:
        self.misses.pop(ip, None)
        self.suspect.pop(ip, None)
        one = self.open.get(total.nonce)
        if one is not None and ip in one.asked:
            self._decide(one, (total.before, total.previous, one.left), ip)

    def _tell(self) -> None:
        """Holders tell each other what they have counted."""
        self.reactor.callLater(TELL_S, self._tell)
        to: dict[int, set[str]] = {}
        now = self.reactor.seconds()
        found: dict[tuple[int, tuple[str, ...]], list[int]] = {}
        for tenant in self.names.tenants():
            key = shard_of(tenant, self.tenants()), self.homes.get(tenant, ())
            if key not in found:
                found[key] = self._holders(tenant, key[1])
            for ip in found[key]:
                if ip != self.me.ip:
                    to.setdefault(ip, set()).add(tenant)
        for ip, tenants in to.items():
            parts = self.names.parts(now, self.membership.session_key(ip), tenants)
            if parts:
                self.unheard.setdefault(ip, now)
                self.send(ip, CounterSync(parts))
