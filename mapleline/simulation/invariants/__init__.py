"""The invariants of a simulated run: pure functions that return the violations of rules in its history."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from ..history import History
from .acknowledgement import check_acknowledgements
from .catch_up import check_catch_up
from .configuration import check_configuration_versions
from .control_state import check_in_force, check_repeated_commands, check_rivals
from .directory import check_directory
from .draining import check_server_eligibility
from .evacuation import check_final_evacuations
from .quota import check_quotas
from .read_freshness import check_denials, check_stale_reads
from .requests import check_requests
from .retry_budget import check_retry_budget
from .rules import Rule, Violation
from .slow_start import check_slow_start

__all__ = ["INVARIANTS", "Rule", "Violation", "check"]

Invariant = Callable[[History], Iterator[Violation]]

INVARIANTS: tuple[Invariant, ...] = (
    check_requests,
    check_server_eligibility,
    check_quotas,
    check_slow_start,
    check_retry_budget,
    check_configuration_versions,
    check_rivals,
    check_repeated_commands,
    check_in_force,
    check_stale_reads,
    check_denials,
    check_directory,
    check_acknowledgements,
    check_catch_up,
    check_final_evacuations,
)


def check(history: History) -> list[Violation]:
    """Return every violation of every invariant, in the order of `INVARIANTS`."""
    return [violation for invariant in INVARIANTS for violation in invariant(history)]
