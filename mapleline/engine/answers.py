"""The final answers that a request can have.

They are plain classes, since dataclasses would take a third of the import time of this package.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..http1 import Response
    from .drivers import Answerer, AnswerSource


class AnswerKind(Enum):
    """The kinds of answers; their values are written to the write-ahead log (net/handoff.py) and to the log."""

    SERVED = "served"
    STREAMED = "begun"
    REJECTED = "refused"
    FAILED = "failed"


class Served:
    """A server's complete answer."""

    __slots__ = ("response",)
    kind = AnswerKind.SERVED
    counter = "request.served"

    def __init__(self, response: Response) -> None:
        """Answer with a server's response."""
        self.response = response

    def deliver(self, answerer: Answerer) -> None:
        """Send the answer to the client."""
        answerer.send_answer(self.response)


class Streamed:
    """A server's answer that is relayed as it arrives."""

    __slots__ = ("response", "source")
    kind = AnswerKind.STREAMED
    counter = "request.served"

    def __init__(self, response: Response, source: AnswerSource) -> None:
        """Answer with a response whose body follows from `source`."""
        self.response = response
        self.source = source

    def deliver(self, answerer: Answerer) -> None:
        """Send the start of the answer to the client."""
        answerer.begin_answer(self.response, self.source)


class Rejected:
    """The request was not executed."""

    __slots__ = ("is_over_quota", "retry_after_ns")
    kind = AnswerKind.REJECTED
    counter = "request.refused"

    def __init__(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Let the client retry after `retry_after_ns`; `is_over_quota` if its customer's quota is used up."""
        self.retry_after_ns = retry_after_ns
        self.is_over_quota = is_over_quota

    def deliver(self, answerer: Answerer) -> None:
        """Send the rejection to the client."""
        answerer.reject(self.retry_after_ns, self.is_over_quota)


class Failed:
    """The request failed; it may or may not have been executed."""

    __slots__ = ("is_overdue",)
    kind = AnswerKind.FAILED
    counter = "request.failed"

    def __init__(self, is_overdue: bool) -> None:
        """Fail a request; `is_overdue` if its deadline has passed."""
        self.is_overdue = is_overdue

    def deliver(self, answerer: Answerer) -> None:
        """Send the failure to the client."""
        answerer.fail(self.is_overdue)


Answer = Served | Streamed | Rejected | Failed
