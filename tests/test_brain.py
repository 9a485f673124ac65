"""The module without the bench: the estimate by hand, each rule, each failure found."""

import pytest
from helpers import MS, Gateway, S, only

from mapleline.policy import interface as i

R = i.Result


def counted(g, call, total, result=R.OK, took=2 * MS):
    return g.do(i.Counted(call.name, result, total, took))


def ask(g, **kw):
    rid, acts = g.arrive(plan=kw.pop("plan", 0), **kw)
    return rid, only(acts, i.Count)


# --- the two-window estimate; limit 8 units, window 4 s


def test_one_call_carries_the_units():
    _, calls = ask(Gateway(), units=3.0)
    assert [c.amount for c in calls] == [3.0]


def test_admits_up_to_the_limit_and_refuses_above_it():
    g = Gateway()
    g.do(i.Timer(2), wait=4 * S - 1)  # the window's last instant: nothing of the previous one counts
    _, (call,) = ask(g)
    assert only(counted(g, call, 9.0), i.Send)  # 8 before this request: at the limit
    _, (call,) = ask(g)
    assert only(counted(g, call, 10.5), i.Refuse)  # 9.5 before it


def test_the_previous_window_counts_by_the_share_left():
    for before, sent in ((4.0, True), (4.5, False)):  # 8 x 1/2 + before against 8
        g = Gateway()
        _, (call,) = ask(g)
        counted(g, call, 8.0)
        _, (call,) = ask(g, wait=6 * S)  # half way through the next window
        g.brain.customers[5].saved = 0.0
        acts = counted(g, call, before + 1.0)
        assert bool(only(acts, i.Send)) is sent


@pytest.mark.parametrize(
    ("seen", "asking", "sent"),
    [
        (0, 1.1, True),  # its store was full again by the next window
        (4 * S - 100 * MS, 1.1, False),  # and here not
        (0, 0.9, False),  # with fewer calls than tries the totals are too old to go by
    ],
)
def test_a_burst_saved_up_counts_beside_the_two_windows(seen, asking, sent):
    """On quiet days a quarter of the tries were refused with room in their quota: windows forget it."""
    g = Gateway()
    _, (call,) = ask(g, wait=seen)
    counted(g, call, 6.0)
    _, (call,) = ask(g, wait=6 * S - seen)  # half way through the next window
    g.brain.asking = asking
    acts = counted(g, call, 7.0)  # 6 x 1/2 + 6 against 8
    assert bool(only(acts, i.Send)) is sent


def test_known_excess_only_reads():
    g = Gateway()
    g.do(i.Timer(2), wait=4 * S - 1)
    _, (call,) = ask(g, units=2.0)
    assert only(counted(g, call, 20.0), i.Refuse)
    assert ask(g, units=2.0)[1][0].amount <= 0.0


def test_settled_difference_rides_on_the_next_add():
    g = Gateway()
    rid, (call,) = ask(g, units=2.0)
    (send,) = only(counted(g, call, 2.0), i.Send)
    g.end(rid, send.server, R.OK, units=3.0)
    assert ask(g, units=1.0)[1][0].amount == 2.0


# --- the counter fails


def test_silent_counter_answers_before_the_client_suffers():
    g = Gateway(counter_timeout_ns=100 * MS)
    _, acts = g.arrive(plan=0)
    (wait,) = [t for t in only(acts, i.SetTimer) if t.token % 8 == 1]
    assert wait.after_ns <= S / 16
    assert only(g.do(i.Timer(wait.token), wait=wait.after_ns), i.Send)


@pytest.mark.parametrize("result", [R.TIMEOUT, R.NO_CONNECTION, R.REJECTED])
def test_dead_counter_gets_few_trials_and_does_not_open_the_door(result):
    g, calls, sends = Gateway(), 0, 0
    for _ in range(400):
        rid, acts = g.arrive(plan=0, wait=10 * MS)
        for call in only(acts, i.Count):
            calls += 1
            acts += g.do(i.Counted(call.name, result, 0.0, 50 * MS))
        for send in only(acts, i.Send):
            sends += 1
            g.end(rid, send.server, R.OK)
    assert 0 < calls < 120
    assert 1 <= sends <= 12  # a half of 8 a window and its start, not 400


