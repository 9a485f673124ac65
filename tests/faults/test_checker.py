"""The checker of the fault rig on hand-made logs."""

from __future__ import annotations

import pytest

from mapleline.faults import checker


def share_held(at, share, total=10.0, epoch=1, until=None):
    """Return the event of a budget share that comes into use."""
    return {
        "at": at,
        "event": "budget held",
        "budget": "q",
        "whole": total,
        "part": share,
        "epoch": epoch,
        "until": until,
    }


def sent(at, request_id, ingress="ingress-0"):
    """Return the event of a request that is sent with a timeout of 1 s."""
    return {"at": at, "event": "sent", "id": request_id, "ingress": ingress, "timeout_ms": 1000}


@pytest.mark.parametrize(
    ("logs", "rules"),
    [
        ({"ingress-0": [share_held(1, 6, until=3)], "ingress-1": [share_held(2, 4, until=4)]}, []),
        ({"ingress-0": [share_held(1, 6, until=3)], "ingress-1": [share_held(2.5, 5, until=4)]}, ["budget"]),
        ({"ingress-0": [share_held(1, 6, until=3)], "ingress-1": [share_held(3, 5, until=4)]}, []),
        (
            {
                "ingress-0": [share_held(1, 6), {"at": 2, "event": "budget released", "budget": "q", "epoch": 1}],
                "ingress-1": [share_held(2, 5)],
            },
            [],
        ),
        ({"ingress-0": [share_held(1, 6)], "ingress-1": [share_held(9, 5)]}, ["budget"]),
        ({"load": [sent(1, "a"), {"at": 1.5, "event": "answer", "id": "a", "status": 200}]}, []),
        ({"load": [sent(1, "a"), {"at": 2.6, "event": "answer", "id": "a", "status": 503}]}, ["answered"]),
        ({"load": [sent(1, "a"), {"at": 5, "event": "unanswered", "id": "a"}]}, ["answered"]),
        ({"load": [sent(1, "a"), {"at": 1.1, "event": "cut off", "id": "a"}]}, ["answered"]),
        ({"load": [sent(1, "a"), *[{"at": 1.1, "event": "answer", "id": "a", "status": 200}] * 2]}, ["answered"]),
        (
            {
                "load": [sent(1, "a"), {"at": 1.1, "event": "cut off", "id": "a"}],
                "fleet": [{"at": 0.5, "event": "fault begun", "mode": "kill", "process": "ingress-0"}],
            },
            [],
        ),
        (
            {
                "load": [sent(9, "a"), {"at": 9.1, "event": "cut off", "id": "a"}],
                "fleet": [
                    {"at": 0.5, "event": "fault begun", "fault": "s", "mode": "stall", "process": "ingress-0"},
                    {"at": 1, "event": "fault ended", "fault": "s", "mode": "stall", "process": "ingress-0"},
                ],
            },
            ["answered"],
        ),
        ({"fleet": [{"at": 1, "event": "process ended", "process": "ingress-1", "status": -9}]}, ["crash"]),
        ({"fleet": [{"at": 1, "event": "process ended", "process": "ingress-1", "by_schedule": True}]}, []),
        ({"ingress-1": [{"at": 1, "event": "module raised"}]}, ["crash"]),
        (
            {"ingress-1": [{"at": 1, "event": "counters", "counts": {"broken.one_answer": 1, "request.served": 3}}]},
            ["crash"],
        ),
    ],
)
def test_the_checker_reports_the_rules_that_logs_violate(logs, rules):
    assert [violation.rule for violation in checker.judge(logs)] == rules


VIOLATING_LOGS = {
    "ingress-0": [{"at": 2, "event": "budget spent", "epoch": 1, "spent": {"calls": 60}, "wholes": {"calls": 100}}],
    "ingress-1": [{"at": 3, "event": "budget spent", "epoch": 1, "spent": {"calls": 41}, "wholes": {"calls": 100}}],
    "fleet": [
        {
            "at": 0,
            "event": "load begun",
            "own": {"budgets": {"room": 2}},
            "quota_rate": 1,
            "quota_burst": 4,
            "overrun_most": 0.1,
            "refused_most": 0.1,
        }
    ],
    "zone-a": [
        {"at": 1, "event": "run", "server": "s", "id": "x", "in_work": 3},
        {"at": 2, "event": "fell over", "server": "s", "arrivals": 9, "most": 8.0},
    ],
    "load": [{**sent(1 + number / 100, f"r{number}"), "customer": 1} for number in range(8)]
    + [{"at": 2, "event": "answer", "id": f"r{number}", "status": 200 if number else 429} for number in range(8)],
}


def test_the_checker_reports_overspending_an_overfull_server_an_overload_and_quota_violations():
    """Eight requests at once against a burst of four: 1 of 8 is refused with room, 3 of 7 served are over quota."""
    rules = [
        violation.rule for violation in checker.judge(VIOLATING_LOGS) if violation.rule != "once"
    ]  # no request in these logs has run
    assert sorted(rules) == ["fall", "quota", "quota", "room", "spent"]
    outcome = checker.measure_quotas(VIOLATING_LOGS)
    assert (outcome.over_quota, outcome.served, outcome.refused_with_room, outcome.requests) == (3, 7, 1, 8)
