"""The driver of `handoff/`: keeps the record, the lease and the ids, and takes over from the dead (thin).

The engine asks it before it sends or answers; the front before it takes a request in.  Lines: `handoff begun`
(an epoch of this process), `fenced`, `taking over`, `taken over`, `foreign log`.  See docs/handoff.md.
"""

from __future__ import annotations

import time
from collections import deque
from typing import Any

from ..engine import Attempt, Engine, Open
from ..handoff.in_flight import InFlightRequest, InFlightTable, Op, TakeoverAction
from ..handoff.store import Store
from ..handoff.write_ahead_log import WriteAheadLog, log_name
from ..http1 import MAX_BUFFERED_BODY_BYTES, Request, Response
from ..http1.translator import TranslatedRequest
from ..membership import Lease, LeaseTable
from ..policy.interface import Arrival, Effect
from ..settings.own import Handoff as Told
from ..telemetry import COUNTS, log

TICK_S = 0.1
UNKNOWN = {"status": 502, "lines": "X-Outcome: unknown\r\n", "body": ""}


class FleetIds:
    """Ids in hand over the fleet, in place of the front's own."""

    def __init__(self, handoff: Handoff) -> None:
        self.handoff, self.held = handoff, set()

    def claim(self, request_id: bytes) -> bool:
        handoff = self.handoff
        if request_id in self.held:
            return False
        if not handoff.store.claim_id(request_id, handoff.log_name):
            known = handoff.store.outcome(request_id)
            if not known or not known.get("paid") or not handoff.store.take_outcome(request_id):
                return False
            handoff.store.move_id(request_id, handoff.log_name)
            handoff.paid.add(request_id)
        self.held.add(request_id)
        return True

    def release(self, request_id: bytes) -> None:
        """Its answer is on its way: the id is free a moment later."""
        self.held.discard(request_id)
        self.handoff.freed.append((time.time(), request_id))


class Heir:
    """The Answerer of a request that was taken over: its outcome waits for whoever asks."""

    def __init__(self, handoff: Handoff, request_id: bytes) -> None:
        self.handoff, self.id = handoff, request_id

    def served(self, answer: Response) -> None:
        kind = answer.headers.get(b"content-type", b"")
        lines = f"Content-Type: {kind.decode('latin-1')}\r\n" if kind else ""
        self.handoff.publish(self.id, {"status": 200, "lines": lines, "body": answer.body.decode("latin-1")})

    def begun(self, answer: Any, source: Any) -> None:
        self.handoff.publish(self.id, UNKNOWN)  # it ran, and its answer is too long to keep

    def part(self, data: bytes) -> None:
        pass

    def ended(self, whole: bool) -> None:
        pass

    def refused(self, retry_in_ns: int, over_quota: bool) -> None:
        """Turned down here: whoever comes again with the id is a new try, whose units are on the count."""
        COUNTS["handoff.refused"] += 1
        self.handoff.publish(self.id, {"paid": True})

    def failed(self, overdue: bool) -> None:
        self.handoff.publish(self.id, UNKNOWN)

    def dropped(self) -> None:
        pass


