"""One node's control plane: connects its replica, the proposer, the read lease and the fetching of newer state.

Design: docs/design/control.md.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred, succeed

from ..membership.member import MemberFlags
from ..transport.messages import (
    Accept,
    Call,
    FetchState,
    Prepare,
    Propose,
    Reply,
    StateQuery,
    StateReport,
)
from .audit_recorder import AuditRecorder
from .command_router import CommandRouter
from .commands import Command, CommandResult, CommandStatus, RemoveReplica
from .committed_state import CommittedState
from .lease_prober import ACQUIRE_TIMEOUT_S, LeaseProber
from .proposer import Proposer
from .read_lease import NEVER
from .replica import LocalReplica
from .replica_monitor import ReplicaMonitor
from .state_fetcher import EndpointListCopy, FetcherCallbacks, StateFetcher

if TYPE_CHECKING:
    from ..context import NodeContext
    from .state import State

logger = logging.getLogger(__name__)

REPAIR_INTERVAL_S = 5.0
REPAIR_JITTER = 0.1  # share of the interval


@dataclass(frozen=True, slots=True)
class ControlPlaneCallbacks:
    """The node's functions that the control plane calls."""

    on_state_committed: Callable[[State | None], None]  #: called with the previous state after a new one is in force
    on_state_learned: Callable[[], None]  #: advertises the new state's number to the nodes that learn it from this one
    export_endpoints: Callable[[], EndpointListCopy]
    import_endpoints: Callable[[float, bytes], None]


