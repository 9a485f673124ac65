"""Admission: the two-window estimate of a customer's use, the quota, and the hard ceiling."""

import struct

from . import interface as api
from .estimate import weighted
from .state import COUNTER_WAIT, MAX_TTL_NS, OK, Request, Usage, mix64

MESSAGE = struct.Struct("<QBQ")  # a server, a class that it rejects though not full, and until when; or:
OVER_LIMIT = 255  # a customer, this in place of the class, and until when the customer is over its limit
UNANSWERED = 0.5  # of a request's units must fit without an answer: admits too much as often as too little
INSIDE_START = 2 / 3  # share of requests that are within the quota, before any answer: most are
CUSTOMER_GAIN, PLAN_GAIN = 0.5, 0.05  # weight of the newest answer in a customer's and a plan's share inside
SAMPLING_MIN, SAMPLING_START, SAMPLING_REVERT, SAMPLING_MAX = 0.1, 0.3, 1.05, 1.1  # MIN: counter is down
QUICK = 0.6  # of the wait for the counter: quicker answers raise the sampling probability, slower ones cut it
SAMPLING_FLOOR = 0.6  # of the probability at least, where the answer seems obvious: totals must stay accurate
LOST = 0.5  # a total below this share of what this ingress alone has added: the counter has lost its value
MIN_BURST = 2.0  # times a request's units in the bucket: what other ingresses add unseen may be as much again
SAMPLING_CUT, SAMPLING_STEP = 0.5, 0.015  # at a missing answer; at a quick one, divided by the probability


