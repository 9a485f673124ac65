"""Which connections may stay, and when the ingress is ready, as events come in any order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mapleline.lifecycle import SETTLED_S, Lifecycle, Phase

DRAIN, RESUME, LEAVE, LISTED = "drain", "resume", "leave", "listed"


def play(*events):
    """`(what, at)` in their order; returns the machine."""
    life = Lifecycle()
    for what, at in events:
        act = getattr(life, what)
        act(at) if what in (DRAIN, LEAVE) else act()
    return life


@pytest.mark.parametrize(
    ("events", "phase"),
    [
        ([], Phase.STARTING),
        ([(LISTED, 0)], Phase.READY),
        ([(DRAIN, 0)], Phase.DRAINING),
        ([(DRAIN, 0), (LISTED, 1)], Phase.DRAINING),
        ([(DRAIN, 0), (RESUME, 1)], Phase.STARTING),
        ([(LISTED, 0), (DRAIN, 1), (DRAIN, 2), (RESUME, 3)], Phase.READY),
        ([(LISTED, 0), (RESUME, 1)], Phase.READY),
        ([(LISTED, 0), (DRAIN, 1), (LEAVE, 2), (RESUME, 3)], Phase.LEAVING),
        ([(LISTED, 0), (LEAVE, 1), (DRAIN, 2)], Phase.LEAVING),
    ],
)
def test_phases(events, phase):
    life = play(*events)
    assert life.phase is phase and life.ready is (phase is Phase.READY)


def test_a_drain_asked_for_again_goes_on_with_the_first():
    life = play((LISTED, 0), (DRAIN, 10.0), (DRAIN, 10.0 + SETTLED_S / 2))
    assert not life.sheds(10.0 + SETTLED_S * 0.99) and life.sheds(10.0 + SETTLED_S)


def test_drain_resume_drain_counts_from_the_last():
    life = play((LISTED, 0), (DRAIN, 10.0), (RESUME, 10.05), (DRAIN, 10.1))
    assert life.last and not life.sheds(10.0 + SETTLED_S) and life.sheds(10.1 + SETTLED_S)


def test_orders_are_turned_down_while_leaving():
    life = play((LISTED, 0), (LEAVE, 1))
    assert not life.drain(2) and not life.resume() and not life.leave(2)
    assert not life.last and not life.sheds(99)  # clients still come, until the listener closes
    life.close()
    assert life.last and life.sheds(2)


@given(st.lists(st.tuples(st.sampled_from([DRAIN, RESUME, LEAVE, LISTED]), st.floats(0, 5)), max_size=12))
def test_ready_never_while_clients_are_sent_away(steps):
    at, events = 0.0, []
    for what, pause in steps:
        at += pause
        events.append((what, at))
        life = play(*events)
        assert not (life.ready and (life.last or life.sheds(at + 9)))
        assert life.ready == (life.phase is Phase.READY)
        assert not life.sheds(at + 9) or life.last
