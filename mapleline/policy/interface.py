"""What the decision module is told and what it may ask for.

All times are integer nanoseconds.  Nothing here decides anything: these are the settings a gateway gets at
start, the events it sees and the actions it may return.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum


class Effect(IntEnum):
    """What happens when a request runs twice."""

    SAFE = 0
    KEYED = 1
    UNSAFE = 2


class Scope(IntEnum):
    """Which servers discard repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class WeightKind(IntEnum):
    """What a server's listed weight means."""

    NONE = 0
    NOMINAL = 1
    ROUGH = 2
    LIVE = 3


class ServerState(IntEnum):
    """A server's standing on the list."""

    READY = 0
    GONE = 1
    DRAINING = 2


class News(IntEnum):
    """What a server-list event carries."""

    CHANGES = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Result(IntEnum):
    """How an attempt, a probe or a counter call ended."""

    OK = 0
    ERROR = 1
    REJECTED = 2
    TIMEOUT = 3
    NO_CONNECTION = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


#: Results that prove that the attempt never ran.
NEVER_RAN = frozenset({Result.REJECTED, Result.NO_CONNECTION, Result.MOOT})


@dataclass(slots=True)
class RequestClass:
    """One class of request."""

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
    """A plan's quota (rate, burst, open), its hard ceiling and what use beyond the quota earns and costs."""

    rate: float = 0.0
    burst: float = 0.0
    max_in_flight: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    over_quota_value: float = 0.0
    over_quota_cost: float = 0.0
    value_factor: float = 1.0
    window_ns: int = field(default=0, compare=False)  #: the module's own, worked out once
    limit: float = field(default=0.0, compare=False)  #: units of a window; the module's own


@dataclass(slots=True)
class Start:
    """Everything a gateway is told when it starts."""

    ingress: int = 0
    ingresses: int = 1
    workers: int = 1  #: processes of this gateway, which share its part of a customer's quota
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
    """One line of the server list."""

    server: int
    state: ServerState = ServerState.READY
    started_ns: int = 0
    weight: float = 1.0
    kind: int = 0
    zone: int = 0
    cell: int = 0


@dataclass(slots=True)
class Arrival:
    """A client's request; one final answer is owed."""

    request: int
    class_id: int
    plan: int
    customer: int
    ttl_ns: int
    units: float = 1.0
    ingress_count: int = 1
    first_ingress: int = 0
    is_retry: bool = False
    is_body_pending: bool = False  #: its body is still coming in: `ttl_ns` counts from the Whole event
    is_counted: bool = False  #: its units are on the count already: another gateway had accepted it


@dataclass(slots=True)
class Whole:
    """The last byte of a request that was coming has come: its time counts from now."""

    request: int


@dataclass(slots=True)
class Left:
    """The client is gone; nothing is owed any more."""

    request: int


@dataclass(slots=True)
class Begun:
    """A streamed answer has begun."""

    request: int
    attempt: int
    server: int


@dataclass(slots=True)
class Outcome:
    """How one attempt ended."""

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
    """A timer set earlier has run out."""

    token: int


@dataclass(slots=True)
class ServerNews:
    """News of the server list."""

    news: News
    servers: list[Server] = field(default_factory=list)


@dataclass(slots=True)
class Probed:
    """How a probe ended."""

    server: int
    result: Result
    duration_ns: int = 0
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class Counted:
    """The counter service's answer to one call."""

    name: int
    result: Result
    total: float = 0.0
    duration_ns: int = 0


@dataclass(slots=True)
class Told:
    """A message from another gateway."""

    sender: int
    data: bytes


@dataclass(slots=True)
class ZoneTurn:
    """The fleet has left a zone, or is back in it."""

    zone: int
    is_left: bool


Event = ZoneTurn | Arrival | Whole | Left | Begun | Outcome | Timer | ServerNews | Probed | Counted | Told


@dataclass(slots=True)
class Send:
    """Send the request to a server; the next attempt number is implied."""

    request: int
    server: int
    timeout_ns: int = 0


@dataclass(slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: refused, a retry does no harm; over_quota tells the customer's doing from the fleet's."""

    request: int
    retry_in_ns: int = 0
    over_quota: bool = False


@dataclass(slots=True)
class Fail:
    """Final answer: failed, nothing promised."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a Timer event; one that names a request need not come once that request is over."""

    after_ns: int
    token: int
    request: int | None = None


@dataclass(slots=True)
class Count:
    """Add to a named count and get its total."""

    name: int
    amount: float
    ttl_ns: int


@dataclass(slots=True)
class Probe:
    """Probe a server."""

    server: int


@dataclass(slots=True)
class Tell:
    """Message to another gateway; None means all of them."""

    to: int | None
    data: bytes


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


@dataclass(slots=True)
class Watch:
    """Ask for changes of the server list from now on."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Ask for the whole server list once."""


@dataclass(slots=True)
class Close:
    """Close idle connections to a server."""

    server: int


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Count | Probe | Tell | Log | Watch | Fetch | Close
)
