"""The ingress commands: run, check, counters, completion, lab, simulate and fleet."""

from __future__ import annotations

import os
import signal
from importlib import metadata
from pathlib import Path

import click
from click.shell_completion import get_completion_class

from .. import __name__ as PACKAGE
from .simulate import add_aliases, simulate

FILE = click.Path(dir_okay=False, path_type=Path)
EXAMPLES = """
\b
Examples:
  EDGE_CONFIG=config.json mapleline run
  mapleline run --config config.json --settings deploy/mapleline.hcl --workers 4
  mapleline check config.json deploy/mapleline.hcl
  mapleline counters 4711
  eval "$(mapleline completion bash)"

\b
The global load balancer (each with --help):
  balancer   run the balancer on this machine (settings file in MAPLELINE_CONFIG)
  settings   check a settings file
  config     check, put, read, history, rollback: the operator's configuration
  evacuate   ZONE begin|finish
  status     show the state of an ingress
  archive    check, dump, restore: a stopped machine's folder
  core       forget: remove a machine with a disk that is gone for good
  try        run a small system on loopback until Ctrl-C (or --check)
"""


def _version() -> str:
    try:
        return metadata.version(PACKAGE)
    except metadata.PackageNotFoundError:  # the program runs from a checkout and is not installed
        return "0 (not installed)"


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXAMPLES)
@click.version_option(_version(), prog_name="mapleline")
def group() -> None:
    """An ingress that enforces the quotas of many customers on one shared service."""


@group.command()
@click.option("--config", type=FILE, envvar="EDGE_CONFIG", help="The platform's JSON file (EDGE_CONFIG).")
@click.option("--settings", type=FILE, envvar="EDGE_SETTINGS", help="The program's own HCL file (EDGE_SETTINGS).")
@click.option("--workers", type=click.IntRange(1, 16), help="Worker processes; overrides cores.workers.")
def run(config: Path | None, settings: Path | None, workers: int | None) -> int:
    """Serve until SIGTERM; SIGHUP reads the files again, SIGUSR1 prints the counters."""
    from ..settings import own
    from ..telemetry import configure_log, log

    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
    program_settings = own.ProgramSettings()
    if settings is not None:
        try:
            program_settings, faults = own.load(str(settings))
        except OSError as error:
            raise click.UsageError(f"--settings: {error.strerror}: {settings}") from None
        for fault in faults:
            log("configuration", file=str(settings), fault=str(fault))
        if faults:
            return 2
    configure_log(program_settings.log.form)
    for block in ("budgets", "handoff"):
        if getattr(program_settings, block).enabled and (workers or program_settings.cores.workers) > 1:
            log("configuration", file=str(settings), fault=f"{block}.enabled: only with cores.workers = 1")
            return 2
    if (workers or program_settings.cores.workers) == 1:
        from ..ingress import main

        return main(program_settings, str(settings) if settings is not None else None)
    from ..cores.supervisor import main as supervise

    return supervise(program_settings, workers or program_settings.cores.workers)


@group.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
def check(files: tuple[Path, ...]) -> int:
    """Check configuration files: the platform's JSON (.json) and the program's own HCL (.hcl).

    Prints each fault on a line with its key.  Exits with status 1 if there is one.
    """
    fault_count = 0
    for file in files:
        try:
            faults = _faults_of_hcl(file) if file.suffix == ".hcl" else _faults_of_json(file)
        except OSError as error:
            faults = [error.strerror or str(error)]
        fault_count += len(faults)
        for fault in faults:
            click.echo(f"{file}: {fault}")
        if not faults:
            click.echo(f"{file}: good")
    return 1 if fault_count else 0


def _faults_of_hcl(file: Path) -> list[str]:
    from ..settings import own

    return [str(fault) for fault in own.load(str(file))[1]]


def _faults_of_json(file: Path) -> list[str]:
    """Return the faults of a JSON file.

    Addresses that the environment may provide are not reported as missing, only as malformed.
    """
    from ..net.discovery import Directory
    from ..settings import platform

    faults: list[platform.ConfigError] = []
    try:
        raw = platform.read_file(str(file))
    except platform.ConfigError as error:
        return [str(error).removeprefix("EDGE_CONFIG: ")]
    environment = {f"EDGE_{name}": "environment:1" for name in ("LISTEN", "DISCOVERY", "COUNTER")}
    config = platform.read_config(raw, environment, faults)
    texts = [str(fault) for fault in faults]
    try:
        Directory(config.zone_names, config.kind_names).read(config.known, cached=True)
    except ValueError as error:
        texts.append(f"known: {error}")
    return list(dict.fromkeys(texts))


@group.command()
@click.argument("pid", type=click.IntRange(2))
def counters(pid: int) -> int:
    """Ask a running ingress (its process id) to print its counters to its log."""
    try:
        command = Path(f"/proc/{pid}/cmdline").read_bytes()
    except OSError:
        raise click.ClickException(f"no process {pid}") from None
    if b"mapleline" not in command:
        # SIGUSR1 ends a process that has no handler for it.
        raise click.ClickException(f"process {pid} is no mapleline")
    try:
        os.kill(pid, signal.SIGUSR1)
    except OSError as error:
        raise click.ClickException(f"process {pid}: {error.strerror}") from None
    click.echo(f"asked process {pid}: its log has the line `counters`")
    return 0


@group.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> int:
    """Print the shell code that completes mapleline's commands; see the example of `mapleline --help`."""
    completion_class = get_completion_class(shell)
    if completion_class is None:
        raise click.ClickException(f"no completion for {shell}")
    click.echo(completion_class(group, {}, "mapleline", "_MAPLELINE_COMPLETE").source())
    return 0


