"""Reasons for dropping messages of other ingresses, and the errors of the transport."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """The reason why a datagram, call or reply is dropped; the value is its name in the log."""

    TRUNCATED = "truncated"  #: the message is shorter than its stamps
    UNDECODABLE = "undecodable"  #: the bytes are not a message of the expected kind
    FOREIGN_SYSTEM = "foreign_system"  #: the sender belongs to another system; no refusal is sent
    STALE_SENDER = "stale_sender"  #: a newer incarnation of the sender is known
    OTHER_INCARNATION = "other_incarnation"  #: the message is addressed to another incarnation of this process
    REFUSED = "refused"  #: the message is a refusal: stamps without a body
    OUT_OF_ORDER = "out_of_order"  #: a later message of the same sequence was received before
    SURPLUS_REPLY = "surplus_reply"  #: the call has a reply already
    OTHER_CALL = "other_call"  #: the reply belongs to another call, or comes from another ingress
    CALLEE_RESTARTED = "callee_restarted"  #: the reply comes from another incarnation than the one called


class TransportError(Exception):
    """Base class of the transport's errors."""


class UnexpectedReplyError(TransportError):
    """The received message is not the reply to the outstanding call.

    Attributes:
        reason: Why the message was dropped.
    """

    def __init__(self, reason: DropReason) -> None:
        """Use the value of the reason as the text of the error."""
        super().__init__(reason.value)
        self.reason = reason
