"""One process of the system: its parts, the timers that drive them, and what comes in from outside."""

from __future__ import annotations

import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.threads import deferToThread

from ..http1.buffers import BufferPool
from ..http1.messages import Request
from . import courier, messages
from .archive import CONFIG, Entry
from .catalogue import Catalogue
from .config import ConfigFault, Table
from .config import read as read_config
from .control import Control
from .desk import Desk
from .doors import Door, House
from .log import configure, say
from .lookup import answer as lookup_answer
from .messages import Beat, Busy, Held, Parts, Probe, Pull, Pulled, Store, Stored, Tally, Total
from .platform import EVERY_S, FIRST_S, STALE_S, Platform
from .register import DISK, FORMED, LEAVING, READY, Member, Register
from .seat import Put, Seat
from .servers import Servers
from .settings import Boot, SettingsFault
from .settings import read as read_settings
from .shelf import CoreNote, Shelf
from .teller import Teller

BEAT_S, FAR_BEATS = 0.5, 2  # seconds; and which beat goes to another region as well
BUSY_S = 0.05
PROBE_S, PROBE_HASTE_S, RELAYS = 1.0, 0.15, 2
SWEEP_S = 0.5
LEASE_MARGIN_S = 0.3
CALL_S = 1.5


class Node:
    """The parts of one ingress, joined."""

    def __init__(self, reactor: Any, boot: Boot) -> None:
        self.reactor, self.boot = reactor, boot
        self.bounds = boot.protocol_bounds
        self.zones = sorted(boot.zones)
        self.rng = random.Random(boot.node_name + str(time.time_ns()))
        self.started = reactor.seconds()
        self.near = {n for n, zone in enumerate(self.zones) if boot.zones[zone] == boot.region}
        self.leaving = False
        me = Member(courier.number(boot.ip_address), self.zones.index(boot.zone), DISK if boot.data_directory else 0,
                    incarnation=int(time.time() * 10) & 0xFFFFFFFF, beat=self.started)  # fmt: skip
        self.register = Register(me, BEAT_S)
        disk = bool(boot.data_directory)
        self.seat = Seat(me.ip, disk, boot.fault_tolerance.machine_losses, boot.initial_start)
        self.word, self.lease = self.seat.word, self.seat.lease
        self.catalogue = Catalogue()
        self.shelf = Shelf(boot.data_directory) if boot.data_directory else None
        self.waiting: list[tuple[float, Deferred]] = []
        self.pulling: set[str] = set()
        self.nonce = self.rng.getrandbits(30)
        self.beats = 0
        self.core_seen = (0, self.started)
        pool = BufferPool()
        self.servers = Servers(reactor, pool)
        self.port = boot.internal_port_range[0]
        self.datagrams = courier.Datagrams(self.port, self.told)
        self.teller = Teller(reactor, boot, self.register, self.datagrams.send, self.tenants)
        self.desk = Desk(
            reactor, boot, self.register, self.catalogue, self.servers, self.may_serve, self.teller.ask, self.rng
        )
        self.front = House(reactor, pool, self.desk.take)
        self.control = Control(self)
        self.houses = [self.front]
        self.platform = Platform(reactor, boot, self.catalogue, self.listed)

    # -- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        self.load()
        boot, listen = self.boot, self.boot.listen_addresses
        self.reactor.listenUDP(self.port, self.datagrams, interface=boot.ip_address, maxPacketSize=65536)
        self.reactor.listenTCP(self.port, courier.AnswerFactory(self.called), interface=boot.ip_address)
        pool = self.front.pool
        for place, take in ((listen.ready_addr, self.readiness), (listen.control_addr, self.control.take),
                            (listen.directory_addr, self.directory)):  # fmt: skip
            if place is not None:
                house = House(self.reactor, pool, take)
                self.houses.append(house)
                self.reactor.listenTCP(place[1], house, backlog=256, interface=place[0])
        if listen.front_addr is not None:
            self.reactor.listenTCP(listen.front_addr[1], self.front, backlog=1024, interface=listen.front_addr[0])
        for tick in (self.beat, self.probe, self.sweep, self.poll, self.tell_busy):
            tick()
        say("node", "started", zone=boot.zone, disk=bool(self.shelf), initial=boot.initial_start)

    def load(self) -> None:
        """What an earlier life left on the disk."""
        if self.shelf is None:
            return
        try:
            entries, note, bad = self.shelf.load()
        except OSError as err:
            return say("archive", "disk cannot be read", error=str(err))
        for fault in bad:
            say("archive", "bad file", file=fault)
        self.seat.load(entries, [ip for ip, _ in note.core] if note is not None else None)
        for ip, zone in note.core if note is not None else ():
            self.register.know(ip, zone, DISK)
        self.apply()

    def leave(self) -> None:
        """SIGTERM: out of the directory first, then what is in hand, then gone."""
        if self.leaving:
            return
        self.leaving, self.left_at = True, self.reactor.seconds()
        say("node", "leaving", in_hand=len(self.desk.calls))
        for house in self.houses:
            house.leaving = True
        self.push()
        self.reactor.callLater(0.25 * self.bounds.grace_period, self._leave_when_done)

    def _leave_when_done(self) -> None:
        spent = self.reactor.seconds() - self.left_at
        if not self.desk.calls and spent > 0.45 * self.bounds.grace_period or spent > self.bounds.grace_period - 0.5:
            say("node", "left", in_hand=len(self.desk.calls))
            return self.reactor.stop()
        self.reactor.callLater(0.1, self._leave_when_done)

    # -- readiness and the directory -----------------------------------------------------------------------

    def tenants(self) -> int:
        """How many there are."""
        return len(self.desk.table.tenants) if self.desk.table is not None else 0

    def may_serve(self) -> bool:
        """What is held is known to have been the newest lately enough."""
        if self.desk.table is None:
            return False
        life = self.bounds.revoke_timeout if self.bounds.revocation_strict else 4 * self.bounds.revoke_timeout
        return self.reactor.seconds() - self.lease.since() < life - LEASE_MARGIN_S

    def flags(self) -> int:
        ready = self.may_serve() and not self.leaving and bool(self.catalogue.instances)
        return READY * ready | LEAVING * self.leaving | DISK * (self.shelf is not None) | FORMED * self.seat.formed

    def readiness(self, door: Door, request: Request) -> None:
        door.reply(200 if self.flags() & READY else 503)

    def directory(self, door: Door, request: Request) -> None:
        lookup_answer(self, door, request)

    # -- heartbeats ----------------------------------------------------------------------------------------

    def _beat(self, reply: bool = False) -> Beat:
        now = self.reactor.seconds()
        listed = self.catalogue
        return Beat(self.register.rows(now), self.word.marks(), listed.digest, listed.age_ms(now), reply)

    def beat(self) -> None:
        self.reactor.callLater(BEAT_S, self.beat)
        now = self.reactor.seconds()
        self.beats += 1
        self.register.tick(now, self.flags())
        others = self.register.alive(now)
        beat = self._beat()
        for ip in self.register.watchers(now, self.near, self.beats % FAR_BEATS == 0):
            self.datagrams.send(ip, beat)
        if len(others) < 3 or self.beats % 8 == 0:
            missing = self.register.missing(now)
            asked = {courier.number(host) for host, _ in self.boot.seed_nodes}
            if len(others) >= 3:
                asked = {self.rng.choice(sorted(asked | set(missing)))} if asked or missing else set()
            else:
                asked |= set(missing)
            for ip in sorted(asked - {self.register.me.ip}):
                self.datagrams.send(ip, self._beat(reply=True))

    def tell_busy(self) -> None:
        """The ingresses of the region know of each other what they have out."""
        self.reactor.callLater(BUSY_S, self.tell_busy)
        out = self.desk.busy()
        if out is not None:
            for m in self.register.alive(self.reactor.seconds()):
                if m.ip != self.register.me.ip and self.boot.zones[self.zones[m.zone]] == self.boot.region:
                    self.datagrams.send(m.ip, Busy(out))

    def push(self) -> None:
        """News for all at once."""
        now = self.reactor.seconds()
        self.register.tick(now, self.flags())
        beat = self._beat()
        for member in self.register.alive(now):
            if member.ip != self.register.me.ip:
                self.datagrams.send(member.ip, beat)

    def told(self, ip: int, message: messages.Datagram) -> None:
        """A datagram has come."""
        now = self.reactor.seconds()
        match message:
            case Beat():
                fresh = self.register.merge(now, message.rows)
                self._core_news(now)
                if message.reply or fresh and self.beats > 0:
                    self.datagrams.send(ip, self._beat())
                self.pull(ip, self.word.lacks(message.marks))
                self._list_news(ip, message, now)
            case Probe():
                formed, core, marks, age = self.seat.answer(now, self.register.core())
                age_ms = int(age * 1000) + 1 if age < 60 else -1
                self.datagrams.send(ip, Held(message.nonce, formed, core, marks, age_ms))
            case Held():
                self._held(ip, message, now)
            case Busy():
                self.desk.heard(ip, message.out, now)
            case Tally() | Total() | Parts():
                self.teller.told(ip, message)

    def _list_news(self, ip: int, beat: Beat, now: float) -> None:
        fetched = now - beat.list_age_ms / 1000
        if not beat.list_digest or fetched <= self.catalogue.fetched + 0.05:
            return
        if beat.list_digest == self.catalogue.digest:
            self.catalogue.same_at(fetched, beat.list_digest)
        else:
            self.pull(ip, [], True)

    # -- the core, and leases ------------------------------------------------------------------------------

    def _core_news(self, now: float) -> None:
        core = self.register.core()
        if len(core) != self.core_seen[0]:
            self.core_seen = (len(core), now)
        self.seat.count(core)

    def probe(self) -> None:
        """Often while a lease is wanting, and at leisure while it is fresh."""
        unformed = self.shelf is not None and not self.seat.formed
        wanting = unformed or self.reactor.seconds() - self.lease.since() > 2 * PROBE_S
        every = PROBE_S * self.rng.uniform(0.9, 1.1) if not wanting else PROBE_HASTE_S
        self.reactor.callLater(every, self.probe)
        self.ask_core()
        self.form()

    def ask_core(self) -> None:
        """Ask every machine of the core what it holds."""
        now = self.reactor.seconds()
        self._core_news(now)
        asked = self.register.core()
        if now - self.lease.since() > 2 * PROBE_S:  # the core is out of reach: others may reach it
            others = [m.ip for m in self.register.alive(now) if not m.disk and m.ip != self.register.me.ip]
            asked += self.rng.sample(others, min(RELAYS, len(others)))
        for ip in asked:
            if ip == self.register.me.ip:
                self.seat.ask_self(now)
                self._confirmed()
                continue
            self.nonce = (self.nonce + 1) & 0x7FFFFFFF
            self.seat.ask(self.nonce, ip, now)
            self.datagrams.send(ip, Probe(self.nonce))

    def _held(self, ip: int, held: Held, now: float) -> None:
        asked = self.seat.told(held.nonce, ip, held.formed, held.core, held.age_ms >= 0)
        if asked is None:
            return
        lacking = self.word.lacks(held.marks)
        if lacking:
            self.pull(ip, lacking, then=lambda: self._agree(ip, held, asked))
        else:
            self._agree(ip, held, asked)

    def _agree(self, ip: int, held: Held, asked: float) -> None:
        age = held.age_ms / 1000 if held.age_ms >= 0 else None
        if self.seat.agree(ip, held.formed, held.marks, age, asked):
            self._confirmed()

    def _confirmed(self) -> None:
        since = self.lease.since()
        waiting, self.waiting = self.waiting, []
        for at, done in waiting:
            if since >= at:
                done.callback(True)
            else:
                self.waiting.append((at, done))

    def confirm(self, timeout_s: float = 1.5) -> Deferred:
        """Fires with whether what is held is now known to be the newest acknowledged."""
        now = self.reactor.seconds()
        done: Deferred = Deferred()
        pair = (now, done)
        self.waiting.append(pair)

        def again() -> None:
            if pair in self.waiting:
                self.ask_core()

        def late() -> None:
            if pair in self.waiting:
                self.waiting.remove(pair)
                done.callback(False)

        self.reactor.callLater(timeout_s / 3, again)
        self.reactor.callLater(timeout_s, late)
        self.ask_core()
        return done

    def form(self) -> None:
        """A machine of the core counts once it knows the core, and what the core was told before."""
        if self.shelf is None:
            return
        now, core, seat = self.reactor.seconds(), self.register.core(), self.seat
        zones = {m.zone for m in self.register.members.values() if m.disk}
        if seat.formed:
            if set(core) - set(seat.noted):
                self._note(core)
        elif seat.may_found(now - self.started, now - self.core_seen[1], len(zones) == len(self.zones)):
            self._note(core)
        elif seat.may_join(self.started):
            entries = list(self.word.entries.values())
            done = deferToThread(lambda: [self.shelf.save(entry) for entry in entries])
            done.addCallbacks(lambda _: (self._saved(entries), self._note(core)), self._disk_fault)

    def _note(self, core: list[int]) -> None:
        note = CoreNote([(ip, self.register.members[ip].zone) for ip in core])

        def noted(_: object) -> None:
            if not self.seat.formed:
                say("archive", "formed", core=len(core))
            self.seat.formed, self.seat.noted = True, core

        deferToThread(self.shelf.save_core, note).addCallbacks(noted, self._disk_fault)

    def _saved(self, entries: list[Entry]) -> None:
        for entry in entries:
            self.seat.kept(entry)

    def _disk_fault(self, reason: Any) -> None:
        say("archive", "disk refused", error=reason.getErrorMessage())

    # -- the operator's word -------------------------------------------------------------------------------

    def called(self, call: messages.Call) -> Any:
        match call:
            case Store():
                self.take_entry(call.entry)
                return self.keep(call.entry)
            case Pull():
                entries = [e for key in call.keys if (e := self.word.entries.get(key)) is not None]
                now = self.reactor.seconds()
                if call.servers and self.catalogue.digest:
                    return Pulled(entries, self.catalogue.body, self.catalogue.age_ms(now))
                return Pulled(entries)

    def keep(self, entry: Entry) -> Any:
        """Synced to this machine's disk, or something newer is: a reply or a Deferred of one."""
        if not self.seat.takes:
            return Stored(False)
        if self.seat.has_kept(entry):
            return Stored(True)

        def kept(_: object) -> Stored:
            self._saved([entry])
            return Stored(True)

        def refused(reason: Any) -> Stored:
            self._disk_fault(reason)
            return Stored(False)

        return deferToThread(self.shelf.save, entry).addCallbacks(kept, refused)

    def take_entry(self, entry: Entry) -> bool:
        """News of the operator's word, from wherever."""
        if not self.word.offer(entry):
            return False
        self.apply(entry.key)
        return True

    def apply(self, key: str | None = None) -> None:
        """Put what is held in force."""
        entry = self.word.entries.get(CONFIG)
        if entry is not None and (self.desk.table is None or key == CONFIG):
            try:
                table = Table(read_config(entry.body))
            except ConfigFault as err:
                return say("archive", "held configuration cannot be read", error=str(err))
            self.desk.table = table
            self.front.idle_s, self.front.header_s = table.limits.idle_timeout, table.limits.header_timeout
            self.front.max_header, self.front.max_body = table.limits.max_header_bytes, table.limits.max_body_bytes
            say("archive", "configuration in force", version=table.version)
        before, self.desk.evacuated = self.desk.evacuated, self.word.evacuated()
        for zone in before - self.desk.evacuated:
            self.desk.cooling[zone] = self.reactor.seconds() + self.boot.cloud_api.max_lag + 2.0

    def put(self, entry: Entry, timeout_s: float) -> Deferred:
        """Fires with whether the entry, or what outranks it, stands on a write quorum."""
        done: Deferred = Deferred()
        core = self.register.core()
        need = self.seat.quorum(len(core))
        if sum(self.register.members[ip].flags & FORMED > 0 for ip in core) < need:
            done.callback(False)  # nobody knows yet how many the core are
            return done
        put = Put(need)
        end = self.reactor.seconds() + timeout_s
        self.take_entry(entry)

        def stored(reply: Any, ip: int) -> None:
            if isinstance(reply, Stored) and reply.ok:
                again = put.stored(ip, self.reactor.seconds())
                if again is None and not done.called:
                    done.callback(True)
                for other in again or ():
                    store(other)
            elif not done.called:
                self.reactor.callLater(0.3, store, ip)

        def store(ip: int) -> None:
            if done.called or self.reactor.seconds() > end:
                return
            if ip == self.register.me.ip:
                reply = self.keep(entry)
                if not isinstance(reply, Deferred):
                    return stored(reply, ip)
            else:
                reply = courier.call(self.reactor, ip, self.port, Store(entry), CALL_S)
            reply.addBoth(stored, ip)

        def late() -> None:
            if not done.called:
                done.callback(False)

        for ip in core:
            store(ip)
        self.reactor.callLater(timeout_s, late)
        self.push()
        return done

    def pull(self, ip: int, keys: list[str], servers: bool = False, then: Any = None) -> None:
        """Fetch what is lacking from who has it."""
        keys = [key for key in keys if key not in self.pulling or then is not None]
        if servers and "servers" in self.pulling:
            servers = False
        if not keys and not servers:
            return
        marked = set(keys) | ({"servers"} if servers else set())
        self.pulling |= marked
        asked = self.reactor.seconds()

        def pulled(reply: Any) -> None:
            self.pulling -= marked
            if not isinstance(reply, Pulled):
                return
            for entry in reply.entries:
                if self.take_entry(entry) and self.seat.formed:
                    self.keep(entry)
            if reply.list_body:
                fetched = self.reactor.seconds() - reply.list_age_ms / 1000
                fetched = min(fetched, asked + 0.5)
                if self.catalogue.take_body(fetched, reply.list_body):
                    self.desk.refresh()
            if then is not None:
                then()

        courier.call(self.reactor, ip, self.port, Pull(keys, servers), CALL_S).addBoth(pulled)

    # -- the platform's list -------------------------------------------------------------------------------

    def poll(self) -> None:
        """One ingress asks the platform for all; who hears nothing new for long asks itself."""
        now = self.reactor.seconds()
        empty = not self.catalogue.digest
        every = FIRST_S if empty else EVERY_S
        self.reactor.callLater(every * self.rng.uniform(0.9, 1.1), self.poll)
        if self.leaving:
            return
        able = [m for m in self.register.alive(now) if not m.flags & LEAVING]
        holder = min(able, key=lambda m: (not m.disk, m.place), default=self.register.me)
        age = now - self.catalogue.fetched
        alone = age > STALE_S and now - self.started > 2 * FIRST_S and self.rng.random() < 2 / (1 + len(able))
        if now - self.started > FIRST_S / 2 and (holder.ip == self.register.me.ip or alone):
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

    def reread(self) -> None:
        """The settings file may have changed, with or without a signal."""
        try:
            boot = load_settings()
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