class Handoff:
    """One ingress's part: `engine.record`, and the source of the front's ids and outcomes."""

    def __init__(
        self, reactor: Any, told: Told, engine: Engine, name: str, classes: list[str], plans: list[str]
    ) -> None:
        self.reactor, self.told, self.engine, self.name = reactor, told, engine, name
        self.classes, self.plans = classes, plans
        self.store = Store(told.dir)
        self.leases = LeaseTable(told.margin_s)
        self.freed: deque[tuple[float, bytes]] = deque()
        self.ids = FleetIds(self)
        self.kept: set[bytes] = set()  #: ids that stay held when the client's connection lets them go
        self.paid: set[bytes] = set()  #: claimed ids whose units an earlier try has put on the count
        self.work: deque[tuple[str, InFlightRequest | None]] = deque()  #: to be adopted, by log; None: the log's end
        self.renewed = self.synced = 0.0
        self.epoch = max(self.store.log_epochs(name), default=0)
        self._begin(InFlightTable())
        for epoch, taken in sorted(self.store.log_epochs(name).items()):
            if epoch < self.epoch and not taken:  # of this name before its restart
                self._take(log_name(name, epoch))

    @property
    def log_name(self) -> str:
        return log_name(self.name, self.epoch)

    def _begin(self, table: InFlightTable) -> None:
        """A new epoch, with what is carried over."""
        while True:
            self.epoch += 1
            try:
                self.log = WriteAheadLog(self.store.folder, self.name, self.epoch, table.snapshot())
                break
            except FileExistsError:
                continue  # another process of this name
        self.in_flight = table
        self._renew(time.time())
        log("handoff begun", name=self.name, epoch=self.epoch, open=len(table.requests))

    def _carry(self) -> None:
        """Go on in a new epoch: the ids of what is open, and what is being taken over, become its log's."""
        for request in self.in_flight.requests.values():
            request.accepted["from"] = self.log_name  # until its id is moved, a taker finds it by this
        self._begin(self.in_flight)
        for rid in self.in_flight.requests:
            self.store.move_id(rid.encode("latin-1"), self.log_name)
        for older in self.in_flight.takeovers:
            self.store.inherit_claim(older, self.log_name)

    def _renew(self, now: float) -> None:
        self.renewed, self.until = now, now + self.told.lease_s
        self.store.write_lease(Lease(self.name, self.epoch, self.until))

    def start(self) -> None:
        from twisted.internet import task

        self.loop = task.LoopingCall(self.tick)
        self.loop.start(TICK_S, now=True)
        self.reactor.addSystemEventTrigger("after", "shutdown", self.leave)

    def good(self) -> bool:
        """Whether this process still owns what it has open; looked at before each send and answer."""
        if time.time() < self.until:
            return True
        # A stall: unless somebody has its work already, it goes on in a new epoch.
        old, mine = self.log, self.store.claim_log(self.log_name, f"{self.name} itself")
        log("lease lost", epoch=self.epoch, taken=not mine, open=len(self.in_flight.requests))
        if mine:
            self._carry()
        else:
            self._begin(InFlightTable())
        old.close()
        if not mine:
            COUNTS["handoff.fenced"] += 1
            self.work.clear()
            self.ids.held.clear()
            self.paid.clear()
            self.freed.clear()
            self.engine.abandon()
        return mine

    def _note(self, record: dict[str, Any], is_deferred: bool = False) -> None:
        """`is_deferred`: with the next record, or the next tick; what is lost with it may be done again."""
        self.in_flight.apply(record)
        self.log.write(record, is_deferred)

    # what the engine says

    def accepted(self, opened: Open, arrival: Arrival) -> None:
        wish, rid = opened.wish, opened.wish.id.decode("latin-1")
        if wish.id in self.paid:
            self.paid.discard(wish.id)
            arrival.paid = True
        if rid in self.in_flight.requests or not self.good():
            return
        request = wish.request
        whole = not request.more and len(request.body) <= MAX_BUFFERED_BODY_BYTES
        self._note(
            {
                "op": Op.ACCEPTED.value,
                "id": rid,
                "at": time.time(),
                "cls": self.classes[arrival.cls],
                "plan": self.plans[arrival.plan],
                "customer": arrival.customer,
                "units": arrival.units,
                "spread": arrival.spread,
                "first": 0.0,
                "start": arrival.first,
                "whole": whole,
                "method": request.method.decode(),
                "target": request.target.decode("latin-1"),
                "lines": wish.lines.decode("latin-1"),
                "body": request.body.decode("latin-1") if whole else "",
            }
        )

    def sending(self, attempt: Attempt) -> bool:
        if not self.good():
            return False
        rid = attempt.wish.id.decode("latin-1")
        self._note({"op": Op.SENT.value, "id": rid, "n": attempt.number, "at": time.time()})
        return True

    def never_ran(self, attempt: Attempt) -> None:
        if not attempt.open.answered:
            self._note({"op": Op.NOT_EXECUTED.value, "id": attempt.wish.id.decode("latin-1"), "n": attempt.number})

    def answering(self, opened: Open, how: str, what: tuple[Any, ...]) -> bool:
        if not self.good():
            return False
        record: dict[str, Any] = {"op": Op.DONE.value, "id": opened.wish.id.decode("latin-1"), "how": how}
        if how == "served" and opened.cls.effect != Effect.SAFE:
            record |= {"body": what[0].body.decode("latin-1")}
        self._note(record, is_deferred=opened.cls.effect == Effect.SAFE)
        return True

    def left(self, opened: Open) -> None:
        """Its client is gone; what may have run must not run again for whoever comes with its id."""
        rid = opened.wish.id
        if opened.cls.effect != Effect.SAFE and opened.sent and self.good():
            self.kept.add(rid)
            self.publish(rid, UNKNOWN)

    # outcomes

    def publish(self, request_id: bytes, outcome: dict[str, Any]) -> None:
        COUNTS["handoff.published"] += 1
        self.store.publish(request_id, outcome)
        self._finish(request_id)

    def over(self, request_id: bytes) -> None:
        """Nothing is to be kept of it."""
        self._finish(request_id)
        self.store.release_id(request_id)

    def _finish(self, request_id: bytes) -> None:
        rid = request_id.decode("latin-1")
        if rid in self.in_flight.requests:
            self._note({"op": Op.FORGOTTEN.value, "id": rid}, is_deferred=True)

    def outcome(self, request_id: bytes) -> tuple[int, bytes, bytes] | None:
        """Status, body and header lines for whoever comes with an id whose outcome is known."""
        known = self.store.outcome(request_id)
        if known is None or known.get("paid"):
            return None
        COUNTS["handoff.outcome_told"] += 1
        return known["status"], known["body"].encode("latin-1"), known["lines"].encode("latin-1")

    # several times a second

    def tick(self) -> None:
        now = time.time()
        if not self.good():
            return
        while self.freed and self.freed[0][0] < now - TICK_S:
            request_id = self.freed.popleft()[1]
            if request_id not in self.kept:
                self.over(request_id)
            self.kept.discard(request_id)
        self.log.flush()
        for _ in range(max(1, int(self.told.pace_per_s * TICK_S))):
            if not self.work:
                break
            self._adopt(*self.work.popleft())
        if self.told.sync_ms and now - self.synced >= self.told.sync_ms / 1000:
            self.synced = now
            self.reactor.callInThread(self.log.sync)
        if self.log.grown_bytes > self.told.snapshot_kb * 1024:
            self.log.replace_with_snapshot(self.in_flight.snapshot())
        if now - self.renewed >= self.told.lease_s / 3:
            self._renew(now)
            self._look(now)
            self.store.forget_outcomes(now - self.told.keep_s)

    def _look(self, now: float) -> None:
        self.leases.replace_all(self.store.leases())
        for lease in self.leases.expired(now):
            if lease.name != self.name and self.leases.successor_of(lease.name, now) == self.name:
                self._take(log_name(lease.name, lease.epoch))
                self.store.drop_lease(lease)

    def leave(self) -> None:
        """The process ends in order: with nothing open there is nothing to take over."""
        while self.freed:
            self.over(self.freed.popleft()[1])
        self.log.flush()
        if not self.in_flight.requests and not self.work and self.store.claim_log(self.log_name, "left"):
            self.store.drop_log(self.log_name)
            self.store.drop_lease(Lease(self.name, self.epoch, self.until))

    # taking over

    def _take(self, name: str) -> None:
        self._note(
            {"op": Op.TAKEOVER_BEGUN.value, "log": name}
        )  # first, so that whoever reads this log can finish the claim
        if self.store.claim_log(name, self.log_name):
            self._read(name)
        else:
            self._note({"op": Op.TAKEOVER_ENDED.value, "log": name})

    def _read(self, name: str) -> None:
        """Queue what a log holds: first what its owner had adopted itself, then what that had not come to."""
        try:
            table = InFlightTable().replay(self.store.read_log(name))
        except ValueError as fault:  # also for a name without an epoch
            # Which of its requests ran nobody can tell: none may run again.
            doubted = self.store.publish_for_all_ids(name, UNKNOWN)
            COUNTS["handoff.unknown"] += doubted
            log("foreign log", log=name, fault=str(fault), unknown=doubted)
            return self._note({"op": Op.TAKEOVER_ENDED.value, "log": name})
        log("taking over", log=name, by=self.log_name, open=len(table.requests), ids=sorted(table.requests))
        COUNTS["handoff.taken_logs"] += 1
        self.work += [(name, request) for request in table.requests.values()]
        self.work.append((name, None))
        for older in table.takeovers:
            if self.store.claimed_by(older) == name:  # begun by the one whose log this is
                self._note({"op": Op.TAKEOVER_BEGUN.value, "log": older})
                self.store.inherit_claim(older, self.log_name)
                self._read(older)
            else:
                self._take(older)  # meant to, at most

    def _adopt(self, name: str, request: InFlightRequest | None) -> None:
        if request is None:
            freed = self.store.release_unrecorded_ids(name)
            self.store.drop_log(name)
            self._note({"op": Op.TAKEOVER_ENDED.value, "log": name})
            return log("taken over", log=name, by=self.log_name, orphans=freed)
        record = request.accepted
        rid = record["id"].encode("latin-1")
        if self.store.owner_of_id(rid) not in (name, record.get("from", name)):
            return None  # over, or another's
        self._note({**record, "out": sorted(request.unresolved), "first": request.first_sent, "from": name})
        self.store.move_id(rid, self.log_name)
        known = record["cls"] in self.classes and record["plan"] in self.plans
        cls = self.engine.classes[self.classes.index(record["cls"])] if known else None
        action = request.takeover_action(cls, time.time()) if cls is not None else TakeoverAction.UNKNOWN
        COUNTS[f"handoff.{action.value}"] += 1
        if action is TakeoverAction.DROP:
            self.over(rid)
        elif action is TakeoverAction.UNKNOWN:
            self.publish(rid, UNKNOWN)
        elif action is TakeoverAction.PUBLISH:
            served = request.done.get("how") == "served"
            outcome = {"status": 200, "lines": "", "body": request.done.get("body", "")}
            self.publish(rid, outcome if served else UNKNOWN) if served or request.unresolved else self.over(rid)
        else:
            self._send(rid, record, cls)
        return None

    def _send(self, rid: bytes, record: dict[str, Any], cls: Any) -> None:
        arrival = Arrival(
            0,
            self.classes.index(record["cls"]),
            self.plans.index(record["plan"]),
            record["customer"],
            cls.deadline_ns,
            record["units"],
            record["spread"],
            record["start"],
            paid=True,
        )
        request = Request(
            record["method"].encode(), record["target"].encode("latin-1"), {}, record["body"].encode("latin-1"), True
        )
        wish = TranslatedRequest(rid, arrival, request, record["lines"].encode("latin-1"))
        self.engine.arrive(arrival, wish, Heir(self, rid))
