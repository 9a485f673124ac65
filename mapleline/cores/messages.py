"""The messages between the supervisor and a worker, and their JSON forms.

A message is a JSON object that is recognised by one key, its tag: `encode()` writes it, `decode_command` (supervisor to
worker) and `decode_report` (worker to supervisor) read it.  Some messages travel with a socket (`channel.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..policy.interface import ServerState

JsonObject = dict[str, Any]
Address = tuple[str, int]


class Message(Protocol):
    """Anything that the channel sends."""

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        ...


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server of the list; an array of its fields in JSON.

    Attributes:
        number: The supervisor's number of the server.
        life: Its state; GONE removes it.
        started_ns: When it started, by its own account.
        weight: Its capacity beside others'.
        kind: Index of its kind.
        zone: Index of its zone.
        cell: Its group.
        host: Address; empty for a server that is GONE.
        port: Port; 0 for a server that is GONE.
    """

    number: int
    life: ServerState
    started_ns: int
    weight: float
    kind: int
    zone: int
    cell: int
    host: str
    port: int

    def encode(self) -> list[Any]:
        """Return the JSON form."""
        return [
            self.number,
            int(self.life),
            self.started_ns,
            self.weight,
            self.kind,
            self.zone,
            self.cell,
            self.host,
            self.port,
        ]

    @classmethod
    def decode(cls, fields: list[Any]) -> ServerEntry:
        """Read the JSON form."""
        number, life, *rest = fields
        return cls(number, ServerState(life), *rest)


# --- supervisor to worker


@dataclass(slots=True, frozen=True)
class StartWorker:
    """The first message to a worker: all that it needs to start.

    Attributes:
        config: The platform's configuration, as read from its file.
        number: The worker's number.
        workers: Number of workers.
        customer_rows: Rows of each worker's customer table.
        log_form: Form of the log's lines.
        clock_start_ns: The supervisor's clock start, so that all count windows alike.
    """

    config: object
    number: int
    workers: int
    customer_rows: int
    log_form: str
    clock_start_ns: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {
            "config": self.config,
            "number": self.number,
            "workers": self.workers,
            "accounts": self.customer_rows,
            "log": self.log_form,
            "clock": self.clock_start_ns,
        }

    @classmethod
    def decode(cls, message: JsonObject) -> StartWorker:
        """Read the JSON form."""
        return cls(
            config=message["config"],
            number=message["number"],
            workers=message["workers"],
            customer_rows=message["accounts"],
            log_form=message["log"],
            clock_start_ns=message["clock"],
        )


@dataclass(slots=True, frozen=True)
class OfferConnection:
    """A connection that the worker may claim; its socket travels along.

    Attributes:
        connection: Its number.
        has_had_request: Whether a request has come on it, so that it may be idle.
    """

    connection: int
    has_had_request: bool

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"offer": self.connection, "asked": self.has_had_request}

    @classmethod
    def decode(cls, message: JsonObject) -> OfferConnection:
        """Read the JSON form."""
        return cls(message["offer"], message["asked"])


@dataclass(slots=True, frozen=True)
class ClaimReply:
    """Whether the worker's claim to a connection is granted."""

    connection: int
    is_granted: bool

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"granted": self.connection, "yes": self.is_granted}

    @classmethod
    def decode(cls, message: JsonObject) -> ClaimReply:
        """Read the JSON form."""
        return cls(message["granted"], message["yes"])


@dataclass(slots=True, frozen=True)
class ServerListUpdate:
    """Changes of the server list.

    Attributes:
        revision: The revision to acknowledge.
        is_complete: Whether servers that are not named are removed.
        is_cached: Whether the list is only the one known before the start.
        servers: The servers that are new or changed.
    """

    revision: int
    is_complete: bool
    is_cached: bool
    servers: list[ServerEntry]

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {
            "news": self.revision,
            "whole": self.is_complete,
            "cached": self.is_cached,
            "lines": [server.encode() for server in self.servers],
        }

    @classmethod
    def decode(cls, message: JsonObject) -> ServerListUpdate:
        """Read the JSON form."""
        servers = [ServerEntry.decode(fields) for fields in message["lines"]]
        return cls(message["news"], message["whole"], message["cached"], servers)


@dataclass(slots=True, frozen=True)
class RequestHandover:
    """Hand over one connection whose load is about `wanted_load` (requests, the older ones weighing less)."""

    wanted_load: float

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"hand": self.wanted_load}

    @classmethod
    def decode(cls, message: JsonObject) -> RequestHandover:
        """Read the JSON form."""
        return cls(message["hand"])


@dataclass(slots=True, frozen=True)
class SetCounterAddress:
    """Use the quota counter at this address."""

    address: Address

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"counter": self.address}

    @classmethod
    def decode(cls, message: JsonObject) -> SetCounterAddress:
        """Read the JSON form."""
        host, port = message["counter"]
        return cls((host, port))


