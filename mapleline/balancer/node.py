"""One process of the system: its parts, the timers that drive them, and what comes in from outside."""

from __future__ import annotations

import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from ..http1.buffers import BufferPool
from ..http1.messages import Request
from . import courier, messages
from .archive.driver import Archive
from .archive.operator import Operator
from .archive.state import State
from .catalogue import Catalogue
from .config import ConfigFault, Table
from .config import read as read_config
from .custody import Custody, first
from .desk import Desk
from .doors import Door, House
from .fence import Fence
from .leases import Leases
from .log import configure, say
from .lookup import Directory
from .messages import Beat, Busy, Chosen, Claim, Granted, Held, Lease, Leased, Parts, Probe, Tally, Total
from .platform import EVERY_S, FIRST_S, STALE_S
from .register import DISK, FORMED, LEAVING, READY, Member, Register
from .servers import STREAM_FROM
from .settings import Boot, SettingsFault
from .settings import read as read_settings
from .teller import Teller
from .ways import Ways

BEAT_S, FAR_BEATS = 0.5, 2  # seconds; and which beat goes to another region as well
BUSY_S = 0.05
SECOND_S = 1.4  # without news of the list: the next in line asks as well, for the holder may be cut off from it
UNKNOWN_S = 5.0  # after which there is no core, if none was heard of
HELD_PART = (1 << 20) // 5  # of the memory, for bodies; beyond, they go on as they come
SWEEP_S = 0.5
LEASE_MARGIN_S = 0.3


