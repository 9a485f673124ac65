"""Work in hand taken over, once: the log at every cut, the book, leases, whole fleets that lose ingresses."""

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
from mapleline.policy import interface as i
from mapleline.settings import own

S = 1_000_000_000
SAFE = i.RequestClass(S, 4 * S)
KEYED = i.RequestClass(S, 4 * S, i.Effect.KEYED, i.Scope.ALL, 60 * S)
NEAR = i.RequestClass(S, 4 * S, i.Effect.KEYED, i.Scope.ZONE, 60 * S)
ONCE = i.RequestClass(S, 4 * S, i.Effect.UNSAFE)


def accepted(rid, **more):
    return {"op": "a", "id": rid, **more}


def sent(rid, n=0, at=100.0):
    return {"op": "s", "id": rid, "n": n, "at": at}


RECORDS = [accepted("x", body="\u00e9"), sent("x"), accepted("y"), {"op": "d", "id": "x", "how": "served"}]


@pytest.mark.parametrize("flip", [False, True], ids=["cut off", "spoilt"])
def test_a_log_cut_or_spoilt_at_any_byte_holds_what_was_whole_before_and_nothing_else(flip):
    ends, data = [len(log_header("n", 3))], log_header("n", 3)
    for record in RECORDS:
        data += encode_record(record)
        ends.append(len(data))
    assert read_log(data, "n", 3) == (RECORDS, len(data))
    for at in range(len(data)):
        torn = data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :] if flip else data[:at]
        whole = sum(end <= at for end in ends)
        if whole == 0:  # not even the header
            with pytest.raises(ValueError, match="not the log of n, epoch 3"):
                read_log(torn, "n", 3)
        else:
            records, good = read_log(torn, "n", 3)
            assert records == RECORDS[: max(0, whole - 1)] and good <= at


@pytest.mark.parametrize("data", [b"", b"#!/bin/sh\n", log_header("m", 3), log_header("n", 4), b"\0" * 64])
def test_a_foreign_file_is_no_log(data):
    with pytest.raises(ValueError, match="not the log"):
        read_log(data, "n", 3)


@pytest.mark.parametrize(
    "records, cls, now, fate",
    [
        ([], ONCE, 100, TakeoverAction.SEND),
        ([sent("x")], ONCE, 100, TakeoverAction.UNKNOWN),
        ([sent("x"), {"op": "n", "id": "x", "n": 0}], ONCE, 100, TakeoverAction.SEND),  # proven never to have run
        ([sent("x"), {"op": "n", "id": "x", "n": 0}, sent("x", 1)], ONCE, 100, TakeoverAction.UNKNOWN),
        ([sent("x")], SAFE, 100, TakeoverAction.SEND),
        ([sent("x")], KEYED, 150, TakeoverAction.SEND),
        ([sent("x")], KEYED, 155, TakeoverAction.UNKNOWN),  # nine tenths of the key's life are over
        ([sent("x"), sent("x", 1, 150)], KEYED, 155, TakeoverAction.UNKNOWN),  # since the first sending
        ([sent("x")], NEAR, 101, TakeoverAction.UNKNOWN),  # other servers do not know the key
        ([sent("x"), {"op": "d", "id": "x", "how": "served"}], ONCE, 100, TakeoverAction.PUBLISH),
        ([sent("x"), {"op": "d", "id": "x", "how": "served"}], SAFE, 100, TakeoverAction.DROP),
    ],
)
def test_the_fate_of_a_request_follows_from_its_record_and_its_class(records, cls, now, fate):
    table = InFlightTable().replay([accepted("x"), *records])
    assert table.requests["x"].takeover_action(cls, now) is fate
    assert (
        InFlightTable().replay(table.snapshot()).requests["x"].takeover_action(cls, now) is fate
    )  # from a snapshot as well
    part = InFlightTable().replay([accepted("x", whole=False), *records]).requests["x"].takeover_action(cls, now)
    assert part is (TakeoverAction.UNKNOWN if fate is TakeoverAction.SEND else fate)  # its body is not on record


OPS = st.lists(st.tuples(st.sampled_from("asnndfte"), st.sampled_from("xyz"), st.integers(0, 2)), max_size=40)


