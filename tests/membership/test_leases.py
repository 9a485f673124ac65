"""Leases of members: expiry on clocks that differ, and the choice of a successor."""

from mapleline.membership import Lease, LeaseTable


def test_the_successor_is_the_next_on_the_ring_with_a_valid_lease():
    leases = LeaseTable(0.5)
    leases.replace_all([Lease("a", 1, 10), Lease("b", 2, 9), Lease("c", 1, 10), Lease("d", 1, 9.8)])
    assert leases.expired(9.5) == [] and [lease.name for lease in leases.expired(9.6)] == ["b"]
    assert [leases.successor_of(name, 9.9) for name in "abcd"] == ["c", "c", "a", "a"]
    assert leases.successor_of("a", 11) is None
