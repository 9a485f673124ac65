"""What a simulated world records for the invariants, and what it reports to an observer."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, Literal, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from .servers import Server, ServerRequest

#: what crosses a machine's border
ObservedKind: TypeAlias = Literal["datagram", "call", "reply", "request", "answer", "attempt", "platform", "write"]
#: gets the virtual time in seconds, the kind, the source, the target and the bytes
Observer: TypeAlias = Callable[[float, ObservedKind, str, str, bytes], None]


class MachineEventKind(StrEnum):
    """What may befall a machine."""

    INITIAL_START = "first"
    START = "start"
    KILL = "end"
    TERMINATE = "term"  #: SIGTERM
    FREEZE = "freeze"
    THAW = "thaw"
    CLOCK_STEP = "clock"
    REMOVE = "removed"
    PARTITION = "cut"
    HEAL = "join"


class MachineEvent(NamedTuple):
    """Something that befell a control replica; times are in seconds of virtual time."""

    at: float
    machine: str
    kind: MachineEventKind


class ServerEvent(NamedTuple):
    """A request came to a server, or its execution began; times are in seconds of virtual time."""

    sent_at: float
    at: float
    server: Server
    request: ServerRequest


class ActiveConfiguration(NamedTuple):
    """The configuration by which a machine serves."""

    version: int
    digest: str  #: of its contents


class ListCall(NamedTuple):
    """A machine asked the platform for the list of servers."""

    at: float
    machine: str
