"""Attempts of a request, from the first one to the final answer: sending, retries, cancellation."""

from . import interface as api
from .admission import SAMPLING_REVERT
from .state import SAFE, Request

KEY_SHARE = 0.9  # of the time for which servers remember a key: the rest covers the way there


class Tries:

    def dispatch(self, request: Request) -> None:  # without a server: answer now, while a retry has time
        best = self.pick(request)
        if best is None or (request.sent == 0 and not self.take_ceiling(request)):
            return self.finish(request)
        request.first_sent_at = request.first_sent_at or self.now
        n, request.sent = request.sent, request.sent + 1
        request.tried.append(best.id)
        request.attempts[n] = best.id
        self.add_in_flight(request, 1)
        best.attempts[(request.event.request, n)] = (self.now, self.usual_ns[request.event.class_id])
        self.zones and self.zones.record_sent(best.zone, self.now)
        self.actions.append(api.Send(request.event.request, best.id, 0))

    def on_outcome(self, event: api.Outcome) -> None:
        request, server = self.requests.get(event.request), self.servers.get(event.server)
        if server is not None:
            self.learn(event, request, server)
        if request is None:
            return
        if request.attempts.pop(event.attempt, None) is not None:
            self.add_in_flight(request, -1)
        request.may_have_run = request.may_have_run or event.result not in api.NEVER_RAN
        if event.units > 0 and request.charged and request.plan.rate > 0:  # the next call corrects the count
            self.roll(request.usage, request.plan)
            request.usage.total += event.units - request.event.units
            request.usage.pending += event.units - request.event.units
        if event.is_final:
            self.drop(request)
        elif not request.attempts and not request.is_streaming:
            over = event.result == api.Result.MOOT or request.sent >= self.settings.max_attempts or (
                self.retries < 1)
            if over or not self.may_repeat(request, request.may_have_run) or not self.may_spend("retries"):
                return self.finish(request)
            self.retries -= 1
            self.dispatch(request)

    def may_repeat(self, request: Request, ran: bool) -> bool:  # none ran, or a repeat is safe or discarded
        keyed = request.class_.effect == api.Effect.KEYED and request.class_.scope == api.Scope.ALL
        in_time = self.now - request.first_sent_at < KEY_SHARE * request.class_.key_ttl_ns
        return not ran or request.class_.effect == SAFE or keyed and in_time

    def add_in_flight(self, request: Request, count: int) -> None:
        self.in_flight += count
        request.usage.in_flight += count
        if self.peers is not None:
            self.peers.mark_changed(request.usage)

    def drop(self, request: Request) -> None:  # revert its units if nothing was sent, cancel attempts
        if request.charged and request.sent == 0 and request.plan.rate > 0 and (
                request.window == request.usage.window):
            request.usage.total -= request.charged
            request.usage.burst += request.charged
            request.usage.pending -= request.charged
            if self.sampling > SAMPLING_REVERT and self.settings.may_count and self.may_spend("calls"):
                self.call(request)  # otherwise with the next call that adds units
        self.add_in_flight(request, -len(request.attempts))
        if self.settings.may_cancel and not request.is_streaming:
            self.actions += [api.Cancel(request.event.request, n) for n in request.attempts]
        request.attempts, request.is_decided = {}, True  # a later counter answer must not send it
        self.requests.pop(request.event.request, None)

    def finish(self, request: Request, advice_ns: float = 0, over_quota: bool = False) -> None:
        """Answer finally: refuse, with the time until a retry, where a retry does no harm; otherwise fail."""
        harmless = request.class_.effect == SAFE or not (request.may_have_run or request.attempts)
        wait_ns = min(int(advice_ns or request.class_.latency_target_ns), self.settings.max_retry_after_ns)
        self.actions.append(api.Refuse(request.event.request, wait_ns, over_quota) if harmless else api.Fail(
            request.event.request))
        self.drop(request)
