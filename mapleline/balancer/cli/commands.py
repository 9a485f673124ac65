"""The balancer's command line: running a node, the operator's calls, and access to a stopped machine's data folder.

Each class is a command of `cappa`: its fields are the arguments, and calling it runs the command.  Modules that are
slow to import are imported only when their command runs.
"""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from . import data_folder, file_checks
from .operator_client import call_any_address, rollback

ACKNOWLEDGED = "acknowledged"
EXIT_FAULT = 1

Addresses = Annotated[
    str, cappa.Arg(long="--at", help="control addresses, host:port, tried in order; commas between them")
]
AsJson = Annotated[bool, cappa.Arg(long="--json", help="as JSON, in full")]


def print_result(result: Result[str, str], end: str = "\n") -> None:
    """Print a result on standard output, or its fault in one line on standard error.

    A configuration is printed with an empty `end`, byte for byte as it was sent, so that it is the same configuration
    when it is sent again.

    Raises:
        cappa.Exit: with status 1, if the result is a fault.
    """
    match result:
        case Result(tag="ok", ok=text):
            print(text, end=end)
        case Result(error=fault):
            sys.stderr.write(f"mapleline: {fault}\n")
            raise cappa.Exit(code=EXIT_FAULT)


def read_file(path: Path) -> Result[bytes, str]:
    """Return a file's content, or the reason why it cannot be read."""
    try:
        return Ok(path.read_bytes())
    except OSError as error:
        return Error(f"{path}: {error.strerror}")


def send_operator_command(addresses: str, path: str, body: bytes = b"") -> Result[str, str]:
    """Send a command of the operator; return `ACKNOWLEDGED`, or the reason why it was not acknowledged."""
    return call_any_address(addresses, "POST", path, body).map(lambda _: ACKNOWLEDGED)


@cappa.command(
    name="balancer",
    aliases=[cappa.Alias("desk", hidden=True)],  # the former name of the role, which start scripts may still use
    help="The role of every machine: data plane, and a control replica where there is a disk",
)
@dataclass
class BalancerCommand:
    """Run one node."""

    def __call__(self) -> None:
        """Run the node until it is shut down."""
        from ..process import main

        raise cappa.Exit(code=main())


@cappa.command(
    name="settings", help="Read a settings file (lines a.b=value) as a process would; names the key at fault"
)
@dataclass
class SettingsCommand:
    """Check a settings file."""

    file: Path

    def __call__(self) -> None:
        """Print a summary of the settings."""
        print_result(read_file(self.file).bind(file_checks.check_settings))


@cappa.command(name="check", help="Check a configuration as an ingress would; names the key at fault")
@dataclass
class ConfigCheckCommand:
    """Check a configuration."""

    file: Path

    def __call__(self) -> None:
        """Print a summary of the configuration."""
        print_result(read_file(self.file).bind(file_checks.check_config))


@cappa.command(name="put", help="Send a complete configuration; done once a majority of the voters has it on disk")
@dataclass
class ConfigPutCommand:
    """Put a configuration in force."""

    file: Path
    at: Addresses

    def __call__(self) -> None:
        """Check the configuration, and send it."""
        body = read_file(self.file)
        print_result(body.bind(file_checks.check_config))
        print_result(body.bind(lambda content: send_operator_command(self.at, "/config/replace", content)))


@cappa.command(name="read", help="The newest configuration, or an earlier one")
@dataclass
class ConfigReadCommand:
    """Read a configuration."""

    at: Addresses
    version: Annotated[int | None, cappa.Arg(long="--version", help="one that a machine's history still has")] = None

    def __call__(self) -> None:
        """Print the configuration as it was sent."""
        path = "/config/read" if self.version is None else f"/config/history/{self.version}"
        print_result(call_any_address(self.at, "GET", path), end="")


@cappa.command(name="history", help="What came into force, and which commands were answered, newest first")
@dataclass
class ConfigHistoryCommand:
    """Read the history of configurations and commands."""

    at: Addresses
    json: AsJson = False

    def __call__(self) -> None:
        """Print the history."""
        from .tables import history_tables

        history = call_any_address(self.at, "GET", "/config/history")
        print_result(history if self.json else history.map(history_tables))


@cappa.command(name="rollback", help="Put an earlier configuration in force again, as the version after the newest")
@dataclass
class ConfigRollbackCommand:
    """Put an earlier configuration in force again."""

    version: int
    at: Addresses

    def __call__(self) -> None:
        """Send the earlier configuration under a new version."""
        print_result(rollback(self.at, self.version))


@cappa.command(name="config", help="The operator's configuration")
@dataclass
class ConfigCommand:
    """The group of commands on configurations."""

    command: cappa.Subcommands[
        ConfigCheckCommand | ConfigPutCommand | ConfigReadCommand | ConfigHistoryCommand | ConfigRollbackCommand
    ]


@cappa.command(name="evacuate", help="Send nothing more to a zone's servers (begin), or take it back (finish)")
@dataclass
class EvacuateCommand:
    """Begin or finish an evacuation."""

    zone: str
    order: Annotated[str, cappa.Arg(choices=["begin", "finish"])]
    at: Addresses

    def __call__(self) -> None:
        """Send the command."""
        print_result(send_operator_command(self.at, f"/evacuations/{self.zone}/{self.order}"))


