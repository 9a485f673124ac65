"""The controller of a fleet: every party a process, a Link on every link, the load and the schedule.

A driver (Twisted, subprocesses): it writes a log a source under `logs/`, leaving the verdict to the checker.
Every address is on loopback.  `bare` puts a stand-in agenda server where each ingress would be: a party
with no defences, on which every fault shows.
"""

from __future__ import annotations

import fnmatch
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from dataclasses import asdict, replace
from pathlib import Path
from typing import IO, Any

import orjson
from twisted.internet.threads import deferToThread

from ..settings import own
from .discovery import Agent
from .proxy import Link
from .schedule import LINK_MODES, Schedule, Step

PORTS, PORT_SLICES, PORTS_EACH = 10_000, 200, 100
READY_S = 60.0  # a bound on waiting for a start, never a measure
DOWN_S = 3.0  # a server that fell over
LOOK_S = 0.02  # between looks at what a step waits for
CLASSES = [
    {"name": "look", "effect": "free"},
    {"name": "pay", "effect": "guarded", "key_scope": "all", "key_ttl_ns": 60_000_000_000},
    {"name": "book", "effect": "single_shot"},
]


def settings_for(schedule: Schedule, me: int) -> dict[str, Any]:
    """The platform's settings of ingress `me`, as the simulator's wire gives them."""
    fleet = schedule.fleet
    times = {"aim_ns": fleet.aim_ms * 1_000_000, "deadline_ns": fleet.deadline_ms * 1_000_000}
    classes = [{**cls, **times, "late_worth": 0.2} for cls in CLASSES]
    plans = [{"name": "wide", "refill": fleet.quota_rate, "depth": fleet.quota_burst}]
    return {
        "balancers": fleet.ingresses,
        "me": me,
        "locality": me % len(fleet.zones),
        "zones": list(fleet.zones),
        "kinds": ["k"],
        "quantum_ns": 2_000_000,
        "weight_kind": "rough",
        "classes": classes,
        "plans": plans,
        "limits": {
            "attempts_cap": 3,
            "cancel": True,
            "conn_idle_ns": 30_000_000_000,
            "dial_timeout_ns": 250_000_000,
            "max_retry_after_ns": 2_000_000_000,
        },
        "invariants": {
            "drain_grace_ns": 1_000_000_000,
            "cold_from": fleet.cold_from,
            "warm_up_ns": int(fleet.warm_s * 1e9),
            "fall_multiple": 2.5,
            "fall_ns": 2_000_000_000,
        },
        "specifics": {"may_count": True, "count_wait_ns": 30_000_000},
    }


def free_ports() -> Iterator[int]:
    """Ports to listen on, below those that the system gives out (else a connection of another fleet on this
    machine may have one in the moment before an ingress binds it), a hundred for each controller."""
    first = PORTS + os.getpid() % PORT_SLICES * PORTS_EACH
    for port in range(first, first + PORTS_EACH):
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port
    raise RuntimeError(f"no free port from {first} on")


class Child:
    """One process of the fleet under its name."""

    def __init__(self, name: str, argv: list[str], env: dict[str, str], log: IO[bytes] | None) -> None:
        self.name, self.argv, self.env, self.log = name, argv, env, log
        self.popen: subprocess.Popen[bytes] | None = None
        self.bidden = False  # the schedule or the rig ended it
        self.reported = False
        self.ports: list[int] | None = None  # a stand-in's, as it printed them

    def start(self, standin: bool) -> None:
        self.bidden = self.reported = False
        stdout = subprocess.PIPE if standin else subprocess.DEVNULL
        self.popen = subprocess.Popen(
            self.argv, env=self.env, stdin=subprocess.PIPE, stdout=stdout, stderr=self.log or subprocess.DEVNULL
        )

    def read_ports(self) -> list[int]:
        """A stand-in's ports, once it has printed them; from a thread while the reactor runs."""
        line = self.popen.stdout.readline()
        return orjson.loads(line) if line else []

    def env_config(self) -> Path:
        return Path(self.env["EDGE_CONFIG"])

    def cpu_s(self) -> float | None:
        """Seconds of processor time that it has used, user and system."""
        try:
            fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rpartition(") ")[2].split()
        except (OSError, AttributeError):
            return None
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def signal(self, number: int) -> None:
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)


