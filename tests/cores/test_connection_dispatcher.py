"""Which worker is offered which connection: replayed from events, without processes."""

import pytest
from helpers import MS
from hypothesis import given
from hypothesis import strategies as st

from mapleline.cores.connection_dispatcher import ConnectionDispatcher, Handover


def dispatcher_of(workers=4, imbalance_ratio=1.25):
    dispatcher = ConnectionDispatcher(100 * MS, imbalance_ratio)
    for n in range(workers):
        assert dispatcher.add_worker(n, 0) == []
    return dispatcher


@pytest.mark.parametrize("connections", [8, 512])
def test_connections_are_spread_evenly(connections):
    dispatcher = dispatcher_of()
    for n in range(connections):
        (offer,) = dispatcher.add_connection(n, n)
        assert dispatcher.claim(offer.worker, n)
    assert [slot.open_connections for slot in dispatcher.slots.values()] == [connections // 4] * 4


def test_offers_to_a_stalled_worker_go_to_others_and_its_late_claim_is_denied():
    dispatcher = dispatcher_of(2)
    offers = [dispatcher.add_connection(n, 0)[0] for n in range(4)]
    slow = offers[0].worker
    for n, offer in enumerate(offers):
        if offer.worker != slow:
            assert dispatcher.claim(offer.worker, n)
    assert dispatcher.revoke_expired_offers(99 * MS) == []
    again = dispatcher.revoke_expired_offers(100 * MS)
    assert {offer.worker for offer in again} == {1 - slow}
    assert len(again) == 2
    assert dispatcher.add_connection(9, 101 * MS)[0].worker == 1 - slow
    assert not dispatcher.claim(slow, again[0].connection)
    assert dispatcher.claim(1 - slow, again[0].connection)
    assert slow in {dispatcher.add_connection(n, 102 * MS)[0].worker for n in range(10, 20)}  # heard from again


steps = st.lists(
    st.tuples(
        st.sampled_from(["accept", "claim", "refuse", "die", "join", "tick", "report"]),
        st.integers(0, 2),
        st.integers(0, 40),
    ),
    max_size=80,
)


@given(steps)
def test_each_connection_is_waiting_offered_to_one_or_granted_once(events):
    """Whatever workers do, none is lost and none is given away twice."""
    dispatcher, now, made, granted = ConnectionDispatcher(100 * MS, 1.25), 0, 0, set()
    for kind, worker, number in events:
        now += 30 * MS
        if kind == "accept":
            dispatcher.add_connection(made, now)
            made += 1
        elif kind == "claim":
            if dispatcher.claim(worker, number):
                assert number not in granted
                granted.add(number)
        elif kind == "refuse":
            dispatcher.refuse(worker, number, now)
        elif kind == "die":
            dispatcher.remove_worker(worker, now)
        elif kind == "join" and worker not in dispatcher.slots:
            dispatcher.add_worker(worker, now)
        elif kind == "tick":
            dispatcher.revoke_expired_offers(now)
        elif kind == "report":
            dispatcher.record_report(worker, 0, float(number), number % 5 == 0, now)
        offered = [c for slot in dispatcher.slots.values() for c in slot.offered_at_ns]
        assert sorted([*offered, *dispatcher.waiting, *granted]) == list(range(made))


def test_a_busy_connection_stays_and_light_ones_are_moved_away_from_it():
    """One front sends ten times what the others do: its worker keeps it and gives the others away."""
    dispatcher = dispatcher_of(2)
    loads = {0: [10.0, 1.0, 1.0, 1.0], 1: [1.0, 1.0, 1.0, 1.0]}
    for n in range(8):
        (offer,) = dispatcher.add_connection(n, 0)
        dispatcher.claim(offer.worker, n)
    moves = 0
    for _ in range(20):
        for worker, open_loads in loads.items():
            released = dispatcher.slots[worker].granted - len(open_loads)
            dispatcher.record_report(worker, released, sum(open_loads), False, 0)
        move = dispatcher.plan_handover()
        if move is None:
            break
        assert isinstance(move, Handover)
        assert move.worker == 0
        fitting = [load for load in loads[0] if load <= 2 * move.wanted_load]
        load = min(fitting, key=lambda load: abs(load - move.wanted_load))
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
    for load in (100.0, 0.0), (50.0, 45.0):
        for worker in (0, 1):
            dispatcher.record_report(worker, 0, load[worker], False, 0)
        assert dispatcher.plan_handover() is None
