"""Open requests and their attempts, between the decision module and the drivers.

The engine is independent of sockets, HTTP and the reactor.  A protocol front passes it an `Arrival`, the payload to
send upstream and an answerer for the client; drivers for the servers, the counter and the clock carry out its calls
and report to its `handle_...` methods.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy import interface
from ..policy.interface import Result
from ..telemetry import COUNTS, invariant, log
from .answers import Failed, Rejected, Served, Streamed
from .counter_calls import CounterCalls
from .module_driver import ExceptionReports, ModuleDriver
from .records import Attempt, CounterCall, ModuleTimer, OpenRequest
from .timers import TimerQueue

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ..budgets import BudgetShares
    from ..http1 import Response
    from ..http1.translator import TranslatedRequest
    from ..zones import ZoneEjection
    from .answers import Answer
    from .drivers import Alarm, Answerer, AnswerSource, DecisionModule, QuotaCounter, RequestJournal, Upstreams
    from .module_driver import ActionHandler
    from .records import Expiring

REQUEST_IDS = 1 << 32  # request ids are below this and wrap to 0
NO_REQUEST = -1  # never the id of a request
TIMER_RETRY_NS = 1_000_000_000  # a timer whose handler raised expires again after this time
BODY_LIMIT_NS = 3_600_000_000_000  # for a request body to arrive; its driver sets tighter limits
COUNTER_TIMEOUT_NS = 1_000_000_000  # used if the settings give no `counter_timeout_ns`

#: Keys of `COUNTS` by result, built once so that no string is formatted per request.
ATTEMPT_COUNTERS = {result: f"attempt.{result.name.lower()}" for result in Result}
COUNTER_CALL_COUNTERS = {result: f"counter.{result.name.lower()}" for result in Result}


class Engine:
    """Owns the open requests, and ensures that each gets exactly one final answer.

    Attributes:
        requests: The unanswered requests, by id.
        upstreams: Sends attempts; set by `connect`.
        counter: Makes counter calls; set by `connect`.
        journal: Records the requests in flight; None if handoff is disabled.
    """

    upstreams: Upstreams
    counter: QuotaCounter

    def __init__(self, module: DecisionModule, clock: Callable[[], int]) -> None:
        """Drive a decision module; `clock` returns its time in nanoseconds."""
        self._module = module
        self._clock = clock
        self._settings = module.settings
        self.requests: dict[int, OpenRequest] = {}
        self._answered: dict[int, OpenRequest] = {}  # answered requests that still have attempts in flight
        self._last_id = 0
        self._counter_calls = CounterCalls()
        self._timers = TimerQueue()
        self._exceptions = ExceptionReports()
        self.journal: RequestJournal | None = None
        self._module_driver = ModuleDriver(
            module, clock, self._action_handlers(), self._recover, self._timers.arm, self._exceptions
        )

    def connect(self, upstreams: Upstreams, counter: QuotaCounter, alarm: Alarm) -> None:
        """Set the drivers; needed before the first event."""
        self.upstreams = upstreams
        self.counter = counter
        self._timers.alarm = alarm

    def now(self) -> int:
        """Return the decision module's time in nanoseconds."""
        return self._clock()

    @property
    def classes(self) -> list[interface.RequestClass]:
        """The classes of requests in the settings."""
        return self._settings.classes

    def set_fleet(
        self, budgets: BudgetShares, zones: ZoneEjection | None = None, tiers: Iterable[frozenset[int]] = ()
    ) -> None:
        """Pass the fleet's budgets, its decisions on zones and the tiers of zones to the decision module."""
        self._module.budgets = budgets
        self._module.zones = zones
        self._module.tiers = list(tiers)

    # -- reports of the drivers ------------------------------------------------------------------------------------

    def accept(self, arrival: interface.Arrival, payload: TranslatedRequest, answerer: Answerer) -> OpenRequest:
        """Accept a request; from then on exactly one method of `answerer` is called, once.

        Args:
            arrival: The event for the decision module; its `request` is set here.
            payload: The request to send upstream.
            answerer: Receives the final answer.
        """
        self._last_id = (self._last_id + 1) % REQUEST_IDS
        arrival.request = self._last_id
        deadline_ns = self._clock() + (BODY_LIMIT_NS if arrival.is_body_pending else arrival.ttl_ns)
        request_class = self._settings.classes[arrival.class_id]
        request = OpenRequest(self._last_id, request_class, payload, answerer, deadline_ns)
        self.requests[request.id] = request
        COUNTS["request.accepted"] += 1
        self._timers.add(deadline_ns, request)
        if self.journal is not None:
            self.journal.record_accepted(request, arrival)
        self._module_driver.notify(arrival)
        return request

    def handle_body_end(self, request: OpenRequest, ttl_ns: int) -> None:
        """Handle the arrival of a request body's last byte; the request's deadline is `ttl_ns` from now."""
        if not request.is_answered:
            request.deadline_ns = self._clock() + ttl_ns
            self._timers.add(request.deadline_ns, request)
            self._module_driver.notify(interface.Whole(request.id))

    def handle_disconnect(self, request: OpenRequest) -> None:
        """Handle the loss of the client's connection."""
        if request.is_streaming:
            COUNTS["request.cut_by_client"] += 1
            self._end_attempts(request, Result.CANCELLED)
        elif not request.is_answered:
            request.is_answered = True
            self._close(request)
            COUNTS["request.left"] += 1
            if self.journal is not None:
                self.journal.record_disconnect(request)
            self._module_driver.notify(interface.Left(request.id))

    def handle_answer_start(self, attempt: Attempt, response: Response, source: AnswerSource) -> bool:
        """Handle the start of a streamed answer, which is the request's final one.

        The answerer gets the rest from `source`; `handle_attempt_end` is called after the last byte.

        Returns:
            False if the attempt or the request is over, so that the answer must not be sent.
        """
        request = attempt.request
        if attempt.is_finished or request.is_answered:
            return False
        request.is_streaming = True
        attempt.time_to_first_byte_ns = self._clock() - attempt.sent_ns
        COUNTS["request.begun"] += 1
        self._answer(request, Streamed(response, source))
        self._module_driver.notify(interface.Begun(request.id, attempt.number, attempt.server))
        return True

    def handle_attempt_end(self, attempt: Attempt, result: Result, response: Response | None = None) -> None:
        """Handle the end of an attempt; a second end of the same attempt is ignored.

        Args:
            attempt: The attempt.
            result: How it ended.
            response: The server's answer, if it has one and it was not streamed.
        """
        if attempt.is_finished:
            return
        attempt.is_finished = True
        request = attempt.request
        request.attempts.pop(attempt.number, None)
        if not request.attempts:
            self._answered.pop(request.id, None)
        COUNTS[ATTEMPT_COUNTERS[result]] += 1
        if result not in interface.NEVER_RAN:
            request.may_have_run = True
        elif self.journal is not None:
            self.journal.record_not_executed(attempt)
        if result == Result.OK and not request.is_answered:
            self._answer(request, Served(response))  # type: ignore[arg-type]  # a result OK without streaming has a response
        self._notify_outcome(attempt, result)

    def handle_counter_result(self, call: CounterCall, result: Result, total: float = 0.0) -> None:
        """Handle the end of a counter call; `total` is the counter's value after the call."""
        if call.is_finished:
            COUNTS["counter.answered_late"] += 1  # the module has been notified of a timeout instead
            return
        COUNTS[COUNTER_CALL_COUNTERS[result]] += 1
        call.outcome = interface.Counted(call.name, result, total, self._clock() - call.created_ns)
        for outcome in self._counter_calls.release(call.name):
            self._module_driver.notify(outcome)

    def handle_server_update(self, update: interface.ServerNews) -> None:
        """Handle changes of the server list."""
        self._module_driver.notify(update)

    def handle_zone_change(self, zone: int, is_ejected: bool) -> None:
        """Handle the fleet's decision to eject or readmit a zone."""
        self._module_driver.notify(interface.ZoneTurn(zone, is_ejected))

    def handle_alarm(self) -> None:
        """Handle all timers that are due, in the order of their times."""
        self._timers.clear_alarm()
        now_ns = self._clock()
        try:
            while (timer := self._timers.pop_due(now_ns)) is not None:
                self._expire(timer)
        finally:
            self._timers.arm()

    def abandon_all(self) -> None:
        """Drop all open requests, since another ingress has taken them over: nothing more is sent or answered."""
        for request in [*self.requests.values(), *self._answered.values()]:
            if not request.is_answered:
                request.is_answered = True
                self._close(request)
                COUNTS["request.abandoned"] += 1
                request.answerer.drop()
                self._module_driver.notify(interface.Left(request.id))
            self._end_attempts(request, Result.CANCELLED)

    # -- timeouts --------------------------------------------------------------------------------------------------

    def _expire(self, timer: Expiring) -> None:
        if isinstance(timer, ModuleTimer):
            self._module_driver.notify(interface.Timer(timer.token))
        elif isinstance(timer, CounterCall):
            self._expire_counter_call(timer)
        elif isinstance(timer, OpenRequest):
            self._expire_request(timer)
        else:
            self.upstreams.cancel(timer)
            self.handle_attempt_end(timer, Result.TIMEOUT)

    def _expire_counter_call(self, call: CounterCall) -> None:
        self.handle_counter_result(call, Result.TIMEOUT if call.is_written else Result.NO_CONNECTION)
        self.counter.expire(call)

    def _expire_request(self, request: OpenRequest) -> None:
        """Fail a request that the decision module has not answered by its deadline."""
        if request.is_streaming or request.deadline_ns > self._clock():
            return  # the answer is being streamed, or the body has arrived since and the deadline has moved
        if not request.is_answered:
            COUNTS["request.overdue"] += 1
            self._answer(request, Failed(is_overdue=True))
            self._module_driver.notify(interface.Left(request.id))
        self._end_attempts(request, Result.TIMEOUT)

    # -- requests and attempts -------------------------------------------------------------------------------------

    def _answer(self, request: OpenRequest, answer: Answer) -> None:
        """Send the final answer; the request is over even if the answer cannot be delivered."""
        invariant(not request.is_answered, "request.answered_twice")
        if self.journal is not None and not self.journal.record_answer(request, answer):
            return
        request.is_answered = True
        self._close(request)
        COUNTS[answer.counter] += 1
        try:
            answer.deliver(request.answerer)
        except Exception:  # the module must be notified of the attempt's end all the same
            COUNTS["engine.answer_failed"] += 1
            self._exceptions.write("answer failed", answer.kind.value)

    def _close(self, request: OpenRequest) -> None:
        """Remove an answered request from the unanswered ones."""
        self.requests.pop(request.id, None)
        if request.attempts:
            self._answered[request.id] = request

    def _end_attempts(self, request: OpenRequest, result: Result) -> None:
        """Cancel all attempts in flight and report them with this result."""
        for attempt in list(request.attempts.values()):
            self.upstreams.cancel(attempt)
            self.handle_attempt_end(attempt, result)

    def _notify_outcome(self, attempt: Attempt, result: Result) -> None:
        request = attempt.request
        duration_ns = attempt.time_to_first_byte_ns or self._clock() - attempt.sent_ns
        outcome = interface.Outcome(
            request.id, attempt.server, attempt.number, duration_ns, result, is_final=request.is_answered
        )
        self._module_driver.notify(outcome)

    # -- actions of the decision module ----------------------------------------------------------------------------

    def _action_handlers(self) -> dict[type, ActionHandler]:
        return {
            interface.Send: self._send,
            interface.Cancel: self._cancel,
            interface.Refuse: self._reject,
            interface.Fail: self._fail,
            interface.SetTimer: self._set_timer,
            interface.Count: self._call_counter,
            interface.Log: self._log,
            interface.Close: self._close_idle,
            interface.Watch: self._ignore,  # the server list is always watched
            interface.Fetch: self._ignore,
            interface.Probe: self._count_unsupported,
            interface.Tell: self._count_unsupported,
        }

    def _recover(self, event: interface.Event) -> list[interface.Action]:
        """Return the actions for an event whose handling raised.

        The actions that the module had decided by then are carried out.  If the event belongs to a request without an
        attempt in flight, that request fails now rather than at its deadline; a timer is set again.
        """
        actions = list(self._module.actions)
        if isinstance(event, interface.Timer):
            actions.append(interface.SetTimer(TIMER_RETRY_NS, event.token))
        request = self.requests.get(getattr(event, "request", NO_REQUEST))
        is_sending = any(isinstance(action, interface.Send) for action in actions)
        if request is not None and not request.attempts and not is_sending:
            actions.append(interface.Fail(request.id))
        return actions

    def _send(self, action: interface.Send) -> None:
        now_ns = self._clock()
        request = self.requests.get(action.request)
        if request is None or not self._can_send(request, now_ns):
            self._skip_attempt(action, request)
            return
        attempt = Attempt(request, request.attempts_sent, action.server, now_ns, request.payload)
        request.attempts_sent += 1
        request.attempts[attempt.number] = attempt
        COUNTS["attempt.sent"] += 1
        timeout_ns = request.deadline_ns - now_ns
        if 0 < action.timeout_ns < timeout_ns:
            timeout_ns = action.timeout_ns
            self._timers.add(now_ns + timeout_ns, attempt)
        if self.journal is None or self.journal.record_sending(attempt):
            self.upstreams.send(attempt, timeout_ns)

    def _can_send(self, request: OpenRequest, now_ns: int) -> bool:
        return (
            request.deadline_ns > now_ns
            and not request.is_body_released
            and request.attempts_sent < self._settings.max_attempts
        )

    def _skip_attempt(self, action: interface.Send, request: OpenRequest | None) -> None:
        """Report an attempt that can no longer be sent as moot."""
        number = request.attempts_sent if request is not None else 0
        COUNTS[ATTEMPT_COUNTERS[Result.MOOT]] += 1
        outcome = interface.Outcome(
            action.request, action.server, number, duration_ns=0, result=Result.MOOT, is_final=request is None
        )
        self._module_driver.notify(outcome)

    def _cancel(self, action: interface.Cancel) -> None:
        request = self.requests.get(action.request) or self._answered.get(action.request)
        attempt = request.attempts.get(action.attempt) if request is not None else None
        if attempt is not None and not attempt.is_finished:
            self.upstreams.cancel(attempt)
            self.handle_attempt_end(attempt, Result.CANCELLED)

    def _reject(self, action: interface.Refuse) -> None:
        request = self.requests.get(action.request)
        if request is None:
            return
        is_harmless = _may_be_repeated(request)
        invariant(is_harmless, "refused.what_may_have_run")
        if is_harmless:
            self._answer(request, Rejected(action.retry_in_ns, action.over_quota))
        else:
            self._answer(request, Failed(is_overdue=False))

    def _fail(self, action: interface.Fail) -> None:
        request = self.requests.get(action.request)
        if request is not None:
            self._answer(request, Failed(is_overdue=False))

    def _set_timer(self, action: interface.SetTimer) -> None:
        request = None if action.request is None else self.requests.get(action.request)
        if request is not None or action.request is None:
            self._timers.add(self._clock() + action.after_ns, ModuleTimer(action.token, request))

    def _call_counter(self, action: interface.Count) -> None:
        COUNTS["counter.called"] += 1
        call = CounterCall(action.name, action.amount, action.ttl_ns, self._clock())
        timeout_ns = self._settings.counter_timeout_ns or COUNTER_TIMEOUT_NS
        self._timers.add(call.created_ns + timeout_ns, call)
        self._counter_calls.add(call)
        self.counter.add(call)

    def _log(self, action: interface.Log) -> None:
        log("module", text=action.text)

    def _close_idle(self, action: interface.Close) -> None:
        self.upstreams.close_idle(action.server)

    def _ignore(self, action: interface.Action) -> None:
        """Do nothing."""

    def _count_unsupported(self, action: interface.Action) -> None:
        COUNTS["module.unsupported_action"] += 1


def _may_be_repeated(request: OpenRequest) -> bool:
    """Return whether the client may repeat the request without a risk that it is executed twice."""
    request_class = request.request_class
    if request_class.effect == interface.Effect.SAFE:
        return True
    if not request.may_have_run and not request.attempts:
        return True
    return request_class.effect == interface.Effect.KEYED and request_class.scope == interface.Scope.ALL
