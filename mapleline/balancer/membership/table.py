"""The membership table: the known ingresses, their incarnations, and the times of their newest heartbeats.

It implements a heartbeat-style gossip (van Renesse et al., "A gossip-style failure detection service", 1998) with
incarnations as in SWIM (Das et al., 2002).  Each ingress counts its own heartbeats and sends its whole table along a
ring (`heartbeat_ring`).  A received row replaces the known one only if its (incarnation, heartbeat count) is higher.
It carries the age of the newest heartbeat, so that a row relayed by other ingresses does not seem fresher than it is.
Pure: times are arguments, in seconds of a steady clock.
"""

from __future__ import annotations

from math import log2

from .heartbeat_codec import MAX_AGE_UNITS, MemberRow, decode_first_row, decode_rows, encode_rows
from .heartbeat_ring import heartbeat_targets
from .incarnations import UnlistedIncarnations
from .member import NEVER, Member, MemberFlags

FORGET_AFTER_S = 60.0  #: a member without a heartbeat for longer is removed, unless it is retained
TOLERATED_MISSED_HEARTBEATS = (
    2.75  #: tolerated before a member counts as failed, beside those an update takes on the ring
)
MAX_OWN_HEARTBEAT_TIMES = 200  #: number of send times kept: 100 s, longer than any accepted datagram can be delayed
MAX_INCARNATION = 0xFFFFFFFF  #: 32 bits on the wire
_FLAGS_KEPT_BY_RESTART = int(MemberFlags.HAS_DISK | MemberFlags.CAN_PROPOSE)
_HAS_DISK = int(MemberFlags.HAS_DISK)


