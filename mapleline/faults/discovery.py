"""The rig's discovery: an agent for each ingress, which answers with the whole list and with changes to it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, TypedDict

import orjson
from twisted.internet.protocol import Protocol, ServerFactory

from .addresses import LOOPBACK
from .reactor import Reactor, StreamTransport

if TYPE_CHECKING:
    from twisted.internet.interfaces import IAddress

    from ..balancer.clock import DelayedCall

LONG_POLL_S = 10.0  # a request for changes is answered after this without any
HEAD_END = b"\r\n\r\n"
REVISION_PARAMETER = b"after="
FIRST_REVISION = 1


@dataclass(frozen=True, slots=True)
class Target:
    """One server as the list has it; the field names are the platform's."""

    uid: str
    endpoint: str
    az: str
    model: str
    pod_group: int
    state: str = "in_service"
    capacity_hint: float = 1.0
    boot_ms: int = 0


class TargetList(TypedDict):
    """An answer: the whole list, or what has changed of it."""

    rev: int
    all: bool
    targets: list[Target]


@dataclass(frozen=True, slots=True)
class PendingPoll:
    """A request for changes that waits for one."""

    connection: AgentConnection
    revision: int
    timer: DelayedCall


class Agent(ServerFactory):
    """The list of one ingress and the requests for its changes."""

    def __init__(self, targets: list[Target], reactor: Reactor) -> None:
        """Begin with these targets; `listen` opens it."""
        self._reactor = reactor
        self._revision = FIRST_REVISION
        self._targets = {target.uid: target for target in targets}
        self._changed_in = dict.fromkeys(self._targets, FIRST_REVISION)  # uid -> revision of its last change
        self._pending_polls: list[PendingPoll] = []

    def listen(self) -> int:
        """Accept connections; the port is any free one, and is returned."""
        return self._reactor.listenTCP(0, self, interface=LOOPBACK).getHost().port

    def buildProtocol(self, addr: IAddress | None) -> AgentConnection:
        """Return the protocol of a new connection."""
        return AgentConnection(self)

    def whole_list(self) -> TargetList:
        """Every target."""
        return {"rev": self._revision, "all": True, "targets": list(self._targets.values())}

    def set_boot_time(self, uids: list[str], boot_ms: int) -> None:
        """Give targets a new boot time, in Unix milliseconds, and answer the requests that wait."""
        self._revision += 1
        for uid in uids:
            self._targets[uid] = replace(self._targets[uid], boot_ms=boot_ms)
            self._changed_in[uid] = self._revision
        pending_polls, self._pending_polls = self._pending_polls, []
        for poll in pending_polls:
            poll.timer.cancel()
            poll.connection.answer(self._changes_since(poll.revision))

    def handle_request(self, connection: AgentConnection, revision: int | None) -> None:
        """Answer with the whole list, or with the changes since a revision once there are any."""
        if revision is None:
            connection.answer(self.whole_list())
        elif revision < self._revision:
            connection.answer(self._changes_since(revision))
        else:
            timer = self._reactor.callLater(LONG_POLL_S, self._answer_unchanged, connection)
            self._pending_polls.append(PendingPoll(connection, revision, timer))

    def _answer_unchanged(self, connection: AgentConnection) -> None:
        self._pending_polls = [poll for poll in self._pending_polls if poll.connection is not connection]
        connection.answer(self._changes_since(self._revision))

    def _changes_since(self, revision: int) -> TargetList:
        changed = [self._targets[uid] for uid, changed_in in self._changed_in.items() if changed_in > revision]
        return {"rev": self._revision, "all": False, "targets": changed}


class AgentConnection(Protocol):
    """One connection of an ingress to its agent."""

    transport: StreamTransport | None  # type: ignore[assignment]  # Twisted's type has no usable methods

    def __init__(self, agent: Agent) -> None:
        """`agent` answers its requests."""
        self._agent = agent
        self._received = b""

    def dataReceived(self, data: bytes) -> None:
        """Read requests; they have no bodies."""
        self._received += data
        while HEAD_END in self._received:
            head, _, self._received = self._received.partition(HEAD_END)
            self._agent.handle_request(self, _parse_revision(head))

    def answer(self, targets: TargetList) -> None:
        """Send an answer, unless the connection has ended."""
        body = orjson.dumps(targets)
        if self.transport is not None and self.transport.connected:
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))


def _parse_revision(head: bytes) -> int | None:
    """The revision that a request already has; None if it wants the whole list."""
    _, parameter, rest = head.partition(REVISION_PARAMETER)
    if not parameter:
        return None
    return int(rest.split(b"&")[0].split(b" ")[0])
