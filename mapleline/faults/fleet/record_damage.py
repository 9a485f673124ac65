"""Damage to the newest record of a killed ingress in the fleet's store."""

from __future__ import annotations

from pathlib import Path

from ..modes import RecordState

TORN_ENTRY = b'\x40\0\0\0\1\2\3\4{"op":"a","id":"'  # a header that announces more than follows
FOREIGN_CONTENT = b"something else\n" * 9


def damage_newest_record(store: Path, process: str, state: str) -> None:
    """Leave the newest record of a process as a cut in the middle of a write does, emptied, or as another file."""
    records = sorted(store.glob(f"{process}.*.log"), key=lambda path: path.stat().st_mtime)
    if state == RecordState.WHOLE or not records:
        return
    newest = records[-1]
    if state == RecordState.TORN:
        with newest.open("ab") as file:
            file.write(TORN_ENTRY)
    elif state == RecordState.EMPTY:
        newest.write_bytes(b"")
    else:
        newest.write_bytes(FOREIGN_CONTENT)
