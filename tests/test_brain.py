"""The decision module: the estimate against hand-computed values, each rule, and regressions."""

import pytest
from helpers import MS, IngressDriver, S, only

from mapleline.policy import interface

Result = interface.Result


def answer_call(ingress, call, total, result=Result.OK, took_ns=2 * MS):
    return ingress.handle(interface.Counted(call.name, result, total, took_ns))


def ask(ingress, **options):
    request, actions = ingress.arrive(plan=options.pop("plan", 0), **options)
    return request, only(actions, interface.Count)


# --- the two-window estimate; limit 8 units, window 4 s


def test_one_call_carries_the_units():
    _, calls = ask(IngressDriver(), units=3.0)
    assert [call.amount for call in calls] == [3.0]


def test_admits_up_to_the_limit_and_refuses_above_it():
    ingress = IngressDriver()
    # At the last instant of the window, nothing of the previous one counts.
    ingress.handle(interface.Timer(2), wait_ns=4 * S - 1)
    _, (call,) = ask(ingress)
    assert only(answer_call(ingress, call, 9.0), interface.Send)  # 8 before this request: at the limit
    _, (call,) = ask(ingress)
    assert only(answer_call(ingress, call, 10.5), interface.Refuse)  # 9.5 before it


def test_the_previous_window_is_weighted_by_the_share_left_of_the_current_one():
    for before, sent in ((4.0, True), (4.5, False)):  # 8 x 1/2 + before against 8
        ingress = IngressDriver()
        _, (call,) = ask(ingress)
        answer_call(ingress, call, 8.0)
        _, (call,) = ask(ingress, wait_ns=6 * S)  # half way through the next window
        ingress.brain.customers[5].burst = 0.0
        actions = answer_call(ingress, call, before + 1.0)
        assert bool(only(actions, interface.Send)) is sent


@pytest.mark.parametrize(
    ("seen", "asking", "sent"),
    [
        (0, 1.1, True),  # its bucket was full again by the next window
        (4 * S - 100 * MS, 1.1, False),  # its bucket was not full again
        (0, 0.9, False),  # with fewer calls than requests, the totals are too old
    ],
)
def test_a_saved_burst_admits_beyond_the_two_windows(seen, asking, sent):
    """The windows forget unused quota: on quiet days a quarter of the requests were rejected within their quota."""
    ingress = IngressDriver()
    _, (call,) = ask(ingress, wait_ns=seen)
    answer_call(ingress, call, 6.0)
    _, (call,) = ask(ingress, wait_ns=6 * S - seen)  # half way through the next window
    ingress.brain.sampling = asking
    actions = answer_call(ingress, call, 7.0)  # 6 x 1/2 + 6 against 8
    assert bool(only(actions, interface.Send)) is sent


def test_a_call_of_a_customer_over_its_limit_adds_nothing():
    ingress = IngressDriver()
    ingress.handle(interface.Timer(2), wait_ns=4 * S - 1)
    _, (call,) = ask(ingress, units=2.0)
    assert only(answer_call(ingress, call, 20.0), interface.Refuse)
    assert ask(ingress, units=2.0)[1][0].amount <= 0.0


def test_the_next_call_adds_the_difference_to_the_units_used():
    ingress = IngressDriver()
    request, (call,) = ask(ingress, units=2.0)
    (send,) = only(answer_call(ingress, call, 2.0), interface.Send)
    ingress.end_attempt(request, send.server, Result.OK, units=3.0)
    assert ask(ingress, units=1.0)[1][0].amount == 2.0


# --- the counter fails


