"""The fleet's store in a directory: logs, leases, claims, request ids and outcomes (files; no reactor, no clock).

There are three kinds of operations: create if absent (`claim_log`, `claim_id`), replace (`write_lease`, `move_id`,
`publish`), and append to a file with a single writer (`write_ahead_log`).  Operations raise OSError; files that cannot
be read as the store's own are skipped.
"""

from __future__ import annotations

import os
import re
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from ..membership import Lease
from .log_format import Record, read_log

MEMBER_NAME = re.compile(r"[A-Za-z0-9_-]{1,64}")
LOG_FILE = re.compile(r"([A-Za-z0-9_-]{1,64})\.([0-9]{1,18})\.(log|taken)")
ID_DIGEST_BYTES = 16

#: The outcome of a request: the answer for a client that repeats its id (`status`, `lines`, `body`), or `paid`.
Outcome = dict[str, Any]


class Store:
    """The directory of one fleet, which is created if it does not exist."""

    def __init__(self, folder: str) -> None:
        """Open the store, creating its folders."""
        self.folder = Path(folder)
        self.ids = self.folder / "ids"
        self.outcomes = self.folder / "outcomes"
        for path in (self.folder, self.ids, self.outcomes):
            path.mkdir(parents=True, exist_ok=True)

    # -- leases ------------------------------------------------------------------------------------------------

    def write_lease(self, lease: Lease) -> None:
        """Write or renew a member's lease."""
        content = {"name": lease.name, "epoch": lease.epoch, "until": lease.until_s}
        self._replace(self.folder / f"{lease.name}.lease", orjson.dumps(content))

    def leases(self) -> list[Lease]:
        """Return the leases of all members."""
        leases = []
        for entry in os.listdir(self.folder):
            if not entry.endswith(".lease"):
                continue
            try:
                content = orjson.loads((self.folder / entry).read_bytes())
                leases.append(Lease(content["name"], int(content["epoch"]), float(content["until"])))
            except (OSError, orjson.JSONDecodeError, KeyError, TypeError, ValueError):
                continue  # not a lease file, or it is being removed
        return leases

    def drop_lease(self, lease: Lease) -> None:
        """Remove the lease of a process that has ended, unless a newer process of that name has a lease."""
        if any(known.name == lease.name and known.epoch == lease.epoch for known in self.leases()):
            (self.folder / f"{lease.name}.lease").unlink(missing_ok=True)

    # -- logs --------------------------------------------------------------------------------------------------

    def log_epochs(self, name: str) -> dict[int, bool]:
        """Return the epochs of a member for which the store has files, and whether the log of each was taken over."""
        epochs: dict[int, bool] = {}
        for entry in os.listdir(self.folder):
            match = LOG_FILE.fullmatch(entry)
            if match and match[1] == name:
                epoch = int(match[2])
                epochs[epoch] = epochs.get(epoch, False) or match[3] == "taken"
        return epochs

    def claim_log(self, log_name: str, claimant: str) -> bool:
        """Claim the takeover of a log; False if it has been claimed."""
        temporary_path = self.folder / f"{log_name}.taken.{os.getpid()}"
        temporary_path.write_bytes(claimant.encode())
        try:
            os.link(temporary_path, self.folder / f"{log_name}.taken")  # a link is atomic, so the file is never empty
        except FileExistsError:
            return False
        finally:
            temporary_path.unlink()
        return True

    def claimed_by(self, log_name: str) -> str | None:
        """Return the claimant of a log, or None."""
        try:
            return (self.folder / f"{log_name}.taken").read_text()
        except FileNotFoundError:
            return None

    def inherit_claim(self, log_name: str, claimant: str) -> None:
        """Replace the claim of a failed successor by that of the member that has claimed the successor's own log."""
        self._replace(self.folder / f"{log_name}.taken", claimant.encode())

    def read_log(self, log_name: str) -> list[Record]:
        """Return the records of a log; none if the file does not exist.

        Raises:
            LogFormatError: The file is not that log.
        """
        name, _, epoch = log_name.rpartition(".")
        try:
            data = (self.folder / f"{log_name}.log").read_bytes()
        except FileNotFoundError:
            return []
        return read_log(data, name, int(epoch))[0]

    def drop_log(self, log_name: str) -> None:
        """Remove a log that was taken over; its claim stays, so that it cannot be claimed again."""
        (self.folder / f"{log_name}.log").unlink(missing_ok=True)

    # -- ids of requests in flight: symbolic links from the hash of an id to the log of its owner -------------

    @staticmethod
    def key(request_id: bytes) -> str:
        """Return the name of a request id's files."""
        return blake2b(request_id, digest_size=ID_DIGEST_BYTES).hexdigest()

    def claim_id(self, request_id: bytes, log_name: str) -> bool:
        """Make a log the owner of an id; False if the id has an owner."""
        try:
            os.symlink(log_name, self.ids / self.key(request_id))
        except FileExistsError:
            return False
        return True

    def owner_of_id(self, request_id: bytes) -> str | None:
        """Return the log that owns an id, or None."""
        try:
            return os.readlink(self.ids / self.key(request_id))
        except OSError:
            return None

    def move_id(self, request_id: bytes, log_name: str) -> None:
        """Make a log the owner of an id in place of another log."""
        temporary_path = self.ids / f"{self.key(request_id)}.{log_name}"
        temporary_path.unlink(missing_ok=True)
        os.symlink(log_name, temporary_path)
        os.replace(temporary_path, self.ids / self.key(request_id))

    def release_id(self, request_id: bytes) -> None:
        """Remove an id's owner."""
        (self.ids / self.key(request_id)).unlink(missing_ok=True)

    def release_unrecorded_ids(self, log_name: str) -> int:
        """Release the ids of an owner that failed before it recorded their requests; return how many.

        Ids with an outcome are kept: if a client could claim such an id, its request would be executed again instead of
        being answered with the outcome.
        """
        released = 0
        for entry in os.listdir(self.ids):
            try:
                if os.readlink(self.ids / entry) == log_name and not (self.outcomes / entry).exists():
                    os.unlink(self.ids / entry)
                    released += 1
            except OSError:
                continue
        return released

    def publish_for_all_ids(self, log_name: str, outcome: Outcome) -> int:
        """Publish an outcome for every id of a log that cannot be read; return how many."""
        published = 0
        for entry in os.listdir(self.ids):
            try:
                if os.readlink(self.ids / entry) == log_name:
                    self._replace(self.outcomes / entry, orjson.dumps(outcome))
                    published += 1
            except OSError:
                continue
        return published

    # -- outcomes that have not been sent to a client ----------------------------------------------------------

    def publish(self, request_id: bytes, outcome: Outcome) -> None:
        """Keep an outcome for a client that repeats the request with its id."""
        self._replace(self.outcomes / self.key(request_id), orjson.dumps(outcome))

    def outcome(self, request_id: bytes) -> Outcome | None:
        """Return the outcome kept for an id, or None."""
        try:
            outcome: Outcome = orjson.loads((self.outcomes / self.key(request_id)).read_bytes())
        except (OSError, orjson.JSONDecodeError):
            return None
        return outcome

    def take_outcome(self, request_id: bytes) -> bool:
        """Remove an outcome; of several concurrent callers one succeeds."""
        try:
            (self.outcomes / self.key(request_id)).unlink()
        except FileNotFoundError:
            return False
        return True

    def forget_outcomes(self, before_s: float) -> None:
        """Remove the outcomes published before that time (Unix seconds), and their ids."""
        for entry in os.listdir(self.outcomes):
            path = self.outcomes / entry
            try:
                if path.stat().st_mtime < before_s:
                    (self.ids / entry).unlink(missing_ok=True)
                    path.unlink()
            except OSError:
                continue  # another ingress has removed it

    @staticmethod
    def _replace(path: Path, data: bytes) -> None:
        temporary_path = path.with_name(f"{path.name}.{os.getpid()}")
        temporary_path.write_bytes(data)
        os.replace(temporary_path, path)
