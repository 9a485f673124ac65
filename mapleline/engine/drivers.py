"""The interfaces that the engine depends on: the decision module, clients, servers, the counter and the clock."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from ..budgets import BudgetShares
    from ..http1 import Response
    from ..policy.interface import Action, Arrival, Event, Start
    from ..zones import ZoneEjection
    from .answers import Answer
    from .records import Attempt, CounterCall, OpenRequest


class DecisionModule(Protocol):
    """Decides how each request is handled (mapleline/policy).

    Attributes:
        settings: Its settings.
        actions: The actions decided so far for the event that is being handled.
        budgets: This ingress's shares of the fleet's budgets; None if budgets are not shared over the fleet.
        zones: The fleet's decisions on zones; None if zones are not monitored.
        tiers: Sets of zone numbers, the preferred set first.
    """

    settings: Start
    actions: list[Action]
    budgets: BudgetShares | None
    zones: ZoneEjection | None
    tiers: list[frozenset[int]]

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Handle one event and return the resulting actions, in order."""


class AnswerSource(Protocol):
    """The sender of the rest of a streamed answer's body."""

    def pause(self) -> None:
        """Send nothing more until `resume`."""

    def resume(self) -> None:
        """Continue to send."""


class Answerer(Protocol):
    """Sends a client its final answer.

    The engine calls exactly one of `send_answer`, `begin_answer`, `reject`, `fail` and `drop`, once.
    """

    def send_answer(self, response: Response) -> None:
        """Send a complete answer."""

    def begin_answer(self, response: Response, source: AnswerSource) -> None:
        """Begin a streamed answer; its driver passes the body to `send_part` and calls `end_answer` after it."""

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of a streamed answer."""

    def end_answer(self, is_whole: bool) -> None:
        """End a streamed answer; `is_whole` if its last byte has been passed to `send_part`."""

    def reject(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Answer that the request was not executed and may be sent again."""

    def fail(self, is_overdue: bool) -> None:
        """Answer that the request failed."""

    def drop(self) -> None:
        """Send nothing: another ingress has taken the request over."""


class Upstreams(Protocol):
    """Sends attempts to servers; each attempt ends in one `Engine.handle_attempt_end`, unless it was cancelled."""

    def send(self, attempt: Attempt, timeout_ns: int) -> None:
        """Send an attempt, which must end within `timeout_ns` from now."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt; its end is not reported."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""


class QuotaCounter(Protocol):
    """Makes calls to the quota counter; each ends in one `Engine.handle_counter_result` or in `expire`."""

    def add(self, call: CounterCall) -> None:
        """Make the call."""

    def expire(self, call: CounterCall) -> None:
        """Handle the timeout of a call: its result is no longer needed."""


class Alarm(Protocol):
    """Calls `Engine.handle_alarm` at a set time."""

    def set(self, at_ns: int) -> None:
        """Set the time, in place of the previous one."""


class RequestJournal(Protocol):
    """Records the requests in flight, so that another ingress can take them over (net/handoff.py)."""

    def record_accepted(self, request: OpenRequest, arrival: Arrival) -> None:
        """Record a new request; may set `arrival.is_counted`."""

    def record_sending(self, attempt: Attempt) -> bool:
        """Record an attempt before it is sent; False if it must not be sent, since another ingress has the request."""

    def record_not_executed(self, attempt: Attempt) -> None:
        """Record that an attempt was certainly not executed."""

    def record_answer(self, request: OpenRequest, answer: Answer) -> bool:
        """Record an answer before it is sent; False if it must not be sent, since another ingress has the request."""

    def record_disconnect(self, request: OpenRequest) -> None:
        """Record that the client of an unanswered request has disconnected."""
