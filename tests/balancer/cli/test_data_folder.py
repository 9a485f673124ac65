"""Data folders: a restored replica must have no vote, and an invalid dump must write nothing."""

import json
import tempfile
from pathlib import Path

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control.snapshot import SnapshotStore
from tests.balancer.control.snapshot_case import FolderCase, bodies, body, state


class TestCheck(FolderCase):
    def test_an_empty_folder_is_a_fault(self):
        self.assertIn("holds no control state", data_folder.check_archive(self.folder).error)

    def test_a_replica_is_described_in_one_line(self):
        self.store_after(2)
        self.assertEqual(
            data_folder.check_archive(self.folder).ok,
            "state 1 of system 99, epoch 1: a voter of 3; config 1, evacuated: none",
        )

    def test_a_state_accepted_beyond_the_chosen_one_is_reported(self):
        self.store_after(2)
        self.store_after(3)
        self.assertIn("; accepted beyond it, and not known to be chosen", data_folder.check_archive(self.folder).ok)


class TestRestore(FolderCase):
    def setUp(self):
        super().setUp()
        self.store_after(2)
        self.dump = data_folder.dump_archive(self.folder).ok

    def test_a_dump_is_restored_into_an_empty_folder_only_and_has_no_vote(self):
        self.assertEqual(json.loads(self.dump)["state"]["config"][0], 1)
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(1).decode())
        with tempfile.TemporaryDirectory() as other:
            self.assertEqual(data_folder.restore_archive(Path(other), self.dump.encode()).ok, "state 1 written")
            record, contents, faults = SnapshotStore(other).load()
            self.assertEqual((record.earlier_chosen, contents, faults), (state(1, 1), bodies(1), []))
            self.assertEqual((record.ip, record.disk_id, record.accepted_state), (0, 0, None))
            self.assertIn("no voter of 3", data_folder.check_archive(Path(other)).ok)
            self.assertIn("already", data_folder.restore_archive(Path(other), self.dump.encode()).error)

    def test_an_invalid_dump_is_refused_in_one_line_and_writes_nothing(self):
        for text, reason in (
            (b"{}", "no dump"),
            (b"[]", "no dump"),
            (self.dump[:-9].encode(), "no dump"),
            (self.dump.replace('"contents": {', '"contents": {}, "x": {').encode(), "missing"),
            (b'{"mapleline": 1, "word": []}', "config put"),
        ):
            with self.subTest(reason=reason), tempfile.TemporaryDirectory() as other:
                fault = data_folder.restore_archive(Path(other), text).error
                self.assertIn(reason, fault)
                self.assertNotIn("\n", fault)
                self.assertEqual(list(Path(other).glob("word/*")), [])

    def test_a_content_with_a_wrong_digest_is_not_restored(self):
        dump = json.loads(self.dump)
        [name] = dump["contents"]
        dump["contents"][name] = "bm90IGl0"
        with tempfile.TemporaryDirectory() as other:
            self.assertIn(name, data_folder.restore_archive(Path(other), json.dumps(dump).encode()).error)
            self.assertEqual(list(Path(other).glob("word/*")), [])
