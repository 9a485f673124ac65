"""Monitors the replicas: their reports, the choice of the coordinator, and the change of the voters that is due."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..membership.member import Member, MemberFlags
from ..transport.addresses import ip_from_int
from .bootstrap_policy import BootstrapPolicy
from .reconfiguration import FaultTolerance, ReplicaStatus, next_voters, tolerates_faults
from .replica_reports import NO_REPORT, ReplicaReport
from .state import Replica, ReplicaId, State

if TYPE_CHECKING:
    from ..context import NodeContext
    from .committed_state import CommittedState
    from .replica import LocalReplica

MAX_REPORT_AGE_S = 2.0  # older reports are ignored
NEW_LEARNER_S = 10.0  # time for which a replica without a vote is queried at the fast interval
MAX_LAG = 8  # states that a learner may be behind; any state that it accepts later is complete


class ReplicaMonitor:
    """Tracks the replicas as this node knows them."""

    def __init__(
        self,
        context: NodeContext,
        committed: CommittedState,
        replica: LocalReplica,
        current_as_of: Callable[[], float],
    ) -> None:
        """Create a monitor without reports.

        `current_as_of` returns the time, in seconds, up to which all chosen states are known here.
        """
        self._context = context
        self._committed = committed
        self._replica = replica
        self.current_as_of = current_as_of
        tolerance = context.settings.fault_tolerance
        bounds = context.settings.protocol_bounds
        self.tolerance = FaultTolerance(tolerance.machine_losses, tolerance.zones)
        self._lost_after_s = bounds.contact_window + bounds.catch_up
        self._started_at = context.now()
        self.highest_versions: dict[tuple[int, int], int] = {}  #: of the records seen, by address and disk
        self._reports: dict[int, ReplicaReport] = {}  #: the newest report of each replica, by address
        self._learners_since: dict[
            int, float
        ] = {}  #: since when each has had no vote, by address; only while this node coordinates
        self._epoch = 0  #: the newest epoch of the voters that is known here
        self._epoch_since = 0.0
        self.bootstrap = BootstrapPolicy(context, replica, self._reports, self._started_at)

    # -- reports -----------------------------------------------------------------------------------------------

    def record_report(self, ip: int, report: ReplicaReport, record_version: int) -> bool:
        """Record a replica's report; return False if its disk was rolled back."""
        if not self.observe_record_version(ip, report.disk_id, record_version):
            return False  # the next query to the replica contains the highest version known here
        if report.asked_at >= self._report(ip).asked_at:
            self._reports[ip] = report
        return True

    def observe_record_version(self, ip: int, disk_id: int, version: int) -> bool:
        """Record the version of a replica's record; return False if it is lower than an earlier one."""
        highest = self.highest_versions.get((ip, disk_id), 0)
        self.highest_versions[ip, disk_id] = max(highest, version)
        return version >= highest

    def last_known(self, ip: int) -> tuple[int, int]:
        """Return the last known disk at an address and the highest version of its record; zeros if unknown."""
        disk_id = self._report(ip).disk_id
        return disk_id, self.highest_versions.get((ip, disk_id), 0)

    def _report(self, ip: int) -> ReplicaReport:
        return self._reports.get(ip, NO_REPORT)

    # -- choice of the coordinator -----------------------------------------------------------------------------

    @property
    def can_propose(self) -> bool:
        """Whether commands may be forwarded to this node: it has a vote, and its disk accepts writes."""
        return self._replica.is_voter and self._replica.disk_error is None

    def proposers(self, now: float) -> list[Member]:
        """Return the voters that are alive and eligible to propose, in the order in which they are asked to."""
        voters = set(self._committed.voter_ips())
        eligible = [
            member
            for member in self._context.membership.live_members(now, MemberFlags.HAS_DISK)
            if member.ip in voters and self._is_eligible(member)
        ]
        not_leaving = [member for member in eligible if not member.is_leaving]
        return sorted(not_leaving or eligible, key=lambda member: member.ring_position)

    def _is_eligible(self, member: Member) -> bool:
        if member.ip == self._context.local_ip:
            return self.can_propose
        return member.can_propose

    def coordinator(self, now: float) -> int:
        """Return the address of the first proposer, 0 for none.

        One coordinator avoids colliding ballots; proposals by other nodes are safe.
        """
        return next((member.ip for member in self.proposers(now)), 0)

    def is_coordinator(self, now: float) -> bool:
        """Return whether this node is the coordinator, which changes the voters."""
        return self._replica.is_voter and self.coordinator(now) == self._context.local_ip

    def has_new_learners(self, now: float) -> bool:
        """Return whether this node coordinates and a replica has been without a vote for less than `NEW_LEARNER_S`."""
        state = self._committed.state
        if state is None or not self.is_coordinator(now):
            return False
        voters = {(voter.ip, voter.disk_id) for voter in state.voters}
        learners = {
            member.ip
            for member in self._context.membership.live_members(now, MemberFlags.HAS_DISK)
            if member.ip != self._context.local_ip
            and not member.is_leaving
            and (member.ip, self._report(member.ip).disk_id) not in voters
        }
        self._learners_since = {ip: self._learners_since.get(ip, now) for ip in learners}
        return any(now - since < NEW_LEARNER_S for since in self._learners_since.values())

    # -- changes of the voters ---------------------------------------------------------------------------------

    def due_voters(self, state: State, now: float) -> tuple[Replica, ...] | None:
        """Return the next set of voters; None if the present one stays, or if this node does not coordinate."""
        if state.epoch != self._epoch:
            self._epoch = state.epoch
            self._epoch_since = now
        if not self.is_coordinator(now) or now - self.current_as_of() > MAX_REPORT_AGE_S:
            return None
        voters = {voter.ip: voter for voter in state.voters}
        ips = voters.keys() | {member.ip for member in self._context.membership.live_members(now, MemberFlags.HAS_DISK)}
        statuses = [self._status(ip, voters.get(ip), state, now) for ip in sorted(ips)]
        return next_voters(state, statuses, self.tolerance, self._lost_after_s)

    def _status(self, ip: int, voter: Replica | None, state: State, now: float) -> ReplicaStatus:
        member = self._context.membership.members.get(ip)
        report = self._fresh_report(ip, state, now)
        if voter is not None and report is None:
            replica = voter
        else:
            disk_id = report.disk_id if report is not None else self._report(ip).disk_id
            replica = Replica(ip, disk_id, self._zone(member, voter))
        durable_number = report.durable_number if report is not None else 0
        is_complete = durable_number > 0 and durable_number + MAX_LAG >= state.number
        is_leaving = member is not None and member.is_leaving
        return ReplicaStatus(replica, is_complete, is_leaving, self._unreachable_s(member, now))

    def _fresh_report(self, ip: int, state: State, now: float) -> ReplicaReport | None:
        """Return a replica's report; None if it is too old."""
        if ip == self._context.local_ip:
            return ReplicaReport(self._replica.disk_id, state.number, now) if self._replica.disk_id else None
        report = self._report(ip)
        # a report from before the last change of the voters may be of the disk that was replaced
        is_fresh = now - report.asked_at < MAX_REPORT_AGE_S and report.asked_at >= self._epoch_since
        return report if report.disk_id and is_fresh else None

    @staticmethod
    def _zone(member: Member | None, voter: Replica | None) -> int:
        if member is not None:
            return member.zone
        return voter.zone if voter is not None else 0

    def _unreachable_s(self, member: Member | None, now: float) -> float:
        """Return the seconds since a member's last heartbeat; 0 while it is alive."""
        membership = self._context.membership
        if member is not None and now - member.last_heartbeat <= membership.failure_timeout_s:
            return 0.0
        return now - max(self._started_at, member.last_heartbeat if member is not None else 0.0)

    def may_exit(self) -> bool:
        """Return whether this node may exit.

        It may exit if it has no vote any more; or, if it keeps its vote because the other voters could not tolerate a
        loss, once a majority without it has the newest state on its disks.
        """
        state = self._committed.state
        if state is None or not self._replica.is_voter:
            return True
        local_ip = self._context.local_ip
        remaining = [voter for voter in state.voters if voter.ip != local_ip]
        if tolerates_faults(remaining, self.tolerance):
            return False
        return state.has_quorum(
            {
                ReplicaId(ip, report.disk_id)
                for ip, report in self._reports.items()
                if ip != local_ip and report.durable_number >= state.number
            }
        )

    # -- status ------------------------------------------------------------------------------------------------

    def status_rows(self) -> list[dict[str, object]]:
        """Return each replica's role and progress, as shown by `GET /status`."""
        now = self._context.now()
        state = self._committed.state
        alive = {member.ip: member for member in self._context.membership.live_members(now, MemberFlags.HAS_DISK)}
        voters = {voter.ip: voter for voter in (state.all_voters() if state is not None else ())}
        return [self._status_row(ip, voters.get(ip), alive.get(ip)) for ip in sorted(voters.keys() | alive.keys())]

    def _status_row(self, ip: int, voter: Replica | None, member: Member | None) -> dict[str, object]:
        report = self._report(ip)
        disk_id = report.disk_id
        durable_number = report.durable_number
        is_local = ip == self._context.local_ip
        acceptor = self._replica.acceptor
        if is_local and self._replica.disk_id and acceptor is not None:
            disk_id = self._replica.disk_id
            durable_number = acceptor.durable_chosen_number
        if member is None and not is_local:
            role = "lost"
        elif member is not None and member.is_leaving:
            role = "leaving"
        elif voter is not None and disk_id in (0, voter.disk_id):
            role = "voter"
        else:
            role = "learner"
        return {"address": ip_from_int(ip), "part": role, "kept": durable_number}
