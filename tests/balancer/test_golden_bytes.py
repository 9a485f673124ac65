"""Bytes on the wire and on the disk must not change when the sources change.

An unintended change of a format would break rolling updates and make stored data unreadable.  The golden files were
written by an earlier version of the program; the present one must read and write the same bytes.
"""

import json
import logging
import shutil
import sqlite3
import tempfile
import unittest
from contextlib import closing
from pathlib import Path
from unittest import mock

import msgspec

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control import migration, snapshot
from mapleline.balancer.control.audit_log import AuditLog
from mapleline.balancer.control.replica import LocalReplica
from mapleline.balancer.control.snapshot import SnapshotStore
from mapleline.balancer.discovery.endpoints import EndpointList
from mapleline.balancer.membership.member import Member
from mapleline.balancer.membership.table import MembershipTable
from mapleline.balancer.transport.fencing import UnexpectedReplyError
from mapleline.simulation.machine import Machine
from mapleline.simulation.world import Topology, World
from tests.balancer import golden_samples as samples

BARE = "_bare"  # suffix of the names of samples with every default


class TestMessages(unittest.TestCase):
    """All messages between ingresses, without stamps."""

    @classmethod
    def setUpClass(cls):
        cls.golden = samples.read_hex(samples.MESSAGES_FILE)
        cls.samples = samples.datagram_samples() | samples.call_samples() | samples.reply_samples()

    def test_each_sample_is_encoded_to_the_golden_bytes(self):
        encoded = samples.encoded_messages()
        self.assertEqual(encoded.keys(), self.golden.keys())
        for name, data in self.golden.items():
            with self.subTest(name):
                self.assertEqual(encoded[name].hex(), data.hex())

    def test_each_golden_message_is_decoded_to_the_sample(self):
        for name, data in self.golden.items():
            with self.subTest(name):
                decoded = samples.decoded_message(name, data)
                self.assertIs(type(decoded), type(self.samples[name]))
                self.assertEqual(decoded, self.samples[name])

    def test_messages_of_counters_from_earlier_versions_are_decoded_with_defaults(self):
        for name, data in samples.read_hex(samples.MESSAGES_BEFORE_SLOTS_FILE).items():
            with self.subTest(name):
                sample = self.samples[name]
                added = {
                    "window_slots",
                    "remaining_permille",
                    "quota_window_units",
                    "sender_unix_ms",
                    "wants_past",
                    "known_tenants",
                }
                defaults = {
                    field.name: field_default(field) for field in msgspec.structs.fields(sample) if field.name in added
                }
                self.assertTrue(defaults)
                self.assertEqual(samples.decoded_message(name, data), msgspec.structs.replace(sample, **defaults))

    def test_every_message_type_has_a_sample(self):
        for classes, message_samples in (
            (samples.DATAGRAMS, samples.datagram_samples()),
            (samples.CALLS, samples.call_samples()),
            (samples.REPLIES, samples.reply_samples()),
        ):
            self.assertEqual({type(sample) for sample in message_samples.values()}, set(classes))

    def test_samples_leave_every_field_at_its_default_or_none(self):
        """Otherwise a changed default or a moved field might leave the bytes of both samples unchanged."""
        bare_types = {type(sample) for name, sample in self.samples.items() if name.endswith(BARE)}
        for name, sample in self.samples.items():
            with self.subTest(name):
                fields = [field for field in msgspec.structs.fields(sample) if not field.required]
                at_default = [getattr(sample, field.name) == field_default(field) for field in fields]
                self.assertEqual(set(at_default) - {name.endswith(BARE)}, set())
                self.assertTrue(not fields or type(sample) in bare_types)


def field_default(field: msgspec.structs.FieldInfo) -> object:
    """Return the default of a field."""
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return field.default


