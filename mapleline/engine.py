"""Drives one Brain: events in, actions out.

The engine owns the open requests, their attempts and the timers.  It knows no socket, no HTTP and no reactor:
whoever puts a protocol before it passes an `Arrival` with something to send and something to answer, and
drivers for the upstreams, the counter and the clock do what it asks.
"""

from __future__ import annotations

import heapq
import traceback
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from .policy import interface as i
from .policy.brain import Brain
from .telemetry import COUNTS, invariant, log

MAX_ID = 1 << 32
RAISED_AGAIN_NS = 1_000_000_000  # a timer whose handling raised is told once more after this
COMING_NS = 3_600_000_000_000  # a body that is coming is bounded by its driver, and by this
COUNT_WAIT_NS = 1_000_000_000  # where the settings name none
MOST_REPORTS = 20  # tracebacks written to the log; the rest is only counted

#: Counter keys, made once: no string is built for a request.
ENDED = {result: f"attempt.{result.name.lower()}" for result in i.Result}
COUNTED = {result: f"counter.{result.name.lower()}" for result in i.Result}


class Answerer(Protocol):
    """Gives a client its one final answer."""

    def served(self, answer: Any) -> None: ...
    def begun(self, answer: Any, source: Any) -> None: ...
    def refused(self, retry_in_ns: int, over_quota: bool) -> None: ...
    def failed(self, overdue: bool) -> None: ...
    def dropped(self) -> None: ...


class Upstreams(Protocol):
    """Carries attempts; each ends in one call of `Engine.attempt_ended`, unless it was cancelled."""

    def send(self, attempt: Attempt, wait_ns: int) -> None: ...
    def cancel(self, attempt: Attempt) -> None: ...
    def close_idle(self, server: int) -> None: ...


class Counter(Protocol):
    """Adds to named numbers; each call ends in one call of `Engine.counted`, or its time runs out here."""

    def add(self, call: Call) -> None: ...
    def gave_up(self, call: Call) -> None: ...


class Alarm(Protocol):
    """Calls `Engine.wake` once the clock has reached a time; a later call replaces the earlier one."""

    def set(self, at_ns: int) -> None: ...


@dataclass(slots=True, eq=False)
class Call:
    """One call to the counter."""

    name: int
    amount: float
    ttl_ns: int
    made_ns: int
    written: bool = False  #: set by the driver; before that the call can have added nothing
    end: i.Counted | None = None  #: how it ended

    @property
    def over(self) -> bool:
        return self.end is not None


@dataclass(slots=True, eq=False)
class Attempt:
    """One copy of a request on its way to one server."""

    open: Open
    number: int
    server: int
    sent_ns: int
    wish: Any
    over: bool = False
    carrier: Any = None  #: the driver's own
    first_ns: int = 0  #: how long to the first byte of an answer that was begun


@dataclass(slots=True, eq=False)
class Open:
    """A request that is owed its final answer."""

    id: int
    cls: i.RequestClass
    wish: Any
    answerer: Answerer
    deadline_ns: int
    sent: int = 0
    may_have_run: bool = False
    answered: bool = False
    begun: bool = False  #: its answer is on its way, and no deadline cuts it off
    spent: bool = False  #: set by the driver: what has gone out is not held any more and cannot go again
    live: dict[int, Attempt] = field(default_factory=dict)

    @property
    def over(self) -> bool:
        return self.answered and not self.live


@dataclass(slots=True, eq=False)
class ModuleTimer:
    """A Timer event that the module has asked for."""

    token: int
    open: Open | None

    @property
    def over(self) -> bool:
        return self.open is not None and self.open.answered


