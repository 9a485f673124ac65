"""The checker: judges a fleet's history from its logs alone, as an operator could (pure).

Told the events of every log (one dict a JSON line, each with `at`, Unix seconds of the machine's clock, and
`event`), it returns the violations, each naming its rule.  The rules:

- `answered`: every request the load sent has one answer by its deadline plus `slack_s`; none is lost, late,
  answered twice, or cut off with its connection.  A request whose time overlaps a fault of its ingress or of
  the load's link to it (from the fault's start to its end) is excused:
  the load there stands for clients the front would move.  A restart's fault lasts until the process is
  ready again.  With `strict`, nothing is excused.
- `schedule`: every fault that waits for something of its process has begun by the end.
- `crash`: no process ended that the schedule did not end; no ingress reported a fault of its own
  (`module raised`, `caught`, `action failed`, `answer failed`) or counted a broken invariant (`broken.*`).
- `spent`: what members say they spent of a budget in an epoch (`budget spent`) sums to at most its whole.
- `room`: no server had more requests in work than the fleet's `room` (the servers' records).
- `quota`: replayed against a store a customer (filled by the rate, up to the burst; what is served takes its
  unit when it was sent, or finds none: beyond the quota), the share of what is served beyond quotas is at
  most `overrun_most`, and that of all requests refused with a 429 while at least half of the store was
  unused is at most `refused_most`; both as the fleet's block says, 0 for not judged.
- `once`: by the servers' records no request of `book` ran twice, nor one of `pay` but for repeats that its
  key dropped; what was answered 200 ran, with its own answer; no `book` that ran was refused, and no
  outcome is unknown of a request that might have been repeated.
- `charged`: what the counter was told to add for customers sums to no more than a unit for each request
  that ran, was answered by other than a refusal, or whose client had to come again.
- `fenced`: once another has begun to take over an ingress's log, that ingress answers nothing that is on record there,
  unless it is sent to it again (what was not on record lay unread, and is new to it when it wakes).  What a
  client reads while that process is stopped or dead was written before: it says nothing.
- `fall`: no agenda server fell over.
- `zones` (where `zones.enabled`): a zone that no ingress reaches (a cutting fault of `*>zone-Z`, or its
  process killed) is left by every ingress without a fault of its own within `Zones.bound_s`, by all
  within a period of each other, and nothing is sent there after that bound until the fault ends; no ingress
  leaves a zone that most of them reach; an ingress stays away for the hold it logged,
  and a zone left again within `flap_s` of its return has twice the hold, up to `hold_most_s`.
- `budget`: at every instant, the parts held of each budget (`budget held` to `budget released`, or to the end
  of the part's lease) sum to no more than its whole.
"""

from __future__ import annotations

import fnmatch
import re
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from ..settings.own import Zones

CUTS = ("cut", "cut_up", "cut_down", "blackhole", "kill")
STOPS = ("kill", "stall")
CUSTOMERS = re.compile("[0-9a-f]{16}")  # the counter's names for customers' windows
TURNS = ("zone left", "zone back")
OWN_FAULTS = ("module raised", "caught", "action failed", "answer failed")
COUNTED_FAULTS = ("twisted.caught", "engine.action_failed", "engine.answer_failed", "module.raised")


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    at: float
    where: str
    what: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.3f} ({self.where}): {self.what}"


def judge(logs: Mapping[str, Iterable[dict[str, Any]]], slack_s: float = 0.5, strict: bool = False) -> list[Violation]:
    """Every violation, by time.  `logs` maps a source (`load`, `fleet`, `ingress-2`) to its events."""
    events = {name: sorted(lines, key=lambda e: e.get("at", 0.0)) for name, lines in logs.items()}
    found = _answered(events, slack_s, strict) + _crash(events) + _budget(events)
    found += _once(events)
    found += _spent(events) + _servers(events) + _quota(events) + _zones(events)
    return sorted(found, key=lambda v: (v.at, v.rule))


