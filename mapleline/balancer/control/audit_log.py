"""What the operator said and when: a machine's own history in `sqlite3`, pruned, and never needed to serve.

It is no part of the word: a history that can't be read is put aside, and a new one begun.
"""

from __future__ import annotations

import os
import threading
import zlib
from contextlib import closing
from pathlib import Path
from typing import Any

CONFIG = "config"
ORDERS_MOST = 1000
ROWS_MOST = 2000  # of what came into force: those without a body count too
TABLES = """
CREATE TABLE IF NOT EXISTS word (at REAL, key TEXT, version INTEGER, tie TEXT, size INTEGER, body BLOB,
                                 PRIMARY KEY (key, version, tie));
CREATE TABLE IF NOT EXISTS orders (at REAL, key TEXT, version INTEGER, kept INTEGER, took REAL);
"""


class AuditLog:
    """One machine's; every method may wait on the disk, and raises OSError where that refuses."""

    def __init__(self, folder: str, most_bytes: int) -> None:
        self.path, self.most = Path(folder) / "history.sqlite", most_bytes
        self._lock = threading.Lock()

    def _do(self, work: Any) -> Any:
        import sqlite3  # only where there is something to keep: a start goes without

        with self._lock:
            for again in (True, False):
                try:
                    with closing(sqlite3.connect(self.path)) as held, held:
                        held.executescript("PRAGMA synchronous=NORMAL; PRAGMA cache_size=-128;" + TABLES)
                        return work(held)
                except sqlite3.OperationalError as err:  # the disk is full, or hangs
                    raise OSError(str(err)) from err
                except sqlite3.DatabaseError as err:
                    if not again:
                        raise OSError(str(err)) from err
                    os.replace(self.path, self.path.with_suffix(".bad"))
            return None

    def keep(self, at: float, key: str, version: int, tie: str, content: bytes) -> None:
        """What came into force here; `at`: seconds of Unix time by this machine's clock."""
        body = zlib.compress(content)

        def work(held: Any) -> None:
            row = (at, key, version, tie, len(content), body)
            held.execute("INSERT OR IGNORE INTO word VALUES (?, ?, ?, ?, ?, ?)", row)
            held.execute(
                "DELETE FROM word WHERE rowid IN (SELECT rowid FROM word ORDER BY at DESC, rowid DESC "
                "LIMIT -1 OFFSET ?)",
                (ROWS_MOST,),
            )
            left = self.most
            lie = held.execute("SELECT rowid, length(body) FROM word ORDER BY at DESC, rowid DESC").fetchall()
            for id, size in lie:
                left -= size
                if left < 0 and size:
                    held.execute("UPDATE word SET body = x'' WHERE rowid = ?", (id,))

        self._do(work)

    def order(self, at: float, key: str, version: int, kept: bool, took: float) -> None:
        """An operator's call that was answered here, and in how many seconds."""

        def work(held: Any) -> None:
            held.execute("INSERT INTO orders VALUES (?, ?, ?, ?, ?)", (at, key, version, kept, took))
            held.execute("DELETE FROM orders WHERE rowid <= (SELECT max(rowid) FROM orders) - ?", (ORDERS_MOST,))

        self._do(work)

    def rows(self, most: int = 100) -> dict[str, list[dict[str, Any]]]:
        """The newest first, as an operator reads them; `kept`: the body is still here."""

        def work(held: Any) -> dict[str, list[dict[str, Any]]]:
            word = held.execute(
                "SELECT at, key, version, size, length(body) FROM word ORDER BY at DESC, rowid DESC LIMIT ?", (most,)
            )
            found = [
                {"at": at, "key": key, "version": version, "bytes": size, "kept": bool(body)}
                for at, key, version, size, body in word
            ]
            orders = held.execute(
                "SELECT at, key, version, kept, took FROM orders ORDER BY rowid DESC LIMIT ?", (most,)
            )
            return {
                "word": found,
                "orders": [
                    {"at": at, "key": key, "version": version, "acknowledged": bool(kept), "took_s": took}
                    for at, key, version, kept, took in orders
                ],
            }

        return self._do(work)

    def body(self, version: int) -> bytes | None:
        """The configuration of that version, as it was sent, if it is still here."""

        def work(held: Any) -> bytes | None:
            row = held.execute(
                "SELECT body FROM word WHERE key = ? AND version = ? ORDER BY tie DESC", (CONFIG, version)
            ).fetchone()
            return zlib.decompress(row[0]) if row and row[0] else None

        return self._do(work)
