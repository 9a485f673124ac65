"""Restarts of workers: exponential backoff per worker slot, and the limit at which the supervisor gives up."""

from __future__ import annotations

from dataclasses import dataclass, field

MAX_DOUBLINGS = 40  # bounds the size of the shifted integer, however many crashes follow each other


@dataclass(slots=True)
class RestartPolicy:
    """Decides from the exits of one ingress's workers when to restart them.  All times are in nanoseconds.

    The backoff of a slot doubles with each consecutive early exit and is reset by a stable worker.  The early exits
    after which the supervisor gives up are counted over all slots, because a fault such as a broken installation ends
    every new worker, in whichever slot it starts.

    Attributes:
        initial_backoff_ns: Backoff before the first restart of a slot.
        max_backoff_ns: Upper bound of the backoff.
        stable_after_ns: Time for which a worker must have been ready to count as stable.
        max_early_exits: Number of consecutive early exits, over all slots, at which the supervisor gives up.
        early_exits: Number of early exits, over all slots, since a worker was last stable.
    """

    initial_backoff_ns: int
    max_backoff_ns: int
    stable_after_ns: int
    max_early_exits: int
    early_exits: int = 0
    _early_exits_by_slot: dict[int, int] = field(default_factory=dict)
    _ready_at_ns: dict[int, int] = field(default_factory=dict)

    def record_ready(self, slot: int, now_ns: int) -> None:
        """Record that the worker in this slot is ready."""
        self._ready_at_ns[slot] = now_ns

    def reset_stable_workers(self, now_ns: int) -> None:
        """Reset the early-exit counts of slots whose worker has become stable.  Has to be called periodically."""
        for slot, ready_at_ns in self._ready_at_ns.items():
            if now_ns - ready_at_ns >= self.stable_after_ns and self._early_exits_by_slot.pop(slot, 0):
                self.early_exits = 0

    def record_exit(self, slot: int, now_ns: int) -> int | None:
        """Record that the worker in this slot exited.

        Returns:
            The backoff before the restart in nanoseconds, or None if the supervisor should give up.
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