class MembershipTable:
    """The table of one ingress.

    Attributes:
        local_member: This ingress's own row.
        heartbeat_interval_s: The time between two heartbeats of a member, in seconds.
        members: All known ingresses by address, this one included.
        retained_ips: The addresses of the voters, which are never removed.
        last_merge_sent_at: Lower bound of the time at which the table merged last was sent.
    """

    def __init__(self, local_member: Member, heartbeat_interval_s: float) -> None:
        """Create a table that has only the own row."""
        self.local_member = local_member
        self.heartbeat_interval_s = heartbeat_interval_s
        self.members: dict[int, Member] = {local_member.ip: local_member}
        self.retained_ips: set[int] = set()
        self.last_merge_sent_at = NEVER
        self._unlisted = UnlistedIncarnations()
        self._own_heartbeat_times: dict[int, float] = {}

    @property
    def failure_timeout_s(self) -> float:
        """The time without a heartbeat after which a member counts as failed.

        An update takes up to about log2(n) heartbeats, half of that on average, and some of them may be lost.
        """
        return self.heartbeat_interval_s * (TOLERATED_MISSED_HEARTBEATS + log2(max(2, len(self.members))) / 2)

    def add_member(self, ip: int, zone: int, flags: int) -> None:
        """Add a member named by a record on the disk; it is not alive until one of its heartbeats is known."""
        self.members.setdefault(ip, Member(ip, zone, flags))

    # -- incarnations --------------------------------------------------------------------------------------

    def incarnation(self, ip: int) -> int:
        """Return the newest known incarnation of an ingress, 0 if none is known."""
        member = self.members.get(ip)
        return member.incarnation if member is not None else self._unlisted.get(ip)

    def session_key(self, ip: int) -> int:
        """Return a 64-bit number that identifies an ingress in its newest known incarnation."""
        return ip << 32 | self.incarnation(ip)

    def observe_incarnation(self, ip: int, incarnation: int) -> None:
        """Record that an ingress has sent a message in this incarnation.

        While no heartbeat of a new incarnation is known, the ready and leaving flags of the earlier one do not apply.
        """
        member = self.members.get(ip)
        if member is None:
            self._unlisted.observe(ip, incarnation)
        elif incarnation > member.incarnation and member is not self.local_member:
            member.incarnation = incarnation
            member.heartbeat_count = 0
            member.flags &= _FLAGS_KEPT_BY_RESTART

    def refute(self, incarnation: int, heartbeat_count: int = 0) -> None:
        """Raise the own incarnation above one that another ingress has seen of this address, if that one is newer.

        A clock that was set back must not make this process seem the older one.  A heartbeat count above the own one
        belongs to another process, because this one has not sent that heartbeat.
        """
        local = self.local_member
        if (incarnation, heartbeat_count) > (local.incarnation, local.heartbeat_count):
            local.incarnation = min(MAX_INCARNATION, incarnation + 1)

    # -- heartbeats ----------------------------------------------------------------------------------------

    def record_heartbeat(self, now: float, flags: int) -> None:
        """Count a heartbeat of this ingress with its flags, and remove members that failed long ago."""
        local = self.local_member
        local.heartbeat_count += 1
        local.last_heartbeat = now
        local.flags = int(flags)
        self._own_heartbeat_times[local.heartbeat_count] = now
        self._own_heartbeat_times.pop(local.heartbeat_count - MAX_OWN_HEARTBEAT_TIMES, None)
        self._forget_failed_members(now)

    def _forget_failed_members(self, now: float) -> None:
        for ip, member in list(self.members.items()):
            is_kept = ip in self.retained_ips or member is self.local_member
            if not is_kept and now - member.last_heartbeat > FORGET_AFTER_S:
                del self.members[ip]

    def encode(self, now: float) -> bytes:
        """Return the whole table as encoded in a heartbeat, the own row first."""
        return encode_rows(self.members.values(), now)

    def is_superseded(self, sender_ip: int, rows: bytes) -> bool:
        """Return whether a newer heartbeat of the sender is known than the one that carried these rows."""
        member = self.members.get(sender_ip)
        row = decode_first_row(rows)
        if member is None or row is None or row.ip != sender_ip:
            return False
        return (row.incarnation, row.heartbeat_count) < (member.incarnation, member.heartbeat_count)

    def merge(self, now: float, rows: bytes) -> bool:
        """Merge the table of another ingress; return whether a member is new or alive again.

        Raises:
            struct.error: The bytes are not a whole number of rows; nothing is merged.
        """
        has_joined = False
        self.last_merge_sent_at = NEVER
        for row in decode_rows(rows):
            if row.ip == self.local_member.ip:
                self._merge_local(now, row)
            else:
                has_joined |= self._merge_other(now, row)
        return has_joined

    def _merge_local(self, now: float, row: MemberRow) -> None:
        """Determine when the table was sent from the own row in it, and refute an incarnation above the own one.

        The table may have been delayed for long, on the network or in this process.  The own row names a heartbeat of
        this ingress and its age when the table was sent.  The sender measured that age from the heartbeat's arrival, so
        the true age is higher by the heartbeat's delay.  Hence the table was sent at the sum of the heartbeat's send
        time and the reported age, or later.
        """
        if row.incarnation == self.local_member.incarnation and row.age_units < MAX_AGE_UNITS:
            heartbeat_sent_at = self._own_heartbeat_times.get(row.heartbeat_count, NEVER)
            self.last_merge_sent_at = min(now, heartbeat_sent_at + row.age_s)
        self.refute(row.incarnation, row.heartbeat_count)

    def _merge_other(self, now: float, row: MemberRow) -> bool:
        """Adopt a row that is newer than the known one; return whether its member is new or alive again."""
        has_joined = False
        member = self.members.get(row.ip)
        if member is None:
            member = Member(row.ip, row.zone, row.flags & _HAS_DISK, self._unlisted.pop(row.ip))
            self.members[row.ip] = member
            has_joined = True
        if (row.incarnation, row.heartbeat_count) <= (member.incarnation, member.heartbeat_count):
            return has_joined
        has_joined |= now - member.last_heartbeat > self.failure_timeout_s
        sent_at = now - row.age_s
        if row.incarnation > member.incarnation or not member.last_heartbeat > sent_at:
            member.last_heartbeat = sent_at
        member.incarnation = row.incarnation
        member.heartbeat_count = row.heartbeat_count
        member.zone = row.zone
        member.flags = row.flags
        return has_joined

    # -- queries -------------------------------------------------------------------------------------------

    def live_members(self, now: float, flags: int = 0) -> list[Member]:
        """Return the live members that have all of these flags; this ingress may be one of them."""
        required = int(flags)
        timeout_s = self.failure_timeout_s
        return [
            member
            for member in self.members.values()
            if now - member.last_heartbeat <= timeout_s and member.flags & required == required
        ]

    def unreachable_ips(self, now: float) -> list[int]:
        """Return the addresses of failed members, which are contacted at times because a partition may have ended."""
        timeout_s = self.failure_timeout_s
        return sorted(member.ip for member in self.members.values() if now - member.last_heartbeat > timeout_s)

    def isolation_factor(self, now: float) -> float:
        """Return the ratio of members heard of in the last minute to live ones if it is 2 or more, else 1.

        The members on the other side of a partition still run, and admit requests by their own counts.  The counts of
        this side are multiplied by the factor, so that both sides together admit no more than one would.
        """
        known = sum(
            1
            for member in self.members.values()
            if now - member.last_heartbeat <= FORGET_AFTER_S and not member.is_leaving
        )
        live = max(1, len(self.live_members(now)))  # after a freeze not even the own heartbeat is fresh
        return known / live if 2 * live <= known else 1.0

    def heartbeat_targets(
        self, now: float, region_zones: set[int], heartbeat_number: int, include_other_regions: bool
    ) -> list[int]:
        """Return the addresses of this heartbeat's recipients (`heartbeat_ring`); zones are given by their index."""
        live = self.live_members(now)
        region = [member for member in live if member.zone in region_zones]
        elsewhere = []
        if include_other_regions:
            elsewhere = [member for member in live if member.zone not in region_zones]
            elsewhere.append(self.local_member)
        return heartbeat_targets(self.local_member.ip, region, elsewhere, heartbeat_number)
