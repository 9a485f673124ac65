"""The lifecycle of a process: its phase and what that means for connections, with orders in any sequence."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mapleline.lifecycle import DRAIN_SETTLE_S, Lifecycle, Phase

DRAIN = "drain"
RESUME = "resume"
SHUTDOWN = "begin_shutdown"
SERVERS_KNOWN = "mark_servers_known"
TIMED_METHODS = (DRAIN, SHUTDOWN)


def lifecycle_after(*events):
    """Return a lifecycle to which the events, pairs of a method's name and a time, have happened in order."""
    lifecycle = Lifecycle()
    for method_name, at_s in events:
        method = getattr(lifecycle, method_name)
        if method_name in TIMED_METHODS:
            method(at_s)
        else:
            method()
    return lifecycle


@pytest.mark.parametrize(
    ("events", "phase"),
    [
        ([], Phase.STARTING),
        ([(SERVERS_KNOWN, 0)], Phase.READY),
        ([(DRAIN, 0)], Phase.DRAINING),
        ([(DRAIN, 0), (SERVERS_KNOWN, 1)], Phase.DRAINING),
        ([(DRAIN, 0), (RESUME, 1)], Phase.STARTING),
        ([(SERVERS_KNOWN, 0), (DRAIN, 1), (DRAIN, 2), (RESUME, 3)], Phase.READY),
        ([(SERVERS_KNOWN, 0), (RESUME, 1)], Phase.READY),
        ([(SERVERS_KNOWN, 0), (DRAIN, 1), (SHUTDOWN, 2), (RESUME, 3)], Phase.SHUTTING_DOWN),
        ([(SERVERS_KNOWN, 0), (SHUTDOWN, 1), (DRAIN, 2)], Phase.SHUTTING_DOWN),
    ],
)
def test_phase_follows_the_events(events, phase):
    lifecycle = lifecycle_after(*events)
    assert lifecycle.phase is phase
    assert lifecycle.is_ready is (phase is Phase.READY)


def test_a_repeated_drain_continues_the_first():
    lifecycle = lifecycle_after((SERVERS_KNOWN, 0), (DRAIN, 10.0), (DRAIN, 10.0 + DRAIN_SETTLE_S / 2))
    assert not lifecycle.closes_idle_connections(10.0 + DRAIN_SETTLE_S * 0.99)
    assert lifecycle.closes_idle_connections(10.0 + DRAIN_SETTLE_S)


def test_a_drain_after_a_resume_counts_from_itself():
    lifecycle = lifecycle_after((SERVERS_KNOWN, 0), (DRAIN, 10.0), (RESUME, 10.05), (DRAIN, 10.1))
    assert lifecycle.closes_after_answer
    assert not lifecycle.closes_idle_connections(10.0 + DRAIN_SETTLE_S)
    assert lifecycle.closes_idle_connections(10.1 + DRAIN_SETTLE_S)


def test_orders_are_rejected_during_a_shutdown():
    lifecycle = lifecycle_after((SERVERS_KNOWN, 0), (SHUTDOWN, 1))
    assert not lifecycle.drain(2)
    assert not lifecycle.resume()
    assert not lifecycle.begin_shutdown(2)
    # Clients still connect until the listener closes.
    assert not lifecycle.closes_after_answer
    assert not lifecycle.closes_idle_connections(99)
    lifecycle.mark_listener_closed()
    assert lifecycle.closes_after_answer
    assert lifecycle.closes_idle_connections(2)


ORDERS = st.sampled_from([DRAIN, RESUME, SHUTDOWN, SERVERS_KNOWN])


@given(st.lists(st.tuples(ORDERS, st.floats(0, 5)), max_size=12))
def test_a_ready_process_closes_no_connections(steps):
    at_s = 0.0
    events = []
    for method_name, pause_s in steps:
        at_s += pause_s
        events.append((method_name, at_s))
        lifecycle = lifecycle_after(*events)
        closes_idle = lifecycle.closes_idle_connections(at_s + 9)
        assert not (lifecycle.is_ready and (lifecycle.closes_after_answer or closes_idle))
        assert lifecycle.is_ready == (lifecycle.phase is Phase.READY)
        assert not closes_idle or lifecycle.closes_after_answer
