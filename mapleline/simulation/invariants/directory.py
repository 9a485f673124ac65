"""The invariant on the directory service."""

from __future__ import annotations

from collections.abc import Iterator

from ..history import STATUS_OK, DirectoryLookup, History
from .rules import Rule, Violation


class _LastContacts:
    """When each machine last had contact with a majority of the control replicas; lookups come in order of time."""

    def __init__(self, history: History) -> None:
        self._samples = history.contacts
        self._next_sample = 0
        self._last_contact: dict[str, float] = {}

    def since(self, machine: str, at: float) -> float:
        """Return the machine's last contact by that moment, the first sample's time where it had none.

        The sample after that moment counts as well: contact may have come between two samples.
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
    """DIRECTORY: a machine without contact to a majority for longer than `revoke_timeout` sends no client anywhere."""
    last_contacts = _LastContacts(history)
    for lookup in sorted(history.lookups, key=_lookup_order):
        since = last_contacts.since(lookup.machine, lookup.at)
        if lookup.status == STATUS_OK and lookup.at - since > history.bounds.revoke_timeout:
            detail = f"{lookup.machine} answered, without a majority since {since:.2f}"
            yield Violation(Rule.DIRECTORY, lookup.at, detail)


def _lookup_order(lookup: DirectoryLookup) -> tuple[float, str, int]:
    return lookup.at, lookup.machine, lookup.status
