"""Tests that a replica's snapshot on disk is durable once saved, and that a corrupt one is never loaded."""

import errno
import os
import tempfile
import threading
from pathlib import Path
from unittest import mock

import msgspec

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control import snapshot
from mapleline.balancer.control.consensus import Record, referenced_digests
from mapleline.balancer.control.snapshot import SnapshotStore
from tests.balancer.control.simulated_os import SimulatedFile, SimulatedOs
from tests.balancer.control.snapshot_case import (
    DISK_ID,
    IP,
    STEPS,
    FolderCase,
    accepted,
    bodies,
    body_file,
    state,
)

RECORD = "replica"


def no_space() -> OSError:
    return OSError(errno.ENOSPC, "No space left on device")


class TestSaveOrder(FolderCase):
    def test_contents_are_written_before_the_record_and_unreferenced_files_removed_last(self):
        store = self.store_after(3)
        simulated_os = SimulatedOs(self.folder)
        files = {path.name: SimulatedFile(path.name) for path in self.state_folder.iterdir()}
        simulated_os.visible_names[self.state_folder] = files
        simulated_os.durable_names[self.state_folder] = dict(files)
        with mock.patch.object(snapshot, "os", simulated_os):
            store.save(*STEPS[5])

        def written(name):
            temporary = name + ".new"
            return [
                ("open", temporary),
                ("write", temporary),
                ("fsync", temporary),
                ("close", temporary),
                ("rename", temporary),
                ("open", "word"),
                ("fsync", "word"),
                ("close", "word"),
            ]

        expected = [*written(body_file(3)), *written(RECORD), ("unlink", body_file(1))]
        self.assertEqual(simulated_os.calls, expected)


class TestFullDisk(FolderCase):
    def test_a_failure_at_any_call_leaves_no_partial_file_and_the_next_save_works(self):
        """Each call in turn fails once with "no space left", as a write or a sync does on a full disk."""
        first_call, last_call = self.call_range_of_saves()
        for call_number in range(first_call, last_call):
            with self.subTest(call_number=call_number), tempfile.TemporaryDirectory() as root:
                simulated_os = SimulatedOs(Path(root))
                simulated_os.stop_at, simulated_os.fault = call_number, no_space()
                self.check_save_fails_once(root, simulated_os)

    def call_range_of_saves(self) -> tuple[int, int]:
        """Return the number of calls before the first save, and after the last one."""
        with tempfile.TemporaryDirectory() as root:
            simulated_os = SimulatedOs(Path(root))
            with mock.patch.object(snapshot, "os", simulated_os):
                store = SnapshotStore(root)
                store.load()
                first_call = simulated_os.call_count
                for step in STEPS:
                    store.save(*step)
            return first_call, simulated_os.call_count

    def check_save_fails_once(self, root: str, simulated_os: SimulatedOs) -> None:
        failure_count, acknowledged = 0, None
        with mock.patch.object(snapshot, "os", simulated_os):
            store = SnapshotStore(root)
            store.load()
            for record, contents in STEPS:
                try:
                    store.save(record, contents)
                    acknowledged = record
                except OSError:
                    failure_count += 1
                    names = os.listdir(store.folder)
                    self.assertEqual([name for name in names if name.endswith(".new")], [])
                    found, found_contents, faults = SnapshotStore(root).load()
                    self.assertEqual(faults, [])
                    self.assertIn(found, (acknowledged, record))
                    self.assertEqual(set(found_contents), referenced_digests(found) if found is not None else set())
        self.assertLessEqual(failure_count, 1)
        last_record = msgspec.structs.replace(STEPS[-1].record, version=len(STEPS))
        store.save(last_record, STEPS[-1].contents)
        self.assertEqual(SnapshotStore(root).load(), (last_record, STEPS[-1].contents, []))
        expected = {RECORD, *map(snapshot.content_file, STEPS[-1].contents)}
        self.assertEqual(set(os.listdir(Path(root) / "word")), expected)

    def test_repeated_attempts_on_a_full_disk_use_no_further_space(self):
        store = self.store_after(2)
        before = self.listed()
        with mock.patch.object(snapshot.os, "fsync", side_effect=no_space()):
            for number in range(3, 30):
                with self.assertRaises(OSError):
                    store.save(accepted(number), bodies(number))
        self.assertEqual(self.listed(), before)
        self.assertEqual(self.loaded().record, STEPS[2].record)
        store.save(accepted(30), bodies(30))
        self.assertEqual(self.loaded().contents, bodies(30))


class TestSlowThreads(FolderCase):
    def test_an_older_record_never_overwrites_a_newer_one(self):
        store = self.store_after(4)
        store.save(*STEPS[2])
        self.assertEqual(self.loaded()[:2], STEPS[4])
        saves = [(accepted(number), bodies(number)) for number in range(10, 60)]
        threads = [threading.Thread(target=store.save, args=save) for save in reversed(saves)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.loaded(), (*saves[-1], []))
        self.assertEqual(len(self.listed()), 2)

    def test_a_record_of_an_abandoned_identity_is_rejected(self):
        store = self.store_after(3)
        another = Record(IP, DISK_ID + 2)
        store.save(another, {})
        with self.assertRaises(OSError):  # a silent failure would let an unsaved promise be sent
            store.save(*STEPS[4])
        self.assertEqual(self.loaded(), (another, {}, []))
        self.assertEqual(self.listed(), [RECORD])


