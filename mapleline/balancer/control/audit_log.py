"""The audit log: a machine's own history of configurations, evacuations and commands, in `sqlite3`.

It is bounded, and never needed to serve.  It is no part of the replicated state: a history that cannot be read is moved
away, and a new one begun.
"""

from __future__ import annotations

import os
import threading
import zlib
from collections.abc import Callable
from contextlib import closing
from pathlib import Path
from typing import TYPE_CHECKING, TypedDict, TypeVar

if TYPE_CHECKING:
    from sqlite3 import Connection

Result = TypeVar("Result")

CONFIG_KEY = "config"
FILE_NAME = "history.sqlite"
UNREADABLE_SUFFIX = ".bad"

#: Rows that stay in each table; of the changes, those without a body count too.
MAX_COMMANDS = 1000
MAX_CHANGES = 2000

#: Rows of each table that a reading shows.
ROWS_SHOWN = 100

PRAGMAS = "PRAGMA synchronous=NORMAL; PRAGMA cache_size=-128;"
TABLES = """
CREATE TABLE IF NOT EXISTS word (at REAL, key TEXT, version INTEGER, tie TEXT, size INTEGER, body BLOB,
                                 PRIMARY KEY (key, version, tie));
CREATE TABLE IF NOT EXISTS orders (at REAL, key TEXT, version INTEGER, kept INTEGER, took REAL);
"""


class ChangeRow(TypedDict):
    """A change that came into force, as the operator reads it.

    Attributes:
        at: seconds of Unix time.
        key: "config", or "evacuation/" and a zone.
        version: of the configuration; of an evacuation, the number of the state.
        bytes: size of the body.
        kept: whether the body is still in the log.
    """

    at: float
    key: str
    version: int
    bytes: int
    kept: bool


class CommandRow(TypedDict):
    """A command that was answered here, as the operator reads it.

    Attributes:
        at: seconds of Unix time.
        key: as of `ChangeRow`.
        version: of a configuration; 0 else.
        acknowledged: whether it was done.
        took_s: seconds until the answer.
    """

    at: float
    key: str
    version: int
    acknowledged: bool
    took_s: float


class History(TypedDict):
    """What `GET /config/history` answers; the newest rows first."""

    word: list[ChangeRow]
    orders: list[CommandRow]


class AuditLog:
    """One machine's audit log.

    Every method waits on the disk, and raises OSError where that refuses; threads may call them at once.

    Attributes:
        path: the database.
        max_bytes: of all bodies together, compressed; the oldest are dropped first.
    """

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Use the database in a folder; it is opened and, where it is missing, created at each use."""
        self.path = Path(folder) / FILE_NAME
        self.max_bytes = max_bytes
        self._lock = threading.Lock()

    def record_change(self, at: float, key: str, version: int, tie: str, content: bytes) -> None:
        """Add what came into force here, once for each (key, version, tie); `at` in seconds of Unix time."""
        body = zlib.compress(content)

        def insert(database: Connection) -> None:
            row = (at, key, version, tie, len(content), body)
            database.execute("INSERT OR IGNORE INTO word VALUES (?, ?, ?, ?, ?, ?)", row)
            self._prune_changes(database)

        self._transact(insert)

    def record_command(self, at: float, key: str, version: int, is_done: bool, took_s: float) -> None:
        """Add an operator's command that was answered here; `at` in seconds of Unix time."""

        def insert(database: Connection) -> None:
            database.execute("INSERT INTO orders VALUES (?, ?, ?, ?, ?)", (at, key, version, is_done, took_s))
            database.execute("DELETE FROM orders WHERE rowid <= (SELECT max(rowid) FROM orders) - ?", (MAX_COMMANDS,))

        self._transact(insert)

    def history(self, limit: int = ROWS_SHOWN) -> History:
        """Return the newest rows of each table, at most `limit` of each."""

        def select(database: Connection) -> History:
            return {"word": _select_changes(database, limit), "orders": _select_commands(database, limit)}

        return self._transact(select)

    def configuration(self, version: int) -> bytes | None:
        """Return the configuration of that version, as it was sent, if it is still in the log."""

        def select(database: Connection) -> bytes | None:
            row = database.execute(
                "SELECT body FROM word WHERE key = ? AND version = ? ORDER BY tie DESC", (CONFIG_KEY, version)
            ).fetchone()
            return zlib.decompress(row[0]) if row and row[0] else None

        return self._transact(select)

    def _transact(self, work: Callable[[Connection], Result]) -> Result:
        """Run one transaction; where the database can't be read, move it away and run that on a new one."""
        import sqlite3  # only where there is something to record: a process starts faster without

        with self._lock:
            try:
                return self._transact_once(work)
            except sqlite3.OperationalError as err:  # the disk is full, or hangs
                raise OSError(str(err)) from err
            except sqlite3.DatabaseError:
                os.replace(self.path, self.path.with_suffix(UNREADABLE_SUFFIX))
            try:
                return self._transact_once(work)
            except sqlite3.DatabaseError as err:
                raise OSError(str(err)) from err

    def _transact_once(self, work: Callable[[Connection], Result]) -> Result:
        import sqlite3

        with closing(sqlite3.connect(self.path)) as database, database:
            database.executescript(PRAGMAS + TABLES)
            return work(database)

    def _prune_changes(self, database: Connection) -> None:
        """Drop the oldest rows, and the oldest bodies of the rest."""
        database.execute(
            "DELETE FROM word WHERE rowid IN (SELECT rowid FROM word ORDER BY at DESC, rowid DESC LIMIT -1 OFFSET ?)",
            (MAX_CHANGES,),
        )
        bytes_left = self.max_bytes
        rows = database.execute("SELECT rowid, length(body) FROM word ORDER BY at DESC, rowid DESC").fetchall()
        for row_id, size_bytes in rows:
            bytes_left -= size_bytes
            if bytes_left < 0 and size_bytes:
                database.execute("UPDATE word SET body = x'' WHERE rowid = ?", (row_id,))


def _select_changes(database: Connection, limit: int) -> list[ChangeRow]:
    rows = database.execute(
        "SELECT at, key, version, size, length(body) FROM word ORDER BY at DESC, rowid DESC LIMIT ?", (limit,)
    )
    return [
        {"at": at, "key": key, "version": version, "bytes": size_bytes, "kept": bool(body_bytes)}
        for at, key, version, size_bytes, body_bytes in rows
    ]


def _select_commands(database: Connection, limit: int) -> list[CommandRow]:
    rows = database.execute("SELECT at, key, version, kept, took FROM orders ORDER BY rowid DESC LIMIT ?", (limit,))
    return [
        {"at": at, "key": key, "version": version, "acknowledged": bool(is_done), "took_s": took_s}
        for at, key, version, is_done, took_s in rows
    ]
