"""Heartbeats between nodes: when they are sent and to whom, and what a received one sets off.

A heartbeat carries the whole membership table and says how new its sender's control state and endpoint list are, so
that others fetch what they lack.  Intervals and recipients: docs/design/system.md, "Messages".
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from .membership.member import MemberFlags
from .transport.addresses import ip_to_int
from .transport.messages import Heartbeat

if TYPE_CHECKING:
    from .context import NodeContext
    from .control.control_plane import ControlPlane
    from .discovery.endpoints import EndpointList
    from .membership.leadership import Leadership
    from .membership.member import Member
    from .topology import Topology

HEARTBEAT_INTERVAL_S = 0.5
REMOTE_EVERY = 2
"""Every so many heartbeats one goes to another region as well."""
FEW_MEMBERS = 3
"""With fewer live members than this, the seeds and all missing members are contacted with each heartbeat."""
REJOIN_EVERY = 8
"""With enough members, every so many heartbeats one missing member or seed is contacted: a partition may have ended."""
LIST_AGE_TOLERANCE_S = 0.05
"""An endpoint list that is newer by less than this is not worth a fetch."""


class HeartbeatExchange:
    """Sends this node's heartbeats and handles those of others."""

    def __init__(
        self,
        context: NodeContext,
        topology: Topology,
        control_plane: ControlPlane,
        endpoints: EndpointList,
        leadership: Leadership,
        member_flags: Callable[[], int],
    ) -> None:
        """Join the parts that a heartbeat reports on; `member_flags` returns this node's own flags."""
        self._context = context
        self._topology = topology
        self._local_zones = topology.local_zones()
        self._membership = context.membership
        self._control_plane = control_plane
        self._endpoints = endpoints
        self._leadership = leadership
        self._member_flags = member_flags
        self._sequence = 0
        self.seed_nodes = context.settings.seed_nodes

    def make_heartbeat(self, is_reply_wanted: bool = False) -> Heartbeat:
        """Return a heartbeat that reports what is known here now."""
        now = self._context.now()
        return Heartbeat(
            self._membership.encode(now),
            self._control_plane.committed.number,
            self._endpoints.digest,
            self._endpoints.age_ms(now),
            is_reply_wanted,
            self._leadership.term,
            self._leadership.leader_ip,
        )

    def run(self) -> None:
        """Send the periodic heartbeat, and set the timer of the next."""
        self._context.reactor.callLater(HEARTBEAT_INTERVAL_S, self.run)
        now = self._context.now()
        self._sequence += 1
        self.refresh_own_row(now)
        live_count = len(self._membership.alive(now))
        heartbeat = self.make_heartbeat()
        is_remote_due = self._sequence % REMOTE_EVERY == 0
        for ip in self._membership.heartbeat_targets(now, self._local_zones, self._sequence, is_remote_due):
            self._context.send(ip, heartbeat)
        if live_count < FEW_MEMBERS or self._sequence % REJOIN_EVERY == 0:
            self._contact_missing(now, live_count)

    def refresh_own_row(self, now: float) -> None:
        """Count one more heartbeat of this node, with its present flags."""
        self._membership.record_heartbeat(now, self._member_flags())

    def _contact_missing(self, now: float, live_count: int) -> None:
        """Ask seeds and members that were not heard of lately for a reply."""
        candidates = {ip_to_int(host) for host, _ in self.seed_nodes} | set(self._membership.unreachable_ips(now))
        if live_count >= FEW_MEMBERS and candidates:
            candidates = {self._context.rng.choice(sorted(candidates))}
        for ip in sorted(candidates - {self._membership.local_member.ip}):
            self._context.send(ip, self.make_heartbeat(is_reply_wanted=True))

    def broadcast(self) -> None:
        """Send a heartbeat to every live member at once: something changed that all should learn of."""
        now = self._context.now()
        self.refresh_own_row(now)
        heartbeat = self.make_heartbeat()
        for member in self._membership.alive(now):
            if member.ip != self._membership.local_member.ip:
                self._context.send(member.ip, heartbeat)

    def notify_assigned_nodes(self) -> None:
        """Announce a new control state to the nodes without a disk that this replica is the nearest for.

        The replicas share out the other nodes among them, so that each node fetches the state over a short link.
        """
        now = self._context.now()
        replicas = self._membership.alive(now, MemberFlags.HAS_DISK)
        heartbeat = self.make_heartbeat()
        for member in self._membership.alive(now):
            if not member.has_disk and self._nearest_replica(member, replicas) == self._membership.local_member.ip:
                self._context.send(member.ip, heartbeat)

    def _nearest_replica(self, member: Member, replicas: list[Member]) -> int:
        nearest = min(
            replicas,
            key=lambda replica: self._topology.distance(replica, member),
            default=self._membership.local_member,
        )
        return nearest.ip

    def receive(self, ip: int, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat of another node."""
        now = self._context.now()
        has_new_member = self._membership.merge(now, heartbeat.member_rows)
        if heartbeat.wants_reply or has_new_member and self._sequence > 0:
            self._context.send(ip, self.make_heartbeat())
        if self._membership.is_superseded(ip, heartbeat.member_rows):
            return  # a newer one of this sender is known: this one's endpoint list would seem fresher than it is
        self._control_plane.handle_advertised_number(ip, heartbeat.state_number, now)
        self._leadership.observe_leader(heartbeat.leader_term, heartbeat.leader_ip)
        self._compare_endpoint_list(ip, heartbeat, now)

    def _compare_endpoint_list(self, ip: int, heartbeat: Heartbeat, now: float) -> None:
        """Fetch the sender's endpoint list if it is newer, or date ours by it if it is the same."""
        list_age_s = heartbeat.endpoints_age_ms / 1000
        if not heartbeat.endpoints_digest or now - list_age_s <= self._endpoints.fetched_at + LIST_AGE_TOLERANCE_S:
            return
        if heartbeat.endpoints_digest == self._endpoints.digest:
            self._endpoints.confirm(self._membership.last_merge_sent_at - list_age_s, heartbeat.endpoints_digest)
        else:
            self._control_plane.fetch_endpoint_list(ip)
