"""The word on disk: lasting before it is said, and never believed when it is spoilt."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mapleline.system import offline, shelf
from mapleline.system.archive import Entry
from mapleline.system.chronicle import Chronicle
from mapleline.system.shelf import CoreNote, Shelf


class TestShelf(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.shelf = Shelf(folder.name)
        self.shelf.load()

    def fill(self):
        self.shelf.save(Entry("config", 7, "a", b"seven"))
        self.shelf.save_core(CoreNote([(1, 0), (2, 1)]))

    def test_the_file_and_its_folder_are_synced_before_save_returns(self):
        done = []
        names = {}

        def note(what, real, at=0):
            def call(*args, **kwargs):
                result = real(*args, **kwargs)
                if what == "open":
                    names[result] = Path(args[0]).name
                done.append((what, names.get(args[0], Path(str(args[0])).name) if what != "open" else names[result]))
                return result

            return mock.patch.object(shelf.os, what, call)

        with note("open", os.open), note("write", os.write), note("fsync", os.fsync), note("rename", os.rename):
            self.shelf.save(Entry("k", 1, "", b"x"))
        self.assertEqual(done, [("open", "r-6b.new"), ("write", "r-6b.new"), ("fsync", "r-6b.new"),
                                ("rename", "r-6b.new"), ("open", "word"), ("fsync", "word")])  # fmt: skip

    def test_a_slow_thread_lays_no_older_entry_over_a_newer(self):
        self.fill()
        self.shelf.save(Entry("config", 6, "z", b"six"))
        entries, note, bad = Shelf(str(self.folder)).load()
        self.assertEqual((entries[0].body, note.core, bad), (b"seven", [(1, 0), (2, 1)], []))

    def test_a_file_that_went_bad_while_it_lay_still_is_found_and_written_anew(self):
        self.fill()
        self.shelf.save(Entry("evacuation/z", 1, "", b"begin"))
        self.assertEqual([self.shelf.scrub() for _ in range(3)], [None] * 3)
        path = self.folder / "word" / "r-636f6e666967"
        for spoil in (lambda: path.write_bytes(path.read_bytes()[:-1]), path.unlink):
            spoil()
            self.assertIn("config", [self.shelf.scrub() for _ in range(2)])
            self.shelf.save(Entry("config", 7, "a", b"seven"))
            self.assertEqual(Shelf(str(self.folder)).load()[2], [])

    def test_torn_empty_and_foreign_files_are_named_and_nothing_is_believed(self):
        path = self.folder / "word" / "r-636f6e666967"
        self.fill()
        whole = path.read_bytes()
        for spoilt in (whole[:-1], b"", b"something else", whole.replace(b"seven", b"eight")):
            path.write_bytes(spoilt)
            entries, note, bad = Shelf(str(self.folder)).load()
            self.assertEqual((entries, note, len(bad)), ([], None, 1))
            found = offline.check_archive(self.folder)
            self.assertTrue(found.is_error() and "r-636f6e666967" in found.error and "torn" in found.error)
            self.assertEqual(path.read_bytes(), spoilt)
        path.write_bytes(whole)
        path.with_name("r-636f6e666967.new").write_bytes(b"a write that power cut off")
        self.assertEqual(offline.check_archive(self.folder).ok, "core of 2; config 7")

    def test_a_write_that_fails_leaves_what_was_there(self):
        self.fill()
        with mock.patch.object(shelf.os, "fsync", side_effect=OSError(28, "No space left on device")):
            with self.assertRaises(OSError):
                self.shelf.save(Entry("config", 8, "", b"eight"))
        self.assertEqual(Shelf(str(self.folder)).load()[0][0].body, b"seven")
        self.shelf.save(Entry("config", 8, "", b"eight"))
        self.assertEqual(Shelf(str(self.folder)).load()[0][0].body, b"eight")

    def test_a_dump_is_restored_into_an_empty_folder_only_and_is_not_the_core(self):
        self.fill()
        dump = offline.dump_archive(self.folder).ok
        self.assertEqual(json.loads(dump)["word"][0]["version"], 7)
        with tempfile.TemporaryDirectory() as other:
            self.assertEqual(offline.restore_archive(Path(other), dump.encode()).ok, "1 registers written")
            entries, note, _ = Shelf(other).load()
            self.assertEqual((entries[0].body, note), (b"seven", None))
            self.assertIn("already", offline.restore_archive(Path(other), dump.encode()).error)
            self.assertIn("no dump", offline.restore_archive(Path(other), b"{}").error)


class TestChronicle(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.history = Chronicle(folder.name, 3000)

    def test_versions_are_kept_once_and_pruned_from_the_oldest(self):
        bodies = {n: os.urandom(1000) for n in range(1, 5)}
        for n, body in bodies.items():
            for _ in range(2):
                self.history.keep(100.0 + n, Entry("config", n, "t", body))
        self.history.order(105.0, "config", 4, True, 0.08)
        rows = self.history.rows()
        kept = [(row["version"], row["kept"]) for row in rows["word"]]
        self.assertEqual(kept, [(4, True), (3, True), (2, False), (1, False)])
        self.assertEqual([self.history.body(n) for n in (4, 2, 9)], [bodies[4], None, None])
        self.assertEqual(rows["orders"], [{"at": 105.0, "key": "config", "version": 4, "acknowledged": True,
                                           "took_s": 0.08}])  # fmt: skip

    def test_a_history_that_cannot_be_read_is_put_aside(self):
        self.history.keep(1.0, Entry("config", 1, "", b"one"))
        self.history.path.write_bytes(b"torn" * 2000)
        self.history.keep(2.0, Entry("config", 2, "", b"two"))
        self.assertEqual([r["version"] for r in self.history.rows()["word"]], [2])
        self.assertTrue(self.history.path.with_suffix(".bad").exists())

    def test_a_disk_that_refuses_is_told_as_such(self):
        self.history.path = self.history.path.parent / "none" / "history.sqlite"
        with self.assertRaises(OSError):
            self.history.rows()