class ControlPlane:
    """The replicated control state as one node sees it, and this node's part in deciding it."""

    def __init__(self, context: NodeContext, callbacks: ControlPlaneCallbacks) -> None:
        """Create the parts; the disk is read in `load`, and messages are sent from `start` on."""
        self.context = context
        self._callbacks = callbacks
        self.audit = AuditRecorder(context.environment)
        self.committed = CommittedState()
        self.replica = LocalReplica(context, self.committed, self._commit)
        self.monitor = ReplicaMonitor(context, self.committed, self.replica, self.current_as_of)
        self._proposer = Proposer(context, self.committed, self.replica, self.monitor, self._adopt)
        self._router = CommandRouter(context, self.replica, self.monitor, self._proposer)
        fetcher_callbacks = FetcherCallbacks(self._adopt, callbacks.import_endpoints, callbacks.export_endpoints)
        self._fetcher = StateFetcher(context, self.committed, self.replica, fetcher_callbacks)
        self._prober = LeaseProber(context, self.committed, self.replica, self.monitor, self._fetcher)

    def load(self) -> None:
        """Load the state that an earlier incarnation left on the disk."""
        state = self.replica.load()
        if state is not None:
            self._commit(state)

    def start(self) -> None:
        """Start querying the replicas and, on a node with a disk, proposing and repairing its files."""
        self._prober.tick()
        if self.replica.store is not None:
            self._proposer.tick()
            self.context.reactor.callLater(REPAIR_INTERVAL_S, self._repair_disk)

    # -- the state and its read lease --------------------------------------------------------------------------

    @property
    def state(self) -> State | None:
        """The newest state that is known to be chosen."""
        return self.committed.state

    def current_as_of(self) -> float:
        """Return the time on this node's clock, in seconds, up to which all chosen states are known here."""
        return self._prober.current_as_of()

    def acquire_read_lease(self, timeout_s: float = ACQUIRE_TIMEOUT_S) -> Deferred[bool]:
        """Fire with whether every state that was chosen before this call is known here; False after the timeout."""
        return self._prober.acquire_read_lease(timeout_s)

    def status(self) -> dict[str, object]:
        """Return the control state's part of `GET /status`."""
        state = self.committed.state
        replica = self.replica
        acceptor = replica.acceptor if replica.disk_id else None
        current_as_of = self.current_as_of()
        lease_age_s = round(self.context.now() - current_as_of, 3) if current_as_of != NEVER else None
        return {
            "system": state.system if state is not None else None,
            "epoch": state.epoch if state is not None else None,
            "number": self.committed.number,
            "config_version": state.config.version if state is not None and state.config is not None else None,
            "evacuated": list(state.evacuated) if state is not None else [],
            "members": self.monitor.status_rows(),
            "ballot": list(acceptor.record.promised) if acceptor is not None else None,
            "contact_age_s": lease_age_s,
            "disk": replica.disk_error or ("well" if replica.store is not None else "none"),
        }

    # -- commands ----------------------------------------------------------------------------------------------

    def submit_command(self, command: Command, body: bytes | None, timeout_s: float) -> Deferred[CommandResult]:
        """Fire with the result of an operator's command."""
        return self._router.submit(command, body, timeout_s)

    def remove_replica(self, ip: int, timeout_s: float) -> Deferred[CommandResult]:
        """Remove a replica whose machine is permanently lost; refused while the machine is alive."""
        alive_ips = {member.ip for member in self.context.membership.live_members(self.context.now())}
        if ip in self.committed.voter_ips() and ip in alive_ips:
            return succeed(CommandResult(CommandStatus.CONFLICT, "it is there: stop it first"))
        return self.submit_command(RemoveReplica(ip), None, timeout_s)

    # -- messages from other nodes -----------------------------------------------------------------------------

    def handle_advertised_number(self, ip: int, number: int, now: float) -> None:
        """Process the state number in another node's heartbeat."""
        self._fetcher.handle_advertised_number(ip, number, now)

    def handle_state_query(self, ip: int, query: StateQuery) -> None:
        """Reply to another node's query with the states known and accepted here."""
        self._prober.handle_query(ip, query)

    def handle_state_report(self, ip: int, report: StateReport) -> None:
        """Process the reply to a query of this node."""
        self._prober.handle_report(ip, report)

    def handle_call(self, call: Call) -> Reply | Deferred[Reply]:
        """Reply to another node's call; with a Deferred if the reply waits for the disk or for other replicas."""
        match call:
            case Prepare():
                return self.replica.prepare(call)
            case Accept():
                return self.replica.accept(call)
            case Propose():
                return self._router.handle_forwarded(call)
            case FetchState():
                return self._fetcher.handle_fetch(call)

    def fetch_endpoint_list(self, ip: int) -> None:
        """Fetch the endpoint list from a node that has a newer one."""
        self._fetcher.fetch_endpoint_list(ip)

    # -- chosen states -----------------------------------------------------------------------------------------

    def _adopt(self, state: State) -> None:
        """Save and commit a state that another node, or a ballot of this node, has shown to be chosen."""
        self.replica.learn_state(state)
        self._commit(state)

    def _commit(self, state: State) -> None:
        """Put a chosen state in force, if it is newer than the present one."""
        previous = self.committed.state
        if not self.committed.is_newer(state):
            return
        self.committed.state = state
        self._fetcher.mark_current()
        if previous is None or previous.epoch != state.epoch:
            self._change_voters(state)
        self.committed.prune_contents(self.replica.referenced_contents() | self._proposer.referenced_contents())
        self._callbacks.on_state_committed(previous)
        if self.replica.store is not None:
            self._callbacks.on_state_learned()
        self.audit.record_transition(previous, state, self.committed.contents)

    def _change_voters(self, state: State) -> None:
        membership = self.context.membership
        self._prober.retain_voters(state)
        membership.retained_ips = set(self.committed.voter_ips())
        for replica in state.all_voters():
            membership.add_member(replica.ip, replica.zone, MemberFlags.HAS_DISK)
        logger.info(
            "voters changed",
            extra={"epoch": state.epoch, "voters": len(state.voters), "former": len(state.former)},
        )

    def _repair_disk(self) -> None:
        """Repair this node's files, and schedule the next repair."""
        jitter = self.context.rng.uniform(1 - REPAIR_JITTER, 1 + REPAIR_JITTER)
        self.context.reactor.callLater(REPAIR_INTERVAL_S * jitter, self._repair_disk)
        self.replica.repair()
