"""The word on disk: lasting before it is said, and never believed when it is spoilt."""

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from mapleline.system import offline, shelf
from mapleline.system.archive import Entry
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
