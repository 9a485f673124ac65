"""The rules on attempts and answers, as properties over generated event sequences."""

from helpers import MS, IngressDriver, S, only
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleline.policy import interface

Result = interface.Result
steps = st.lists(
    st.tuples(
        st.sampled_from(["arrive"] * 5 + ["end"] * 5 + ["count"] * 3 + ["wait"] * 4 + ["list", "left"]),
        st.integers(0, 10**6),
        st.integers(0, 400),
    ),
    min_size=20,
    max_size=150,
)
EFFECTS = [interface.Effect.SAFE, interface.Effect.UNSAFE, interface.Effect.KEYED]


def play(script, **changes):
    """Run a script and check rules 1, 2, 3 and 5 at each step; return all actions."""
    classes = [
        interface.RequestClass(S, 4 * S),
        interface.RequestClass(2 * S, 5 * S, interface.Effect.UNSAFE),
        interface.RequestClass(S, 4 * S, interface.Effect.KEYED, interface.Scope.CELL, 2 * S),
        interface.RequestClass(S, 4 * S, interface.Effect.KEYED, interface.Scope.ALL, 2 * S),
    ]
    ingress = IngressDriver(classes=classes, **changes)
    open_requests, in_flight, may_run, timers, calls, ceilings = {}, {}, {}, [], [], {}
    states = dict.fromkeys(range(1, 7), interface.ServerState.READY)
    log, start = list(ingress.first_actions), ingress.now

    def note(actions):
        log.extend(actions)
        for action in actions:
            if type(action) is interface.SetTimer:
                timers.append((ingress.now + action.after_ns, action.token))
            elif type(action) is interface.Count:
                calls.append(action)
            elif type(action) is interface.Send:
                assert action.request in open_requests, "sent after the final answer"
                event, sent = open_requests[action.request]
                attempts = [n for r, n in in_flight if r == action.request]
                assert not attempts or changes.get("may_hedge"), "two attempts in flight"
                assert states[action.server] == interface.ServerState.READY, "sent to a drained server"
                if event.class_id == 1:
                    assert not may_run.get(action.request) and not attempts, "unsafe request sent again"
                if event.class_id >= 2 and may_run.get(action.request):
                    assert ingress.now - may_run[action.request] <= 2 * S, "sent again after the key expired"
                if sent == 0 and event.plan == 1:
                    level, updated_at = ceilings.get(event.customer, (0.0, start))
                    level = min(10.0, level + 2.0 * (ingress.now - updated_at) / 1e9) - event.units
                    assert level >= -0.001, "own part of the hard ceiling exceeded"
                    ceilings[event.customer] = (level, ingress.now)
                in_flight[(action.request, sent)] = (action.server, ingress.now)
                open_requests[action.request] = (event, sent + 1)
            elif type(action) in (interface.Refuse, interface.Fail):
                assert action.request in open_requests, "answered twice"
                event, _ = open_requests.pop(action.request)
                if type(action) is interface.Refuse and event.class_id:
                    assert not may_run.get(action.request), "refused though it may have run"
                    assert not [1 for r, _ in in_flight if r == action.request], "refused with an attempt in flight"

    def fire(until):
        while due := sorted(t for t in timers if t[0] <= until)[:1]:
            timers.remove(due[0])
            ingress.now = max(ingress.now, due[0][0])
            note(ingress.handle(interface.Timer(due[0][1])))

    for step, pick, wait in script:
        fire(ingress.now + wait * MS)
        ingress.now += 0 if timers and ingress.now > timers[0][0] else wait * MS
        if step == "arrive":
            ingress.last_request += 1
            event = interface.Arrival(
                ingress.last_request, pick % 4, pick % 3, pick % 4, (2 + pick % 3) * S, 1.0 + pick % 4, 2
            )
            open_requests[ingress.last_request] = (event, 0)
            note(ingress.handle(event))
        elif step == "end" and in_flight:
            (request, n), (server, sent_at) = sorted(in_flight.items())[pick % len(in_flight)]
            del in_flight[(request, n)]
            result = list(Result)[pick % 7]
            if result not in interface.NEVER_RAN:
                may_run.setdefault(request, sent_at)
            final = request not in open_requests or result == Result.OK
            if result == Result.OK:
                open_requests.pop(request, None)
            note(ingress.handle(interface.Outcome(request, server, n, ingress.now - sent_at, result, final)))
        elif step == "count" and calls:
            call = calls.pop(0)
            result = [Result.OK, Result.OK, Result.TIMEOUT, Result.REJECTED][pick % 4]
            note(ingress.handle(interface.Counted(call.name, result, float(pick % 12), MS)))
        elif step == "list":
            states[1 + pick % 6] = interface.ServerState(pick % 3)
            note(
                ingress.handle(
                    interface.ServerNews(
                        interface.News.CHANGES, [interface.Server(1 + pick % 6, interface.ServerState(pick % 3))]
                    )
                )
            )
        elif step == "left" and open_requests:
            request = sorted(open_requests)[pick % len(open_requests)]
            del open_requests[request]
            note(ingress.handle(interface.Left(request)))
    fire(ingress.now + 6 * S)
    assert not open_requests, "a request got no final answer"
    assert not ingress.brain.requests
    return log


@settings(max_examples=150, derandomize=True, deadline=None)
@given(steps)
def test_rules_hold_with_one_attempt_at_a_time(script):
    play(script)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(steps)
def test_rules_hold_with_hedged_attempts(script):
    play(script, may_hedge=True)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(steps)
def test_same_events_same_actions(script):
    assert play(script) == play(script)


def test_a_server_in_slow_start_gets_less_than_the_load_that_makes_it_fail():
    ingress = IngressDriver(servers=5)
    ingress.handle(interface.ServerNews(interface.News.CHANGES, [interface.Server(6, started_ns=ingress.now)]))
    began, sends = ingress.now, []
    for _ in range(2000):
        request, actions = ingress.arrive(wait_ns=5 * MS)
        for send in only(actions, interface.Send):
            if send.server == 6:
                sends.append(ingress.now)
            ingress.end_attempt(request, send.server, Result.OK, took_ns=100 * MS)
    per_server = 200 / 6  # requests per second
    for sent_at in sends:
        window = [s for s in sends if sent_at <= s < sent_at + 2 * S]
        part = 0.2 + 0.8 * min(1.0, (sent_at - began) / (10 * S))
        assert len(window) <= 2.5 * per_server * part * 2 + 1
    assert sends
