"""Whether a request may have run: said in one place, for every outcome of an attempt."""

from __future__ import annotations

from enum import Enum, IntEnum, auto

from ...http1.messages import Response

PROMISES = frozenset({408, 421, 429, 503})  # to a client: it has not run and never will


class Outcome(IntEnum):
    """What is known of a request that was, or was to be, given to a server."""

    NOT_EXECUTED = 0  #: it has not run and never will: nothing was written, or the server said so
    UNKNOWN = 1  #: it was written, and no answer tells
    EXECUTED = 2  #: the server's own answer says that it worked on it


class EndReason(Enum):
    """How an attempt ended."""

    RESPONSE = auto()  #: the server's response is complete
    UNREACHABLE = auto()  #: the connection was never established
    CONNECTION_LOST = auto()  #: reset or timed out before the end of a response
    CONNECTION_CLOSED = auto()  #: closed in order before the end of a response
    PROTOCOL_ERROR = auto()  #: the server sent what is no response to this request
    CANCELLED = auto()  #: nobody waits for the response any more


def of_answer(status: int, not_executed: bool) -> Outcome:
    """By a server's answer: only `Not-Executed` and 421 say that it did not run (PROTOCOL, Servers)."""
    return Outcome.NOT_EXECUTED if not_executed or status == 421 else Outcome.EXECUTED


def of_response(response: Response) -> Outcome:
    """The same of an answer as it was read."""
    return of_answer(response.status, b"not-executed" in response.headers)


def of_loss(written: bool) -> Outcome:
    """By a connection lost, or given up, without an answer."""
    return Outcome.UNKNOWN if written else Outcome.NOT_EXECUTED


def may_repeat(kind: str, worst: Outcome) -> bool:
    """Another server may have it: it runs twice without harm, or has not run."""
    return kind == "idempotent" or worst is Outcome.NOT_EXECUTED


def final_status(worst: Outcome, timed_out: bool) -> int:
    """The status of our own final answer; 503 is the promise that it has not run."""
    if worst is Outcome.NOT_EXECUTED:
        return 503
    return 504 if timed_out else 502


def may_pass(kind: str, response: Response) -> bool:
    """A server's answer may go to the client as it is: these statuses promise a client that the request has not run,
    which a server says by `Not-Executed` and 421 alone.
    """
    return kind == "idempotent" or response.status not in PROMISES or of_response(response) is Outcome.NOT_EXECUTED
