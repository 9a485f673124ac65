"""Tests of a folder of the earlier format.

It is reported, never used as a replica's state, and moved away unchanged; its configuration stays readable.
"""

import json

import msgspec

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control import migration, snapshot
from mapleline.balancer.control.snapshot import SnapshotStore
from tests.balancer.control.snapshot_case import STEPS, FolderCase, body


class TestEarlierFormat(FolderCase):
    def setUp(self):
        super().setUp()
        self.state_folder.mkdir()
        for key, version, register_body in (
            ("config", 7, body(7)),
            ("evacuation/z1", 1, b"begin"),
            ("evacuation/z2", 2, b"finish"),
        ):
            register = msgspec.msgpack.encode([key, version, "t", register_body])
            self.put("r-" + key.encode().hex(), register)
        self.put("core", msgspec.msgpack.encode({"core": [[1, 0], [2, 1], [3, 2]]}))
        self.files = self.files_of("word")

    def put(self, name: str, data: bytes) -> None:
        header = b"mapleline word 1\n%08x %d\n" % (snapshot.crc32(data), len(data))
        (self.state_folder / name).write_bytes(header + data)

    def files_of(self, folder: str) -> dict[str, bytes]:
        return {path.name: path.read_bytes() for path in (self.folder / folder).iterdir()}

    def moved_away(self) -> SnapshotStore:
        """Return a store after it has loaded the folder and moved it away."""
        store = SnapshotStore(str(self.folder))
        store.load()
        store.quarantine()
        return store

    def test_its_configuration_is_readable_and_reading_changes_nothing(self):
        for _ in range(2):
            fault = data_folder.check_archive(self.folder).error
            self.assertIn("earlier format: config 7, evacuated: z1;", fault)
            self.assertIn("--config", fault)
            self.assertEqual(data_folder.dump_config(self.folder).ok, body(7).decode())
            self.assertEqual(json.loads(data_folder.dump_archive(self.folder).ok)["mapleline"], 1)
            self.assertEqual(self.files_of("word"), self.files)

    def test_none_of_it_is_loaded_as_a_record(self):
        record, _, faults = SnapshotStore(str(self.folder)).load()
        self.assertEqual((record, len(faults)), (None, 1))
        self.assertIn("earlier format", str(faults[0]))
        self.assertTrue(faults[0].is_legacy)

    def test_it_is_moved_away_unchanged(self):
        store = self.moved_away()
        self.assertEqual(self.files_of(migration.LEGACY_FOLDER), self.files)
        store.save(*STEPS[0])
        self.assertEqual(self.loaded(), (STEPS[0].record, {}, []))

    def test_its_configuration_is_readable_until_there_is_one_in_the_new_format(self):
        store = self.moved_away()
        store.save(*STEPS[0])
        self.assertIn("beside it word-1, of the earlier format", data_folder.check_archive(self.folder).ok)
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(7).decode())
        store.save(*STEPS[2])
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(1).decode())

    def test_a_torn_file_is_reported(self):
        name = "r-" + b"config".hex()
        path = self.state_folder / name
        path.write_bytes(path.read_bytes()[:-1])
        for read_tool in (data_folder.check_archive, data_folder.dump_archive, data_folder.dump_config):
            self.assertIn(f"{name}: torn", read_tool(self.folder).error)
