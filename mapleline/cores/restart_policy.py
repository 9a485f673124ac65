"""When a worker that exited is restarted, and when the supervisor gives up: exponential backoff a slot."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_DOUBLINGS = 40  # keeps the shifted backoff a small integer however long the run of crashes


@dataclass(slots=True)
class RestartPolicy:
    """Decides on restarts from the exits of one ingress's workers.  All times in nanoseconds.

    Each slot's backoff doubles with each early exit in a row and starts anew after a worker that was stable.  The
    early exits that end the program are counted over all slots: what kills each new worker, a broken installation
    say, kills them wherever they start.

    Attributes:
        initial_backoff_ns: Wait before the first restart of a slot.
        max_backoff_ns: Upper bound of that wait.
        stable_after_ns: A worker that has been ready for this long is stable.
        max_early_exits: Early exits in a row, over all slots, at which the supervisor gives up.
        early_exits: Early exits in a row, over all slots, since a worker was last stable.
    """

    initial_backoff_ns: int
    max_backoff_ns: int
    stable_after_ns: int
    max_early_exits: int
    early_exits: int = 0
    _early_exits_by_slot: dict[int, int] = field(default_factory=dict)
    _ready_at_ns: dict[int, int] = field(default_factory=dict)

    def record_ready(self, slot: int, now_ns: int) -> None:
        """Note that the worker in this slot serves from now on."""
        self._ready_at_ns[slot] = now_ns

    def forgive_stable_workers(self, now_ns: int) -> None:
        """Reset the counts of the slots whose worker has become stable.  To be called periodically."""
        for slot, ready_at_ns in self._ready_at_ns.items():
            if now_ns - ready_at_ns >= self.stable_after_ns and self._early_exits_by_slot.pop(slot, 0):
                self.early_exits = 0

    def record_exit(self, slot: int, now_ns: int) -> int | None:
        """Note that the worker in this slot exited.

        Returns:
            The wait before its restart in nanoseconds, or None when the supervisor is to give up.
        """
        ready_at_ns = self._ready_at_ns.pop(slot, None)
        if ready_at_ns is not None and now_ns - ready_at_ns >= self.stable_after_ns:
            self._early_exits_by_slot[slot] = 0
            self.early_exits = 0
            return self.initial_backoff_ns
        self.early_exits += 1
        if self.early_exits >= self.max_early_exits:
            return None
        slot_exits = self._early_exits_by_slot.get(slot, 0) + 1
        self._early_exits_by_slot[slot] = slot_exits
        doublings = min(slot_exits - 1, MAX_DOUBLINGS)
        return min(self.max_backoff_ns, self.initial_backoff_ns << doublings)
