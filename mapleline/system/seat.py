"""One process's part in keeping the operator's word (pure; time is an argument).

A seat with a disk counts in the core once it is *formed*: at the very first start when it has seen who the core is,
later when it has read from so many others that anything acknowledged must have shown, and has that on its own disk.

A machine is taken away for good in steps, each a write: (1) it is marked, by as many of the others as a write needs of
all; from then on nobody who knows counts what it says, and who does not know can't complete a write: of the others too
many refuse.  (2) What a read of the others shows is written to as many again: until then something acknowledged may lie
on it and on one fewer of the others.  (3) The core is smaller by one.
"""

from __future__ import annotations

from collections.abc import Iterable

from .archive import Entry, Lease, Mark, Stamp, Word, write_quorum

NOTHING: Stamp = (-1, "")
FOUND_LEAST_S, FOUND_QUIET_S, FOUND_MOST_S = 1.5, 1.0, 5.0
FRESH_S = 0.5  # no machine loses its disk, starts again and reads from others in less


class Put:
    """One entry on its way to a write quorum."""

    def __init__(self, need: int) -> None:
        self.need = need
        self.kept: dict[int, float] = {}  #: when each machine said that it has it

    def stored(self, ip: int, now: float, core: list[int]) -> list[int] | None:
        """A machine has it.  None: acknowledge.  Else who has to be asked (again): a machine that said so long ago
        may have lost its disk since, and have joined again without the entry.  `core`: who counts by now.
        """
        self.kept[ip] = now
        self.kept = {other: at for other, at in self.kept.items() if other in core}
        if len(self.kept) < self.need:
            return []
        stale = [other for other, at in self.kept.items() if now - at > FRESH_S]
        for other in stale:
            del self.kept[other]
        return stale if len(self.kept) < self.need else None


class Seat:
    """What is held here, what of it is lasting, and how sure that is."""

    def __init__(self, me: int, disk: bool, losses: int, initial: bool) -> None:
        self.me, self.disk, self.losses, self.initial = me, disk, losses, initial
        self.word, self.lease = Word(), Lease(losses)
        self.durable: dict[str, Stamp] = {}
        self.formed = False
        self.seen: set[int] = set()  #: every machine of the core ever known of
        self.noted: list[int] = []  #: the core, as written down here
        self.probes: dict[int, tuple[int, float]] = {}  #: questions out: whom and when

    def load(self, entries: list[Entry], core: list[int] | None) -> None:
        """What an earlier life left; without its note on the core it is not to be believed alone."""
        for entry in entries:
            self.word.offer(entry)
            self.kept(entry)
        if core is not None:
            self.formed, self.noted = True, core
            self.count(core)

    def kept(self, entry: Entry) -> None:
        """It is on this disk, synced."""
        self.durable[entry.key] = max(entry.stamp, self.durable.get(entry.key, NOTHING))

    def has_kept(self, entry: Entry) -> bool:
        """This or something newer is lasting here."""
        return self.durable.get(entry.key, NOTHING) >= entry.stamp

    @property
    def takes(self) -> bool:
        """Its sync counts: once it is formed, and until it is taken away."""
        return self.disk and self.formed and self.me not in self.word.removed(1)

    def quorum(self) -> int:
        """Machines that must have synced an entry before it is acknowledged."""
        return write_quorum(self.lease.core, self.losses)

    def count(self, core: Iterable[int]) -> None:
        """Machines with a disk that are known of: the core never forgets one but by the operator's word."""
        self.seen |= set(core)
        self.lease.core = len(self.seen - self.word.removed())
        self.lease.drop(self.word.removed(1))

    def core(self) -> list[int]:
        """Who counts now."""
        return sorted(self.seen - self.word.removed(1))

    def current(self, marked: int) -> bool:
        """Whether who puts knows of every machine marked that is known of here: else it counts who says nothing."""
        return marked >= len(self.word.removed(1))

    def lags(self) -> list[Entry]:
        """What is held and not lasting: a disk was full, or hung."""
        return [entry for entry in self.word.entries.values() if not self.has_kept(entry)]

    def ask(self, nonce: int, ip: int, now: float) -> None:
        """A question goes out; older ones without an answer are given up."""
        self.probes = {n: asked for n, asked in self.probes.items() if now - asked[1] < 5}
        self.probes[nonce] = ip, now

    def ask_self(self, now: float) -> None:
        if self.takes:
            self.lease.agree(self.me, now)

    def answer(self, now: float, core: list[int]) -> tuple[bool, list[int], list[Mark], float]:
        """What is said to such a question: formed, the core, what is held, and how old the certainty is."""
        return self.takes, self.noted if self.takes else core, self.word.marks(), now - self.lease.since()

    def told(self, nonce: int, ip: int, formed: bool, core: list[int], sure: bool) -> float | None:
        """An answer has come: when it was asked for, or None where it says nothing."""
        asked = self.probes.pop(nonce, None)
        if asked is None or asked[0] != ip or not (formed or sure):
            return None
        self.count(core)
        return asked[1]

    def agree(self, ip: int, formed: bool, marks: list[Mark], age: float | None, asked: float) -> bool:
        """What that one held is held here now, or isn't: only then does its answer count."""
        if self.word.lacks(marks):
            return False
        self.count(())
        if formed and ip not in self.word.removed(1):
            self.lease.agree(ip, asked)
        if age is not None:
            self.lease.relay(asked, age)
        return True

    @property
    def founding(self) -> bool:
        """The whole system starts for the first time, and the core does not know itself yet: nothing is kept."""
        return self.initial and not self.formed and not self.durable

    def may_found(self, lived: float, quiet: float, whole: bool) -> bool:
        """The first core: every zone has shown a machine with a disk, and no other has come for a while."""
        if not self.disk or not self.founding:
            return False
        return lived > FOUND_LEAST_S and quiet > FOUND_QUIET_S and (whole or lived > FOUND_MOST_S)

    def may_join(self, started: float) -> bool:
        """A disk that came back empty, or a new one: what it holds now is all that was acknowledged before."""
        return self.disk and not self.formed and not self.founding and self.lease.since() > started
