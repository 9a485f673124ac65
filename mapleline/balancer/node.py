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
from .configuration import ConfigurationError, Table
from .configuration import read as read_config
from .control.api import ControlApi
from .control.control_plane import ControlPlane
from .control.state import State
from .discovery.directory import Directory
from .discovery.endpoints import EndpointList
from .discovery.platform_client import EVERY_S, FIRST_S, STALE_S
from .environment import Environment
from .logs import configure, say
from .membership.leadership import Leadership, first
from .membership.table import DISK, FORMED, LEAVING, READY, Member, MembershipTable
from .proxy.listener import ClientConnection, Listener
from .proxy.proxy import Proxy
from .proxy.slow_start_leases import SlowStartLeases
from .proxy.upstream import STREAM_FROM
from .quota.client import QuotaClient
from .settings import Settings, SettingsError
from .settings import read as read_settings
from .transport import connections, messages
from .transport.fencing import Fence
from .transport.messages import (
    Chosen,
    CounterIncrement,
    CounterSync,
    CounterValue,
    Heartbeat,
    LeaseGrant,
    LeaseRequest,
    LoadReport,
    StateQuery,
    StateReport,
    Vote,
    VoteRequest,
)

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
        self,
        reactor: Any,
        settings: Settings,
        environment: Environment | None = None,
        reload_settings: Callable[[], Settings] | None = None,
    ) -> None:
        """`ways`: to everything outside, sockets unless told otherwise; `reload_settings` reads the file again."""
        self.reactor, self.settings, self.reload_settings = reactor, settings, reload_settings or load_settings
        self.environment = environment = environment or Environment(reactor, settings)
        self.bounds = settings.protocol_bounds
        self.zones = sorted(settings.zones)
        self.rng = random.Random(f"{settings.node_name} {environment.unix()}")
        self.started = reactor.seconds()
        self.near = {n for n, zone in enumerate(self.zones) if settings.zones[zone] == settings.region}
        self.leaving = False
        me = Member(
            connections.number(settings.ip_address),
            self.zones.index(settings.zone),
            DISK if settings.data_directory else 0,
            incarnation=int(environment.unix() * 10) & 0xFFFFFFFF,
            beat=self.started,
        )
        self.membership = MembershipTable(me, BEAT_S)
        self.fence = Fence(self.membership)
        self.endpoints = EndpointList(settings.cloud_api.max_lag)
        self.leadership = Leadership(me.ip)
        self.beats = 0
        pool = BufferPool(most=int(settings.limits.memory_mb * HELD_PART))
        self.servers = environment.servers(pool)
        self.send = environment.send
        self.control_plane = ControlPlane(
            reactor,
            settings,
            environment,
            self.membership,
            self.rng,
            self.apply,
            self.teach,
            self.give_list,
            self.take_list,
        )
        self.quota_client = QuotaClient(reactor, settings, environment, self.membership, self.tenants)
        self.proxy = Proxy(
            reactor,
            settings,
            self.membership,
            self.endpoints,
            self.servers,
            self.may_serve,
            self.quota_client.ask,
            self.rng,
        )
        self.leases = SlowStartLeases(
            reactor, me.ip, self.rng, self.send, self._voters, self.proxy.cold_numbers, me.disk
        )
        self.proxy.leases = self.leases
        self.front = Listener(reactor, pool, self.proxy.take, STREAM_FROM)
        self.control = ControlApi(self.control_plane, self.status)
        self.directory = Directory(reactor, settings, self.membership, self.rng, self.in_touch)
        self.listeners = [self.front]
        self.platform = environment.platform(self.endpoints, self.listed)

    # -- start and end -------------------------------------------------------------------------------------

    def start(self) -> None:
        self.control_plane.load()
        settings, listen = self.settings, self.settings.listen_addresses
        self.environment.open(self.fence, self.told, self.control_plane.handle_call)
        pool = BufferPool(kept=4)  # never tight: what is said here is taken in whole
        for place, take in (
            (listen.ready_addr, self.readiness),
            (listen.control_addr, self.control.handle_request),
            (listen.directory_addr, self.directory.take),
        ):
            if place is not None:
                listener = Listener(self.reactor, pool, take)
                self.listeners.append(listener)
                self.reactor.listenTCP(place[1], listener, backlog=256, interface=place[0])
        if listen.front_addr is not None:
            self.reactor.listenTCP(listen.front_addr[1], self.front, backlog=1024, interface=listen.front_addr[0])
        for tick in (self.beat, self.control_plane.start, self.sweep, self.poll, self.tell_busy, self.leases.tick):
            tick()
        say("node", "started", zone=settings.zone, disk=bool(settings.data_directory), initial=settings.initial_start)

    def leave(self) -> None:
        """SIGTERM: out of the directory first, then what is in hand, then gone."""
        if self.leaving:
            return
        self.leaving, self.left_at = True, self.reactor.seconds()
        say("node", "leaving", in_hand=len(self.proxy.calls))
        for listener in self.listeners:
            listener.leaving = True
        now = self.reactor.seconds()
        self.membership.tick(now, self.flags())
        self.leadership.hand_on(first(self._able(now)))
        self.push()
        self.reactor.callLater(0.25 * self.bounds.grace_period, self._leave_when_done)

    def _leave_when_done(self) -> None:
        spent = self.reactor.seconds() - self.left_at
        done = not self.proxy.calls and self.control_plane.monitor.is_released()
        if done and spent > 0.45 * self.bounds.grace_period or spent > self.bounds.grace_period - 0.5:
            say("node", "left", in_hand=len(self.proxy.calls))
            return self.reactor.stop()
        self.reactor.callLater(0.1, self._leave_when_done)

    # -- readiness and the directory -----------------------------------------------------------------------

    def tenants(self) -> int:
        """How many there are."""
        return len(self.proxy.table.tenants) if self.proxy.table is not None else 0

    def may_serve(self) -> bool:
        """What is held is known to have been the newest lately enough."""
        return self.proxy.table is not None and self.in_touch()

    def contact_age(self) -> float:
        """For how long there was no contact with a majority of the core, in seconds."""
        return self.reactor.seconds() - self.control_plane.current_as_of()

    def in_touch(self) -> bool:
        """Whether contact with a majority of the core is younger than what may be done without."""
        life = self.bounds.revoke_timeout if self.bounds.revocation_strict else 4 * self.bounds.revoke_timeout
        return self.contact_age() < life - LEASE_MARGIN_S

    def flags(self) -> int:
        ready = self.may_serve() and not self.leaving and bool(self.endpoints.instances)
        formed = self.control_plane.monitor.can_propose
        return READY * ready | LEAVING * self.leaving | DISK * self.membership.me.disk | FORMED * formed

    def readiness(self, client_conn: ClientConnection, request: Request) -> None:
        client_conn.reply(200 if self.flags() & READY else 503)

    def status(self) -> dict[str, Any]:
        """What else is known here, for people."""
        now, state = self.reactor.seconds(), self.control_plane.state
        formed = (
            self.control_plane.replica.is_voter and not state.former
        )  # until then the next loss may be one too many
        return {
            "node": self.settings.node_name,
            "ready": bool(self.flags() & READY),
            "formed": formed,
            "ingresses": len(self.membership.alive(now)),
            "servers": len(self.endpoints.instances),
            "list": {"holder": connections.host(self.leadership.holder), "term": self.leadership.term},
            "counts": self.proxy.counts,
        }

    # -- heartbeats ----------------------------------------------------------------------------------------

    def _beat(self, reply: bool = False) -> Heartbeat:
        now = self.reactor.seconds()
        listed = self.endpoints
        return Heartbeat(
            self.membership.rows(now),
            self.control_plane.committed.number,
            listed.digest,
            listed.age_ms(now),
            reply,
            self.leadership.term,
            self.leadership.holder,
        )

    def beat(self) -> None:
        self.reactor.callLater(BEAT_S, self.beat)
        now = self.reactor.seconds()
        self.beats += 1
        self.membership.tick(now, self.flags())
        others = self.membership.alive(now)
        beat = self._beat()
        for ip in self.membership.watchers(now, self.near, self.beats, self.beats % FAR_BEATS == 0):
            self.send(ip, beat)
        if len(others) < 3 or self.beats % 8 == 0:
            missing = self.membership.missing(now)
            asked = {connections.number(host) for host, _ in self.settings.seed_nodes}
            if len(others) >= 3:
                asked = {self.rng.choice(sorted(asked | set(missing)))} if asked or missing else set()
            else:
                asked |= set(missing)
            for ip in sorted(asked - {self.membership.me.ip}):
                self.send(ip, self._beat(reply=True))

    def tell_busy(self) -> None:
        """The ingresses of the region know of each other what they have out."""
        self.reactor.callLater(BUSY_S, self.tell_busy)
        told = self.proxy.busy()
        if told is not None:
            told = LoadReport(told.out, told.sick, self.fence.turn())
            for m in self.membership.alive(self.reactor.seconds()):
                if m.ip != self.membership.me.ip and self.settings.zones[self.zones[m.zone]] == self.settings.region:
                    self.send(m.ip, told)

    def push(self) -> None:
        """News for all at once."""
        now = self.reactor.seconds()
        self.membership.tick(now, self.flags())
        beat = self._beat()
        for member in self.membership.alive(now):
            if member.ip != self.membership.me.ip:
                self.send(member.ip, beat)

    def teach(self) -> None:
        """Something new of the operator's word is here: a machine of the core tells its part of the others, those of
        its own zone and whoever else it is the nearest for.
        """
        now = self.reactor.seconds()
        core = [m for m in self.membership.alive(now, DISK)]
        beat = self._beat()
        for member in self.membership.alive(now):
            if not member.disk and self._teacher(member, core) == self.membership.me.ip:
                self.send(member.ip, beat)

    def _teacher(self, member: Member, core: list[Member]) -> int:
        zone, regions = self.zones[member.zone], self.settings.zones

        def far(one: Member) -> tuple[bool, bool, int]:
            other = self.zones[one.zone]
            return regions[other] != regions[zone], other != zone, one.place ^ member.place

        return min(core, key=far, default=self.membership.me).ip

    def told(self, ip: int, message: messages.Datagram) -> None:
        """A datagram has come."""
        now = self.reactor.seconds()
        match message:
            case Heartbeat():
                fresh = self.membership.merge(now, message.rows)
                if message.reply or fresh and self.beats > 0:
                    self.send(ip, self._beat())
                if self.membership.overtaken(ip, message.rows):
                    return  # of its sender something newer is known: its list would seem fresher than it is
                self.control_plane.handle_advertised_number(ip, message.number, now)
                self.leadership.told(message.term, message.holder)
                self._list_news(ip, message, now)
            case StateQuery():
                self.control_plane.handle_state_query(ip, message)
            case StateReport():
                self.control_plane.handle_state_report(ip, message)
            case Chosen():
                self.control_plane.replica.handle_chosen(message)
            case LoadReport() if self.fence.newest(ip, message.turn):
                self.proxy.heard(ip, message, now)
            case VoteRequest():
                if self.leadership.vote(message.term, self._listless(now)):
                    self.send(ip, Vote(message.term))
            case Vote():
                self._granted(ip, message.term)
            case LeaseRequest():
                if (answer := self.leases.answer(ip, message)) is not None:
                    self.send(ip, answer)
            case LeaseGrant():
                self.leases.told(ip, message)
            case CounterIncrement() | CounterValue() | CounterSync():
                self.quota_client.told(ip, message)

    def _list_news(self, ip: int, beat: Heartbeat, now: float) -> None:
        fetched = now - beat.list_age_ms / 1000
        if not beat.list_digest or fetched <= self.endpoints.fetched + 0.05:
            return
        if beat.list_digest == self.endpoints.digest:
            self.endpoints.same_at(self.membership.told_at - beat.list_age_ms / 1000, beat.list_digest)
        else:
            self.control_plane.fetch(ip, servers=True, state=False)

    # -- the operator's word -------------------------------------------------------------------------------

    def apply(self, before: State | None) -> None:
        """Put what is held in force."""
        state, body = self.control_plane.state, self.control_plane.committed.body
        self.fence.system = state.system
        if body is not None and (before is None or before.config != state.config or self.proxy.table is None):
            try:
                table = Table(read_config(body))
            except ConfigurationError as err:
                return say("archive", "held configuration cannot be read", error=str(err))
            self.proxy.table = table
            self.front.idle_s, self.front.header_s = table.limits.idle_timeout, table.limits.header_timeout
            self.front.max_header, self.front.max_body = table.limits.max_header_bytes, table.limits.max_body_bytes
            say("archive", "configuration in force", version=table.version)
        self.proxy.evacuated = set(state.evacuated)
        for zone, _ in {*state.changed} - {*(before.changed if before is not None else ())}:
            if zone not in state.evacuated:
                self.proxy.taken_back(zone)  # also where its beginning was never heard of

    def give_list(self) -> tuple[bytes, int]:
        """The list of servers and its age, for another ingress."""
        now = self.reactor.seconds()
        return (self.endpoints.body, self.endpoints.age_ms(now)) if self.endpoints.digest else (b"", 0)

    def take_list(self, fetched: float, body: bytes) -> None:
        """The list as another ingress has it."""
        if self.endpoints.take_body(fetched, body):
            self.proxy.refresh()

    # -- the platform's list -------------------------------------------------------------------------------

    def poll(self) -> None:
        """One ingress asks the platform for all; who hears nothing new for long asks itself."""
        now = self.reactor.seconds()
        empty = not self.endpoints.digest
        every = FIRST_S if empty else EVERY_S
        self.reactor.callLater(every * self.rng.uniform(0.9, 1.1), self.poll)
        if self.leaving:
            return
        able = self._able(now)
        next_one = first(able) == self.membership.me.ip
        known = self.control_plane.committed.voters() or now - self.started > UNKNOWN_S
        if next_one and known and self._listless(now):
            self._claim()
        elif self.leadership.mine and not next_one:
            self.leadership.hand_on(first(able))  # the core first: all fetch the list from its holder
        age = now - self.endpoints.fetched
        alone = age > STALE_S and now - self.started > 2 * FIRST_S and self.rng.random() < 2 / (1 + len(able))
        second = age > SECOND_S and first(m for m in able if m.ip != self.leadership.holder) == self.membership.me.ip
        asks = self.leadership.mine or next_one or second or alone
        if asks and now - self.started > FIRST_S / 2:
            self.platform.fetch()

    def _able(self, now: float) -> list[Member]:
        return [m for m in self.membership.alive(now) if not m.flags & LEAVING]

    def _listless(self, now: float) -> bool:
        """The holder of the list is not among those that could ask for it."""
        return self.leadership.holder not in {m.ip for m in self._able(now)}

    def _claim(self) -> None:
        term = self.leadership.claim()
        for ip in self._voters():
            if ip != self.membership.me.ip:
                self.send(ip, VoteRequest(term))
            elif self.leadership.vote(term, True):
                self._granted(ip, term)

    def _voters(self) -> list[int]:
        """The core; without one, all there are."""
        return self.control_plane.committed.voters() or sorted(self.membership.members)

    def _granted(self, by: int, term: int) -> None:
        if self.leadership.granted(term, by, self._voters()):
            say("custody", "has the list", term=term)
            self.platform.fetch()

    def listed(self, changed: bool) -> None:
        """The platform has answered."""
        if changed:
            self.proxy.refresh()
            self.push()

    # -- once in a while -----------------------------------------------------------------------------------

    def sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self.sweep)
        now = self.reactor.seconds()
        for listener in self.listeners:
            listener.sweep(now)
        most = 2
        if self.proxy.table is not None:
            least = min((s.max_connections for s in self.proxy.table.services.values()), default=100)
            most = max(1, least // (3 * max(1, len(self.membership.members))))
        self.servers.sweep(list(self.proxy.targets.values()), now, most)
        self.reread()
        unbelieved = self.fence.news()
        if unbelieved:
            say("courier", "not believed", **unbelieved)

    def reread(self) -> None:
        """The settings file may have changed, with or without a signal."""
        try:
            settings = self.reload_settings()
        except (SettingsError, OSError):
            return
        if settings.seed_nodes != self.settings.seed_nodes:
            self.settings = self.settings.model_copy(update={"seed_nodes": settings.seed_nodes})
            say("register", "seeds exchanged", seeds=len(settings.seed_nodes))


_read: dict[str, Any] = {}


def load_settings() -> Settings:
    """The settings file that `MAPLELINE_CONFIG` names; parsed again only if its text differs."""
    path = os.environ.get("MAPLELINE_CONFIG")
    if not path:
        raise SettingsError("MAPLELINE_CONFIG: not set; it names the settings file")
    text = Path(path).read_text()
    if _read.get("text") != text:
        _read["boot"], _read["text"] = read_settings(text), text
    return _read["boot"]


def main() -> int:
    """The role `desk`: all that one ingress of the system is."""
    try:
        settings = load_settings()
    except (SettingsError, OSError) as err:
        sys.stderr.write(f"mapleline: {err}\n")
        return 2
    from .reactor import install

    reactor = install()
    configure(settings.node_name)
    from twisted.python import log as twisted_log

    def fault(event: dict) -> None:
        if event.get("isError"):
            failure = event.get("failure")
            say("node", "fault", trace=failure.getTraceback() if failure else str(event.get("message")))

    twisted_log.addObserver(fault)
    node = Node(reactor, settings)

    def term(*_: object) -> None:
        reactor.callFromThread(node.leave)

    def hup(*_: object) -> None:
        reactor.callFromThread(node.reread)

    reactor.callWhenRunning(node.start)
    for number, taken in ((signal.SIGTERM, term), (signal.SIGINT, term), (signal.SIGHUP, hup)):
        reactor.callWhenRunning(signal.signal, number, taken)
    reactor.run(installSignalHandlers=False)
    return 0
