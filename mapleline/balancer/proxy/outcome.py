"""Whether a server may have executed a request; only this module decides it, for each way an attempt can end.

A request that is not idempotent may be executed at most once, and the statuses 408, 421, 429 and 503 promise a client
that its request was not executed.  docs/design/attempt-outcomes.md lists the cases.
"""

from __future__ import annotations

from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...http1 import Response

IDEMPOTENT = "idempotent"
"""The kind of route whose requests may be executed more than once."""

PROMISES_NOT_EXECUTED = frozenset({408, 421, 429, 503})
"""Statuses that promise a client that its request was not executed and never will be."""

MISDIRECTED_REQUEST = 421


class Outcome(IntEnum):
    """What is known of a request's execution; of several attempts the largest value counts."""

    NOT_EXECUTED = 0  #: it never will be executed: nothing was written, or the server said so
    UNKNOWN = 1  #: it was written, and there is no response
    EXECUTED = 2  #: the server sent a response that doesn't deny execution


class EndReason(Enum):
    """How an attempt ended."""

    RESPONSE = auto()  #: the server's response is complete
    UNREACHABLE = auto()  #: the connection was never established
    CONNECTION_LOST = auto()  #: the connection was reset or timed out before the end of a response
    CONNECTION_CLOSED = auto()  #: the server closed the connection in order before the end of a response
    PROTOCOL_ERROR = auto()  #: the server sent data that is not a response to this request
    CANCELLED = auto()  #: the response is no longer needed


def classify_status(status: int, is_marked_not_executed: bool) -> Outcome:
    """Return the outcome by a response: only `Not-Executed` and 421 deny execution (PROTOCOL, Servers)."""
    if is_marked_not_executed or status == MISDIRECTED_REQUEST:
        return Outcome.NOT_EXECUTED
    return Outcome.EXECUTED


def classify_response(response: Response) -> Outcome:
    """Return the outcome by a server's response."""
    return classify_status(response.status, b"not-executed" in response.headers)


def classify_loss(is_written: bool) -> Outcome:
    """Return the outcome of an attempt whose connection ended, or was given up, without a response."""
    return Outcome.UNKNOWN if is_written else Outcome.NOT_EXECUTED


def may_retry(route_kind: str, worst_outcome: Outcome) -> bool:
    """Return whether another server may get the request: it is idempotent, or was not executed."""
    return route_kind == IDEMPOTENT or worst_outcome is Outcome.NOT_EXECUTED


def final_status(worst_outcome: Outcome, is_timeout: bool) -> int:
    """Return the status of the proxy's own final response; 503 promises that the request was not executed."""
    if worst_outcome is Outcome.NOT_EXECUTED:
        return 503
    return 504 if is_timeout else 502


def may_forward(route_kind: str, response: Response) -> bool:
    """Return whether a server's response may be sent to the client unchanged.

    Some statuses promise a client that its request was not executed.  From a server only `Not-Executed` and 421 say
    so, so a response with such a status and without either is not forwarded, unless the request is idempotent.
    """
    if route_kind == IDEMPOTENT or response.status not in PROMISES_NOT_EXECUTED:
        return True
    return classify_response(response) is Outcome.NOT_EXECUTED
