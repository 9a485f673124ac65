"""Work on files of a process that doesn't run: settings, configurations, the archive's folder."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from pathlib import Path

import msgspec
from expression import Error, Ok, Result

from .. import configuration, settings
from ..control import migration
from ..control.consensus import Acceptor, Record
from ..control.migration import LegacyFolder
from ..control.snapshot import FOLDER, Snapshot, make
from ..control.state import State, digest


def check_settings(text: bytes) -> Result[str, str]:
    try:
        boot = settings.parse_settings(text.decode())
    except (settings.SettingsError, UnicodeDecodeError) as err:
        return Error(str(err))
    return Ok(
        f"{boot.node_name}: {boot.zone}, {'disk' if boot.data_directory else 'no disk'}, {len(boot.seed_nodes)} seeds"
    )


def check_config(text: bytes) -> Result[str, str]:
    try:
        read = configuration.parse_configuration(text)
    except configuration.ConfigurationError as err:
        return Error(str(err))
    lines = [
        f"version {read.config_version}: {len(read.route_table)} routes, {len(read.service_table)} services, "
        f"{len(read.tenant_table)} tenants"
    ]
    for tenant, of in read.tenant_table.items():
        homes = set(of.home_regions)
        homed = ((name, set(route.home_regions)) for name, route in read.route_table.items())
        apart = [name for name, others in homed if others and not homes & others]
        if homes and apart:
            lines.append(
                f"warning: tenant_table.{tenant} has no home in common with {', '.join(apart)}: both bind, "
                "so nothing can be served there"
            )
    return Ok("\n".join(lines))


def _load(folder: Path) -> Result[tuple[Record, dict[int, bytes]], str]:
    """What a folder holds; nothing in it is changed."""
    if not (folder / FOLDER).is_dir():
        return Error(f"{folder}: holds no word")
    try:
        record, contents, bad = Snapshot(str(folder)).load()
    except OSError as err:
        return Error(f"{folder}: {err.strerror}")
    if bad:
        return Error(f"{folder}: {'; '.join(bad)}")
    if record is None:
        return Error(f"{folder}: holds no record of a replica")
    return Ok((record, contents))


def _old(folder: Path) -> Result[LegacyFolder | None, str]:
    """What it holds of the earlier format, in use or put aside."""
    try:
        old = migration.load(folder)
    except OSError as err:
        return Error(f"{folder}: {err.strerror}")
    return Error(old) if isinstance(old, str) else Ok(old)


def _in_use(folder: Path) -> bool:
    word = folder / FOLDER
    return word.is_dir() and any(migration.is_of(path.name) for path in word.iterdir())


def _version(state: State | None) -> int | None:
    return state.config[0] if state is not None and state.config is not None else None


def _brief(old: LegacyFolder) -> str:
    version = old.config.version if old.config is not None else None
    return f"of the earlier format: config {version}, evacuated: {', '.join(old.evacuated) or 'none'}"


def check_archive(folder: Path) -> Result[str, str]:
    def line(held: tuple[Record, dict[int, bytes]]) -> str:
        state = Acceptor(held[0]).decided
        if state is None:
            return "a replica that knows of no state yet"
        vote = "a voter" if state.is_voter(held[0].ip, held[0].disk) else "no voter"
        open_ = "" if held[0].state in (None, state) else "; accepted beyond it, and not known to be chosen"
        return (
            f"state {state.number} of system {state.system}, epoch {state.epoch}: {vote} of {len(state.voters)}; "
            f"config {_version(state)}, evacuated: {', '.join(state.evacuated) or 'none'}{open_}"
        )

    def beside(old: LegacyFolder | None) -> Result[str, str]:
        if old is not None and _in_use(folder):
            return Error(
                f"{folder}: {_brief(old)}; it is no part of the present one: `config put` what `archive dump "
                "--config` gives"
            )
        found = _load(folder).map(line)
        return found if old is None else found.map(lambda text: f"{text}; beside it {migration.FOLDER}, {_brief(old)}")

    return _old(folder).bind(beside)


def _either(
    folder: Path, new: Callable[[State, dict[int, bytes]], str | None], old: Callable[[LegacyFolder], str | None]
) -> Result[str, str]:
    """Of the present format, or of the earlier one where the present one has nothing of that: not where it is torn."""

    def found(aside: LegacyFolder | None) -> Result[str, str]:
        before = old(aside) if aside is not None else None
        if before is not None and _in_use(folder):
            return Ok(before)

        def text(held: tuple[Record, dict[int, bytes]]) -> Result[str, str]:
            state = Acceptor(held[0]).decided
            said = (new(state, held[1]) if state is not None else None) or before
            return Ok(said) if said is not None else Error(f"{folder}: holds nothing of that yet")

        return _load(folder).bind(text)

    return _old(folder).bind(found)


def dump_archive(folder: Path) -> Result[str, str]:
    """The whole word."""

    def new(state: State, contents: dict[int, bytes]) -> str:
        names = [state.config[1]] if state.config is not None else []
        bodies = {f"{name:016x}": base64.b64encode(contents[name]).decode() for name in names}
        fields = dict(zip(State.__struct_fields__, msgspec.to_builtins(state), strict=True))
        return json.dumps({"mapleline": 2, "state": fields, "contents": bodies}, indent=1)

    def old(entries: LegacyFolder) -> str:
        rows = [
            {"key": e.key, "version": e.version, "tie": e.tie, "body": base64.b64encode(e.body).decode()}
            for e in entries.entries
        ]
        return json.dumps({"mapleline": 1, "word": rows}, indent=1)

    return _either(folder, new, old)


def dump_config(folder: Path) -> Result[str, str]:
    """The configuration as it was sent, for `config put`."""

    def new(state: State, contents: dict[int, bytes]) -> str | None:
        return contents[state.config[1]].decode() if state.config is not None else None

    return _either(folder, new, lambda old: old.config.body.decode() if old.config is not None else None)


def restore_archive(folder: Path, dump: bytes) -> Result[str, str]:
    """Into a folder that holds nothing: the disk gets an identity of its own and no vote, so the machine asks the
    others first, and is let in as any that came back empty.
    """
    try:
        whole = json.loads(dump)
        if whole["mapleline"] == 1:
            return Error("a dump of the earlier format: `config put` its configuration (archive dump --config)")
        state = msgspec.convert([whole["state"][name] for name in State.__struct_fields__], State)
        contents = {int(name, 16): base64.b64decode(body, validate=True) for name, body in whole["contents"].items()}
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        return Error(f"no dump of a word: {err}")
    for name, body in contents.items():
        if digest(body) != name:
            return Error(f"no dump of a word: content {name:016x} is another's")
    store = Snapshot(str(folder))
    try:
        if store.folder.exists() and any(store.folder.iterdir()):
            return Error(f"{folder}: holds a word already; nothing was changed")
        if state.config is not None and state.config[1] not in contents:
            return Error(f"no dump of a word: content {state.config[1]:016x} is missing")
        make(store.folder)
        store.save(Record(0, 0, decided=state, turn=1), contents)
    except OSError as err:
        return Error(f"{folder}: {err.strerror}")
    return Ok(f"state {state.number} written")
