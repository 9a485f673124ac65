"""What a world has seen against the operators' rules: every broken one, with its moment (pure)."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass, field

from ..system.settings import Bounds

TWO_SIDED = "non_idempotent", "upload"


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
    versions: list[tuple[float, str, int, int]] = field(default_factory=list)  #: when, machine, life, in force there
    acknowledged: list[tuple[float, str, int]] = field(default_factory=list)  #: when, register, version
    late_orders: list[tuple[float, str]] = field(default_factory=list)

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
    found = [f"ACKS {at:.2f}: {what}" for at, what in record.late_orders]
    for rule in (_requests, _zones, _quota, _cold, _budget, _versions):
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
    for sent in record.sent.values():
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
            if server.zone == zone and since + bounds.evacuation < sent_at < until \
                    and record.in_touch(one.by.name, sent_at, bounds.evacuation):
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
        lie = [at for at in sorted(times[id]) if since <= at < until]
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
    configs = [(at, version) for at, key, version in record.acknowledged if key == "config"]
    for at, machine, life, version in record.versions:
        if version < held.get((machine, life), -1):
            found.append(f"CONFIG {at:.2f}: {machine} went back to {version}")
        held[machine, life] = version
        due = max((v for acked, v in configs if acked + apply < at), default=-1)
        if version < due and record.in_touch(machine, at, apply):
            found.append(f"CONFIG {at:.2f}: {machine} serves by {version}, {due} is due")
    return found
