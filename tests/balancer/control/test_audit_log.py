"""Tests that the audit log records each change once, stays bounded, and replaces an unreadable database."""

import os
import tempfile
import unittest
from unittest import mock

from mapleline.balancer.control import audit_log
from mapleline.balancer.control.audit_log import AuditLog

MAX_BYTES = 3000


class TestAuditLog(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = AuditLog(folder.name, MAX_BYTES)

    def record(self, version: int, content: bytes) -> None:
        self.log.record_change(100.0 + version, "config", version, "t", content)

    def test_versions_are_recorded_once_and_their_bodies_dropped_from_the_oldest(self):
        bodies = {version: os.urandom(1000) for version in range(1, 5)}
        for version, content in bodies.items():
            for _ in range(2):
                self.record(version, content)
        changes = self.log.history()["word"]
        self.assertEqual(
            [(row["version"], row["kept"]) for row in changes], [(4, True), (3, True), (2, False), (1, False)]
        )
        self.assertEqual([self.log.configuration(version) for version in (4, 2, 9)], [bodies[4], None, None])

    def test_a_command_is_recorded_with_its_outcome(self):
        self.log.record_command(105.0, "config", 4, True, 0.08)
        self.assertEqual(
            self.log.history()["orders"],
            [{"at": 105.0, "key": "config", "version": 4, "acknowledged": True, "took_s": 0.08}],
        )

    def test_rows_and_bytes_are_bounded_for_any_number_of_changes(self):
        def size_after(versions: range) -> int:
            for version in versions:
                self.log.record_change(float(version), "config", version, "t", os.urandom(200))
                self.log.record_command(float(version), "config", version, True, 0.1)
            return self.log.path.stat().st_size

        with mock.patch.object(audit_log, "MAX_CHANGES", 40), mock.patch.object(audit_log, "MAX_COMMANDS", 40):
            after_few = size_after(range(1, 101))
            after_many = size_after(range(101, 501))
            history = self.log.history(1000)
        self.assertEqual((len(history["word"]), len(history["orders"])), (40, 40))
        self.assertEqual(history["word"][0]["version"], 500)
        self.assertLessEqual(after_many, after_few + 4096)

    def test_a_log_that_cannot_be_read_is_moved_away(self):
        self.record(1, b"one")
        self.log.path.write_bytes(b"torn" * 2000)
        self.record(2, b"two")
        self.assertEqual([row["version"] for row in self.log.history()["word"]], [2])
        self.assertTrue(self.log.path.with_suffix(".bad").exists())

    def test_a_disk_error_raises_os_error(self):
        self.log.path = self.log.path.parent / "none" / "history.sqlite"
        with self.assertRaises(OSError):
            self.log.history()
