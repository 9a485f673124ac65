"""One process's part in keeping the operator's word (pure; time is an argument).

A seat with a disk counts in the core once it is *formed*: at the very first start when it has seen who the core is,
later when it has read from so many others that anything acknowledged must have shown, and has that on its own disk.
"""

from __future__ import annotations

from .archive import Entry, Lease, Mark, Stamp, Word, write_quorum

NOTHING: Stamp = (-1, "")
FOUND_LEAST_S, FOUND_QUIET_S, FOUND_MOST_S = 1.5, 1.0, 5.0
FRESH_S = 0.5  # no machine loses its disk, starts again and reads from others in less


class Put:
    """One entry on its way to a write quorum."""

    def __init__(self, need: int) -> None:
        self.need = need
        self.kept: dict[int, float] = {}  #: when each machine said that it has it

    def stored(self, ip: int, now: float) -> list[int] | None:
        """A machine has it.  None: acknowledge.  Else who has to be asked (again): a machine that said so long ago
        may have lost its disk since, and have joined again without the entry.
        """
        self.kept[ip] = now
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
        """Its sync counts: but for the time before the first core knows itself."""
        return self.disk and (self.formed or not self.initial)

    def quorum(self, core: int) -> int:
        """Machines that must have synced an entry before it is acknowledged."""
        return write_quorum(max(core, self.lease.core), self.losses)

    def count(self, core: list[int]) -> None:
        """Machines with a disk that are known of; the core is never smaller."""
        self.lease.core = max(self.lease.core, len(core))

    def ask(self, nonce: int, ip: int, now: float) -> None:
        """A question goes out; older ones without an answer are given up."""
        self.probes = {n: asked for n, asked in self.probes.items() if now - asked[1] < 5}
        self.probes[nonce] = ip, now

    def ask_self(self, now: float) -> None:
        if self.formed:
            self.lease.agree(self.me, now)

    def answer(self, now: float, core: list[int]) -> tuple[bool, list[int], list[Mark], float]:
        """What is said to such a question: formed, the core, what is held, and how old the certainty is."""
        return self.formed, self.noted if self.formed else core, self.word.marks(), now - self.lease.since()

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
        if formed:
            self.lease.agree(ip, asked)
        if age is not None:
            self.lease.relay(asked, age)
        return True

    def may_found(self, lived: float, quiet: float, whole: bool) -> bool:
        """The first core: every zone has shown a machine with a disk, and no other has come for a while."""
        if not self.disk or not self.initial or self.durable:
            return False
        return lived > FOUND_LEAST_S and quiet > FOUND_QUIET_S and (whole or lived > FOUND_MOST_S)

    def may_join(self, started: float) -> bool:
        """A disk that came back empty, or a new one: what it holds now is all that was acknowledged before."""
        founding = self.initial and not self.durable
        return self.disk and not self.formed and not founding and self.lease.since() > started
