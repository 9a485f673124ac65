"""What the engine needs of its surroundings: the decision module, clients, servers, the counter and the clock."""

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
    """Decides what becomes of requests (mapleline/policy).

    Attributes:
        settings: its settings.
        actions: the actions decided so far for the event in hand.
        budgets: this ingress's shares of the fleet's budgets; None where each ingress stands alone.
        zones: the fleet's decisions on zones; None where zones are not watched.
        tiers: sets of zones, the preferred set first.
    """

    settings: Start
    actions: list[Action]
    budgets: BudgetShares | None
    zones: ZoneEjection | None
    tiers: list[frozenset[int]]

    def handle(self, now_ns: int, event: Event) -> list[Action]:
        """Take one event and return the actions that follow from it, in order."""


class AnswerSource(Protocol):
    """Where the rest of a streamed answer comes from."""

    def pause(self) -> None:
        """Send nothing more until `resume`."""

    def resume(self) -> None:
        """Go on sending."""


class Answerer(Protocol):
    """Gives a client its final answer.

    The engine calls exactly one of `send_answer`, `begin_answer`, `reject`, `fail` and `drop`, once.
    """

    def send_answer(self, response: Response) -> None:
        """Send a complete answer."""

    def begin_answer(self, response: Response, source: AnswerSource) -> None:
        """Begin an answer; the driver that has it passes its body to `send_part` and then calls `end_answer`."""

    def send_part(self, data: bytes) -> None:
        """Send a part of the body of an answer that has begun."""

    def end_answer(self, is_whole: bool) -> None:
        """End an answer that has begun; `is_whole` if its last byte has been passed on."""

    def reject(self, retry_after_ns: int, is_over_quota: bool) -> None:
        """Say that the request was not executed and may be sent again."""

    def fail(self, is_overdue: bool) -> None:
        """Say that the request failed."""

    def drop(self) -> None:
        """Send nothing: another ingress has taken the request over."""


class Upstreams(Protocol):
    """Carries attempts to servers; each ends in one `Engine.handle_attempt_end`, unless it was cancelled."""

    def send(self, attempt: Attempt, timeout_ns: int) -> None:
        """Send an attempt, which has `timeout_ns` from now."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop an attempt; nothing more is reported of it."""

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""


class QuotaCounter(Protocol):
    """Carries calls to the quota counter; each ends in one `Engine.handle_counter_result` or in `expire`."""

    def add(self, call: CounterCall) -> None:
        """Make the call."""

    def expire(self, call: CounterCall) -> None:
        """Take note that the call's time has run out."""


class Alarm(Protocol):
    """Calls `Engine.handle_alarm` at a time."""

    def set(self, at_ns: int) -> None:
        """Set the time; it replaces the one set before."""


class RequestJournal(Protocol):
    """Keeps requests in flight on record, so that another ingress can take them over (net/handoff.py)."""

    def record_accepted(self, request: OpenRequest, arrival: Arrival) -> None:
        """Record a new request; may set `arrival.is_counted`."""

    def record_sending(self, attempt: Attempt) -> bool:
        """Record an attempt before it is sent; False if it must not be, since another ingress has the request."""

    def record_not_executed(self, attempt: Attempt) -> None:
        """Record that an attempt was certainly not executed."""

    def record_answer(self, request: OpenRequest, answer: Answer) -> bool:
        """Record an answer before it is given; False if it must not be, since another ingress has the request."""

    def record_disconnect(self, request: OpenRequest) -> None:
        """Record that the client of an unanswered request has gone."""
