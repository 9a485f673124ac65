"""`mapleline lab cores`: the highest rate that one, two and four workers hold, and what it costs."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path
from typing import IO, Any

import orjson
from hdrh.histogram import HdrHistogram

from .load import histogram

HELD_MS = 50.0  # p99 under this: the rate is held
MISSED = 0.01  # of what was offered may go unanswered or be refused for want of room
METERED = 20  # customers who ask twice what their quota gives
RATE, BURST = 10.0, 20.0  # of each of them, units
SERVERS = 12
FINE = 0.04  # the search ends when the highest rate is known to this part
FIRST_RATE = 1500.0  # a second and worker, where the search begins
TICKS = os.sysconf("SC_CLK_TCK")
WAIT_S = 20
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zones": ["z"],
    "kinds": ["k"],
    "quantum_ns": 1_000_000,
    "weight_kind": "off",
    "classes": [{"name": "look", "effect": "free", "aim_ns": 1_000_000_000, "deadline_ns": 2_000_000_000}],
    "plans": [{"name": "wide", "refill": 1e6, "depth": 1e6}, {"name": "metered", "refill": RATE, "depth": BURST}],
    "limits": {
        "attempts_cap": 2,
        "cancel": True,
        "max_retry_after_ns": 2_000_000_000,
        "dial_timeout_ns": 1_000_000_000,
    },
    "specifics": {"may_count": True, "count_wait_ns": 30_000_000},
}


def pinned(cores: set[int]) -> Any:
    return lambda: os.sched_setaffinity(0, cores)


@contextmanager
def party(cores: set[int], **told: Any) -> Iterator[tuple[list[int], Any]]:
    """A stand-in process: its ports, and a call that ends it and gives its tally."""
    process = subprocess.Popen(
        [sys.executable, "-m", "mapleline.lab.standins", orjson.dumps(told).decode()],
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        preexec_fn=pinned(cores),
    )

    def tally() -> dict[str, Any]:
        process.stdin.close()
        return orjson.loads(process.stdout.readline())

    try:
        yield orjson.loads(process.stdout.readline()), tally
    finally:
        process.kill()
        process.wait()


def _children(pid: int) -> list[int]:
    return [int(word) for word in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def _usage(pids: list[int]) -> tuple[float, float]:
    """CPU seconds and resident MB of these processes."""
    cpu = pages = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu += int(fields[11]) + int(fields[12])
        pages += int(fields[21])
    return cpu / TICKS, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@contextmanager
def ingress(
    workers: int, cores: set[int], config: dict[str, Any], log: IO[bytes] | None = None
) -> Iterator[tuple[list[Any], list[int]]]:
    """The program in its release build: its address and its processes; `log` gets its log from then on."""
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_bytes(orjson.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "mapleline", "run", "--workers", str(workers)],
            stderr=subprocess.PIPE,
            env={**os.environ, "EDGE_CONFIG": str(file)},
            preexec_fn=pinned(cores),
        )
        try:
            while (event := orjson.loads(process.stderr.readline()))["event"] != "serving":
                pass
            host, port = event["listen"].split(":")
            yield [host, int(port)], [process.pid, *_children(process.pid)]
        finally:
            process.terminate()
            try:
                said, _ = process.communicate(timeout=WAIT_S)[::-1]
                if log is not None:
                    log.write(said)
            except subprocess.TimeoutExpired:
                process.kill()


def beyond_buckets(times: dict[str, list[float]], seconds: float) -> float:
    """Units sent on beyond the metered customers' buckets, over the units that the buckets gave."""
    beyond = 0
    for moments in times.values():
        level, last = BURST, None
        for at in sorted(moments):
            level = min(BURST, level + RATE * (at - last)) if last is not None else level
            last = at
            if level >= 1:
                level -= 1
            else:
                beyond += 1
    return beyond / (METERED * (BURST + RATE * seconds))


