"""Restarts of workers: exponential backoff, and the limit at which the supervisor gives up."""

import pytest
from helpers import MS, S

from mapleline.cores.restart_policy import RestartPolicy


def test_backoff_doubles_with_early_exits_and_is_reset_by_a_stable_worker():
    policy = RestartPolicy(100 * MS, 1000 * MS, 2 * S, 99)
    backoffs = [policy.record_exit(0, n) for n in range(6)]
    assert backoffs == [100 * MS, 200 * MS, 400 * MS, 800 * MS, 1000 * MS, 1000 * MS]
    assert policy.record_exit(1, 0) == 100 * MS  # another slot
    policy.record_ready(0, 10 * S)
    assert policy.record_exit(0, 13 * S) == 100 * MS
    assert policy.early_exits == 0


@pytest.mark.parametrize("is_stable", [False, True])
def test_the_supervisor_gives_up_after_early_exits_unless_a_worker_is_stable(is_stable):
    policy = RestartPolicy(100 * MS, 1000 * MS, 2 * S, 3)
    backoffs = []
    for number in range(6):
        slot = number % 2
        ready_at_ns = 10 * number * S
        policy.record_ready(slot, ready_at_ns)
        if is_stable:
            policy.reset_stable_workers(ready_at_ns + 2 * S)
        lifetime_ns = 2 * S if is_stable and slot == 1 else MS
        backoffs.append(policy.record_exit(slot, ready_at_ns + lifetime_ns))
    assert (None in backoffs) != is_stable