class Controller:
    """Starts, loads, plays the schedule, stops; `run` returns once everything has ended."""

    def __init__(
        self, schedule: Schedule, logs: Path, bare: bool = False, load: bool = True, counter_each: bool = False
    ) -> None:
        from twisted.internet import reactor

        self.schedule, self.logs, self.bare, self.with_load = schedule, logs, bare, load
        self.counter_each = counter_each  #: a counter for each ingress: the checker must see what that breaks
        self.reactor: Any = reactor
        logs.mkdir(parents=True, exist_ok=True)
        self.files: dict[str, IO[bytes]] = {}
        self.children: dict[str, Child] = {}
        self.links: dict[str, Link] = {}
        self.ingress_ports: dict[str, int] = {}
        self.agents: dict[str, Agent] = {}  #: the discovery of each ingress
        self.joining = {s.process for s in schedule.steps if s.mode == "join"}  #: started by the schedule
        self.members: set[str] = set()  #: the ingresses the load sends to, as a front would
        self.draw = random.Random(schedule.fleet.seed)
        self.waiting: list[Step] = []  #: steps that wait and have not begun
        self.records: dict[str, IO[bytes]] = {}  #: each zone's record, read so far
        self.ran: set[str] = set()  #: ids on them

    def log(self, source: str, event: str, **fields: Any) -> None:
        if source not in self.files:
            self.files[source] = open(self.logs / f"{source}.jsonl", "ab")
        self.files[source].write(orjson.dumps({"at": time.time(), "event": event, **fields}) + b"\n")

    def _zone(self, zone: str, cold: bool) -> dict[str, Any]:
        fleet = self.schedule.fleet
        return {
            "zone": zone,
            "many": fleet.servers,
            "record": str(self.logs / f"zone-{zone}.jsonl"),
            "work_s": fleet.work_ms / 1000,
            "slots": fleet.slots,
            "bears_per_s": fleet.bears_per_s,
            "cold_from": fleet.cold_from,
            "warm_s": fleet.warm_s,
            "fall_multiple": 2.5,
            "fall_s": 2.0,
            "down_s": DOWN_S,
            "cold": cold,
        }

    def _standin(self, name: str, told: dict[str, Any]) -> list[int]:
        module = "mapleline.faults.servers" if "zone" in told else "mapleline.lab.standins"
        argv = [sys.executable, "-m", module, orjson.dumps(told).decode()]
        child = self.children[name] = Child(name, argv, dict(os.environ), None)
        child.start(standin=True)
        ports = child.ports = child.read_ports()
        self.log("fleet", "process started", process=name, pid=child.popen.pid, ports=ports)
        return ports

    def _link(self, name: str, port: int) -> int:
        link = self.links[name] = Link(name, ("127.0.0.1", port), self.reactor)
        if ">zone-" in name:
            link.lost = lambda: self.log("fleet", "sent in vain", link=name.partition("#")[0])
        return link.listen()

    def start(self) -> None:
        fleet = self.schedule.fleet
        ingresses = [f"ingress-{n}" for n in range(fleet.ingresses)]
        if self.bare:
            for name in ingresses:
                told = {"kind": "agenda", "work_s": fleet.work_ms / 1000, "metered_below": 0}
                port = self._standin(name, told)
                self.ingress_ports[name] = self._link(f"load>{name}", port[0])
                self.members.add(name)
            return
        counter = self._standin("counter", {"kind": "counter", "record": str(self.logs / "counter.jsonl")})[0]
        zones = {z: self._standin(f"zone-{z}", self._zone(z, cold=False)) for z in fleet.zones}
        free = free_ports()
        for me, name in enumerate(ingresses):
            if self.counter_each and me > 0:
                counter = self._standin(f"counter-{me}", {"kind": "counter"})[0]
            targets = []
            for zone, ports in zones.items():
                for n, port in enumerate(ports):
                    near = self._link(f"{name}>zone-{zone}#{n}", port)
                    targets.append(
                        {
                            "uid": f"s-{zone}{n}",
                            "endpoint": f"127.0.0.1:{near}",
                            "az": zone,
                            "model": "k",
                            "pod_group": n,
                            "state": "in_service",
                            "capacity_hint": 1.0,
                            "boot_ms": 0,
                        }
                    )
            agent = self.agents[name] = Agent(targets, self.reactor)
            listen = next(free)
            config = {
                "name": name,
                "listen": f"127.0.0.1:{listen}",
                "seed": f"{me + 1:x}",
                "counter": f"127.0.0.1:{self._link(f'{name}>counter', counter)}",
                "discovery": f"127.0.0.1:{agent.listen()}",
                "known": agent.known(),
                "limits": {"sockets": 1024},
                "settings": settings_for(self.schedule, me),
            }
            file = self.logs / f"{name}.config.json"
            file.write_bytes(orjson.dumps(config))
            env = {**os.environ, "EDGE_CONFIG": str(file)}
            log = open(self.logs / f"{name}.jsonl", "ab")
            argv = [sys.executable, "-O", "-m", "mapleline"]
            if self.schedule.own.budgets.enabled or self.schedule.own.handoff.enabled:
                argv += ["run", "--settings", str(self._own(name, 0.0))]
            child = self.children[name] = Child(name, argv, env, log)
            self.ingress_ports[name] = self._link(f"load>{name}", listen)
            if name in self.joining:
                continue
            child.start(standin=False)
            self.log("fleet", "process started", process=name, pid=child.popen.pid, listen=listen)
            self.members.add(name)
        for name in sorted(self.members):
            self._wait_ready(
                name, int(orjson.loads((self.logs / f"{name}.config.json").read_bytes())["listen"].rpartition(":")[2])
            )

    def _own(self, name: str, offset_s: float) -> Path:
        """Our own HCL for ingress `name`: the schedule's, and a clock `offset_s` ahead."""
        told, file = self.schedule.own, self.logs / f"{name}.hcl"
        told = replace(
            told,
            log=replace(told.log, form="json"),
            budgets=replace(told.budgets, clock_offset_s=offset_s),
            handoff=replace(told.handoff, dir=str(self.logs / told.handoff.dir)),
        )
        file.write_text(own.write(told))
        return file

    def _wait_ready(self, name: str, port: int) -> None:
        ends = time.monotonic() + READY_S
        while time.monotonic() < ends:
            if self.children[name].popen.poll() is not None:
                break
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=1) as sock:
                    sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    if sock.recv(64).startswith(b"HTTP/1.1 200"):
                        self.log("fleet", "process ready", process=name)
                        return
            except OSError:
                pass
            time.sleep(0.05)
        self.log("fleet", "process failed to start", process=name)

    # The schedule.

    def _wait(self, step: Step, met: int = 0) -> None:
        """Begin a step once what it waits for has come.

        Two looks in a row must say so: answers that lay unread while this process had no turn are read between.
        """
        come = self._said(step.process, step.after) if step.after else (self._in_flight(step.process) >= step.in_flight)
        met = met + 1 if come else 0
        if met < 2:
            self.reactor.callLater(LOOK_S, self._wait, step, met)
            return
        first = step.at if step.after else 0.0
        self.reactor.callLater(first, self.begin, step)
        if step.lasts > 0:
            self.reactor.callLater(first + step.lasts, self.end, step)

    def _said(self, name: str, event: str) -> bool:
        return any(
            orjson.loads(line).get("event") == event
            for line in (self.logs / f"{name}.jsonl").read_bytes().splitlines(keepends=True)
            if line.startswith(b"{") and line.endswith(b"}\n")
        )

    def _in_flight(self, name: str) -> int:
        """Requests sent to that ingress that a server has begun on and whose client has no answer yet."""
        if not self.with_load:
            return 0
        for zone in self.schedule.fleet.zones:
            record = self.records.get(zone)
            if record is None:
                record = self.records[zone] = open(self.logs / f"zone-{zone}.jsonl", "rb")
            while (line := record.readline()).endswith(b"\n"):
                if (event := orjson.loads(line))["event"] == "run":
                    self.ran.add(event["id"])
            record.seek(-len(line), os.SEEK_CUR)  # the rest of it is still being written
        return sum(
            client is not None and client.ingress == name and rid in self.ran
            for rid, client in self.load.pending.items()
        )

    def begin(self, step: Step) -> None:
        where = {"link": step.link, "process": step.process}
        self.log("fleet", "fault begun", fault=step.name, mode=step.mode, **where)
        if step.waits:
            self.waiting.remove(step)
        if step.mode in LINK_MODES:
            figures = {"ms": step.ms, "jitter_ms": step.jitter_ms, "share": step.share, "bytes_per_s": step.bytes_per_s}
            for link in self._links(step.link):
                link.set(step.mode, seed=step.seed, **figures)
            return
        child = self.children[step.process]
        if step.mode == "join":
            child.start(standin=False)
            self.log("fleet", "process started", process=child.name, pid=child.popen.pid)
            self._when_ready(step, child)
        elif step.mode == "leave":
            child.bidden = True
            self.members.discard(child.name)  # its readiness says 503 at once: the front sends no more
            child.signal(signal.SIGTERM)
        elif step.mode == "clock":
            self._own(child.name, step.offset_s)
            child.signal(signal.SIGHUP)
        elif step.mode == "stall":
            child.signal(signal.SIGSTOP)
        elif step.mode in ("kill", "restart"):
            child.bidden = True
            child.signal(signal.SIGKILL)
            child.popen.wait()
            self._spoil(step)
            self._ended(child)
            self.members.discard(child.name)  # as a front sees it: refused connections
            if step.mode == "restart":
                self._restart(step, child)
        elif step.mode == "replace":
            self._replace(step)

    def _spoil(self, step: Step) -> None:
        """Its newest record as a cut in the middle of a write leaves it, emptied, or another file."""
        store = self.logs / self.schedule.own.handoff.dir
        records = sorted(store.glob(f"{step.process}.*.log"), key=lambda path: path.stat().st_mtime)
        if step.record == "whole" or not records:
            return
        if step.record == "torn":
            with records[-1].open("ab") as file:
                file.write(b'\x40\0\0\0\1\2\3\4{"op":"a","id":"')
        else:
            records[-1].write_bytes(b"" if step.record == "empty" else b"something else\n" * 9)

    def _restart(self, step: Step, child: Child) -> None:
        """The same name again: an ingress on its config and port, a stand-in on new ports the links learn.

        The reactor goes on meanwhile: it carries every link, and what it is kept from shows as a fault.
        """
        if child.name.startswith("zone-"):  # a machine that starts is cold
            child.argv[-1] = orjson.dumps(self._zone(child.name.removeprefix("zone-"), cold=True)).decode()
        child.start(standin=child.ports is not None)
        if child.ports is None:
            self.log("fleet", "process started", process=child.name, pid=child.popen.pid)
            return self._when_ready(step, child)
        deferToThread(child.read_ports).addCallback(self._standin_back, step, child)
        return None

    def _standin_back(self, ports: list[int], step: Step, child: Child) -> None:
        """A stand-in is ready once it has said where it listens; its links and discovery learn of it."""
        moved = dict(zip(child.ports, ports, strict=True))
        for link in self.links.values():
            if link.target[1] in moved:
                link.target = (link.target[0], moved[link.target[1]])
        child.ports = ports
        self.log("fleet", "process started", process=child.name, pid=child.popen.pid)
        if child.name.startswith("zone-"):
            uids = [f"s-{child.name.removeprefix('zone-')}{n}" for n in range(len(ports))]
            for agent in self.agents.values():
                agent.tell(uids, boot_ms=int(time.time() * 1000))
        if child.name.startswith("ingress-"):
            self.members.add(child.name)
        self.end(step)

    def _replace(self, step: Step) -> None:
        """A new, empty counter; the ingresses are moved to it one after another (SIGHUP)."""
        port = self._standin("counter-new", {"kind": "counter"})[0]
        ingresses = [name for name in self.children if name.startswith("ingress-")]
        for n, name in enumerate(ingresses):
            self.links[f"{name}>counter-old"] = self.links[f"{name}>counter"]
            near = self._link(f"{name}>counter", port)
            self.reactor.callLater(n * step.jitter_ms / 1000 / len(ingresses), self._move, name, near)

    def _move(self, name: str, port: int) -> None:
        child = self.children[name]
        config = orjson.loads(child.env_config().read_bytes())
        child.env_config().write_bytes(orjson.dumps({**config, "counter": f"127.0.0.1:{port}"}))
        child.signal(signal.SIGHUP)

    def _when_ready(self, step: Step, child: Child) -> None:
        """A restart's fault ends once the process answers ready again; so does a join."""
        from twisted.internet import task

        port = int(orjson.loads(child.env_config().read_bytes())["listen"].rpartition(":")[2])
        ends = time.monotonic() + READY_S

        def look() -> None:
            try:
                with socket.create_connection(("127.0.0.1", port), timeout=0.05) as sock:
                    sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    ready = sock.recv(64).startswith(b"HTTP/1.1 200")
            except OSError:
                ready = False
            if ready or time.monotonic() > ends or child.popen.poll() is not None:
                loop.stop()
                what = "process ready" if ready else "process failed to start"
                self.log("fleet", what, process=child.name)
                if ready:
                    self.members.add(child.name)
                self.end(step)

        loop = task.LoopingCall(look)
        loop.start(0.05, now=False)
        return None

    def end(self, step: Step) -> None:
        if step.mode in LINK_MODES:
            for link in self._links(step.link):
                link.set("pass")
        elif step.mode == "stall":
            self.children[step.process].signal(signal.SIGCONT)
        elif step.mode == "kill":
            return self._restart(replace(step, mode="restart"), self.children[step.process])
        where = {"link": step.link, "process": step.process}
        self.log("fleet", "fault ended", fault=step.name, mode=step.mode, **where)
        return None

    def _links(self, name: str) -> list[Link]:
        return [link for key, link in self.links.items() if fnmatch.fnmatchcase(key.partition("#")[0], name)]

    def _watch(self) -> None:
        for child in self.children.values():
            if child.popen is not None and child.popen.poll() is not None and not child.reported:
                self._ended(child)

    def _ended(self, child: Child) -> None:
        child.reported = True
        self.log("fleet", "process ended", process=child.name, status=child.popen.returncode, by_schedule=child.bidden)

    # The load: open loop, a request a connection at a time, each line of it in load.jsonl.

    def _load(self, ends: float) -> None:
        from .load import Load

        fleet = self.schedule.fleet
        self.load = Load(self.reactor, self.ingress_ports, self.members, fleet, self.log, self.draw, self.bare)
        self.load.start(ends)

    def run(self) -> None:
        from twisted.internet import task

        self.start()
        fleet = self.schedule.fleet
        self.log("fleet", "load begun", **asdict(fleet), own=asdict(self.schedule.own))
        watch = task.LoopingCall(self._watch)
        watch.start(0.05, now=False)
        for step in self.schedule.steps:
            if step.waits:
                self.waiting.append(step)
                self.reactor.callLater(0 if step.after else step.at, self._wait, step)
                continue
            self.reactor.callLater(step.at, self.begin, step)
            if step.ends is not None:
                self.reactor.callLater(step.ends, self.end, step)
        if self.with_load:
            self._load(fleet.seconds)
            self.reactor.callLater(fleet.seconds + fleet.grace, self.stop)
        self.reactor.run(installSignalHandlers=True)
        self.finish()

    def stop(self) -> None:
        if self.with_load:
            self.load.finish()
        for step in self.waiting:
            self.log("fleet", "fault never begun", fault=step.name, process=step.process)
        self.log("fleet", "load ended")
        for child in self.children.values():
            if child.ports is None and (seconds := child.cpu_s()) is not None:
                self.log("fleet", "process cpu", process=child.name, seconds=seconds)
            child.bidden = True
            child.signal(signal.SIGCONT)
            child.signal(signal.SIGTERM)
        self.reactor.callLater(0, self.reactor.stop)

    def finish(self) -> None:
        for child in self.children.values():
            if child.popen is None:
                continue
            try:
                child.popen.wait(timeout=READY_S)
            except subprocess.TimeoutExpired:
                child.popen.kill()
                child.popen.wait()
            if not child.reported:
                self._ended(child)
        for file in (*self.files.values(), *self.records.values()):
            file.close()
        for link in self.links.values():
            link.close()


def read_logs(logs: Path) -> dict[str, list[dict[str, Any]]]:
    """Every `*.jsonl` under `logs`, by source; a line that is no JSON event is kept as `unreadable`."""
    out: dict[str, list[dict[str, Any]]] = {}
    for path in sorted(logs.glob("*.jsonl")):
        events = out[path.stem] = []
        last = 0.0
        for line in path.read_bytes().splitlines():
            try:
                event = orjson.loads(line)
                last = event["at"]
                event["event"]
            except (orjson.JSONDecodeError, KeyError, TypeError):
                event = {"at": last, "event": "unreadable", "line": line[:200].decode(errors="replace")}
            events.append(event)
    return out