class Engine:
    """Events go in by its methods, one at a time; what a driver reports meanwhile waits its turn."""

    def __init__(self, brain: Brain, clock: Callable[[], int]) -> None:
        self._brain, self._clock = brain, clock
        self._start = brain.s
        self.requests: dict[int, Open] = {}
        self._lingering: dict[int, Open] = {}  # answered, with attempts that are still out
        self._calls: dict[int, deque[Call]] = {}  # to the counter, by name; see `counted`
        self._next = 0
        # What has ended stays in the heap until it comes to its top: no turn of the reactor is spent on it.
        self._timers: list[tuple[int, int, ModuleTimer | Open | Attempt | Call]] = []
        self._timer_number = 0
        self._alarm_at = 0
        self._queue: deque[i.Event] = deque()
        self._deciding = False
        self._reports = 0
        self.record: Any = None  #: keeps work in hand on record, where it is kept (net/handoff.py)
        self.upstreams: Upstreams
        self.counter: Counter
        self.alarm: Alarm
        self._do: dict[type, Callable[[Any], None]] = {
            i.Send: self._send,
            i.Cancel: self._cancel,
            i.Refuse: self._refuse,
            i.Fail: self._fail,
            i.SetTimer: self._set_timer,
            i.Count: self._count,
            i.Log: self._log,
            i.Close: lambda a: self.upstreams.close_idle(a.server),
            i.Watch: lambda a: None,
            i.Fetch: lambda a: None,  # discovery is always watched
            i.Probe: self._unsupported,
            i.Tell: self._unsupported,
        }

    def now(self) -> int:
        """The module's clock, nanoseconds."""
        return self._clock()

    @property
    def classes(self) -> list[i.RequestClass]:
        return self._start.classes

    def share(self, fleet: Any, zones: Any = None, tiers: Any = ()) -> None:
        """The fleet's parts that the module asks from now on, and who watches its zones."""
        self._brain.fleet, self._brain.zones, self._brain.tiers = fleet, zones, list(tiers)

    def zone_turned(self, zone: int, left: bool) -> None:
        """The fleet has left a zone, or is back in it."""
        self._tell(i.ZoneTurn(zone, left))

    # --- what drivers report

    def arrive(self, arrival: i.Arrival, wish: Any, answerer: Answerer) -> Open:
        """Take a request in; from here on exactly one method of `answerer` is called, and once."""
        self._next = (self._next + 1) % MAX_ID
        arrival.request = self._next
        deadline = self._clock() + (COMING_NS if arrival.coming else arrival.ttl_ns)
        cls = self._start.classes[arrival.cls]
        opened = self.requests[self._next] = Open(self._next, cls, wish, answerer, deadline)
        COUNTS["request.accepted"] += 1
        self._push(deadline, opened)
        if self.record is not None:
            self.record.accepted(opened, arrival)
        self._tell(arrival)
        return opened

    def whole(self, opened: Open, ttl_ns: int) -> None:
        """The last byte of a request that was coming has come."""
        if not opened.answered:
            opened.deadline_ns = self._clock() + ttl_ns
            self._push(opened.deadline_ns, opened)
            self._tell(i.Whole(opened.id))

    def left(self, opened: Open) -> None:
        """The client is gone."""
        if opened.begun:
            COUNTS["request.cut_by_client"] += 1
            for attempt in list(opened.live.values()):
                self.upstreams.cancel(attempt)
                self.attempt_ended(attempt, i.Result.CANCELLED)
        elif not opened.answered:
            opened.answered = True
            self._close(opened)
            COUNTS["request.left"] += 1
            if self.record is not None:
                self.record.left(opened)
            self._tell(i.Left(opened.id))

    def attempt_begun(self, attempt: Attempt, answer: Any, source: Any) -> bool:
        """The answer has begun to come and is the final one; False if there is nobody to give it to.

        The answerer takes what follows from `source`; `attempt_ended` follows with the last byte.
        """
        opened = attempt.open
        if attempt.over or opened.answered:
            return False
        opened.begun = True
        attempt.first_ns = self._clock() - attempt.sent_ns
        COUNTS["request.begun"] += 1
        self._answer(opened, "request.served", "begun", answer, source)
        self._tell(i.Begun(opened.id, attempt.number, attempt.server))
        return True

    def attempt_ended(self, attempt: Attempt, result: i.Result, answer: Any = None) -> None:
        if attempt.over:
            return
        attempt.over = True
        opened = attempt.open
        opened.live.pop(attempt.number, None)
        if not opened.live:
            self._lingering.pop(opened.id, None)
        COUNTS[ENDED[result]] += 1
        if result not in i.NEVER_RAN:
            opened.may_have_run = True
        elif self.record is not None:
            self.record.never_ran(attempt)
        if result == i.Result.OK and not opened.answered:
            self._answer(opened, "request.served", "served", answer)
        took = attempt.first_ns or self._clock() - attempt.sent_ns
        self._tell(i.Outcome(opened.id, attempt.server, attempt.number, took, result, opened.answered))

    def counted(self, call: Call, result: i.Result, total: float = 0.0) -> None:
        if call.over:
            COUNTS["counter.answered_late"] += 1  # the module was told of a time-out: dropped, in its turn
            return
        COUNTS[COUNTED[result]] += 1
        call.end = i.Counted(call.name, result, total, self._clock() - call.made_ns)
        # The module hears of one name's calls in the order in which it made them and knows them by that.
        # Drivers may answer out of turn: while the counter moves, the new address can be the quicker one.
        calls = self._calls[call.name]
        while calls and calls[0].end is not None:
            self._tell(calls.popleft().end)
        if not calls:
            self._calls.pop(call.name, None)

    def abandon(self) -> None:
        """Another ingress has what is open here: nothing of it is sent or answered any more."""
        for opened in [*self.requests.values(), *self._lingering.values()]:
            if not opened.answered:
                opened.answered = True
                self._close(opened)
                COUNTS["request.abandoned"] += 1
                opened.answerer.dropped()
                self._tell(i.Left(opened.id))
            for attempt in list(opened.live.values()):
                self.upstreams.cancel(attempt)
                self.attempt_ended(attempt, i.Result.CANCELLED)

    def news(self, news: i.ServerNews) -> None:
        self._tell(news)

    def wake(self) -> None:
        """The alarm has gone off: everything due is told, in the order of its time."""
        self._alarm_at = 0
        now = self._clock()
        try:
            while self._timers and self._timers[0][0] <= now:
                due = heapq.heappop(self._timers)[2]
                if not due.over:
                    self._ring(due)
        finally:
            self._arm()

    def _ring(self, due: ModuleTimer | Open | Attempt | Call) -> None:
        if type(due) is ModuleTimer:
            self._tell(i.Timer(due.token))
        elif type(due) is Call:
            self.counted(due, i.Result.TIMEOUT if due.written else i.Result.NO_CONNECTION)
            self.counter.gave_up(due)
        elif type(due) is Open:
            self._overdue(due)
        else:
            self.upstreams.cancel(due)
            self.attempt_ended(due, i.Result.TIMEOUT)

    # --- driving the module

    def _tell(self, event: i.Event) -> None:
        self._queue.append(event)
        if self._deciding:
            return
        self._deciding = True
        try:
            while self._queue:
                event = self._queue.popleft()
                for action in self._decide(event):
                    self._act(action)
        finally:
            self._deciding = False
        self._arm()

    def _decide(self, event: i.Event) -> list[i.Action]:
        try:
            return self._brain.handle(self._clock(), event)
        except Exception:
            # The module must not take the ingress with it: what it had decided still counts, and the request
            # it was at, if nothing is out for it, gets its one answer here rather than at its deadline.
            COUNTS["module.raised"] += 1
            self._report("module raised", type(event).__name__)
            actions = list(self._brain.acts)
            if type(event) is i.Timer:
                actions.append(i.SetTimer(RAISED_AGAIN_NS, event.token))
            opened = self.requests.get(getattr(event, "request", -1))
            if opened and not opened.live and not any(type(a) is i.Send for a in actions):
                actions.append(i.Fail(opened.id))
            return actions

    def _act(self, action: i.Action) -> None:
        try:
            self._do[type(action)](action)
        except Exception:
            # One action that fails must not keep back those behind it; deadlines see to the request.
            COUNTS["engine.action_failed"] += 1
            self._report("action failed", type(action).__name__)

    def _report(self, event: str, what: str) -> None:
        self._reports += 1
        if self._reports <= MOST_REPORTS:
            log(event, at=what, trace=traceback.format_exc(limit=-4))

    def _push(self, at_ns: int, due: ModuleTimer | Open | Attempt | Call) -> None:
        self._timer_number += 1
        heapq.heappush(self._timers, (at_ns, self._timer_number, due))

    def _arm(self) -> None:
        timers = self._timers
        while timers and timers[0][2].over:
            heapq.heappop(timers)
        if timers and not self._deciding:
            first = timers[0][0]
            if not self._alarm_at or first < self._alarm_at:
                self._alarm_at = first
                self.alarm.set(first)

    def _overdue(self, opened: Open) -> None:
        """The backstop under the module's own guard: no request outlives its deadline unanswered."""
        if opened.begun or opened.deadline_ns > self._clock():
            return  # on its way, or its time has begun anew since
        if not opened.answered:
            COUNTS["request.overdue"] += 1
            self._answer(opened, "request.failed", "failed", True)
            self._tell(i.Left(opened.id))
        for attempt in list(opened.live.values()):
            self.upstreams.cancel(attempt)
            self.attempt_ended(attempt, i.Result.TIMEOUT)

    def _answer(self, opened: Open, count: str, how: str, *what: Any) -> None:
        """The one final answer.  One that cannot be given is over all the same, and the module is told."""
        invariant(not opened.answered, "request.answered_twice")
        if self.record is not None and not self.record.answering(opened, how, what):
            return
        opened.answered = True
        self._close(opened)
        COUNTS[count] += 1
        try:
            getattr(opened.answerer, how)(*what)
        except Exception:
            COUNTS["engine.answer_failed"] += 1
            self._report("answer failed", how)

    def _close(self, opened: Open) -> None:
        self.requests.pop(opened.id, None)
        if opened.live:
            self._lingering[opened.id] = opened

    # --- what the module asks for

    def _send(self, action: i.Send) -> None:
        now, opened = self._clock(), self.requests.get(action.request)
        left = opened.deadline_ns - now if opened else 0
        if opened is None or left <= 0 or opened.spent or opened.sent >= self._start.max_attempts:
            number = opened.sent if opened else 0
            COUNTS[ENDED[i.Result.MOOT]] += 1
            self._queue.append(i.Outcome(action.request, action.server, number, 0, i.Result.MOOT, opened is None))
            return
        attempt = Attempt(opened, opened.sent, action.server, now, opened.wish)
        opened.sent += 1
        opened.live[attempt.number] = attempt
        COUNTS["attempt.sent"] += 1
        if 0 < action.timeout_ns < left:
            left = action.timeout_ns
            self._push(now + left, attempt)
        if self.record is None or self.record.sending(attempt):
            self.upstreams.send(attempt, left)

    def _cancel(self, action: i.Cancel) -> None:
        opened = self.requests.get(action.request) or self._lingering.get(action.request)
        attempt = opened.live.get(action.attempt) if opened else None
        if attempt is not None and not attempt.over:
            self.upstreams.cancel(attempt)
            self.attempt_ended(attempt, i.Result.CANCELLED)

    def _refuse(self, action: i.Refuse) -> None:
        opened = self.requests.get(action.request)
        if opened is None:
            return
        cls = opened.cls
        harmless = cls.effect == i.Effect.SAFE or not (opened.may_have_run or opened.live)
        harmless = harmless or (cls.effect == i.Effect.KEYED and cls.scope == i.Scope.ALL)
        invariant(harmless, "refused.what_may_have_run")
        if not harmless:
            return self._fail(i.Fail(action.request))
        self._answer(opened, "request.refused", "refused", action.retry_in_ns, action.over_quota)

    def _fail(self, action: i.Fail) -> None:
        opened = self.requests.get(action.request)
        if opened is not None:
            self._answer(opened, "request.failed", "failed", False)

    def _set_timer(self, action: i.SetTimer) -> None:
        opened = None if action.request is None else self.requests.get(action.request)
        if opened is not None or action.request is None:
            self._push(self._clock() + action.after_ns, ModuleTimer(action.token, opened))

    def _count(self, action: i.Count) -> None:
        COUNTS["counter.called"] += 1
        call = Call(action.name, action.amount, action.ttl_ns, self._clock())
        self._push(call.made_ns + (self._start.count_wait_ns or COUNT_WAIT_NS), call)
        self._calls.setdefault(call.name, deque()).append(call)
        self.counter.add(call)

    def _log(self, action: i.Log) -> None:
        log("module", text=action.text)

    def _unsupported(self, action: i.Action) -> None:
        COUNTS["module.unsupported_action"] += 1