class Node:
    """The parts of one ingress, joined."""

    def __init__(
        self, reactor: Any, boot: Boot, ways: Ways | None = None, settings: Callable[[], Boot] | None = None
    ) -> None:
        """`ways`: to everything outside, sockets unless told otherwise; `settings` reads the file again."""
        self.reactor, self.boot, self.settings = reactor, boot, settings or load_settings
        self.ways = ways = ways or Ways(reactor, boot)
        self.bounds = boot.protocol_bounds
        self.zones = sorted(boot.zones)
        self.rng = random.Random(f"{boot.node_name} {ways.unix()}")
        self.started = reactor.seconds()
        self.near = {n for n, zone in enumerate(self.zones) if boot.zones[zone] == boot.region}
        self.leaving = False
        me = Member(courier.number(boot.ip_address), self.zones.index(boot.zone), DISK if boot.data_directory else 0,
                    incarnation=int(ways.unix() * 10) & 0xFFFFFFFF, beat=self.started)  # fmt: skip
        self.register = Register(me, BEAT_S)
        self.fence = Fence(self.register)
        self.catalogue = Catalogue(boot.cloud_api.max_lag)
        self.custody = Custody(me.ip)
        self.beats = 0
        pool = BufferPool(most=int(boot.limits.memory_mb * HELD_PART))
        self.servers = ways.servers(pool)
        self.send = ways.send
        self.archive = Archive(
            reactor, boot, ways, self.register, self.rng, self.apply, self.teach, self.give_list, self.take_list
        )
        self.teller = Teller(reactor, boot, ways, self.register, self.tenants)
        self.desk = Desk(
            reactor, boot, self.register, self.catalogue, self.servers, self.may_serve, self.teller.ask, self.rng
        )
        self.leases = Leases(reactor, me.ip, self.rng, self.send, self._voters, self.desk.cold_numbers, me.disk)
        self.desk.leases = self.leases
        self.front = House(reactor, pool, self.desk.take, STREAM_FROM)
        self.control = Operator(self.archive, self.status)
        self.directory = Directory(reactor, boot, self.register, self.rng, self.in_touch)
        self.houses = [self.front]
        self.platform = ways.platform(self.catalogue, self.listed)

    # -- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        self.archive.load()
        boot, listen = self.boot, self.boot.listen_addresses
        self.ways.open(self.fence, self.told, self.archive.called)
        pool = BufferPool(kept=4)  # never tight: what is said here is taken in whole
        for place, take in ((listen.ready_addr, self.readiness), (listen.control_addr, self.control.take),
                            (listen.directory_addr, self.directory.take)):  # fmt: skip
            if place is not None:
                house = House(self.reactor, pool, take)
                self.houses.append(house)
                self.reactor.listenTCP(place[1], house, backlog=256, interface=place[0])
        if listen.front_addr is not None:
            self.reactor.listenTCP(listen.front_addr[1], self.front, backlog=1024, interface=listen.front_addr[0])
        for tick in (self.beat, self.archive.start, self.sweep, self.poll, self.tell_busy, self.leases.tick):
            tick()
        say("node", "started", zone=boot.zone, disk=bool(boot.data_directory), initial=boot.initial_start)


    def leave(self) -> None:
        """SIGTERM: out of the directory first, then what is in hand, then gone."""
        if self.leaving:
            return
        self.leaving, self.left_at = True, self.reactor.seconds()
        say("node", "leaving", in_hand=len(self.desk.calls))
        for house in self.houses:
            house.leaving = True
        now = self.reactor.seconds()
        self.register.tick(now, self.flags())
        self.custody.hand_on(first(self._able(now)))
        self.push()
        self.reactor.callLater(0.25 * self.bounds.grace_period, self._leave_when_done)

    def _leave_when_done(self) -> None:
        spent = self.reactor.seconds() - self.left_at
        done = not self.desk.calls and self.archive.members.is_let_go()
        if done and spent > 0.45 * self.bounds.grace_period or spent > self.bounds.grace_period - 0.5:
            say("node", "left", in_hand=len(self.desk.calls))
            return self.reactor.stop()
        self.reactor.callLater(0.1, self._leave_when_done)

    # -- readiness and the directory -----------------------------------------------------------------------

    def tenants(self) -> int:
        """How many there are."""
        return len(self.desk.table.tenants) if self.desk.table is not None else 0

    def may_serve(self) -> bool:
        """What is held is known to have been the newest lately enough."""
        return self.desk.table is not None and self.in_touch()

    def contact_age(self) -> float:
        """For how long there was no contact with a majority of the core, in seconds."""
        return self.reactor.seconds() - self.archive.since()

    def in_touch(self) -> bool:
        """Whether contact with a majority of the core is younger than what may be done without."""
        life = self.bounds.revoke_timeout if self.bounds.revocation_strict else 4 * self.bounds.revoke_timeout
        return self.contact_age() < life - LEASE_MARGIN_S

    def flags(self) -> int:
        ready = self.may_serve() and not self.leaving and bool(self.catalogue.instances)
        formed = self.archive.members.proposes
        return READY * ready | LEAVING * self.leaving | DISK * self.register.me.disk | FORMED * formed

    def readiness(self, door: Door, request: Request) -> None:
        door.reply(200 if self.flags() & READY else 503)

    def status(self) -> dict[str, Any]:
        """What else is known here, for people."""
        now, state = self.reactor.seconds(), self.archive.state
        formed = self.archive.replica.is_voter and not state.former  # until then the next loss may be one too many
        return {
            "node": self.boot.node_name, "ready": bool(self.flags() & READY), "formed": formed,
            "ingresses": len(self.register.alive(now)), "servers": len(self.catalogue.instances),
            "list": {"holder": courier.host(self.custody.holder), "term": self.custody.term},
            "counts": self.desk.counts,
        }  # fmt: skip

    # -- heartbeats ----------------------------------------------------------------------------------------

    def _beat(self, reply: bool = False) -> Beat:
        now = self.reactor.seconds()
        listed = self.catalogue
        return Beat(self.register.rows(now), self.archive.held.number, listed.digest, listed.age_ms(now), reply,
                    self.custody.term, self.custody.holder)  # fmt: skip

    def beat(self) -> None:
        self.reactor.callLater(BEAT_S, self.beat)
        now = self.reactor.seconds()
        self.beats += 1
        self.register.tick(now, self.flags())
        others = self.register.alive(now)
        beat = self._beat()
        for ip in self.register.watchers(now, self.near, self.beats, self.beats % FAR_BEATS == 0):
            self.send(ip, beat)
        if len(others) < 3 or self.beats % 8 == 0:
            missing = self.register.missing(now)
            asked = {courier.number(host) for host, _ in self.boot.seed_nodes}
            if len(others) >= 3:
                asked = {self.rng.choice(sorted(asked | set(missing)))} if asked or missing else set()
            else:
                asked |= set(missing)
            for ip in sorted(asked - {self.register.me.ip}):
                self.send(ip, self._beat(reply=True))

    def tell_busy(self) -> None:
        """The ingresses of the region know of each other what they have out."""
        self.reactor.callLater(BUSY_S, self.tell_busy)
        told = self.desk.busy()
        if told is not None:
            told = Busy(told.out, told.sick, self.fence.turn())
            for m in self.register.alive(self.reactor.seconds()):
                if m.ip != self.register.me.ip and self.boot.zones[self.zones[m.zone]] == self.boot.region:
                    self.send(m.ip, told)

    def push(self) -> None:
        """News for all at once."""
        now = self.reactor.seconds()
        self.register.tick(now, self.flags())
        beat = self._beat()
        for member in self.register.alive(now):
            if member.ip != self.register.me.ip:
                self.send(member.ip, beat)

    def teach(self) -> None:
        """Something new of the operator's word is here: a machine of the core tells its part of the others, those of
        its own zone and whoever else it is the nearest for.
        """
        now = self.reactor.seconds()
        core = [m for m in self.register.alive(now, DISK)]
        beat = self._beat()
        for member in self.register.alive(now):
            if not member.disk and self._teacher(member, core) == self.register.me.ip:
                self.send(member.ip, beat)

    def _teacher(self, member: Member, core: list[Member]) -> int:
        zone, regions = self.zones[member.zone], self.boot.zones

        def far(one: Member) -> tuple[bool, bool, int]:
            other = self.zones[one.zone]
            return regions[other] != regions[zone], other != zone, one.place ^ member.place

        return min(core, key=far, default=self.register.me).ip

    def told(self, ip: int, message: messages.Datagram) -> None:
        """A datagram has come."""
        now = self.reactor.seconds()
        match message:
            case Beat():
                fresh = self.register.merge(now, message.rows)
                if message.reply or fresh and self.beats > 0:
                    self.send(ip, self._beat())
                if self.register.overtaken(ip, message.rows):
                    return  # of its sender something newer is known: its list would seem fresher than it is
                self.archive.heard_of(ip, message.number, now)
                self.custody.told(message.term, message.holder)
                self._list_news(ip, message, now)
            case Probe():
                self.archive.probed(ip, message)
            case Held():
                self.archive.told(ip, message)
            case Chosen():
                self.archive.replica.chosen(message)
            case Busy() if self.fence.newest(ip, message.turn):
                self.desk.heard(ip, message, now)
            case Claim():
                if self.custody.vote(message.term, self._listless(now)):
                    self.send(ip, Granted(message.term))
            case Granted():
                self._granted(ip, message.term)
            case Lease():
                if (answer := self.leases.answer(ip, message)) is not None:
                    self.send(ip, answer)
            case Leased():
                self.leases.told(ip, message)
            case Tally() | Total() | Parts():
                self.teller.told(ip, message)

    def _list_news(self, ip: int, beat: Beat, now: float) -> None:
        fetched = now - beat.list_age_ms / 1000
        if not beat.list_digest or fetched <= self.catalogue.fetched + 0.05:
            return
        if beat.list_digest == self.catalogue.digest:
            self.catalogue.same_at(self.register.told_at - beat.list_age_ms / 1000, beat.list_digest)
        else:
            self.archive.pull(ip, servers=True, state=False)


    # -- the operator's word -------------------------------------------------------------------------------


    def apply(self, before: State | None) -> None:
        """Put what is held in force."""
        state, body = self.archive.state, self.archive.held.body
        self.fence.system = state.system
        if body is not None and (before is None or before.config != state.config or self.desk.table is None):
            try:
                table = Table(read_config(body))
            except ConfigFault as err:
                return say("archive", "held configuration cannot be read", error=str(err))
            self.desk.table = table
            self.front.idle_s, self.front.header_s = table.limits.idle_timeout, table.limits.header_timeout
            self.front.max_header, self.front.max_body = table.limits.max_header_bytes, table.limits.max_body_bytes
            say("archive", "configuration in force", version=table.version)
        self.desk.evacuated = set(state.evacuated)
        for zone, _ in {*state.changed} - {*(before.changed if before is not None else ())}:
            if zone not in state.evacuated:
                self.desk.taken_back(zone)  # also where its beginning was never heard of


    def give_list(self) -> tuple[bytes, int]:
        """The list of servers and its age, for another ingress."""
        now = self.reactor.seconds()
        return (self.catalogue.body, self.catalogue.age_ms(now)) if self.catalogue.digest else (b"", 0)

    def take_list(self, fetched: float, body: bytes) -> None:
        """The list as another ingress has it."""
        if self.catalogue.take_body(fetched, body):
            self.desk.refresh()

    # -- the platform's list -------------------------------------------------------------------------------

    def poll(self) -> None:
        """One ingress asks the platform for all; who hears nothing new for long asks itself."""
        now = self.reactor.seconds()
        empty = not self.catalogue.digest
        every = FIRST_S if empty else EVERY_S
        self.reactor.callLater(every * self.rng.uniform(0.9, 1.1), self.poll)
        if self.leaving:
            return
        able = self._able(now)
        next_one = first(able) == self.register.me.ip
        known = self.archive.held.voters() or now - self.started > UNKNOWN_S
        if next_one and known and self._listless(now):
            self._claim()
        elif self.custody.mine and not next_one:
            self.custody.hand_on(first(able))  # the core first: all fetch the list from its holder
        age = now - self.catalogue.fetched
        alone = age > STALE_S and now - self.started > 2 * FIRST_S and self.rng.random() < 2 / (1 + len(able))
        second = age > SECOND_S and first(m for m in able if m.ip != self.custody.holder) == self.register.me.ip
        asks = self.custody.mine or next_one or second or alone
        if asks and now - self.started > FIRST_S / 2:
            self.platform.fetch()

    def _able(self, now: float) -> list[Member]:
        return [m for m in self.register.alive(now) if not m.flags & LEAVING]

    def _listless(self, now: float) -> bool:
        """The holder of the list is not among those that could ask for it."""
        return self.custody.holder not in {m.ip for m in self._able(now)}

    def _claim(self) -> None:
        term = self.custody.claim()
        for ip in self._voters():
            if ip != self.register.me.ip:
                self.send(ip, Claim(term))
            elif self.custody.vote(term, True):
                self._granted(ip, term)

    def _voters(self) -> list[int]:
        """The core; without one, all there are."""
        return self.archive.held.voters() or sorted(self.register.members)

    def _granted(self, by: int, term: int) -> None:
        if self.custody.granted(term, by, self._voters()):
            say("custody", "has the list", term=term)
            self.platform.fetch()

    def listed(self, changed: bool) -> None:
        """The platform has answered."""
        if changed:
            self.desk.refresh()
            self.push()

    # -- once in a while -----------------------------------------------------------------------------------

    def sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self.sweep)
        now = self.reactor.seconds()
        for house in self.houses:
            house.sweep(now)
        most = 2
        if self.desk.table is not None:
            least = min((s.max_connections for s in self.desk.table.services.values()), default=100)
            most = max(1, least // (3 * max(1, len(self.register.members))))
        self.servers.sweep(list(self.desk.targets.values()), now, most)
        self.reread()
        unbelieved = self.fence.news()
        if unbelieved:
            say("courier", "not believed", **unbelieved)

    def reread(self) -> None:
        """The settings file may have changed, with or without a signal."""
        try:
            boot = self.settings()
        except (SettingsFault, OSError):
            return
        if boot.seed_nodes != self.boot.seed_nodes:
            self.boot = self.boot.model_copy(update={"seed_nodes": boot.seed_nodes})
            say("register", "seeds exchanged", seeds=len(boot.seed_nodes))


_read: dict[str, Any] = {}


def load_settings() -> Boot:
    """The settings file that `MAPLELINE_CONFIG` names; parsed again only if its text differs."""
    path = os.environ.get("MAPLELINE_CONFIG")
    if not path:
        raise SettingsFault("MAPLELINE_CONFIG: not set; it names the settings file")
    text = Path(path).read_text()
    if _read.get("text") != text:
        _read["boot"], _read["text"] = read_settings(text), text
    return _read["boot"]


def main() -> int:
    """The role `desk`: all that one ingress of the system is."""
    try:
        boot = load_settings()
    except (SettingsFault, OSError) as err:
        sys.stderr.write(f"mapleline: {err}\n")
        return 2
    from .reactor import install

    reactor = install()
    configure(boot.node_name)
    from twisted.python import log as twisted_log

    def fault(event: dict) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            say("node", "fault", trace=failure.getTraceback() if failure else str(event.get("message")))

    twisted_log.addObserver(fault)
    node = Node(reactor, boot)

    def term(*_: object) -> None:
        reactor.callFromThread(node.leave)

    def hup(*_: object) -> None:
        reactor.callFromThread(node.reread)

    reactor.callWhenRunning(node.start)
    for number, taken in ((signal.SIGTERM, term), (signal.SIGINT, term), (signal.SIGHUP, hup)):
        reactor.callWhenRunning(signal.signal, number, taken)
    reactor.run(installSignalHandlers=False)
    return 0
