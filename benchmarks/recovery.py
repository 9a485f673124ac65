"""Benchmark of the recovery time of a control node after 10, 100 and 1,000 changes, with real processes on loopback.

    python benchmarks/recovery.py --changes 10,100,1000 --rounds 5

Runs three nodes as `mapleline try` does.  In each round one node is killed and restarted, and another is restarted
with an empty disk.  The recovery time lasts from the start of the process until its `/status` reports that it votes and
holds the newest configuration.  The size of the data on disk and the time of a configuration change are printed, too.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from pathlib import Path
from shutil import rmtree

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT)]

from boltons.tableutils import Table  # noqa: E402

from mapleline.balancer.cli.trial.cluster import TrialCluster, wait_until  # noqa: E402
from mapleline.balancer.cli.trial.layout import CONTROL_PORT, INITIAL_NODES, NODE_ADDRESSES  # noqa: E402
from mapleline.balancer.cli.trial.sample_configuration import sample_configuration  # noqa: E402
from mapleline.balancer.control.snapshot import FOLDER  # noqa: E402

POLL_INTERVAL_S = 0.01


def read_status(trial: TrialCluster, name: str) -> dict:
    """Return the status of a node; empty if it answers with an error."""
    answer = trial.get(name, CONTROL_PORT, "/status", timeout_s=1.0)
    return json.loads(answer.text) if answer.status == 200 else {}


def measure_recovery_s(trial: TrialCluster, name: str, version: int) -> float:
    """Start a node; return the seconds until it votes, holds `version`, and no change of the voters is in progress."""
    started_at = time.monotonic()
    trial.start(name, False)
    while time.monotonic() < started_at + 30:
        status = read_status(trial, name)
        own_rows = [row for row in status.get("members", ()) if row["address"] == NODE_ADDRESSES[name]]
        if (
            status.get("formed")
            and status["config_version"] == version
            and own_rows
            and own_rows[0]["kept"] == status["number"]
        ):
            return time.monotonic() - started_at
        time.sleep(POLL_INTERVAL_S)
    raise SystemExit(f"{name} is not whole after 30 s")


def format_median(values: list[float]) -> str:
    """Return the median, minimum and maximum as text."""
    return f"{statistics.median(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def measure(trial: TrialCluster, counts: list[int], rounds: int) -> list[dict]:
    """Return one result row for each number of changes in `counts`."""
    zones, rows, version = list(INITIAL_NODES), [], 0

    def replace_configuration() -> float:
        nonlocal version
        version += 1
        started_at = time.monotonic()
        if trial.replace_configuration("z1", sample_configuration(version)) != 200:
            raise SystemExit(f"version {version} was not acknowledged")
        return time.monotonic() - started_at

    fault = wait_until("the first order", lambda: trial.replace_configuration("z1", sample_configuration(1)) == 200)
    if fault:
        raise SystemExit(fault)
    version = 1
    for count in counts:
        change_times_s = [replace_configuration() for _ in range(count - version)]
        restart_times_s, wiped_times_s = [], []
        for _ in range(rounds):
            for times, name in ((restart_times_s, zones[1]), (wiped_times_s, zones[2])):
                trial.kill(name)
                if times is wiped_times_s:
                    rmtree(trial.folder / name / FOLDER)
                replace_configuration()
                times.append(measure_recovery_s(trial, name, version))
                time.sleep(1.5)  # wait until the set of voters is settled
        size_bytes = sum(path.stat().st_size for path in (trial.folder / zones[1] / FOLDER).iterdir())
        rows.append(
            {
                "changes": count,
                "order, ms": f"{1000 * statistics.median(change_times_s):.0f}",
                "restarted, s": format_median(restart_times_s),
                "wiped, s": format_median(wiped_times_s),
                "word, bytes": size_bytes,
            }
        )
        print(rows[-1], flush=True)
    return rows


def main() -> None:
    """Run the benchmark and print a table of the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--changes", default="10,100,1000")
    parser.add_argument("--rounds", type=int, default=5)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="mapleline-recovery-") as folder:
        trial = TrialCluster(Path(folder))
        try:
            for zone in INITIAL_NODES:
                trial.start(zone, True)
            rows = measure(trial, [int(count) for count in arguments.changes.split(",")], arguments.rounds)
        finally:
            trial.stop()
    print(Table.from_data([list(row.values()) for row in rows], headers=list(rows[0])).to_text())


if __name__ == "__main__":
    main()
