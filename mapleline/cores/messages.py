"""The messages between the supervisor and a worker, and their JSON forms.

A message is a JSON object that is identified by one of its keys, the tag.  `encode()` builds the object;
`decode_command` (supervisor to worker) and `decode_report` (worker to supervisor) parse it.  Some messages are sent
together with a socket (`channel.py`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ..policy.interface import ServerState

JsonObject = dict[str, Any]
Address = tuple[str, int]


class Message(Protocol):
    """A message that can be sent over the channel."""

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        ...


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server of the server list.  Its JSON form is an array of the fields in this order.

    Attributes:
        number: The supervisor's number for the server.
        state: State of the server; GONE removes it from the list.
        started_ns: Start time that the server itself reports.
        weight: Capacity relative to other servers.
        kind: Index of the server's kind.
        zone: Index of the server's zone.
        cell: The server's group.
        host: Host address; empty for a server that is GONE.
        port: Port; 0 for a server that is GONE.
    """

    number: int
    state: ServerState
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
            int(self.state),
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
        number, state, *rest = fields
        return cls(number, ServerState(state), *rest)


# --- supervisor to worker


@dataclass(slots=True, frozen=True)
class StartWorker:
    """The first message to a worker, with everything that it needs to start.

    Attributes:
        config: The platform's configuration as read from its file, not yet validated.
        number: Number of the worker.
        workers: Number of workers.
        customer_rows: Approximate number of rows in each worker's customer table.
        log_form: Format of the log lines.
        clock_start_ns: Clock start of the supervisor.  All workers use it, so that their quota windows have the same
            numbers.
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
    """Offers a connection, which the worker may claim.  The socket is sent with the message.

    Attributes:
        connection: Number of the connection.
        has_had_request: Whether a request has been received on the connection, which means that it may be idle.
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
    """Tells the worker whether its claim to a connection is granted."""

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
    """Changes to the server list.

    Attributes:
        revision: The revision that the worker acknowledges.
        is_complete: Whether servers that are missing from `servers` are removed.
        is_cached: Whether this is the list from the configuration, used until discovery has sent one.
        servers: New and changed servers.
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
    """Asks the worker to hand over one connection with about this load (see `LoadReport.load`)."""

    target_load: float

    def encode(self) -> JsonObject:
        """Return the JSON form."""
        return {"hand": self.target_load}

    @classmethod
    def decode(cls, message: JsonObject) -> RequestHandover:
        """Read the JSON form."""
        return cls(message["hand"])


@dataclass(slots=True, frozen=True)
class SetCounterAddress:
    """Tells the worker the address of the quota counter."""

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
    """Asks for the telemetry counters; the reply repeats the number of the query."""

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
    """Asks the worker to shut down gracefully."""

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
    """Reports that the worker is ready to serve."""

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
    """Claims an offered connection; the claim is granted unless the offer was revoked."""

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
    """Refuses an offered connection because the worker is at its connection limit."""

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
    """Returns a connection with this load to the supervisor.  The socket is sent with the message."""

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
    """Acknowledges that the worker has applied this revision of the server list."""

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
        released: Total number of granted connections that the worker has closed or handed over.
        load: Decaying count of received requests; halved with each report.
        is_full: Whether the worker is at its connection limit and has no idle connection to close.
        open_requests: Number of requests in flight.
        counters: Telemetry counters of the worker; None in most reports.
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
        counters: Values by counter name.
        query: Number of the query that this answers; `NO_QUERY` for the last snapshot before the worker stops.
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

# --- decoding: the first tag of the table that is a key of the message determines its type

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
    """Parse a message to a worker; returns None if none of its keys is a tag that this version knows."""
    for tag, decode in _COMMANDS.items():
        if tag in message:
            return decode(message)
    return None


def decode_report(message: JsonObject) -> Report | None:
    """Parse a message to the supervisor; returns None if none of its keys is a tag that this version knows."""
    for tag, decode in _REPORTS.items():
        if tag in message:
            return decode(message)
    return None