def trial(workers: int, rate: float, seconds: float, connections: int, seed: int) -> dict[str, Any]:
    """One run at one offered rate (requests a second); the load side has the upper half of the cores."""
    every = sorted(os.sched_getaffinity(0))
    ours, theirs = set(every[: len(every) // 2]), set(every[len(every) // 2 :])
    loads = max(1, len(theirs) // 2)
    with ExitStack() as stack:
        agendas = [
            stack.enter_context(party(theirs, kind="agenda", many=SERVERS // 2, work_s=0.005, metered_below=METERED))
            for _ in range(2)
        ]
        (counter,), calls = stack.enter_context(party(theirs, kind="counter"))
        ports = [port for many, _ in agendas for port in many]
        targets = [
            {
                "uid": f"s{n}",
                "endpoint": f"127.0.0.1:{port}",
                "az": "z",
                "model": "k",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for n, port in enumerate(ports)
        ]
        (roster,), _ = stack.enter_context(party(theirs, kind="discovery", targets=targets))
        config = {
            "name": "lab",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{roster}",
            "counter": f"127.0.0.1:{counter}",
            "seed": f"{seed:x}",
            "limits": {"sockets": 8192},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": SETTINGS,
        }
        address, pids = stack.enter_context(ingress(workers, ours, config))
        told = {
            "address": address,
            "seconds": seconds,
            "rate": rate / loads,
            "connections": connections // loads,
            "metered": METERED,
            "customers": 5000,
            "metered_share": min(0.5, METERED * 2 * RATE / rate),
            "start": time.monotonic() + 1.0,
        }
        before, _ = _usage(pids)
        told_each = [orjson.dumps({**told, "seed": seed * 100 + n}).decode() for n in range(loads)]
        clients = [
            subprocess.Popen(
                [sys.executable, "-m", "mapleline.lab.load", one], stdout=subprocess.PIPE, preexec_fn=pinned(theirs)
            )
            for one in told_each
        ]
        results = [orjson.loads(client.communicate()[0]) for client in clients]
        after, rss = _usage(pids)
        times: dict[str, list[float]] = {}
        for _, tally in agendas:
            for customer, moments in tally()["times"].items():
                times.setdefault(customer, []).extend(moments)
        made = calls()["calls"]
    latency, lag, ends = histogram(), histogram(), {}
    for result in results:
        latency.add(HdrHistogram.decode(result["latency"]))
        lag.add(HdrHistogram.decode(result["lag"]))
        for status, many in result["ends"].items():
            ends[status] = ends.get(status, 0) + many
    offered = sum(result["offered"] for result in results)
    answered = sum(many for status, many in ends.items() if status.isdigit())
    return {
        "workers": workers,
        "offered_rps": offered / seconds,
        "answered_rps": ends.get("200", 0) / seconds,
        "p50_ms": latency.get_value_at_percentile(50) / 1e3,
        "p99_ms": latency.get_value_at_percentile(99) / 1e3,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1e3,
        "cpu_ms_per_request": 1e3 * (after - before) / max(1, answered),
        "quota_error": beyond_buckets(times, seconds),
        "rss_mb": rss,
        "ends": ends,
        "counter_calls": made / max(1, answered),
        "load_lag_p99_ms": lag.get_value_at_percentile(99) / 1e3,
        "load_cpu_share": max(r["cpu_s"] for r in results) / (seconds + 1),
        "connections": connections,
        "held": latency.get_value_at_percentile(99) / 1e3 < HELD_MS
        and ends.get("503", 0) + offered - answered <= MISSED * offered,
    }


def highest(workers: int, seconds: float, connections: int, seed: int, tell: Any) -> list[dict[str, Any]]:
    """Double until it is not held, then halve the gap; the last entry is the highest rate held."""
    rate, held, lost, runs = FIRST_RATE * workers, 0.0, 0.0, []
    while lost == 0 or (lost - held) / lost > FINE:
        run = trial(workers, rate, seconds, connections, seed)
        tell(run)
        runs.append(run)
        held, lost = (rate, lost) if run["held"] else (held, rate)
        if rate < 100:
            break
        rate = rate * 1.6 if not lost else (held + lost) / 2 if held else lost / 2
    best = max((run for run in runs if run["held"]), key=lambda run: run["offered_rps"], default=runs[-1])
    return [*(run for run in runs if run is not best), best]