@pytest.mark.parametrize("emptied", [True, False])
def test_an_emptied_counter_gets_back_what_this_gateway_had_put_there(emptied):
    """Six units of its own and three of others; then only the last one stands there, or five still do."""
    g = Gateway()
    for total in (2.0, 5.0, 9.0):
        _, (call,) = ask(g, units=2.0, wait=MS)
        counted(g, call, total)
    _, (call,) = ask(g, wait=MS)
    sent = only(counted(g, call, 1.0 if emptied else 5.0), i.Send)
    assert bool(sent) is not emptied  # as full as it was known to be: 9 of 8 before this one, or 4
    _, (call,) = ask(g, wait=MS)
    assert call.amount == (6.0 if emptied else 2.0)  # its six again; else the one let in by a read, and this


def test_an_answer_from_the_window_before_is_no_total_of_this_one():
    """Else the next totals look like an emptied counter's, and units of the old window go to the new one."""

    def asked(**kw):
        g.brain.asking = 9.0  # no lot
        return ask(g, **kw)[1][0]

    g = Gateway()
    call = asked(units=6.0)
    counted(g, call, 7.0)
    late = asked(units=2.0, wait=4 * S - MS)
    new = asked(wait=2 * MS)
    counted(g, new, 1.0)
    counted(g, late, 9.0)
    c = g.brain.customers[5]
    assert (c.put, c.known, c.owed, c.least) == (1.0, 1.0, 0.0, 0.0)
    g.now += S
    call = asked()
    g.now += 4 * S  # it answers an edge later, with nobody having looked since
    counted(g, call, 2.0)
    assert c.put == c.known == 0.0


def test_after_a_silence_the_total_is_not_taken_for_all_that_was_let_in():
    """One unit let in unseen by this gateway, whose part is a half, means two in all."""
    g = Gateway()
    _, (call,) = ask(g, units=3.0)
    counted(g, call, 6.0)
    c, g.brain.asking = g.brain.customers[5], 0.0
    for _ in range(2):
        ask(g, wait=MS)
    assert c.unseen == 1.0  # the second no longer fits
    g.brain.asking, g.brain.down_at = 9.0, g.now
    _, (call,) = ask(g, wait=MS)
    counted(g, call, 6.0 + call.amount)
    assert c.known >= 6.0 + 1.0 / c.share  # without `least` 7.0: its own one only


@pytest.mark.parametrize("result", [R.TIMEOUT, R.ERROR, R.RESET])
def test_an_answer_spoilt_on_its_way_is_neither_added_again_nor_taken_for_load(result):
    """The amount was added; each such answer also halved the share of tries that call the counter."""
    g = Gateway()
    for _ in range(5):
        _, (call,) = ask(g, units=1.0)
        assert call.amount == 1.0
        counted(g, call, 0.0, result)
    assert g.brain.asking == 1.5
    _, (call,) = ask(g, units=1.0)
    counted(g, call, 0.0, R.TIMEOUT, took=50 * MS)
    assert g.brain.asking < 1.5  # one that did not come in time does


@pytest.mark.parametrize(("took", "grows"), [(2, True), (15, True), (25, False), (40, False)])
def test_the_share_of_tries_that_call_follows_the_wait_for_the_counter(took, grows):
    """It grew only on answers within a quarter of the patience: a slow counter stood idle for a third."""
    g = Gateway(counter_timeout_ns=200 * MS, classes=[i.RequestClass(640 * MS, 4 * S)])  # a patience of 40 ms
    g.brain.asking = start = 0.5
    for _ in range(20):
        for call in ask(g, wait=10 * MS)[1]:
            counted(g, call, 1.0, took=took * MS)
    assert (g.brain.asking > start) is grows
    assert 0.2 < g.brain.asking  # never by half for an answer that came


def test_answer_after_the_end_sends_nothing():
    g = Gateway()
    rid, (call,) = ask(g)
    g.do(i.Left(rid))
    assert not only(counted(g, call, 1.0), i.Send)


def test_the_calls_own_time_out_is_the_wait_where_it_is_no_longer():
    g = Gateway()
    _, acts = g.arrive(plan=0)
    assert not [t for t in only(acts, i.SetTimer) if t.token % 8 == 1]
    (call,) = only(acts, i.Count)
    assert only(counted(g, call, 0.0, R.TIMEOUT, took=50 * MS), i.Send)


