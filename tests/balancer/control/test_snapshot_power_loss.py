"""Tests a kill or a loss of power between any two calls of `os`: the loaded record is the previous or the new one."""

import itertools
import tempfile
from pathlib import Path
from typing import NamedTuple
from unittest import mock

import msgspec

from mapleline.balancer.control import snapshot
from mapleline.balancer.control.consensus import Record, referenced_digests
from mapleline.balancer.control.snapshot import FOLDER, SnapshotStore
from mapleline.balancer.control.state import content_digest
from tests.balancer.control.simulated_os import ProcessKilled, SimulatedOs
from tests.balancer.control.snapshot_case import STEPS, FolderCase


class Run(NamedTuple):
    """The result of one process.

    Attributes:
        acknowledged: the record of the last save that returned, or of the load; None without one.
        in_progress: the record of the last save that began; None without one.
        is_finished: whether the process completed all steps.
    """

    acknowledged: Record | None
    in_progress: Record | None
    is_finished: bool


class TestPowerLoss(FolderCase):
    def run_process(self, simulated_os: SimulatedOs, first_step: int = 0) -> Run:
        """Load the folder, then save the steps from index `first_step` on, until the end or the kill."""
        acknowledged = in_progress = None
        store = SnapshotStore(str(simulated_os.root))
        try:
            with mock.patch.object(snapshot, "os", simulated_os):
                acknowledged, _, faults = store.load()
                self.assertEqual(faults, [])
                for record, contents in STEPS[first_step:]:
                    in_progress = record
                    store.save(record, contents)
                    acknowledged = record
        except ProcessKilled:
            return Run(acknowledged, in_progress, False)
        return Run(acknowledged, in_progress, True)

    def assert_usable(self, files: dict[str, bytes] | None, possible_records: tuple, note: str) -> None:
        """Check that a process with these files loads one of the possible records, with all its contents."""
        with tempfile.TemporaryDirectory() as root:
            if files is not None:
                (Path(root) / FOLDER).mkdir()
                for name, data in files.items():
                    (Path(root) / FOLDER / name).write_bytes(data)
            record, contents, faults = SnapshotStore(root).load()
            self.assertEqual(faults, [], note)
            self.assertIn(record, possible_records, note)
            if record is not None:
                self.assertEqual(set(contents), referenced_digests(record), note)
                self.assertEqual({content_digest(content) for content in contents.values()}, set(contents), note)

    def check_every_cut(self, killed_at: int | None = None) -> int:
        """Lose power at each call in turn, and check the folder.

        Args:
            killed_at: the call at which an earlier process was killed without a loss of power; None if there was none.

        Returns:
            The number of distinct combinations of a folder and its possible records.
        """
        checked = set()
        for cut in itertools.count():
            with tempfile.TemporaryDirectory() as root:
                simulated_os = SimulatedOs(Path(root))
                earlier_records, first_step, stop_at = (), 0, cut
                if killed_at is not None:
                    simulated_os.stop_at = killed_at
                    earlier = self.run_process(simulated_os)
                    simulated_os.descriptors.clear()
                    if earlier.is_finished:
                        return len(checked)
                    stop_at = simulated_os.call_count + cut
                    earlier_records = (earlier.acknowledged, earlier.in_progress)
                    first_step = next((n for n, step in enumerate(STEPS) if step.record is earlier.in_progress), 0)
                simulated_os.stop_at = stop_at
                run = self.run_process(simulated_os, first_step)
                possible = (run.acknowledged, run.in_progress)
                if run.acknowledged is None:
                    possible += earlier_records  # power was lost during the load, before any record was acknowledged
                for files in simulated_os.folders_after_power_loss():
                    found = (frozenset(files.items()) if files is not None else None, tuple(map(id, possible)))
                    if found not in checked:
                        checked.add(found)
                        note = f"cut {killed_at}/{cut} after {simulated_os.calls[-3:]}"
                        self.assert_usable(files, possible, note)
            if run.is_finished:
                return len(checked)
        raise AssertionError

    def test_a_loss_of_power_between_any_two_calls_leaves_the_previous_or_the_new_record(self):
        self.assertGreater(self.check_every_cut(), 50)

    def test_a_loss_of_power_after_a_kill_leaves_the_previous_or_the_new_record(self):
        """Unsynced files of a killed process are visible to the next process, which must not treat them as durable."""
        with tempfile.TemporaryDirectory() as root:
            simulated_os = SimulatedOs(Path(root))
            self.run_process(simulated_os)
        renames = [n for n, (name, _) in enumerate(simulated_os.calls) if name in ("rename", "mkdir")]
        for n in renames:
            for killed_at in (n + 1, n + 2):
                self.assertGreater(self.check_every_cut(killed_at), 0)

    def test_saves_in_a_wrong_order_or_without_a_sync_are_detected(self):
        real_on_fsync = SimulatedOs._on_fsync

        def sync_nothing(folder):
            """Do nothing in place of a sync."""

        def save_record_first(self, record, contents):
            snapshot.write_file(self.folder / "replica", msgspec.msgpack.encode(record))
            for digest in sorted(referenced_digests(record) - self._digests):
                snapshot.write_file(self.folder / snapshot.content_file(digest), contents[digest])
                self._digests.add(digest)

        def remove_first(self, record, contents):
            for digest in self._digests - referenced_digests(record):
                snapshot.os.unlink(self.folder / snapshot.content_file(digest))
            for digest in sorted(referenced_digests(record) - self._digests):
                snapshot.write_file(self.folder / snapshot.content_file(digest), contents[digest])
            self._digests = referenced_digests(record)
            snapshot.write_file(self.folder / "replica", msgspec.msgpack.encode(record))

        def sync_folders_only(self, descriptor, _):
            if isinstance(self.descriptors[descriptor], Path):
                real_on_fsync(self, descriptor, _)

        for mutant in (
            mock.patch.object(snapshot, "sync_folder", sync_nothing),
            mock.patch.object(SnapshotStore, "save", save_record_first),
            mock.patch.object(SnapshotStore, "save", remove_first),
            mock.patch.object(SimulatedOs, "_on_fsync", sync_folders_only),
        ):
            with mutant, self.assertRaises(AssertionError):
                self.check_every_cut()