@trials(max_examples=200, derandomize=True, deadline=None)
@given(OPS)
def test_a_snapshot_says_what_the_log_said(ops):
    table = InFlightTable()
    for op, rid, n in ops:
        table.apply({"op": op, "id": rid, "log": f"{rid}.1", "n": n, "at": 1.0 + n, "how": "failed"})
    again = InFlightTable().replay(table.snapshot())
    assert (again.takeovers, again.snapshot()) == (table.takeovers, table.snapshot())
    for rid, entry in table.requests.items():
        assert again.requests[rid].takeover_action(KEYED, 30) is entry.takeover_action(KEYED, 30)


def test_the_store_gives_each_claim_and_each_id_to_one(tmp_path):
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
    other.forget_outcomes(before=1e12)
    assert store.outcome(b"x") is None and store.claim_id(b"x", "c.1")


def test_an_id_whose_outcome_is_kept_stays_held_when_its_owner_is_taken_over_in_turn(tmp_path):
    """Else the client that comes for the outcome claims the id, and what must not run twice does."""
    store = Store(str(tmp_path))
    assert store.claim_id(b"x", "a.1") and store.claim_id(b"y", "a.1")
    store.publish(b"x", {"status": 502})
    assert store.release_unrecorded_ids("a.1") == 1 and not store.claim_id(b"x", "b.1") and store.claim_id(b"y", "b.1")
    store.forget_outcomes(before=1e12)
    assert store.claim_id(b"x", "c.1")


def test_a_log_is_read_back_and_a_snapshot_takes_its_place(tmp_path):
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
def test_settings_that_do_not_fit_name_the_key(text, key):
    assert [f.key for f in own.read(text)[1]] == [key]


class Silent:
    """An engine that only notes what it is given."""

    classes = [SAFE, ONCE]

    def __init__(self):
        self.came = []

    def accept(self, arrival, wish, answerer):
        self.came.append((wish.id, arrival.is_counted))

    def abandon_all(self):
        raise AssertionError("not fenced")


def test_what_is_carried_over_a_stall_that_nobody_noticed_can_still_be_taken_over(tmp_path, monkeypatch):
    """Else its ids stay with the old epoch's log, and a later taker passes its requests over for good."""
    now = [1000.0]
    monkeypatch.setattr(driver.time, "time", lambda: now[0])
    told = own.Handoff(enabled=True, dir=str(tmp_path), lease_s=3, margin_s=0.5)
    names = RequestNames(["look", "book"], ["wide"])
    a, b = (driver.Handoff(None, told, Silent(), name, names) for name in "ab")
    a.store.claim_log("c.1", a.log_name)  # it was taking over c's work as well
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
    b.renew_lease(now[0])  # a is dead now
    b.take_over_expired(now[0])
    b.update()
    assert b.engine.came == [(b"x", True)] and b.store.owner_of_id(b"x") == "b.1"
    assert "c.1" not in b.in_flight.takeovers and b.store.claimed_by("c.1") == "b.1"  # nothing was left of c's


# --- fleets of processes

# What is asked of these plays must not hang on how fast the machine is: leases outlive a busy machine's pauses, much
# is in hand because servers are many and slow rather than by many requests a second, and a fault that needs so much
# in hand waits for it.  An ingress's first room is two a server; more it learns from answers, later on a busy machine.
HANDOFF = dict(enabled=True, dir="store", lease_s=2.4, margin_s=0.4)


WORK_MS = 3000


def plan(*faults, handoff=None, **values):
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


def counted(logs, name):
    """A counter summed over the ingresses that lived to print it."""
    return sum(
        e["counts"].get(name, 0)
        for lines in logs.values()
        for e in lines
        if e["event"] == "counters" and e.get("why") == "exit"
    )


def outcomes(logs):
    over = ("answer", "cut off", "unanswered")
    ends = collections.Counter(e["id"] for e in logs["load"] if e["event"] in over)
    asked = [e["id"] for e in logs["load"] if e["event"] == "sent"]
    return asked, ends