def test_the_wait_for_a_silent_counter_is_short():
    ingress = IngressDriver(counter_timeout_ns=100 * MS)
    _, actions = ingress.arrive(plan=0)
    (wait,) = [timer for timer in only(actions, interface.SetTimer) if timer.token % 8 == 1]
    assert wait.after_ns <= S / 16
    assert only(ingress.handle(interface.Timer(wait.token), wait_ns=wait.after_ns), interface.Send)


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.NO_CONNECTION, Result.REJECTED])
def test_a_counter_that_is_down_gets_few_calls_and_admission_stays_limited(result):
    ingress, calls, sends = IngressDriver(), 0, 0
    for _ in range(400):
        request, actions = ingress.arrive(plan=0, wait_ns=10 * MS)
        for call in only(actions, interface.Count):
            calls += 1
            actions += ingress.handle(interface.Counted(call.name, result, 0.0, 50 * MS))
        for send in only(actions, interface.Send):
            sends += 1
            ingress.end_attempt(request, send.server, Result.OK)
    assert 0 < calls < 120
    assert 1 <= sends <= 12  # half of 8 units in a window and in its start, not 400


@pytest.mark.parametrize("emptied", [True, False])
def test_a_counter_that_lost_its_value_gets_this_ingresss_units_again(emptied):
    """The counter held six units of this ingress and three of others; then it holds only the last, or still five."""
    ingress = IngressDriver()
    for total in (2.0, 5.0, 9.0):
        _, (call,) = ask(ingress, units=2.0, wait_ns=MS)
        answer_call(ingress, call, total)
    _, (call,) = ask(ingress, wait_ns=MS)
    sent = only(answer_call(ingress, call, 1.0 if emptied else 5.0), interface.Send)
    assert bool(sent) is not emptied  # the last known total holds: 9 units of 8 before this request, or 4
    _, (call,) = ask(ingress, wait_ns=MS)
    assert call.amount == (
        6.0 if emptied else 2.0
    )  # its six again; otherwise the one admitted by a call that only read, and this one


def test_an_answer_from_the_previous_window_is_no_total_of_the_current_one():
    """If it were, the counter would seem to have lost its value, and old units would be added to the new window."""

    def asked(**options):
        ingress.brain.sampling = 9.0  # each request calls
        return ask(ingress, **options)[1][0]

    ingress = IngressDriver()
    call = asked(units=6.0)
    answer_call(ingress, call, 7.0)
    late = asked(units=2.0, wait_ns=4 * S - MS)
    new = asked(wait_ns=2 * MS)
    answer_call(ingress, new, 1.0)
    answer_call(ingress, late, 9.0)
    usage = ingress.brain.customers[5]
    assert (usage.added, usage.total, usage.pending, usage.floor) == (1.0, 1.0, 0.0, 0.0)
    ingress.now += S
    call = asked()
    ingress.now += 4 * S  # it answers in the next window, without a request between
    answer_call(ingress, call, 2.0)
    assert usage.added == usage.total == 0.0


def test_after_an_outage_the_total_is_not_taken_for_all_admitted_units():
    """This ingress has half of the customer's use: one unit that it admitted without an answer stands for two."""
    ingress = IngressDriver()
    _, (call,) = ask(ingress, units=3.0)
    answer_call(ingress, call, 6.0)
    usage, ingress.brain.sampling = ingress.brain.customers[5], 0.0
    for _ in range(2):
        ask(ingress, wait_ns=MS)
    assert usage.unseen == 1.0  # the second no longer fits
    ingress.brain.sampling, ingress.brain.down_at = 9.0, ingress.now
    _, (call,) = ask(ingress, wait_ns=MS)
    answer_call(ingress, call, 6.0 + call.amount)
    assert usage.total >= 6.0 + 1.0 / usage.share  # without `floor` it would be 7.0, with its own unit only


@pytest.mark.parametrize("result", [Result.TIMEOUT, Result.ERROR, Result.RESET])
def test_a_damaged_answer_is_neither_added_again_nor_taken_for_load(result):
    """The amount has been added.  A fault once halved the sampling probability with each such answer."""
    ingress = IngressDriver()
    for _ in range(5):
        _, (call,) = ask(ingress, units=1.0)
        assert call.amount == 1.0
        answer_call(ingress, call, 0.0, result)
    assert ingress.brain.sampling == 1.5
    _, (call,) = ask(ingress, units=1.0)
    answer_call(ingress, call, 0.0, Result.TIMEOUT, took_ns=50 * MS)
    assert ingress.brain.sampling < 1.5  # an answer that does not come in time cuts it


