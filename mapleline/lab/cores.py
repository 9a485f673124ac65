"""`mapleline lab cores`: measures the highest rate that each number of workers sustains, and its cost."""

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

MAX_P99_MS = 50.0  # a rate is sustained while p99 stays below this
MAX_UNSERVED_SHARE = 0.01  # of the offered requests may stay unanswered or be refused with 503 at a sustained rate
METERED_CUSTOMERS = 20  # customers whose load is twice their quota
QUOTA_RATE_PER_S, QUOTA_BURST_UNITS = 10.0, 20.0  # units, of each metered customer
SERVERS = 12
SEARCH_PRECISION = 0.04  # the search ends when the highest rate is known to this fraction
FIRST_RATE_PER_WORKER = 1500.0  # requests per second at which the search begins
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
STOP_TIMEOUT_S = 20
SETTINGS = {
    "balancers": 1,
    "me": 0,
    "zones": ["z"],
    "kinds": ["k"],
    "quantum_ns": 1_000_000,
    "weight_kind": "off",
    "classes": [{"name": "look", "effect": "free", "aim_ns": 1_000_000_000, "deadline_ns": 2_000_000_000}],
    "plans": [
        {"name": "wide", "refill": 1e6, "depth": 1e6},
        {"name": "metered", "refill": QUOTA_RATE_PER_S, "depth": QUOTA_BURST_UNITS},
    ],
    "limits": {
        "attempts_cap": 2,
        "cancel": True,
        "max_retry_after_ns": 2_000_000_000,
        "dial_timeout_ns": 1_000_000_000,
    },
    "specifics": {"may_count": True, "count_wait_ns": 30_000_000},
}


def _pin_to(cores: set[int]) -> Any:
    """Return a function that binds the process calling it to `cores`."""
    return lambda: os.sched_setaffinity(0, cores)


@contextmanager
def stand_in(cores: set[int], **settings: Any) -> Iterator[tuple[list[int], Any]]:
    """Run a stand-in process.

    Yields:
        Its ports, and a function that stops it and returns its counts.
    """
    process = subprocess.Popen(
        [sys.executable, "-m", "mapleline.lab.standins", orjson.dumps(settings).decode()],
        text=True,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        preexec_fn=_pin_to(cores),
    )

    def stop() -> dict[str, Any]:
        process.stdin.close()
        return orjson.loads(process.stdout.readline())

    try:
        yield orjson.loads(process.stdout.readline()), stop
    finally:
        process.kill()
        process.wait()


def _children(pid: int) -> list[int]:
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


def _usage(pids: list[int]) -> tuple[float, float]:
    """Return the CPU seconds and the resident memory in MB of these processes."""
    cpu_ticks = pages = 0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        cpu_ticks += int(fields[11]) + int(fields[12])
        pages += int(fields[21])
    return cpu_ticks / CLOCK_TICKS_PER_S, pages * os.sysconf("SC_PAGE_SIZE") / 1e6


@contextmanager
def ingress(
    workers: int, cores: set[int], config: dict[str, Any], log: IO[bytes] | None = None
) -> Iterator[tuple[list[Any], list[int]]]:
    """Run the ingress in its release build (`python -O`).

    Yields:
        Its address and the ids of its processes.  `log` receives what it logs after its start.
    """
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder) / "config.json"
        file.write_bytes(orjson.dumps(config))
        process = subprocess.Popen(
            [sys.executable, "-O", "-m", "mapleline", "run", "--workers", str(workers)],
            stderr=subprocess.PIPE,
            env={**os.environ, "EDGE_CONFIG": str(file)},
            preexec_fn=_pin_to(cores),
        )
        try:
            while (event := orjson.loads(process.stderr.readline()))["event"] != "serving":
                pass
            host, port = event["listen"].split(":")
            yield [host, int(port)], [process.pid, *_children(process.pid)]
        finally:
            process.terminate()
            try:
                logged, _ = process.communicate(timeout=STOP_TIMEOUT_S)[::-1]
                if log is not None:
                    log.write(logged)
            except subprocess.TimeoutExpired:
                process.kill()


def beyond_buckets(arrivals: dict[str, list[float]], seconds: float) -> float:
    """Return the units forwarded beyond the metered customers' token buckets, relative to the units granted."""
    beyond = 0
    for times in arrivals.values():
        level, last = QUOTA_BURST_UNITS, None
        for now in sorted(times):
            level = min(QUOTA_BURST_UNITS, level + QUOTA_RATE_PER_S * (now - last)) if last is not None else level
            last = now
            if level >= 1:
                level -= 1
            else:
                beyond += 1
    return beyond / (METERED_CUSTOMERS * (QUOTA_BURST_UNITS + QUOTA_RATE_PER_S * seconds))


