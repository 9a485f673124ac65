"""Implementation of the command `mapleline soak`."""

from __future__ import annotations

import asyncio
import json
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, replace
from pathlib import Path

from expression import Error, Ok, Result

from .runner import SoakOptions, SoakResult, run_soak

HISTORY_FILE = "history.json"


def run_seeds(options: SoakOptions, count: int, logs: Path | None) -> Result[str, str]:
    """Run one soak test per seed and print each verdict.

    Args:
        options: Options of each run; its seed is the first one.
        count: Number of consecutive seeds.
        logs: Folder that keeps the nodes' logs and data of each seed, and the recorded history of each seed that
            violated a rule; None to keep nothing.

    Returns:
        A summary; an error that names the seeds with violations, if there are any.
    """
    failed_seeds = []
    for seed in range(options.seed, options.seed + count):
        with _seed_folder(logs, seed) as folder:
            result = asyncio.run(run_soak(replace(options, seed=seed), folder))
            print(result.summary(), flush=True)
            for violation in result.violations:
                print(f"  {violation}", flush=True)
            if result.violations:
                failed_seeds.append(str(seed))
                _write_history(result, folder)
    if failed_seeds:
        return Error(f"rules broken in seeds {', '.join(failed_seeds)}")
    return Ok(f"{count} seeds, no rule broken")


@contextmanager
def _seed_folder(logs: Path | None, seed: int) -> Iterator[Path]:
    """Yield the folder of a seed: a permanent one under `logs`, or a temporary one if `logs` is None."""
    if logs is None:
        with tempfile.TemporaryDirectory(prefix="mapleline-soak-") as temporary:
            yield Path(temporary)
        return
    folder = logs / f"seed-{seed}"
    folder.mkdir(parents=True)
    yield folder


def _write_history(result: SoakResult, folder: Path) -> None:
    document = asdict(result.history)
    (folder / HISTORY_FILE).write_text(json.dumps(document, default=str))
