"""Whether a request may have been executed by a server: the one place that decides it for every end of an attempt.

The rules are those of docs/design/attempt-outcomes.md: a request that is not idempotent may be executed once at most,
and the statuses 408, 421, 429 and 503 promise a client that it was not executed.
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
    """What is known of the execution of a request; of several attempts the largest value counts."""

    NOT_EXECUTED = 0  #: and never will be: nothing was written, or the server said so
    UNKNOWN = 1  #: it was written, and there is no response
    EXECUTED = 2  #: the server's own response says that it worked on it


class EndReason(Enum):
    """How an attempt ended."""

    RESPONSE = auto()  #: the server's response is complete
    UNREACHABLE = auto()  #: the connection was never established
    CONNECTION_LOST = auto()  #: reset or timed out before the end of a response
    CONNECTION_CLOSED = auto()  #: closed in order before the end of a response
    PROTOCOL_ERROR = auto()  #: the server sent what is no response to this request
    CANCELLED = auto()  #: nobody waits for the response any more


def classify_status(status: int, is_marked_not_executed: bool) -> Outcome:
    """Return the outcome by a response: only `Not-Executed` and 421 deny execution (PROTOCOL, Servers)."""
    if is_marked_not_executed or status == MISDIRECTED_REQUEST:
        return Outcome.NOT_EXECUTED
    return Outcome.EXECUTED


def classify_response(response: Response) -> Outcome:
    """Return the outcome by a response as it was read."""
    return classify_status(response.status, b"not-executed" in response.headers)


def classify_loss(is_written: bool) -> Outcome:
    """Return the outcome where a connection ended, or was given up, without a response."""
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
    """Return whether a server's response may go to the client as it is.

    Some statuses promise a client that its request was not executed, which a server says by `Not-Executed` and 421
    alone.
    """
    if route_kind == IDEMPOTENT or response.status not in PROMISES_NOT_EXECUTED:
        return True
    return classify_response(response) is Outcome.NOT_EXECUTED
