"""The fleet's store as a directory: logs, leases, claims, request ids, outcomes (files; no reactor, no clock).

Every operation is one of three: create if absent (`claim_log`, `claim_id`), replace (`write_lease`, `move_id`,
`publish`), append to what one process alone writes (`write_ahead_log`).  Operations raise OSError; what cannot be read
as ours is passed over.
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

#: What a client that comes with a request's id is answered: `status`, `lines`, `body`; or `paid`.
Outcome = dict[str, Any]


class Store:
    """The directory of one fleet; made if it is not there."""

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
        content = {"name": lease.name, "epoch": lease.epoch, "until": lease.until}
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
                continue  # not ours, or being removed
        return leases

    def drop_lease(self, lease: Lease) -> None:
        """Remove the lease of a process that is gone, unless another one of its name has begun."""
        if any(known.name == lease.name and known.epoch == lease.epoch for known in self.leases()):
            (self.folder / f"{lease.name}.lease").unlink(missing_ok=True)

    # -- logs --------------------------------------------------------------------------------------------------

    def log_epochs(self, name: str) -> dict[int, bool]:
        """Return the epochs of a member that the store knows, and whether the log of each was taken over."""
        epochs: dict[int, bool] = {}
        for entry in os.listdir(self.folder):
            match = LOG_FILE.fullmatch(entry)
            if match and match[1] == name:
                epoch = int(match[2])
                epochs[epoch] = epochs.get(epoch, False) or match[3] == "taken"
        return epochs

    def claim_log(self, log: str, by: str) -> bool:
        """Claim a log's takeover; False if another has it."""
        beside = self.folder / f"{log}.taken.{os.getpid()}"
        beside.write_bytes(by.encode())
        try:
            os.link(beside, self.folder / f"{log}.taken")  # there with its content, or not at all
        except FileExistsError:
            return False
        finally:
            beside.unlink()
        return True

    def claimed_by(self, log: str) -> str | None:
        """Return who has claimed a log, or None."""
        try:
            return (self.folder / f"{log}.taken").read_text()
        except FileNotFoundError:
            return None

    def inherit_claim(self, log: str, by: str) -> None:
        """Move the claim of a successor that died to the member that has claimed that successor's own log."""
        self._replace(self.folder / f"{log}.taken", by.encode())

    def read_log(self, log: str) -> list[Record]:
        """Return the records of a log; none of one that is gone.

        Raises:
            LogFormatError: it is foreign.
        """
        name, _, epoch = log.rpartition(".")
        try:
            data = (self.folder / f"{log}.log").read_bytes()
        except FileNotFoundError:
            return []
        return read_log(data, name, int(epoch))[0]

    def drop_log(self, log: str) -> None:
        """Remove a log that was taken over; its claim stays, so that it cannot be claimed again."""
        (self.folder / f"{log}.log").unlink(missing_ok=True)

    # -- ids of requests in flight: links from the hash of an id to the log of its owner ----------------------

    @staticmethod
    def key(request_id: bytes) -> str:
        """Return the name of a request id's files."""
        return blake2b(request_id, digest_size=ID_DIGEST_BYTES).hexdigest()

    def claim_id(self, request_id: bytes, log: str) -> bool:
        """Make a log the owner of an id; False if it has one."""
        try:
            os.symlink(log, self.ids / self.key(request_id))
        except FileExistsError:
            return False
        return True

    def owner_of_id(self, request_id: bytes) -> str | None:
        """Return the log that owns an id, or None."""
        try:
            return os.readlink(self.ids / self.key(request_id))
        except OSError:
            return None

    def move_id(self, request_id: bytes, log: str) -> None:
        """Make a log the owner of an id in place of another."""
        beside = self.ids / f"{self.key(request_id)}.{log}"
        beside.unlink(missing_ok=True)
        os.symlink(log, beside)
        os.replace(beside, self.ids / self.key(request_id))

    def release_id(self, request_id: bytes) -> None:
        """Remove an id's owner."""
        (self.ids / self.key(request_id)).unlink(missing_ok=True)

    def release_unrecorded_ids(self, log: str) -> int:
        """Release the ids of an owner that never came to write a record of them; return how many.

        Not those with an outcome: whoever could claim such an id would have it executed again instead of hearing that.
        """
        released = 0
        for entry in os.listdir(self.ids):
            try:
                if os.readlink(self.ids / entry) == log and not (self.outcomes / entry).exists():
                    os.unlink(self.ids / entry)
                    released += 1
            except OSError:
                continue
        return released

    def publish_for_all_ids(self, log: str, outcome: Outcome) -> int:
        """Publish an outcome for every id of an owner whose log cannot be read; return how many."""
        published = 0
        for entry in os.listdir(self.ids):
            try:
                if os.readlink(self.ids / entry) == log:
                    self._replace(self.outcomes / entry, orjson.dumps(outcome))
                    published += 1
            except OSError:
                continue
        return published

    # -- outcomes that no client has been answered with --------------------------------------------------------

    def publish(self, request_id: bytes, outcome: Outcome) -> None:
        """Keep an outcome for the client that comes with that id."""
        self._replace(self.outcomes / self.key(request_id), orjson.dumps(outcome))

    def outcome(self, request_id: bytes) -> Outcome | None:
        """Return the outcome kept for an id, or None."""
        try:
            outcome: Outcome = orjson.loads((self.outcomes / self.key(request_id)).read_bytes())
        except (OSError, orjson.JSONDecodeError):
            return None
        return outcome

    def take_outcome(self, request_id: bytes) -> bool:
        """Remove an outcome; of several that try, one succeeds."""
        try:
            (self.outcomes / self.key(request_id)).unlink()
        except FileNotFoundError:
            return False
        return True

    def forget_outcomes(self, before: float) -> None:
        """Drop the outcomes published before that time (Unix seconds), and their ids."""
        for entry in os.listdir(self.outcomes):
            path = self.outcomes / entry
            try:
                if path.stat().st_mtime < before:
                    (self.ids / entry).unlink(missing_ok=True)
                    path.unlink()
            except OSError:
                continue  # another ingress was quicker

    @staticmethod
    def _replace(path: Path, data: bytes) -> None:
        beside = path.with_name(f"{path.name}.{os.getpid()}")
        beside.write_bytes(data)
        os.replace(beside, path)
