"""Why something that came from another ingress is dropped, and the errors of the transport."""

from __future__ import annotations

from enum import StrEnum


class DropReason(StrEnum):
    """Why a datagram, call or reply is dropped; the value is its name in the log."""

    TRUNCATED = "truncated"  #: shorter than its stamps
    UNDECODABLE = "undecodable"  #: no message of the expected kind
    FOREIGN_SYSTEM = "foreign_system"  #: another system's; not even refused
    STALE_SENDER = "stale_sender"  #: from an incarnation that is known to be over
    OTHER_INCARNATION = "other_incarnation"  #: meant for another incarnation of this process
    REFUSED = "refused"  #: a refusal: stamps without a message
    OUT_OF_ORDER = "out_of_order"  #: a later message of a sequence has come before
    SURPLUS_REPLY = "surplus_reply"  #: the call has had a reply
    OTHER_CALL = "other_call"  #: a reply to another call, or from another ingress
    CALLEE_RESTARTED = "callee_restarted"  #: a reply from another incarnation than was called


class TransportError(Exception):
    """Base of the transport's errors."""


class UnexpectedReplyError(TransportError):
    """What came back is not the reply to the call that is out.

    Attributes:
        reason: Why it was dropped.
    """

    def __init__(self, reason: DropReason) -> None:
        """The text is the name of the reason."""
        super().__init__(reason.value)
        self.reason = reason
