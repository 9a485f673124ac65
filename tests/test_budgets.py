"""Budgets, pure: claims on a model of the counter with loss, reordering, stalls and skew."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mapleline.budgets import Budget, BudgetShares, granted
from mapleline.budgets.shares import EndedEpoch, Spending
from mapleline.settings.own import Budgets

WHOLE, LEASE_S, MARGIN_S = 100.0, 10.0, 0.75
SKEWS = st.sampled_from([0, 0.3, 0.6, 1])  # shares of the largest skew
LOST = st.sampled_from([False, False, False, True])  # one message in four


@pytest.mark.parametrize(
    "want, total, part", [(30, 30, 30), (30, 90, 30), (30, 110, 20), (30, 130, 0), (30, 500, 0), (0, 100, 0)]
)
def test_a_claim_gets_what_the_sum_before_it_left(want, total, part):
    assert granted(want, total, WHOLE) == part


@pytest.mark.parametrize("now, epoch_part", [(10.0, 0), (10.74, 0), (10.75, 40), (19.24, 40), (19.25, 0)])
def test_a_part_is_used_only_inside_its_lease(now, epoch_part):
    budget = Budget("q", WHOLE, LEASE_S, MARGIN_S)
    budget.record_claim(1, 40, 40)
    assert budget.usable(now) == epoch_part


@pytest.mark.parametrize(
    "demand, demands, members, want",
    [
        (0, 100, 4, 25),
        (60, 240, 4, 25),
        (60, 120, 3, 50),
        (60, None, 4, 25),
        (60, 30, 4, 100),
        (10, 0, 0, 100),
    ],
)
def test_a_member_wants_its_share_of_the_demands(demand, demands, members, want):
    assert Budget("q", WHOLE, LEASE_S, MARGIN_S).claim_size(demand, demands, members) == want


class Claims(RuleBasedStateMachine):
    """Members claim on one counter; messages are lost, reordered, late; members stall; clocks differ.

    At every instant the parts in use, each read on its member's own clock, sum to no more than the whole.
    """

    skew_most = MARGIN_S * 2 * 0.99

    @initialize(members=st.integers(2, 5), skews=st.lists(SKEWS, min_size=5, max_size=5), now=st.floats(108, 110))
    # near an epoch's end, where clocks matter
    def start(self, members, skews, now):
        self.now = now
        self.skews = [s * self.skew_most for s in skews[:members]]
        self.budgets = [Budget("q", WHOLE, LEASE_S, MARGIN_S) for _ in range(members)]
        self.stalled = [False] * members
        self.totals: dict[int, float] = {}
        self.out: list[tuple[int, int, float]] = []  # claims on their way to the counter
        self.back: list[tuple[int, int, float, float]] = []  # answers on their way back

    def clock(self, member):
        return self.now + self.skews[member]

    @rule(member=st.integers(0, 4), ahead=st.integers(0, 1), want=st.floats(0, WHOLE))
    def claim(self, member, ahead, want):
        if member < len(self.budgets) and not self.stalled[member]:
            epoch = int(self.clock(member) // LEASE_S) + ahead
            self.out.append((member, epoch, want))

    @precondition(lambda self: self.out)
    @rule(pick=st.integers(0, 99), lose=LOST)
    def counter_adds(self, pick, lose):
        member, epoch, want = self.out.pop(pick % len(self.out))
        if lose:
            return
        total = self.totals[epoch] = self.totals.get(epoch, 0.0) + want
        self.back.append((member, epoch, want, total))

    @precondition(lambda self: self.back)
    @rule(pick=st.integers(0, 99), lose=LOST)
    def answer_arrives(self, pick, lose):
        member, epoch, want, total = self.back[pick % len(self.back)]
        if self.stalled[member]:
            return  # it waits in the socket until the member wakes
        self.back.remove((member, epoch, want, total))
        if not lose:
            self.budgets[member].record_claim(epoch, want, total)

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.74, 1.0, 4.0, 8.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(member=st.integers(0, 4))
    def stall_or_wake(self, member):
        if member < len(self.budgets):
            self.stalled[member] = not self.stalled[member]

    @invariant()
    def parts_in_use_stay_within_the_whole(self):
        if not hasattr(self, "budgets"):
            return
        used = [b.usable(self.clock(m)) for m, b in enumerate(self.budgets) if not self.stalled[m]]
        assert sum(used) <= WHOLE + 1e-6, (self.now, used)


Claims.TestCase.settings = settings(max_examples=1000, stateful_step_count=30, deadline=None, derandomize=True)
test_claims_never_sum_above_the_whole = Claims.TestCase


def test_clocks_apart_by_more_than_twice_the_margin_can_sum_above_the_whole():
    """The bound is real: a clock 2 m ahead uses the next epoch while another still uses this one."""
    early, late = Budget("q", WHOLE, LEASE_S, MARGIN_S), Budget("q", WHOLE, LEASE_S, MARGIN_S)
    late.record_claim(10, 60, 60)
    early.record_claim(11, 60, 60)
    now = 110.0 - MARGIN_S - 0.01
    assert late.usable(now) + early.usable(now + 2 * MARGIN_S + 0.02) == 120


S = 1_000_000_000
RATES = {"calls": 50.0, "retries": 0.0}


def fleet_of(cuts, floor, room=0):
    """Members that hold [cuts[k], cuts[k+1]) of epoch 1: ten seconds, less half a second on each side."""
    members = len(cuts) - 1
    out = [BudgetShares(me, members, 10 * S, floor, dict(RATES), room) for me in range(members)]
    for parts, low, high in zip(out, cuts, cuts[1:], strict=False):
        parts.hold(low, high, 10 * S + S // 2, 20 * S - S // 2)
    return out


CUTS = st.lists(st.floats(0, 1), min_size=1, max_size=12).map(lambda c: [0.0, *sorted(c)])


@settings(max_examples=200, derandomize=True, deadline=None)
@given(CUTS, st.floats(0, 1), st.lists(st.tuples(st.integers(0, 11), st.integers(0, 600)), max_size=300))
def test_what_members_take_of_a_rate_never_passes_rate_times_time(cuts, floor, asks):
    fleet, now, taken = fleet_of(cuts, floor), 10 * S, 0
    for member, wait_ms in asks:
        now += wait_ms * S // 1000
        if now >= 20 * S:
            break
        taken += fleet[member % len(fleet)].take("calls", now)
        assert taken <= 50 * (now - 10 * S) / S


@settings(max_examples=200, derandomize=True, deadline=None)
@given(CUTS, st.floats(0, 1), st.integers(1, 40), st.integers(0, 1000))
def test_slots_of_a_server_sum_to_no_more_than_its_room(cuts, floor, room, server):
    fleet = fleet_of(cuts, floor, room)
    assert sum(p.slots(server, 15 * S) for p in fleet) <= room
    whole = fleet_of([*cuts[:-1], 1.0], floor, room)
    assert sum(p.slots(server, 15 * S) for p in whole) == room or cuts[:-1] == []


def test_a_part_ends_with_its_lease_and_nothing_is_saved_up():
    """Alone with half of the claims and no floor: 25 a second, from the lease's start to its end."""
    alone = fleet_of([0.0, 0.5], 0.0)[0]

    def burst(at):
        return sum(alone.take("calls", int(at * S)) for _ in range(500))

    got = [burst(at) for at in (10.4, 11.5, 11.5, 19.4, 19.5, 25)]
    assert got == [0, 25, 0, 197, 0, 0]
    assert alone.take("retries", 25 * S) and alone.take("unheard of", 25 * S)  # not divided
    alone.start_epoch(20 * S)
    assert alone.ended == [EndedEpoch(1, {"calls": Spending(222.0, 500.0)})]


def test_the_floor_goes_on_without_a_lease_and_by_server():
    idle = BudgetShares(1, 4, 10 * S, 0.4, {"cold": 20.0})
    got = [
        sum(idle.take("cold", 15 * S, server, size) for _ in range(99))
        for server, size in ((1, 1.0), (2, 0.5), (2, 0.5))
    ]
    assert got == [10, 5, 0]  # a tenth of the whole for five seconds; half of it at half warmth; spent


@pytest.mark.parametrize(
    "told, members, beat", [({}, 200, 1.0), ({"calls_per_s": 810.0}, 200, 7.41), ({"calls_per_s": 810.0}, 5, 1.0)]
)
def test_heartbeats_of_a_large_fleet_take_a_tenth_of_the_counters_calls(told, members, beat):
    assert Budgets(**told).beat(members) == pytest.approx(beat, abs=0.01)
