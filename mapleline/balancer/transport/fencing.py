"""What a process stamps on what it sends to other ingresses, and what it believes of what comes (pure).

Every datagram and call carries the system's identity, the sender's incarnation and the wanted receiver's, 0 where one
is not known.  Who gets something meant for another life of it, or from a life that it knows to be over, believes
nothing of it and sends back the bare stamps, which tell the sender what it has wrong: that is all a refusal is.

A call carries a number and its caller's address besides; the reply echoes both stamps and number.  All kinds of
messages and what holds for each: docs/design/fencing.md.
"""

from __future__ import annotations

import struct
from collections import Counter
from dataclasses import dataclass
from zlib import crc32

import msgspec

from ..membership.table import MembershipTable
from . import messages

STAMPS = struct.Struct("<III")  #: of a datagram: system, incarnation of the sender, of the wanted receiver
CALL = struct.Struct("<IIIII")  #: of a call and a reply: the same, the call's number, the sender's address
TO_ANY_LIFE = messages.Heartbeat  #: what teaches incarnations must come through to a receiver that has a new one


class UnexpectedReplyError(Exception):
    """A reply that is not the answer to the call that is out; the text says why."""


@dataclass(slots=True)
class Outstanding:
    """A call that is out: whom it asks, in which of its lives (0: any)."""

    ip: int
    wanted: int
    number: int
    over: bool = False  #: something came back for it: nothing more is believed


@dataclass(slots=True)
class Taken:
    """A call that has come.  Without a message it is not carried out, and `refusal` is all that is sent back."""

    message: messages.Call | None
    refusal: bytes = b""
    ip: int = 0
    incarnation: int = 0
    number: int = 0


class Fence:
    """One process's.  It learns incarnations from what it lets in; the register keeps them."""

    def __init__(self, membership: MembershipTable, system: int = 0) -> None:
        self.membership, self.me = membership, membership.me
        self.system = system  #: the identity agreed on when the core was founded, 32 bits; 0 until it is known
        self.dropped: Counter[str] = Counter()  #: what was not believed, by why
        self._said = 0
        # callers that began at one moment have one incarnation: their numbers differ
        self._number = crc32(b"%d %d" % (self.me.ip, self.me.incarnation))
        self._turn = 0
        self._turns: dict[int, tuple[int, int]] = {}  #: the newest turn of each sender, and in which life

    # -- datagrams -----------------------------------------------------------------------------------------

    def seal(self, ip: int, message: messages.Datagram) -> bytes:
        """A datagram as it goes out."""
        wanted = 0 if isinstance(message, TO_ANY_LIFE) else self.membership.incarnation(ip)
        return STAMPS.pack(self.system, self.me.incarnation, wanted) + messages.encode(message)

    def open(self, ip: int, data: bytes) -> tuple[messages.Datagram | None, bytes | None]:
        """A datagram has come: what is believed of it, and what is sent back at once, if anything."""
        if len(data) < STAMPS.size:
            return self._drop("short"), None
        system, incarnation, wanted = STAMPS.unpack_from(data)
        refusal = len(data) == STAMPS.size
        why = self._why_not(ip, system, incarnation, 0 if refusal else wanted)
        if refusal:
            if why is None:
                self.membership.outdo(wanted)
            return self._drop(why or "refused"), None
        if why is not None:
            return self._drop(why), self._refusal(ip) if why != "system" else None
        try:
            return messages.decode_datagram(memoryview(data)[STAMPS.size :]), None
        except msgspec.DecodeError:
            return self._drop("undecodable"), None

    def _why_not(self, ip: int, system: int, incarnation: int, wanted: int) -> str | None:
        """Why nothing of this is believed, or None; either way its sender's newest incarnation is known then."""
        if system and self.system and system != self.system:
            return "system"
        if incarnation < self.membership.incarnation(ip):
            return "older"
        self.membership.learn(ip, incarnation)
        if wanted and wanted != self.me.incarnation:
            self.membership.outdo(wanted)  # a clock set back: another life of ours was newer than we are
            return "not_me"
        return None

    def _refusal(self, ip: int) -> bytes:
        return STAMPS.pack(self.system, self.me.incarnation, self.membership.incarnation(ip))

    def _drop(self, why: str) -> None:
        self.dropped[why] += 1

    # -- what is told again and again ----------------------------------------------------------------------

    def turn(self) -> int:
        """Numbers what is told again and again, and replaces what was told before."""
        self._turn += 1
        return self._turn

    def newest(self, ip: int, turn: int) -> bool:
        """Whether nothing newer has come from there: an overtaken one or a double is not believed."""
        key = self.membership.incarnation(ip), turn
        if key <= self._turns.get(ip, (-1, 0)):
            self._drop("overtaken")
            return False
        self._turns[ip] = key
        return True

    # -- calls ---------------------------------------------------------------------------------------------

    def request(self, ip: int, message: messages.Call) -> tuple[Outstanding, bytes]:
        """A call as it goes out."""
        self._number = (self._number + 1) & 0xFFFFFFFF
        call = Outstanding(ip, self.membership.incarnation(ip), self._number)
        stamps = CALL.pack(self.system, self.me.incarnation, call.wanted, call.number, self.me.ip)
        return call, stamps + messages.encode(message)

    def take(self, data: bytes) -> Taken:
        """A call has come."""
        if len(data) < CALL.size:
            return Taken(self._drop("short"))
        system, incarnation, wanted, number, ip = CALL.unpack_from(data)
        why = self._why_not(ip, system, incarnation, wanted)
        if why == "system":
            return Taken(self._drop(why))
        if why is not None:
            known = self.membership.incarnation(ip)
            return Taken(self._drop(why), CALL.pack(self.system, self.me.incarnation, known, number, self.me.ip))
        try:
            return Taken(messages.decode_call(memoryview(data)[CALL.size :]), b"", ip, incarnation, number)
        except msgspec.DecodeError:
            return Taken(self._drop("undecodable"))

    def reply(self, taken: Taken, reply: messages.Reply) -> bytes:
        """The answer to a call that was taken."""
        stamps = CALL.pack(self.system, self.me.incarnation, taken.incarnation, taken.number, self.me.ip)
        return stamps + messages.encode(reply)

    def believe(self, call: Outstanding, data: bytes) -> messages.Reply:
        """The answer to the call that is out; raises `Unbelieved` for anything else.  One answer a call."""
        why = self._why_not_reply(call, data)
        call.over = True
        if why is None:
            try:
                return messages.decode_reply(memoryview(data)[CALL.size :])
            except msgspec.DecodeError:
                why = "undecodable"
        self._drop(why)
        raise UnexpectedReplyError(why)

    def _why_not_reply(self, call: Outstanding, data: bytes) -> str | None:
        if call.over:
            return "surplus"
        if len(data) < CALL.size:
            return "short"
        system, incarnation, wanted, number, ip = CALL.unpack_from(data)
        if (number, ip) != (call.number, call.ip):
            return "other_call"
        why = self._why_not(ip, system, incarnation, 0)
        if why is not None:
            return why
        if len(data) == CALL.size:
            self.membership.outdo(wanted)
            return "refused"
        if wanted != self.me.incarnation:
            return "not_me"
        return "other_life" if call.wanted not in (0, incarnation) else None

    def news(self) -> dict[str, int]:
        """What was not believed in all this life, if that is more than was last told."""
        total = self.dropped.total()
        fresh, self._said = total > self._said, total
        return dict(self.dropped) if fresh else {}
