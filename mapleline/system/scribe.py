"""Keeps the operator's word: drives a `Seat` with the disk, the other ingresses and the clock."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, gatherResults

from . import courier, messages
from .archive import REMOVED, Entry, Mark, digests, range_of
from .log import say
from .messages import Compare, Differ, Held, Probe, Pull, Pulled, Store, Stored
from .register import DISK, FORMED, Register
from .seat import Put, Seat
from .settings import Boot
from .shelf import CoreNote
from .ways import Ways

PROBE_S, PROBE_HASTE_S, RELAYS = 1.0, 0.15, 2
CALL_S = 1.5
WANTING_S = 0.6  # a beat, and the way from the core
MEND_S = 5.0
REPAIR_MOST = 16  # registers fetched at once in a repair


class Scribe:
    """`in_force(key)` is called when something newer is held, `teach()` tells who learns of it here; lists travel
    along.
    """

    def __init__(
        self, reactor: Any, boot: Boot, ways: Ways, register: Register, rng: random.Random,
        in_force: Callable[[str | None], None], teach: Callable[[], None], give_list: Callable[[], tuple[bytes, int]],
        take_list: Callable[[float, bytes], None],
    ) -> None:  # fmt: skip
        self.reactor, self.boot, self.ways, self.register, self.rng = reactor, boot, ways, register, rng
        self.in_force, self.teach, self.give_list, self.take_list = in_force, teach, give_list, take_list
        self.send, self.started = ways.send, reactor.seconds()
        losses = boot.fault_tolerance.machine_losses
        self.seat = Seat(register.me.ip, bool(boot.data_directory), losses, boot.initial_start)
        self.word, self.lease = self.seat.word, self.seat.lease
        self.shelf, self.history = ways.shelf(), ways.history()
        self.disk_fault: str | None = None  #: why the disk last refused, until it takes something
        self.waiting: list[tuple[float, Deferred]] = []
        self.pulling: set[str] = set()
        self.wanting: dict[str, float] = {}  #: registers of which there is something newer, and since when
        self.nonce = rng.getrandbits(30)
        self.core_seen = (0, self.started)

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
        self.in_force(None)

    def core_news(self, now: float) -> None:
        """The register may know of more machines with a disk."""
        self.seat.count(self.register.core())
        if len(self.seat.seen) != self.core_seen[0]:
            self.core_seen = (len(self.seat.seen), now)

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
        self.core_news(now)
        asked = self.seat.core()
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
            self.send(ip, Probe(self.nonce))

    def held(self, ip: int, held: Held) -> None:
        """What another one holds; fetched first where we lack it."""
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
        now, core, seat = self.reactor.seconds(), self.seat.core(), self.seat
        zones = {m.zone for m in self.register.members.values() if m.disk}
        if seat.formed:
            if set(core) - set(seat.noted):
                self._note(core)
        elif seat.may_found(now - self.started, now - self.core_seen[1], len(zones) == len(self.boot.zones)):
            self._note(core)
        elif seat.may_join(self.started):
            entries = list(self.word.entries.values())
            done = self.ways.in_thread(lambda: [self.shelf.save(entry) for entry in entries])
            done.addCallbacks(lambda _: (self._saved(entries), self._note(core)), self._disk_fault)

    def _note(self, core: list[int]) -> None:
        members = self.register.members
        note = CoreNote([(ip, members[ip].zone if ip in members else 0) for ip in core])

        def noted(_: object) -> None:
            if not self.seat.formed:
                say("archive", "formed", core=len(core))
            self.seat.formed, self.seat.noted = True, core

        self.ways.in_thread(self.shelf.save_core, note).addCallbacks(noted, self._disk_fault)

    def _saved(self, entries: list[Entry]) -> None:
        for entry in entries:
            self.seat.kept(entry)

    def _disk_fault(self, reason: Any) -> None:
        self.disk_fault = reason.getErrorMessage()
        say("archive", "disk refused", error=self.disk_fault)

    def called(self, call: messages.Call) -> Any:
        match call:
            case Store():
                self.take_entry(call.entry)
                return self.keep(call.entry) if self.seat.current(call.marked) else Stored(False)
            case Compare():
                ours = digests(self.seat.durable)
                apart = {n for n, pair in enumerate(zip(call.digests, ours, strict=False)) if pair[0] != pair[1]}
                return Differ([mark for mark in self.word.marks() if range_of(mark.key) in apart])
            case Pull():
                entries = [e for key in call.keys if (e := self.word.entries.get(key)) is not None]
                return Pulled(entries, *self.give_list()) if call.servers else Pulled(entries)

    def keep(self, entry: Entry) -> Any:
        """Synced to this machine's disk, or something newer is: a reply or a Deferred of one."""
        if self.shelf is None or self.seat.founding:
            return Stored(False)
        if self.seat.has_kept(entry):
            return Stored(self.seat.takes)

        def kept(_: object) -> Stored:
            self.disk_fault = None
            self._saved([entry])
            return Stored(self.seat.takes)

        def refused(reason: Any) -> Stored:
            self._disk_fault(reason)
            return Stored(False)

        return self.ways.in_thread(self.shelf.save, entry).addCallbacks(kept, refused)

    def take_entry(self, entry: Entry) -> bool:
        """News of the operator's word, from wherever."""
        if not self.word.offer(entry):
            return False
        if entry.key.startswith(REMOVED):
            self.seat.count(())
            say("register", "taken away from the core", machine=courier.host(int(entry.key.removeprefix(REMOVED))))
        self.in_force(entry.key)
        if self.shelf is not None:
            self.teach()
        if self.history is not None:
            self.recall(self.history.keep, self.ways.unix(), entry)
        return True

    def recall(self, work: Callable[..., Any], *with_: Any) -> Deferred:
        """Something of the history, which may be refused without harm."""
        def refused(reason: Any) -> None:
            reason.trap(OSError)
            say("archive", "history refused", error=reason.getErrorMessage())

        return self.ways.in_thread(work, *with_).addErrback(refused)

    def put(self, entry: Entry, timeout_s: float) -> Deferred:
        """Fires with whether the entry, or what outranks it, stands on a write quorum."""
        done: Deferred = Deferred()
        self.seat.count(self.register.core())
        need = self.seat.quorum()
        if sum(self._formed(ip) for ip in self.seat.core()) < need:
            done.callback(False)  # nobody knows yet how many the core are
            return done
        end = self.reactor.seconds() + timeout_s
        self.take_entry(entry)
        core = self.seat.core()  # without the one that the entry itself takes away
        put = Put(need)

        def stored(reply: Any, ip: int) -> None:
            if isinstance(reply, Stored) and reply.ok:
                again = put.stored(ip, self.reactor.seconds(), self.seat.core())
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
                reply = self.ways.call(ip, Store(entry, len(self.word.removed(1))), CALL_S)
            reply.addBoth(stored, ip)

        def late() -> None:
            if not done.called:
                done.callback(False)

        for ip in core:
            store(ip)
        self.reactor.callLater(timeout_s, late)
        return done

    def forget(self, ip: int, timeout_s: float) -> Deferred:
        """Take a machine of the core away for good (`seat.py` has the steps); fires with whether it is done."""
        key = f"{REMOVED}{ip}"

        def marked(kept: bool) -> Any:
            return self.confirm(timeout_s) if kept else False

        def read(known: bool) -> Any:
            if not known:
                return False
            puts = [self.put(entry, timeout_s) for entry in list(self.word.entries.values())]
            return gatherResults(puts, consumeErrors=True).addCallback(all)

        def written(all_kept: bool) -> Any:
            return self.put(Entry(key, 2, "", b"removed"), timeout_s) if all_kept else False

        if self.word.stamp(key)[0] >= 2:
            return self.put(self.word.entries[key], timeout_s)
        done = self.put(Entry(key, 1, "", b"marked"), timeout_s)
        return done.addCallback(marked).addCallback(read).addCallback(written)

    def _formed(self, ip: int) -> bool:
        member = self.register.members.get(ip)
        return member is not None and member.flags & FORMED > 0

    # -- repair ---------------------------------------------------------------------------------------------

    def mend(self) -> None:
        """Once in a while: what is held and not lasting is written again, one file that lies still is read, and one
        other copy is compared with.
        """
        self.reactor.callLater(MEND_S * self.rng.uniform(0.9, 1.1), self.mend)
        if self.shelf is None or not self.seat.formed:
            return
        for entry in self.seat.lags():
            self.keep(entry)
        if self.disk_fault is None:
            self.ways.in_thread(self.shelf.scrub).addCallbacks(self._scrubbed, self._disk_fault)
        others = [ip for ip in self.seat.core() if ip != self.register.me.ip]
        if others:
            other = self.rng.choice(others)
            asked = self.ways.call(other, Compare(digests(self.seat.durable)), CALL_S)
            asked.addCallbacks(lambda reply: self._differs(other, reply), lambda _: None)

    def _scrubbed(self, key: str | None) -> None:
        """A file that could not be believed is written anew from what is held."""
        entry = self.word.entries.get(key) if key is not None else None
        if entry is not None:
            say("archive", "bad file mended", key=key)
            self.seat.durable.pop(key, None)
            self.keep(entry)

    def _differs(self, ip: int, reply: Any) -> None:
        lacking = self.word.lacks(reply.marks)[:REPAIR_MOST] if isinstance(reply, Differ) else []
        if lacking:
            self.pull(ip, lacking)

    def heard_of(self, ip: int, marks: list[Mark], now: float) -> None:
        """Another one holds that.  What is newer is fetched from the core; from others only after a while, or where no
        machine of the core is heard of: a thin link must not carry a large configuration to all.
        """
        lacking = self.word.lacks(marks)
        if not lacking:
            return self.wanting.clear()
        first = min([self.wanting.setdefault(key, now) for key in lacking])
        member = self.register.members.get(ip)
        known = [m for m in self.register.alive(now, DISK) if m.ip != self.register.me.ip]
        if member is not None and member.disk or not known or now - first > WANTING_S:
            self.pull(ip, lacking)

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
                self.take_list(asked - reply.list_age_ms / 1000, reply.list_body)
            if then is not None:
                then()

        self.ways.call(ip, Pull(keys, servers), CALL_S).addBoth(pulled)
