"""The judge of the soak test on hand-made histories.

Each rule is checked with a history that satisfies it and with one that violates it.
"""

import signal

import pytest

from mapleline.soak.history import (
    AttemptEnd,
    ClientAttempt,
    Order,
    ProcessEvent,
    ProcessEventKind,
    ReadBack,
    ServerRun,
    SoakHistory,
)
from mapleline.soak.judge import judge, quota_uses

RATE, BURST = 10.0, 10.0
ALLOWED = int((RATE * 5 + BURST) * 1.1 + 20)


def history_with(*attempts, runs=()):
    history = SoakHistory(limits={"t": (RATE, BURST), "free": (0.0, 0.0)})
    for attempt in attempts:
        history.attempts[attempt.id] = attempt
    history.runs = [ServerRun(request_id, tenant, "i-1", at) for request_id, tenant, at in runs]
    return history


def attempt(attempt_id="a", *, tenant="t", status=200, is_idempotent=False, end=AttemptEnd.ANSWERED, **fields):
    return ClientAttempt(attempt_id, tenant, is_idempotent, "n1", 10.0, ended_at=10.5, end=end, status=status, **fields)


def violated_rules(history):
    return [violation.rule for violation in judge(history)]


def many_runs(count, tenant="t", within_s=4.9):
    ids = [f"q{number}" for number in range(count)]
    attempts = [attempt(request_id, tenant=tenant) for request_id in ids]
    return history_with(
        *attempts, runs=[(request_id, tenant, 20.0 + within_s * n / count) for n, request_id in enumerate(ids)]
    )


def test_a_tenant_runs_no_more_than_its_limit_allows():
    assert violated_rules(many_runs(ALLOWED)) == []
    assert violated_rules(many_runs(ALLOWED + 1)) == ["QUOTA"]
    assert violated_rules(many_runs(ALLOWED + 1, within_s=9.0)) == []
    assert violated_rules(many_runs(5 * ALLOWED, tenant="free")) == []
    [use] = quota_uses(many_runs(30))
    assert (use.tenant, use.count, int(use.allowed)) == ("t", 30, ALLOWED)


@pytest.mark.parametrize(
    ("attempts", "expected_rules"),
    [
        ([attempt()], []),
        ([attempt(status=429)], ["REFUSED"]),
        ([attempt(status=503)], ["REFUSED"]),
        ([attempt(status=503, is_idempotent=True)], []),
        ([attempt(status=404)], ["DENIED"]),
        ([attempt(is_foreign_answer=True)], ["MIXED"]),
        ([attempt(tenant="free")], ["UNASKED"]),
        ([], ["UNASKED"]),
    ],
)
def test_answers_agree_with_the_runs_at_the_servers(attempts, expected_rules):
    assert violated_rules(history_with(*attempts, runs=[("a", "t", 10.1)])) == expected_rules


def test_a_non_idempotent_request_runs_once():
    twice = [("a", "t", 10.1), ("a", "t", 10.2)]
    assert violated_rules(history_with(attempt(), runs=twice)) == ["TWICE"]
    assert violated_rules(history_with(attempt(is_idempotent=True), runs=twice)) == []


@pytest.mark.parametrize(
    ("events", "expected_rules"),
    [
        ([], []),
        ([(9.0, ProcessEventKind.TERMINATE)], ["LOST"]),
        ([(1.0, ProcessEventKind.TERMINATE)], []),
        ([(9.0, ProcessEventKind.TERMINATE), (10.2, ProcessEventKind.KILL)], []),
    ],
)
def test_a_terminating_node_answers_requests_that_ran(events, expected_rules):
    history = history_with(attempt(status=0, end=AttemptEnd.BROKEN), runs=[("a", "t", 10.1)])
    history.process_events = [ProcessEvent(at, "n1", kind) for at, kind in events]
    assert violated_rules(history) == expected_rules


@pytest.mark.parametrize(
    ("started_at", "status", "expected_rules"),
    [
        (0.0, 0, []),
        (0.0, 1, ["Fault"]),
        (0.0, -signal.SIGTERM, ["Fault"]),
        (28.0, -signal.SIGTERM, []),
        (28.0, -signal.SIGHUP, ["Fault"]),
        (29.8, -signal.SIGHUP, []),
        (29.8, 1, ["Fault"]),
    ],
)
def test_a_process_exits_with_status_0_unless_a_signal_came_before_its_handler(started_at, status, expected_rules):
    history = history_with()
    history.process_events = [
        ProcessEvent(started_at, "n1", ProcessEventKind.START),
        ProcessEvent(30.0, "n1", ProcessEventKind.EXIT, status),
    ]
    assert violated_rules(history) == expected_rules


def test_acknowledged_configurations_are_read_back():
    history = history_with()
    history.orders = [Order(1, b"one", 1.0, 200), Order(2, b"two", 2.0, 200), Order(3, b"unclear", 3.0)]
    for body, expected_rules in ((b"two", []), (b"unclear", []), (b"one", ["CONFIG"]), (b"other", ["CONFIG"])):
        history.read_backs = [ReadBack("n1", 200, body)]
        assert violated_rules(history) == expected_rules, body
    history.read_backs = [ReadBack("n1", 0, b"")]
    assert violated_rules(history) == ["CONFIG"]


def test_at_most_one_content_is_acknowledged_per_version():
    history = history_with()
    history.orders = [Order(1, b"one", 1.0, 200), Order(1, b"another", 1.0, 409)]
    assert violated_rules(history) == []
    history.orders[1].status = 200
    assert violated_rules(history) == ["CONFIG"]
