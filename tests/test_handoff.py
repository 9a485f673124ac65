"""Takeover of requests in flight, exactly once: torn logs, the in-flight table, leases, fleets that lose ingresses."""

from __future__ import annotations

import collections

import pytest
from hypothesis import given
from hypothesis import settings as trials
from hypothesis import strategies as st
from rig import block, fault, fleet, when

from mapleline.faults import checker, schedule_file
from mapleline.handoff import InFlightTable, TakeoverAction, encode_record, log_header, read_log
from mapleline.handoff.store import Store
from mapleline.handoff.write_ahead_log import WriteAheadLog
from mapleline.net import handoff as driver
from mapleline.net.log_adoption import RequestNames
from mapleline.policy import interface
from mapleline.settings import own

SECOND_NS = 1_000_000_000
SAFE = interface.RequestClass(SECOND_NS, 4 * SECOND_NS)
KEYED = interface.RequestClass(SECOND_NS, 4 * SECOND_NS, interface.Effect.KEYED, interface.Scope.ALL, 60 * SECOND_NS)
ZONE_KEYED = interface.RequestClass(
    SECOND_NS, 4 * SECOND_NS, interface.Effect.KEYED, interface.Scope.ZONE, 60 * SECOND_NS
)
UNSAFE = interface.RequestClass(SECOND_NS, 4 * SECOND_NS, interface.Effect.UNSAFE)


def accepted(request_id, **more):
    return {"op": "a", "id": request_id, **more}


def sent(request_id, n=0, at=100.0):
    return {"op": "s", "id": request_id, "n": n, "at": at}


RECORDS = [accepted("x", body="\u00e9"), sent("x"), accepted("y"), {"op": "d", "id": "x", "how": "served"}]


@pytest.mark.parametrize("flip", [False, True], ids=["cut off", "spoilt"])
def test_a_log_torn_or_corrupt_at_any_byte_gives_the_whole_records_before_that(flip):
    record_ends, data = [len(log_header("n", 3))], log_header("n", 3)
    for record in RECORDS:
        data += encode_record(record)
        record_ends.append(len(data))
    assert read_log(data, "n", 3) == (RECORDS, len(data))
    for offset in range(len(data)):
        torn = data[:offset] + bytes([data[offset] ^ 0x40]) + data[offset + 1 :] if flip else data[:offset]
        intact = sum(end <= offset for end in record_ends)
        if intact == 0:  # not even the header
            with pytest.raises(ValueError, match="not the log of n, epoch 3"):
                read_log(torn, "n", 3)
        else:
            records, valid_bytes = read_log(torn, "n", 3)
            assert records == RECORDS[: max(0, intact - 1)] and valid_bytes <= offset


@pytest.mark.parametrize("data", [b"", b"#!/bin/sh\n", log_header("m", 3), log_header("n", 4), b"\0" * 64])
def test_a_foreign_file_is_not_a_log(data):
    with pytest.raises(ValueError, match="not the log"):
        read_log(data, "n", 3)


@pytest.mark.parametrize(
    "records, cls, now, fate",
    [
        ([], UNSAFE, 100, TakeoverAction.SEND),
        ([sent("x")], UNSAFE, 100, TakeoverAction.UNKNOWN),
        ([sent("x"), {"op": "n", "id": "x", "n": 0}], UNSAFE, 100, TakeoverAction.SEND),  # known not to have run
        ([sent("x"), {"op": "n", "id": "x", "n": 0}, sent("x", 1)], UNSAFE, 100, TakeoverAction.UNKNOWN),
        ([sent("x")], SAFE, 100, TakeoverAction.SEND),
        ([sent("x")], KEYED, 150, TakeoverAction.SEND),
        ([sent("x")], KEYED, 155, TakeoverAction.UNKNOWN),  # more than 0.9 of key_ttl_ns has passed
        ([sent("x"), sent("x", 1, 150)], KEYED, 155, TakeoverAction.UNKNOWN),  # the time counts from the first attempt
        ([sent("x")], ZONE_KEYED, 101, TakeoverAction.UNKNOWN),  # servers of other zones do not know the key
        ([sent("x"), {"op": "d", "id": "x", "how": "served"}], UNSAFE, 100, TakeoverAction.PUBLISH),
        ([sent("x"), {"op": "d", "id": "x", "how": "served"}], SAFE, 100, TakeoverAction.DROP),
    ],
)
def test_the_takeover_action_follows_from_the_record_and_the_class(records, cls, now, fate):
    table = InFlightTable().replay([accepted("x"), *records])
    assert table.requests["x"].takeover_action(cls, now) is fate
    assert (
        InFlightTable().replay(table.snapshot()).requests["x"].takeover_action(cls, now) is fate
    )  # from a snapshot as well
    without_body = (
        InFlightTable().replay([accepted("x", whole=False), *records]).requests["x"].takeover_action(cls, now)
    )
    assert without_body is (TakeoverAction.UNKNOWN if fate is TakeoverAction.SEND else fate)


