"""The history of one simulated run as typed records: what clients, operators and servers saw, and the faults.

The invariants (`mapleline.simulation.invariants`) read nothing else.  All times are seconds of the simulated clock.
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
"""Target of a fault interval that excuses every machine, as it disturbed a control replica."""
OPERATOR_RESPONSES = "answers"
"""Target of a fault interval in which responses to operators are lost."""

STATUS_OK = 200
STATUS_NOT_FOUND = 404
CLIENT_ERRORS = range(400, 500)
UNCLEAR_CLIENT_ERRORS = frozenset({408, 429})
"""4xx statuses that leave open whether a command will be carried out."""
FINAL_CLIENT_ERRORS = frozenset({400, 409, 412, 413, 422})
"""4xx statuses after which an operator gives a command up at once."""
OPERATOR_TIMEOUT_S = 1.0
"""An operator waits this long for one response."""


class Acknowledged(StrEnum):
    """What an acknowledgement is about."""

    CONFIGURATION = "config"
    REPLICA_REMOVAL = "core"


@dataclass(slots=True)
class ClientAttempt:
    """One attempt of a client, and how it ended; `status` 0 is an end without a response."""

    id: str
    kind: str
    tenant: str
    api_key: str
    zone: str
    sent_at: float
    status: int | None = None
    ended_at: float = 0.0
    server_stamp: str = ""
    """The server that the response names."""


@dataclass(frozen=True, slots=True)
class DeliveredRequest:
    """One request that arrived at a server, or that a server began to run."""

    sent_at: float
    arrived_at: float
    request_id: str
    tenant: str | None
    sender: str
    """The machine of the balancer that sent it."""
    server_id: str
    service: str
    zone: str


@dataclass(eq=False, slots=True)
class OperatorCommand:
    """A command that an operator sends until the response is clear; the same body sent later is another command."""

    path: str
    version: int
    content: str
    """Digest of the body."""
    sent_at: float
    is_valid: bool = True
    acknowledged_at: float | None = None
    closed_at: float | None = None
    """When the operator had a clear response or gave up."""
    rejected_status: int = 0

    @property
    def key(self) -> tuple[str, int, str]:
        """What the command asks for, the same for each command that repeats it."""
        return self.path, self.version, self.content


@dataclass(slots=True)
class OperatorResponse:
    """The response to one call of an operator; a read has no command, but the version and content that it returned."""

    command: OperatorCommand | None
    machine: str
    asked_at: float
    answered_at: float
    status: int
    version: int = NO_VERSION
    content: str = ""


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """The first clear success that an operator saw for a change."""

    at: float
    subject: Acknowledged
    version: int


@dataclass(frozen=True, slots=True)
class ConfigurationSample:
    """The configuration that one incarnation of a machine served by at a moment."""

    at: float
    machine: str
    incarnation: int
    version: int
    content: str


@dataclass(frozen=True, slots=True)
class SlowStart:
    """The time in which a server was warming up."""

    server_id: str
    since: float
    until: float


@dataclass(slots=True)
class Evacuation:
    """The evacuation of a zone: when it was acknowledged, and when it was withdrawn."""

    zone: str
    acknowledged_at: float = NEVER
    withdrawn_at: float = NEVER


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A time in which a machine, the control replicas or the operators' responses were disturbed."""

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
    """The machines that had a path to and from a majority of the control replicas at a moment."""

    at: float
    machines: set[str]


@dataclass(frozen=True, slots=True)
class ReplicaSample:
    """The state of the control replicas at a moment."""

    at: float
    connected: set[str]
    """The able replicas that all reach each other; empty where they are no majority."""
    voters: set[str]
    """The replicas that took themselves for voters."""


@dataclass(frozen=True, slots=True)
class FinalEvacuations:
    """The zones that a machine held evacuated at the end of the run."""

    at: float
    machine: str
    zones: set[str]


@dataclass
class History:
    """All that was seen in one run."""

    bounds: Bounds
    regions: dict[str, str]
    """The region of each zone."""
    services: dict[str, set[str]] = field(default_factory=dict)
    """The services that any configuration allows, by kind of request."""
    homes: dict[str, set[str]] = field(default_factory=dict)
    """Home regions, by kind of request or tenant."""
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    """Rate per second and burst of each tenant; rate 0 is no limit."""
    slow_start_rate_s: float = 0.0
    """Requests per second that a server may get while it is warming up."""
    attempts: dict[str, ClientAttempt] = field(default_factory=dict)
    arrivals: list[DeliveredRequest] = field(default_factory=list)
    runs: list[DeliveredRequest] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)
    """When the configuration that took an API key away was acknowledged."""
    withdrawn: dict[str, float] = field(default_factory=dict)
    """When a configuration without an API key was first sent."""
    slow_starts: list[SlowStart] = field(default_factory=list)
    draining_since: dict[str, float] = field(default_factory=dict)
    """When the endpoint list showed a server as draining."""
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
    """What befell control replicas."""
    final_evacuations: list[FinalEvacuations] = field(default_factory=list)
    ended_at: float = NEVER

    def is_undisturbed(self, machine: str, at: float, margin_s: float = 0.0) -> bool:
        """Return whether no fault touched the machine or a control replica in the last `contact_window` + margin.

        RULES.md calls such a machine "in touch"; only these are bound by rules with a time bound.
        """
        since = at - self.bounds.contact_window - margin_s
        targets = (machine, CONTROL_REPLICAS)
        return not any(fault.since <= at and fault.until >= since and fault.target in targets for fault in self.faults)

    def acknowledged_configurations(self) -> list[Acknowledgement]:
        """Return the acknowledgements of configurations, in the order in which they came."""
        return [ack for ack in self.acknowledgements if ack.subject is Acknowledged.CONFIGURATION]

    def newest_acknowledged_version(self) -> int:
        """Return the highest acknowledged configuration version, `NO_VERSION` if there is none."""
        return max((ack.version for ack in self.acknowledged_configurations()), default=NO_VERSION)
