"""The names of the rules that a run may break, as in RULES.md, and the violations that are reported."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Rule(StrEnum):
    """The name of a rule, from RULES.md or, for rules of the control state, from docs/balancer/simulation.md."""

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
    """The violation of a rule at a moment; `str()` returns the line that is reported."""

    rule: Rule
    at: float
    detail: str
    subject: str = ""
    """Id of the server of a FAILBACK violation."""

    def __str__(self) -> str:
        """Return the rule, the moment in seconds and the detail."""
        return f"{self.rule} {self.at:.2f}: {self.detail}"
