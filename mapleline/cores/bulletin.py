"""The server list as it is handed on to workers: each gets what is new to it, and the newest only.

A worker has one message out at a time; what comes meanwhile is merged, so that one that is stalled costs no
memory and hears everything at once when it wakes.  Removals stay here until every worker has them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

Line = list[Any]  #: number, life, started_ns, weight, kind, zone, cell, host, port
GONE = 1


@dataclass(slots=True)
class _Reader:
    acked: int = 0
    sent: int = 0  #: 0: nothing is out
    begun: bool = False  #: it has been sent the whole list once


class Bulletin:
    """Revisions here are our own: discovery's may start anew."""

    def __init__(self) -> None:
        self.rev = 0
        self.cached = True  #: nothing but the list known before the start
        self._lines: dict[int, tuple[int, Line]] = {}
        self._readers: dict[int, _Reader] = {}

    def tell(self, lines: list[Line], whole: bool, cached: bool = False) -> list[tuple[int, bool]]:
        """Take in news; returns for each server named or missing whether nothing new may go to it."""
        self.rev += 1
        self.cached = cached
        named = {line[0] for line in lines}
        vetoes = []
        if whole:
            for number, (_, line) in list(self._lines.items()):
                if number not in named and line[1] != GONE:
                    lines = [*lines, [number, GONE, *line[2:]]]
        for line in lines:
            self._lines[line[0]] = (self.rev, line)
            vetoes.append((line[0], line[1] != 0))
        return vetoes

    def joined(self, worker: int) -> None:
        """A new process in this place: it knows nothing."""
        self._readers[worker] = _Reader()

    def parted(self, worker: int) -> None:
        self._readers.pop(worker, None)
        self._prune()

    def due(self, worker: int) -> dict[str, Any] | None:
        """The message to send to this worker now, if there is one."""
        reader = self._readers.get(worker)
        if reader is None or reader.sent or (reader.begun and reader.acked >= self.rev):
            return None
        whole = not reader.begun
        lines = [line for rev, line in self._lines.values() if (line[1] != GONE if whole else rev > reader.acked)]
        reader.begun, reader.sent = True, self.rev
        return {"news": self.rev, "whole": whole, "cached": self.cached, "lines": lines}

    def acked(self, worker: int, rev: int) -> None:
        reader = self._readers.get(worker)
        if reader is not None and rev == reader.sent:
            reader.acked, reader.sent = rev, 0
            self._prune()

    def _prune(self) -> None:
        """Who comes later gets the whole list, in which removals do not stand."""
        seen = min((reader.acked for reader in self._readers.values() if reader.begun), default=self.rev)
        self._lines = {number: told for number, told in self._lines.items() if told[1][1] != GONE or told[0] > seen}

    @property
    def servers(self) -> int:
        return sum(1 for _, line in self._lines.values() if line[1] != GONE)