def one_each(logs):
    """Every rule holds, and every request has exactly one outcome, whichever ingress it was sent to."""
    assert [str(v) for v in checker.judge(logs, strict=True)] == []
    asked, ends = outcomes(logs)
    assert all(ends[rid] == 1 for rid in asked)


def at_work(logs, fault, process):
    """Class by id of what that ingress had at work when the fault began, by the servers' records: none of it can
    have been answered, since a server takes WORK_MS for each (less 20 for timers)."""
    began, runs = when(logs, fault), {}
    for e in (e for name, lines in logs.items() if name.startswith("zone-") for e in lines):
        if e["event"] == "run":
            runs[e["id"]] = min(e["at"], runs.get(e["id"], e["at"]))
    return {
        e["id"]: e["cls"]
        for e in logs["load"]
        if e["event"] == "sent"
        and e["ingress"] == process
        and began - (WORK_MS - 20) / 1000 < runs.get(e["id"], 0) < began
    }


def taken(logs):
    """Log by taker, of every takeover that was begun."""
    return [
        (e["log"], e["by"].rpartition(".")[0])
        for name, lines in logs.items()
        if name.startswith("ingress-")
        for e in lines
        if e["event"] == "taking over"
    ]


KILLED = plan(
    fault("kill", 3, process="ingress-0", mode="kill", in_flight=220),  # the one that most of the load goes to
    ingresses=3,
    servers=384,
    seconds=13,
    rate=150,
    lean=0.6,
    shift_s=60,
)


@pytest.mark.schedule(KILLED)
def test_what_a_killed_ingress_had_in_hand_has_one_outcome_each(logs):
    """At least 200 requests of three classes in hand; their clients come again with the same id elsewhere."""
    one_each(logs)
    (e,) = [e for e in logs["ingress-1"] if e["event"] == "taking over"]
    assert e["open"] >= 200 and taken(logs) == [("ingress-0.1", "ingress-1")]
    hand = at_work(logs, "kill", "ingress-0")
    once = {rid for rid, cls in hand.items() if cls == "book"}
    assert set(hand.values()) == {"look", "pay", "book"} and hand.keys() <= set(e["ids"])
    assert counted(logs, "handoff.send") >= max(51, len(hand) - len(once))
    assert counted(logs, "handoff.unknown") >= max(21, len(once))
    assert not any(e["event"] == "answer" and e["id"] in once and e["status"] == 200 for e in logs["load"])
    told = counted(logs, "handoff.outcome_told") + counted(logs, "handoff.refused")
    assert told > 100  # the one outcome; or room for it elsewhere, where its units are paid


STALLED = plan(fault("stall", 3, process="ingress-1", mode="stall", lasts=5.5, in_flight=30), seconds=13)


@pytest.mark.schedule(STALLED)
def test_an_ingress_stalled_beyond_its_lease_completes_nothing_when_it_wakes(logs):
    one_each(logs)
    assert taken(logs) == [("ingress-1.1", "ingress-2")]
    hand = at_work(logs, "stall", "ingress-1")
    (e,) = [e for e in logs["ingress-2"] if e["event"] == "taking over"]
    assert hand.keys() <= set(e["ids"])
    assert counted(logs, "handoff.fenced") == 1 and counted(logs, "request.abandoned") >= max(21, len(hand))
    begun = [e["epoch"] for e in logs["ingress-1"] if e["event"] == "handoff begun"]
    assert begun == [1, 2]  # and it serves again
    woke = when(logs, "stall", "fault ended")
    assert any(
        e["event"] == "answer" and e["ingress"] == "ingress-1" and e["status"] == 200 and e["at"] > woke + 0.5
        for e in logs["load"]
    )


CASCADE = plan(
    fault("first", 3, process="ingress-1", mode="kill", in_flight=30),
    fault("its-taker", 0.5, process="ingress-2", mode="kill", after="taking over"),
    grace=18,
    retry_s=16,
    handoff={"pace_per_s": 20},
)