@dataclass(slots=True, frozen=True)
class QueryCounters:
    """Report the telemetry counters; the reply bears this query's number."""

    query: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"counts": self.query}

    @classmethod
    def decode(cls, message: JsonObject) -> QueryCounters:
        """Read the JSON form."""
        return cls(message["counts"])


@dataclass(slots=True, frozen=True)
class ShutDown:
    """Shut down gracefully."""

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"leave": True}

    @classmethod
    def decode(cls, message: JsonObject) -> ShutDown:
        """Read the JSON form."""
        return cls()


Command = (
    StartWorker
    | OfferConnection
    | ClaimReply
    | ServerListUpdate
    | RequestHandover
    | SetCounterAddress
    | QueryCounters
    | ShutDown
)

# --- worker to supervisor


@dataclass(slots=True, frozen=True)
class WorkerReady:
    """The worker serves."""

    pid: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"ready": self.pid}

    @classmethod
    def decode(cls, message: JsonObject) -> WorkerReady:
        """Read the JSON form."""
        return cls(message["ready"])


@dataclass(slots=True, frozen=True)
class ClaimConnection:
    """The worker takes an offered connection, if the offer still stands."""

    connection: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"claim": self.connection}

    @classmethod
    def decode(cls, message: JsonObject) -> ClaimConnection:
        """Read the JSON form."""
        return cls(message["claim"])


@dataclass(slots=True, frozen=True)
class RefuseConnection:
    """The worker has no room for an offered connection."""

    connection: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"refuse": self.connection}

    @classmethod
    def decode(cls, message: JsonObject) -> RefuseConnection:
        """Read the JSON form."""
        return cls(message["refuse"])


@dataclass(slots=True, frozen=True)
class HandOverConnection:
    """A connection that the worker gives back, of this load; its socket travels along."""

    load: float

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"handed": self.load}

    @classmethod
    def decode(cls, message: JsonObject) -> HandOverConnection:
        """Read the JSON form."""
        return cls(message["handed"])


@dataclass(slots=True, frozen=True)
class AcknowledgeServerList:
    """The worker has applied this revision of the server list."""

    revision: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"acked": self.revision}

    @classmethod
    def decode(cls, message: JsonObject) -> AcknowledgeServerList:
        """Read the JSON form."""
        return cls(message["acked"])


@dataclass(slots=True, frozen=True)
class LoadReport:
    """The worker's periodic report.

    Attributes:
        released: Connections granted to it that it no longer has, in all.
        load: Requests received, the older ones weighing less.
        is_full: Whether it has no descriptor left.
        open_requests: Requests in flight.
        counters: Its telemetry counters; only in some of the reports.
    """

    released: int
    load: float
    is_full: bool
    open_requests: int
    counters: dict[str, int] | None = None

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        message: JsonObject = {
            "parted": self.released,
            "load": self.load,
            "full": self.is_full,
            "open": self.open_requests,
        }
        if self.counters is not None:
            message["all"] = self.counters
        return message

    @classmethod
    def decode(cls, message: JsonObject) -> LoadReport:
        """Read the JSON form."""
        return cls(message["parted"], message["load"], message["full"], message["open"], message.get("all"))


@dataclass(slots=True, frozen=True)
class CounterSnapshot:
    """The worker's telemetry counters.

    Attributes:
        counters: By name.
        query: The query that it answers; `NO_QUERY` for the last one before the worker stops.
    """

    counters: dict[str, int]
    query: int

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"counts": self.counters, "asked": self.query}

    @classmethod
    def decode(cls, message: JsonObject) -> CounterSnapshot:
        """Read the JSON form."""
        return cls(message["counts"], message["asked"])


NO_QUERY = 0

Report = (
    WorkerReady
    | ClaimConnection
    | RefuseConnection
    | HandOverConnection
    | AcknowledgeServerList
    | LoadReport
    | CounterSnapshot
)

# --- decoding: the first tag that a message bears says what it is

_COMMANDS: dict[str, Callable[[JsonObject], Command]] = {
    "config": StartWorker.decode,
    "offer": OfferConnection.decode,
    "granted": ClaimReply.decode,
    "news": ServerListUpdate.decode,
    "hand": RequestHandover.decode,
    "counter": SetCounterAddress.decode,
    "counts": QueryCounters.decode,
    "leave": ShutDown.decode,
}
_REPORTS: dict[str, Callable[[JsonObject], Report]] = {
    "parted": LoadReport.decode,
    "claim": ClaimConnection.decode,
    "refuse": RefuseConnection.decode,
    "handed": HandOverConnection.decode,
    "acked": AcknowledgeServerList.decode,
    "counts": CounterSnapshot.decode,
    "ready": WorkerReady.decode,
}


def decode_command(message: JsonObject) -> Command | None:
    """Read a message to a worker; None if this version knows none of its keys as a tag."""
    for tag, decode in _COMMANDS.items():
        if tag in message:
            return decode(message)
    return None


def decode_report(message: JsonObject) -> Report | None:
    """Read a message to the supervisor; None if this version knows none of its keys as a tag."""
    for tag, decode in _REPORTS.items():
        if tag in message:
            return decode(message)
    return None
