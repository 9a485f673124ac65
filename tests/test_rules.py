"""The five rules as properties over generated event sequences."""

from helpers import MS, Gateway, S, only
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleline.policy import interface as i

R = i.Result
steps = st.lists(
    st.tuples(
        st.sampled_from(["arrive"] * 5 + ["end"] * 5 + ["count"] * 3 + ["wait"] * 4 + ["list", "left"]),
        st.integers(0, 10**6),
        st.integers(0, 400),
    ),
    min_size=20,
    max_size=150,
)
EFFECTS = [i.Effect.SAFE, i.Effect.UNSAFE, i.Effect.KEYED]


def play(script, **changes):
    """Runs a script and checks rules 1, 2, 3 and 5 at every step; returns all actions."""
    classes = [
        i.RequestClass(S, 4 * S),
        i.RequestClass(2 * S, 5 * S, i.Effect.UNSAFE),
        i.RequestClass(S, 4 * S, i.Effect.KEYED, i.Scope.CELL, 2 * S),
        i.RequestClass(S, 4 * S, i.Effect.KEYED, i.Scope.ALL, 2 * S),
    ]
    g = Gateway(classes=classes, **changes)
    owed, live, may_run, timers, calls, stores = {}, {}, {}, [], [], {}
    life = dict.fromkeys(range(1, 7), i.ServerState.READY)
    log, start = list(g.first), g.now

    def note(acts):
        log.extend(acts)
        for a in acts:
            if type(a) is i.SetTimer:
                timers.append((g.now + a.after_ns, a.token))
            elif type(a) is i.Count:
                calls.append(a)
            elif type(a) is i.Send:
                assert a.request in owed, "sent after its end"
                ev, sent = owed[a.request]
                out = [n for r, n in live if r == a.request]
                assert not out or changes.get("may_hedge"), "two attempts out"
                assert life[a.server] == i.ServerState.READY, "sent to a drained server"
                if ev.class_id == 1:
                    assert not may_run.get(a.request) and not out, "unsafe work sent again"
                if ev.class_id >= 2 and may_run.get(a.request):
                    assert g.now - may_run[a.request] <= 2 * S, "key forgotten"
                if sent == 0 and ev.plan == 1:
                    level, at = stores.get(ev.customer, (0.0, start))
                    level = min(10.0, level + 2.0 * (g.now - at) / 1e9) - ev.units
                    assert level >= -0.001, "own part of the ceiling passed"
                    stores[ev.customer] = (level, g.now)
                live[(a.request, sent)] = (a.server, g.now)
                owed[a.request] = (ev, sent + 1)
            elif type(a) in (i.Refuse, i.Fail):
                assert a.request in owed, "answered twice"
                ev, _ = owed.pop(a.request)
                if type(a) is i.Refuse and ev.class_id:
                    assert not may_run.get(a.request), "refused though it may have run"
                    assert not [1 for r, _ in live if r == a.request], "refused while out"

    def fire(until):
        while due := sorted(t for t in timers if t[0] <= until)[:1]:
            timers.remove(due[0])
            g.now = max(g.now, due[0][0])
            note(g.do(i.Timer(due[0][1])))

    for what, pick, wait in script:
        fire(g.now + wait * MS)
        g.now += 0 if timers and g.now > timers[0][0] else wait * MS
        if what == "arrive":
            g.next += 1
            ev = i.Arrival(g.next, pick % 4, pick % 3, pick % 4, (2 + pick % 3) * S, 1.0 + pick % 4, 2)
            owed[g.next] = (ev, 0)
            note(g.do(ev))
        elif what == "end" and live:
            (rid, n), (server, at) = sorted(live.items())[pick % len(live)]
            del live[(rid, n)]
            result = list(R)[pick % 7]
            if result not in i.NEVER_RAN:
                may_run.setdefault(rid, at)
            final = rid not in owed or result == R.OK
            if result == R.OK:
                owed.pop(rid, None)
            note(g.do(i.Outcome(rid, server, n, g.now - at, result, final)))
        elif what == "count" and calls:
            call = calls.pop(0)
            result = [R.OK, R.OK, R.TIMEOUT, R.REJECTED][pick % 4]
            note(g.do(i.Counted(call.name, result, float(pick % 12), MS)))
        elif what == "list":
            life[1 + pick % 6] = i.ServerState(pick % 3)
            note(g.do(i.ServerNews(i.News.CHANGES, [i.Server(1 + pick % 6, i.ServerState(pick % 3))])))
        elif what == "left" and owed:
            rid = sorted(owed)[pick % len(owed)]
            del owed[rid]
            note(g.do(i.Left(rid)))
    fire(g.now + 6 * S)
    assert not owed, "a request got no final answer"
    assert not g.brain.requests
    return log


@settings(max_examples=150, derandomize=True, deadline=None)
@given(steps)
def test_rules_hold_with_one_attempt_at_a_time(script):
    play(script)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(steps)
def test_rules_hold_with_second_copies(script):
    play(script, may_hedge=True)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(steps)
def test_same_events_same_actions(script):
    assert play(script) == play(script)


def test_cold_server_gets_a_trickle_under_the_fall_multiple():
    g = Gateway(servers=5)
    g.do(i.ServerNews(i.News.CHANGES, [i.Server(6, started_ns=g.now)]))
    began, sends = g.now, []
    for _ in range(2000):
        rid, acts = g.arrive(wait=5 * MS)
        for send in only(acts, i.Send):
            if send.server == 6:
                sends.append(g.now)
            g.end(rid, send.server, R.OK, took=100 * MS)
    per_warm = 200 / 6  # requests a second
    for at in sends:
        window = [s for s in sends if at <= s < at + 2 * S]
        part = 0.2 + 0.8 * min(1.0, (at - began) / (10 * S))
        assert len(window) <= 2.5 * per_warm * part * 2 + 1
    assert sends
