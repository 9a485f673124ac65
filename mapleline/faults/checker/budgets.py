"""Rules `budget` and `spent`: neither the shares of a budget nor the spending exceed its total."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import NamedTuple

from .history import Event, History, Logs
from .violation import Violation

ROUNDING_MARGIN = 1 + 1e-9  # rounding may raise a sum of many fractions above the total


class BudgetEpoch(NamedTuple):
    """One budget in one epoch (a lease period)."""

    budget: str
    epoch: int


@dataclass(frozen=True, slots=True)
class EpochSpending:
    """Spending of the whole fleet from one budget in one epoch.

    Attributes:
        spent: Units that all members together spent.
        total: Units of the whole budget.
        reported_at: Time of the last member's report, in Unix seconds.
    """

    spent: float
    total: float
    reported_at: float


@dataclass(frozen=True, slots=True, order=True)
class ShareChange:
    """The start or end of the use of a budget share at one ingress.

    The order of the fields defines the sort order: at equal times, ends come before starts.
    """

    at: float
    is_start: bool
    share: float
    source: str


def check_budget(history: History) -> list[Violation]:
    """`budget`: at every instant, the shares in use of each budget sum to no more than its total.

    A share is in use from `budget held` to `budget released`, or to the end of its lease (`until`).
    """
    changes: dict[str, list[ShareChange]] = defaultdict(list)
    totals: dict[str, float] = {}
    for source, events in history.events.items():
        _collect_totals(events, totals)
        _collect_changes(source, events, changes)
    found = []
    for budget, budget_changes in changes.items():
        found += _judge_changes(budget, totals[budget], budget_changes)
    return found


def check_spent(history: History) -> list[Violation]:
    """`spent`: the spending that members report (`budget spent`) for an epoch sums to at most the budget's total."""
    found = []
    for (budget, epoch), spending in spent_by_epoch(history.events).items():
        if spending.spent > spending.total * ROUNDING_MARGIN:
            description = f"{budget}: {spending.spent:g} spent in epoch {epoch} of a whole of {spending.total:g}"
            found.append(Violation("spent", spending.reported_at, "fleet", description))
    return found


def spent_by_epoch(logs: Logs) -> dict[BudgetEpoch, EpochSpending]:
    """Return the fleet's spending by budget and epoch."""
    spendings: dict[BudgetEpoch, EpochSpending] = {}
    for events in logs.values():
        for event in events:
            if event["event"] != "budget spent":
                continue
            for budget, amount in event["spent"].items():
                key = BudgetEpoch(budget, event["epoch"])
                total = event["wholes"][budget]
                before = spendings.get(key, EpochSpending(0.0, total, 0.0))
                reported_at = max(before.reported_at, event["at"])
                spendings[key] = EpochSpending(before.spent + amount, total, reported_at)
    return spendings


def shares_by_epoch(logs: Logs) -> dict[str, dict[int, float]]:
    """Return, by budget and epoch, the sum of the shares that came into use in the fleet."""
    shares: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for events in logs.values():
        for event in events:
            if event["event"] == "budget held":
                shares[event["budget"]][event["epoch"]] += event["part"]
    return {budget: dict(epochs) for budget, epochs in shares.items()}


def _collect_totals(events: list[Event], totals: dict[str, float]) -> None:
    """Store in `totals` the least total that any ingress reports for each budget."""
    for event in events:
        if event["event"] == "budget held":
            budget = event["budget"]
            totals[budget] = min(totals.get(budget, float("inf")), event["whole"])


def _collect_changes(source: str, events: list[Event], changes: dict[str, list[ShareChange]]) -> None:
    """Add the starts and ends of one ingress's shares; a share that is never released ends at infinity."""
    in_use: dict[tuple[str, int | None], float] = {}
    for event in events:
        if event["event"] not in ("budget held", "budget released"):
            continue
        budget, at = event["budget"], event["at"]
        key = (budget, event.get("epoch"))
        if event["event"] == "budget released":
            if key in in_use:
                changes[budget].append(ShareChange(at, False, in_use.pop(key), source))
            continue
        share = event["part"]
        changes[budget].append(ShareChange(at, True, share, source))
        lease_end = event.get("until")
        if lease_end is None:
            in_use[key] = share
        else:
            in_use.pop(key, None)
            changes[budget].append(ShareChange(lease_end, False, share, source))
    for (budget, _), share in in_use.items():
        changes[budget].append(ShareChange(float("inf"), False, share, source))


def _judge_changes(budget: str, total: float, changes: list[ShareChange]) -> list[Violation]:
    """Return a violation for each start after which the shares in use exceed the total."""
    found = []
    in_use = 0.0
    for change in sorted(changes):
        if not change.is_start:
            in_use -= change.share
            continue
        in_use += change.share
        if in_use > total * ROUNDING_MARGIN:
            description = f"{budget}: parts sum to {in_use:g} of a whole of {total:g}"
            found.append(Violation("budget", change.at, change.source, description))
    return found
