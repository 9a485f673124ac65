"""Leases of members: expiry on clocks that differ, and who succeeds whom."""

from mapleline.membership import Lease, LeaseTable


def test_the_taker_is_the_next_on_the_ring_whose_lease_holds():
    leases = LeaseTable(0.5)
    leases.replace_all([Lease("a", 1, 10), Lease("b", 2, 9), Lease("c", 1, 10), Lease("d", 1, 9.8)])
    assert leases.expired(9.5) == [] and [lease.name for lease in leases.expired(9.6)] == ["b"]
    assert [leases.successor_of(name, 9.9) for name in "abcd"] == ["c", "c", "a", "a"]
    assert leases.successor_of("a", 11) is None
