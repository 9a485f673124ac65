"""The commands of the service: run, check, counters, completion."""

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
  balancer   the role of every machine (settings file in MAPLELINE_CONFIG)
  settings   check a settings file
  config     check, put, read, history, rollback: the operator's configuration
  evacuate   ZONE begin|finish
  status     what an ingress knows
  archive    check, dump, restore: a stopped machine's folder
  core       forget: a machine with a disk that is gone for good
  try        a small one on loopback, until Ctrl-C (or --check)
"""


def _version() -> str:
    try:
        return metadata.version(PACKAGE)
    except metadata.PackageNotFoundError:  # run from a checkout that is not installed
        return "0 (not installed)"


@click.group(context_settings={"help_option_names": ["-h", "--help"]}, epilog=EXAMPLES)
@click.version_option(_version(), prog_name="mapleline")
def group() -> None:
    """An ingress that holds the quotas of many customers on one shared service."""


@group.command()
@click.option("--config", type=FILE, envvar="EDGE_CONFIG", help="The platform's JSON (EDGE_CONFIG).")
@click.option("--settings", type=FILE, envvar="EDGE_SETTINGS", help="Our own HCL (EDGE_SETTINGS).")
@click.option("--workers", type=click.IntRange(1, 16), help="Processes that serve, over cores.workers.")
def run(config: Path | None, settings: Path | None, workers: int | None) -> int:
    """Serve until told to go (SIGTERM); SIGHUP reads the files again, SIGUSR1 prints the counters."""
    from ..settings import own
    from ..telemetry import configure_log, log

    if config is not None:
        os.environ["EDGE_CONFIG"] = str(config)
    told = own.Own()
    if settings is not None:
        try:
            told, faults = own.load(str(settings))
        except OSError as err:
            raise click.UsageError(f"--settings: {err.strerror}: {settings}") from None
        for fault in faults:
            log("configuration", file=str(settings), fault=str(fault))
        if faults:
            return 2
    configure_log(told.log.form)
    for block in ("budgets", "handoff"):
        if getattr(told, block).enabled and (workers or told.cores.workers) > 1:
            log("configuration", file=str(settings), fault=f"{block}.enabled: only with cores.workers = 1")
            return 2
    if (workers or told.cores.workers) == 1:
        from ..ingress import main

        return main(told, str(settings) if settings is not None else None)
    from ..cores.supervisor import main as supervise

    return supervise(told, workers or told.cores.workers)


@group.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
def check(files: tuple[Path, ...]) -> int:
    """Check configuration: the platform's JSON (.json) and our own HCL (.hcl).

    Every fault is told, a line each, with its key.  Status 1 if there is one.
    """
    found = 0
    for file in files:
        try:
            faults = _faults_of_hcl(file) if file.suffix == ".hcl" else _faults_of_json(file)
        except OSError as err:
            faults = [err.strerror or str(err)]
        found += len(faults)
        for fault in faults:
            click.echo(f"{file}: {fault}")
        if not faults:
            click.echo(f"{file}: good")
    return 1 if found else 0


def _faults_of_hcl(file: Path) -> list[str]:
    from ..settings import own

    return [str(fault) for fault in own.load(str(file))[1]]


def _faults_of_json(file: Path) -> list[str]:
    """Addresses that the environment may give are asked for only where they are there and wrong."""
    from ..net.discovery import Directory
    from ..settings import platform

    faults: list[platform.ConfigError] = []
    try:
        raw = platform.read_file(str(file))
    except platform.ConfigError as err:
        return [str(err).removeprefix("EDGE_CONFIG: ")]
    stand_in = {f"EDGE_{name}": "environment:1" for name in ("LISTEN", "DISCOVERY", "COUNTER")}
    config = platform.read_config(raw, stand_in, faults)
    texts = [str(fault) for fault in faults]
    try:
        Directory(config.zone_names, config.kind_names).read(config.known, cached=True)
    except ValueError as err:
        texts.append(f"known: {err}")
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
        # The signal would end a process that does not expect it.
        raise click.ClickException(f"process {pid} is no mapleline")
    try:
        os.kill(pid, signal.SIGUSR1)
    except OSError as err:
        raise click.ClickException(f"process {pid}: {err.strerror}") from None
    click.echo(f"asked process {pid}: its log has the line `counters`")
    return 0


@group.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> int:
    """Print the lines that make a shell complete our commands; see the example of `mapleline --help`."""
    kind = get_completion_class(shell)
    if kind is None:
        raise click.ClickException(f"no completion for {shell}")
    click.echo(kind(group, {}, "mapleline", "_MAPLELINE_COMPLETE").source())
    return 0


@group.group()
def lab() -> None:
    """Our own laboratory: stand-in parties, load, and what the ingress makes of them."""


add_aliases(lab)
group.add_command(simulate)


@lab.command("cores")
@click.option("--workers", "workers", default="1,2,4", show_default=True, help="Numbers of workers, in turn.")
@click.option("--seconds", default=5.0, show_default=True, type=click.FloatRange(1, 600), help="Of each run.")
@click.option("--connections", default=256, show_default=True, type=click.IntRange(2, 4096))
@click.option("--seed", default=1, show_default=True, type=click.IntRange(0))
@click.option("--json", "to", type=FILE, help="Where the results go.")
@click.option("--parquet", type=FILE, help="The same as a Parquet file.")
@click.option("--plot", type=FILE, help="Latency over the offered rate, as a PNG.")
def lab_cores(
    workers: str, seconds: float, connections: int, seed: int, to: Path | None, parquet: Path | None, plot: Path | None
) -> int:
    """Find the highest rate that each number of workers holds at p99 under 50 ms, and run at 70% of it.

    The ingress has the lower half of the cores, the load side the upper half.
    """
    import orjson

    from ..lab import cores

    try:
        numbers = [int(word) for word in workers.split(",")]
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

    def tell(run: dict) -> None:
        figures = "  ".join(f"{name}={run[name]:.4g}" for name in columns)
        click.echo(figures if run["held"] else figures + "  not held")

    runs, every = [], []
    for number in numbers:
        found = cores.highest(number, seconds, connections, seed, tell)
        rested = cores.trial(number, 0.7 * found[-1]["offered_rps"], seconds, connections, seed + 1)
        tell(rested)
        runs += [dict(found[-1], kind="highest"), dict(rested, kind="70%")]
        every += [*found, rested]
    if to is not None:
        to.write_bytes(orjson.dumps({"runs": runs}, option=orjson.OPT_INDENT_2))
    if parquet is not None:
        import pyarrow
        import pyarrow.parquet

        rows = [{key: value for key, value in run.items() if key != "ends"} for run in runs]
        pyarrow.parquet.write_table(pyarrow.Table.from_pylist(rows), parquet)
    if plot is not None:
        from ..lab.plots import latency_by_rate

        latency_by_rate(every, cores.MAX_P99_MS, plot)
    return 0


@group.group()
def fleet() -> None:
    """Several ingresses with faults between them; see docs/fleet.md."""


def _schedule(file: Path) -> object:
    from ..faults import schedule_file

    try:
        told, faults = schedule_file.load(str(file))
    except OSError as err:
        raise click.UsageError(f"{file}: {err.strerror}") from None
    for fault in faults:
        click.echo(f"{file}: {fault}", err=True)
    if faults:
        raise click.exceptions.Exit(2)
    return told


@fleet.command("run")
@click.argument("schedule", type=FILE)
@click.option(
    "--logs",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("fleet-logs"),
    show_default=True,
    help="Where every process's log goes; emptied first.",
)
@click.option("--bare", is_flag=True, help="Stand-ins where the ingresses would be: faults undefended.")
@click.option("--counter-each", is_flag=True, help="A counter for each ingress: budgets break.")
def fleet_run(schedule: Path, logs: Path, bare: bool, counter_each: bool) -> int:
    """Start the fleet, play SCHEDULE under load, stop, and judge the logs.  Status 1 if a rule broke."""
    import shutil

    from ..faults.fleet import Controller, FleetOptions

    told = _schedule(schedule)
    shutil.rmtree(logs, ignore_errors=True)
    Controller(told, logs, FleetOptions(is_bare=bare, has_counter_each=counter_each)).run()
    return _verdict(logs, strict=bare)


@fleet.command("up")
@click.option("--settings", "file", type=FILE, required=True, help="A schedule: its fleet block.")
@click.option("--logs", type=click.Path(file_okay=False, path_type=Path), default=Path("fleet-logs"), show_default=True)
def fleet_up(file: Path, logs: Path) -> int:
    """Start the fleet, no load, no faults; print where it listens; hold it until SIGINT or SIGTERM."""
    import shutil

    from ..faults.fleet import Controller

    told = _schedule(file)
    shutil.rmtree(logs, ignore_errors=True)
    controller = Controller(told, logs)
    controller.start()
    for name, port in sorted(controller.ingress_ports.items()):
        click.echo(f"{name} 127.0.0.1:{port}")
    controller.reactor.addSystemEventTrigger("before", "shutdown", controller.stop)
    controller.reactor.run()
    controller.finish()
    return _verdict(logs, strict=False)


@fleet.command("check")
@click.argument("logs", type=click.Path(file_okay=False, exists=True, path_type=Path))
@click.option("--strict", is_flag=True, help="Excuse no request, not even at an ingress under a fault.")
def fleet_check(logs: Path, strict: bool) -> int:
    """Judge a fleet's logs again.  Status 1 if a rule broke."""
    return _verdict(logs, strict)


def _verdict(logs: Path, strict: bool) -> int:
    from ..faults.checker import judge
    from ..faults.logs import read_logs

    found = judge(read_logs(logs), strict=strict)
    for violation in found[:50]:
        click.echo(str(violation))
    click.echo(f"{len(found)} violations" if found else "every rule held")
    return 1 if found else 0
