"""The record that the checker returns for each violation of a rule."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of one rule.

    Attributes:
        rule: The rule's name, as listed in docs/fleet.md.
        at: Time of the violation, in Unix seconds.
        source: The log, process or link that violated the rule.
        description: Description of the violation in a short phrase.
    """

    rule: str
    at: float
    source: str
    description: str

    def __str__(self) -> str:
        """Return the line that `mapleline fleet check` prints."""
        return f"{self.rule} at {self.at:.3f} ({self.source}): {self.description}"
