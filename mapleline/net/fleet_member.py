"""One ingress as a member of the fleet: its heartbeats, its claims and its shares of the budgets (a Twisted driver).

The pure parts are `mapleline.membership` and `mapleline.budgets`; the rules are in docs/design/fleet.md.

Log events: `budget spent` (the units taken of each budget in an epoch that has ended), `budgets reload failed`,
`clock offset`; the others are in `claims`.
"""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from ..budgets import BudgetShares
from ..membership import MembershipView, period_of
from ..telemetry import COUNTS, log
from .claims import BudgetClaims
from .fleet_counter import FleetCounter, count_lost_call

if TYPE_CHECKING:
    from twisted.internet.task import LoopingCall

    from ..http1 import BufferPool
    from ..settings.own import Budgets
    from ..settings.platform import Address
    from .event_loop import EventLoop

UPDATES_PER_PERIOD = 4  #: calls of `update` in each heartbeat period
PERIODS_KEPT = 8  #: heartbeats of periods this far back are forgotten
KEY_LIFETIME_MULTIPLE = 3  #: of the longer of lease and period; a number is read up to one period or epoch later
MAX_KEY_LIFETIME_MS = 60_000  #: the longest time for which the platform's counter keeps a number
INCARNATION_MODULUS = 1_000_000  #: keeps incarnations exact: the counter's amounts have seven significant digits
MS_PER_S = 1000
NS_PER_S = 1e9


class PeriodWatcher(Protocol):
    """Is updated several times in each heartbeat period."""

    def update(self, period: int) -> None:
        """Do the work that is due; called `UPDATES_PER_PERIOD` times in a period."""


@dataclass(frozen=True, slots=True)
class RosterPosition:
    """This member's place in the roster of all members that may exist, and the roster's size."""

    own_index: int
    members: int


class FleetMember:
    """The heartbeats and budget claims of one ingress.

    Attributes:
        settings: The settings of the budgets, with the heartbeat period lengthened for the fleet's size.
        view: This member's view of the others.
        shares: This member's shares of the budgets.
        counter: Its client of the shared counter.
        watchers: Objects that are updated in each heartbeat period.
    """

    def __init__(
        self,
        reactor: EventLoop,
        settings: Budgets,
        buffers: BufferPool,
        counter_address: Address,
        position: RosterPosition,
        spill_share: float = 0.0,
    ) -> None:
        """Create the member; nothing is sent before `start`.

        Args:
            reactor: The event loop.
            settings: The settings of the budgets.
            buffers: The buffers that the counter's answers are read into.
            counter_address: The host and port of the shared counter.
            position: This member's place in the roster.
            spill_share: The share of `settings.server_per_s` that a zone's servers accept from other zones; no spill
                budget at 0.
        """
        settings = replace(settings, beat_s=settings.beat(position.members))
        self.settings = settings
        self.view = MembershipView(position.members, position.own_index, settings.beat_s)
        self.shares = _make_shares(settings, position, spill_share)
        self.counter = FleetCounter(reactor, buffers, counter_address, settings.beat_s, _key_lifetime_ms(settings))
        self.watchers: list[PeriodWatcher] = []
        self._incarnation = int(time.time() * MS_PER_S)
        self._heartbeat_periods: set[int] = set()
        self._loop: LoopingCall | None = None
        self._claims = [BudgetClaims(self, "fleet", lambda: COUNTS["request.accepted"])]
        if spill_share > 0:  # claimed apart: members that spill seldom have the most requests
            self._claims.append(BudgetClaims(self, "spill", lambda: self.shares.requested.get("spill", 0)))

    def now(self) -> float:
        """Return this member's clock in Unix seconds: the machine's clock plus the offset in the settings."""
        return time.time() + self.settings.clock_offset_s

    def reload_settings(self, path: str) -> None:
        """Reload our own HCL settings (SIGHUP); of the budget settings only the clock offset changes at run time."""
        from ..settings import own

        try:
            loaded, faults = own.load(path)
        except OSError as error:
            log("budgets reload failed", fault=str(error))
            return
        if faults:
            log("budgets reload failed", fault=str(faults[0]))
            return
        offset_s = loaded.budgets.clock_offset_s
        if offset_s != self.settings.clock_offset_s:
            self.settings = replace(self.settings, clock_offset_s=offset_s)
            log("clock offset", offset_s=offset_s)

    def start(self) -> None:
        """Begin to send heartbeats and to claim budgets."""
        from twisted.internet import task

        self._loop = task.LoopingCall(self.update)
        self._loop.start(self.settings.beat_s / UPDATES_PER_PERIOD, now=True)

    def update(self) -> None:
        """Do the work that is due in this heartbeat period and this epoch."""
        now_s = self.now()
        period = period_of(now_s, self.settings.beat_s)
        if period not in self._heartbeat_periods:
            self._send_heartbeat(period)
        for watcher in self.watchers:
            watcher.update(period)
        for claims in self._claims:
            claims.update(now_s)
        self.shares.start_epoch(time.time_ns())
        self._report_ended_epochs()

    def _report_ended_epochs(self) -> None:
        for ended in self.shares.ended:
            log(
                "budget spent",
                epoch=ended.epoch,
                spent={name: spending.units for name, spending in ended.spent.items()},
                wholes={name: spending.fleet_units for name, spending in ended.spent.items()},
            )
        self.shares.ended.clear()

    def _send_heartbeat(self, period: int) -> None:
        """Count this member in this period, read the previous period's count, and add this member's own heartbeat."""
        self._heartbeat_periods.add(period)
        self._heartbeat_periods.discard(period - PERIODS_KEPT)
        fleet = self.settings.fleet
        self._count_members(period, 1)
        self._count_members(period - 1, 0)
        own_key = f"hb.{fleet}.{self.view.own_index}.{period}"
        self.counter.add(own_key, self._incarnation % INCARNATION_MODULUS).addErrback(count_lost_call)

    def _count_members(self, period: int, amount: int) -> None:
        """Add to the number of heartbeats in a period, and record its total."""
        self.counter.add(f"hb.{self.settings.fleet}.{period}", amount).addCallbacks(
            lambda total: self.view.record_count(period, total), count_lost_call
        )


def _make_shares(settings: Budgets, position: RosterPosition, spill_share: float) -> BudgetShares:
    rates_per_s = {
        "retries": settings.retries_per_s,
        "calls": settings.calls_per_s,
        "cold": settings.server_per_s,
        "spill": settings.server_per_s * spill_share,
    }
    lease_ns = int(settings.lease_s * NS_PER_S)
    return BudgetShares(
        position.own_index, position.members, lease_ns, settings.floor, rates_per_s, limit=settings.room
    )


def _key_lifetime_ms(settings: Budgets) -> int:
    """Return how long the counter is to keep a number after the last call for it, in milliseconds."""
    longest_s = max(settings.lease_s, settings.beat_s)
    return min(MAX_KEY_LIFETIME_MS, int(KEY_LIFETIME_MULTIPLE * longest_s * MS_PER_S))
