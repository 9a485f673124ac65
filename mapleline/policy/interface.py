"""The events that the decision module receives, the actions that it returns, and its settings.

The engine (mapleline/engine) and the simulator's adapter (mapleline/simwire) send the events and carry out the actions.
This module holds data only.  Times and durations are integer nanoseconds.  Numbers of requests, servers, customers,
classes and plans are the sender's; a class or plan is an index into `Start.classes` or `Start.plans`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """Whether a request of a class may be executed more than once."""

    SAFE = 0  #: it may: repeating it changes nothing
    KEYED = 1  #: servers discard a repeat by its idempotency key, within the class's scope and `key_ttl_ns`
    UNSAFE = 2  #: it may not


class Scope(IntEnum):
    """The set of servers that share idempotency keys, and so discard each other's repeats."""

    ALL = 0  #: all servers
    ZONE = 1  #: the servers of a zone
    CELL = 2  #: the servers of a cell


class WeightKind(IntEnum):
    """What the weights in the server list stand for; the values are those of the setting `weight_kind`."""

    NONE = 0
    NOMINAL = 1
    ROUGH = 2
    LIVE = 3


class ServerState(IntEnum):
    """The state of a server in the server list."""

    READY = 0  #: takes requests
    GONE = 1  #: has terminated
    DRAINING = 2  #: finishes what it has and takes no new requests


class News(IntEnum):
    """What a ServerNews event carries."""

    CHANGES = 0  #: the servers that were added or changed; the others are as before
    FULL = 1  #: the whole list; a server that is missing is gone
    CACHED = 2  #: a whole list that was stored earlier and may be out of date
    FAILED = 3  #: no list: the request for it failed


