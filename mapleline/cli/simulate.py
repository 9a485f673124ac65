"""The commands of the simulation: `mapleline simulate run` and `mapleline simulate digest`."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click

Decorated = TypeVar("Decorated", bound=Callable[..., Any])

DEFAULT_RUNS = 8
DEFAULT_DIGEST_RUNS = 100
FIRST_DIGEST_SEED = 400  #: the first seed of benchmarks/behaviour-400-499.json
DEFAULT_JOBS = 2
FILE = click.Path(dir_okay=False, path_type=Path)


def _site_options(default_seeds: int, default_first: int) -> Callable[[Decorated], Decorated]:
    """Return a decorator that adds the options of the simulated runs."""
    options = [
        click.option(
            "--seeds", default=default_seeds, show_default=True, type=click.IntRange(1), help="Number of runs."
        ),
        click.option("--first", default=default_first, show_default=True, help="Seed of the first run."),
        click.option(
            "--jobs", default=DEFAULT_JOBS, show_default=True, type=click.IntRange(1), help="Number of processes."
        ),
        click.option(
            "--grown", is_flag=True, help="Simulate eight control replicas, which tolerate two simultaneous losses."
        ),
    ]

    def decorate(command: Decorated) -> Decorated:
        for option in reversed(options):
            command = option(command)
        return command

    return decorate


@click.group()
def simulate() -> None:
    """Simulate complete nodes in virtual time and check the operators' rules."""


@simulate.command()
@_site_options(DEFAULT_RUNS, 0)
def run(seeds: int, first: int, jobs: int, grown: bool) -> None:
    """Run random scenarios of a small site; status 1 if one violates a rule."""
    from ..simulation.runner import run_many

    violating_run_count = run_many(range(first, first + seeds), jobs, click.echo, grown)
    click.echo(f"{seeds} days, {violating_run_count} with a rule broken")
    raise SystemExit(1 if violating_run_count else 0)


@simulate.command()
@_site_options(DEFAULT_DIGEST_RUNS, FIRST_DIGEST_SEED)
@click.option("--json", "output", type=FILE, help="File that the digests are written to.")
@click.option(
    "--compare", "baseline", type=FILE, help="Digests of an earlier run to compare with; status 1 if one differs."
)
def digest(seeds: int, first: int, jobs: int, grown: bool, output: Path | None, baseline: Path | None) -> None:
    """Print a digest of all input and output of the machines in each run."""
    from ..simulation.behaviour_digest import measure_all

    runs = [behaviour.to_json() for behaviour in measure_all(range(first, first + seeds), jobs, grown)]
    if output is not None:
        output.write_text(json.dumps(runs, indent=1) + "\n")
    differing = _differing_seeds(runs, json.loads(baseline.read_text())) if baseline is not None else []
    for behaviour in runs:
        seed = behaviour["seed"]
        click.echo(f"seed {seed}: {behaviour['digest']}{' differs' if seed in differing else ''}")
    click.echo(f"{len(runs)} days, {len(differing)} with another digest")
    raise SystemExit(1 if differing else 0)


def _differing_seeds(runs: list[dict[str, Any]], baseline: list[dict[str, Any]]) -> list[int]:
    """Return the seeds whose behaviour differs from the baseline; runs that the baseline lacks count as equal."""
    earlier = {(behaviour["seed"], behaviour["grown"]): behaviour for behaviour in baseline}
    return [run["seed"] for run in runs if earlier.get((run["seed"], run["grown"]), run) != run]


def add_aliases(group: click.Group) -> None:
    """Add hidden aliases of the commands, `days` and `digest`, to the group `lab`."""
    for name, command in (("days", run), ("digest", digest)):
        alias = copy.copy(command)
        alias.name = name
        alias.hidden = True
        group.add_command(alias)
