"""Records of one replica, and a test case with a data folder, for the tests of files on the disk."""

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
    """Return a configuration of that version, padded to `size` bytes."""
    return json.dumps({"config_version": version}).encode().ljust(size)


def bodies(*versions: int, size: int = 0) -> dict[int, bytes]:
    """Return the configurations of these versions by digest, each padded to `size` bytes."""
    return {content_digest(body(version, size)): body(version, size) for version in versions}


def body_file(version: int) -> str:
    """Return the name of the file with the configuration of that version."""
    return content_file(content_digest(body(version)))


def state(number: int, version: int, size: int = 0) -> State:
    """Return a state with three voters in which the configuration of that version is in force."""
    voters = (Replica(IP, DISK_ID), Replica(2, 8), Replica(3, 9))
    config = ConfigurationRef(version, content_digest(body(version, size)))
    return State(number, SYSTEM, 1, voters, config=config)


class Step(NamedTuple):
    """The arguments of one save: a record and contents by digest."""

    record: Record
    contents: dict[int, bytes]


def accepted(number: int, chosen: State | None = None, size: int = 0) -> Record:
    """Return a record whose version, round, state and configuration all have the same number."""
    ballot = Ballot(number, 1, 1)
    return Record(IP, DISK_ID, ballot, ballot, state(number, number, size), chosen, version=number)


FIRST, SECOND, THIRD, NINTH = (Ballot(1, 1, 1), Ballot(2, 1, 1), Ballot(3, 2, 1), Ballot(9, 2, 1))

#: Successive saves of one replica: an empty record, a state accepted, the same chosen, a second state accepted, a
#: promise only, a newer chosen state learnt, and a further state accepted.
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
    """A test case with a data folder in a temporary folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.state_folder = self.folder / FOLDER
        fsync_patch = mock.patch.object(os, "fsync")  # not needed here: `SimulatedOs` checks the order of syncs
        fsync_patch.start()
        self.addCleanup(fsync_patch.stop)

    def listed(self) -> list[str]:
        """Return the sorted names in the replica's folder."""
        return sorted(path.name for path in self.state_folder.iterdir())

    def store_after(self, last_step: int) -> SnapshotStore:
        """Return a store after the saves of `STEPS` up to index `last_step`."""
        store = SnapshotStore(str(self.folder))
        store.load()
        for step in STEPS[: last_step + 1]:
            store.save(*step)
        return store

    def loaded(self) -> LoadedSnapshot:
        """Return the snapshot that a new process loads."""
        return SnapshotStore(str(self.folder)).load()