class Result(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 0
    ERROR = 1  #: answered with an error
    REJECTED = 2  #: refused before it was executed
    TIMEOUT = 3  #: no answer in time; it may have been executed
    NO_CONNECTION = 4  #: no connection could be made, so nothing was sent
    RESET = 5  #: the connection broke before the answer; it may have been executed
    CANCELLED = 6  #: ended by this ingress before its answer; it may have been executed
    MOOT = 7  #: never sent: the request was over or could have no further attempt


#: Results that prove that the attempt was not executed.
NEVER_RAN = frozenset({Result.REJECTED, Result.NO_CONNECTION, Result.MOOT})


@dataclass(slots=True)
class RequestClass:
    """The settings of one class of requests.

    Attributes:
        latency_target_ns: The time from arrival within which an answer has its whole value.
        deadline_ns: The longest time that a client waits.
        effect: Whether a request may be executed more than once.
        scope: Which servers share the class's idempotency keys.
        key_ttl_ns: For how long servers remember an idempotency key.
        late_value: The value of an answer after the target; at 0 such an answer is worth nothing.
        value: The value of an answer within the target, relative to the other classes.
        stream: Whether answers are streamed.
    """

    latency_target_ns: int
    deadline_ns: int
    effect: Effect = Effect.SAFE
    scope: Scope = Scope.ALL
    key_ttl_ns: int = 0
    late_value: float = 0.0
    value: float = 1.0
    stream: bool = False


@dataclass(slots=True)
class Plan:
    """The settings of one plan, which apply to each of its customers over the whole fleet.

    Attributes:
        rate: The quota's refill in units per second; no quota at 0.
        burst: The quota's size in units; no quota at 0.
        max_in_flight: The most attempts in flight at once; no limit at 0.
        ceiling_rate: The refill of the hard ceiling in units per second; no ceiling at 0.
        ceiling_burst: The size of the hard ceiling in units.
        ceiling_slack: By how many units the fleet may exceed the hard ceiling.
        over_quota_value: The value of a request that is admitted beyond the quota, as a share of the usual one.
        over_quota_cost: What such a request costs, in the same measure.
        value_factor: Multiplies the value of the customers' requests.
        window_ns: The length of the counting window; 0 until the decision module has derived it.
        limit: The units of one counting window; derived together with `window_ns`.
    """

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    value_factor: float = 1.0
    window_ns: int = field(default=0, compare=False)
    limit: float = field(default=0.0, compare=False)


@dataclass(slots=True)
class Start:
    """The settings of the decision module of one ingress.

    Attributes:
        ingress: The number of this ingress, from 0.
        ingresses: How many ingresses the fleet has.
        workers: The worker processes of this ingress, which share its part of a customer's quota.
        seed: The seed of all random numbers.
        zone: The number of this ingress's zone.
        zones: How many zones there are.
        classes: The classes, by number.
        plans: The plans, by number.
        weight_kind: What the weights of servers stand for.
        list_on_request: Whether the server list has to be asked for, rather than being pushed.
        list_ask_within_ns: The time within which the list is to be asked for; it bounds the pauses between requests.
        tick_ns: The resolution of the clock.
        answer_slack_ns: The platform's tolerance for answer times; the decision module does not use it.
        slow_start_share: The share of its traffic that a server gets at the start of its warm-up, 0 to 1.
        warm_up_ns: The time over which a new server's share grows to 1.
        fall_multiple: A server fails when it gets this multiple of what it can bear.
        fall_window_ns: The time over which that is measured.
        max_attempts: The most attempts of a request, the first one included.
        max_retry_after_ns: The longest `Refuse.retry_in_ns`.
        connect_timeout_ns: The time limit for a connection to a server.
        may_cancel: Whether Cancel is allowed.
        may_probe: Whether Probe is allowed.
        may_message_peers: Whether Tell is allowed.
        peer_messages_per_s: How many messages a second an ingress may receive from the others.
        may_hedge: Whether a second attempt may be made while the first is in flight.
        may_advise: Whether a refusal may carry `retry_in_ns`.
        may_count: Whether there is a quota counter to call.
        corrects_units: Whether an outcome carries the units that the request actually used.
        marks_retries: Whether clients mark their retries (`Arrival.is_retry`).
        max_units: The most units that a request may use.
        counter_timeout_ns: The time limit for a counter call; the engine's own limit holds at 0.
        report_fields: The names of the values in `Outcome.report` and `Probed.report`, in their order.
    """

    ingress: int = 0
    ingresses: int = 1
    workers: int = 1
    seed: int = 0
    zone: int = 0
    zones: int = 1
    classes: list[RequestClass] = field(default_factory=list)
    plans: list[Plan] = field(default_factory=list)
    weight_kind: WeightKind = WeightKind.NONE
    list_on_request: bool = False
    list_ask_within_ns: int = 0
    tick_ns: int = 1_000_000
    answer_slack_ns: int = 0
    slow_start_share: float = 1.0
    warm_up_ns: int = 0
    fall_multiple: float = 1.0
    fall_window_ns: int = 0
    max_attempts: int = 1
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    may_cancel: bool = False
    may_probe: bool = False
    may_message_peers: bool = False
    peer_messages_per_s: float = 0.0
    may_hedge: bool = False
    may_advise: bool = False
    may_count: bool = False
    corrects_units: bool = False
    marks_retries: bool = False
    max_units: float = 1.0
    counter_timeout_ns: int = 0
    report_fields: tuple[str, ...] = ()


@dataclass(slots=True)
class Server:
    """One entry of the server list.

    Attributes:
        server: The server's number.
        state: Its state.
        started_ns: When its process started, which identifies the process: another time means a restart.
        weight: Its capacity relative to the other servers.
        kind: The number of its kind.
        zone: The number of its zone.
        cell: The number of its cell.
    """

    server: int
    state: ServerState = ServerState.READY
    started_ns: int = 0
    weight: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0


# -- events: sent by the engine to the decision module -----------------------------------------------------------------


@dataclass(slots=True)
class Arrival:
    """A client's request has arrived; the module answers it exactly once, by Refuse, Fail or an attempt's answer.

    Attributes:
        request: The request's number.
        class_id: The number of its class.
        plan: The number of its customer's plan.
        customer: The customer's number.
        ttl_ns: The time from now for which the client waits.
        units: The units of quota that the request uses, by the client's estimate.
        ingress_count: How many ingresses get requests of this customer.
        first_ingress: The number of the first of them; the others have the numbers that follow.
        is_retry: Whether the client marked the request as a retry.
        is_body_pending: Whether its body is still arriving; `ttl_ns` then counts from the Whole event.
        is_counted: Whether its units have been counted, since another ingress had accepted it before.
    """

    request: int
    class_id: int
    plan: int
    customer: int
    ttl_ns: int
    units: float = 1.0
    ingress_count: int = 1
    first_ingress: int = 0
    is_retry: bool = False
    is_body_pending: bool = False
    is_counted: bool = False


@dataclass(slots=True)
class Whole:
    """The last byte of a request with `is_body_pending` has arrived; its time starts now."""

    request: int


@dataclass(slots=True)
class Left:
    """The client of a request has disconnected or its deadline has passed: no answer is needed any more."""

    request: int


@dataclass(slots=True)
class Begun:
    """The streamed answer of an attempt has begun; it is the request's final answer."""

    request: int
    attempt: int
    server: int


@dataclass(slots=True)
class Outcome:
    """An attempt has ended.

    Attributes:
        request: The request's number.
        server: The server that the attempt was sent to.
        attempt: The attempt's number, counted from 0 for each request.
        duration_ns: The time from sending to the end, or to the first byte of a streamed answer.
        result: How it ended.
        is_final: Whether the request has been answered, so that no further attempt is needed.
        units: The units that the request actually used; 0 if unknown.
        report: What the server reports of its load, as named by `Start.report_fields`.
    """

    request: int
    server: int
    attempt: int
    duration_ns: int
    result: Result
    is_final: bool
    units: float = 0.0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Timer:
    """A timer that was set by SetTimer with this token has expired."""

    token: int


@dataclass(slots=True)
class ServerNews:
    """The server list, or changes of it, by the value of `news`."""

    news: News
    servers: list[Server] = field(default_factory=list)


@dataclass(slots=True)
class Probed:
    """A probe has ended; `report` is as in Outcome."""

    server: int
    result: Result
    duration_ns: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Counted:
    """A counter call has ended.

    Attributes:
        name: The counter's name, as in Count.
        result: How the call ended.
        total: The counter's value after the addition, in units; valid with Result.OK only.
        duration_ns: The time from the call to its end.
    """

    name: int
    result: Result
    total: float = 0.0
    duration_ns: int = 0


@dataclass(slots=True)
class Told:
    """Another ingress has sent a message by Tell; `sender` is its number."""

    sender: int
    data: bytes


@dataclass(slots=True)
class ZoneTurn:
    """The fleet has ejected a zone (`is_left`) or has readmitted it."""

    zone: int
    is_left: bool


Event = ZoneTurn | Arrival | Whole | Left | Begun | Outcome | Timer | ServerNews | Probed | Counted | Told


# -- actions: returned by the decision module for the engine to carry out ----------------------------------------------


@dataclass(slots=True)
class Send:
    """Send an attempt to a server.  Its number is the count of the request's earlier attempts.

    `timeout_ns` limits the attempt from now on; at 0 only the request's deadline does.
    """

    request: int
    server: int
    timeout_ns: int = 0


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Answer finally that the request was not executed, or may be repeated, so that a retry does no harm.

    Attributes:
        request: The request's number.
        retry_in_ns: The earliest time, from now, at which a retry makes sense.
        over_quota: Whether the customer's own quota is the reason, rather than the state of the fleet.
    """

    request: int
    retry_in_ns: int = 0
    over_quota: bool = False


@dataclass(slots=True)
class Fail:
    """Answer finally that the request failed; it may or may not have been executed."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Send a Timer event with this token after `after_ns`.

    If `request` is given, the event may be left out once that request is over.
    """

    after_ns: int
    token: int
    request: int | None = None


@dataclass(slots=True)
class Count:
    """Add `amount` units to a named counter and return its total by Counted.

    The counter is created by its first call and removed after `ttl_ns`.
    """

    name: int
    amount: float
    ttl_ns: int


@dataclass(slots=True)
class Probe:
    """Probe a server; Probed follows."""

    server: int


@dataclass(slots=True)
class Tell:
    """Send a message to the ingress with the number `to`, or to all others if that is None."""

    to: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


@dataclass(slots=True)
class Watch:
    """Start to report changes of the server list by ServerNews; stop that if `on` is false."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Report the whole server list once by ServerNews."""


@dataclass(slots=True)
class Close:
    """Close the idle connections to a server."""

    server: int


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Count | Probe | Tell | Log | Watch | Fetch | Close
)
