"""Check, dump and restore of the control state in a stopped machine's data folder.

Folders of the earlier format are read too, because their configuration has to be sent again
(docs/balancer/control-plane.md).
"""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
from expression import Error, Ok, Result

from ..control import migration
from ..control.consensus import Acceptor, Record
from ..control.errors import LegacyFormatError
from ..control.migration import LegacyFolder
from ..control.snapshot import FOLDER, SnapshotStore, make_folder
from ..control.state import State, content_digest

DUMP_FORMAT = 2
LEGACY_DUMP_FORMAT = 1


class DumpError(Exception):
    """The dump cannot be restored; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class StoredReplica:
    """The content of a replica's folder: its record, and the bodies of the record's configurations by digest."""

    record: Record
    contents: dict[int, bytes]

    def committed_state(self) -> State | None:
        """Return the newest state that the replica knows to be chosen."""
        return Acceptor(self.record).chosen_state

    def summary(self) -> str:
        """Return a description of the content in one line."""
        state = self.committed_state()
        if state is None:
            return "a replica that knows of no state yet"
        vote = "a voter" if state.is_voter(self.record.ip, self.record.disk_id) else "no voter"
        has_only_committed = self.record.accepted_state in (None, state)
        uncommitted = "" if has_only_committed else "; accepted beyond it, and not known to be chosen"
        version = state.config.version if state.config is not None else None
        return (
            f"state {state.number} of system {state.system}, epoch {state.epoch}: {vote} of {len(state.voters)}; "
            f"config {version}, evacuated: {', '.join(state.evacuated) or 'none'}{uncommitted}"
        )


def check_archive(folder: Path) -> Result[str, str]:
    """Read every file of a data folder; return a summary, or the faults of unusable files."""

    def check(legacy: LegacyFolder | None) -> Result[str, str]:
        if legacy is None:
            return _load(folder).map(StoredReplica.summary)
        if _is_legacy_in_use(folder):
            return Error(
                f"{folder}: {_legacy_summary(legacy)}; it is no part of the present one: `config put` what "
                "`archive dump --config` gives"
            )
        legacy_note = f"beside it {migration.LEGACY_FOLDER}, {_legacy_summary(legacy)}"
        return _load(folder).map(lambda stored: f"{stored.summary()}; {legacy_note}")

    return _load_legacy(folder).bind(check)


def dump_archive(folder: Path) -> Result[str, str]:
    """Return the committed state and its configuration as JSON."""
    return _read_either(folder, _dump_state, _dump_legacy)


def dump_config(folder: Path) -> Result[str, str]:
    """Return the configuration as it was sent, ready for `config put`."""

    def current(state: State, contents: dict[int, bytes]) -> str | None:
        return contents[state.config.digest].decode() if state.config is not None else None

    def legacy(entries: LegacyFolder) -> str | None:
        return entries.config.body.decode() if entries.config is not None else None

    return _read_either(folder, current, legacy)


def restore_archive(folder: Path, dump: bytes) -> Result[str, str]:
    """Write a dump into an empty data folder.

    The disk gets a new identity and no vote: the machine first asks the voters, which admit it like one whose disk was
    lost.
    """
    try:
        state, contents = _parse_dump(dump)
    except DumpError as error:
        return Error(str(error))
    store = SnapshotStore(str(folder))
    try:
        if store.folder.exists() and any(store.folder.iterdir()):
            return Error(f"{folder}: holds a control state already; nothing was changed")
        if state.config is not None and state.config.digest not in contents:
            return Error(f"no dump of a control state: content {state.config.digest:016x} is missing")
        make_folder(store.folder)
        store.save(Record(0, 0, earlier_chosen=state, version=1), contents)
    except OSError as error:
        return Error(f"{folder}: {error.strerror}")
    return Ok(f"state {state.number} written")


# -- reading a folder --------------------------------------------------------------------------------------------------


def _load(folder: Path) -> Result[StoredReplica, str]:
    """Read the content of a folder without changing it."""
    if not (folder / FOLDER).is_dir():
        return Error(f"{folder}: holds no control state")
    try:
        record, contents, faults = SnapshotStore(str(folder)).load()
    except OSError as error:
        return Error(f"{folder}: {error.strerror}")
    if faults:
        return Error(f"{folder}: {'; '.join(map(str, faults))}")
    if record is None:
        return Error(f"{folder}: holds no record of a replica")
    return Ok(StoredReplica(record, contents))


def _load_legacy(folder: Path) -> Result[LegacyFolder | None, str]:
    """Read the files of the earlier format, whether in use or put aside; None if there are none."""
    try:
        return Ok(migration.load_legacy(folder))
    except LegacyFormatError as error:
        return Error(str(error))
    except OSError as error:
        return Error(f"{folder}: {error.strerror}")


def _is_legacy_in_use(folder: Path) -> bool:
    state_folder = folder / FOLDER
    return state_folder.is_dir() and any(migration.is_legacy_file(path.name) for path in state_folder.iterdir())


def _legacy_summary(legacy: LegacyFolder) -> str:
    version = legacy.config.version if legacy.config is not None else None
    return f"of the earlier format: config {version}, evacuated: {', '.join(legacy.evacuated) or 'none'}"


def _read_either(
    folder: Path,
    from_current: Callable[[State, dict[int, bytes]], str | None],
    from_legacy: Callable[[LegacyFolder], str | None],
) -> Result[str, str]:
    """Read from the present format, or from the earlier one if the present one has no such content.

    A fault in the files of the present format is reported, even if there are files of the earlier format.
    """

    def read(legacy: LegacyFolder | None) -> Result[str, str]:
        legacy_text = from_legacy(legacy) if legacy is not None else None
        if legacy_text is not None and _is_legacy_in_use(folder):
            return Ok(legacy_text)

        def choose(stored: StoredReplica) -> Result[str, str]:
            state = stored.committed_state()
            current_text = from_current(state, stored.contents) if state is not None else None
            text = current_text or legacy_text
            return Ok(text) if text is not None else Error(f"{folder}: holds nothing of that yet")

        return _load(folder).bind(choose)

    return _load_legacy(folder).bind(read)


# -- dumps -------------------------------------------------------------------------------------------------------------


def _dump_state(state: State, contents: dict[int, bytes]) -> str:
    bodies = {}
    if state.config is not None:
        digest = state.config.digest
        bodies[f"{digest:016x}"] = base64.b64encode(contents[digest]).decode()
    fields = dict(zip(State.__struct_fields__, msgspec.to_builtins(state), strict=True))
    return json.dumps({"mapleline": DUMP_FORMAT, "state": fields, "contents": bodies}, indent=1)


def _dump_legacy(legacy: LegacyFolder) -> str:
    rows = [
        {
            "key": entry.key,
            "version": entry.version,
            "tie": entry.tie,
            "body": base64.b64encode(entry.body).decode(),
        }
        for entry in legacy.entries
    ]
    return json.dumps({"mapleline": LEGACY_DUMP_FORMAT, "word": rows}, indent=1)


def _parse_dump(text: bytes) -> tuple[State, dict[int, bytes]]:
    """Return a dump's state, and the bodies of configurations by digest.

    Raises:
        DumpError: The text is a dump of the earlier format, truncated, or not a dump.
    """
    try:
        dump: dict[str, Any] = json.loads(text)
        if dump["mapleline"] == LEGACY_DUMP_FORMAT:
            raise DumpError("a dump of the earlier format: `config put` its configuration (archive dump --config)")
        state = msgspec.convert([dump["state"][name] for name in State.__struct_fields__], State)
        contents = {int(name, 16): base64.b64decode(body, validate=True) for name, body in dump["contents"].items()}
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DumpError(f"no dump of a control state: {error}") from error
    for name, body in contents.items():
        if content_digest(body) != name:
            raise DumpError(f"no dump of a control state: content {name:016x} is another's")
    return state, contents