class Admission:

    def window_ns(self, plan: api.Plan) -> int:  # time to refill a burst; counters outlive two windows
        if not plan.window_ns:
            plan.window_ns = min(int(plan.burst / plan.rate * 1e9), MAX_TTL_NS // 3) or 1
            plan.limit = plan.rate * plan.window_ns / 1e9
        return plan.window_ns

    def limit(self, plan: api.Plan) -> float:
        return plan.limit if plan.window_ns else plan.rate * self.window_ns(plan) / 1e9

    def roll(self, usage: Usage, plan: api.Plan) -> float:
        """Bring the customer's windows and bucket up to now; returns the share left of the current window."""
        window, elapsed_ns = divmod(self.now, self.window_ns(plan))
        if self.peers is not None:
            self.peers.merge(usage, window)
        if window != usage.window:
            total, follows, own = (max(0.0, usage.total + usage.unseen / usage.share),
                                   window == usage.window + 1, usage.admitted + usage.peer_admitted)
            if follows and total > 0 and own > 0:  # own share, for when the counter is down
                usage.share += 0.5 * (min(1.0, max(own / total, 0.5 / usage.ingresses)) - usage.share)
            usage.prior = min(self.limit(plan), total) if follows else 0.0  # the excess was rejected
            usage.window, usage.total, usage.unconfirmed, usage.pending, usage.admitted = (
                window, 0.0, 0.0, 0.0, 0.0)
            usage.peer_unconfirmed, usage.peer_admitted, usage.total_at, usage.added, usage.floor = (
                0.0, 0.0, 0, 0.0, 0.0)
        gained = plan.rate * (self.now - usage.burst_at) / 1e9 if usage.burst_at else self.limit(plan)
        usage.burst, usage.burst_at = min(self.limit(plan), usage.burst + gained), self.now
        return 1.0 - elapsed_ns / self.window_ns(plan)

    def ask(self, request: Request) -> None:
        """Call the counter; after late or missing answers only for a sample, mostly of high value."""
        usage, left, inside = request.usage, self.roll(request.usage, request.plan), self.inside_rate(request)
        request.window = usage.window
        value = min(inside, inside - self.payoff(request)) * (
            request.class_.value) * request.plan.value_factor * request.event.units
        self.mean_value += PLAN_GAIN * (value - self.mean_value)
        share = self.sampling * max(SAMPLING_FLOOR, value / self.mean_value)
        if self.sampling < 1 and self.is_sparse(request) and (
                self.limited.get(request.event.customer, 0) > self.now):
            return self.finish(request, self.limited[request.event.customer] - self.now, True)
        if not self.settings.may_count or self.rng.random() > share or not self.may_spend("calls"):
            return self.decide(request, None)
        # A sampled request stands for others without a call; over the limit it only reads (Request.charged).
        if usage.prior * left + usage.total + usage.unseen / usage.share <= self.limit(
                request.plan) or self.has_burst(request):
            request.charged = request.event.units / (
                min(1.0, share) if self.is_sparse(request) and self.payoff(request) > 0 else 1.0)
        usage.pending += request.charged
        self.call(request)
        if self.wait_ns != self.settings.counter_timeout_ns:  # else the call's own timeout ends the wait
            self.set_timer(self.wait_ns, COUNTER_WAIT, request.event.request)

    def call(self, request: Request) -> None:
        usage, name = request.usage, mix64(request.event.customer, request.usage.window)
        self.calls.setdefault(name, []).append((request, usage.window, usage.pending))
        self.actions.append(api.Count(name, usage.pending, min(MAX_TTL_NS, 3 * self.window_ns(request.plan))))
        usage.pending = 0.0

    def has_burst(self, request: Request) -> bool:  # admits beyond the limit; needs accurate totals
        return self.sampling >= 1 and request.usage.burst + request.charged >= MIN_BURST * request.event.units

    def is_sparse(self, request: Request) -> bool:  # own share of the limit is below this request
        return self.limit(request.plan) * request.usage.share < request.event.units

    def inside_rate(self, request: Request) -> float:  # of its customer if seen, else of its plan
        return request.usage.inside_rate if request.usage.inside_rate >= 0 else self.inside_rates.get(
            (request.event.plan, request.event.is_retry), INSIDE_START)

    def payoff(self, request: Request) -> float:  # expected value without an answer, 1 if surely inside
        inside = self.inside_rate(request)
        return inside - (1 - inside) * max(0.0, request.plan.over_quota_cost - request.plan.over_quota_value)

    def on_counted(self, event: api.Counted) -> None:
        queue = self.calls.get(event.name)
        if not queue:
            return
        request, window, amount = queue.pop(0)
        usage, answered = request.usage, event.result == OK
        if answered:
            step = SAMPLING_STEP if self.sampling_cut_at else 4 * SAMPLING_STEP  # faster before a cut
            step *= 1 - event.duration_ns / (QUICK * self.wait_ns)
            self.sampling = max(SAMPLING_MIN, min(SAMPLING_MAX, self.sampling + step / self.sampling))
        elif (event.duration_ns >= self.wait_ns or event.result in api.NEVER_RAN) and (
                self.now - self.sampling_cut_at > self.wait_ns):  # once a wait; ERROR and RESET show no load
            self.sampling, self.sampling_cut_at = max(SAMPLING_MIN, SAMPLING_CUT * self.sampling), self.now
        self.log_change("counter down", self.sampling <= SAMPLING_MIN)
        self.down_at = self.now if self.sampling <= SAMPLING_MIN else self.down_at
        left = self.roll(usage, request.plan)
        if usage.window == window and answered:
            if event.total < LOST * (usage.added + amount):  # value lost: each ingress adds its units again
                usage.floor, usage.pending, usage.added = (
                    max(usage.floor, usage.total + request.charged), usage.pending + usage.added, 0.0)
            elif self.now - self.down_at < (1 - left) * self.window_ns(request.plan) and (
                    not self.is_sparse(request)):  # units of other ingresses may still be missing
                usage.floor = max(usage.floor, usage.total + usage.unseen / usage.share + request.charged)
            usage.added += amount
            total = max(0.0, usage.floor, event.total + usage.pending)
            usage.burst += usage.total + usage.unconfirmed / usage.share - total
            usage.total, usage.unconfirmed, usage.total_at = total, 0.0, self.now
            request.total_before = usage.total + usage.peer_unconfirmed - request.charged
        elif usage.window == window and event.result in api.NEVER_RAN:
            usage.pending += amount  # certainly not added; after a timeout it may have been
        if not request.is_decided:
            self.decide(request, request.total_before)

    def decide(self, request: Request, before: float | None) -> None:  # by the two-window estimate
        usage, units, left, limit = (request.usage, request.event.units,
                                     self.roll(request.usage, request.plan), self.limit(request.plan))
        request.is_decided, before = True, before if request.window == usage.window else None
        estimate = weighted(usage.prior, left, usage.total if before is None else before)
        inside = estimate <= limit or before is not None and self.has_burst(request)
        if before is not None:
            kind, share = (request.event.plan, request.event.is_retry), self.inside_rate(request)
            usage.inside_rate = share + CUSTOMER_GAIN * (inside - share)
            share = self.inside_rates.get(kind, INSIDE_START)
            self.inside_rates[kind] = share + PLAN_GAIN * (inside - share)
        elif self.is_sparse(request):  # limits guesses by their payoff, so that answered requests come first
            inside = inside and self.in_flight < int(self.payoff(request) * self.capacity + self.rng.random())
        else:  # no answer: last total and later own admissions, scaled by this ingress's share
            inside = estimate + (usage.unseen + UNANSWERED * units) / usage.share <= limit
        if inside and self.has_slot(request) or self.exceed(request):
            usage.admitted += units
            usage.unconfirmed += units if before is None else 0.0
            usage.burst -= units / usage.share if before is None else 0.0
            if not request.charged and not (before is None and self.is_sparse(request)):
                usage.pending += units
            request.charged = request.charged or units
            return self.dispatch(request)
        # As the weight of `prior` falls, the estimate fits after this share of the window (see Usage.prior).
        wait = min(left, (estimate - limit) / usage.prior) if usage.prior > 0 and estimate > limit else left
        wait = left if usage.total > limit else wait
        if before is not None and estimate > limit and self.limited.get(request.event.customer, 0) < self.now:
            self.limited[request.event.customer] = self.now + int(wait * self.window_ns(request.plan))
            if self.is_sparse(request):  # its other ingresses see too little of it to learn this
                to = [(request.event.first_ingress + n) % self.settings.ingresses
                      for n in range(usage.ingresses)]
                self.tell(to, request.event.customer, OVER_LIMIT, self.limited[request.event.customer])
        self.finish(request, wait * self.window_ns(request.plan), True)

    def tell(self, to: list[int], key: int, class_id: int, until: int) -> None:  # within the message tokens
        if self.settings.may_message_peers and self.message_tokens >= len(to):
            self.message_tokens -= len(to)
            self.actions += [api.Tell(n, MESSAGE.pack(key, class_id, until))
                             for n in to if n != self.settings.ingress]

    def on_told(self, event: api.Told) -> None:
        key, class_id, until = MESSAGE.unpack(event.data) if len(event.data) == MESSAGE.size else (-1, 0, 0)
        if class_id == OVER_LIMIT:
            self.limited[key] = until
        elif key in self.servers:
            self.servers[key].blocked[class_id] = until

    def has_slot(self, request: Request) -> bool:  # by its share of the plan's limit, at least one
        return not request.plan.max_in_flight or request.usage.in_flight + request.usage.peer_in_flight < max(
            1, round(request.plan.max_in_flight * request.usage.share + 0.25))

    def exceed(self, request: Request) -> bool:  # beyond the quota, where that earns more than it costs
        return request.plan.over_quota_value > request.plan.over_quota_cost and (
            self.in_flight < 0.5 * self.capacity)

    def take_ceiling(self, request: Request) -> bool:  # its own part: holds whatever other ingresses do
        plan, usage = request.plan, request.usage
        if plan.rate > 0 and plan.burst > 0:
            self.roll(usage, plan)  # takes over other workers' levels; without a quota each worker has a part
        part = 1 / (usage.ingresses * (self.settings.workers if plan.rate <= 0 or plan.burst <= 0 else 1))
        full, rate = (plan.ceiling_burst + 0.9 * plan.ceiling_slack) * part, plan.ceiling_rate * part / 1e9
        usage.ceiling = min(full, usage.ceiling + rate * (self.now - (usage.ceiling_at or self.started_at)))
        usage.ceiling_at = self.now
        fits = usage.ceiling >= request.event.units or plan.ceiling_rate <= 0
        usage.ceiling -= request.event.units if fits else 0.0
        return fits
