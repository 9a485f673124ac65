"""Work on files of a process that doesn't run: settings, configurations, the archive's folder."""

from __future__ import annotations

import base64
import json
from pathlib import Path

from expression import Error, Ok, Result

from . import config, settings
from .archive import Entry
from .shelf import Shelf


def check_settings(text: bytes) -> Result[str, str]:
    try:
        boot = settings.read(text.decode())
    except (settings.SettingsFault, UnicodeDecodeError) as err:
        return Error(str(err))
    return Ok(f"{boot.node_name}: {boot.zone}, {'disk' if boot.data_directory else 'no disk'}, "
              f"{len(boot.seed_nodes)} seeds")  # fmt: skip


def check_config(text: bytes) -> Result[str, str]:
    try:
        read = config.read(text)
    except config.ConfigFault as err:
        return Error(str(err))
    lines = [f"version {read.config_version}: {len(read.route_table)} routes, {len(read.service_table)} services, "
             f"{len(read.tenant_table)} tenants"]  # fmt: skip
    for tenant, of in read.tenant_table.items():
        homes = set(of.home_regions)
        homed = ((name, set(route.home_regions)) for name, route in read.route_table.items())
        apart = [name for name, others in homed if others and not homes & others]
        if homes and apart:
            lines.append(f"warning: tenant_table.{tenant} has no home in common with {', '.join(apart)}: both bind, "
                         "so nothing can be served there")  # fmt: skip
    return Ok("\n".join(lines))


def _load(folder: Path) -> Result[tuple[list[Entry], list[int]], str]:
    """What a folder holds; nothing in it is changed."""
    if not (folder / "word").is_dir():
        return Error(f"{folder}: holds no word")
    entries, note, bad = Shelf(str(folder)).load()
    if bad:
        return Error("; ".join(bad))
    return Ok((entries, [ip for ip, _ in note.core] if note is not None else []))


def check_archive(folder: Path) -> Result[str, str]:
    def line(held: tuple[list[Entry], list[int]]) -> str:
        entries, core = held
        return f"core of {len(core)}; " + (", ".join(f"{e.key} {e.version}" for e in entries) or "no word yet")

    return _load(folder).map(line)


def dump_archive(folder: Path) -> Result[str, str]:
    def text(held: tuple[list[Entry], list[int]]) -> str:
        rows = [{"key": e.key, "version": e.version, "tie": e.tie, "body": base64.b64encode(e.body).decode()}
                for e in held[0]]  # fmt: skip
        return json.dumps({"mapleline": 1, "word": rows}, indent=1)

    return _load(folder).map(text)


def restore_archive(folder: Path, dump: bytes) -> Result[str, str]:
    """Into a folder that holds nothing: who the core is isn't restored, so the machine asks the others first."""
    try:
        whole = json.loads(dump)
        entries = [Entry(row["key"], row["version"], row["tie"], base64.b64decode(row["body"], validate=True))
                   for row in whole["word"]]  # fmt: skip
    except (ValueError, KeyError, TypeError) as err:
        return Error(f"no dump of a word: {err}")
    shelf = Shelf(str(folder))
    if shelf.folder.exists() and any(shelf.folder.iterdir()):
        return Error(f"{folder}: holds a word already; nothing was changed")
    try:
        shelf.folder.mkdir(parents=True, exist_ok=True)
        for entry in entries:
            shelf.save(entry)
    except OSError as err:
        return Error(f"{folder}: {err.strerror}")
    return Ok(f"{len(entries)} registers written")