OPS = st.lists(st.tuples(st.sampled_from("asnndfte"), st.sampled_from("xyz"), st.integers(0, 2)), max_size=40)


@trials(max_examples=200, derandomize=True, deadline=None)
@given(OPS)
def test_a_snapshot_restores_the_state_of_the_log(ops):
    table = InFlightTable()
    for op, request_id, n in ops:
        table.apply({"op": op, "id": request_id, "log": f"{request_id}.1", "n": n, "at": 1.0 + n, "how": "failed"})
    again = InFlightTable().replay(table.snapshot())
    assert (again.takeovers, again.snapshot()) == (table.takeovers, table.snapshot())
    for request_id, entry in table.requests.items():
        assert again.requests[request_id].takeover_action(KEYED, 30) is entry.takeover_action(KEYED, 30)


def test_the_store_gives_each_claim_and_each_id_to_one_owner(tmp_path):
    store, other = Store(str(tmp_path)), Store(str(tmp_path))
    assert [store.claim_log("a.1", "b"), other.claim_log("a.1", "c"), other.claim_log("a.2", "c")] == [
        True,
        False,
        True,
    ]
    other.inherit_claim("a.1", "c")
    assert [store.claimed_by(log) for log in ("a.1", "a.2", "a.3")] == ["c", "c", None]
    assert [store.claim_id(b"x", "a.1"), other.claim_id(b"x", "b.1"), other.owner_of_id(b"x")] == [True, False, "a.1"]
    other.move_id(b"x", "b.1")
    store.claim_id(b"y", "a.1")
    assert (
        store.owner_of_id(b"x") == "b.1"
        and store.release_unrecorded_ids("a.1") == 1
        and store.owner_of_id(b"y") is None
    )
    store.publish(b"x", {"status": 200})
    assert other.outcome(b"x") == {"status": 200} and other.outcome(b"y") is None
    store.publish(b"z", {"paid": True})
    assert [store.take_outcome(b"z"), other.take_outcome(b"z")] == [True, False]
    other.forget_outcomes(before_s=1e12)
    assert store.outcome(b"x") is None and store.claim_id(b"x", "c.1")


def test_an_id_with_an_outcome_stays_claimed_when_its_owner_is_taken_over(tmp_path):
    """If the id were released, a client that repeats the request would have it executed a second time."""
    store = Store(str(tmp_path))
    assert store.claim_id(b"x", "a.1") and store.claim_id(b"y", "a.1")
    store.publish(b"x", {"status": 502})
    assert store.release_unrecorded_ids("a.1") == 1 and not store.claim_id(b"x", "b.1") and store.claim_id(b"y", "b.1")
    store.forget_outcomes(before_s=1e12)
    assert store.claim_id(b"x", "c.1")


def test_a_log_is_read_back_and_replaced_by_a_snapshot(tmp_path):
    store = Store(str(tmp_path))
    log = WriteAheadLog(store.folder, "n", 1, RECORDS[:1])
    log.write(RECORDS[1], is_deferred=True)
    assert store.read_log("n.1") == RECORDS[:1]
    log.flush()
    assert store.read_log("n.1") == RECORDS[:2] and store.log_epochs("n") == {1: False}
    with pytest.raises(FileExistsError):
        WriteAheadLog(store.folder, "n", 1, [])
    log.replace_with_snapshot(RECORDS[2:3])
    log.write(RECORDS[3])
    log.sync()
    assert store.read_log("n.1") == RECORDS[2:]
    log.close()
    (tmp_path / "m.1.log").write_bytes(b"something else")
    with pytest.raises(ValueError, match="m, epoch 1"):
        store.read_log("m.1")
    assert store.read_log("gone.1") == []


@pytest.mark.parametrize(
    "text, key",
    [
        ("handoff { enabled = true }", "handoff.dir"),
        ("handoff { lease_s = 0 }", "handoff.lease_s"),
    ],
)
def test_inconsistent_settings_name_the_key(text, key):
    assert [f.key for f in own.read(text)[1]] == [key]


class RecordingEngine:
    """A stub of the engine that only records the accepted requests."""

    classes = [SAFE, UNSAFE]

    def __init__(self):
        self.accepted = []

    def accept(self, arrival, payload, answerer):
        self.accepted.append((payload.id, arrival.is_counted))

    def abandon_all(self):
        raise AssertionError("this ingress must not lose its requests")


