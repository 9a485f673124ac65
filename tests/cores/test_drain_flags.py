"""Drain flags in shared memory."""

from shared_memory_builders import new_memory

from mapleline.cores.drain_flags import DrainFlags
from mapleline.cores.shared_memory import DRAIN_FLAGS


def test_flags_are_separate_and_are_reused_by_numbers_above_their_count():
    flags = DrainFlags(new_memory(1))
    flags.set(DRAIN_FLAGS + 3, True)
    assert flags.is_draining(DRAIN_FLAGS + 3)
    assert not flags.is_draining(4)
    flags.set(2 * DRAIN_FLAGS + 3, False)
    assert not flags.is_draining(2 * DRAIN_FLAGS + 3)