@pytest.mark.parametrize(("took", "grows"), [(2, True), (15, True), (25, False), (40, False)])
def test_the_sampling_probability_follows_the_counters_answer_times(took, grows):
    """A slow counter was idle a third of the time when only answers within a quarter of the wait raised it."""
    # The wait for the counter is 40 ms.
    ingress = IngressDriver(counter_timeout_ns=200 * MS, classes=[interface.RequestClass(640 * MS, 4 * S)])
    ingress.brain.sampling = start = 0.5
    for _ in range(20):
        for call in ask(ingress, wait_ns=10 * MS)[1]:
            answer_call(ingress, call, 1.0, took_ns=took * MS)
    assert (ingress.brain.sampling > start) is grows
    assert 0.2 < ingress.brain.sampling  # an answer that arrives never halves it


def test_a_counter_answer_after_the_requests_end_sends_nothing():
    ingress = IngressDriver()
    request, (call,) = ask(ingress)
    ingress.handle(interface.Left(request))
    assert not only(answer_call(ingress, call, 1.0), interface.Send)


def test_no_timer_is_set_where_the_calls_own_timeout_ends_the_wait():
    ingress = IngressDriver()
    _, actions = ingress.arrive(plan=0)
    assert not [timer for timer in only(actions, interface.SetTimer) if timer.token % 8 == 1]
    (call,) = only(actions, interface.Count)
    assert only(answer_call(ingress, call, 0.0, Result.TIMEOUT, took_ns=50 * MS), interface.Send)


@pytest.mark.parametrize("before", [9.0, 30.0])
def test_a_rejection_advises_when_the_estimate_will_be_within_the_limit(before):
    ingress = IngressDriver(max_retry_after_ns=60 * S)
    _, (call,) = ask(ingress)
    answer_call(ingress, call, 8.0)
    _, (call,) = ask(ingress, wait_ns=5 * S)  # a quarter into the next window: 8 x 3/4 of the previous one count
    ingress.brain.sampling = 0.9  # only the two windows count
    (refusal,) = only(answer_call(ingress, call, 1.0 + min(before, 4.0) if before < 10 else before), interface.Refuse)
    assert refusal.over_quota
    # 6 + 4 exceed 8: after another quarter of the window, only 4 of the previous total count.
    assert refusal.retry_in_ns == pytest.approx(S if before < 10 else 3 * S, abs=MS)


def test_advice_stays_within_the_settings():
    ingress = IngressDriver(max_retry_after_ns=2 * S)
    _, (call,) = ask(ingress)
    (refusal,) = only(answer_call(ingress, call, 30.0), interface.Refuse)
    assert 0 < refusal.retry_in_ns <= 2 * S


# --- attempts and final answers


def test_an_unsafe_request_is_retried_only_if_it_never_ran():
    ingress = IngressDriver()
    request, actions = ingress.arrive(class_id=1)
    (send,) = only(actions, interface.Send)
    (again,) = only(ingress.end_attempt(request, send.server, Result.NO_CONNECTION), interface.Send)
    actions = ingress.end_attempt(request, again.server, Result.ERROR, attempt=1)
    assert only(actions, interface.Fail) and not only(actions, interface.Send) + only(actions, interface.Refuse)