def test_requests_carried_over_an_unnoticed_stall_can_still_be_taken_over(tmp_path, monkeypatch):
    """If their ids stayed with the log of the old epoch, a later successor would skip these requests for good."""
    now = [1000.0]
    monkeypatch.setattr(driver.time, "time", lambda: now[0])
    handoff_settings = own.Handoff(enabled=True, dir=str(tmp_path), lease_s=3, margin_s=0.5)
    names = RequestNames(["look", "book"], ["wide"])
    a, b = (driver.Handoff(None, handoff_settings, RecordingEngine(), name, names) for name in "ab")
    a.store.claim_log("c.1", a.log_name)  # a was taking over c's log as well
    a.append_record({"op": "t", "log": "c.1"})
    assert a.store.claim_id(b"x", a.log_name)
    a.append_record(
        {
            "op": "a",
            "id": "x",
            "cls": "book",
            "plan": "wide",
            "customer": 5,
            "units": 1.0,
            "spread": 1,
            "start": 0,
            "method": "POST",
            "target": "/book/5",
            "lines": "",
            "body": "",
        }
    )
    now[0] += 3.2
    assert a.holds_lease() and a.epoch == 2 and a.store.owner_of_id(b"x") == "a.2"
    assert a.store.claimed_by("c.1") == "a.2"
    b.renew_lease(now[0])
    now[0] += 3.6
    b.renew_lease(now[0])  # a does not renew its lease any more
    b.take_over_expired(now[0])
    b.update()
    assert b.engine.accepted == [(b"x", True)] and b.store.owner_of_id(b"x") == "b.1"
    assert "c.1" not in b.in_flight.takeovers and b.store.claimed_by("c.1") == "b.1"  # c's log was empty


# --- fleets of processes

# These schedules must not depend on the speed of the machine.  Leases are longer than the pauses of a busy machine.
# Many requests are in flight because servers are many and slow, not because many arrive per second.  A fault that needs
# a number of requests in flight waits for it.  An ingress starts with a limit of two requests per server; it learns a
# higher one from the answers, which takes longer on a busy machine.
HANDOFF = dict(enabled=True, dir="store", lease_s=2.4, margin_s=0.4)


WORK_MS = 3000


def schedule(*faults, handoff=None, **values):
    base = dict(
        ingresses=5,
        zones=["a"],
        seconds=9,
        rate=100,
        grace=14,
        seed=9,
        work_ms=WORK_MS,
        servers=64,
        aim_ms=15000,
        deadline_ms=20000,
        retry_s=10,
        keyed_share=0.3,
        once_share=0.3,
        timeout_ms=9000,
    )
    return fleet(**{**base, **values}) + block("handoff", **{**HANDOFF, **(handoff or {})}) + "".join(faults)


def counter_total(logs, name):
    """Return the sum of a counter over the ingresses that wrote their counters at exit."""
    return sum(
        e["counts"].get(name, 0)
        for lines in logs.values()
        for e in lines
        if e["event"] == "counters" and e.get("why") == "exit"
    )


def outcomes(logs):
    end_events = ("answer", "cut off", "unanswered")
    ends = collections.Counter(e["id"] for e in logs["load"] if e["event"] in end_events)
    sent_ids = [e["id"] for e in logs["load"] if e["event"] == "sent"]
    return sent_ids, ends


def assert_one_outcome_each(logs):
    """Assert that the checker finds no violation and every request has exactly one outcome over all ingresses."""
    assert [str(v) for v in checker.judge(logs, strict=True)] == []
    sent_ids, ends = outcomes(logs)
    assert all(ends[request_id] == 1 for request_id in sent_ids)


def executing_at(logs, fault, process):
    """Return the class by id of the requests of an ingress that servers were executing when the fault began.

    None of them can have been answered, since a server takes WORK_MS for each (less 20 ms for timers).
    """
    began, started_at = when(logs, fault), {}
    for e in (e for name, lines in logs.items() if name.startswith("zone-") for e in lines):
        if e["event"] == "run":
            started_at[e["id"]] = min(e["at"], started_at.get(e["id"], e["at"]))
    return {
        e["id"]: e["cls"]
        for e in logs["load"]
        if e["event"] == "sent"
        and e["ingress"] == process
        and began - (WORK_MS - 20) / 1000 < started_at.get(e["id"], 0) < began
    }


