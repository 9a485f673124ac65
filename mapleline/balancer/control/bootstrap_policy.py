"""Decides when the system's first state is due, and which voters it has (docs/design/control.md, Bootstrap)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from ..membership.member import MemberFlags
from .replica_reports import ReplicaReport
from .state import Replica

if TYPE_CHECKING:
    from ..context import NodeContext
    from .replica import LocalReplica

MIN_UPTIME_S = 1.5
STABLE_S = 1.0  # time for which the number of machines with a disk must stay the same
MAX_WAIT_S = 5.0  # limit of the wait for a zone without a replica, or for the first machine to propose


class BootstrapPolicy:
    """Delays the bootstrap until each zone has a machine with a disk and the number of these is stable."""

    def __init__(
        self, context: NodeContext, replica: LocalReplica, reports: Mapping[int, ReplicaReport], started_at: float
    ) -> None:
        """Create the policy; `reports` has the newest report of each machine with a disk, by address."""
        self._context = context
        self._replica = replica
        self._reports = reports
        self._started_at = started_at
        self._disk_count = 0
        self._disk_count_since = started_at

    def is_due(self, now: float) -> bool:
        """Return whether this node must propose the first state now.

        The first machine with a disk, by ring position, proposes it; after `MAX_WAIT_S`, the other ones do so as well.
        """
        local_ip = self._context.local_ip
        settings = self._context.settings
        members = self._context.membership.live_members(now, MemberFlags.HAS_DISK)
        if len(members) != self._disk_count:
            self._disk_count = len(members)
            self._disk_count_since = now
        if not settings.initial_start or not settings.seed_nodes or not self._replica.disk_id or not members:
            return False
        uptime_s = now - self._started_at
        is_first = min(members, key=lambda member: member.ring_position).ip == local_ip
        if not is_first and uptime_s < MAX_WAIT_S:
            return False
        has_every_zone = len({member.zone for member in members}) == len(settings.zones)
        has_every_report = all(member.ip in self._reports for member in members if member.ip != local_ip)
        is_stable = now - self._disk_count_since > STABLE_S
        has_waited = uptime_s > MIN_UPTIME_S and (has_every_zone or uptime_s > MAX_WAIT_S)
        return has_waited and is_stable and has_every_report

    def initial_voters(self, now: float) -> list[Replica]:
        """Return the voters of the first state."""
        voters = []
        for member in self._context.membership.live_members(now, MemberFlags.HAS_DISK):
            if member.ip == self._context.local_ip:
                voters.append(Replica(member.ip, self._replica.disk_id, member.zone))
            elif member.ip in self._reports:
                voters.append(Replica(member.ip, self._reports[member.ip].disk_id, member.zone))
        return voters
