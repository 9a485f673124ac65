"""Which ingresses exist: counts of heartbeats that travel round a ring (pure; time is an argument).

Each ingress counts its own beats and sends its whole table to a few watchers, named by its place on the ring.
A row is known by the address, carries an incarnation (a restart is another) and the age of the newest beat, so
that news that came by detours is as old as it is.  Rows of the voters stay.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from math import log2
from zlib import crc32

ROW = struct.Struct("<IIIBBH")  # address, incarnation, count, zone, flags, age in 10 ms
READY, LEAVING, DISK, FORMED = 1, 2, 4, 8
OLD = 0xFFFF
FORGET_S = 60.0
BEATS_KNOWN = 200
MISSED = 2.75  # beats
TOP = 0xFFFFFFFF
STRANGERS = 256  # no members yet, whose incarnation is known nevertheless


@dataclass(slots=True)
class Member:
    """One ingress as it is known here."""

    ip: int
    zone: int
    flags: int
    incarnation: int = 0
    count: int = 0
    beat: float = -1e9  #: when its newest known beat was sent, on this ingress's clock

    @property
    def disk(self) -> bool:
        return bool(self.flags & DISK)

    @property
    def place(self) -> int:
        """On the ring; the same everywhere."""
        return crc32(self.ip.to_bytes(4, "big"))


class MembershipTable:
    """The table of one ingress."""

    def __init__(self, me: Member, beat_s: float) -> None:
        self.me, self.beat_s = me, beat_s
        self.members: dict[int, Member] = {me.ip: me}
        self.pinned: set[int] = set()  #: who is not forgotten: the voters
        self.strangers: dict[int, int] = {}  #: incarnations of who has sent something and is in no table yet
        self.beats: dict[int, float] = {}  #: when each of our own newest was made, by count
        self.told_at = -1e9  #: the table that was merged last is no older than this

    @property
    def silent_s(self) -> float:
        """After which it is taken for lost: the beats that its newest is on its way, and some that got lost."""
        return self.beat_s * (MISSED + log2(max(2, len(self.members))) / 2)

    def know(self, ip: int, zone: int, flags: int) -> None:
        """A member from an earlier life's record: not alive until it is heard of."""
        self.members.setdefault(ip, Member(ip, zone, flags))

    # -- incarnations --------------------------------------------------------------------------------------

    def incarnation(self, ip: int) -> int:
        """The newest one known of an ingress, 0 if none is."""
        m = self.members.get(ip)
        return m.incarnation if m is not None else self.strangers.get(ip, 0)

    def life(self, ip: int) -> int:
        """One number for an ingress in its newest known life: address and incarnation."""
        return ip << 32 | self.incarnation(ip)

    def learn(self, ip: int, incarnation: int) -> None:
        """It has sent something in that life.  Of a new one no beat has come yet: it is neither ready nor leaving by
        what the earlier one said.
        """
        m = self.members.get(ip)
        if m is None:
            if ip not in self.strangers and len(self.strangers) >= STRANGERS:
                del self.strangers[next(iter(self.strangers))]
            self.strangers[ip] = max(incarnation, self.strangers.get(ip, 0))
        elif incarnation > m.incarnation and m is not self.me:
            m.incarnation, m.count, m.flags = incarnation, 0, m.flags & (DISK | FORMED)

    def outdo(self, incarnation: int, count: int = 0) -> None:
        """Another has seen that life of ours.  A clock set back must not make this one the older; and of this one
        nobody can know a later beat than we have sent.
        """
        if (incarnation, count) > (self.me.incarnation, self.me.count):
            self.me.incarnation = min(TOP, incarnation + 1)

    # -- beats ---------------------------------------------------------------------------------------------

    def overtaken(self, ip: int, rows: bytes) -> bool:
        """Whether a newer beat of its sender is known than the one that this table came with."""
        m = self.members.get(ip)
        if m is None or len(rows) < ROW.size:
            return False
        sender, incarnation, count, *_ = ROW.unpack_from(rows)  # the sender's own row is the first
        return sender == ip and (incarnation, count) < (m.incarnation, m.count)

    def tick(self, now: float, flags: int) -> None:
        """A beat of our own."""
        self.me.count += 1
        self.me.beat, self.me.flags = now, flags
        self.beats[self.me.count] = now
        self.beats.pop(self.me.count - BEATS_KNOWN, None)
        for ip in [m.ip for m in self.members.values() if m.ip not in self.pinned and now - m.beat > FORGET_S]:
            if ip != self.me.ip:
                del self.members[ip]

    def rows(self, now: float) -> bytes:
        """The whole table as bytes."""
        out = []
        for m in self.members.values():
            age = min(OLD, max(0, int((now - m.beat) * 100)))
            out.append(ROW.pack(m.ip, m.incarnation, m.count, m.zone, m.flags, age))
        return b"".join(out)

    def merge(self, now: float, rows: bytes) -> bool:
        """Take in another's table; says whether a member appeared or came back.

        `told_at`: it may have waited on its way, or here, for long.  It holds one of our own beats and that one's age
        there, which is the true one less what it waited on its way: so much later than that beat it was sent, or more.
        """
        fresh, self.told_at = False, -1e9
        for ip, incarnation, count, zone, flags, age in ROW.iter_unpack(rows):
            m = self.members.get(ip)
            if ip == self.me.ip:
                if incarnation == self.me.incarnation and age < OLD:
                    self.told_at = min(now, self.beats.get(count, -1e9) + age / 100)
                self.outdo(incarnation, count)
                continue
            if m is None:
                m = self.members[ip] = Member(ip, zone, flags & DISK, self.strangers.pop(ip, 0))
                fresh = True
            if (incarnation, count) > (m.incarnation, m.count):
                fresh |= now - m.beat > self.silent_s
                if incarnation > m.incarnation or not m.beat > now - age / 100:
                    m.beat = now - age / 100
                m.incarnation, m.count, m.zone, m.flags = incarnation, count, zone, flags
        return fresh

    def alive(self, now: float, flags: int = 0) -> list[Member]:
        """Members heard of lately that have all of these flags, this one included."""
        return [m for m in self.members.values() if now - m.beat <= self.silent_s and m.flags & flags == flags]

    def alone(self, now: float) -> float:
        """All that were heard of in the last minute over those heard of lately, where these are no more than half:
        behind a cut, the others are there as well and let in what they would.  Else 1.
        """
        known = sum(1 for m in self.members.values() if now - m.beat <= FORGET_S and not m.flags & LEAVING)
        lately = max(1, len(self.alive(now)))  # who was frozen does not hear of itself
        return known / lately if 2 * lately <= known else 1.0

    def watchers(self, now: float, near: set[int], beat: int, far: bool) -> list[int]:
        """To whom that beat goes: on the ring of the near zones two of those that lie 1, 2, 4, ... places further, by
        turns, so that news is everywhere after about as many beats as the ring can be halved; and, where `far`, the
        next of all the others.  Links between regions are dear.
        """
        ring = sorted((m for m in self.alive(now) if m.zone in near), key=lambda m: (m.place, m.ip))
        turns = max(1, len(ring).bit_length() - 1)
        found = self._next(ring, {1 << beat % turns, 1 << (beat + turns // 2) % turns})
        if far:
            others = [m for m in self.alive(now) if m.zone not in near] + [self.me]
            found += self._next(sorted(others, key=lambda m: (m.place, m.ip)), {1})
        return found

    def _next(self, ring: list[Member], steps: set[int]) -> list[int]:
        at = next((n for n, m in enumerate(ring) if m.ip == self.me.ip), 0)
        n = len(ring)
        return [ring[(at + step) % n].ip for step in sorted(steps) if n and (at + step) % n != at]

    def missing(self, now: float) -> list[int]:
        """Members not heard of lately: asked now and then, for a cut may have ended."""
        return sorted(m.ip for m in self.members.values() if now - m.beat > self.silent_s)
