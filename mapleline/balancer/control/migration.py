"""Reads the folder of the earlier format, in which each register had a file; nothing is written.

Its content was confirmed under a different protocol, so it is not used as the state of a replica: the operator sends
the configuration again (docs/balancer/control-plane.md).
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec

from .errors import LegacyFormatError

MAGIC = b"mapleline word 1\n"

#: Folder of the data directory that both formats use, and the folder to which files of the earlier format are moved.
SHARED_FOLDER = "word"
LEGACY_FOLDER = "word-1"

LEGACY_FAULT = f"of the earlier format, put aside as {LEGACY_FOLDER}; `mapleline archive dump` reads it"
CORE_FILE = "core"
REGISTER_PREFIX = "r-"
TEMPORARY_SUFFIX = ".new"
CONFIG_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuation/"
EVACUATED = b"begin"


class LegacyRegister(msgspec.Struct, array_like=True, frozen=True):
    """One register; the value with the higher (version, tie) replaced the other."""

    key: str
    version: int
    tie: str  #: tie-breaker between two values of one version
    body: bytes


@dataclass(frozen=True, slots=True)
class LegacyFolder:
    """The registers of a folder of the earlier format.

    Attributes:
        entries: all registers, by file name.
        config: the register of the configuration; None if there is none.
        evacuated: the evacuated zones, by file name.
    """

    entries: list[LegacyRegister]
    config: LegacyRegister | None
    evacuated: list[str]


def is_legacy_file(name: str) -> bool:
    """Return whether a file name belongs to the earlier format."""
    return name == CORE_FILE or name.startswith(REGISTER_PREFIX)


def load_legacy(data_folder: Path) -> LegacyFolder | None:
    """Read the registers of a data folder, from their original place or from where they were moved.

    Returns:
        The registers; None if there are none.

    Raises:
        LegacyFormatError: a file is torn, empty or foreign.
        OSError: the folder cannot be read.
    """
    for folder in (data_folder / SHARED_FOLDER, data_folder / LEGACY_FOLDER):
        names = [name for name in sorted(os.listdir(folder)) if is_legacy_file(name)] if folder.is_dir() else []
        if names:
            return _read_registers(folder, names)
    return None


def _read_registers(folder: Path, names: list[str]) -> LegacyFolder:
    register_files = [name for name in names if name != CORE_FILE and not name.endswith(TEMPORARY_SUFFIX)]
    entries = [_read_register(folder / name) for name in register_files]
    config = next((entry for entry in entries if entry.key == CONFIG_KEY), None)
    evacuated = [
        entry.key.removeprefix(EVACUATION_KEY_PREFIX)
        for entry in entries
        if entry.key.startswith(EVACUATION_KEY_PREFIX) and entry.body == EVACUATED
    ]
    return LegacyFolder(entries, config, evacuated)


def _read_register(path: Path) -> LegacyRegister:
    data = path.read_bytes()
    header, _, body = data.removeprefix(MAGIC).partition(b"\n")
    if not data.startswith(MAGIC) or header != b"%08x %d" % (crc32(body), len(body)):
        raise LegacyFormatError(f"{path}: torn, empty or foreign")
    try:
        return msgspec.msgpack.decode(body, type=LegacyRegister)
    except msgspec.DecodeError as err:
        raise LegacyFormatError(f"{path}: {err}") from err
