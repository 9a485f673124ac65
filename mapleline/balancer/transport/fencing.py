"""The fence: decides by their stamps which messages of other ingresses a process accepts (pure).

Every message carries the identity of the system, the sender's incarnation and the receiver's incarnation that it is
addressed to; unknown values are 0.  A process that receives a message addressed to another incarnation of itself, or
sent by an outdated incarnation, drops it and returns stamps without a body.  This refusal shows the sender which
incarnation it has wrong.  Calls also carry a number and the caller's address; the reply repeats the number.
docs/design/fencing.md describes each message.
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

ANY_INCARNATION = 0  #: stands for the receiver's incarnation where none is known or any will do
_UINT32_MASK = 0xFFFFFFFF


class ReceivedDatagram(NamedTuple):
    """The decision on a received datagram."""

    message: messages.Datagram | None  #: the message to handle; None if the datagram was dropped
    refusal: bytes | None = None  #: the refusal to send back at once; None if there is none


@dataclass(slots=True)
class OutstandingCall:
    """A call that was sent and has no reply yet.

    Attributes:
        ip: The address of the callee.
        receiver_incarnation: The called incarnation; `ANY_INCARNATION` if none was known.
        call_number: The number of the call.
        has_reply: Whether something was received in reply; anything further is dropped.
    """

    ip: int
    receiver_incarnation: int
    call_number: int
    has_reply: bool = False


@dataclass(slots=True)
class ReceivedCall:
    """A received call.

    Attributes:
        message: The call to carry out; None if it was dropped.
        refusal: The refusal to send for a dropped call; empty if the connection is to be closed without an answer.
        caller_ip: The address of the caller.
        caller_incarnation: The incarnation of the caller.
        call_number: The number that the caller gave to the call.
    """

    message: messages.Call | None
    refusal: bytes = b""
    caller_ip: int = 0
    caller_incarnation: int = 0
    call_number: int = 0


class Fence:
    """The fence of one process: stamps outgoing messages, and accepts or drops incoming ones.

    It learns the incarnations of senders from their stamps and stores them in the membership table.

    Attributes:
        system_id: The identity agreed on when the system was founded, 32 bits; 0 until it is known.
        dropped: The number of messages dropped since the start, by reason.
        membership: The table that stores the incarnations.
    """

    def __init__(self, membership: MembershipTable, system_id: int = 0) -> None:
        """Create a fence that has dropped nothing."""
        self.system_id = system_id
        self.dropped: Counter[DropReason] = Counter()
        self.membership = membership
        self._local_member = membership.local_member
        self._reported_drops = 0
        # Processes that started at the same moment have the same incarnation, so their call numbers must differ.
        self._call_number = crc32(b"%d %d" % (self._local_member.ip, self._local_member.incarnation))
        self._sequence = 0
        self._last_sequences: dict[int, tuple[int, int]] = {}  #: sender -> (incarnation, sequence)

    # -- datagrams -----------------------------------------------------------------------------------------

    def stamp_datagram(self, ip: int, message: messages.Datagram) -> bytes:
        """Return the bytes of a datagram to an ingress, stamps included."""
        # Heartbeats announce the sender's incarnation, so a receiver that has restarted meanwhile must accept them too.
        is_for_any = isinstance(message, messages.Heartbeat)
        receiver_incarnation = ANY_INCARNATION if is_for_any else self.membership.incarnation(ip)
        return self._datagram_stamps(receiver_incarnation) + messages.encode(message)

    def receive_datagram(self, ip: int, data: bytes) -> ReceivedDatagram:
        """Accept or drop a datagram that was received from an address."""
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
        """Learn from a refusal.  It is always dropped and never answered, so that refusals cannot loop."""
        reason = self._check_stamps(ip, stamps, ANY_INCARNATION)
        if reason is not None:
            return reason
        self.membership.refute(stamps.receiver_incarnation)
        return DropReason.REFUSED

    def _check_stamps(
        self, ip: int, stamps: DatagramStamps | CallStamps, receiver_incarnation: int
    ) -> DropReason | None:
        """Return why a message is to be dropped, or None to accept it.

        The sender's incarnation is recorded also when the message is addressed to another incarnation.
        """
        if stamps.system_id and self.system_id and stamps.system_id != self.system_id:
            return DropReason.FOREIGN_SYSTEM
        if stamps.sender_incarnation < self.membership.incarnation(ip):
            return DropReason.STALE_SENDER
        self.membership.observe_incarnation(ip, stamps.sender_incarnation)
        if receiver_incarnation not in (ANY_INCARNATION, self._local_member.incarnation):
            self.membership.refute(receiver_incarnation)  # after the clock was set back, an earlier one may be higher
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
        """Return the next sequence number, for messages each of which replaces the one before."""
        self._sequence += 1
        return self._sequence

    def accept_sequence(self, ip: int, sequence: int) -> bool:
        """Return whether this sequence number is higher than any received from the sender; if not, count a drop.

        Numbering restarts with each incarnation of the sender.
        """
        position = self.membership.incarnation(ip), sequence
        if position <= self._last_sequences.get(ip, (-1, 0)):
            self.dropped[DropReason.OUT_OF_ORDER] += 1
            return False
        self._last_sequences[ip] = position
        return True

    # -- calls ---------------------------------------------------------------------------------------------

    def stamp_call(self, ip: int, message: messages.Call) -> tuple[OutstandingCall, bytes]:
        """Return a new call to an ingress, and its bytes with stamps."""
        self._call_number = (self._call_number + 1) & _UINT32_MASK
        call = OutstandingCall(ip, self.membership.incarnation(ip), self._call_number)
        return call, self._call_stamps(call.receiver_incarnation, call.call_number) + messages.encode(message)

    def receive_call(self, data: bytes) -> ReceivedCall:
        """Accept or drop a received call."""
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
        """Return the bytes of the reply to a call, stamps included."""
        return self._call_stamps(call.caller_incarnation, call.call_number) + messages.encode(reply)

    def receive_reply(self, call: OutstandingCall, data: bytes) -> messages.Reply:
        """Return the reply to an outstanding call; only the first message received for a call is considered.

        Raises:
            UnexpectedReplyError: The message is not the reply to this call.
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

    # -- reporting -----------------------------------------------------------------------------------------

    def new_drops(self) -> dict[str, int]:
        """Return the drops since the start by reason; empty if there are none since the last call of this method."""
        total = self.dropped.total()
        if total <= self._reported_drops:
            return {}
        self._reported_drops = total
        return {reason.value: count for reason, count in self.dropped.items()}
