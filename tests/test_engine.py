"""The engine without sockets: one answer whatever the module, a driver or the clock does."""

import pytest
from helpers import MS, S, settings

from mapleline import engine as e
from mapleline.policy import interface as i

R = i.Result


class Module:
    """Plays the module: does what `then` says for each kind of event, and keeps what it was told."""

    def __init__(self, **changes):
        self.s, self.told, self.then, self.acts = settings(**changes), [], {}, []

    def handle(self, now, event):
        self.told.append(event)
        self.acts = []
        for action in self.then.get(type(event), lambda ev: [])(event):
            if isinstance(action, Exception):
                raise action
            self.acts.append(action)
        return self.acts

    def kinds(self):
        return [type(event) for event in self.told]


class Rig:
    """An engine with drivers that only take notes."""

    def __init__(self, **changes):
        self.now, self.notes, self.attempts, self.calls, self.alarm_at = 1000 * S, [], [], [], None
        self.module = Module(**changes)
        self.engine = e.Engine(self.module, lambda: self.now)
        self.engine.upstreams = self.engine.counter = self.engine.alarm = self
        self.module.then[i.Arrival] = lambda ev: [i.Send(ev.request, 1)]

    def send(self, attempt, wait_ns):
        self.attempts.append(attempt)

    def cancel(self, attempt):
        self.notes.append("cancel")

    def add(self, call):
        self.calls.append(call)

    def gave_up(self, call):
        self.notes.append("gave up")

    def set(self, at_ns):
        self.alarm_at = at_ns

    def served(self, answer):
        self.notes.append(("served", answer))

    def begun(self, answer, source):
        self.notes.append(("begun", answer, source))

    def refused(self, retry_in_ns, over_quota):
        self.notes.append(("refused", retry_in_ns, over_quota))

    def failed(self, overdue):
        self.notes.append(("failed", overdue))

    def arrive(self, cls=0, coming=False):
        return self.engine.arrive(i.Arrival(0, cls, 0, 5, 2 * S, coming=coming), "wish", self)

    def at(self, after):
        self.now += after
        self.engine.wake()


def test_the_first_ok_answers_and_ends_the_request():
    rig = Rig()
    rig.arrive()
    rig.engine.attempt_ended(rig.attempts[0], R.OK, "body")
    rig.engine.attempt_ended(rig.attempts[0], R.RESET)  # a driver that reports twice is not believed
    assert rig.notes == [("served", "body")]
    assert rig.module.kinds() == [i.Arrival, i.Outcome] and rig.module.told[1].final
    rig.at(3 * S)
    assert rig.notes == [("served", "body")] and not rig.engine.requests


def test_a_module_that_forgets_a_request_is_answered_for_at_the_deadline():
    rig = Rig()
    rig.arrive()
    rig.at(2 * S - 1)
    assert rig.notes == []
    rig.at(1)
    assert rig.notes == [("failed", True), "cancel"]
    assert rig.module.kinds() == [i.Arrival, i.Left, i.Outcome]


@pytest.mark.parametrize("sent", [False, True], ids=["before it sent", "after it sent"])
def test_a_module_that_raises_still_gives_one_answer(sent):
    """What it decided before it raised stands; with nothing out the request fails at once."""
    rig = Rig()
    rig.module.then[i.Arrival] = lambda ev: [i.Send(ev.request, 1)] * sent + [ZeroDivisionError()]
    rig.arrive()
    assert rig.notes == ([] if sent else [("failed", False)])
    rig.at(3 * S)
    assert [n for n in rig.notes if n != "cancel"] == [("failed", sent)]


def test_a_timer_whose_handling_raised_comes_again():
    rig = Rig()
    rig.module.then[i.Arrival] = lambda ev: [i.SetTimer(MS, 7)]
    rig.module.then[i.Timer] = lambda ev: [ValueError()]
    rig.arrive()
    rig.at(MS)
    rig.module.then[i.Timer] = lambda ev: []
    rig.at(e.RAISED_AGAIN_NS)
    assert rig.module.kinds().count(i.Timer) == 2


def test_an_action_that_fails_does_not_keep_back_the_next():
    rig = Rig()
    rig.send = None
    rig.module.then[i.Arrival] = lambda ev: [i.Send(ev.request, 1), i.Fail(ev.request)]
    rig.arrive()
    assert ("failed", False) in rig.notes


def test_an_answer_that_cannot_be_given_is_still_told_to_the_module():
    """Else its count of what is out would keep the attempt for ever."""
    rig = Rig()
    rig.served = None
    rig.arrive()
    rig.engine.attempt_ended(rig.attempts[0], R.OK, "body")
    assert rig.module.kinds() == [i.Arrival, i.Outcome] and not rig.engine.requests


def test_a_driver_that_fails_in_a_turn_does_not_stop_the_clock():
    rig = Rig()
    rig.module.then[i.Arrival] = lambda ev: [i.Send(ev.request, 1, 30 * MS), i.SetTimer(S, 8)]
    rig.arrive()
    rig.cancel = None
    with pytest.raises(TypeError):
        rig.at(30 * MS)
    assert rig.alarm_at == 1000 * S + S


@pytest.mark.skipif(not __debug__, reason="release builds count it")
def test_a_refusal_of_what_may_have_run_is_a_broken_invariant():
    rig = Rig()
    rig.module.then[i.Outcome] = lambda ev: [i.Refuse(ev.request)]
    rig.arrive(cls=1)  # unsafe
    rig.engine.attempt_ended(rig.attempts[0], R.ERROR)
    assert not any(n[0] == "refused" for n in rig.notes)
    rig.at(3 * S)
    assert rig.notes == [("failed", True)]