def _windows(fleet: list[dict[str, Any]]) -> dict[str, list[tuple[float, float]]]:
    """For each ingress, the times when it or the load's link to it was under a fault."""
    begun: dict[tuple[str, str], float] = {}
    spans: dict[str, list[tuple[float, float]]] = defaultdict(list)
    last = max((e["at"] for e in fleet), default=0.0)
    for event in fleet:
        where = event.get("process") or event.get("link") or ""
        ingress = where.removeprefix("load>") if where.startswith(("load>", "ingress-")) else ""
        if not ingress or ">" in ingress:
            continue
        key = (ingress, event.get("fault", ""))
        if event["event"] == "fault begun":
            begun[key] = event["at"]
            if event.get("mode") in ("kill",):
                spans[ingress].append((event["at"], float("inf")))
        elif event["event"] == "fault ended" and key in begun:
            spans[ingress].append((begun.pop(key), event["at"]))
    for (ingress, _), start in begun.items():
        spans[ingress].append((start, last))
    return spans


def _answered(events: dict[str, list[dict[str, Any]]], slack_s: float, strict: bool) -> list[Violation]:
    windows = {} if strict else _windows(events.get("fleet", []))
    sent: dict[str, dict[str, Any]] = {}
    ends: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for event in events.get("load", []):
        if event["event"] == "sent":
            sent[event["id"]] = event
        elif event["event"] in ("answer", "cut off", "unanswered"):
            ends[event["id"]].append(event)
    found = []
    for rid, request in sent.items():
        deadline = request["at"] + request["timeout_ms"] / 1000
        spans = windows.get(request["ingress"], ())
        if any(request["at"] <= end and deadline >= start for start, end in spans):
            continue  # its time and the fault's overlap
        where, got = request["ingress"], ends.get(rid, [])
        if not got or got[0]["event"] == "unanswered":
            found.append(Violation("answered", request["at"], where, f"request {rid} lost: never answered"))
        elif len(got) > 1:
            found.append(Violation("answered", got[1]["at"], where, f"request {rid} answered {len(got)}x"))
        elif got[0]["event"] == "cut off":
            found.append(Violation("answered", got[0]["at"], where, f"request {rid} cut off unanswered"))
        elif got[0]["at"] > deadline + slack_s:
            late = got[0]["at"] - deadline
            found.append(Violation("answered", got[0]["at"], where, f"request {rid} late by {late:.3f} s"))
    return found


