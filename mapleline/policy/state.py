"""The state of the decision module: customers, servers, open requests and fleet-wide values.  Nothing is decided here.

Times are nanoseconds on the engine's clock: names that end in `_at` or `_until` hold times, those in `_ns` durations.
The deciding files (`policy` in deploy/balancer.toml) are held to 500 lines together, so their state is explained here.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .interface import Action, Arrival, Effect, Plan, RequestClass, Result, ServerState, Start

SAFE, UNSAFE, OK, READY = Effect.SAFE, Effect.UNSAFE, Result.OK, ServerState.READY
DEADLINE, COUNTER_WAIT, TICK = range(3)  # kinds of timer; the kind is the token's remainder by 8
MAX_TTL_NS = 60_000_000_000  # the counter keeps a name for this long at most; a window is a third of it at most
MASK_64 = (1 << 64) - 1


def mix64(customer: int, window: int) -> int:
    """Return a 64-bit hash of customer and window number: the counter's name, the same on every ingress."""
    mixed = (customer * 0x9E3779B97F4A7C15 + window * 0xD1B54A32D192ED03) & MASK_64
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        mixed = ((mixed ^ (mixed >> shift)) * factor) & MASK_64
    return mixed ^ (mixed >> 31)


@dataclass(slots=True, eq=False)
class Usage:
    """One customer's use as this ingress knows it.  Amounts are units of the quota.

    Attributes:
        plan: The number of its plan.
        ingresses: How many ingresses get its requests.
        window: The number of the current counting window; -2 before the first request.
        total: The last known total of the current window, by the counter, and the `pending` units since.
        unconfirmed: Units that this worker has admitted since that total without a counter answer.
        pending: Units that the next counter call adds: of admissions without a call, of corrections, and of calls that
            certainly did not reach the counter.  Negative if units are to be reverted.
        admitted: Units that this worker has admitted in the current window.
        added: Units that this worker's calls have added to the counter in the current window, as answered.
        floor: A lower bound of the current window's total, whatever a later answer says: after the counter has lost its
            value or was down, its total may still lack units of the other ingresses.
        prior: The last known total of the previous window, at most the limit: units above the limit belong to rejected
            requests, unless those were reverted already.  It counts by the share of the current window that is left, so
            the estimate falls steadily to the limit; if `total` alone is above the limit, not before the window's end.
            This is the wait that a rejection advises.
        burst: Units in the quota's token bucket, by the totals seen.  The plan's rate refills it, up to a burst.  It
            admits beyond the limit of the two windows only if each request calls the counter, as totals are accurate
            then.
        burst_at: When `burst` was updated; 0 before the first update.
        inside_rate: The share of its requests that were within the quota by the counter's answers, as a moving average;
            below 0 before the first answer.
        share: This ingress's share of the customer's use, 0 to 1; it scales own units to those of all ingresses while
            the counter is down.  With hundreds of ingresses, its part of the limit may be less than one request.
        ceiling: Units in the token bucket of this ingress's part of the hard ceiling.  The parts add up to the ceiling,
            so it holds whatever the other ingresses do.  The bucket is empty at the start, because an earlier process
            may have spent it.
        ceiling_at: When `ceiling` was updated; 0 before the first update.
        in_flight: This worker's attempts in flight; the ingress may use its share of the plan's limit, at least one.
        seen_at: When its latest request arrived.
        key: The customer's number.
        total_at: When the counter returned `total`; 0 in a window without an answer.
        peer_unconfirmed: The `unconfirmed` units of this ingress's other workers, if it has any.
        peer_admitted: Their `admitted` units.
        peer_in_flight: Their attempts in flight.
    """

    plan: int
    ingresses: int
    window: int = -2
    total: float = 0.0
    unconfirmed: float = 0.0
    pending: float = 0.0
    admitted: float = 0.0
    added: float = 0.0
    floor: float = 0.0
    prior: float = 0.0
    burst: float = 0.0
    burst_at: int = 0
    inside_rate: float = -1.0
    share: float = 0.0
    ceiling: float = 0.0
    ceiling_at: int = 0
    in_flight: int = 0
    seen_at: int = 0
    key: int = 0
    total_at: int = 0
    peer_unconfirmed: float = 0.0
    peer_admitted: float = 0.0
    peer_in_flight: int = 0

    @property
    def unseen(self) -> float:
        """Units that all workers of this ingress have admitted and that the last total does not include."""
        return self.unconfirmed + self.peer_unconfirmed

    def __post_init__(self) -> None:
        self.share = 1.0 / self.ingresses


