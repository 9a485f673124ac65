"""What the stand-ins of a soak saw; times are seconds of one steady clock."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class AttemptEnd(Enum):
    """How a client's attempt ended."""

    ANSWERED = "answered"
    REFUSED = "no connection"
    BROKEN = "closed or reset without an answer"
    TIMED_OUT = "no answer in time"


@dataclass(slots=True)
class ClientAttempt:
    """One request of a client to one node, with an id of its own.

    Attributes:
        id: Its `Request-Id`.
        tenant: Whose key it carries.
        is_idempotent: Whether it may run more than once.
        node: The name of the node.
        sent_at: When it was sent.
        is_retry: The client has tried before.
        ended_at: When it ended; None while it is open.
        end: How it ended.
        status: Of the answer; 0 without one.
        is_foreign_answer: The answer bears a server's stamp, and is not the one that a server gave to this id.
    """

    id: str
    tenant: str
    is_idempotent: bool
    node: str
    sent_at: float
    is_retry: bool = False
    ended_at: float | None = None
    end: AttemptEnd | None = None
    status: int = 0
    is_foreign_answer: bool = False


@dataclass(frozen=True, slots=True)
class ServerRun:
    """One request that a server has begun to work on."""

    request_id: str
    tenant: str
    server_id: str
    arrived_at: float


@dataclass(slots=True)
class Order:
    """One configuration that the operator sent, and its clear answer: 0 while there is none."""

    version: int
    body: bytes
    sent_at: float
    status: int = 0
    ended_at: float | None = None


class ProcessEventKind(Enum):
    """What befell a node's process."""

    START = "start"
    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    STOP = "SIGSTOP"
    CONTINUE = "SIGCONT"
    RELOAD = "SIGHUP"
    EXIT = "ended"
    STUCK = "did not end after SIGTERM"


#: After these a connection may break without a fault of the node's.
UNPLANNED = frozenset({ProcessEventKind.KILL, ProcessEventKind.STOP})


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """One event of a node's process; `status` is that of an exit."""

    at: float
    node: str
    kind: ProcessEventKind
    status: int = 0


@dataclass(frozen=True, slots=True)
class ReadBack:
    """What one node answered to a read of the configuration after the load had ended."""

    node: str
    status: int
    body: bytes


@dataclass(slots=True)
class SoakHistory:
    """All that was seen in one soak.

    Attributes:
        attempts: Of the clients, by id.
        runs: At the servers.
        orders: Of the operator.
        process_events: Of the nodes.
        read_backs: After the end.
        limits: The highest rate a second and burst that each tenant ever had; rate 0 is none.
        max_loop_lag_s: How much later than due the stand-ins' event loop ever ran: by so much arrivals may be recorded
            too late.
    """

    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    runs: list[ServerRun] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    read_backs: list[ReadBack] = field(default_factory=list)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    max_loop_lag_s: float = 0.0