def _crash(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    found = []
    for event in events.get("fleet", []):
        if event["event"] == "fault never begun":
            what = f"{event['fault']} never began: what it waits for did not come"
            found.append(Violation("schedule", event["at"], event["process"], what))
        if event["event"] == "process ended" and not event.get("by_schedule"):
            what = f"ended with status {event.get('status')} unbidden"
            found.append(Violation("crash", event["at"], event["process"], what))
        if event["event"] == "process failed to start":
            found.append(Violation("crash", event["at"], event["process"], "failed to start"))
    for name, lines in events.items():
        if name in ("fleet", "load"):
            continue
        for event in lines:
            if event["event"] in OWN_FAULTS:
                found.append(Violation("crash", event["at"], name, f"reported {event['event']!r}"))
            elif event["event"] == "counters":
                counts = event.get("counts", {})
                bad = {k: n for k, n in counts.items() if n and (k[:7] == "broken." or k in COUNTED_FAULTS)}
                if bad:
                    found.append(Violation("crash", event["at"], name, f"counted {bad}"))
    return found


def _budget(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    """A sweep over every part's start and end; the sum is checked after each start."""
    edges: dict[str, list[tuple[float, int, float, str]]] = defaultdict(list)
    wholes: dict[str, float] = {}
    for name, lines in events.items():
        held: dict[tuple[str, Any], float] = {}
        for event in lines:
            if event["event"] == "budget held":
                budget, key = event["budget"], (event["budget"], event.get("epoch"))
                wholes[budget] = min(wholes.get(budget, float("inf")), event["whole"])
                edges[budget].append((event["at"], 1, event["part"], name))
                held[key] = event["part"]
                until = event.get("until")
                if until is not None:
                    edges[budget].append((until, 0, event["part"], name))
                    held.pop(key)
            elif event["event"] == "budget released":
                key = (event["budget"], event.get("epoch"))
                if key in held:
                    edges[event["budget"]].append((event["at"], 0, held.pop(key), name))
        for (budget, _), part in held.items():  # held to the end of the log
            edges[budget].append((float("inf"), 0, part, name))
    found = []
    for budget, marks in edges.items():
        total = 0.0
        for at, starts, part, name in sorted(marks):  # at one instant ends come before starts
            total += part if starts else -part
            if starts and total > wholes[budget] * (1 + 1e-9):
                what = f"{budget}: parts sum to {total:g} of a whole of {wholes[budget]:g}"
                found.append(Violation("budget", at, name, what))
    return found


def _spent(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    found = []
    for (budget, epoch), (total, whole, at) in spent_by_epoch(events).items():
        if total > whole * (1 + 1e-9):
            what = f"{budget}: {total:g} spent in epoch {epoch} of a whole of {whole:g}"
            found.append(Violation("spent", at, "fleet", what))
    return found


def spent_by_epoch(logs: Mapping[str, Iterable[dict[str, Any]]]) -> dict[tuple[str, int], tuple[float, float, float]]:
    """By budget and epoch: what the fleet spent, its whole, and when the last member said so."""
    out: dict[tuple[str, int], tuple[float, float, float]] = {}
    for lines in logs.values():
        for event in lines:
            if event["event"] == "budget spent":
                for name, amount in event["spent"].items():
                    total, _, at = out.get((name, event["epoch"]), (0.0, 0.0, 0.0))
                    whole = event["wholes"][name]
                    out[(name, event["epoch"])] = (total + amount, whole, max(at, event["at"]))
    return out


def _told(events: dict[str, list[dict[str, Any]]]) -> dict[str, Any]:
    """The fleet's block, as the controller logged it."""
    return next((e for e in events.get("fleet", []) if e["event"] == "load begun"), {})


def _own(events: dict[str, list[dict[str, Any]]], block: str) -> dict[str, Any]:
    """One block of the ingresses' own settings."""
    return _told(events).get("own", {}).get(block, {})


def _servers(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    room, found = _own(events, "budgets").get("room", 0), []
    for name, lines in events.items():
        if not name.startswith("zone-"):
            continue
        for event in lines:
            if event["event"] == "fell over":
                what = f"{event['server']} fell over: {event['arrivals']} arrivals, {event['most']:g} borne"
                found.append(Violation("fall", event["at"], name, what))
            elif event["event"] == "run" and 0 < room < event["in_work"]:
                what = f"{event['server']} had {event['in_work']} in work of a room of {room}"
                found.append(Violation("room", event["at"], name, what))
    return found


def _once(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    ran: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for name, lines in events.items():
        for event in lines if name.startswith("zone-") else ():
            if event["event"] == "run":
                ran[event["id"]].append({**event, "zone": name})
    found = []
    cls = {e["id"]: e.get("cls", "look") for e in events.get("load", []) if e["event"] == "sent"}
    for rid, runs in ran.items():
        if len(runs) > 1 and cls.get(rid) in ("book", "pay"):
            what = f"request {rid} ({cls[rid]}) ran {len(runs)} times"
            found.append(Violation("once", runs[1]["at"], runs[1]["zone"], what))
    for event in events.get("load", []) if any(name.startswith("zone-") for name in events) else ():
        if event["event"] != "answer":
            continue
        rid, status, kind = event["id"], event["status"], cls.get(event["id"], "look")
        what = ""
        if status == 200 and (rid not in ran or "foreign" in event):
            what = f"request {rid} answered 200 without having run"
        elif status in (429, 503) and rid in ran and kind == "book":
            what = f"request {rid} ({kind}) refused though it ran"
        elif event.get("unknown") and kind == "look":
            what = f"request {rid} may be repeated, and its outcome is unknown"
        if what:
            found.append(Violation("once", event["at"], event.get("ingress", ""), what))
    adds = [e for e in events.get("counter", []) if e["event"] == "add" and CUSTOMERS.fullmatch(e["name"])]
    units = sum(e["amount"] for e in adds)
    load = events.get("load", [])
    charged = {e["id"] for e in load if e["event"] == "again" or e.get("status", 503) not in (429, 503)}
    charged |= ran.keys()
    if units > len(charged) + 0.5:
        what = f"{units:g} units charged for {len(charged)} requests"
        found.append(Violation("charged", adds[-1]["at"], "counter", what))
    return found + _fenced(events)


def _fenced(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    begun = {}  # by ingress and id on its record, when another began to take that over
    for name, lines in events.items():
        for event in lines if name.startswith("ingress-") else ():
            owner = event.get("log", "").rpartition(".")[0]
            if event["event"] == "taking over" and owner != name:
                for id in event.get("ids", ()):
                    begun.setdefault((owner, id), event["at"])
    found, asked = [], {}
    stopped = [(where, start, end) for where, mode, start, end in _spans(events) if mode in STOPS]
    for event in events.get("load", []):
        if event["event"] in ("sent", "sent again"):
            asked[event["id"]] = event
        elif event["event"] == "answer" and event["id"] in asked:
            where, last = event.get("ingress"), asked[event["id"]]
            taken = begun.get((where, event["id"]), float("inf"))
            if any(name == where and start <= event["at"] <= end for name, start, end in stopped):
                continue
            if last["at"] <= taken < event["at"] and last.get("ingress") == where:
                what = f"answered {event['id']} after another had taken it over"
                found.append(Violation("fenced", event["at"], where, what))
    return found


ZONE_SLACK_S = 0.4  # a process's turn to run, a call to the counter, the load's next request


def _spans(events: dict[str, list[dict[str, Any]]]) -> list[tuple[str, str, float, float]]:
    """Every fault: where, its mode, from when to when (an unended one: for good)."""
    begun, out = {}, []
    for event in events.get("fleet", []):
        if event["event"] == "fault begun":
            begun[event.get("fault")] = event
        elif event["event"] == "fault ended" and event.get("fault") in begun:
            start = begun.pop(event.get("fault"))
            out.append((_where(start), start["mode"], start["at"], event["at"]))
    return out + [(_where(e), e["mode"], e["at"], float("inf")) for e in begun.values()]


def _where(event: dict[str, Any]) -> str:
    return event.get("process") or event.get("link") or ""


def _zones(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    told, beat = _own(events, "zones"), _own(events, "budgets").get("beat_s", 0.0)
    if not told.get("enabled"):
        return []
    bound = Zones(**told).bound_s(beat) + ZONE_SLACK_S
    spans, found = _spans(events), []
    names = sorted(
        {
            e["process"]
            for e in events["fleet"]
            if e["event"] == "process started" and e["process"].startswith("ingress-")
        }
    )
    own = {name: [(a, b) for where, _, a, b in spans if where == name] for name in names}
    cuts = [span for span in spans if span[1] in CUTS and span[0] not in own]

    def cut(zone: str, name: str, at: float, before: float = 0.0) -> bool:
        """Whether `name` is, or was `before` seconds ago, cut off from `zone`."""
        return any(
            a <= at
            and b >= at - before
            and (where == f"zone-{zone}" or fnmatch.fnmatchcase(f"{name}>zone-{zone}", where))
            for where, _, a, b in cuts
        )

    turns = {name: [e for e in events.get(name, []) if e["event"] in TURNS] for name in names}
    for name, lines in turns.items():
        found += _holds(name, lines, told, beat)
        for event in lines:
            zone, at = event["zone"], event["at"]
            cut_off = sum(cut(zone, other, at, bound) for other in names)
            if event["event"] == "zone left" and 2 * cut_off <= len(names):
                what = f"left zone {zone}, which most ingresses reached"
                found.append(Violation("zones", at, name, what))
    for where, mode, start, end in cuts:
        zone = where.rpartition("zone-")[2]
        vain = [
            e["at"]
            for e in events["fleet"]
            if e["event"] == "sent in vain" and start <= e["at"] <= end and e["link"].endswith(f">zone-{zone}")
        ]
        start = min(vain, default=start)  # the bound counts from the first attempt without an answer
        if where not in (f"zone-{zone}", f"*>zone-{zone}") or end - start < bound:
            continue
        firsts = {}
        for name in names:
            if any(a <= start + bound and b + bound >= start for a, b in own[name]):
                continue  # it was stalled, restarted or killed around that time
            left = [e["at"] for e in turns[name] if e["event"] == "zone left" and e["zone"] == zone]
            first = min((at for at in left if start <= at <= start + bound), default=None)
            if first is None and not _away(turns[name], zone, start):
                what = f"had not left zone {zone} {bound:.2f} s after its {mode}"
                found.append(Violation("zones", start + bound, name, what))
            elif first is not None:
                firsts[name] = first
        if firsts and max(firsts.values()) - min(firsts.values()) > beat + ZONE_SLACK_S:
            what = f"left zone {zone} over {max(firsts.values()) - min(firsts.values()):.2f} s: {firsts}"
            found.append(Violation("zones", min(firsts.values()), "fleet", what))
        for event in events["fleet"]:
            name = event.get("link", "").partition(">")[0]
            if (
                event["event"] == "sent in vain"
                and event["link"].endswith(f">zone-{zone}")
                and (start + bound < event["at"] < end)
                and not any(a <= event["at"] <= b + bound for a, b in own[name])
            ):
                found.append(Violation("zones", event["at"], name, f"sent into zone {zone} after the bound"))
    return found


def _away(turns: list[dict[str, Any]], zone: str, at: float) -> bool:
    """Whether an ingress was out of `zone` at that time, by its own log."""
    last = [e["event"] for e in turns if e["zone"] == zone and e["at"] <= at][-1:]
    return last == ["zone left"]


def _holds(name: str, turns: list[dict[str, Any]], told: dict[str, Any], beat: float) -> list[Violation]:
    left: dict[str, dict[str, Any]] = {}
    back: dict[str, float] = {}
    found = []
    for event in turns:
        zone, at = event["zone"], event["at"]
        if event["event"] == "zone left":
            if zone in left and at - back.get(zone, 0.0) < told["flap_s"]:
                least = min(told["hold_most_s"], 2 * left[zone]["hold_s"])
                if event["hold_s"] < least:
                    what = f"held zone {zone} {event['hold_s']:g} s after a flap, not {least:g}"
                    found.append(Violation("zones", at, name, what))
            left[zone] = event
        elif zone in left:
            back[zone] = at
            if at - left[zone]["at"] < left[zone]["hold_s"] - beat:
                what = f"back in zone {zone} after {at - left[zone]['at']:.2f} s of {left[zone]['hold_s']:g}"
                found.append(Violation("zones", at, name, what))
    return found


@dataclass(slots=True)
class Quotas:
    """What came of the quotas: counts of requests."""

    tries: int = 0
    served: int = 0
    beyond: int = 0  #: served, and the customer's store was empty
    refused_with_room: int = 0  #: refused by quota, and at least half of the store was unused

    @property
    def overrun(self) -> float:
        return self.beyond / max(1, self.served)

    @property
    def refused(self) -> float:
        return self.refused_with_room / max(1, self.tries)


def quotas(logs: Mapping[str, Iterable[dict[str, Any]]], since: float = 0.0, until: float = float("inf")) -> Quotas:
    """The load replayed against a store a customer; counted are requests sent from `since` up to `until`."""
    events = {name: list(lines) for name, lines in logs.items()}
    told, load = _told(events), events.get("load", [])
    rate, burst = told.get("quota_rate", 1.0), told.get("quota_burst", 1.0)
    ends = {e["id"]: e.get("status") for e in load if e["event"] == "answer"}
    stores: dict[int, tuple[float, float]] = {}
    out = Quotas()
    for event in sorted((e for e in load if e["event"] == "sent"), key=lambda e: e["at"]):
        at, status = event["at"], ends.get(event["id"])
        level, then = stores.get(event["customer"], (burst, at))
        level = min(burst, level + rate * (at - then))
        counted = since <= at < until
        out.tries += counted
        if status == 200:
            out.served += counted
            out.beyond += counted and level < 1
            level -= level >= 1
        elif status == 429:
            out.refused_with_room += counted and level >= max(1.0, burst / 2)
        stores[event["customer"]] = (level, at)
    return out


def _quota(events: dict[str, list[dict[str, Any]]]) -> list[Violation]:
    told = _told(events)
    if not told.get("overrun_most") and not told.get("refused_most"):
        return []
    got, found = quotas(events), []
    for key, share, words in (
        ("overrun_most", got.overrun, "served beyond quotas"),
        ("refused_most", got.refused, "refused with room"),
    ):
        if 0 < told.get(key, 0) < share:
            what = f"{words}: {share:.3f} of a bound of {told[key]:g} ({got})"
            found.append(Violation("quota", told["at"], "fleet", what))
    return found


def held_by_epoch(logs: Mapping[str, Iterable[dict[str, Any]]]) -> dict[str, dict[int, float]]:
    """For each budget, the parts that came into use in each epoch, summed over the fleet: what was used."""
    out: dict[str, dict[int, float]] = defaultdict(lambda: defaultdict(float))
    for lines in logs.values():
        for event in lines:
            if event["event"] == "budget held":
                out[event["budget"]][event["epoch"]] += event["part"]
    return {budget: dict(epochs) for budget, epochs in out.items()}