def takeovers(logs):
    """Return the log and the successor of every takeover that was begun."""
    return [
        (e["log"], e["by"].rpartition(".")[0])
        for name, lines in logs.items()
        if name.startswith("ingress-")
        for e in lines
        if e["event"] == "taking over"
    ]


KILLED = schedule(
    fault("kill", 3, process="ingress-0", mode="kill", in_flight=220),  # which gets most of the load
    ingresses=3,
    servers=384,
    seconds=13,
    rate=150,
    lean=0.6,
    shift_s=60,
)


@pytest.mark.schedule(KILLED)
def test_requests_in_flight_at_a_killed_ingress_have_one_outcome_each(logs):
    """At least 200 requests of three classes are in flight; their clients repeat them at other ingresses."""
    assert_one_outcome_each(logs)
    (e,) = [e for e in logs["ingress-1"] if e["event"] == "taking over"]
    assert e["open"] >= 200 and takeovers(logs) == [("ingress-0.1", "ingress-1")]
    in_flight = executing_at(logs, "kill", "ingress-0")
    unsafe = {request_id for request_id, cls in in_flight.items() if cls == "book"}
    assert set(in_flight.values()) == {"look", "pay", "book"} and in_flight.keys() <= set(e["ids"])
    assert counter_total(logs, "handoff.send") >= max(51, len(in_flight) - len(unsafe))
    assert counter_total(logs, "handoff.unknown") >= max(21, len(unsafe))
    assert not any(e["event"] == "answer" and e["id"] in unsafe and e["status"] == 200 for e in logs["load"])
    repeats = counter_total(logs, "handoff.outcome_told") + counter_total(logs, "handoff.refused")
    assert repeats > 100  # answered with the kept outcome, or refused at takeover and not charged again


STALLED = schedule(fault("stall", 3, process="ingress-1", mode="stall", lasts=5.5, in_flight=30), seconds=13)


@pytest.mark.schedule(STALLED)
def test_an_ingress_stalled_beyond_its_lease_answers_no_old_request_when_it_resumes(logs):
    assert_one_outcome_each(logs)
    assert takeovers(logs) == [("ingress-1.1", "ingress-2")]
    in_flight = executing_at(logs, "stall", "ingress-1")
    (e,) = [e for e in logs["ingress-2"] if e["event"] == "taking over"]
    assert in_flight.keys() <= set(e["ids"])
    assert counter_total(logs, "handoff.fenced") == 1 and counter_total(logs, "request.abandoned") >= max(
        21, len(in_flight)
    )
    epochs = [e["epoch"] for e in logs["ingress-1"] if e["event"] == "handoff begun"]
    assert epochs == [1, 2]  # it serves again, in a new epoch
    resumed = when(logs, "stall", "fault ended")
    assert any(
        e["event"] == "answer" and e["ingress"] == "ingress-1" and e["status"] == 200 and e["at"] > resumed + 0.5
        for e in logs["load"]
    )


CASCADE = schedule(
    fault("first", 3, process="ingress-1", mode="kill", in_flight=30),
    fault("its-taker", 0.5, process="ingress-2", mode="kill", after="taking over"),
    grace=18,
    retry_s=16,
    handoff={"pace_per_s": 20},
)


@pytest.mark.schedule(CASCADE)
def test_a_successor_killed_during_the_takeover_leaves_each_request_with_one_owner(logs):
    """At least 30 requests are adopted at 20 per second: ingress-2 dies after half a second, when it has adopted only
    some of ingress-1's requests."""
    assert_one_outcome_each(logs)
    begun = takeovers(logs)
    assert ("ingress-1.1", "ingress-2") in begun and ("ingress-2.1", "ingress-3") in begun
    assert ("ingress-1.1", "ingress-3") in begun  # the requests that the first successor had not adopted


NEIGHBOURS_KILLED = schedule(
    fault("one", 3, process="ingress-1", mode="kill"),
    fault("two", 3, process="ingress-2", mode="kill"),
    fault("cut", 2.5, link="ingress-3>counter", mode="cut", lasts=6),
    fault("back", 8, process="ingress-2", mode="restart"),
    seconds=11,
)


@pytest.mark.schedule(NEIGHBOURS_KILLED)
def test_two_ingresses_killed_at_once_have_one_successor_each(logs):
    """Two neighbours on the ring are killed, and their successor is cut off from the counter; one of them restarts."""
    assert_one_outcome_each(logs)
    assert sorted(takeovers(logs)) == [("ingress-1.1", "ingress-3"), ("ingress-2.1", "ingress-3")]


CORRUPT = schedule(
    *(
        fault(f"kill-{n}", 3, process=f"ingress-{n}", mode="kill", record=record)
        for n, record in ((0, "torn"), (2, "empty"), (4, "foreign"))
    )
)


