"""Records of one replica, and a test case with a data folder, for the tests of what is on the disk."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import NamedTuple
from unittest import mock

from mapleline.balancer.control.consensus import Ballot, Record
from mapleline.balancer.control.snapshot import FOLDER, LoadedSnapshot, SnapshotStore, content_file
from mapleline.balancer.control.state import ConfigurationRef, Replica, State, content_digest

IP, DISK_ID, SYSTEM = 1, 7, 99


def body(version: int, size: int = 0) -> bytes:
    """A configuration of that version, padded to a size in bytes."""
    return json.dumps({"config_version": version}).encode().ljust(size)


def bodies(*versions: int, size: int = 0) -> dict[int, bytes]:
    """Configurations by their digests."""
    return {content_digest(body(version, size)): body(version, size) for version in versions}


def body_file(version: int) -> str:
    """The name of the file that holds the configuration of that version."""
    return content_file(content_digest(body(version)))


def state(number: int, version: int, size: int = 0) -> State:
    """A state of three voters, in which the configuration of that version is in force."""
    voters = (Replica(IP, DISK_ID), Replica(2, 8), Replica(3, 9))
    config = ConfigurationRef(version, content_digest(body(version, size)))
    return State(number, SYSTEM, 1, voters, config=config)


class Step(NamedTuple):
    """A record, and the contents that are given to a save beside it."""

    record: Record
    contents: dict[int, bytes]


def accepted(number: int, chosen: State | None = None, size: int = 0) -> Record:
    """A record whose version, round, state and configuration have one number."""
    ballot = Ballot(number, 1, 1)
    return Record(IP, DISK_ID, ballot, ballot, state(number, number, size), chosen, version=number)


FIRST, SECOND, THIRD, NINTH = (Ballot(1, 1, 1), Ballot(2, 1, 1), Ballot(3, 2, 1), Ballot(9, 2, 1))

#: what one replica goes through: founded, a change accepted, chosen, two at once, a promise alone, back to no body
STEPS = [
    Step(Record(IP, DISK_ID, version=0), {}),
    Step(Record(IP, DISK_ID, FIRST, FIRST, state(1, 1), version=1), bodies(1)),
    Step(Record(IP, DISK_ID, FIRST, FIRST, state(1, 1), None, True, version=2), bodies(1)),
    Step(Record(IP, DISK_ID, SECOND, SECOND, state(2, 2), state(1, 1), version=3), bodies(1, 2)),
    Step(Record(IP, DISK_ID, THIRD, SECOND, state(2, 2), state(1, 1), version=4), bodies(1, 2)),
    Step(Record(IP, DISK_ID, THIRD, SECOND, state(2, 2), state(5, 3), version=5), bodies(2, 3)),
    Step(Record(IP, DISK_ID, NINTH, NINTH, state(6, 4), state(5, 3), version=6), bodies(3, 4)),
]


class FolderCase(unittest.TestCase):
    """A data folder in a temporary one."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.state_folder = self.folder / FOLDER
        unsynced = mock.patch.object(os, "fsync")  # who asks for it, and when, is seen by `SimulatedOs`
        unsynced.start()
        self.addCleanup(unsynced.stop)

    def listed(self) -> list[str]:
        """The names in the replica's folder."""
        return sorted(path.name for path in self.state_folder.iterdir())

    def store_after(self, last_step: int) -> SnapshotStore:
        """A store that went through the steps up to that one."""
        store = SnapshotStore(str(self.folder))
        store.load()
        for step in STEPS[: last_step + 1]:
            store.save(*step)
        return store

    def loaded(self) -> LoadedSnapshot:
        """What a new process finds."""
        return SnapshotStore(str(self.folder)).load()
