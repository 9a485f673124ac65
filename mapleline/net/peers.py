"""The fleet's calls on the counter: heartbeats and budget claims (a thin Twisted driver round pure parts).

One connection of its own to the counter, calls written one behind another, answers taken in their order.
A call that has no answer within `beat_s` grants nothing: its amount may have been added, and that part is
lost for its epoch, never counted twice.  Line: `budget spent` (what an epoch that is over took of each
budget); `claims.py` has the others.  See docs/design/fleet.md.
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import Any

from twisted.internet import defer

from ..budgets import BudgetShares
from ..http1 import BufferPool, Response
from ..membership import MembershipView, period_of
from ..settings.own import Budgets
from ..telemetry import COUNTS, log
from .claims import Claims, lost
from .counter import read_total
from .dial import dial
from .discovery import AgentStream


def _total(response: Response) -> float:
    total = read_total(response)
    if total is None:
        raise ValueError(f"counter answered {response.status}")
    return total


class Peers:
    """Beats and claims of one ingress, `me` of `members`."""

    def __init__(
        self,
        reactor: Any,
        told: Budgets,
        buffers: BufferPool,
        counter: tuple[str, int],
        me: int,
        members: int,
        spill_share: float = 0.0,
    ) -> None:
        self.reactor, self.buffers, self.counter = reactor, buffers, counter
        self.told = told = replace(told, beat_s=told.beat(members))
        self.view = MembershipView(members, me, told.beat_s)
        self.shares = BudgetShares(
            me,
            members,
            int(told.lease_s * 1e9),
            told.floor,
            {
                "retries": told.retries_per_s,
                "calls": told.calls_per_s,
                "cold": told.server_per_s,
                "spill": told.server_per_s * spill_share,
            },
            told.room,
        )
        self.incarnation = int(time.time() * 1000)
        self.calls: AgentStream | None = None
        self.waiters: list[tuple[Any, Any]] = []
        self.beaten: set[int] = set()
        self.watchers: list[Any] = []  #: each is asked with the period, several times in it
        self.claims = [Claims(self, "fleet", lambda: COUNTS["request.accepted"])]
        if spill_share > 0:  # who spills is seldom who has the most requests: divided by what spills
            self.claims.append(Claims(self, "spill", lambda: self.shares.requested.get("spill", 0)))
        self.life_ms = min(60_000, int(3 * max(told.lease_s, told.beat_s) * 1000))

    def now(self) -> float:
        """Unix seconds on this ingress's own clock: the machine's and the offset its settings give."""
        return time.time() + self.told.clock_offset_s

    def reread(self, path: str) -> None:
        """SIGHUP: our own HCL again; of the budgets only the clock's offset changes while running."""
        from ..settings import own

        try:
            new, faults = own.load(path)
        except OSError as err:
            faults, new = [err], None
        if faults or new is None:
            return log("budgets reload failed", fault=str(faults[0]))
        if new.budgets.clock_offset_s != self.told.clock_offset_s:
            self.told = replace(self.told, clock_offset_s=new.budgets.clock_offset_s)
            log("clock offset", offset_s=self.told.clock_offset_s)
        return None

    def start(self) -> None:
        from twisted.internet import task

        self.loop = task.LoopingCall(self.tick)
        self.loop.start(self.told.beat_s / 4, now=True)

    def tick(self) -> None:
        now = self.now()
        period = period_of(now, self.told.beat_s)
        if period not in self.beaten:
            self._beat(period)
        for watcher in self.watchers:
            watcher.tick(period)
        for claims in self.claims:
            claims.tick(now)
        self.shares.start_epoch(time.time_ns())
        for ended in self.shares.ended:
            log(
                "budget spent",
                epoch=ended.epoch,
                spent={name: spending.units for name, spending in ended.spent.items()},
                wholes={name: spending.whole for name, spending in ended.spent.items()},
            )
        self.shares.ended.clear()

    def _beat(self, period: int) -> None:
        self.beaten.add(period)
        self.beaten.discard(period - 8)
        fleet, me = self.told.fleet, self.view.own_index
        self.call(f"hb.{fleet}.{period}", 1).addCallbacks(lambda t: self.view.record_count(period, t), lost)
        before = period - 1
        self.call(f"hb.{fleet}.{before}", 0).addCallbacks(lambda t: self.view.record_count(before, t), lost)
        self.call(f"hb.{fleet}.{me}.{period}", self.incarnation % 1_000_000).addErrback(lost)

    def call(self, name: str, delta: float) -> defer.Deferred[float]:
        """One call; its Deferred fails once a heartbeat period has passed without the answer."""
        done: defer.Deferred[float] = defer.Deferred()
        timer = self.reactor.callLater(self.told.beat_s, self._late, done)

        def settle(result: Any, ok: bool) -> None:
            if timer.active():
                timer.cancel()
            if not done.called:
                done.callback(result) if ok else done.errback(result)

        target = f"/v2/numbers/{name}?delta={delta:.7g}&life_ms={self.life_ms}".encode()
        host_line = b"Host: %b:%d\r\n" % (self.counter[0].encode(), self.counter[1])

        def send(calls: AgentStream) -> None:
            if not done.called:
                answered = calls.call(target, host_line, b"POST").addCallback(_total)
                answered.addCallbacks(settle, settle, (True,), None, (False,))

        self._connection(send, lambda why: settle(why, False))
        return done

    def _late(self, done: defer.Deferred[float]) -> None:
        if not done.called:
            COUNTS["budget.call_late"] += 1
            done.errback(TimeoutError("no answer in a heartbeat period"))
            if self.calls is not None and self.calls.transport is not None:
                self.calls.transport.abortConnection()  # what comes later on it is not read
            self.calls = None

    def _connection(self, then: Any, failed: Any) -> None:
        """`then(calls)` on an open connection, dialled if need be; `failed(why)` if none comes up."""
        calls = self.calls
        if calls is not None and calls.connected and calls.machine.reusable:
            return then(calls)
        self.waiters.append((then, failed))
        if len(self.waiters) > 1:
            return None
        wait_s = max(0.1, self.told.beat_s / 2)
        dialing = dial(self.reactor, self.counter, lambda: AgentStream(self.buffers), wait_s)

        def made(calls: AgentStream) -> None:
            self.calls, waiters, self.waiters = calls, self.waiters, []
            for then, _ in waiters:
                then(calls)

        def lost(why: Any) -> None:
            waiters, self.waiters = self.waiters, []
            for _, failed in waiters:
                failed(why)

        dialing.addCallbacks(made, lost)
        return None