@pytest.mark.schedule(CORRUPT)
def test_a_torn_an_empty_and_a_foreign_log_are_recognised(logs):
    """Three ingresses are killed at once.  The torn log is read up to its torn end.  The other two cannot be read, so
    any of their requests may have been executed: each has an unknown outcome, whatever its class, and is not executed
    again."""
    found = [v for v in checker.judge(logs, strict=True) if "may be repeated" not in v.description]
    assert [str(v) for v in found] == []
    sent_ids, ends = outcomes(logs)
    assert all(ends[request_id] == 1 for request_id in sent_ids)
    assert ("ingress-0.1", "ingress-1") in takeovers(logs)
    foreign_events = [e for lines in logs.values() for e in lines if e["event"] == "foreign log"]
    foreign = {e["log"]: e["unknown"] for e in foreign_events}
    assert foreign.keys() == {"ingress-2.1", "ingress-4.1"} and min(foreign.values()) > 5


def test_a_stopped_ingress_may_have_answered_before_but_an_answer_after_it_resumed_violates_fencing():
    load = [
        {"at": 1, "event": "sent", "id": request_id, "ingress": "ingress-0", "timeout_ms": 9000} for request_id in "ab"
    ]
    load += [
        {"at": at, "event": "answer", "id": request_id, "ingress": "ingress-0", "status": 200}
        for request_id, at in (("a", 4), ("b", 6))
    ]
    stall = {"fault": "stall", "mode": "stall", "process": "ingress-0"}
    fleet = [{"at": 2, "event": "fault begun", **stall}, {"at": 5, "event": "fault ended", **stall}]
    takeover = {"at": 3, "event": "taking over", "log": "ingress-0.1", "by": "ingress-1.1", "ids": ["a", "b"]}
    found = checker.judge({"load": load, "fleet": fleet, "ingress-1": [takeover]})
    assert [(v.rule, v.description.split()[1]) for v in found] == [("fenced", "b")]


def test_a_fault_whose_condition_never_holds_breaks_a_rule():
    fleet = [{"at": 9, "event": "fault never begun", "fault": "kill", "process": "ingress-0"}]
    assert [(v.rule, v.source) for v in checker.judge({"fleet": fleet})] == [("schedule", "ingress-0")]


@pytest.mark.parametrize(
    "values",
    [
        dict(process="counter", mode="kill", in_flight=3),
        dict(link="ingress-1>counter", mode="cut", after="serving"),
        dict(process="ingress-1", mode="kill", in_flight=3, after="serving"),
    ],
)
def test_a_fault_waits_for_one_condition_of_an_ingress(values):
    assert [f.key for f in schedule_file.read(fleet() + fault("f", 1, **values))[1]] == ["fault.f"]


def test_the_checker_finds_a_second_execution_a_false_success_and_a_double_charge():
    def answer(request_id, status, **more):
        return {"at": 3, "event": "answer", "id": request_id, "status": status, "ingress": "ingress-0", **more}

    class_names = {"b": "book", "p": "pay", "l": "look", "n": "book", "r": "book", "u": "look", "v": "book"}
    runs = [{"at": 2, "event": "run", "id": request_id, "in_work": 1} for request_id in "bbppllrv"]
    logs = {
        "load": [
            {"at": 1, "event": "sent", "id": request_id, "ingress": "ingress-0", "cls": cls, "timeout_ms": 9000}
            for request_id, cls in class_names.items()
        ]
        + [
            answer("b", 200),
            answer("p", 200),
            answer("l", 200),
            answer("n", 200),
            answer("r", 503),
            answer("u", 502, unknown=True),
            answer("v", 200),
        ],
        "zone-a": runs,
        "ingress-1": [
            {"at": 2.5, "event": "taking over", "log": "ingress-0.1", "by": "ingress-1.1", "ids": list("bplnru")}
        ],  # v is not in the log
        "counter": [
            {"at": 2, "event": "add", "name": "0123456789abcdef", "amount": 8.0},
            {"at": 2, "event": "add", "name": "hb.f.1", "amount": 99.0},
        ],
    }
    found = [str(v).partition(": ")[2] for v in checker.judge(logs)]
    fenced = [one for one in found if "taken it over" in one]
    assert len(fenced) == 6 and sorted(set(found) - set(fenced)) == [
        "8 units charged for 7 requests",
        "request b (book) ran 2 times",
        "request n answered 200 without having run",
        "request p (pay) ran 2 times",
        "request r (book) refused though it ran",
        "request u may be repeated, and its outcome is unknown",
    ]
