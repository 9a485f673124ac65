"""What a world has seen against the operators' rules: every broken one, with its moment (pure)."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

from ..balancer.settings import Bounds

TWO_SIDED = "non_idempotent", "upload"
REPLACE, READ = "/config/replace", "/config/read"
FOR_GOOD = frozenset({400, 409, 412, 413, 422})  #: ends a call of an operator at once
START_MOST_S = 0.7  # a start takes that
SILENCE_S = 1.0  # an operator waits so long for an answer
LINGER_S = 5.0  # an order that was given up may still take effect so much later


@dataclass(slots=True)
class Sent:
    """One try of a client, and how it ended."""

    id: str
    kind: str
    tenant: str
    key: str
    zone: str
    at: float
    status: int | None = None
    ended_at: float = 0.0
    stamp: str = ""  #: the server that the answer names


@dataclass(eq=False, slots=True)
class Order:
    """What an operator sent until it had a clear answer, or gave up; sent again later it is another order."""

    path: str
    number: int  #: the version, -1 where there is none
    content: str  #: digest of the body
    at: float
    valid: bool = True
    acknowledged: float | None = None
    over: float | None = None
    refused: int = 0


@dataclass(slots=True)
class Answer:
    """One call of an operator that was answered; `order` is None for a read, `content` says what was read."""

    order: Order | None
    machine: str
    asked: float
    at: float
    status: int
    number: int = -1
    content: str = ""


@dataclass
class Record:
    """All that happened; times in seconds of the world."""

    bounds: Bounds
    zones: dict[str, str]
    sent: dict[str, Sent] = field(default_factory=dict)
    runs: list[tuple[float, float, object, object]] = field(default_factory=list)
    arrivals: list[tuple[float, float, object, object]] = field(default_factory=list)
    services: dict[str, set[str]] = field(default_factory=dict)  #: allowed by any configuration, by kind of request
    homes: dict[str, set[str]] = field(default_factory=dict)  #: of kinds of request and of tenants
    limits: dict[str, tuple[float, float]] = field(default_factory=dict)
    cold_rate: float = 0.0
    revoked: dict[str, float] = field(default_factory=dict)  #: key, and when that was acknowledged
    cold: list[tuple[str, float, float]] = field(default_factory=list)  #: server, from, until
    drained: dict[str, float] = field(default_factory=dict)  #: server, and when the list showed it
    evacuated: list[list] = field(default_factory=list)  #: zone, acknowledged, taken back
    troubles: list[tuple[float, float, str]] = field(default_factory=list)  #: from, until, machine or "core"
    #: when, machine, life, and version and content in force there
    versions: list[tuple[float, str, int, int, str]] = field(default_factory=list)
    acknowledged: list[tuple[float, str, int]] = field(default_factory=list)  #: when, register, version
    orders: list[Order] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)  #: to operators
    withdrawn: dict[str, float] = field(default_factory=dict)  #: key, and when one without it was first sent
    lookups: list[tuple[float, str, int]] = field(default_factory=list)  #: when answered, machine, status
    contact: list[tuple[float, set[str]]] = field(default_factory=list)  #: when, machines with a way to a majority
    #: when, the part of the core that is able and connected (empty: no majority), and those that count as formed
    core: list[tuple[float, set[str], set[str]]] = field(default_factory=list)
    events: list[tuple[float, str, str]] = field(default_factory=list)  #: when, machine of the core, what befell it
    emptied: list[tuple[float, str, set[str]]] = field(default_factory=list)  #: when, machine, zones that get nothing
    ended: float = float("inf")

    def in_touch(self, machine: str, at: float, before: float = 0.0) -> bool:
        """No trouble on it or on the core in the last `contact_window`, and for so long before."""
        since = at - self.bounds.contact_window - before
        return not any(a <= at and b >= since and who in (machine, "core") for a, b, who in self.troubles)


def most_within(times: list[float], span: float) -> tuple[int, float]:
    """The most of sorted times that lie within any such span, and where it begins."""
    best, where, first = 0, 0.0, 0
    for n, at in enumerate(times):
        while at - times[first] >= span:
            first += 1
        if n - first + 1 > best:
            best, where = n - first + 1, times[first]
    return best, where


def judge(record: Record) -> list[str]:
    """The broken rules, a line each."""
    found = []
    for rule in (
        _requests,
        _zones,
        _quota,
        _cold,
        _budget,
        _versions,
        _rivals,
        _again,
        _force,
        _stale,
        _known,
        _directory,
        _acknowledged,
        _whole,
        _emptied,
    ):
        found += rule(record)
    return found


def _requests(record: Record) -> list[str]:
    found, ran = [], defaultdict(int)
    for _, at, server, one in record.runs:
        sent = record.sent.get(one.fields["request-id"])
        if sent is None:
            found.append(f"UNASKED {at:.2f}: {one.fields['request-id']}")
            continue
        ran[sent.id] += 1
        if sent.kind in TWO_SIDED and ran[sent.id] > 1:
            found.append(f"TWICE {at:.2f}: {sent.id}")
        if one.fields.get("tenant") != sent.tenant:
            found.append(f"UNASKED {at:.2f}: {sent.id} as {one.fields.get('tenant')}")
        if server.service not in record.services[sent.kind]:
            found.append(f"ROUTE {at:.2f}: {sent.id} by {server.service}")
        taken = record.revoked.get(sent.key)
        if taken is not None and sent.at > taken + record.bounds.revoke_timeout:
            found.append(f"CONFIG {at:.2f}: {sent.id} with a key revoked at {taken:.2f}, by {one.by.name}")
    ran_at = {(one.fields["request-id"], server.id) for _, _, server, one in record.runs}
    for sent in record.sent.values():
        if sent.status == 200 and (sent.id, sent.stamp) not in ran_at:
            found.append(f"MIXED {sent.ended_at:.2f}: {sent.id} got the answer of {sent.stamp or 'nobody'}")
        if sent.kind in TWO_SIDED and sent.status in (429, 503) and ran[sent.id]:
            found.append(f"REFUSED {sent.at:.2f}: {sent.id} got {sent.status} and ran")
    return found


def _zones(record: Record) -> list[str]:
    found, bounds = [], record.bounds
    for sent_at, at, server, one in record.arrivals:
        sent = record.sent.get(one.fields["request-id"])
        if sent is None:
            continue
        for homes in (record.homes.get(sent.kind), record.homes.get(sent.tenant)):
            if homes and record.zones[server.zone] not in homes:
                found.append(f"HOME {at:.2f}: {sent.id} in {server.zone}")
        drained = record.drained.get(server.id)
        if drained is not None and sent_at > drained + bounds.drain_timeout and record.in_touch(one.by.name, sent_at):
            found.append(f"DRAIN {at:.2f}: {sent.id} at {server.id}, draining since {drained:.2f}, by {one.by.name}")
        for zone, since, until in record.evacuated:
            if (
                server.zone == zone
                and since + bounds.evacuation < sent_at < until
                and record.in_touch(one.by.name, sent_at, bounds.evacuation)
            ):
                found.append(f"EVAC {at:.2f}: {sent.id} at {server.id}, evacuated at {since:.2f}, by {one.by.name}")
    return found


def _quota(record: Record) -> list[str]:
    found, times, bounds = [], defaultdict(list), record.bounds
    for sent_at, _, _, one in record.runs:
        times[one.fields.get("tenant", "")].append(sent_at)
    for tenant, (rate, burst) in record.limits.items():
        most, where = most_within(sorted(times[tenant]), bounds.quota_window)
        allowed = (rate * bounds.quota_window + burst) * (1 + bounds.quota_overshoot) + bounds.quota_slack
        if rate and most > allowed:
            found.append(f"QUOTA {where:.2f}: {tenant} ran {most}, {allowed:.0f} allowed")
    return found


def _cold(record: Record) -> list[str]:
    found, times, bounds = [], defaultdict(list), record.bounds
    for sent_at, at, server, _ in record.arrivals:
        if at - sent_at < 1.0:
            times[server.id].append(sent_at)
    for id, since, until in record.cold:
        lie = [at for at in sorted(times[id]) if since <= at < until + 1.0]  # spans that begin while it is cold
        most, where = most_within(lie, 1.0)
        if most > record.cold_rate * bounds.cold_overshoot + bounds.cold_slack:
            found.append(f"FAILBACK {where:.2f}: {id} got {most} in a second")
    return found


def _budget(record: Record) -> list[str]:
    found, bounds, seen = [], record.bounds, set()
    further, asked = defaultdict(list), defaultdict(list)
    for sent_at, _, server, one in record.arrivals:
        id = one.fields["request-id"]
        if id in seen:
            further[server.service].append(sent_at)
        elif id in record.sent:
            asked[server.service].append(record.sent[id].at)
        seen.add(id)
    window = bounds.retry_window
    for service, times in further.items():
        times.sort()
        starts = sorted(asked[service])

        def sent_in(at: float, starts: list[float] = starts) -> int:
            return bisect_left(starts, at + window) - bisect_left(starts, at)

        for n, at in enumerate(times):
            many = bisect_left(times, at + window) - n
            most = max(sent_in(at), sent_in(at - window), sent_in(at - window / 2))
            if many > bounds.retry_budget_ratio * most + bounds.retry_budget_slack:
                found.append(f"BUDGET {at:.2f}: {service} got {many} further tries for {most}")
                break
    return found


def _versions(record: Record) -> list[str]:
    found, held = [], {}
    apply = record.bounds.config_apply
    times, newest = [], []  # the newest version that was acknowledged by each moment at which one was
    for acked, version in sorted((at, version) for at, key, version in record.acknowledged if key == "config"):
        times.append(acked)
        newest.append(max(version, newest[-1] if newest else -1))
    for at, machine, life, version, _ in record.versions:
        if version < held.get((machine, life), -1):
            found.append(f"CONFIG {at:.2f}: {machine} went back to {version}")
        held[machine, life] = version
        nth = bisect_left(times, at - apply)
        due = newest[nth - 1] if nth else -1
        if version < due and record.in_touch(machine, at, apply):
            found.append(f"CONFIG {at:.2f}: {machine} serves by {version}, {due} is due")
    return found


def _configs(record: Record) -> dict[int, list[Order]]:
    """The valid configurations that were sent, by version."""
    found: dict[int, list[Order]] = defaultdict(list)
    for order in record.orders:
        if order.path == REPLACE and order.valid:
            found[order.number].append(order)
    return found


def _rivals(record: Record) -> list[str]:
    """Of two contents under one number one is confirmed, and never both; nor may all be refused."""
    found = []
    for number, orders in _configs(record).items():
        confirmed: dict[str, float] = {}
        for order in sorted((o for o in orders if o.acknowledged is not None), key=lambda o: o.acknowledged):
            if confirmed and order.content not in confirmed:
                first, at = next(iter(confirmed.items()))
                found.append(
                    f"RIVALS {order.acknowledged:.2f}: {number} confirmed as {order.content}, and as {first} "
                    f"at {at:.2f}"
                )
            confirmed.setdefault(order.content, order.acknowledged)
        if not confirmed and all(order.refused for order in orders):
            found.append(f"RIVALS {max(o.over for o in orders):.2f}: every content under {number} was refused")
    return found


def _again(record: Record) -> list[str]:
    """What was acknowledged once, or was seen in force, is never refused, and neither is what has no rival."""
    found = []
    acknowledged: dict[tuple, float] = {}
    for order in record.orders:
        if order.acknowledged is not None:
            key = order.path, order.number, order.content
            acknowledged[key] = min(order.acknowledged, acknowledged.get(key, float("inf")))
    seen: dict[tuple, float] = {}
    for at, _, _, version, content in record.versions:
        seen.setdefault((REPLACE, version, content), at)
    configs = _configs(record)
    for answer in record.answers:
        order = answer.order
        if order is None or not order.valid or not 400 <= answer.status < 500 or answer.status in (408, 429):
            continue
        key = order.path, order.number, order.content
        since, what = acknowledged.get(key, float("inf")), f"{order.path} {order.number}"
        if since < answer.asked:
            others = any(
                o.at < answer.at
                and (o.path, o.number, o.content) != key
                and o.valid
                and (o.over is None or o.over > since)
                for o in record.orders
            )
            found.append(
                f"AGAIN {answer.at:.2f}: {what}, acknowledged at {since:.2f}, got {answer.status} from "
                f"{answer.machine}" + ("" if others else ", with no other change since")
            )
        elif seen.get(key, float("inf")) < answer.at:
            found.append(
                f"AGAIN {answer.at:.2f}: {what}, in force since {seen[key]:.2f}, got {answer.status} from "
                f"{answer.machine}"
            )
        elif answer.status in FOR_GOOD and not any(
            o.content != order.content and o.at < answer.at for o in configs[order.number]
        ):
            found.append(f"ACKS {answer.at:.2f}: {what} refused with {answer.status} by {answer.machine}")
    return found


def _force(record: Record) -> list[str]:
    """Nothing is in force, or read, that was refused for good, lost to a rival, was invalid or was never sent."""
    found = []
    configs = _configs(record)
    confirmed = {(n, o.content) for n, orders in configs.items() for o in orders if o.acknowledged is not None}
    decided = {n for n, _ in confirmed}
    refused = {(n, o.content): o.refused for n, orders in configs.items() for o in orders if o.refused}
    sent: dict[tuple[int, str], float] = {}
    for number, orders in configs.items():
        for order in orders:
            sent[number, order.content] = min(order.at, sent.get((number, order.content), order.at))
    for order in record.orders:
        if not order.valid and order.acknowledged is not None:
            found.append(f"FORCE {order.acknowledged:.2f}: {order.number}, which is invalid, was acknowledged")
    told: set[tuple[str, int, str]] = set()
    shown = [(at, machine, number, content, "serves by") for at, machine, _, number, content in record.versions]
    shown += [
        (a.at, a.machine, a.number, a.content, "reads") for a in record.answers if a.order is None and a.status == 200
    ]
    for at, machine, number, content, does in shown:
        what = ""
        if sent.get((number, content), float("inf")) > at:
            what = "which nobody has sent"
        elif number in decided and (number, content) not in confirmed:
            what = "whose rival was confirmed"
        elif (number, content) in refused:
            what = f"which was refused with {refused[number, content]}"
        if what and (machine, number, content) not in told:
            told.add((machine, number, content))
            found.append(f"FORCE {at:.2f}: {machine} {does} {number} as {content}, {what}")
    return found


def _stale(record: Record) -> list[str]:
    """A read gives nothing older than what was acknowledged, or read by another, before it was asked."""
    found, known, reads = [], [], []
    for at, key, version in record.acknowledged:
        if key == "config":
            known.append((at, version, "acknowledged"))
    for answer in record.answers:
        if answer.order is None and answer.status in (200, 404):
            reads.append(answer)
            if answer.status == 200:
                known.append((answer.at, answer.number, "read"))
        elif answer.order is not None and answer.status == 200 and answer.number >= 0:
            reads.append(answer)  # an acknowledgement that names what is in force
    known.sort()
    reads.sort(key=lambda answer: answer.asked)
    newest, nth = (0.0, -1, ""), 0
    for answer in reads:
        while nth < len(known) and known[nth][0] < answer.asked:
            newest = max(newest, known[nth], key=lambda one: one[1])
            nth += 1
        if answer.number < newest[1]:
            gave = answer.number if answer.status == 200 else "nothing"
            found.append(
                f"STALE {answer.at:.2f}: {answer.machine} gave {gave}, asked at {answer.asked:.2f}; "
                f"{newest[1]} was {newest[2]} at {newest[0]:.2f}"
            )
    return found


def _known(record: Record) -> list[str]:
    """Who is out of touch says that it does not know: no 4xx but for what is wrong in itself, or has a rival."""
    found = []
    samples = [at for at, _ in record.contact]
    for answer in record.answers:
        if 400 <= answer.status < 500 and answer.status not in (400, 408, 409, 429):
            nth = bisect_left(samples, answer.at) - 1
            connected = nth < 0 or answer.machine in record.contact[nth][1]
            if not connected or not record.in_touch(answer.machine, answer.at):
                found.append(f"KNOWN {answer.at:.2f}: {answer.machine}, out of touch, said {answer.status}")
    for sent in record.sent.values():
        if sent.status in (401, 403, 404) and not record.withdrawn.get(sent.key, float("inf")) < sent.ended_at:
            found.append(f"KNOWN {sent.ended_at:.2f}: {sent.id} got {sent.status} for {sent.key}, not taken away")
    return found


def _directory(record: Record) -> list[str]:
    """Who has been without a majority for longer than a lease lasts sends nobody anywhere."""
    found, last, nth = [], {}, 0
    for at, machine, status in sorted(record.lookups):
        # the look after the answer counts as well: contact may have come between two looks
        while nth < len(record.contact) and (record.contact[nth][0] <= at or nth and record.contact[nth - 1][0] <= at):
            moment, names = record.contact[nth]
            last.update(dict.fromkeys(names, moment))
            nth += 1
        since = last.get(machine, record.contact[0][0] if record.contact else at)
        if status == 200 and at - since > record.bounds.revoke_timeout:
            found.append(f"DIRECTORY {at:.2f}: {machine} answered, without a majority since {since:.2f}")
    return found


def _settled(record: Record, since: float, until: float) -> float:
    """The longest stretch of that time in which the core was settled and answers were not lost, in seconds."""
    window = record.bounds.contact_window
    unsettled = [(at, at + window) for at, _, _ in record.events if since - window <= at <= until]
    unsettled += [(a, b + SILENCE_S) for a, b, who in record.troubles if who == "answers"]
    samples = [at for at, _, _ in record.core]
    first = bisect_left(samples, since)
    unsettled += [
        (at, record.core[n + 1][0] if n + 1 < len(samples) else until)
        for n, at in enumerate(samples[first:], first)
        if at <= until and not record.core[n][1]
    ]
    best, free = 0.0, since
    for a, b in sorted(unsettled):
        best = max(best, min(a, until) - free)
        free = max(free, b)
    return max(best, until - free)


def _acknowledged(record: Record) -> list[str]:
    """A proper order is acknowledged in time, also when one more is lost after a repair or a replacement."""
    found, limit = [], record.bounds.ack_timeout
    mended = [at for at, _, what in record.events if what in ("removed", "start")]
    for order in record.orders:
        until = order.acknowledged if order.acknowledged is not None else order.over
        if until is None:
            until = record.ended
        if not order.valid or order.refused or until == float("inf"):
            continue
        stretch = _settled(record, order.at, until)
        if stretch >= limit - 0.001:
            rule = "MAJORITY" if any(at < order.at for at in mended) else "ACKS"
            end = "acknowledged" if order.acknowledged is not None else "given up"
            found.append(
                f"{rule} {until:.2f}: {order.path} {order.number} of {order.at:.2f} was {end} after "
                f"{stretch:.1f} s in calm"
            )
    return found


def _whole(record: Record) -> list[str]:
    """A machine with a disk that came back, or is new, counts and serves by the newest within `catch_up`, if there was
    nothing else; within twice that where most of the core came back at once.
    """
    found, catch_up = [], record.bounds.catch_up
    configs = [(at, version) for at, key, version in record.acknowledged if key == "config"]
    for at, machine, what in record.events:
        beside = {name for when, name, what in record.events if what == "start" and abs(when - at) <= catch_up}
        able = next((able for when, able, _ in reversed(record.core) if when <= at + catch_up), set())
        due_at = at + catch_up * (2 if 2 * len(beside) > len(able) else 1)
        if (
            what != "start"
            or due_at > record.ended
            or any(name == machine and at < when <= due_at for when, name, _ in record.events)
        ):
            continue
        span = [row for row in record.core if at + START_MOST_S <= row[0] <= due_at]
        if not span or not all(machine in able for _, able, _ in span):
            continue
        formed = span[-1][2]
        due = max((version for acked, version in configs if acked < at), default=-1)
        held = max((v for t, name, _, v, _ in record.versions if name == machine and at < t <= due_at), default=-1)
        if machine not in formed or held < due:
            counts = "counts" if machine in formed else "does not count"
            found.append(
                f"WHOLE {due_at:.2f}: {machine}, started at {at:.2f}, {counts}, and serves by {held}; {due} is due"
            )
    return found


def _emptied(record: Record) -> list[str]:
    """At the end each machine keeps to the last evacuation order of a zone that was acknowledged, where none other was
    under way beside it.
    """
    found = []
    zones: dict[str, list[Order]] = defaultdict(list)
    for order in record.orders:
        if order.path.startswith("/evacuations/"):
            zones[order.path.split("/")[2]].append(order)
    for zone, orders in zones.items():
        done = [order for order in orders if order.acknowledged is not None]
        if not done:
            continue
        last = max(done, key=lambda order: order.acknowledged)
        beside = [
            order
            for order in orders
            if order.path != last.path
            and (order.over is None or order.over + LINGER_S * (order.acknowledged is None) > last.at)
        ]
        for at, machine, emptied in record.emptied:
            begun = last.path.endswith("begin")
            if not beside and begun != (zone in emptied):
                found.append(
                    f"LOST {at:.2f}: {machine} has {zone} {'open' if begun else 'emptied'}, {last.path} was "
                    f"acknowledged at {last.acknowledged:.2f}"
                )
    return found