@dataclass(slots=True, eq=False)
class Server:
    """One server as this ingress sees it.

    Attributes:
        id: The server's number.
        answered_at: When it answered last; the time of its first listing before that.
        state: Its state in the server list.
        started_at: When its process started, by the server list; -1 before the first list.
        back_at: When the fleet readmitted its zone; slow start begins then, whatever the server list says; 0 if never.
        weight: Its capacity relative to the other servers, above 0.
        zone: The number of its zone.
        attempts: Attempts in flight: by request and attempt number, the time of sending and the usual answer time.
        slowness: Its answer times relative to the usual ones, as a moving average.
        blocked: By class, the time until which the server rejects it although its queue is not full.
        error_rate: A moving average of failures, from 0 to 1; above EJECT_RATE the server is ejected.  It decays on
            each tick, because a server that gets no requests would stay ejected.
        failures: Failures and rejections in a row, at most 3.
        backoff_until: Nothing is sent to it before this time.  The backoff doubles with each failure or rejection in a
            row, up to one latency target; afterwards a failing server gets one attempt at a time.
        lost_capacity: By how much its rejections since its last answer have cut the ingress's capacity.  It is given
            back if the server turns out to have rejected because it was draining or terminating.
    """

    id: int
    answered_at: int = 0
    state: int = 0
    started_at: int = -1
    back_at: int = 0
    weight: float = 1.0
    zone: int = 0
    attempts: dict[tuple[int, int], tuple[int, float]] = field(default_factory=dict)
    slowness: float = 1.0
    blocked: dict[int, int] = field(default_factory=dict)
    error_rate: float = 0.0
    failures: int = 0
    backoff_until: int = 0
    lost_capacity: float = 0.0


@dataclass(slots=True, eq=False)
class Request:
    """One open request.

    Attributes:
        event: The event of its arrival.
        class_: The settings of its class.
        plan: The settings of its customer's plan.
        usage: Its customer's use.
        useful_until: An answer after this time has no value.
        arrived_at: When it arrived.  Its time, and its attempt's at the server, start with the last byte of its body.
        attempts: Attempts in flight: the server's number by attempt number.
        sent: How many attempts have been sent.
        first_sent_at: When the first one was sent.
        total_before: The customer's total before this request, by the counter; None without an answer.
        window: The window of its counter call.
        charged: Units that it has added to the counter.  Where calls are sampled and this ingress's share of the limit
            is small, it stands for the requests admitted without a call, so it adds their units as well.  It adds 0 if
            the last totals already exceed the limit: the call only reads then, because the units of a rejected request
            would block the customer at other ingresses.
        is_decided: Whether admission is decided, so that a counter answer no longer matters.
        may_have_run: Whether an attempt may have been executed.
        tried: The servers that attempts were sent to.
        is_streaming: Whether the streamed answer has begun; no other answer may be sent then, and no attempt.
    """

    event: Arrival
    class_: RequestClass
    plan: Plan
    usage: Usage
    useful_until: int = 0
    arrived_at: int = 0
    attempts: dict[int, int] = field(default_factory=dict)
    sent: int = 0
    first_sent_at: int = 0
    total_before: float | None = None
    window: int = 0
    charged: float = 0.0
    is_decided: bool = False
    may_have_run: bool = False
    tried: list[int] = field(default_factory=list)
    is_streaming: bool = False


