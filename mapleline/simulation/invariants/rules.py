"""The rules that a run may break, by the names that RULES.md gives them, and the violations that are reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The name of a rule: those of RULES.md, and those of docs/balancer/simulation.md on the control side."""

    UNASKED = "UNASKED"
    TWICE = "TWICE"
    REFUSED = "REFUSED"
    MIXED = "MIXED"
    ROUTE = "ROUTE"
    HOME = "HOME"
    DRAIN = "DRAIN"
    EVACUATION = "EVAC"
    QUOTA = "QUOTA"
    FAILBACK = "FAILBACK"
    RETRY_BUDGET = "BUDGET"
    CONFIGURATION = "CONFIG"
    LOST = "LOST"
    RECOVER = "RECOVER"
    RIVALS = "RIVALS"
    REPEATED_COMMAND = "AGAIN"
    IN_FORCE = "FORCE"
    STALE = "STALE"
    KNOWN = "KNOWN"
    DIRECTORY = "DIRECTORY"
    ACKNOWLEDGEMENT = "ACKS"
    MAJORITY = "MAJORITY"
    CATCH_UP = "WHOLE"


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken at a moment; `str()` is the line that is reported."""

    rule: Rule
    at: float
    detail: str
    subject: str = ""
    """The server that a FAILBACK violation is about."""

    def __str__(self) -> str:
        """Return the rule, the moment in seconds and the detail."""
        return f"{self.rule} {self.at:.2f}: {self.detail}"
