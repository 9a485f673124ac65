"""Applies every rule to the logs of a fleet."""

from __future__ import annotations

from .answers import check_answered
from .budgets import check_budget, check_spent
from .execution import check_charged, check_once
from .handoff import check_fenced
from .history import History, Logs
from .processes import check_crash, check_schedule
from .quota import check_quota
from .servers import check_fall, check_room
from .violation import Violation
from .zones import check_zones

ANSWER_SLACK_S = 0.5  # allowed time of an answer after its deadline; docs/fleet.md, rule `answered`

RULES = (
    check_schedule,
    check_crash,
    check_budget,
    check_once,
    check_charged,
    check_fenced,
    check_spent,
    check_room,
    check_fall,
    check_quota,
    check_zones,
)


def judge(logs: Logs, slack_s: float = ANSWER_SLACK_S, strict: bool = False) -> list[Violation]:
    """Return all violations, sorted by time and rule.

    Args:
        logs: The events of each log, by source (`load`, `fleet`, `ingress-2`).
        slack_s: Seconds that an answer may come after its deadline.
        strict: If true, no request is excused, not even at an ingress under a fault.
    """
    history = History.from_logs(logs)
    found = check_answered(history, slack_s, strict)
    for check in RULES:
        found += check(history)
    return sorted(found, key=lambda violation: (violation.at, violation.rule))
