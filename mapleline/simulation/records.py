"""Types of the records that a simulated world stores for the invariants, and of the events that observers receive."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING, Literal, NamedTuple, TypeAlias

if TYPE_CHECKING:
    from .servers import Server, ServerRequest

#: kinds of messages and operations that an observer sees enter or leave a machine
ObservedKind: TypeAlias = Literal["datagram", "call", "reply", "request", "answer", "attempt", "platform", "write"]
#: called with the virtual time in seconds, the kind, the source, the target and the bytes
Observer: TypeAlias = Callable[[float, ObservedKind, str, str, bytes], None]


class MachineEventKind(StrEnum):
    """The kinds of life-cycle events and partitions of a machine."""

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
    """An event of a control replica; the time is in seconds of virtual time."""

    at: float
    machine: str
    kind: MachineEventKind


class ServerEvent(NamedTuple):
    """The arrival of a request at a server, or the begin of its execution; times are in seconds of virtual time."""

    sent_at: float
    at: float
    server: Server
    request: ServerRequest


class ActiveConfiguration(NamedTuple):
    """The configuration in force at a machine."""

    version: int
    digest: str  #: digest of its contents


class ListCall(NamedTuple):
    """A request of a machine to the platform for the list of servers."""

    at: float
    machine: str