@group.group()
def lab() -> None:
    """Measurements of the ingress under load, with stand-ins for the services around it."""


add_aliases(lab)
group.add_command(simulate)


@lab.command("cores")
@click.option(
    "--workers", "workers", default="1,2,4", show_default=True, help="Numbers of workers to measure, in order."
)
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(1, 600), help="Duration of each run.")
@click.option("--connections", default=256, show_default=True, type=click.IntRange(2, 4096))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--json", "output", type=FILE, help="JSON file for the results.")
@click.option("--parquet", type=FILE, help="Parquet file for the results.")
@click.option("--plot", type=FILE, help="PNG file with a plot of latency against the offered rate.")
def lab_cores(
    workers: str,
    seconds: float,
    connections: int,
    seed: int,
    output: Path | None,
    parquet: Path | None,
    plot: Path | None,
) -> int:
    """Find the highest rate that each number of workers sustains with p99 under 50 ms, and run at 70% of it.

    The ingress runs on the lower half of the cores, the load on the upper half.
    """
    import orjson

    from ..lab import cores

    try:
        worker_counts = [int(number) for number in workers.split(",")]
    except ValueError:
        raise click.BadParameter("expected numbers and commas", param_hint="--workers") from None
    columns = (
        "workers",
        "offered_rps",
        "answered_rps",
        "p50_ms",
        "p99_ms",
        "p999_ms",
        "cpu_ms_per_request",
        "quota_error",
        "rss_mb",
        "load_lag_p99_ms",
    )

    def report(run: dict) -> None:
        figures = "  ".join(f"{name}={run[name]:.4g}" for name in columns)
        click.echo(figures if run["held"] else figures + "  not held")

    summary, all_runs = [], []
    for count in worker_counts:
        search_runs = cores.highest(count, seconds, connections, seed, report)
        moderate_run = cores.trial(count, 0.7 * search_runs[-1]["offered_rps"], seconds, connections, seed + 1)
        report(moderate_run)
        summary += [dict(search_runs[-1], kind="highest"), dict(moderate_run, kind="70%")]
        all_runs += [*search_runs, moderate_run]
    if output is not None:
        output.write_bytes(orjson.dumps({"runs": summary}, option=orjson.OPT_INDENT_2))
    if parquet is not None:
        import pyarrow
        import pyarrow.parquet

        rows = [{key: value for key, value in run.items() if key != "ends"} for run in summary]
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(rows), parquet)
    if plot is not None:
        from ..lab.plots import latency_by_rate

        latency_by_rate(all_runs, cores.MAX_P99_MS, plot)
    return 0


@group.group()
def fleet() -> None:
    """Run several ingresses with injected faults; see docs/fleet.md."""


def _load_schedule(file: Path) -> object:
    """Return the schedule of a file; print its faults and exit with status 2 if there are any."""
    from ..faults import schedule_file

    try:
        schedule, faults = schedule_file.load(str(file))
    except OSError as error:
        raise click.UsageError(f"{file}: {error.strerror}") from None
    for fault in faults:
        click.echo(f"{file}: {fault}", err=True)
    if faults:
        raise click.exceptions.Exit(2)
    return schedule


@fleet.command("run")
@click.argument("schedule", type=FILE)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("fleet-logs"),
    show_default=True,
    help="Directory for the logs of all processes; emptied first.",
)
@click.option("--bare", is_flag=True, help="Run stand-ins without defences in place of the ingresses.")
@click.option("--counter-each", is_flag=True, help="Run a separate counter for each ingress, which breaks the budgets.")
def fleet_run(schedule: Path, logs: Path, bare: bool, counter_each: bool) -> int:
    """Start the fleet, run SCHEDULE under load, stop, and check the logs; status 1 if a rule is violated."""
    import shutil

    from ..faults.fleet import Controller, FleetOptions

    loaded_schedule = _load_schedule(schedule)
    shutil.rmtree(logs, ignore_errors=True)
    Controller(loaded_schedule, logs, FleetOptions(is_bare=bare, has_counter_each=counter_each)).run()
    return _print_violations(logs, strict=bare)


@fleet.command("up")
@click.option(
    "--settings", "file", type=FILE, required=True, help="Schedule file, of which only the fleet block is used."
)
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), default=Path("fleet-logs"), show_default=True)
def fleet_up(file: Path, logs: Path) -> int:
    """Start the fleet without load and faults, print its addresses, and run it until SIGINT or SIGTERM."""
    import shutil

    from ..faults.fleet import Controller

    schedule = _load_schedule(file)
    shutil.rmtree(logs, ignore_errors=True)
    controller = Controller(schedule, logs)
    controller.start()
    for name, port in sorted(controller.ingress_ports.items()):
        click.echo(f"{name} 127.0.0.1:{port}")
    controller.reactor.addSystemEventTrigger("before", "shutdown", controller.stop)
    controller.reactor.run()
    controller.finish()
    return _print_violations(logs, strict=False)


@fleet.command("check")
@click.argument("logs", type=click.Path(file_okay=False, exists=True, path_type=Path))
@click.option("--strict", is_flag=True, help="Excuse no request, not even at an ingress under a fault.")
def fleet_check(logs: Path, strict: bool) -> int:
    """Check the logs of an earlier run; status 1 if a rule is violated."""
    return _print_violations(logs, strict)


def _print_violations(logs: Path, strict: bool) -> int:
    """Print up to 50 violations and their number; return the exit code."""
    from ..faults.checker import judge
    from ..faults.logs import read_logs

    violations = judge(read_logs(logs), strict=strict)
    for violation in violations[:50]:
        click.echo(str(violation))
    click.echo(f"{len(violations)} violations" if violations else "every rule held")
    return 1 if violations else 0
