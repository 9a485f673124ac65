"""Shares of fleet-wide budgets: claims on a model of the counter with lost or late messages, stalls and clock skew."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from mapleline.budgets import Budget, BudgetShares, granted
from mapleline.budgets.shares import EndedEpoch, Spending
from mapleline.settings.own import Budgets

UNITS_PER_EPOCH, LEASE_S, MARGIN_S = 100.0, 10.0, 0.75
SKEW_SHARES = st.sampled_from([0, 0.3, 0.6, 1])  # of the largest skew
IS_LOST = st.sampled_from([False, False, False, True])  # one message in four is lost


@pytest.mark.parametrize(
    "want, total, part", [(30, 30, 30), (30, 90, 30), (30, 110, 20), (30, 130, 0), (30, 500, 0), (0, 100, 0)]
)
def test_a_claim_is_granted_what_earlier_claims_left(want, total, part):
    assert granted(want, total, UNITS_PER_EPOCH) == part


@pytest.mark.parametrize("now, epoch_part", [(10.0, 0), (10.74, 0), (10.75, 40), (19.24, 40), (19.25, 0)])
def test_a_grant_is_usable_only_during_its_lease(now, epoch_part):
    budget = Budget("q", UNITS_PER_EPOCH, LEASE_S, MARGIN_S)
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
def test_a_member_claims_in_proportion_to_its_demand(demand, demands, members, want):
    assert Budget("q", UNITS_PER_EPOCH, LEASE_S, MARGIN_S).claim_size(demand, demands, members) == want


class Claims(RuleBasedStateMachine):
    """Members claim on one counter; messages are lost, reordered or late, members stall, and clocks differ.

    At every instant the grants in use, each by its member's own clock, add up to no more than the budget.
    """

    max_skew_s = MARGIN_S * 2 * 0.99

    @initialize(
        members=st.integers(2, 5), skew_shares=st.lists(SKEW_SHARES, min_size=5, max_size=5), now=st.floats(108, 110)
    )
    # near the end of an epoch, where clock skew matters
    def start(self, members, skew_shares, now):
        self.now = now
        self.skews_s = [share * self.max_skew_s for share in skew_shares[:members]]
        self.budgets = [Budget("q", UNITS_PER_EPOCH, LEASE_S, MARGIN_S) for _ in range(members)]
        self.stalled = [False] * members
        self.totals: dict[int, float] = {}
        self.claims_in_flight: list[tuple[int, int, float]] = []  # member, epoch, units
        self.answers_in_flight: list[tuple[int, int, float, float]] = []  # member, epoch, units, total

    def clock(self, member):
        return self.now + self.skews_s[member]

    @rule(member=st.integers(0, 4), ahead=st.integers(0, 1), want=st.floats(0, UNITS_PER_EPOCH))
    def claim(self, member, ahead, want):
        if member < len(self.budgets) and not self.stalled[member]:
            epoch = int(self.clock(member) // LEASE_S) + ahead
            self.claims_in_flight.append((member, epoch, want))

    @precondition(lambda self: self.claims_in_flight)
    @rule(pick=st.integers(0, 99), is_lost=IS_LOST)
    def counter_adds(self, pick, is_lost):
        member, epoch, want = self.claims_in_flight.pop(pick % len(self.claims_in_flight))
        if is_lost:
            return
        total = self.totals[epoch] = self.totals.get(epoch, 0.0) + want
        self.answers_in_flight.append((member, epoch, want, total))

    @precondition(lambda self: self.answers_in_flight)
    @rule(pick=st.integers(0, 99), is_lost=IS_LOST)
    def answer_arrives(self, pick, is_lost):
        member, epoch, want, total = self.answers_in_flight[pick % len(self.answers_in_flight)]
        if self.stalled[member]:
            return  # the answer stays in the socket until the member resumes
        self.answers_in_flight.remove((member, epoch, want, total))
        if not is_lost:
            self.budgets[member].record_claim(epoch, want, total)

    @rule(seconds=st.sampled_from([0.01, 0.3, 0.74, 1.0, 4.0, 8.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule(member=st.integers(0, 4))
    def stall_or_resume(self, member):
        if member < len(self.budgets):
            self.stalled[member] = not self.stalled[member]

    @invariant()
    def grants_in_use_stay_within_the_budget(self):
        if not hasattr(self, "budgets"):
            return
        used = [
            budget.usable(self.clock(member)) for member, budget in enumerate(self.budgets) if not self.stalled[member]
        ]
        assert sum(used) <= UNITS_PER_EPOCH + 1e-6, (self.now, used)


Claims.TestCase.settings = settings(max_examples=1000, stateful_step_count=30, deadline=None, derandomize=True)
test_grants_never_exceed_the_budget = Claims.TestCase


def test_grants_can_exceed_the_budget_if_clocks_differ_by_more_than_twice_the_margin():
    """The bound is tight: a member whose clock is more than two margins ahead uses the next epoch's grant too early."""
    early, late = Budget("q", UNITS_PER_EPOCH, LEASE_S, MARGIN_S), Budget("q", UNITS_PER_EPOCH, LEASE_S, MARGIN_S)
    late.record_claim(10, 60, 60)
    early.record_claim(11, 60, 60)
    now = 110.0 - MARGIN_S - 0.01
    assert late.usable(now) + early.usable(now + 2 * MARGIN_S + 0.02) == 120


