"""Assignment of connections to workers, tested by events without worker processes."""

import pytest
from helpers import MS
from hypothesis import given
from hypothesis import strategies as st

from mapleline.cores.connection_dispatcher import ConnectionDispatcher, Handover


def dispatcher_of(workers=4, imbalance_ratio=1.25):
    dispatcher = ConnectionDispatcher(100 * MS, imbalance_ratio)
    for worker in range(workers):
        assert dispatcher.add_worker(worker, 0) == []
    return dispatcher


@pytest.mark.parametrize("connections", [8, 512])
def test_connections_are_spread_evenly(connections):
    dispatcher = dispatcher_of()
    for connection in range(connections):
        (offer,) = dispatcher.add_connection(connection, now_ns=connection)
        assert dispatcher.claim(offer.worker, connection)
    assert [slot.open_connections for slot in dispatcher.slots.values()] == [connections // 4] * 4


def test_offers_to_a_stalled_worker_go_to_others_and_its_late_claim_is_denied():
    dispatcher = dispatcher_of(2)
    offers = [dispatcher.add_connection(n, 0)[0] for n in range(4)]
    stalled = offers[0].worker
    for connection, offer in enumerate(offers):
        if offer.worker != stalled:
            assert dispatcher.claim(offer.worker, connection)
    assert dispatcher.revoke_expired_offers(99 * MS) == []
    reoffers = dispatcher.revoke_expired_offers(100 * MS)
    assert {offer.worker for offer in reoffers} == {1 - stalled}
    assert len(reoffers) == 2
    assert dispatcher.add_connection(9, 101 * MS)[0].worker == 1 - stalled
    assert not dispatcher.claim(stalled, reoffers[0].connection)
    assert dispatcher.claim(1 - stalled, reoffers[0].connection)
    # The late claim shows that the worker runs again.
    assert stalled in {dispatcher.add_connection(n, 102 * MS)[0].worker for n in range(10, 20)}


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "claim", "refuse", "exit", "join", "tick", "report"]),
        st.integers(0, 2),
        st.integers(0, 40),
    ),
    max_size=80,
)


@given(EVENTS)
def test_each_connection_is_waiting_offered_to_one_or_granted_once(events):
    """No order of claims, refusals, exits and reports loses a connection or grants one twice."""
    dispatcher = ConnectionDispatcher(100 * MS, 1.25)
    now_ns = 0
    accepted = 0
    granted = set()
    for kind, worker, number in events:
        now_ns += 30 * MS
        if kind == "accept":
            dispatcher.add_connection(accepted, now_ns)
            accepted += 1
        elif kind == "claim":
            if dispatcher.claim(worker, number):
                assert number not in granted
                granted.add(number)
        elif kind == "refuse":
            dispatcher.refuse(worker, number, now_ns)
        elif kind == "exit":
            dispatcher.remove_worker(worker, now_ns)
        elif kind == "join" and worker not in dispatcher.slots:
            dispatcher.add_worker(worker, now_ns)
        elif kind == "tick":
            dispatcher.revoke_expired_offers(now_ns)
        elif kind == "report":
            dispatcher.record_report(worker, 0, float(number), number % 5 == 0, now_ns)
        offered = [c for slot in dispatcher.slots.values() for c in slot.offered_at_ns]
        assert sorted([*offered, *dispatcher.waiting, *granted]) == list(range(accepted))


def test_a_busy_connection_stays_and_light_ones_are_moved_away_from_it():
    """One connection has ten times the load of the others: its worker keeps it and hands over the others."""
    dispatcher = dispatcher_of(2)
    loads = {0: [10.0, 1.0, 1.0, 1.0], 1: [1.0, 1.0, 1.0, 1.0]}
    for connection in range(8):
        (offer,) = dispatcher.add_connection(connection, 0)
        dispatcher.claim(offer.worker, connection)
    moves = 0
    for _ in range(20):
        for worker, open_loads in loads.items():
            released = dispatcher.slots[worker].granted - len(open_loads)
            dispatcher.record_report(worker, released, sum(open_loads), False, 0)
        handover = dispatcher.plan_handover()
        if handover is None:
            break
        assert isinstance(handover, Handover)
        assert handover.worker == 0
        candidates = [load for load in loads[0] if load <= 2 * handover.target_load]
        load = min(candidates, key=lambda load: abs(load - handover.target_load))
        loads[0].remove(load)
        (offer,) = dispatcher.add_handed_over(0, 100 + moves, load, 0)
        assert offer.worker == 1
        assert dispatcher.claim(1, 100 + moves)
        loads[1].append(load)
        moves += 1
    assert loads[0] == [10.0]
    assert moves == 3


def test_nothing_is_moved_if_the_load_is_even_or_of_a_single_connection():
    dispatcher = dispatcher_of(2)
    dispatcher.add_connection(0, 0)
    dispatcher.claim(1, 0) or dispatcher.claim(0, 0)
    for loads in (100.0, 0.0), (50.0, 45.0):
        for worker in (0, 1):
            dispatcher.record_report(worker, 0, loads[worker], False, 0)
        assert dispatcher.plan_handover() is None
