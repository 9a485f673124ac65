"""Whether a request may have run: said in one place, for every outcome of an attempt."""

from __future__ import annotations

from enum import IntEnum

from ...http1.messages import Response

PROMISES = frozenset({408, 421, 429, 503})  # to a client: it has not run and never will


class Outcome(IntEnum):
    """What is known of a request that was, or was to be, given to a server."""

    NEVER = 0  #: it has not run and never will: nothing was written, or the server said so
    MAYBE = 1  #: it was written, and no answer tells
    RAN = 2  #: the server's own answer says that it worked on it


def of_answer(status: int, not_executed: bool) -> Outcome:
    """By a server's answer: only `Not-Executed` and 421 say that it did not run (PROTOCOL, Servers)."""
    return Outcome.NEVER if not_executed or status == 421 else Outcome.RAN


def of_response(response: Response) -> Outcome:
    """The same of an answer as it was read."""
    return of_answer(response.status, b"not-executed" in response.headers)


def of_loss(written: bool) -> Outcome:
    """By a connection lost, or given up, without an answer."""
    return Outcome.MAYBE if written else Outcome.NEVER


def may_repeat(kind: str, worst: Outcome) -> bool:
    """Another server may have it: it runs twice without harm, or has not run."""
    return kind == "idempotent" or worst is Outcome.NEVER


def final_status(worst: Outcome, timed_out: bool) -> int:
    """The status of our own final answer; 503 is the promise that it has not run."""
    if worst is Outcome.NEVER:
        return 503
    return 504 if timed_out else 502


def may_pass(kind: str, response: Response) -> bool:
    """A server's answer may go to the client as it is: these statuses promise a client that the request has not run,
    which a server says by `Not-Executed` and 421 alone.
    """
    return kind == "idempotent" or response.status not in PROMISES or of_response(response) is Outcome.NEVER