S = 1_000_000_000
RATES = {"calls": 50.0, "retries": 0.0}


def fleet_of(bounds, floor, limit=0):
    """Return the shares of members that hold [bounds[k], bounds[k+1]) in epoch 1: 10 s, less 0.5 s at each end."""
    members = len(bounds) - 1
    fleet = [BudgetShares(member, members, 10 * S, floor, dict(RATES), limit) for member in range(members)]
    for shares, low, high in zip(fleet, bounds, bounds[1:], strict=False):
        shares.hold(low, high, 10 * S + S // 2, 20 * S - S // 2)
    return fleet


INTERVAL_BOUNDS = st.lists(st.floats(0, 1), min_size=1, max_size=12).map(lambda c: [0.0, *sorted(c)])


@settings(max_examples=200, derandomize=True, deadline=None)
@given(INTERVAL_BOUNDS, st.floats(0, 1), st.lists(st.tuples(st.integers(0, 11), st.integers(0, 600)), max_size=300))
def test_units_taken_of_a_rate_never_exceed_rate_times_time(bounds, floor, asks):
    fleet, now, taken = fleet_of(bounds, floor), 10 * S, 0
    for member, wait_ms in asks:
        now += wait_ms * S // 1000
        if now >= 20 * S:
            break
        taken += fleet[member % len(fleet)].take("calls", now)
        assert taken <= 50 * (now - 10 * S) / S


@settings(max_examples=200, derandomize=True, deadline=None)
@given(INTERVAL_BOUNDS, st.floats(0, 1), st.integers(1, 40), st.integers(0, 1000))
def test_slots_of_a_server_never_exceed_its_limit(bounds, floor, limit, server):
    fleet = fleet_of(bounds, floor, limit)
    assert sum(p.slots(server, 15 * S) for p in fleet) <= limit
    whole = fleet_of([*bounds[:-1], 1.0], floor, limit)
    assert sum(p.slots(server, 15 * S) for p in whole) == limit or bounds[:-1] == []


def test_a_share_ends_with_its_lease_and_is_not_carried_over():
    """A single member with half of the claimed part and no floor: 25 units a second, from lease start to lease end."""
    shares = fleet_of([0.0, 0.5], 0.0)[0]

    def take_all(at_s):
        return sum(shares.take("calls", int(at_s * S)) for _ in range(500))

    taken = [take_all(at_s) for at_s in (10.4, 11.5, 11.5, 19.4, 19.5, 25)]
    assert taken == [0, 25, 0, 197, 0, 0]
    assert shares.take("retries", 25 * S) and shares.take("unheard of", 25 * S)  # not divided
    shares.start_epoch(20 * S)
    assert shares.ended == [EndedEpoch(1, {"calls": Spending(222.0, 500.0)})]


def test_the_floor_needs_no_lease_and_is_kept_per_server():
    shares = BudgetShares(1, 4, 10 * S, 0.4, {"cold": 20.0})
    taken = [
        sum(shares.take("cold", 15 * S, server, size) for _ in range(99))
        for server, size in ((1, 1.0), (2, 0.5), (2, 0.5))
    ]
    assert taken == [10, 5, 0]  # a tenth of the rate for 5 s; half of it at half the rate; used up


@pytest.mark.parametrize(
    "told, members, beat", [({}, 200, 1.0), ({"calls_per_s": 810.0}, 200, 7.41), ({"calls_per_s": 810.0}, 5, 1.0)]
)
def test_heartbeats_of_a_large_fleet_use_a_tenth_of_the_counter_calls(told, members, beat):
    assert Budgets(**told).beat(members) == pytest.approx(beat, abs=0.01)
