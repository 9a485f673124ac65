"""The invariant on the directory service."""

from __future__ import annotations

from collections.abc import Iterator

from ..history import STATUS_OK, DirectoryLookup, History
from .rules import Rule, Violation


class _LastContacts:
    """The last contact of each machine with a majority of the control replicas.

    Calls of `since` must be made in the order of their moments.
    """

    def __init__(self, history: History) -> None:
        self._samples = history.contacts
        self._next_sample = 0
        self._last_contact: dict[str, float] = {}

    def since(self, machine: str, at: float) -> float:
        """Return the moment of the machine's last contact until `at`, or that of the first sample if it had none.

        The first sample after `at` counts as well, because contact may begin between two samples.
        """
        while self._next_sample < len(self._samples) and self._is_due(at):
            sample = self._samples[self._next_sample]
            self._last_contact.update(dict.fromkeys(sample.machines, sample.at))
            self._next_sample += 1
        default = self._samples[0].at if self._samples else at
        return self._last_contact.get(machine, default)

    def _is_due(self, at: float) -> bool:
        index = self._next_sample
        if self._samples[index].at <= at:
            return True
        return index > 0 and self._samples[index - 1].at <= at


def check_directory(history: History) -> Iterator[Violation]:
    """DIRECTORY: a machine without contact to a majority for over `revoke_timeout` answers no lookup with 200."""
    last_contacts = _LastContacts(history)
    for lookup in sorted(history.lookups, key=_lookup_order):
        since = last_contacts.since(lookup.machine, lookup.at)
        if lookup.status == STATUS_OK and lookup.at - since > history.bounds.revoke_timeout:
            detail = f"{lookup.machine} answered, without a majority since {since:.2f}"
            yield Violation(Rule.DIRECTORY, lookup.at, detail)


def _lookup_order(lookup: DirectoryLookup) -> tuple[float, str, int]:
    return lookup.at, lookup.machine, lookup.status
