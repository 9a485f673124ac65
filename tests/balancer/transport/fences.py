"""Builders of fences, and sample messages, for the tests of the transport."""

from unittest import mock

from mapleline.balancer.membership.member import Member, MemberFlags
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.transport.fencing import Fence
from mapleline.balancer.transport.messages import CounterIncrement, Heartbeat

HEARTBEAT = Heartbeat(b"", 0, 0, 0)
INCREMENT = CounterIncrement(1, "t", 8, 1.0, [], 5.0)

without_stamps = mock.patch.object(Fence, "_check_stamps", return_value=None)  # a fence that accepts everything


def make_fence(ip, incarnation, known=None, system_id=0):
    """Return the fence of an ingress; `known` maps the addresses of other members to their incarnations."""
    membership = MembershipTable(Member(ip, 0, 0, incarnation, 1, 0.0), 0.5)
    for other, other_incarnation in (known or {}).items():
        flags = MemberFlags.READY | MemberFlags.HAS_DISK
        membership.members[other] = Member(other, 0, flags, other_incarnation, 7, 0.0)
    return Fence(membership, system_id)


def own_incarnation(fence):
    """Return the current incarnation of a fence's process."""
    return fence.membership.local_member.incarnation
