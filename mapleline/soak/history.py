"""Observations of the simulated parties of a soak test; times are seconds of one monotonic clock."""

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
    """One request of a client to one node, under a unique id.

    Attributes:
        id: Value of the `Request-Id` header.
        tenant: Name of the tenant whose API key the request carries.
        is_idempotent: Whether the request may run more than once.
        node: Name of the node.
        sent_at: Time of sending.
        is_retry: Whether the client retries an earlier attempt.
        ended_at: Time of the end; None while the attempt is open.
        end: How the attempt ended; None while it is open.
        status: HTTP status of the answer; 0 without one.
        is_foreign_answer: Whether the answer carries a server's stamp but belongs to another request id.
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
    """The start of one request at a server."""

    request_id: str
    tenant: str
    server_id: str
    arrived_at: float


@dataclass(slots=True)
class Order:
    """One configuration that the operator sent.

    `status` is that of its conclusive answer, or 0 while there is none.
    """

    version: int
    body: bytes
    sent_at: float
    status: int = 0
    ended_at: float | None = None


class ProcessEventKind(Enum):
    """Kind of an event of a node's process."""

    START = "start"
    TERMINATE = "SIGTERM"
    KILL = "SIGKILL"
    STOP = "SIGSTOP"
    CONTINUE = "SIGCONT"
    RELOAD = "SIGHUP"
    EXIT = "ended"
    STUCK = "did not end after SIGTERM"


#: A connection that breaks after one of these events is not a fault of the node.
UNPLANNED_EVENTS = frozenset({ProcessEventKind.KILL, ProcessEventKind.STOP})


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """One event of a node's process; `status` is the exit status of an `EXIT`."""

    at: float
    node: str
    kind: ProcessEventKind
    status: int = 0


@dataclass(frozen=True, slots=True)
class ReadBack:
    """The answer of one node to a read of the configuration after the load has ended; `status` 0 without an answer."""

    node: str
    status: int
    body: bytes


@dataclass(slots=True)
class SoakHistory:
    """All observations of one soak test.

    Attributes:
        attempts: Attempts of the clients, by id.
        runs: Runs of requests at the servers.
        orders: Configurations that the operator sent.
        process_events: Events of the nodes' processes.
        read_backs: Reads of the configuration after the load has ended.
        limits: Highest rate per second and burst that each tenant ever had; a rate of 0 means unlimited.
        max_loop_lag_s: Greatest delay of the rig's event loop; arrivals may be recorded late by up to this time.
    """

    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    runs: list[ServerRun] = field(default_factory=list)
    orders: list[Order] = field(default_factory=list)
    process_events: list[ProcessEvent] = field(default_factory=list)
    read_backs: list[ReadBack] = field(default_factory=list)
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    max_loop_lag_s: float = 0.0
