"""The system's commands: roles, the operator's calls, and work on a stopped machine's folder.  They decide nothing."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import cappa
from expression import Error, Ok, Result

from . import data_folder
from .operator_client import ask, rollback

AT = cappa.Arg(long="--at", help="control addresses, host:port, tried in order; commas between them")


def tell(result: Result[str, str], end: str = "\n") -> None:
    """The answer on standard output, or the fault in one line and status 1.  A configuration goes out as it was sent,
    to the byte: only so is it the same when it is sent again.
    """
    match result:
        case Result(tag="ok", ok=text):
            print(text, end=end)
        case Result(error=fault):
            sys.stderr.write(f"mapleline: {fault}\n")
            raise cappa.Exit(code=1)


def read_file(path: Path) -> Result[bytes, str]:
    try:
        return Ok(path.read_bytes())
    except OSError as err:
        return Error(f"{path}: {err.strerror}")


@cappa.command(help="The role of every machine: data plane, and a part of the core where there is a disk")
@dataclass
class Balancer:
    def __call__(self) -> None:
        from ..process import main

        raise cappa.Exit(code=main())


@cappa.command(help="Read a settings file (lines a.b=value) as a process would; names the key at fault")
@dataclass
class Settings:
    file: Path

    def __call__(self) -> None:
        tell(read_file(self.file).bind(data_folder.check_settings))


@cappa.command(name="check", help="Check a configuration as an ingress would; names the key at fault")
@dataclass
class ConfigCheck:
    file: Path

    def __call__(self) -> None:
        tell(read_file(self.file).bind(data_folder.check_config))


@cappa.command(name="put", help="Send a whole configuration; done once the core has it on disk")
@dataclass
class ConfigPut:
    file: Path
    at: Annotated[str, AT]

    def __call__(self) -> None:
        body = read_file(self.file)
        tell(body.bind(data_folder.check_config))
        tell(body.bind(lambda text: ask(self.at, "POST", "/config/replace", text)).map(lambda _: "acknowledged"))


@cappa.command(name="read", help="The newest configuration, whole, or an earlier one")
@dataclass
class ConfigRead:
    at: Annotated[str, AT]
    version: Annotated[int | None, cappa.Arg(long="--version", help="one that a machine's history still has")] = None

    def __call__(self) -> None:
        path = "/config/read" if self.version is None else f"/config/history/{self.version}"
        tell(ask(self.at, "GET", path), end="")


@cappa.command(name="history", help="What came into force, and which orders were answered, newest first")
@dataclass
class ConfigHistory:
    at: Annotated[str, AT]
    json: Annotated[bool, cappa.Arg(long="--json", help="as JSON, whole")] = False

    def __call__(self) -> None:
        found = ask(self.at, "GET", "/config/history")
        tell(found if self.json else found.map(history_tables))


def history_tables(text: str) -> str:
    """A history's rows for people."""
    from boltons.tableutils import Table

    def when(row: dict) -> dict:
        return {**row, "at": datetime.fromtimestamp(row["at"], UTC).isoformat(" ", "milliseconds")}

    parts = json.loads(text).items()
    return "\n\n".join(f"{name}\n{Table.from_data([when(row) for row in rows]).to_text()}" for name, rows in parts)


@cappa.command(name="rollback", help="Put an earlier configuration in force again, as the version after the newest")
@dataclass
class ConfigRollback:
    version: int
    at: Annotated[str, AT]

    def __call__(self) -> None:
        tell(rollback(self.at, self.version))


@cappa.command(help="The operator's configuration")
@dataclass
class Config:
    what: cappa.Subcommands[ConfigCheck | ConfigPut | ConfigRead | ConfigHistory | ConfigRollback]


@cappa.command(help="Send nothing more to a zone's servers (begin), or take it back (finish)")
@dataclass
class Evacuate:
    zone: str
    order: Annotated[str, cappa.Arg(choices=["begin", "finish"])]
    at: Annotated[str, AT]

    def __call__(self) -> None:
        tell(ask(self.at, "POST", f"/evacuations/{self.zone}/{self.order}").map(lambda _: "acknowledged"))