@pytest.mark.parametrize("before", [9.0, 30.0])
def test_a_refusal_tells_when_the_estimate_will_be_down_at_the_limit(before):
    g = Gateway(max_retry_after_ns=60 * S)
    _, (call,) = ask(g)
    counted(g, call, 8.0)
    _, (call,) = ask(g, wait=5 * S)  # a quarter into the next window: 8 x 3/4 weigh
    g.brain.asking = 0.9  # nothing but the two windows counts
    (refusal,) = only(counted(g, call, 1.0 + min(before, 4.0) if before < 10 else before), i.Refuse)
    assert refusal.over_quota
    # 6 + 4 over 8: a quarter of the window more brings the previous total's part down to 4.
    assert refusal.retry_in_ns == pytest.approx(S if before < 10 else 3 * S, abs=MS)


def test_advice_stays_within_the_settings():
    g = Gateway(max_retry_after_ns=2 * S)
    _, (call,) = ask(g)
    (refusal,) = only(counted(g, call, 30.0), i.Refuse)
    assert 0 < refusal.retry_in_ns <= 2 * S


# --- attempts and final answers


def test_unsafe_goes_again_only_if_it_never_ran():
    g = Gateway()
    rid, acts = g.arrive(cls=1)
    (send,) = only(acts, i.Send)
    (again,) = only(g.end(rid, send.server, R.NO_CONNECTION), i.Send)
    acts = g.end(rid, again.server, R.ERROR, attempt=1)
    assert only(acts, i.Fail) and not only(acts, i.Send) + only(acts, i.Refuse)


@pytest.mark.parametrize(
    ("scope", "wait", "again"), [(i.Scope.ALL, 0, True), (i.Scope.ALL, 2 * S, False), (i.Scope.CELL, 0, False)]
)
def test_keyed_goes_again_only_while_all_servers_drop_the_repeat(scope, wait, again):
    g = Gateway(classes=[i.RequestClass(S, 4 * S, i.Effect.KEYED, scope, 2 * S)])
    rid, acts = g.arrive()
    acts = g.end(rid, only(acts, i.Send)[0].server, R.ERROR, wait=wait)
    assert bool(only(acts, i.Send)) is again and bool(only(acts, i.Fail)) is not again


def test_safe_goes_again_elsewhere():
    g = Gateway()
    rid, acts = g.arrive()
    (send,) = only(acts, i.Send)
    (again,) = only(g.end(rid, send.server, R.ERROR), i.Send)
    assert again.server != send.server


def test_guard_gives_the_one_answer_before_the_aim_passes():
    g = Gateway()
    rid, acts = g.arrive(cls=1)
    (guard,) = [t for t in only(acts, i.SetTimer) if t.token % 8 == 0]
    assert guard.after_ns < 2 * S
    acts = g.do(i.Timer(guard.token), wait=guard.after_ns)
    assert only(acts, i.Fail) and only(acts, i.Cancel)
    assert not g.do(i.Timer(guard.token))