@pytest.mark.parametrize(
    ("scope", "wait", "again"),
    [(interface.Scope.ALL, 0, True), (interface.Scope.ALL, 2 * S, False), (interface.Scope.CELL, 0, False)],
)
def test_a_keyed_request_is_retried_only_while_all_servers_discard_the_repeat(scope, wait, again):
    ingress = IngressDriver(classes=[interface.RequestClass(S, 4 * S, interface.Effect.KEYED, scope, 2 * S)])
    request, actions = ingress.arrive()
    actions = ingress.end_attempt(request, only(actions, interface.Send)[0].server, Result.ERROR, wait_ns=wait)
    assert bool(only(actions, interface.Send)) is again and bool(only(actions, interface.Fail)) is not again


def test_a_safe_request_is_retried_at_another_server():
    ingress = IngressDriver()
    request, actions = ingress.arrive()
    (send,) = only(actions, interface.Send)
    (again,) = only(ingress.end_attempt(request, send.server, Result.ERROR), interface.Send)
    assert again.server != send.server


def test_the_deadline_timer_answers_once_before_the_latency_target():
    ingress = IngressDriver()
    request, actions = ingress.arrive(class_id=1)
    (guard,) = [timer for timer in only(actions, interface.SetTimer) if timer.token % 8 == 0]
    assert guard.after_ns < 2 * S
    actions = ingress.handle(interface.Timer(guard.token), wait_ns=guard.after_ns)
    assert only(actions, interface.Fail) and only(actions, interface.Cancel)
    assert not ingress.handle(interface.Timer(guard.token))


