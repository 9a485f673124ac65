"""The attempts of a request: sending, retrying and hedging them, and the final response to the client.

docs/design/attempt-outcomes.md lists the cases.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...policy.placing import would_miss_target_latency
from . import counters, outcome
from .admission import RETRY_AFTER_S, authorized_tenant
from .attempt_limits import (
    HEDGE_FAILURE_WEIGHT,
    HEDGE_LATENCIES,
    MAX_OVERLOAD_RETRY_AFTER_S,
    MAX_UNREACHABLE,
    MIN_RETRY_S,
)
from .forwarded_request import build_request, response_header_lines
from .outcome import EndReason, Outcome
from .quota_attempts import QuotaAttemptCounter
from .request_context import Rejection
from .server_feedback import FIRST_SERVER_ERROR, record_attempt_end
from .upstream_attempt import Attempt

if TYPE_CHECKING:
    from ...http1 import Response
    from ...policy.placing import Target
    from ..routing_table import RoutingTable
    from .client_connection import ClientConnection
    from .counters import RequestCounters
    from .dependencies import ProxyDependencies
    from .endpoint_selection import EndpointSelection
    from .request_context import RequestContext
    from .retry_budget import RetryBudget
    from .route_statistics import RouteStatistics
    from .routing_state import RoutingState
    from .slow_start import SlowStart
    from .upstream_connection import UpstreamConnection

SERVICE_UNAVAILABLE = 503
BAD_GATEWAY = 502
NO_SERVER = Rejection(SERVICE_UNAVAILABLE, b"no server", RETRY_AFTER_S)


class AttemptDispatcher:
    """Sends requests to servers until each request has exactly one final response."""

    def __init__(
        self,
        dependencies: ProxyDependencies,
        routing: RoutingState,
        selection: EndpointSelection,
        slow_start: SlowStart,
        retry_budget: RetryBudget,
        statistics: RouteStatistics,
        counters: RequestCounters,
    ) -> None:
        """Keep references to the components that attempts need."""
        self._clock = dependencies.clock
        self._upstream_pool = dependencies.upstream_pool
        self._can_serve = dependencies.can_serve
        self._routing = routing
        self._selection = selection
        self._slow_start = slow_start
        self._retry_budget = retry_budget
        self._quota_attempts = QuotaAttemptCounter(dependencies.consult_quota)
        self._statistics = statistics
        self._counters = counters

    # -- sending -------------------------------------------------------------------------------------------

    def dispatch(self, context: RequestContext) -> None:
        """Send the request to the best eligible server, or reject it if there is none and no attempt is in flight."""
        if context.is_finished:
            return
        now = self._clock.seconds()
        table = self._routing.table
        if table is None or not self._can_serve() or not _is_still_authorized(context, table):
            self._give_up_unless_in_flight(context)
            return
        target = self._selection.choose_target(context, table, now)
        if target is None:
            self._counters.increment(counters.NO_SERVER)
            self._give_up_unless_in_flight(context)
            return
        wait_latencies = target.wait_latencies(now)
        if self._is_overloaded(context, wait_latencies):
            self._reject_overloaded(context, wait_latencies)
            return
        self._send(context, target, wait_latencies, now)

    def _is_overloaded(self, context: RequestContext, wait_latencies: float) -> bool:
        """Return whether a first attempt would miss the route's latency target, and delay all requests behind it.

        `wait_latencies` is the time in the queue in expected latencies.  Further attempts are sent in any case, and so
        is a client's retry, which has less time left than the target.
        """
        admitted = context.admitted
        if context.attempt_count > 0 or admitted.is_client_retry:
            return False
        latency_s = self._statistics.latency_s(admitted.statistics_key)
        return would_miss_target_latency(wait_latencies, latency_s, admitted.route.target_latency)

    def _reject_overloaded(self, context: RequestContext, wait_latencies: float) -> None:
        self._counters.increment(counters.OVERLOADED)
        wait_s = wait_latencies * self._statistics.latency_s(context.admitted.statistics_key)
        context.reject(Rejection(SERVICE_UNAVAILABLE, b"full", min(MAX_OVERLOAD_RETRY_AFTER_S, wait_s)))

    def _send(self, context: RequestContext, target: Target, wait_latencies: float, now: float) -> None:
        instance = self._selection.instance_of(target)
        if self._slow_start.is_warming_up(instance, now):
            target.slow_start_tokens -= 1.0
        context.attempted_ids.append(target.id)
        attempt = Attempt(
            request_id=context.admitted.request_id,
            target=target,
            data=build_request(context, instance.id, context.deadline - now),
            on_end=partial(self._on_attempt_end, context),
            is_idempotent=context.is_idempotent,
            on_response_start=partial(self._on_response_start, context),
            upload=context.upload,
            had_free_slot=wait_latencies == 0.0,
        )
        context.attempts.append(attempt)
        context.attempt_count += 1
        self._quota_attempts.on_sent(context)
        self._set_hedge_timer(context)
        self._upstream_pool.send(attempt, instance.address)

    # -- hedging and retrying ------------------------------------------------------------------------------

    def _set_hedge_timer(self, context: RequestContext) -> None:
        if context.is_idempotent and context.hedge_timer is None:
            delay_s = HEDGE_LATENCIES * self._statistics.latency_s(context.admitted.statistics_key)
            context.hedge_timer = self._clock.callLater(delay_s, self._hedge, context)

    def _hedge(self, context: RequestContext) -> None:
        """Send the request to a second server; the first response counts.

        The first attempt is not cancelled: its server is executing it already, so cancelling would save nothing.
        """
        now = self._clock.seconds()
        if context.is_finished or context.streaming_attempt is not None or not context.attempts:
            return
        if self._may_retry(context):
            self._counters.increment(counters.HEDGED)
            context.attempts[0].target.record_result(now, True, HEDGE_FAILURE_WEIGHT)
            self.dispatch(context)

    def _may_retry(self, context: RequestContext) -> bool:
        """Return whether a further attempt is allowed; if so, spend it from the retry budget."""
        route = context.admitted.route
        if context.is_body_discarded or not outcome.may_retry(route.route_kind, context.worst_outcome):
            return False
        if context.attempt_count >= route.max_attempts:
            return False
        if context.deadline - self._clock.seconds() < MIN_RETRY_S:
            return False
        return self._retry_budget.try_spend(context.admitted.service)

    # -- ends of attempts ----------------------------------------------------------------------------------

    def _on_response_start(
        self, context: RequestContext, attempt: Attempt, response: Response, connection: UpstreamConnection
    ) -> ClientConnection | None:
        """Start streaming a long response to the client, if it is the request's final one.

        Returns:
            The client connection that its parts are sent to; None if the response is to be read whole.
        """
        if context.is_finished or context.streaming_attempt is not None:
            return None
        if outcome.classify_response(response) is Outcome.NOT_EXECUTED:
            return None
        if not outcome.may_forward(context.admitted.route.route_kind, response):
            return None
        context.streaming_attempt = attempt
        header_lines = response_header_lines(response)
        context.client_conn.begin_reply(response.status, header_lines, response.length, connection)
        return context.client_conn

    def _on_attempt_end(self, context: RequestContext, attempt: Attempt) -> None:
        """Record an attempt's result, and answer the client or make a further attempt."""
        if attempt in context.attempts:
            context.attempts.remove(attempt)
        self._quota_attempts.on_ended(context, attempt.outcome)
        if attempt.outcome is not Outcome.NOT_EXECUTED:
            context.worst_outcome = max(context.worst_outcome, attempt.outcome)
        now = self._clock.seconds()
        record_attempt_end(attempt, self._statistics, context.admitted.statistics_key, now)
        if context.is_finished:
            return
        if context.streaming_attempt is None:
            self._conclude(context, attempt)
        elif attempt is context.streaming_attempt:
            self._finish_streaming(context, attempt)

    def _finish_streaming(self, context: RequestContext, attempt: Attempt) -> None:
        if attempt.response is not None:
            self._counters.increment_forwarded(attempt.response.status)
        context.finish()
        context.client_conn.end_reply(attempt.end_reason is EndReason.RESPONSE)

    def _conclude(self, context: RequestContext, attempt: Attempt) -> None:
        """Forward the response, make a further attempt, wait for one in flight, or send an error to the client."""
        response = attempt.response
        final = self._final_response(context, attempt)
        if final is not None and final.status < FIRST_SERVER_ERROR:
            self._forward(context, final)
            return
        if response is not None and response.status == outcome.MISDIRECTED_REQUEST:
            self._selection.remove(attempt.target)
        if self._may_attempt_again(context, attempt):
            self.dispatch(context)
            return
        if context.attempts:
            return  # the other attempt may still get a response
        if final is not None:
            self._forward(context, final)
        else:
            self._give_up(context, is_timeout=False)

    def _final_response(self, context: RequestContext, attempt: Attempt) -> Response | None:
        """Return the attempt's response if the client may get it."""
        response = attempt.response
        if response is None or attempt.outcome is not Outcome.EXECUTED:
            return None
        return response if outcome.may_forward(context.admitted.route.route_kind, response) else None

    def _may_attempt_again(self, context: RequestContext, attempt: Attempt) -> bool:
        """Return whether to send the request to another server.

        An attempt whose server was unreachable is not counted, and needs no retry budget.
        """
        if attempt.end_reason is not EndReason.UNREACHABLE:
            return self._may_retry(context)
        context.attempt_count -= 1
        context.unreachable_count += 1
        return context.unreachable_count < MAX_UNREACHABLE and not context.attempts

    def _forward(self, context: RequestContext, response: Response) -> None:
        """Send the server's response to the client unchanged."""
        self._counters.increment_forwarded(response.status)
        context.reply(response.status, response.body, response_header_lines(response))

    # -- errors --------------------------------------------------------------------------------------------

    def _give_up_unless_in_flight(self, context: RequestContext) -> None:
        if not context.attempts:
            self._give_up(context, is_timeout=False)

    def _give_up(self, context: RequestContext, is_timeout: bool) -> None:
        """Send the proxy's own final response: there is no server response to forward, and no further attempt."""
        status = outcome.final_status(context.worst_outcome, is_timeout)
        self._counters.increment_own(status)
        if status == SERVICE_UNAVAILABLE:
            context.reject(NO_SERVER)
        else:
            context.reply(status, b"gone" if status == BAD_GATEWAY else b"late")

    def on_deadline(self, context: RequestContext) -> None:
        """End the request at its deadline; an attempt in flight may have been executed."""
        if context.is_finished:
            return
        if context.streaming_attempt is not None:
            context.finish()
            context.client_conn.end_reply(False)  # the client can tell that the response is truncated
            context.cancel_attempts()
            return
        if any(attempt.is_written for attempt in context.attempts):
            context.worst_outcome = max(context.worst_outcome, Outcome.UNKNOWN)
        self._give_up(context, is_timeout=True)
        context.cancel_attempts()


def _is_still_authorized(context: RequestContext, table: RoutingTable) -> bool:
    """Return whether the request's key still identifies the same tenant; it may be revoked between attempts."""
    return authorized_tenant(table, context.request) == context.admitted.tenant_id
