"""The engine without sockets: each request gets one answer, even if the module or a driver raises or time runs out."""

import pytest
from engine_rig import REQUEST_TTL_NS, START_NS, EngineRig
from helpers import MS, S

from mapleline.engine.engine import TIMER_RETRY_NS
from mapleline.policy.interface import (
    Arrival,
    Begun,
    Count,
    Counted,
    Fail,
    Left,
    Outcome,
    Refuse,
    Result,
    Send,
    SetTimer,
    Timer,
    Whole,
)

UNSAFE = 1  # the number of the class whose requests must not be executed twice


def test_the_first_success_answers_and_ends_the_request():
    rig = EngineRig()
    rig.accept()
    rig.engine.handle_attempt_end(rig.attempts[0], Result.OK, "body")
    rig.engine.handle_attempt_end(rig.attempts[0], Result.RESET)  # a second report of the same attempt is ignored
    assert rig.calls == [("answer", "body")]
    assert rig.module.event_types() == [Arrival, Outcome]
    assert rig.module.events[1].is_final
    rig.advance(3 * S)
    assert rig.calls == [("answer", "body")]
    assert not rig.engine.requests


def test_a_request_that_the_module_never_answers_fails_at_its_deadline():
    rig = EngineRig()
    rig.accept()
    rig.advance(REQUEST_TTL_NS - 1)
    assert rig.calls == []
    rig.advance(1)
    assert rig.calls == [("fail", True), "cancel"]
    assert rig.module.event_types() == [Arrival, Left, Outcome]


@pytest.mark.parametrize("is_sent", [False, True], ids=["before it sent", "after it sent"])
def test_a_module_that_raises_still_gives_one_answer(is_sent):
    """The actions up to the exception are carried out; with no attempt in flight the request fails at once."""
    rig = EngineRig()
    rig.module.reactions[Arrival] = lambda event: [Send(event.request, 1)] * is_sent + [ZeroDivisionError()]
    rig.accept()
    assert rig.calls == ([] if is_sent else [("fail", False)])
    rig.advance(3 * S)
    assert [call for call in rig.calls if call != "cancel"] == [("fail", is_sent)]


def test_a_timer_whose_handling_raised_goes_off_again():
    rig = EngineRig()
    rig.module.reactions[Arrival] = lambda event: [SetTimer(MS, 7)]
    rig.module.reactions[Timer] = lambda event: [ValueError()]
    rig.accept()
    rig.advance(MS)
    rig.module.reactions[Timer] = lambda event: []
    rig.advance(TIMER_RETRY_NS)
    assert rig.module.event_types().count(Timer) == 2


def test_an_action_that_fails_does_not_prevent_the_next():
    rig = EngineRig()
    rig.send = None
    rig.module.reactions[Arrival] = lambda event: [Send(event.request, 1), Fail(event.request)]
    rig.accept()
    assert ("fail", False) in rig.calls


def test_the_module_is_notified_of_an_answer_that_could_not_be_delivered():
    """Without the event the module would count the attempt as in flight for ever."""
    rig = EngineRig()
    rig.send_answer = None
    rig.accept()
    rig.engine.handle_attempt_end(rig.attempts[0], Result.OK, "body")
    assert rig.module.event_types() == [Arrival, Outcome]
    assert not rig.engine.requests


def test_a_driver_that_raises_on_a_timer_does_not_stop_the_alarm():
    rig = EngineRig()
    rig.module.reactions[Arrival] = lambda event: [Send(event.request, 1, 30 * MS), SetTimer(S, 8)]
    rig.accept()
    rig.cancel = None
    with pytest.raises(TypeError):
        rig.advance(30 * MS)
    assert rig.alarm_at_ns == START_NS + S


@pytest.mark.skipif(not __debug__, reason="release builds count it")
def test_rejecting_a_request_that_may_have_run_breaks_an_invariant():
    rig = EngineRig()
    rig.module.reactions[Outcome] = lambda event: [Refuse(event.request)]
    rig.accept(class_id=UNSAFE)
    rig.engine.handle_attempt_end(rig.attempts[0], Result.ERROR)
    assert not any(call[0] == "reject" for call in rig.calls)
    rig.advance(3 * S)
    assert rig.calls == [("fail", True)]


def test_attempts_beyond_the_limit_are_moot():
    rig = EngineRig(max_attempts=1)
    request = rig.accept()
    rig.module.reactions[Outcome] = lambda event: [Send(event.request, 2)] if event.result != Result.MOOT else []
    rig.engine.handle_attempt_end(rig.attempts[0], Result.NO_CONNECTION)
    assert len(rig.attempts) == 1
    assert rig.module.events[-1].result == Result.MOOT
    assert rig.engine.requests == {request.id: request}  # still without a final answer


def test_an_attempt_ends_at_its_own_timeout():
    rig = EngineRig()
    rig.module.reactions[Arrival] = lambda event: [Send(event.request, 1, 50 * MS)]
    rig.accept()
    rig.advance(50 * MS)
    assert rig.calls == ["cancel"]
    assert rig.module.events[-1].result == Result.TIMEOUT


