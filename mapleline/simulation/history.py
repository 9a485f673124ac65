"""The history of one simulated run as typed records: observations of clients, operators and servers, and the faults.

It is the only input of the invariants (`mapleline.simulation.invariants`).  All times are seconds of virtual time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from ..balancer.settings import Bounds
from .records import MachineEvent

NEVER = float("inf")
REPLACE_PATH = "/config/replace"
READ_PATH = "/config/read"
EVACUATIONS_PREFIX = "/evacuations/"
NO_VERSION = -1
CONTROL_REPLICAS = "core"
"""Target of a fault interval that exempts every machine, because a control replica was disturbed."""
OPERATOR_RESPONSES = "answers"
"""Target of a fault interval in which responses to operators are lost."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404
CLIENT_ERRORS = range(400, 500)
UNCLEAR_CLIENT_ERRORS = frozenset({408, 429})
"""4xx statuses after which a command may still be carried out."""
FINAL_CLIENT_ERRORS = frozenset({400, 409, 412, 413, 422})
"""4xx statuses after which an operator gives up a command at once."""
OPERATOR_TIMEOUT_S = 1.0
"""Time-out of one call of an operator."""


class Acknowledged(StrEnum):
    """The kind of change that was acknowledged."""

    CONFIGURATION = "config"
    REPLICA_REMOVAL = "core"


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client and its result; `status` is 0 if it ended without a response."""

    id: str
    kind: str
    tenant: str
    api_key: str
    zone: str
    sent_at: float
    status: int | None = None
    ended_at: float = 0.0
    server_stamp: str = ""
    """Id of the server that sent the response, taken from its header."""


@dataclass(frozen=True, slots=True)
class DeliveredRequest:
    """One request that arrived at a server, or whose execution a server began."""

    sent_at: float
    arrived_at: float
    request_id: str
    tenant: str | None
    sender: str
    """Name of the balancer's machine that sent it."""
    server_id: str
    service: str
    zone: str


@dataclass(eq=False, slots=True)
class OperatorCommand:
    """A command that an operator sends until its outcome is clear; the same body sent again is another command."""

    path: str
    version: int
    content: str
    """Digest of the body."""
    sent_at: float
    is_valid: bool = True
    acknowledged_at: float | None = None
    closed_at: float | None = None
    """When the operator received a clear response or gave up."""
    rejected_status: int = 0

    @property
    def key(self) -> tuple[str, int, str]:
        """The identity of the requested change; commands that repeat each other have the same key."""
        return self.path, self.version, self.content


@dataclass(slots=True)
class OperatorResponse:
    """The response to one call of an operator; a read has no command, but a returned version and content."""

    command: OperatorCommand | None
    machine: str
    asked_at: float
    answered_at: float
    status: int
    version: int = NO_VERSION
    content: str = ""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The first success response that an operator received for a change."""

    at: float
    subject: Acknowledged
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSample:
    """The configuration in force at one incarnation of a machine at a moment."""

    at: float
    machine: str
    incarnation: int
    version: int
    content: str


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The interval of a server's slow start."""

    server_id: str
    since: float
    until: float


@dataclass(slots=True)
class Evacuation:
    """The evacuation of a zone, with the moments of its acknowledgement and its withdrawal."""

    zone: str
    acknowledged_at: float = NEVER
    withdrawn_at: float = NEVER


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """An interval in which a machine, the control replicas or the operators' responses were disturbed."""

    since: float
    until: float
    target: str


@dataclass(frozen=True, slots=True)
class DirectoryLookup:
    """The response of a machine's directory to a client."""

    at: float
    machine: str
    status: int


@dataclass(frozen=True, slots=True)
class ContactSample:
    """The machines with a path to and from a majority of the control replicas at a moment."""

    at: float
    machines: set[str]


@dataclass(frozen=True, slots=True)
class ReplicaSample:
    """The state of the control replicas at a moment."""

    at: float
    connected: set[str]
    """The largest group of operational replicas that all reach each other; empty if they are not a majority."""
    voters: set[str]
    """The replicas that are voters according to their own state."""


@dataclass(frozen=True, slots=True)
class FinalEvacuations:
    """The zones that a machine treated as evacuated at the end of the run."""

    at: float
    machine: str
    zones: set[str]


@dataclass
class History:
    """All observations of one run."""

    bounds: Bounds
    regions: dict[str, str]
    """The region of each zone."""
    services: dict[str, set[str]] = field(default_factory=dict)
    """The services to which some configuration routes a kind of request, by kind."""
    homes: dict[str, set[str]] = field(default_factory=dict)
    """Home regions, by kind of request or tenant."""
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Rate per second and burst, by tenant; rate 0 means no limit."""
    slow_start_rate_s: float = 0.0
    """Requests per second that a server may receive during its slow start."""
    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    arrivals: list[DeliveredRequest] = field(default_factory=list)
    runs: list[DeliveredRequest] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)
    """When the configuration that revoked an API key was acknowledged, by key."""
    withdrawn: dict[str, float] = field(default_factory=dict)
    """When a configuration without an API key was first sent, by key."""
    slow_starts: list[SlowStart] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    """When the endpoint list first showed a server as draining, by server id."""
    evacuations: list[Evacuation] = field(default_factory=list)
    faults: list[FaultInterval] = field(default_factory=list)
    configurations: list[ConfigurationSample] = field(default_factory=list)
    acknowledgements: list[Acknowledgement] = field(default_factory=list)
    commands: list[OperatorCommand] = field(default_factory=list)
    responses: list[OperatorResponse] = field(default_factory=list)
    lookups: list[DirectoryLookup] = field(default_factory=list)
    contacts: list[ContactSample] = field(default_factory=list)
    replicas: list[ReplicaSample] = field(default_factory=list)
    replica_events: list[MachineEvent] = field(default_factory=list)
    """Life-cycle events and partitions of control replicas."""
    final_evacuations: list[FinalEvacuations] = field(default_factory=list)
    ended_at: float = NEVER

    def is_undisturbed(self, machine: str, at: float, margin_s: float = 0.0) -> bool:
        """Return whether no fault affected the machine or a control replica in the last `contact_window` + margin.

        RULES.md calls such a machine "in touch"; rules with a time bound apply only to these machines.
        """
        since = at - self.bounds.contact_window - margin_s
        targets = (machine, CONTROL_REPLICAS)
        return not any(fault.since <= at and fault.until >= since and fault.target in targets for fault in self.faults)

    def acknowledged_configurations(self) -> list[Acknowledgement]:
        """Return the acknowledgements of configurations, in the order in which they were received."""
        return [ack for ack in self.acknowledgements if ack.subject is Acknowledged.CONFIGURATION]

    def newest_acknowledged_version(self) -> int:
        """Return the highest acknowledged configuration version, `NO_VERSION` if there is none."""
        return max((ack.version for ack in self.acknowledged_configurations()), default=NO_VERSION)
