"""The folder of the earlier format: a file for each register, read to carry its configuration over, never written.

What lies there was confirmed by other rules than ours, so it is no state of a replica: the operator sends the
configuration anew (docs/system/control.md).
"""

from __future__ import annotations

import os
from pathlib import Path
from zlib import crc32

import msgspec

MAGIC = b"mapleline word 1\n"
FOLDER = "word-1"  #: where it is put aside
FAULT = f"of the earlier format, put aside as {FOLDER}; `mapleline archive dump` reads it"
CORE, REGISTER = "core", "r-"
CONFIG, EVACUATION = "config", "evacuation/"


class LegacyRegister(msgspec.Struct, array_like=True, frozen=True):
    """One register; of two stamps (version, tie) the higher one won."""

    key: str
    version: int
    tie: str
    body: bytes


class LegacyFolder(msgspec.Struct):
    """What such a folder says."""

    entries: list[LegacyRegister]
    config: LegacyRegister | None
    evacuated: list[str]


def is_of(name: str) -> bool:
    """Whether a file of that name is of the earlier format."""
    return name == CORE or name.startswith(REGISTER)


def load(folder: Path) -> LegacyFolder | str | None:
    """What the data folder holds of the earlier format, in use or put aside; a fault in one line; None if nothing."""
    for place in (folder / "word", folder / FOLDER):
        names = [name for name in sorted(os.listdir(place)) if is_of(name)] if place.is_dir() else []
        if names:
            return _read(place, [name for name in names if name != CORE and not name.endswith(".new")])
    return None


def _read(place: Path, names: list[str]) -> LegacyFolder | str:
    entries = []
    for name in names:
        data = (place / name).read_bytes()
        head, _, body = data.removeprefix(MAGIC).partition(b"\n")
        try:
            if not data.startswith(MAGIC) or head != b"%08x %d" % (crc32(body), len(body)):
                raise msgspec.DecodeError("torn, empty or foreign")
            entries.append(msgspec.msgpack.decode(body, type=LegacyRegister))
        except msgspec.DecodeError as err:
            return f"{place / name}: {err}"
    config = next((one for one in entries if one.key == CONFIG), None)
    evacuated = [
        one.key.removeprefix(EVACUATION) for one in entries if one.key.startswith(EVACUATION) and one.body == b"begin"
    ]
    return LegacyFolder(entries, config, evacuated)