@pytest.mark.parametrize(("is_written", "result"), [(False, Result.NO_CONNECTION), (True, Result.TIMEOUT)])
def test_a_counter_call_times_out_once(is_written, result):
    """Only a call that was never written is reported as not executed; a late answer is dropped."""
    rig = EngineRig(counter_timeout_ns=30 * MS)
    rig.module.reactions[Arrival] = lambda event: [Count(9, 1.0, S)]
    rig.accept()
    (call,) = rig.counter_calls
    call.is_written = is_written
    rig.advance(30 * MS)
    rig.engine.handle_counter_result(call, Result.OK, 5.0)
    assert [event.result for event in rig.module.events_of(Counted)] == [result]
    assert rig.calls == ["expire"]


def test_finished_requests_and_calls_set_no_alarm():
    """Under light load half of all wake-ups were caused by timers of requests and calls that had already ended."""
    rig = EngineRig(counter_timeout_ns=30 * MS)
    rig.module.reactions[Arrival] = lambda event: [
        SetTimer(S, 8, event.request),
        Count(9, 1.0, S),
        SetTimer(40 * S, 2),
        Send(event.request, 1),
    ]
    rig.accept()
    rig.engine.handle_counter_result(rig.counter_calls[0], Result.OK, 1.0)
    rig.engine.handle_attempt_end(rig.attempts[0], Result.OK)
    rig.advance(30 * MS)  # the alarm was set while the call was in flight
    assert rig.alarm_at_ns == START_NS + 40 * S
    assert Timer not in rig.module.event_types()


def test_results_of_one_counter_reach_the_module_in_the_order_of_the_calls():
    """After the counter moves, its new address can answer before the old one."""
    rig = EngineRig()
    rig.module.reactions[Arrival] = lambda event: [Count(event.request % 2, 1.0, S)]
    for _ in range(4):
        rig.accept()
    first, other, second, _ = rig.counter_calls
    rig.engine.handle_counter_result(second, Result.OK, 9.0)
    rig.engine.handle_counter_result(other, Result.OK, 5.0)
    rig.now_ns += MS
    rig.engine.handle_counter_result(first, Result.TIMEOUT)
    results = [(event.name, event.result, event.total, event.duration_ns) for event in rig.module.events_of(Counted)]
    assert results == [(0, Result.OK, 5.0, 0), (1, Result.TIMEOUT, 0.0, MS), (1, Result.OK, 9.0, 0)]
    assert len(rig.engine._counter_calls) == 1  # entries of finished calls are removed


def test_a_streamed_answer_is_final_and_has_no_deadline():
    rig = EngineRig()
    rig.accept()
    (attempt,) = rig.attempts
    rig.now_ns += 100 * MS
    assert rig.engine.handle_answer_start(attempt, "head", "source")
    assert not rig.engine.requests
    assert rig.module.event_types() == [Arrival, Begun]
    rig.advance(9 * S)
    assert rig.calls == [("begin answer", "head", "source")]
    rig.engine.handle_attempt_end(attempt, Result.OK)
    (outcome,) = rig.module.events_of(Outcome)
    assert outcome.is_final
    assert outcome.duration_ns == 100 * MS  # the time to the first byte
    assert rig.calls == [("begin answer", "head", "source")]
    assert not rig.engine.handle_answer_start(attempt, "head", "source")


def test_a_disconnect_during_a_streamed_answer_cancels_the_attempt_once():
    rig = EngineRig()
    request = rig.accept()
    rig.engine.handle_answer_start(rig.attempts[0], "head", "source")
    rig.engine.handle_disconnect(request)
    assert rig.calls[1:] == ["cancel"]
    assert rig.module.events[-1].result == Result.CANCELLED
    rig.engine.handle_disconnect(request)
    assert rig.calls[1:] == ["cancel"]


def test_no_answer_starts_after_a_disconnect():
    rig = EngineRig()
    request = rig.accept()
    rig.engine.handle_disconnect(request)
    assert not rig.engine.handle_answer_start(rig.attempts[0], "head", "source")
    assert rig.calls == []


def test_the_time_of_a_request_counts_from_the_last_byte_of_its_body():
    rig = EngineRig()
    request = rig.accept(is_body_pending=True)
    rig.advance(50 * S)
    assert rig.calls == []
    rig.engine.handle_body_end(request, REQUEST_TTL_NS)
    assert rig.module.event_types() == [Arrival, Whole]
    rig.advance(REQUEST_TTL_NS - 1)
    assert rig.calls == []
    rig.advance(1)
    assert rig.calls == [("fail", True), "cancel"]


def test_a_request_whose_body_is_released_is_not_sent_again():
    rig = EngineRig()
    request = rig.accept(is_body_pending=True)
    rig.module.reactions[Outcome] = lambda event: [] if event.result == Result.MOOT else [Send(event.request, 2)]
    request.is_body_released = True
    rig.engine.handle_attempt_end(rig.attempts[0], Result.NO_CONNECTION)
    assert len(rig.attempts) == 1
    assert rig.module.events[-1].result == Result.MOOT