class State:
    """All state of the decision module of one ingress, as it starts.

    Attributes:
        settings: The settings.
        rng: The source of all random numbers.
        started_at: When the first event arrived; -1 before that.
        actions: The actions that follow from the current event.
        requests: The open requests, by number.
        customers: The use of the customers seen lately, by number.
        servers: The listed servers, by number.
        cold: Ready servers in slow start, of the first tier that has ready servers; first attempts are drawn for them
            at random, by their share of the weight times the progress of their slow start.
        warm: Ready servers past slow start, of all tiers.
        total_weight: The weight of the ready servers of that tier.
        target_ns: The shortest latency target of the classes.
        usual_ns: The usual answer time of each class, a moving average that starts at an eighth of the latency target.
        first_ttl_ns: By class, the time for which a client waits at a first try, as last seen.
        calls: Counter calls in progress, by the counter's name in call order: request, window and units added.
            Requests call with a sampling probability (`Brain.sampling`), which follows the waits for the counter.  It
            grows four times as fast before its first cut, while the counter's capacity is unknown.
        inside_rates: The share of requests within the quota, by plan and by whether the client marked a retry.
        down_at: When the counter was last taken to be down: at the least sampling probability.
        limited: By customer over its limit, until when, by own estimates and by messages of other ingresses.
        message_tokens: A token bucket for messages to other ingresses.  All ingresses together send half of what each
            may receive, and save up at most one message to each.  The first level is random, so that ingresses that
            start together do not all send at once.
        logged: The last logged state of each condition.
        capacity: The adaptive concurrency limit: attempts that may be in flight.  Late, overdue and rejected attempts
            cut it, so that queues drain.  A drawback: a few slow servers cut it as well.
        in_flight: The attempts in flight.
        retries: The retry budget, a token bucket that successes refill.
        budgets: This ingress's parts of the fleet's budgets (calls, retries, spill, cold), from which `may_spend`
            takes; None if budgets are not divided.
        zones: The fleet's ejection of zones; None if it is off.
        ejected_zones: By zone, whether the fleet has ejected it.  Attempts in flight there are cancelled if their
            request may be repeated, and are retried elsewhere at once.
        tiers: The sets of zones to prefer, in their order; empty for no preference.  Requests spill to later tiers only
            as far as the fleet's budget allows, and not to servers in slow start.
        peers: The ingress's other workers, with which the counts of customers are shared; None if it has none.
        customer_life_ns: How long after a customer's last request all its counters and buckets have expired.
    """

    def __init__(self, start: Start) -> None:
        self.settings, self.rng, self.started_at = start, random.Random(start.seed), -1
        self.actions: list[Action] = []
        self.requests: dict[int, Request] = {}
        self.customers: dict[int, Usage] = {}
        self.servers: dict[int, Server] = {}
        self.cold, self.warm, self.total_weight = [], [], 0.0
        self.target_ns = min([class_.latency_target_ns for class_ in start.classes], default=1_000_000_000)
        self.usual_ns = [class_.latency_target_ns / 8 for class_ in start.classes]
        self.first_ttl_ns = [0] * len(start.classes)
        self.calls: dict[int, list] = {}
        self.inside_rates: dict[tuple[int, bool], float] = {}
        self.down_at = -MAX_TTL_NS
        self.limited: dict[int, int] = {}
        self.message_tokens = self.rng.random() * start.ingresses
        self.logged, self.capacity, self.in_flight = {}, 0.0, 0
        self.retries = 5.0 / start.workers
        self.budgets = None
        self.zones, self.ejected_zones, self.tiers = None, {}, []
        self.peers = None
        refills_ns = [plan.ceiling_burst / plan.ceiling_rate * 1e9 for plan in start.plans if plan.ceiling_rate > 0]
        self.customer_life_ns = MAX_TTL_NS + max(refills_ns, default=0.0)
