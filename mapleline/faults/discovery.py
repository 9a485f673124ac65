"""The rig's service discovery: one agent per ingress, which returns the full list of servers or changes to it."""

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

LONG_POLL_S = 10.0  # longest wait of a request for changes, if there are none
HEAD_END = b"\r\n\r\n"
REVISION_PARAMETER = b"after="
FIRST_REVISION = 1


@dataclass(frozen=True, slots=True)
class Target:
    """One server in the list; the field names are the platform's."""

    uid: str
    endpoint: str
    az: str
    model: str
    pod_group: int
    state: str = "in_service"
    capacity_hint: float = 1.0
    boot_ms: int = 0


class TargetList(TypedDict):
    """An answer: the full list, or the targets that have changed."""

    rev: int
    all: bool
    targets: list[Target]


@dataclass(frozen=True, slots=True)
class PendingPoll:
    """A long-poll request that waits for a change."""

    connection: AgentConnection
    revision: int
    timer: DelayedCall


class Agent(ServerFactory):
    """The server list of one ingress and its pending long polls."""

    def __init__(self, targets: list[Target], reactor: Reactor) -> None:
        """Initialise with these targets; `listen` opens the socket."""
        self._reactor = reactor
        self._revision = FIRST_REVISION
        self._targets = {target.uid: target for target in targets}
        self._changed_in = dict.fromkeys(self._targets, FIRST_REVISION)  # uid -> revision of its last change
        self._pending_polls: list[PendingPoll] = []

    def listen(self) -> int:
        """Accept connections on any free port and return the port."""
        return self._reactor.listenTCP(0, self, interface=LOOPBACK).getHost().port

    def buildProtocol(self, addr: IAddress | None) -> AgentConnection:
        """Return the protocol of a new connection."""
        return AgentConnection(self)

    def full_list(self) -> TargetList:
        """Return the full list."""
        return {"rev": self._revision, "all": True, "targets": list(self._targets.values())}

    def set_boot_time(self, uids: list[str], boot_ms: int) -> None:
        """Set the boot time of targets, in Unix milliseconds, and answer all pending polls."""
        self._revision += 1
        for uid in uids:
            self._targets[uid] = replace(self._targets[uid], boot_ms=boot_ms)
            self._changed_in[uid] = self._revision
        pending_polls, self._pending_polls = self._pending_polls, []
        for poll in pending_polls:
            poll.timer.cancel()
            poll.connection.answer(self._changes_since(poll.revision))

    def handle_request(self, connection: AgentConnection, revision: int | None) -> None:
        """Answer with the full list if `revision` is None, otherwise with the changes since it.

        Without changes the answer is delayed until there is one, at most `LONG_POLL_S` seconds.
        """
        if revision is None:
            connection.answer(self.full_list())
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
        """Initialise; `agent` answers the requests."""
        self._agent = agent
        self._received = b""

    def dataReceived(self, data: bytes) -> None:
        """Read requests, which have no bodies."""
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
    """Return the revision from a request's `after` parameter; None without one, to get the full list."""
    _, parameter, rest = head.partition(REVISION_PARAMETER)
    if not parameter:
        return None
    return int(rest.split(b"&")[0].split(b" ")[0])
