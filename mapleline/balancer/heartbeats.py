"""Heartbeats between nodes: their timing, their recipients, and the reactions to a received one.

A heartbeat carries the whole membership table and shows how recent its sender's control state and endpoint list are, so
that other nodes can fetch newer ones.  docs/design/system.md, "Messages", lists intervals and recipients.
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
HEARTBEATS_PER_REMOTE_ONE = 2
"""One heartbeat in this many also goes to another region."""
MIN_LIVE_MEMBERS = 3
"""With fewer live members, all seeds and all failed members are contacted with each heartbeat."""
HEARTBEATS_PER_REJOIN_ATTEMPT = 8
"""Otherwise one seed or failed member is contacted per this many heartbeats, as a partition may have ended."""
LIST_AGE_TOLERANCE_S = 0.05
"""An endpoint list that is newer by less than this is not fetched."""


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
        """Create an exchange that has sent nothing; `member_flags` returns this node's own flags."""
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
        """Return a heartbeat with the present state of this node."""
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
        """Send the periodic heartbeat, and set the timer for the next one."""
        self._context.reactor.callLater(HEARTBEAT_INTERVAL_S, self.run)
        now = self._context.now()
        self._sequence += 1
        self.refresh_own_row(now)
        live_count = len(self._membership.live_members(now))
        heartbeat = self.make_heartbeat()
        is_remote_due = self._sequence % HEARTBEATS_PER_REMOTE_ONE == 0
        for ip in self._membership.heartbeat_targets(now, self._local_zones, self._sequence, is_remote_due):
            self._context.send(ip, heartbeat)
        if live_count < MIN_LIVE_MEMBERS or self._sequence % HEARTBEATS_PER_REJOIN_ATTEMPT == 0:
            self._contact_missing_members(now, live_count)

    def refresh_own_row(self, now: float) -> None:
        """Update this node's row: one more heartbeat, with the present flags."""
        self._membership.record_heartbeat(now, self._member_flags())

    def _contact_missing_members(self, now: float, live_count: int) -> None:
        """Send heartbeats that ask for a reply to seeds and failed members."""
        candidates = {ip_to_int(host) for host, _ in self.seed_nodes} | set(self._membership.unreachable_ips(now))
        if live_count >= MIN_LIVE_MEMBERS and candidates:
            candidates = {self._context.rng.choice(sorted(candidates))}
        for ip in sorted(candidates - {self._membership.local_member.ip}):
            self._context.send(ip, self.make_heartbeat(is_reply_wanted=True))

    def broadcast(self) -> None:
        """Send a heartbeat to every live member at once, so that all learn of a change quickly."""
        now = self._context.now()
        self.refresh_own_row(now)
        heartbeat = self.make_heartbeat()
        for member in self._membership.live_members(now):
            if member.ip != self._membership.local_member.ip:
                self._context.send(member.ip, heartbeat)

    def notify_assigned_nodes(self) -> None:
        """Announce a new control state to the nodes without a disk whose nearest replica is this node.

        Each node is assigned to its nearest replica, so that it fetches the state over a short link.
        """
        now = self._context.now()
        replicas = self._membership.live_members(now, MemberFlags.HAS_DISK)
        heartbeat = self.make_heartbeat()
        for member in self._membership.live_members(now):
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
            return  # a newer heartbeat is known: the endpoint list of this one would seem fresher than it is
        self._control_plane.handle_advertised_number(ip, heartbeat.state_number, now)
        self._leadership.observe_leader(heartbeat.leader_term, heartbeat.leader_ip)
        self._compare_endpoint_list(ip, heartbeat, now)

    def _compare_endpoint_list(self, ip: int, heartbeat: Heartbeat, now: float) -> None:
        """Fetch the sender's endpoint list if it is newer; if both lists are equal, adopt its age."""
        list_age_s = heartbeat.endpoints_age_ms / 1000
        if not heartbeat.endpoints_digest or now - list_age_s <= self._endpoints.fetched_at + LIST_AGE_TOLERANCE_S:
            return
        if heartbeat.endpoints_digest == self._endpoints.digest:
            self._endpoints.confirm(self._membership.last_merge_sent_at - list_age_s, heartbeat.endpoints_digest)
        else:
            self._control_plane.fetch_endpoint_list(ip)