class TestCorruptFiles(FolderCase):
    def test_torn_empty_foreign_swapped_and_missing_files_are_reported_and_nothing_is_loaded(self):
        self.store_after(3)
        one, two = (self.state_folder / body_file(version) for version in (1, 2))
        for path in (self.state_folder / RECORD, one):
            intact, another = path.read_bytes(), two.read_bytes()
            for corrupt in (
                intact[:-1],
                b"",
                b"something else",
                intact[:-1] + b"!",
                another,
                intact * 2,
                None,
            ):
                with self.subTest(path.name, corrupt=corrupt):
                    self.check_corrupt(path, corrupt)
            path.write_bytes(intact)

    def check_corrupt(self, path: Path, corrupt: bytes | None) -> None:
        """Check the reports on a file with these bytes; None for a missing file."""
        path.unlink() if corrupt is None else path.write_bytes(corrupt)
        record, _, faults = self.loaded()
        self.assertEqual((record, len(faults)), (None, 1))
        self.assertIn(path.name, str(faults[0]))
        self.assertIn("missing" if corrupt is None else "", str(faults[0]))
        found = data_folder.check_archive(self.folder)
        self.assertTrue(found.is_error() and path.name in found.error and "\n" not in found.error)
        if corrupt is not None:
            self.assertEqual(path.read_bytes(), corrupt)  # checking must not change the file

    def test_two_contents_with_swapped_names_are_both_reported(self):
        self.store_after(3)
        one, two = (self.state_folder / body_file(version) for version in (1, 2))
        data_of_one, data_of_two = one.read_bytes(), two.read_bytes()
        one.write_bytes(data_of_two)
        two.write_bytes(data_of_one)
        self.assertEqual(self.loaded().record, None)
        self.assertEqual(len(self.loaded().faults), 2)

    def test_a_foreign_file_is_reported(self):
        self.store_after(3)
        (self.state_folder / "notes").write_text("not ours")
        self.assertEqual([str(fault) for fault in self.loaded().faults], ["notes: foreign"])

    def test_leftover_files_are_ignored_and_removed_at_the_next_save(self):
        self.store_after(3)
        (self.state_folder / "replica.new").write_bytes(b"a write that power cut off")
        (self.state_folder / "c-0123456789abcdef").write_bytes(b"torn, and nothing references it")
        (self.state_folder / body_file(9)).write_bytes(b"")
        store = SnapshotStore(str(self.folder))
        self.assertEqual(store.load(), (*STEPS[3], []))
        self.assertIn("of system 99", data_folder.check_archive(self.folder).ok)
        self.assertEqual(len(self.listed()), 6)
        store.save(*STEPS[4])
        self.assertEqual(self.listed(), sorted([RECORD, *map(snapshot.content_file, STEPS[4].contents)]))

    def test_quarantined_files_stay_readable_and_the_folder_is_empty(self):
        for _ in range(2):
            self.store_after(3)
            (self.state_folder / RECORD).write_bytes(b"torn")
            (self.state_folder / "core.d").mkdir()
            store = SnapshotStore(str(self.folder))
            self.assertTrue(store.load().faults)
            store.quarantine()
            self.assertEqual(self.listed(), [])
            self.assertEqual((self.folder / "spoilt" / RECORD).read_bytes(), b"torn")
            self.assertEqual(store.load(), (None, {}, []))
            store.save(Record(IP, 11), {})
            self.assertEqual(self.loaded(), (Record(IP, 11), {}, []))

    def test_a_save_without_a_referenced_content_writes_nothing(self):
        store = self.store_after(2)
        before = self.listed()
        with self.assertRaises(KeyError):
            store.save(STEPS[3].record, {})
        self.assertEqual((self.listed(), self.loaded().record), (before, STEPS[2].record))


class TestScrub(FolderCase):
    def test_a_corrupt_file_is_found_and_rewritten(self):
        store = self.store_after(3)
        contents = STEPS[3].contents
        self.assertEqual([store.scrub(contents) for _ in range(3)], [None] * 3)
        for path in sorted(self.state_folder.iterdir()):
            for corrupt in (
                lambda path=path: path.write_bytes(path.read_bytes()[:-1]),
                path.unlink,
                lambda path=path: path.write_bytes(b""),
            ):
                corrupt()
                self.assertEqual({store.scrub(contents) for _ in range(3)}, {None, path.name})
                self.assertEqual(self.loaded(), (*STEPS[3], []))

    def test_without_its_body_an_intact_file_is_kept_and_a_corrupt_one_is_an_error(self):
        store = self.store_after(3)
        self.assertEqual([store.scrub({}) for _ in range(6)], [None] * 6)
        self.assertEqual(self.loaded(), (*STEPS[3], []))
        (self.state_folder / body_file(2)).write_bytes(b"")
        with self.assertRaises(OSError):
            for _ in range(3):
                store.scrub({})
        store.save(*STEPS[5])


class TestBounds(FolderCase):
    def test_after_a_thousand_changes_the_folder_has_the_contents_of_two_states(self):
        store, body_bytes, max_folder_bytes = SnapshotStore(str(self.folder)), 50_000, 0
        store.load()
        before = None
        with mock.patch.object(snapshot.os, "fsync"):
            for number in range(1, 1001):
                store.save(accepted(number, before, body_bytes), bodies(number - 1, number, size=body_bytes))
                max_folder_bytes = max(
                    max_folder_bytes, sum(path.stat().st_size for path in self.state_folder.iterdir())
                )
                before = state(number, number, body_bytes)
        self.assertEqual(len(self.listed()), 3)
        self.assertLess(max_folder_bytes, 2 * (body_bytes + 100) + 1000)
        self.assertEqual(self.loaded().record.accepted_state.number, 1000)
