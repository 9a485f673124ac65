"""The audit log: a machine's own history of configurations, evacuations and commands, in `sqlite3`.

It is bounded, and serving does not depend on it.  It is not part of the replicated state: an unreadable history is
moved away and a new one is created.
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

#: Maximum rows of each table; changes whose body was dropped count as well.
MAX_COMMANDS = 1000
MAX_CHANGES = 2000

#: Default number of rows of each table in a reply.
DEFAULT_ROW_LIMIT = 100

PRAGMAS = "PRAGMA synchronous=NORMAL; PRAGMA cache_size=-128;"
TABLES = """
CREATE TABLE IF NOT EXISTS word (at REAL, key TEXT, version INTEGER, tie TEXT, size INTEGER, body BLOB,
                                 PRIMARY KEY (key, version, tie));
CREATE TABLE IF NOT EXISTS orders (at REAL, key TEXT, version INTEGER, kept INTEGER, took REAL);
"""


class ChangeRow(TypedDict):
    """A change that came into force, as shown to the operator.

    Attributes:
        at: Unix time in seconds.
        key: "config", or "evacuation/" followed by a zone.
        version: the version of the configuration; for an evacuation, the number of the state.
        bytes: size of the body in bytes.
        kept: whether the body is still in the log.
    """

    at: float
    key: str
    version: int
    bytes: int
    kept: bool


class CommandRow(TypedDict):
    """A command that this node answered, as shown to the operator.

    Attributes:
        at: Unix time in seconds.
        key: as in `ChangeRow`; for the removal of a replica, "core/" followed by its address.
        version: the version of a configuration; 0 for other commands.
        acknowledged: whether it was done.
        took_s: seconds until the reply.
    """

    at: float
    key: str
    version: int
    acknowledged: bool
    took_s: float


class History(TypedDict):
    """The reply to `GET /config/history`, newest rows first: changes in `word`, commands in `orders`."""

    word: list[ChangeRow]
    orders: list[CommandRow]


class AuditLog:
    """One machine's audit log.

    Every method blocks on the disk, and raises OSError on a disk error; the class is thread-safe.

    Attributes:
        path: the database file.
        max_bytes: bound of the total compressed size of the bodies; the oldest bodies are dropped first.
    """

    def __init__(self, folder: str, max_bytes: int) -> None:
        """Use the database in a folder; each use opens it, and creates it if it is missing."""
        self.path = Path(folder) / FILE_NAME
        self.max_bytes = max_bytes
        self._lock = threading.Lock()

    def record_change(self, unix_time_s: float, key: str, version: int, content_id: str, content: bytes) -> None:
        """Record a change that came into force here, once for each (key, version, content_id).

        Args:
            unix_time_s: when the change came into force.
            key: as in `ChangeRow`.
            version: as in `ChangeRow`.
            content_id: the digest of a configuration as 16 hexadecimal digits; empty for an evacuation.
            content: the body of the configuration, or the action on the zone.
        """
        body = zlib.compress(content)

        def insert(database: Connection) -> None:
            row = (unix_time_s, key, version, content_id, len(content), body)
            database.execute("INSERT OR IGNORE INTO word VALUES (?, ?, ?, ?, ?, ?)", row)
            self._prune_changes(database)

        self._transact(insert)

    def record_command(self, unix_time_s: float, key: str, version: int, is_done: bool, took_s: float) -> None:
        """Record an operator's command that this node answered; `key` and `version` as in `CommandRow`."""

        def insert(database: Connection) -> None:
            database.execute("INSERT INTO orders VALUES (?, ?, ?, ?, ?)", (unix_time_s, key, version, is_done, took_s))
            database.execute("DELETE FROM orders WHERE rowid <= (SELECT max(rowid) FROM orders) - ?", (MAX_COMMANDS,))

        self._transact(insert)

    def history(self, limit: int = DEFAULT_ROW_LIMIT) -> History:
        """Return the newest rows of each table, at most `limit` of each."""

        def select(database: Connection) -> History:
            return {"word": _select_changes(database, limit), "orders": _select_commands(database, limit)}

        return self._transact(select)

    def configuration(self, version: int) -> bytes | None:
        """Return the body of the configuration with that version; None if it is not in the log any more."""

        def select(database: Connection) -> bytes | None:
            row = database.execute(
                "SELECT body FROM word WHERE key = ? AND version = ? ORDER BY tie DESC", (CONFIG_KEY, version)
            ).fetchone()
            return zlib.decompress(row[0]) if row and row[0] else None

        return self._transact(select)

    def _transact(self, transaction: Callable[[Connection], Result]) -> Result:
        """Run one transaction; if the database is unreadable, move it away and retry on a new one."""
        import sqlite3  # imported on first use, which makes the start of a process faster

        with self._lock:
            try:
                return self._transact_once(transaction)
            except sqlite3.OperationalError as err:  # the disk is full or does not respond
                raise OSError(str(err)) from err
            except sqlite3.DatabaseError:
                os.replace(self.path, self.path.with_suffix(UNREADABLE_SUFFIX))
            try:
                return self._transact_once(transaction)
            except sqlite3.DatabaseError as err:
                raise OSError(str(err)) from err

    def _transact_once(self, transaction: Callable[[Connection], Result]) -> Result:
        import sqlite3

        with closing(sqlite3.connect(self.path)) as database, database:
            database.executescript(PRAGMAS + TABLES)
            return transaction(database)

    def _prune_changes(self, database: Connection) -> None:
        """Drop the oldest rows beyond the row limit, and the oldest bodies beyond the size limit."""
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
