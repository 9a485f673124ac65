"""One member's view of the fleet: the states of members by their heartbeats, and the number alive."""

import pytest

from mapleline.membership import MembershipView


@pytest.mark.parametrize(
    ("heartbeats", "now", "states"),
    [
        ({1: (1, 10)}, 10.5, ["alive", "alive", "dead"]),
        ({1: (1, 9), 2: (1, 8)}, 10.5, ["alive", "alive", "suspect"]),
        ({1: (2, 3), 2: (1, 10)}, 10.5, ["alive", "dead", "alive"]),
    ],
)
def test_members_are_alive_suspect_or_dead_by_their_last_heartbeat(heartbeats, now, states):
    view = MembershipView(3, 0, 1.0)
    for member, (incarnation, period) in heartbeats.items():
        view.record_heartbeat(member, incarnation, period)
    view.record_heartbeat(1, 1, 10)  # a heartbeat of an older incarnation is ignored
    assert [view.state_of(member, now) for member in range(3)] == states


def test_the_number_of_members_alive_is_the_larger_count_of_the_last_two_periods():
    view = MembershipView(5, 2, 1.0)
    view.record_count(9, 4)
    view.record_count(10, 2)
    assert (view.alive_count(10.5), view.alive_count(11.5), view.alive_count(13.0), view.predecessor()) == (4, 2, 1, 1)
