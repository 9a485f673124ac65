"""The command `mapleline soak`."""

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
    """Run a soak for each of so many seeds, from that of the options on, and print each verdict.

    With `logs`, the nodes' logs and data of each seed are kept there, with what the stand-ins saw if it broke a rule.
    """
    broken = []
    for seed in range(options.seed, options.seed + count):
        with _folder(logs, seed) as folder:
            result = asyncio.run(run_soak(replace(options, seed=seed), folder))
            print(result.summary(), flush=True)
            for violation in result.violations:
                print(f"  {violation}", flush=True)
            if result.violations:
                broken.append(str(seed))
                _write_history(result, folder)
    if broken:
        return Error(f"rules broken in seeds {', '.join(broken)}")
    return Ok(f"{count} seeds, no rule broken")


@contextmanager
def _folder(logs: Path | None, seed: int) -> Iterator[Path]:
    """Yield a folder for a seed; it is kept under `logs`, or else removed in the end."""
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