def test_first_tries_with_short_patience_are_not_taken_for_late_ones():
    g = Gateway()
    assert only(g.arrive(ttl=4 * S)[1], i.Send)
    assert only(g.arrive(ttl=2 * S + 1)[1], i.Send)
    assert only(g.arrive(ttl=2 * S, repeat=True)[1], i.Send)  # same patience: tells nothing
    assert only(g.arrive(ttl=2 * S + S // 2, repeat=True)[1], i.Refuse)  # 1.5 s of 4 s gone, aim 1 s


def test_no_server_is_refused():
    rid, acts = Gateway(servers=0).arrive()
    assert only(acts, i.Refuse)


def test_unknown_things_are_ignored():
    g = Gateway()
    for ev in (
        i.Outcome(9, 9, 0, 1, R.OK, True),
        i.Timer(72),
        i.Counted(1, R.OK, 1.0, 1),
        i.Left(3),
        i.Begun(3, 0, 1),
        i.Probed(1, R.OK),
        i.Told(1, b""),
    ):
        assert g.do(ev) == []


def test_nothing_forbidden_is_sent():
    g = Gateway(may_count=False, may_cancel=False)
    seen = []
    for n in range(200):
        rid, acts = g.arrive(plan=n % 3, wait=5 * MS)
        seen += acts
        seen += g.do(i.Timer(rid * 8), wait=MS)
    assert not [a for a in seen if type(a) in (i.Count, i.Cancel, i.Probe, i.Tell)]


# --- servers


def test_drained_and_gone_servers_get_nothing_new():
    g = Gateway(servers=2)
    g.do(i.ServerNews(i.News.CHANGES, [i.Server(1, i.ServerState.DRAINING)]))
    assert {s.server for _ in range(8) for s in only(g.arrive(wait=MS)[1], i.Send)} == {2}
    g.do(i.ServerNews(i.News.FULL, [i.Server(1, i.ServerState.GONE)]))
    assert not only(g.arrive()[1], i.Send)


def test_fast_failures_lose_the_load_and_get_it_back_by_trials():
    g, bad = Gateway(), 0
    for _ in range(300):
        rid, acts = g.arrive(wait=10 * MS)
        for send in only(acts, i.Send):
            failing = send.server == 2
            bad += failing
            more = g.end(rid, send.server, R.ERROR if failing else R.OK, took=MS if failing else 100 * MS)
            for again in only(more, i.Send):
                g.end(rid, again.server, R.OK, attempt=1)
    assert 1 <= bad < 15
    back = 0
    for n in range(4000):
        if n % 50 == 0:
            g.do(i.Timer(2))
        rid, acts = g.arrive(wait=10 * MS)
        for send in only(acts, i.Send):
            back += send.server == 2
            g.end(rid, send.server, R.OK)
    assert back > 40


def test_full_server_is_not_knocked_at_again_at_once():
    g = Gateway(servers=1)
    rid, acts = g.arrive()
    g.end(rid, 1, R.REJECTED)
    assert only(g.arrive(wait=MS)[1], i.Refuse)
    assert only(g.arrive(wait=S)[1], i.Send)


def test_room_shrinks_when_answers_are_late_and_never_to_nothing():
    g = Gateway()
    for _ in range(200):
        rid, acts = g.arrive(wait=5 * MS)
        for send in only(acts, i.Send):
            g.end(rid, send.server, R.OK, took=900 * MS)
    assert g.brain.room == pytest.approx(2.0)  # one for each of 6 servers, over 3 gateways
    assert only(g.arrive()[1], i.Send)


def test_memory_is_bounded():
    g = Gateway()
    for n in range(1000):
        rid, acts = g.arrive(plan=1, customer=n, wait=MS)
        for call in only(acts, i.Count):
            for more in only(counted(g, call, 1.0), i.Count):
                counted(g, more, 0.0)
        if rid in g.brain.requests:
            g.end(rid, 1, R.OK)
    for server in range(1, 7):
        g.brain.servers[server].out.clear()
    g.do(i.ServerNews(i.News.FULL, [i.Server(9)]))
    g.do(i.Timer(2), wait=120 * S)
    b = g.brain
    assert not b.customers and not b.requests and not b.calls and list(b.servers) == [9]


def test_what_a_draining_server_turned_away_costs_no_room():
    """A release of 24 servers cost nine tenths of the room: each turned away before the list said why."""
    g = Gateway(servers=1)
    room = g.brain.room
    costs = []
    for _ in range(3):
        rid, acts = g.arrive(wait=5 * S)  # past the hold on that server
        (send,) = only(acts, i.Send)
        before = g.brain.room
        g.end(rid, send.server, i.Result.REJECTED, took=1 * MS)
        costs.append(before - g.brain.room)
    assert costs[0] > 0
    g.do(i.ServerNews(i.News.CHANGES, [i.Server(1, i.ServerState.DRAINING)]))
    assert g.brain.room == room


def test_a_full_server_that_answers_between_costs_room_each_time_and_keeps_it():
    g = Gateway(servers=1)
    g.brain.room = 10.0
    for _ in range(2):
        rid, acts = g.arrive(wait=5 * S)
        before = g.brain.room
        g.end(rid, 1, i.Result.REJECTED, took=1 * MS)
        assert g.brain.room < before
        rid, acts = g.arrive(wait=5 * S)
        g.end(rid, 1, i.Result.OK, took=100 * MS)
    lost = g.brain.room
    g.do(i.ServerNews(i.News.CHANGES, [i.Server(1, i.ServerState.DRAINING)]))
    assert g.brain.room == lost