class TestStamps(unittest.TestCase):
    """Messages with stamps, and refusals."""

    @classmethod
    def setUpClass(cls):
        cls.golden = samples.read_hex(samples.STAMPED_FILE)

    def test_stamped_messages_are_the_golden_bytes(self):
        stamped = samples.stamped_samples()
        self.assertEqual(stamped.keys(), self.golden.keys())
        for name, data in self.golden.items():
            with self.subTest(name):
                self.assertEqual(stamped[name].hex(), data.hex())

    def test_golden_datagrams_are_accepted(self):
        datagrams = samples.datagram_samples()
        for name, message in (
            ("datagram_to_any_life", "heartbeat"),
            ("datagram_to_one_life", "replica_query"),
            ("datagram_before_founding", "replica_query"),
        ):
            with self.subTest(name):
                received = samples.receiver_fence().receive_datagram(samples.SENDER, self.golden[name])
                self.assertEqual(received, (datagrams[message], None))

    def test_a_golden_request_and_its_golden_reply_are_accepted(self):
        call = samples.exchange()
        received = samples.receiver_fence().receive_call(self.golden["call_request"])
        self.assertEqual(received, call.received)
        self.assertEqual(received.message, samples.call_samples()["accept"])
        reply = call.caller.receive_reply(call.outstanding, self.golden["call_reply"])
        self.assertEqual(reply, samples.reply_samples()["accepted"])

    def test_a_sender_learns_the_new_incarnation_from_golden_refusals(self):
        restarted = samples.RECEIVER_INCARNATION + 1
        sender = samples.sender_fence()
        self.assertEqual(sender.receive_datagram(samples.RECEIVER, self.golden["datagram_refusal"]), (None, None))
        self.assertEqual(sender.membership.incarnation(samples.RECEIVER), restarted)
        call = samples.exchange()
        with self.assertRaises(UnexpectedReplyError) as refusal:
            call.caller.receive_reply(call.outstanding, self.golden["call_refusal"])
        self.assertEqual(str(refusal.exception), "refused")
        self.assertEqual(call.caller.membership.incarnation(samples.RECEIVER), restarted)


class TestParts(unittest.TestCase):
    """Encoded parts of messages: the membership table of heartbeats and the endpoint list."""

    @classmethod
    def setUpClass(cls):
        cls.golden = samples.read_hex(samples.PARTS_FILE)

    def test_each_part_is_the_golden_bytes(self):
        parts = samples.part_samples()
        self.assertEqual(parts.keys(), self.golden.keys())
        for name, data in self.golden.items():
            with self.subTest(name):
                self.assertEqual(parts[name].hex(), data.hex())

    def test_a_golden_table_is_merged_completely(self):
        table = MembershipTable(Member(0x0A090001, 0, 0), 0.5)
        self.assertTrue(table.merge(200.0, self.golden["heartbeat_rows"]))
        merged = [member for ip, member in table.members.items() if ip != table.local_member.ip]
        sent = list(samples.heartbeat_table().members.values())
        for member in sent:  # ages stay, up to the maximum; the two clocks differ by 100 s
            member.last_heartbeat = max(member.last_heartbeat + 100.0, 200.0 - 655.35)
        known = [member for member in sent if member.heartbeat_count]
        self.assertEqual([member for member in merged if member.heartbeat_count], known)
        self.assertEqual({member.ip for member in merged}, set(samples.ADDRESSES))

    def test_a_golden_list_is_decoded_and_has_the_golden_digest(self):
        endpoints = EndpointList(0.8)
        self.assertTrue(endpoints.update_from_peer(105.0, self.golden["server_list"]))
        self.assertEqual(endpoints.digest.to_bytes(4, "big"), self.golden["server_list_digest"])
        ready, warming = endpoints.instances.values()
        self.assertEqual(
            (ready.id, ready.service, ready.address, ready.zone, ready.slots, ready.ready, ready.warm_up_count),
            ("i-1", "slots", ("10.128.0.1", 8080), "a1", 1, True, 0),
        )
        self.assertEqual(
            (
                warming.id,
                warming.service,
                warming.address,
                warming.zone,
                warming.slots,
                warming.ready,
                warming.warm_up_count,
            ),
            ("i-2", "records", ("10.128.1.2", 8081), "a2", 4, False, 1),
        )
        self.assertAlmostEqual(warming.warming_until, 105.0 + 1.5 + 0.8)