@cappa.command(name="forget", help="Take a machine with a disk away for good; it must be stopped")
@dataclass
class CoreForget:
    address: str
    at: Annotated[str, AT]

    def __call__(self) -> None:
        tell(ask(self.at, "POST", f"/core/{self.address}/forget").map(lambda _: "acknowledged"))


@cappa.command(help="The machines that keep the operator's word")
@dataclass
class Core:
    what: cappa.Subcommands[CoreForget]


COLUMNS = ["address", "part", "kept"]


def status_tables(text: str) -> str:
    """What an ingress says of itself and of the core, for people."""
    from boltons.tableutils import Table

    said = json.loads(text)
    age, ballot = said["contact_age_s"], said["ballot"]
    rows = {
        "node": said["node"],
        "ready": "yes" if said["ready"] else "no",
        "votes": "yes" if said["formed"] else "no",
        "system": said["system"],
        "epoch": said["epoch"],
        "number": said["number"],
        "config": said["config_version"],
        "evacuated": ", ".join(said["evacuated"]) or "none",
        "ballot": ".".join(map(str, ballot)) if ballot else "none",
        "contact": f"{age:.1f} s ago" if age is not None else "none yet",
        "disk": said["disk"],
        "ingresses": said["ingresses"],
        "servers": said["servers"],
        "asks for the list": said["list"]["holder"],
    }
    own = Table.from_data([[name, "none" if value is None else value] for name, value in rows.items()], headers=None)
    told = [[row[name] for name in COLUMNS] for row in said["members"]]
    members = Table.from_data(told, headers=COLUMNS).to_text() if told else "none known"
    return f"{own.to_text(with_headers=False)}\n\nmembers\n{members}"


@cappa.command(help="What an ingress knows: its contact with the core, who votes, what is in force")
@dataclass
class Status:
    at: Annotated[str, AT]
    json: Annotated[bool, cappa.Arg(long="--json", help="as JSON, whole")] = False

    def __call__(self) -> None:
        found = ask(self.at, "GET", "/status")
        tell(found.map(lambda text: json.dumps(json.loads(text), indent=2) if self.json else status_tables(text)))


@cappa.command(name="check", help="Read every file of the folder; status 1 names those that can't be believed")
@dataclass
class ArchiveCheck:
    folder: Path

    def __call__(self) -> None:
        tell(data_folder.check_archive(self.folder))


@cappa.command(name="dump", help="The whole word as JSON on standard output; of the earlier format too")
@dataclass
class ArchiveDump:
    folder: Path
    config: Annotated[bool, cappa.Arg(long="--config", help="the configuration alone, for `config put`")] = False

    def __call__(self) -> None:
        if self.config:
            tell(data_folder.dump_config(self.folder), end="")
        else:
            tell(data_folder.dump_archive(self.folder))


@cappa.command(name="restore", help="Write a dump into an empty folder; the machine believes it once the core agrees")
@dataclass
class ArchiveRestore:
    folder: Path
    dump: Path

    def __call__(self) -> None:
        tell(read_file(self.dump).bind(lambda text: data_folder.restore_archive(self.folder, text)))


@cappa.command(help="The operator's word in a stopped machine's data folder")
@dataclass
class Archive:
    what: cappa.Subcommands[ArchiveCheck | ArchiveDump | ArchiveRestore]


@cappa.command(name="try", help="A small system on loopback: three ingresses, stand-in servers and platform")
@dataclass
class Try:
    check: Annotated[bool, cappa.Arg(long="--check", help="see orders, rivals, losses and leaving go through")] = False

    def __call__(self) -> None:
        from .trial.command import run

        tell(run(self.check))


@cappa.command(name="mapleline", help="The global load balancer.  For the ingress alone: mapleline --help")
@dataclass
class System:
    what: cappa.Subcommands[Balancer | Settings | Config | Evacuate | Core | Status | Archive | Try]


def main(words: list[str]) -> int:
    """Status 0 done, 1 a fault that is told in one line, 2 wrong use."""
    try:
        cappa.invoke(System, argv=words)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else 1
    return 0