def test_first_tries_with_a_short_ttl_are_not_taken_for_late_ones():
    ingress = IngressDriver()
    assert only(ingress.arrive(ttl_ns=4 * S)[1], interface.Send)
    assert only(ingress.arrive(ttl_ns=2 * S + 1)[1], interface.Send)
    assert only(ingress.arrive(ttl_ns=2 * S, is_retry=True)[1], interface.Send)  # same TTL: not known to be late
    assert only(
        ingress.arrive(ttl_ns=2 * S + S // 2, is_retry=True)[1], interface.Refuse
    )  # 1.5 s of 4 s gone, target 1 s


def test_no_server_is_refused():
    request, actions = IngressDriver(servers=0).arrive()
    assert only(actions, interface.Refuse)


def test_events_with_unknown_numbers_are_ignored():
    ingress = IngressDriver()
    for event in (
        interface.Outcome(9, 9, 0, 1, Result.OK, True),
        interface.Timer(72),
        interface.Counted(1, Result.OK, 1.0, 1),
        interface.Left(3),
        interface.Begun(3, 0, 1),
        interface.Probed(1, Result.OK),
        interface.Told(1, b""),
    ):
        assert ingress.handle(event) == []


def test_actions_that_the_settings_forbid_are_not_returned():
    ingress = IngressDriver(may_count=False, may_cancel=False)
    seen = []
    for n in range(200):
        request, actions = ingress.arrive(plan=n % 3, wait_ns=5 * MS)
        seen += actions
        seen += ingress.handle(interface.Timer(request * 8), wait_ns=MS)
    assert not [
        action
        for action in seen
        if type(action) in (interface.Count, interface.Cancel, interface.Probe, interface.Tell)
    ]


# --- servers


def test_drained_and_gone_servers_get_nothing_new():
    ingress = IngressDriver(servers=2)
    ingress.handle(interface.ServerNews(interface.News.CHANGES, [interface.Server(1, interface.ServerState.DRAINING)]))
    assert {s.server for _ in range(8) for s in only(ingress.arrive(wait_ns=MS)[1], interface.Send)} == {2}
    ingress.handle(interface.ServerNews(interface.News.FULL, [interface.Server(1, interface.ServerState.GONE)]))
    assert not only(ingress.arrive()[1], interface.Send)


def test_a_server_that_fails_fast_loses_its_load_and_regains_it_by_trials():
    ingress, bad = IngressDriver(), 0
    for _ in range(300):
        request, actions = ingress.arrive(wait_ns=10 * MS)
        for send in only(actions, interface.Send):
            failing = send.server == 2
            bad += failing
            more = ingress.end_attempt(
                request, send.server, Result.ERROR if failing else Result.OK, took_ns=MS if failing else 100 * MS
            )
            for again in only(more, interface.Send):
                ingress.end_attempt(request, again.server, Result.OK, attempt=1)
    assert 1 <= bad < 15
    back = 0
    for n in range(4000):
        if n % 50 == 0:
            ingress.handle(interface.Timer(2))
        request, actions = ingress.arrive(wait_ns=10 * MS)
        for send in only(actions, interface.Send):
            back += send.server == 2
            ingress.end_attempt(request, send.server, Result.OK)
    assert back > 40


def test_a_full_server_is_not_tried_again_at_once():
    ingress = IngressDriver(servers=1)
    request, actions = ingress.arrive()
    ingress.end_attempt(request, 1, Result.REJECTED)
    assert only(ingress.arrive(wait_ns=MS)[1], interface.Refuse)
    assert only(ingress.arrive(wait_ns=S)[1], interface.Send)


def test_late_answers_cut_the_capacity_down_to_its_minimum():
    ingress = IngressDriver()
    for _ in range(200):
        request, actions = ingress.arrive(wait_ns=5 * MS)
        for send in only(actions, interface.Send):
            ingress.end_attempt(request, send.server, Result.OK, took_ns=900 * MS)
    assert ingress.brain.capacity == pytest.approx(2.0)  # one for each of 6 servers, over 3 ingresses
    assert only(ingress.arrive()[1], interface.Send)


def test_expired_state_is_deleted():
    ingress = IngressDriver()
    for n in range(1000):
        request, actions = ingress.arrive(plan=1, customer=n, wait_ns=MS)
        for call in only(actions, interface.Count):
            for more in only(answer_call(ingress, call, 1.0), interface.Count):
                answer_call(ingress, more, 0.0)
        if request in ingress.brain.requests:
            ingress.end_attempt(request, 1, Result.OK)
    for server in range(1, 7):
        ingress.brain.servers[server].attempts.clear()
    ingress.handle(interface.ServerNews(interface.News.FULL, [interface.Server(9)]))
    ingress.handle(interface.Timer(2), wait_ns=120 * S)
    brain = ingress.brain
    assert not brain.customers and not brain.requests and not brain.calls and list(brain.servers) == [9]


def test_rejections_of_a_draining_server_cost_no_capacity():
    """A release of 24 servers cost nine tenths of the capacity: each rejected before the list showed it draining."""
    ingress = IngressDriver(servers=1)
    capacity = ingress.brain.capacity
    costs = []
    for _ in range(3):
        request, actions = ingress.arrive(wait_ns=5 * S)  # after the server's backoff
        (send,) = only(actions, interface.Send)
        before = ingress.brain.capacity
        ingress.end_attempt(request, send.server, interface.Result.REJECTED, took_ns=1 * MS)
        costs.append(before - ingress.brain.capacity)
    assert costs[0] > 0
    ingress.handle(interface.ServerNews(interface.News.CHANGES, [interface.Server(1, interface.ServerState.DRAINING)]))
    assert ingress.brain.capacity == capacity


def test_a_full_server_that_answers_in_between_costs_capacity_each_time_for_good():
    ingress = IngressDriver(servers=1)
    ingress.brain.capacity = 10.0
    for _ in range(2):
        request, actions = ingress.arrive(wait_ns=5 * S)
        before = ingress.brain.capacity
        ingress.end_attempt(request, 1, interface.Result.REJECTED, took_ns=1 * MS)
        assert ingress.brain.capacity < before
        request, actions = ingress.arrive(wait_ns=5 * S)
        ingress.end_attempt(request, 1, interface.Result.OK, took_ns=100 * MS)
    lost = ingress.brain.capacity
    ingress.handle(interface.ServerNews(interface.News.CHANGES, [interface.Server(1, interface.ServerState.DRAINING)]))
    assert ingress.brain.capacity == lost
