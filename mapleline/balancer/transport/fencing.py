"""Which messages of other ingresses a process accepts, by the stamps on them (pure).

Every message carries the system's identity, the sender's incarnation and the one of the receiver that it is meant for,
0 where these are not known.  Who gets a message for another incarnation of itself, or from one that it knows to be
over, drops it and sends back the bare stamps: this refusal tells the sender what it has wrong.  Calls carry a number
and the caller's address as well, which the reply repeats.  Message by message: docs/design/fencing.md.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

import msgspec

from . import messages
from .errors import DropReason, UnexpectedReplyError
from .stamps import CALL_STAMPS_BYTES, DATAGRAM_STAMPS_BYTES, CallStamps, DatagramStamps

if TYPE_CHECKING:
    from ..membership.table import MembershipTable

ANY_INCARNATION = 0  #: in the place of the receiver's
_UINT32_MASK = 0xFFFFFFFF


class ReceivedDatagram(NamedTuple):
    """What is to be done with a datagram that has come."""

    message: messages.Datagram | None  #: to be handled; None if it was dropped
    refusal: bytes | None = None  #: to be sent back at once


@dataclass(slots=True)
class OutstandingCall:
    """A call that was sent and has no reply yet.

    Attributes:
        ip: Whom it asks.
        receiver_incarnation: The one it asks; `ANY_INCARNATION` if none was known.
        call_number: Its number.
        has_reply: Something came back for it: any more is dropped.
    """

    ip: int
    receiver_incarnation: int
    call_number: int
    has_reply: bool = False


@dataclass(slots=True)
class ReceivedCall:
    """A call that has come.

    Attributes:
        message: To be carried out; None if the call was dropped.
        refusal: What is sent back for a dropped call; empty if the connection is to be closed without an answer.
        caller_ip: Who calls.
        caller_incarnation: The caller's incarnation.
        call_number: The caller's number of the call.
    """

    message: messages.Call | None
    refusal: bytes = b""
    caller_ip: int = 0
    caller_incarnation: int = 0
    call_number: int = 0


class Fence:
    """The fence of one process: stamps what goes out, accepts or drops what comes in.

    It learns the incarnations of senders from what it accepts; the membership table keeps them.

    Attributes:
        system_id: The identity agreed on when the system was founded, 32 bits; 0 until it is known.
        dropped: What was dropped since the start, counted by reason.
        membership: Keeps the incarnations.
    """

    def __init__(self, membership: MembershipTable, system_id: int = 0) -> None:
        """Start with nothing dropped."""
        self.system_id = system_id
        self.dropped: Counter[DropReason] = Counter()
        self.membership = membership
        self._local_member = membership.local_member
        self._reported_drops = 0
        # Processes that started at one moment share an incarnation: their call numbers must differ.
        self._call_number = crc32(b"%d %d" % (self._local_member.ip, self._local_member.incarnation))
        self._sequence = 0
        self._last_sequences: dict[int, tuple[int, int]] = {}  #: by sender: incarnation and sequence number

    # -- datagrams -----------------------------------------------------------------------------------------

    def stamp_datagram(self, ip: int, message: messages.Datagram) -> bytes:
        """Return a datagram as it goes out to an ingress."""
        # Heartbeats teach incarnations, so they must come through to a receiver that has a new one.
        is_for_any = isinstance(message, messages.Heartbeat)
        receiver_incarnation = ANY_INCARNATION if is_for_any else self.membership.incarnation(ip)
        return self._datagram_stamps(receiver_incarnation) + messages.encode(message)

    def receive_datagram(self, ip: int, data: bytes) -> ReceivedDatagram:
        """Accept or drop a datagram that came from an address."""
        if len(data) < DATAGRAM_STAMPS_BYTES:
            return self._drop_datagram(DropReason.TRUNCATED)
        stamps = DatagramStamps.decode(data)
        if len(data) == DATAGRAM_STAMPS_BYTES:
            return self._drop_datagram(self._receive_refusal(ip, stamps))
        reason = self._check_stamps(ip, stamps, stamps.receiver_incarnation)
        if reason is DropReason.FOREIGN_SYSTEM:
            return self._drop_datagram(reason)
        if reason is not None:
            return self._drop_datagram(reason, self._refusal(ip))
        try:
            return ReceivedDatagram(messages.decode_datagram(memoryview(data)[DATAGRAM_STAMPS_BYTES:]))
        except msgspec.DecodeError:
            return self._drop_datagram(DropReason.UNDECODABLE)

    def _receive_refusal(self, ip: int, stamps: DatagramStamps) -> DropReason:
        """Learn from a refusal; it is dropped in any case and never answered, so nothing bounces."""
        reason = self._check_stamps(ip, stamps, ANY_INCARNATION)
        if reason is not None:
            return reason
        self.membership.refute(stamps.receiver_incarnation)
        return DropReason.REFUSED

    def _check_stamps(
        self, ip: int, stamps: DatagramStamps | CallStamps, receiver_incarnation: int
    ) -> DropReason | None:
        """Return why a message is to be dropped, None if it isn't; its sender's incarnation is learnt either way."""
        if stamps.system_id and self.system_id and stamps.system_id != self.system_id:
            return DropReason.FOREIGN_SYSTEM
        if stamps.sender_incarnation < self.membership.incarnation(ip):
            return DropReason.STALE_SENDER
        self.membership.observe_incarnation(ip, stamps.sender_incarnation)
        if receiver_incarnation not in (ANY_INCARNATION, self._local_member.incarnation):
            self.membership.refute(receiver_incarnation)  # after a clock was set back an earlier one is the newer
            return DropReason.OTHER_INCARNATION
        return None

    def _refusal(self, ip: int) -> bytes:
        return self._datagram_stamps(self.membership.incarnation(ip))

    def _datagram_stamps(self, receiver_incarnation: int) -> bytes:
        return DatagramStamps(self.system_id, self._local_member.incarnation, receiver_incarnation).encode()

    def _drop_datagram(self, reason: DropReason, refusal: bytes | None = None) -> ReceivedDatagram:
        self.dropped[reason] += 1
        return ReceivedDatagram(None, refusal)

    # -- sequences -----------------------------------------------------------------------------------------

    def next_sequence(self) -> int:
        """Return the number of the next message of a kind of which each replaces the one before."""
        self._sequence += 1
        return self._sequence

    def accept_sequence(self, ip: int, sequence: int) -> bool:
        """Return whether no message of this number or a later one has come from there before; else it is dropped.

        Numbers start anew with each incarnation of the sender.
        """
        position = self.membership.incarnation(ip), sequence
        if position <= self._last_sequences.get(ip, (-1, 0)):
            self.dropped[DropReason.OUT_OF_ORDER] += 1
            return False
        self._last_sequences[ip] = position
        return True

    # -- calls ---------------------------------------------------------------------------------------------

    def stamp_call(self, ip: int, message: messages.Call) -> tuple[OutstandingCall, bytes]:
        """Return a new call to an ingress and its bytes."""
        self._call_number = (self._call_number + 1) & _UINT32_MASK
        call = OutstandingCall(ip, self.membership.incarnation(ip), self._call_number)
        return call, self._call_stamps(call.receiver_incarnation, call.call_number) + messages.encode(message)

    def receive_call(self, data: bytes) -> ReceivedCall:
        """Accept or drop a call that has come."""
        if len(data) < CALL_STAMPS_BYTES:
            return self._drop_call(DropReason.TRUNCATED)
        stamps = CallStamps.decode(data)
        reason = self._check_stamps(stamps.sender_ip, stamps, stamps.receiver_incarnation)
        if reason is DropReason.FOREIGN_SYSTEM:
            return self._drop_call(reason)
        if reason is not None:
            known_incarnation = self.membership.incarnation(stamps.sender_ip)
            return self._drop_call(reason, self._call_stamps(known_incarnation, stamps.call_number))
        try:
            message = messages.decode_call(memoryview(data)[CALL_STAMPS_BYTES:])
        except msgspec.DecodeError:
            return self._drop_call(DropReason.UNDECODABLE)
        return ReceivedCall(message, b"", stamps.sender_ip, stamps.sender_incarnation, stamps.call_number)

    def stamp_reply(self, call: ReceivedCall, reply: messages.Reply) -> bytes:
        """Return the reply to a call as it goes out."""
        return self._call_stamps(call.caller_incarnation, call.call_number) + messages.encode(reply)

    def receive_reply(self, call: OutstandingCall, data: bytes) -> messages.Reply:
        """Return the reply to a call that is out; only what comes first for a call is considered.

        Raises:
            UnexpectedReplyError: It is not the reply to this call.
        """
        reason = self._check_reply(call, data)
        call.has_reply = True
        if reason is None:
            try:
                return messages.decode_reply(memoryview(data)[CALL_STAMPS_BYTES:])
            except msgspec.DecodeError:
                reason = DropReason.UNDECODABLE
        self.dropped[reason] += 1
        raise UnexpectedReplyError(reason)

    def _check_reply(self, call: OutstandingCall, data: bytes) -> DropReason | None:
        if call.has_reply:
            return DropReason.SURPLUS_REPLY
        if len(data) < CALL_STAMPS_BYTES:
            return DropReason.TRUNCATED
        stamps = CallStamps.decode(data)
        if (stamps.call_number, stamps.sender_ip) != (call.call_number, call.ip):
            return DropReason.OTHER_CALL
        reason = self._check_stamps(stamps.sender_ip, stamps, ANY_INCARNATION)
        if reason is not None:
            return reason
        if len(data) == CALL_STAMPS_BYTES:
            self.membership.refute(stamps.receiver_incarnation)
            return DropReason.REFUSED
        if stamps.receiver_incarnation != self._local_member.incarnation:
            return DropReason.OTHER_INCARNATION
        if call.receiver_incarnation not in (ANY_INCARNATION, stamps.sender_incarnation):
            return DropReason.CALLEE_RESTARTED
        return None

    def _call_stamps(self, receiver_incarnation: int, call_number: int) -> bytes:
        local = self._local_member
        return CallStamps(self.system_id, local.incarnation, receiver_incarnation, call_number, local.ip).encode()

    def _drop_call(self, reason: DropReason, refusal: bytes = b"") -> ReceivedCall:
        self.dropped[reason] += 1
        return ReceivedCall(None, refusal)

    # -- the log -------------------------------------------------------------------------------------------

    def new_drops(self) -> dict[str, int]:
        """Return what was dropped since the start, by reason, if that is more than at the last call; else nothing."""
        total = self.dropped.total()
        if total <= self._reported_drops:
            return {}
        self._reported_drops = total
        return {reason.value: count for reason, count in self.dropped.items()}