def test_attempts_past_the_cap_or_the_deadline_are_moot():
    rig = Rig(max_attempts=1)
    opened = rig.arrive()
    rig.module.then[i.Outcome] = lambda ev: [i.Send(ev.request, 2)] if ev.result != R.MOOT else []
    rig.engine.attempt_ended(rig.attempts[0], R.NO_CONNECTION)
    assert len(rig.attempts) == 1 and rig.module.told[-1].result == R.MOOT
    assert rig.engine.requests == {opened.id: opened}  # still owed its answer


def test_an_attempts_own_time_ends_it():
    rig = Rig()
    rig.module.then[i.Arrival] = lambda ev: [i.Send(ev.request, 1, 50 * MS)]
    rig.arrive()
    rig.at(50 * MS)
    assert rig.notes == ["cancel"] and rig.module.told[-1].result == R.TIMEOUT


@pytest.mark.parametrize(("written", "result"), [(False, R.NO_CONNECTION), (True, R.TIMEOUT)])
def test_a_call_to_the_counter_runs_out_of_time_once(written, result):
    """Only a call that was never written is told as never added; the late answer is dropped."""
    rig = Rig(count_wait_ns=30 * MS)
    rig.module.then[i.Arrival] = lambda ev: [i.Count(9, 1.0, S)]
    rig.arrive()
    (call,) = rig.calls
    call.written = written
    rig.at(30 * MS)
    rig.engine.counted(call, R.OK, 5.0)
    assert [ev.result for ev in rig.module.told if type(ev) is i.Counted] == [result]
    assert rig.notes == ["gave up"]


def test_what_is_over_wakes_nobody():
    """Half of all wake-ups on the calm day were for timers of calls and requests long answered."""
    rig = Rig(count_wait_ns=30 * MS)
    rig.module.then[i.Arrival] = lambda ev: [
        i.SetTimer(S, 8, ev.request),
        i.Count(9, 1.0, S),
        i.SetTimer(40 * S, 2),
        i.Send(ev.request, 1),
    ]
    rig.arrive()
    rig.engine.counted(rig.calls[0], R.OK, 1.0)
    rig.engine.attempt_ended(rig.attempts[0], R.OK)
    rig.at(30 * MS)  # set while the call was out
    assert rig.alarm_at == 1000 * S + 40 * S and i.Timer not in rig.module.kinds()


def test_the_module_hears_of_one_names_calls_in_the_order_it_made_them():
    """After a move of the counter a call at the new address can be answered before one left at the old."""
    rig = Rig()
    rig.module.then[i.Arrival] = lambda ev: [i.Count(ev.request % 2, 1.0, S)]
    for _ in range(4):
        rig.arrive()
    one, other, two, _ = rig.calls
    rig.engine.counted(two, R.OK, 9.0)
    rig.engine.counted(other, R.OK, 5.0)
    rig.now += MS
    rig.engine.counted(one, R.TIMEOUT)
    told = [(ev.name, ev.result, ev.total, ev.took_ns) for ev in rig.module.told if type(ev) is i.Counted]
    assert told == [(0, R.OK, 5.0, 0), (1, R.TIMEOUT, 0.0, MS), (1, R.OK, 9.0, 0)]
    assert len(rig.engine._calls) == 1  # the one still out; names that are done with leave nothing behind


def test_an_answer_that_has_begun_is_final_and_no_deadline_cuts_it_off():
    rig = Rig()
    rig.arrive()
    (attempt,) = rig.attempts
    rig.now += 100 * MS
    assert rig.engine.attempt_begun(attempt, "head", "source")
    assert not rig.engine.requests and rig.module.kinds() == [i.Arrival, i.Begun]
    rig.at(9 * S)
    assert rig.notes == [("begun", "head", "source")]
    rig.engine.attempt_ended(attempt, R.OK)
    (end,) = [event for event in rig.module.told if type(event) is i.Outcome]
    assert end.final and end.took_ns == 100 * MS  # the server is judged by its first byte
    assert rig.notes == [("begun", "head", "source")]
    assert not rig.engine.attempt_begun(attempt, "head", "source")


def test_a_client_that_goes_amid_its_answer_calls_the_attempt_off():
    rig = Rig()
    opened = rig.arrive()
    rig.engine.attempt_begun(rig.attempts[0], "head", "source")
    rig.engine.left(opened)
    assert rig.notes[1:] == ["cancel"] and rig.module.told[-1].result == R.CANCELLED
    rig.engine.left(opened)
    assert rig.notes[1:] == ["cancel"]


def test_an_answer_nobody_waits_for_does_not_begin():
    rig = Rig()
    opened = rig.arrive()
    rig.engine.left(opened)
    assert not rig.engine.attempt_begun(rig.attempts[0], "head", "source") and rig.notes == []


def test_a_request_that_is_coming_has_its_time_from_its_last_byte():
    rig = Rig()
    opened = rig.arrive(coming=True)
    rig.at(50 * S)
    assert rig.notes == []
    rig.engine.whole(opened, 2 * S)
    assert rig.module.kinds() == [i.Arrival, i.Whole]
    rig.at(2 * S - 1)
    assert rig.notes == []
    rig.at(1)
    assert rig.notes == [("failed", True), "cancel"]


def test_what_has_gone_out_and_is_held_no_more_is_not_sent_again():
    rig = Rig()
    opened = rig.arrive(coming=True)
    rig.module.then[i.Outcome] = lambda ev: [] if ev.result == R.MOOT else [i.Send(ev.request, 2)]
    opened.spent = True
    rig.engine.attempt_ended(rig.attempts[0], R.NO_CONNECTION)
    assert len(rig.attempts) == 1 and rig.module.told[-1].result == R.MOOT