@cappa.command(name="forget", help="Remove a control replica for good; it must be stopped")
@dataclass
class CoreForgetCommand:
    """Remove a replica."""

    address: str
    at: Addresses

    def __call__(self) -> None:
        """Send the command."""
        print_result(send_operator_command(self.at, f"/core/{self.address}/forget"))


@cappa.command(name="core", help="The control replicas: machines with a disk that decide by majority")
@dataclass
class CoreCommand:
    """The group of commands on the replicas."""

    command: cappa.Subcommands[CoreForgetCommand]


@cappa.command(name="status", help="What a node knows: its read lease, who votes, what is in force")
@dataclass
class StatusCommand:
    """Read an ingress's status."""

    at: Addresses
    json: AsJson = False

    def __call__(self) -> None:
        """Print the status."""
        from .tables import status_tables

        status = call_any_address(self.at, "GET", "/status")
        print_result(status.map(_indent_json if self.json else status_tables))


def _indent_json(text: str) -> str:
    return json.dumps(json.loads(text), indent=2)


@cappa.command(name="check", help="Read every file of the folder; status 1 names those that are corrupt")
@dataclass
class ArchiveCheckCommand:
    """Check a stopped machine's data folder."""

    folder: Path

    def __call__(self) -> None:
        """Print a summary of the folder."""
        print_result(data_folder.check_archive(self.folder))


@cappa.command(name="dump", help="The chosen state as JSON on standard output; of the earlier format too")
@dataclass
class ArchiveDumpCommand:
    """Dump a stopped machine's control state."""

    folder: Path
    config: Annotated[bool, cappa.Arg(long="--config", help="the configuration alone, for `config put`")] = False

    def __call__(self) -> None:
        """Print the state, or the configuration as it was sent."""
        if self.config:
            print_result(data_folder.dump_config(self.folder), end="")
        else:
            print_result(data_folder.dump_archive(self.folder))


@cappa.command(
    name="restore", help="Write a dump into an empty folder; the machine has no vote until the voters let it in"
)
@dataclass
class ArchiveRestoreCommand:
    """Restore a dump."""

    folder: Path
    dump: Path

    def __call__(self) -> None:
        """Write the dump."""
        print_result(read_file(self.dump).bind(lambda content: data_folder.restore_archive(self.folder, content)))


@cappa.command(name="archive", help="The control state in a stopped machine's data folder")
@dataclass
class ArchiveCommand:
    """The group of commands on data folders."""

    command: cappa.Subcommands[ArchiveCheckCommand | ArchiveDumpCommand | ArchiveRestoreCommand]


@cappa.command(name="try", help="A small system on loopback: three ingresses, stand-in servers and platform")
@dataclass
class TryCommand:
    """Run a trial cluster."""

    check: Annotated[bool, cappa.Arg(long="--check", help="check commands, rivals, losses and graceful shutdown")] = (
        False
    )

    def __call__(self) -> None:
        """Run the cluster until interrupted, or run the check."""
        from .trial.command import run

        print_result(run(self.check))


@cappa.command(name="soak", help="Many node processes on loopback under load, faults and changes, judged from outside")
@dataclass
class SoakCommand:
    """Run soak tests, one per seed."""

    seed: Annotated[int, cappa.Arg(long="--seed", help="the first one")] = 1
    seeds: Annotated[int, cappa.Arg(long="--seeds", help="how many, one after the other")] = 1
    nodes: Annotated[int, cappa.Arg(long="--nodes", help="processes of the program")] = 12
    seconds: Annotated[float, cappa.Arg(long="--seconds", help="how long the load lasts")] = 20.0
    load: Annotated[float, cappa.Arg(long="--load", help="factor on the clients' rates")] = 1.0
    node_command: Annotated[str, cappa.Arg(long="--node-command", help="what a node runs, in place of this")] = ""
    logs: Annotated[Path | None, cappa.Arg(long="--logs", help="a folder where logs and data are kept")] = None

    def __call__(self) -> None:
        """Print one line per seed, and the violated rules."""
        from ...soak.command import run_seeds
        from ...soak.runner import SoakOptions, node_command

        options = SoakOptions(self.seed, self.nodes, self.seconds, self.load, node_command(self.node_command))
        print_result(run_seeds(options, self.seeds, self.logs))


@cappa.command(name="mapleline", help="The global load balancer.  For the ingress alone: mapleline --help")
@dataclass
class BalancerCli:
    """The command line of the balancer."""

    command: cappa.Subcommands[
        BalancerCommand
        | SettingsCommand
        | ConfigCommand
        | EvacuateCommand
        | CoreCommand
        | StatusCommand
        | ArchiveCommand
        | TryCommand
        | SoakCommand
    ]


def main(arguments: list[str]) -> int:
    """Run a command; return 0 (success), 1 (a fault, printed in one line) or 2 (wrong usage)."""
    try:
        cappa.invoke(BalancerCli, argv=arguments)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