@pytest.mark.schedule(CASCADE)
def test_a_taker_killed_amid_the_takeover_leaves_each_request_with_one_owner(logs):
    """Twenty a second are adopted of at least thirty: ingress-2 dies half a second later, with some of
    ingress-1's requests adopted, some not yet."""
    one_each(logs)
    done = taken(logs)
    assert ("ingress-1.1", "ingress-2") in done and ("ingress-2.1", "ingress-3") in done
    assert ("ingress-1.1", "ingress-3") in done  # what the first taker had not come to


TWO = plan(
    fault("one", 3, process="ingress-1", mode="kill"),
    fault("two", 3, process="ingress-2", mode="kill"),
    fault("cut", 2.5, link="ingress-3>counter", mode="cut", lasts=6),
    fault("back", 8, process="ingress-2", mode="restart"),
    seconds=11,
)


@pytest.mark.schedule(TWO)
def test_two_killed_at_once_have_one_taker_each(logs):
    """Neighbours on the ring, and their taker is cut off from the counter; one comes back under its name."""
    one_each(logs)
    assert sorted(taken(logs)) == [("ingress-1.1", "ingress-3"), ("ingress-2.1", "ingress-3")]


SPOILT = plan(
    *(
        fault(f"kill-{n}", 3, process=f"ingress-{n}", mode="kill", record=record)
        for n, record in ((0, "torn"), (2, "empty"), (4, "foreign"))
    )
)


@pytest.mark.schedule(SPOILT)
def test_a_torn_an_empty_and_a_foreign_record_are_taken_for_what_they_are(logs):
    """Three killed at once.  The torn one is read up to its tail; of the others' requests nobody can tell
    which ran, so that each has the outcome unknown, whatever its class, and none runs again."""
    found = [v for v in checker.judge(logs, strict=True) if "may be repeated" not in v.description]
    assert [str(v) for v in found] == []
    asked, ends = outcomes(logs)
    assert all(ends[rid] == 1 for rid in asked)
    assert ("ingress-0.1", "ingress-1") in taken(logs)
    spoilt = [e for lines in logs.values() for e in lines if e["event"] == "foreign log"]
    foreign = {e["log"]: e["unknown"] for e in spoilt}
    assert foreign.keys() == {"ingress-2.1", "ingress-4.1"} and min(foreign.values()) > 5


def test_an_answer_read_of_a_stopped_ingress_was_written_before_and_one_read_later_breaks_the_fence():
    load = [{"at": 1, "event": "sent", "id": rid, "ingress": "ingress-0", "timeout_ms": 9000} for rid in "ab"]
    load += [
        {"at": at, "event": "answer", "id": rid, "ingress": "ingress-0", "status": 200}
        for rid, at in (("a", 4), ("b", 6))
    ]
    stall = {"fault": "stall", "mode": "stall", "process": "ingress-0"}
    fleet = [{"at": 2, "event": "fault begun", **stall}, {"at": 5, "event": "fault ended", **stall}]
    over = {"at": 3, "event": "taking over", "log": "ingress-0.1", "by": "ingress-1.1", "ids": ["a", "b"]}
    found = checker.judge({"load": load, "fleet": fleet, "ingress-1": [over]})
    assert [(v.rule, v.description.split()[1]) for v in found] == [("fenced", "b")]


def test_a_fault_that_waits_for_what_does_not_come_breaks_a_rule():
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
def test_a_fault_waits_for_one_thing_of_an_ingress(values):
    assert [f.key for f in schedule_file.read(fleet() + fault("f", 1, **values))[1]] == ["fault.f"]


def test_the_checker_finds_a_second_run_a_false_success_and_a_double_charge():
    def answer(rid, status, **more):
        return {"at": 3, "event": "answer", "id": rid, "status": status, "ingress": "ingress-0", **more}

    kinds = {"b": "book", "p": "pay", "l": "look", "n": "book", "r": "book", "u": "look", "v": "book"}
    runs = [{"at": 2, "event": "run", "id": rid, "in_work": 1} for rid in "bbppllrv"]
    logs = {
        "load": [
            {"at": 1, "event": "sent", "id": rid, "ingress": "ingress-0", "cls": cls, "timeout_ms": 9000}
            for rid, cls in kinds.items()
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
        ],  # v lay unread: it is not on record
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
