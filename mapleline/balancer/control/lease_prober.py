"""Keeps the read lease fresh: queries the control replicas, at intervals, for the states that they have accepted.

The rule that derives a lease from the reports is in `read_lease`; this module sends the queries and their replies.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ..membership.member import MemberFlags
from ..transport.messages import StateQuery, StateReport
from .read_lease import ReadLease
from .replica_reports import ReplicaReport
from .state import ReplicaId

if TYPE_CHECKING:
    from ..context import NodeContext
    from .committed_state import CommittedState
    from .replica import LocalReplica
    from .replica_monitor import ReplicaMonitor
    from .state import State
    from .state_fetcher import StateFetcher

QUERY_INTERVAL_S = 1.0
QUERY_JITTER = 0.1  # share of the interval
FAST_QUERY_INTERVAL_S = 0.15  # used while the read lease is stale, or a new replica waits for its vote
STALE_LEASE_S = 2 * QUERY_INTERVAL_S
QUERY_TIMEOUT_S = 5.0  # later reports are ignored
MAX_RELAYS = 2  # nodes without a disk that are queried while the lease is stale

ACQUIRE_TIMEOUT_S = 1.5
REPEAT_SHARES = (0.15, 0.4, 0.7)  # fractions of the timeout after which the replicas are queried again

NONCE_BITS = 30
NONCE_MASK = 0x7FFFFFFF
MAX_REPORTED_STALENESS_S = 60.0
UNKNOWN_STALENESS_MS = -1


@dataclass(frozen=True, slots=True)
class _Query:
    """A query in flight."""

    ip: int
    sent_at: float


@dataclass(eq=False, slots=True)
class _Waiter:
    """A request that waits for a read lease newer than the request itself."""

    requested_at: float
    acquired: Deferred[bool]


class LeaseProber:
    """Maintains the read lease: sends state queries, replies to those of others, and notifies waiting requests."""

    def __init__(
        self,
        context: NodeContext,
        committed: CommittedState,
        replica: LocalReplica,
        monitor: ReplicaMonitor,
        fetcher: StateFetcher,
    ) -> None:
        """Create a prober; queries are sent from the first `tick` on."""
        self._context = context
        self._committed = committed
        self._read_lease = ReadLease()
        self._replica = replica
        self._monitor = monitor
        self._fetcher = fetcher
        self._queries: dict[int, _Query] = {}  #: those in flight, by nonce
        self._waiters: list[_Waiter] = []
        self._nonce = context.rng.getrandbits(NONCE_BITS)

    def current_as_of(self) -> float:
        """Return the time on this node's clock, in seconds, up to which all chosen states are known here."""
        return self._read_lease.valid_since(self._committed.state)

    def retain_voters(self, state: State) -> None:
        """Drop the reports of replicas that are not voters any more."""
        self._read_lease.retain_voters(state)

    def tick(self) -> None:
        """Query the replicas, and schedule the next round, at the fast interval while the lease is stale."""
        now = self._context.now()
        is_fast_interval = self._is_stale(now) or self._monitor.has_new_learners(now)
        if is_fast_interval:
            interval_s = FAST_QUERY_INTERVAL_S
        else:
            interval_s = QUERY_INTERVAL_S * self._context.rng.uniform(1 - QUERY_JITTER, 1 + QUERY_JITTER)
        self._context.reactor.callLater(interval_s, self.tick)
        self.send_queries()

    def send_queries(self) -> None:
        """Query each replica for its accepted state and, while the lease is stale, some nodes without a disk."""
        now = self._context.now()
        targets = self._targets(now)
        self._queries = {
            nonce: query for nonce, query in self._queries.items() if now - query.sent_at < QUERY_TIMEOUT_S
        }
        for ip in sorted(targets):
            if ip == self._context.local_ip:
                self._query_local_replica(now)
            else:
                self._send_query(ip, now)

    def acquire_read_lease(self, timeout_s: float = ACQUIRE_TIMEOUT_S) -> Deferred[bool]:
        """Fire with True once every state that was chosen before this call is known here.

        It fires with False if no majority of the voters has replied after `timeout_s` seconds.
        """
        reactor = self._context.reactor
        waiter = _Waiter(self._context.now(), Deferred())
        self._waiters.append(waiter)
        for share in REPEAT_SHARES:
            reactor.callLater(timeout_s * share, self._repeat_queries, waiter)
        reactor.callLater(timeout_s, self._time_out, waiter)
        self.send_queries()
        return waiter.acquired

    def handle_query(self, ip: int, query: StateQuery) -> None:
        """Reply to another node's query, which contains that node's latest knowledge of this disk."""
        self._replica.check_rollback(ip, query.receiver_disk_id, query.receiver_record_version)
        number = self._committed.number
        staleness_ms = self._staleness_ms()
        known_disk_id, known_version = self._monitor.last_known(ip)
        acceptor = self._replica.acceptor
        if acceptor is not None and self._replica.disk_id:
            report = StateReport(
                query.nonce,
                acceptor.disk_id,
                acceptor.durable_version,
                acceptor.durable_accepted_number,
                number,
                acceptor.durable_chosen_number,
                staleness_ms,
                known_disk_id,
                known_version,
                self._replica.is_verified,
            )
        else:
            report = StateReport(query.nonce, 0, 0, number, number, 0, staleness_ms, known_disk_id, known_version)
        self._context.send(ip, report)

    def handle_report(self, ip: int, report: StateReport) -> None:
        """Process the reply to a query; if that node has a newer state, that state is fetched first."""
        query = self._queries.pop(report.nonce, None)
        if query is None or query.ip != ip:
            return
        self._replica.check_rollback(ip, report.receiver_disk_id, report.receiver_record_version)
        if report.disk_id and not self._is_trusted(ip, report, query.sent_at):
            return
        if report.committed_number > self._committed.number:
            self._fetcher.fetch_state(ip, on_fetched=lambda: self._extend_lease(ip, report, query.sent_at))
        else:
            self._extend_lease(ip, report, query.sent_at)

    # -- queries -----------------------------------------------------------------------------------------------

    def _is_stale(self, now: float) -> bool:
        return now - self.current_as_of() > STALE_LEASE_S

    def _targets(self, now: float) -> set[int]:
        membership = self._context.membership
        targets = set(self._committed.voter_ips())
        if self._replica.store is not None or not targets:
            targets |= {member.ip for member in membership.live_members(now, MemberFlags.HAS_DISK)}
        if self._is_stale(now):
            relays = [
                member.ip
                for member in membership.live_members(now)
                if not member.has_disk and member.ip != self._context.local_ip
            ]
            targets |= set(self._context.rng.sample(relays, min(MAX_RELAYS, len(relays))))
        return targets

    def _send_query(self, ip: int, now: float) -> None:
        self._nonce = (self._nonce + 1) & NONCE_MASK
        self._queries[self._nonce] = _Query(ip, now)
        known_disk_id, known_version = self._monitor.last_known(ip)
        self._context.send(ip, StateQuery(self._nonce, known_disk_id, known_version))

    def _query_local_replica(self, now: float) -> None:
        replica = self._replica
        if replica.is_voter and replica.acceptor is not None:
            accepted = replica.acceptor.accepted_state
            if accepted is None or accepted.number <= self._committed.number:
                self._read_lease.on_agreement(ReplicaId(self._context.local_ip, replica.disk_id), now)
        self._notify_waiters()

    # -- reports -----------------------------------------------------------------------------------------------

    def _staleness_ms(self) -> int:
        staleness_s = self._context.now() - self.current_as_of()
        return int(staleness_s * 1000) + 1 if staleness_s < MAX_REPORTED_STALENESS_S else UNKNOWN_STALENESS_MS

    def _is_trusted(self, ip: int, report: StateReport, sent_at: float) -> bool:
        """Return whether a replica's report counts: neither it nor this node knows of a rollback of its disk."""
        if not report.is_verified:
            return False
        reported = ReplicaReport(report.disk_id, report.durable_number, sent_at)
        return self._monitor.record_report(ip, reported, report.record_version)

    def _extend_lease(self, ip: int, report: StateReport, sent_at: float) -> None:
        number = self._committed.number
        if report.disk_id and report.accepted_number <= number:
            self._read_lease.on_agreement(ReplicaId(ip, report.disk_id), sent_at)
        if report.staleness_ms >= 0 and report.committed_number <= number:
            self._read_lease.on_relayed_lease(sent_at, report.staleness_ms / 1000)
        self._notify_waiters()

    # -- waiting requests --------------------------------------------------------------------------------------

    def _notify_waiters(self) -> None:
        current_as_of = self.current_as_of()
        satisfied = [waiter for waiter in self._waiters if current_as_of >= waiter.requested_at]
        self._waiters = [waiter for waiter in self._waiters if current_as_of < waiter.requested_at]
        for waiter in satisfied:
            waiter.acquired.callback(True)

    def _repeat_queries(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self.send_queries()

    def _time_out(self, waiter: _Waiter) -> None:
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            waiter.acquired.callback(False)