class GoldenFolders(unittest.TestCase):
    """Base class of tests that copy golden folders into a temporary folder."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        unsynced = mock.patch.object(snapshot.os, "fsync")  # durability is not needed in tests
        unsynced.start()
        self.addCleanup(unsynced.stop)

    def copied(self, golden: Path, name: str = "copy") -> Path:
        """Copy a golden folder and return the copy."""
        return Path(shutil.copytree(golden, self.folder / name))


class TestSnapshot(GoldenFolders):
    """The data folder of a replica."""

    def test_every_sample_has_a_golden_folder(self):
        self.assertEqual({path.name for path in samples.SNAPSHOTS.iterdir()}, samples.snapshot_samples().keys())

    def test_a_golden_folder_is_read_as_the_record_and_its_contents(self):
        for name, sample in samples.snapshot_samples().items():
            with self.subTest(name):
                store = SnapshotStore(str(self.copied(samples.SNAPSHOTS / name, name)))
                self.assertEqual(store.load(), (sample.record, sample.contents, []))

    def test_the_same_record_is_written_to_the_same_files(self):
        for name, sample in samples.snapshot_samples().items():
            with self.subTest(name):
                samples.write_snapshot(self.folder / name, sample)
                self.assertEqual(samples.files_of(self.folder / name), samples.files_of(samples.SNAPSHOTS / name))

    def test_a_corrupt_folder_is_quarantined_under_the_same_name(self):
        copy = self.copied(samples.SNAPSHOTS / "machine_1")
        golden = samples.files_of(copy)
        (copy / "word" / "replica").write_bytes(b"torn")
        store = SnapshotStore(str(copy))
        self.assertEqual([str(fault) for fault in store.load().faults], ["replica: torn, empty or foreign"])
        store.quarantine()
        put_aside = {name.replace("word/", "spoilt/"): data for name, data in golden.items()}
        self.assertEqual(samples.files_of(copy), put_aside | {"spoilt/replica": b"torn"})

    def test_a_dump_is_the_golden_text_and_can_be_restored(self):
        golden, copy = samples.DUMP_FILE.read_text(), self.copied(samples.SNAPSHOTS / "machine_1")
        self.assertEqual(data_folder.dump_archive(copy).ok, golden)
        self.assertEqual(data_folder.dump_config(copy).ok, samples.config_body(samples.NEW_VERSION).decode())
        self.assertTrue(data_folder.restore_archive(self.folder / "restored", golden.encode()).is_ok())
        record, contents, faults = SnapshotStore(str(self.folder / "restored")).load()
        sample = samples.restored_sample()
        self.assertEqual((record, contents, faults), (sample.record, sample.contents, []))


class TestHistory(GoldenFolders):
    """The database of applied configurations and of commands."""

    def test_a_golden_database_is_read_and_extended(self):
        history = AuditLog(str(self.copied(samples.HISTORY)), 1 << 20)
        self.assertEqual(history.history(), samples.HISTORY_ROWS)
        for version in (samples.OLD_VERSION, samples.NEW_VERSION):
            self.assertEqual(history.configuration(version), samples.config_body(version))
        history.record_change(1.7e9 + 20, "config", 8, "8", b"the next")
        self.assertEqual([row["version"] for row in history.history()["word"]], [8, 7, 6])
        self.assertEqual([path.name for path in history.path.parent.iterdir()], ["history.sqlite"])

    def test_a_new_database_has_the_golden_tables_and_rows(self):
        history = samples.write_history(self.folder)
        self.assertEqual(history.history(), samples.HISTORY_ROWS)
        [golden] = samples.HISTORY.iterdir()
        self.assertEqual(history.path.name, golden.name)
        self.assertEqual(database(history.path), database(self.copied(samples.HISTORY) / golden.name))


def database(path: Path) -> dict[str, tuple[list, list]]:
    """Return the columns and rows of every table."""
    with closing(sqlite3.connect(path)) as connection:
        names = [name for (name,) in connection.execute("SELECT name FROM sqlite_master WHERE type = 'table'")]
        return {
            name: (
                connection.execute(f"PRAGMA table_info({name})").fetchall(),
                connection.execute(f"SELECT * FROM {name}").fetchall(),
            )
            for name in names
        }


class TestEarlierFormat(GoldenFolders):
    """Data folders of the earlier format."""

    def test_the_golden_folder_equals_the_samples(self):
        samples.write_earlier(self.folder / "written")
        self.assertEqual(samples.files_of(self.folder / "written"), samples.files_of(samples.EARLIER))

    def test_it_is_read_for_its_configuration_and_dumped_as_before(self):
        copy = self.copied(samples.EARLIER)
        found = migration.load_legacy(copy)
        entries = [tuple(msgspec.msgpack.decode(msgspec.msgpack.encode(entry))) for entry in found.entries]
        self.assertEqual(sorted(entries), sorted(samples.EARLIER_ENTRIES))
        self.assertEqual(found.config, found.entries[entries.index(samples.EARLIER_ENTRIES[0])])
        self.assertEqual(found.evacuated, [samples.EVACUATED_ZONE])
        self.assertEqual(data_folder.dump_archive(copy).ok, samples.EARLIER_DUMP_FILE.read_text())
        self.assertEqual(data_folder.dump_config(copy).ok, samples.config_body(samples.OLD_VERSION).decode())
        self.assertEqual(json.loads(samples.EARLIER_DUMP_FILE.read_text())["mapleline"], 1)

    def test_none_of_its_files_is_used_and_all_are_put_aside(self):
        store = SnapshotStore(str(self.copied(samples.EARLIER)))
        golden = samples.files_of(samples.EARLIER)
        record, contents, faults = store.load()
        self.assertEqual((record, contents, len(faults)), (None, {}, 1))
        self.assertTrue(str(faults[0]).endswith(migration.LEGACY_FAULT))
        store.quarantine()
        put_aside = {name.replace("word/", "word-1/"): data for name, data in golden.items()}
        self.assertEqual(samples.files_of(self.folder / "copy"), put_aside)


class SnapshotDisk(SnapshotStore):
    """A real data folder as the disk of a simulated machine; it never refuses writes and never hangs."""

    refuses_writes, hangs_until = False, 0.0


class TestNodes(GoldenFolders):
    """Whole nodes on a virtual clock, started with golden folders as their disks."""

    def setUp(self):
        super().setUp()
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.world = World(3, Topology(samples.ZONES, stateless_per_zone=0))
        self.assertEqual([machine.ip for machine in self.world.control_replicas], list(samples.ADDRESSES))

    def set_disk(self, machine: Machine, golden: Path) -> Path:
        """Make a copy of a golden folder the machine's disk, and return the copy."""
        folder = self.copied(golden, machine.name)
        machine.disk = SnapshotDisk(str(folder))
        return folder

    def test_the_state_of_golden_folders_is_in_force_after_a_start(self):
        loaded: dict[int, object] = {}  # address -> state that the replica knew to be chosen when loaded
        load = LocalReplica.load

        def watched_load(replica: LocalReplica) -> object:
            loaded[replica._context.local_ip] = load(replica)
            return loaded[replica._context.local_ip]

        watched = mock.patch.object(LocalReplica, "load", watched_load)
        watched.start()
        self.addCleanup(watched.stop)
        for number, machine in enumerate(self.world.control_replicas, 1):
            self.set_disk(machine, samples.SNAPSHOTS / f"machine_{number}")
            machine.start()
        self.world.run(6.0)
        old, new = samples.agreed_state(5, samples.OLD_VERSION), samples.agreed_state(6, samples.NEW_VERSION)
        # Machine 2 had accepted the newest state without knowing that it was chosen.
        self.assertEqual(loaded, dict(zip(samples.ADDRESSES, (new, old, new), strict=True)))
        for machine in self.world.control_replicas:
            with self.subTest(machine.name):
                state = machine.node.control_plane.state
                self.assertEqual((state.system, state.voters), (samples.SYSTEM, samples.voters()))
                self.assertEqual(machine.node.proxy.table.version, samples.NEW_VERSION)
                self.assertEqual(machine.evacuated_zones(), {samples.EVACUATED_ZONE})
                self.assertTrue(machine.is_voter())
                self.assertIsNotNone(machine.active_configuration())

    def test_machines_with_folders_of_the_earlier_format_put_them_aside_and_found_a_core(self):
        folders = [self.set_disk(machine, samples.EARLIER) for machine in self.world.control_replicas]
        golden = samples.files_of(samples.EARLIER)
        put_aside = {name.replace("word/", "word-1/"): data for name, data in golden.items()}
        self.world.start()
        self.world.run(8.0)
        for machine, folder in zip(self.world.control_replicas, folders, strict=True):
            with self.subTest(machine.name):
                self.assertIsNotNone(machine.node.control_plane.state)
                self.assertIsNone(machine.node.proxy.table)  # the operator has to send the configuration again
                files = samples.files_of(folder)
                self.assertEqual({name: files[name] for name in put_aside}, put_aside)
                self.assertEqual(files.keys() - put_aside.keys(), {"word/replica"})


if __name__ == "__main__":
    unittest.main()
