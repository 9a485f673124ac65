"""Killed, or without power, between any two calls of `os`: what is found is the record before, or the one after."""

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
    """One process: the last record that was acknowledged, the one on its way, and whether it went through all steps."""

    acknowledged: Record | None
    coming: Record | None
    is_finished: bool


class TestPowerLoss(FolderCase):
    def run_process(self, simulated_os: SimulatedOs, first_step: int = 0) -> Run:
        """Load, and save the steps from that one on, until the end or the kill."""
        acknowledged = coming = None
        store = SnapshotStore(str(simulated_os.root))
        try:
            with mock.patch.object(snapshot, "os", simulated_os):
                acknowledged, _, faults = store.load()
                self.assertEqual(faults, [])
                for record, contents in STEPS[first_step:]:
                    coming = record
                    store.save(record, contents)
                    acknowledged = record
        except ProcessKilled:
            return Run(acknowledged, coming, False)
        return Run(acknowledged, coming, True)

    def assert_usable(self, files: dict[str, bytes] | None, possible_records: tuple, note: str) -> None:
        """A process that finds these files believes one of these records, with all its contents."""
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
        """Lose power at each call in turn; `killed_at`: the call at which an earlier process was killed, power on.

        Returns how many folders that differ were found.
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
                    earlier_records = (earlier.acknowledged, earlier.coming)
                    first_step = next((n for n, step in enumerate(STEPS) if step.record is earlier.coming), 0)
                simulated_os.stop_at = stop_at
                run = self.run_process(simulated_os, first_step)
                possible = (run.acknowledged, run.coming)
                if run.acknowledged is None:
                    possible += earlier_records  # the load itself was cut: nothing was acknowledged yet
                for files in simulated_os.folders_after_power_loss():
                    found = (frozenset(files.items()) if files is not None else None, tuple(map(id, possible)))
                    if found not in checked:
                        checked.add(found)
                        note = f"cut {killed_at}/{cut} after {simulated_os.calls[-3:]}"
                        self.assert_usable(files, possible, note)
            if run.is_finished:
                return len(checked)
        raise AssertionError

    def test_a_loss_of_power_between_any_two_calls_leaves_the_record_before_or_after(self):
        self.assertGreater(self.check_every_cut(), 50)

    def test_a_loss_of_power_after_a_kill_leaves_the_record_before_or_after(self):
        """What a process was killed before syncing is visible to the next one, and must not be taken for durable."""
        with tempfile.TemporaryDirectory() as root:
            simulated_os = SimulatedOs(Path(root))
            self.run_process(simulated_os)
        renames = [n for n, (name, _) in enumerate(simulated_os.calls) if name in ("rename", "mkdir")]
        for n in renames:
            for killed_at in (n + 1, n + 2):
                self.assertGreater(self.check_every_cut(killed_at), 0)

    def test_saves_in_another_order_or_without_the_folders_sync_are_found_broken(self):
        real_on_fsync = SimulatedOs._on_fsync

        def sync_nothing(folder):
            """Leave the names as they are."""

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
