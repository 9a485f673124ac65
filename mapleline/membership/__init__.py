"""Fleet membership of the ingress in service: heartbeats on the counter, leases in a store (pure)."""

from .leases import Lease, LeaseTable
from .view import MembershipView, MemberState, period_of

__all__ = ["Lease", "LeaseTable", "MemberState", "MembershipView", "period_of"]
