"""Fleet membership of the running ingress: heartbeats on the counter, and leases in a store (pure)."""

from .leases import Lease, LeaseTable
from .view import MembershipView, MemberState, period_of

__all__ = ["Lease", "LeaseTable", "MemberState", "MembershipView", "period_of"]
