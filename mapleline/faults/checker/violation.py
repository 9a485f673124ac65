"""What the checker reports: one record for each broken rule."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One break of one rule.

    Attributes:
        rule: The rule's name, as listed in docs/fleet.md.
        at: When it broke, in Unix seconds.
        source: The log, process or link at which it broke.
        description: What broke, in a sentence.
    """

    rule: str
    at: float
    source: str
    description: str

    def __str__(self) -> str:
        """The line that `mapleline fleet check` prints."""
        return f"{self.rule} at {self.at:.3f} ({self.source}): {self.description}"
