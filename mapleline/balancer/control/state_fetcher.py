"""Fetches newer control states and endpoint lists from other nodes, and serves them to other nodes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

from ..membership.member import MemberFlags
from ..transport.messages import FetchedState, FetchState

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ..context import NodeContext
    from ..transport.messages import Reply
    from .committed_state import CommittedState
    from .replica import LocalReplica
    from .state import State

CALL_TIMEOUT_S = 1.5
#: Delay before a newer state is fetched from a node that is not a control replica: covers one heartbeat interval and
#: the transfer from the replicas.
REPLICAS_FIRST_DELAY_S = 0.6


class EndpointListCopy(NamedTuple):
    """The platform's endpoint list as this node has it."""

    body: bytes
    age_ms: int


NO_ENDPOINT_LIST = EndpointListCopy(b"", 0)


@dataclass(frozen=True, slots=True)
class FetcherCallbacks:
    """The node's functions that the fetcher calls."""

    on_state_fetched: Callable[[State], None]  #: called with a newer chosen state once its contents are stored here
    import_endpoints: Callable[[float, bytes], None]  #: called with the time the platform sent the list, and its body
    export_endpoints: Callable[[], EndpointListCopy]


class StateFetcher:
    """Fetches states and endpoint lists; usually at most one fetch of each is in flight."""

    def __init__(
        self, context: NodeContext, committed: CommittedState, replica: LocalReplica, callbacks: FetcherCallbacks
    ) -> None:
        """Create a fetcher without a fetch in flight."""
        self._context = context
        self._committed = committed
        self._replica = replica
        self._callbacks = callbacks
        self._is_fetching_state = False
        self._is_fetching_endpoints = False
        self._behind_since: float | None = None  #: when a newer state was first advertised; None if there is none

    def handle_advertised_number(self, ip: int, number: int, now: float) -> None:
        """Fetch the state that another node has advertised, if it is newer.

        It is fetched from the control replicas; from other nodes only after `REPLICAS_FIRST_DELAY_S`, or if no other
        replica is alive, so that a slow link does not carry a large configuration to every node.
        """
        if number <= self._committed.number:
            return
        if self._behind_since is None:
            self._behind_since = now
        member = self._context.membership.members.get(ip)
        is_replica = member is not None and member.has_disk
        if is_replica or not self._has_other_replica(now) or now - self._behind_since > REPLICAS_FIRST_DELAY_S:
            self.fetch_state(ip)

    def mark_current(self) -> None:
        """Record that the committed state is the newest one known, until a newer one is advertised."""
        self._behind_since = None

    def fetch_state(self, ip: int, on_fetched: Callable[[], None] | None = None) -> None:
        """Fetch a newer state from a node.

        Without `on_fetched`, nothing is done while another fetch is in flight.
        """
        if self._is_fetching_state and on_fetched is None:
            return
        self._is_fetching_state = True
        requested_at = self._context.now()

        def receive(reply: object) -> None:
            self._is_fetching_state = False
            if isinstance(reply, FetchedState):
                self._apply(reply, requested_at)
                if on_fetched is not None:
                    on_fetched()

        self._send_fetch(ip, wants_state=True, wants_endpoints=False).addBoth(receive)

    def fetch_endpoint_list(self, ip: int) -> None:
        """Fetch the endpoint list from a node that has a newer one."""
        if self._is_fetching_endpoints:
            return
        self._is_fetching_endpoints = True
        requested_at = self._context.now()

        def receive(reply: object) -> None:
            self._is_fetching_endpoints = False
            if isinstance(reply, FetchedState):
                self._apply(reply, requested_at)

        self._send_fetch(ip, wants_state=False, wants_endpoints=True).addBoth(receive)

    def handle_fetch(self, call: FetchState) -> FetchedState:
        """Reply to another node's fetch."""
        committed = self._committed
        state: State | None = None
        body: bytes | None = None
        if call.wants_state and committed.state is not None and committed.number > call.known_number:
            state = committed.state if call.wants_full_state else committed.state.without_past()
            body = committed.body if committed.digest != call.known_content else None
        endpoints = self._callbacks.export_endpoints() if call.wants_endpoints else NO_ENDPOINT_LIST
        return FetchedState(state, body, endpoints.body, endpoints.age_ms)

    def _has_other_replica(self, now: float) -> bool:
        replicas = self._context.membership.live_members(now, MemberFlags.HAS_DISK)
        return any(member.ip != self._context.local_ip for member in replicas)

    def _send_fetch(self, ip: int, wants_state: bool, wants_endpoints: bool) -> Deferred[Reply]:
        committed = self._committed
        has_disk = self._replica.store is not None
        call = FetchState(committed.number, committed.digest, has_disk, wants_state, wants_endpoints)
        return self._context.environment.call(ip, call, CALL_TIMEOUT_S)

    def _apply(self, reply: FetchedState, requested_at: float) -> None:
        if reply.state is not None:
            self._learn(reply.state, reply.configuration_body)
        if reply.endpoints_body:
            fetched_at = requested_at - reply.endpoints_age_ms / 1000
            self._callbacks.import_endpoints(fetched_at, reply.endpoints_body)

    def _learn(self, state: State, body: bytes | None) -> None:
        """Apply a chosen state; a node with a disk needs it with its past versions, and ignores one without them."""
        is_without_past = state.config is not None and not state.past
        if not self._committed.is_newer(state) or (is_without_past and self._replica.store is not None):
            return
        if self._committed.add_body(state, body):
            self._callbacks.on_state_fetched(state)
