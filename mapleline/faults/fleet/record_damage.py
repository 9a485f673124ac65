"""Damage to the newest record of a killed ingress in the fleet's store."""

from __future__ import annotations

from pathlib import Path

from ..modes import RecordState

TORN_ENTRY = b'\x40\0\0\0\1\2\3\4{"op":"a","id":"'  # its header announces more bytes than follow
FOREIGN_CONTENT = b"something else\n" * 9


def damage_newest_record(store: Path, process: str, state: str) -> None:
    """Damage the newest record of a process: append a torn entry, empty it, or replace it by foreign content.

    Args:
        store: Directory of the fleet's records.
        process: Name of the process.
        state: A `RecordState` value; `whole` leaves the record intact.
    """
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
