"""A replica's snapshot on disk: durable once it is saved, and never believed when it is corrupt."""

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
    def test_contents_then_the_record_each_synced_with_its_folder_and_then_what_nothing_references_goes(self):
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
    def test_a_refusal_at_each_call_leaves_nothing_half_written_and_the_next_save_works(self):
        """As it is with a full disk, one after the other: no space, or the sync says that it could not."""
        first, last = self.calls_of_saves()
        for at in range(first, last):
            with self.subTest(at=at), tempfile.TemporaryDirectory() as root:
                simulated_os = SimulatedOs(Path(root))
                simulated_os.stop_at, simulated_os.fault = at, no_space()
                self.check_refused_once(root, simulated_os)

    def calls_of_saves(self) -> tuple[int, int]:
        """The counts of calls before the first save, and after the last one."""
        with tempfile.TemporaryDirectory() as root:
            simulated_os = SimulatedOs(Path(root))
            with mock.patch.object(snapshot, "os", simulated_os):
                store = SnapshotStore(root)
                store.load()
                first = simulated_os.call_count
                for step in STEPS:
                    store.save(*step)
            return first, simulated_os.call_count

    def check_refused_once(self, root: str, simulated_os: SimulatedOs) -> None:
        refused, acknowledged = 0, None
        with mock.patch.object(snapshot, "os", simulated_os):
            store = SnapshotStore(root)
            store.load()
            for record, contents in STEPS:
                try:
                    store.save(record, contents)
                    acknowledged = record
                except OSError:
                    refused += 1
                    names = os.listdir(store.folder)
                    self.assertEqual([name for name in names if name.endswith(".new")], [])
                    found, found_contents, faults = SnapshotStore(root).load()
                    self.assertEqual(faults, [])
                    self.assertIn(found, (acknowledged, record))
                    self.assertEqual(set(found_contents), referenced_digests(found) if found is not None else set())
        self.assertLessEqual(refused, 1)
        last_record = msgspec.structs.replace(STEPS[-1].record, version=len(STEPS))
        store.save(last_record, STEPS[-1].contents)
        self.assertEqual(SnapshotStore(root).load(), (last_record, STEPS[-1].contents, []))
        wanted = {RECORD, *map(snapshot.content_file, STEPS[-1].contents)}
        self.assertEqual(set(os.listdir(Path(root) / "word")), wanted)

    def test_a_disk_that_stays_full_fills_no_further_with_each_attempt(self):
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
    def test_no_older_record_is_written_over_a_newer_one(self):
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

    def test_no_record_is_written_of_an_identity_that_was_given_up(self):
        store = self.store_after(3)
        another = Record(IP, DISK_ID + 2)
        store.save(another, {})
        with self.assertRaises(OSError):  # not silently: its promise would be sent, and be nowhere
            store.save(*STEPS[4])
        self.assertEqual(self.loaded(), (another, {}, []))
        self.assertEqual(self.listed(), [RECORD])


class TestCorruptFiles(FolderCase):
    def test_torn_empty_foreign_swapped_and_missing_files_are_named_and_nothing_is_believed(self):
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
        """None stands for a missing file."""
        path.unlink() if corrupt is None else path.write_bytes(corrupt)
        record, _, faults = self.loaded()
        self.assertEqual((record, len(faults)), (None, 1))
        self.assertIn(path.name, str(faults[0]))
        self.assertIn("missing" if corrupt is None else "", str(faults[0]))
        found = data_folder.check_archive(self.folder)
        self.assertTrue(found.is_error() and path.name in found.error and "\n" not in found.error)
        if corrupt is not None:
            self.assertEqual(path.read_bytes(), corrupt)  # a look changes nothing

    def test_contents_under_each_others_names_are_both_found(self):
        self.store_after(3)
        one, two = (self.state_folder / body_file(version) for version in (1, 2))
        data_of_one, data_of_two = one.read_bytes(), two.read_bytes()
        one.write_bytes(data_of_two)
        two.write_bytes(data_of_one)
        self.assertEqual(self.loaded().record, None)
        self.assertEqual(len(self.loaded().faults), 2)

    def test_a_foreign_file_is_named(self):
        self.store_after(3)
        (self.state_folder / "notes").write_text("not ours")
        self.assertEqual([str(fault) for fault in self.loaded().faults], ["notes: foreign"])

    def test_leftovers_are_harmless_and_go_at_the_next_save(self):
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

    def test_what_is_quarantined_can_be_looked_at_and_makes_room(self):
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

    def test_a_content_that_is_not_given_is_refused_before_anything_is_written(self):
        store = self.store_after(2)
        before = self.listed()
        with self.assertRaises(KeyError):
            store.save(STEPS[3].record, {})
        self.assertEqual((self.listed(), self.loaded().record), (before, STEPS[2].record))


class TestScrub(FolderCase):
    def test_a_file_that_went_bad_is_found_and_written_anew(self):
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

    def test_a_good_file_whose_body_is_not_given_is_left_and_a_bad_one_is_reported(self):
        store = self.store_after(3)
        self.assertEqual([store.scrub({}) for _ in range(6)], [None] * 6)
        self.assertEqual(self.loaded(), (*STEPS[3], []))
        (self.state_folder / body_file(2)).write_bytes(b"")
        with self.assertRaises(OSError):
            for _ in range(3):
                store.scrub({})
        store.save(*STEPS[5])


class TestBounds(FolderCase):
    def test_after_a_thousand_changes_the_folder_holds_what_two_states_reference(self):
        store, body_bytes, largest = SnapshotStore(str(self.folder)), 50_000, 0
        store.load()
        before = None
        with mock.patch.object(snapshot.os, "fsync"):
            for number in range(1, 1001):
                store.save(accepted(number, before, body_bytes), bodies(number - 1, number, size=body_bytes))
                largest = max(largest, sum(path.stat().st_size for path in self.state_folder.iterdir()))
                before = state(number, number, body_bytes)
        self.assertEqual(len(self.listed()), 3)
        self.assertLess(largest, 2 * (body_bytes + 100) + 1000)
        self.assertEqual(self.loaded().record.accepted_state.number, 1000)