def trial(workers: int, rate: float, seconds: float, connections: int, seed: int) -> dict[str, Any]:
    """Measure one run at one offered rate, and return its figures.

    The ingress runs on the lower half of the cores, the load and the stand-ins on the upper half.

    Args:
        workers: worker processes of the ingress.
        rate: offered requests per second.
        seconds: duration of the load.
        connections: client connections.
        seed: seed of the load.
    """
    cores = sorted(os.sched_getaffinity(0))
    ingress_cores, load_cores = set(cores[: len(cores) // 2]), set(cores[len(cores) // 2 :])
    load_processes = max(1, len(load_cores) // 2)
    with ExitStack() as stack:
        agendas = [
            stack.enter_context(
                stand_in(load_cores, kind="agenda", many=SERVERS // 2, work_s=0.005, metered_below=METERED_CUSTOMERS)
            )
            for _ in range(2)
        ]
        (counter_port,), stop_counter = stack.enter_context(stand_in(load_cores, kind="counter"))
        ports = [port for agenda_ports, _ in agendas for port in agenda_ports]
        targets = [
            {
                "uid": f"s{index}",
                "endpoint": f"127.0.0.1:{port}",
                "az": "z",
                "model": "k",
                "pod_group": 0,
                "state": "in_service",
                "capacity_hint": 1.0,
                "boot_ms": 0,
            }
            for index, port in enumerate(ports)
        ]
        (discovery_port,), _ = stack.enter_context(stand_in(load_cores, kind="discovery", targets=targets))
        config = {
            "name": "lab",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery_port}",
            "counter": f"127.0.0.1:{counter_port}",
            "seed": f"{seed:x}",
            "limits": {"sockets": 8192},
            "known": {"rev": 1, "all": True, "targets": targets},
            "settings": SETTINGS,
        }
        address, pids = stack.enter_context(ingress(workers, ingress_cores, config))
        load_settings = {
            "address": address,
            "seconds": seconds,
            "rate": rate / load_processes,
            "connections": connections // load_processes,
            "metered": METERED_CUSTOMERS,
            "customers": 5000,
            "metered_share": min(0.5, METERED_CUSTOMERS * 2 * QUOTA_RATE_PER_S / rate),
            "start": time.monotonic() + 1.0,
        }
        cpu_before_s, _ = _usage(pids)
        arguments = [
            orjson.dumps({**load_settings, "seed": seed * 100 + index}).decode() for index in range(load_processes)
        ]
        clients = [
            subprocess.Popen(
                [sys.executable, "-m", "mapleline.lab.load", argument],
                stdout=subprocess.PIPE,
                preexec_fn=_pin_to(load_cores),
            )
            for argument in arguments
        ]
        results = [orjson.loads(client.communicate()[0]) for client in clients]
        cpu_after_s, rss_mb = _usage(pids)
        arrivals: dict[str, list[float]] = {}
        for _, stop_agenda in agendas:
            for customer, times in stop_agenda()["times"].items():
                arrivals.setdefault(customer, []).extend(times)
        counter_calls = stop_counter()["calls"]
    latency, lag, ends = histogram(), histogram(), {}
    for result in results:
        latency.add(HdrHistogram.decode(result["latency"]))
        lag.add(HdrHistogram.decode(result["lag"]))
        for status, count in result["ends"].items():
            ends[status] = ends.get(status, 0) + count
    offered = sum(result["offered"] for result in results)
    answered = sum(count for status, count in ends.items() if status.isdigit())
    return {
        "workers": workers,
        "offered_rps": offered / seconds,
        "answered_rps": ends.get("200", 0) / seconds,
        "p50_ms": latency.get_value_at_percentile(50) / 1e3,
        "p99_ms": latency.get_value_at_percentile(99) / 1e3,
        "p999_ms": latency.get_value_at_percentile(99.9) / 1e3,
        "cpu_ms_per_request": 1e3 * (cpu_after_s - cpu_before_s) / max(1, answered),
        "quota_error": beyond_buckets(arrivals, seconds),
        "rss_mb": rss_mb,
        "ends": ends,
        "counter_calls": counter_calls / max(1, answered),
        "load_lag_p99_ms": lag.get_value_at_percentile(99) / 1e3,
        "load_cpu_share": max(result["cpu_s"] for result in results) / (seconds + 1),
        "connections": connections,
        "held": latency.get_value_at_percentile(99) / 1e3 < MAX_P99_MS
        and ends.get("503", 0) + offered - answered <= MAX_UNSERVED_SHARE * offered,
    }


def highest(workers: int, seconds: float, connections: int, seed: int, report: Any) -> list[dict[str, Any]]:
    """Search the highest sustained rate: raise the rate until it fails, then bisect.

    Returns:
        All runs; the last one is that with the highest sustained rate.
    """
    rate, sustained, failed, runs = FIRST_RATE_PER_WORKER * workers, 0.0, 0.0, []
    while failed == 0 or (failed - sustained) / failed > SEARCH_PRECISION:
        run = trial(workers, rate, seconds, connections, seed)
        report(run)
        runs.append(run)
        sustained, failed = (rate, failed) if run["held"] else (sustained, rate)
        if rate < 100:
            break
        rate = rate * 1.6 if not failed else (sustained + failed) / 2 if sustained else failed / 2
    best = max((run for run in runs if run["held"]), key=lambda run: run["offered_rps"], default=runs[-1])
    return [*(run for run in runs if run is not best), best]
