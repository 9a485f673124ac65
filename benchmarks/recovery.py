"""How long a machine of the core takes to be whole again, after 10, 100 and 1,000 changes: real processes on loopback.

    python benchmarks/recovery.py --changes 10,100,1000 --rounds 5

Three ingresses as in `mapleline try`; in each round one is killed and started again, and one is started with an empty
disk. From the start of the process until its `/status` says that it votes and holds the newest. Also what lies on its
disk, and how long an order took.
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

STEP_S = 0.01


def status(trial: TrialCluster, name: str) -> dict:
    answer = trial.get(name, CONTROL_PORT, "/status", timeout_s=1.0)
    return json.loads(answer.text) if answer.status == 200 else {}


def come_back(trial: TrialCluster, name: str, version: int) -> float:
    """Seconds until it votes and holds that version, and nobody is between two sets of voters."""
    began = time.monotonic()
    trial.start(name, False)
    while time.monotonic() < began + 30:
        said = status(trial, name)
        me = [row for row in said.get("members", ()) if row["address"] == NODE_ADDRESSES[name]]
        if said.get("formed") and said["config_version"] == version and me and me[0]["kept"] == said["number"]:
            return time.monotonic() - began
        time.sleep(STEP_S)
    raise SystemExit(f"{name} is not whole after 30 s")


def median(values: list[float]) -> str:
    return f"{statistics.median(values):.2f} ({min(values):.2f}-{max(values):.2f})"


def measure(trial: TrialCluster, counts: list[int], rounds: int) -> list[dict]:
    zones, rows, version = list(INITIAL_NODES), [], 0

    def put() -> float:
        nonlocal version
        version += 1
        began = time.monotonic()
        if trial.replace_configuration("z1", sample_configuration(version)) != 200:
            raise SystemExit(f"version {version} was not acknowledged")
        return time.monotonic() - began

    fault = wait_until("the first order", lambda: trial.replace_configuration("z1", sample_configuration(1)) == 200)
    if fault:
        raise SystemExit(fault)
    version = 1
    for count in counts:
        orders = [put() for _ in range(count - version)]
        killed, wiped = [], []
        for _ in range(rounds):
            for times, name in ((killed, zones[1]), (wiped, zones[2])):
                trial.kill(name)
                if times is wiped:
                    rmtree(trial.folder / name / FOLDER)
                put()
                times.append(come_back(trial, name, version))
                time.sleep(1.5)  # who votes is settled
        size = sum(path.stat().st_size for path in (trial.folder / zones[1] / FOLDER).iterdir())
        rows.append(
            {
                "changes": count,
                "order, ms": f"{1000 * statistics.median(orders):.0f}",
                "restarted, s": median(killed),
                "wiped, s": median(wiped),
                "word, bytes": size,
            }
        )
        print(rows[-1], flush=True)
    return rows


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--changes", default="10,100,1000")
    parser.add_argument("--rounds", type=int, default=5)
    asked = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="mapleline-recovery-") as folder:
        trial = TrialCluster(Path(folder))
        try:
            for zone in INITIAL_NODES:
                trial.start(zone, True)
            rows = measure(trial, [int(n) for n in asked.changes.split(",")], asked.rounds)
        finally:
            trial.stop()
    print(Table.from_data([list(row.values()) for row in rows], headers=list(rows[0])).to_text())


if __name__ == "__main__":
    main()
