"""Which ingresses exist: counts of heartbeats that travel round a ring (pure; time is an argument).

Each ingress counts its own beats and sends its whole table to a few watchers, named by its place on the ring.
A row is known by the address, carries an incarnation (a restart is another) and the age of the newest beat, so
that news that came by detours is as old as it is.  Rows of machines with a disk stay for good: they are the core.
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
MISSED = 2.75  # beats


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


class Register:
    """The table of one ingress."""

    def __init__(self, me: Member, beat_s: float) -> None:
        self.me, self.beat_s = me, beat_s
        self.members: dict[int, Member] = {me.ip: me}

    @property
    def silent_s(self) -> float:
        """After which it is taken for lost: the beats that its newest is on its way, and some that got lost."""
        return self.beat_s * (MISSED + log2(max(2, len(self.members))) / 2)

    def know(self, ip: int, zone: int, flags: int) -> None:
        """A member from an earlier life's record: not alive until it is heard of."""
        self.members.setdefault(ip, Member(ip, zone, flags))

    def tick(self, now: float, flags: int) -> None:
        """A beat of our own."""
        self.me.count += 1
        self.me.beat, self.me.flags = now, flags
        for ip in [m.ip for m in self.members.values() if not m.disk and now - m.beat > FORGET_S]:
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
        """Take in another's table; says whether a member appeared or came back."""
        fresh = False
        for ip, incarnation, count, zone, flags, age in ROW.iter_unpack(rows):
            m = self.members.get(ip)
            if ip == self.me.ip:
                if incarnation > self.me.incarnation:  # a clock set back: ours must be the newest
                    self.me.incarnation = incarnation + 1
                continue
            if m is None:
                m = self.members[ip] = Member(ip, zone, flags & DISK)
                fresh = True
            if (incarnation, count) > (m.incarnation, m.count):
                fresh |= now - m.beat > self.silent_s
                if incarnation > m.incarnation or not m.beat > now - age / 100:
                    m.beat = now - age / 100
                m.incarnation, m.count, m.zone, m.flags = incarnation, count, zone, flags
        return fresh

    def alive(self, now: float, flags: int = 0) -> list[Member]:
        """Members heard of lately that have all of these flags, this one included."""
        return [m for m in self.members.values()
                if now - m.beat <= self.silent_s and m.flags & flags == flags]  # fmt: skip

    def alone(self, now: float) -> float:
        """All that were heard of in the last minute over those heard of lately, where these are no more than half:
        behind a cut, the others are there as well and let in what they would.  Else 1.
        """
        known = sum(1 for m in self.members.values() if now - m.beat <= FORGET_S and not m.flags & LEAVING)
        lately = max(1, len(self.alive(now)))  # who was frozen does not hear of itself
        return known / lately if 2 * lately <= known else 1.0

    def core(self) -> list[int]:
        """Machines with a disk, alive or not."""
        return sorted(m.ip for m in self.members.values() if m.disk)

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
