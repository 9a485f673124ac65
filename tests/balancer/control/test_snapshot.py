"""A replica's snapshot on disk: lasting before it is said, whole at each cut, and never believed when it is spoilt."""

import errno
import itertools
import json
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from mapleline.balancer.cli import data_folder
from mapleline.balancer.control import audit_log, migration, snapshot
from mapleline.balancer.control.audit_log import AuditLog
from mapleline.balancer.control.consensus import Record, referenced_digests
from mapleline.balancer.control.snapshot import SnapshotStore
from mapleline.balancer.control.state import ConfigurationRef, Replica, State, content_digest

ME, DISK = 1, 7


def body(version: int, size: int = 0) -> bytes:
    return json.dumps({"config_version": version}).encode().ljust(size)


def state(number: int, version: int, size: int = 0) -> State:
    voters = (Replica(ME, DISK), Replica(2, 8), Replica(3, 9))
    return State(number, 99, 1, voters, config=ConfigurationRef(version, content_digest(body(version, size))))


def bodies(*versions: int, size: int = 0) -> dict[int, bytes]:
    return {content_digest(body(v, size)): body(v, size) for v in versions}


#: what one replica goes through: founded, a change accepted, chosen, two at once, a promise alone, back to no body
STEPS = [
    (Record(ME, DISK, version=0), {}),
    (Record(ME, DISK, (1, 1, 1), (1, 1, 1), state(1, 1), version=1), bodies(1)),
    (Record(ME, DISK, (1, 1, 1), (1, 1, 1), state(1, 1), None, True, version=2), bodies(1)),
    (Record(ME, DISK, (2, 1, 1), (2, 1, 1), state(2, 2), state(1, 1), version=3), bodies(1, 2)),
    (Record(ME, DISK, (3, 2, 1), (2, 1, 1), state(2, 2), state(1, 1), version=4), bodies(1, 2)),
    (Record(ME, DISK, (3, 2, 1), (2, 1, 1), state(2, 2), state(5, 3), version=5), bodies(2, 3)),
    (Record(ME, DISK, (9, 2, 1), (9, 2, 1), state(6, 4), state(5, 3), version=6), bodies(3, 4)),
]


class Cut(BaseException):
    """The process ends here."""


class Calls:
    """In the place of `os`: passes on to a real folder, knows what of it is lasting, and fails or ends at one call.

    A file's bytes last from its `fsync` on; each name made, changed or taken away lasts by itself, or not at all, until
    the folder's `fsync`.
    """

    SEEN = ("open", "write", "fsync", "close", "rename", "unlink", "mkdir")

    def __init__(self, root: Path) -> None:
        self.root, self.at, self.stop_at, self.fault = root, 0, None, Cut()
        self.done: list[tuple[str, str]] = []
        self.lasting: dict[Path, dict[str, object]] = {root: {}}  #: by folder: its names, and a file or a folder
        self.pending: dict[Path, list[tuple[str, str, object]]] = {}
        self.names: dict[Path, dict[str, object]] = {root: {}}  #: as a running process sees them
        self.fds: dict[int, object] = {}

    def __getattr__(self, name):
        real = getattr(os, name)
        if name not in self.SEEN:
            return real

        def call(first, *more, **fields):
            if self.at == self.stop_at:
                fault, self.fault = self.fault, Cut()
                self.stop_at = None if isinstance(fault, OSError) else self.stop_at
                raise fault
            self.at += 1
            shown = self.fds[first] if isinstance(first, int) else Path(first)
            result = real(first, *more, **fields)
            getattr(self, "_" + name)(first, result, *more)
            self.done.append((name, getattr(shown, "name", "")))
            return result

        return call

    def _entry(self, folder: Path, op: str, name: str, what: object) -> None:
        if op == "unlink":
            self.names[folder].pop(name, None)
        else:
            self.names[folder][name] = what
        self.pending.setdefault(folder, []).append((op, name, what))

    def _open(self, path, fd, flags, *mode) -> None:
        path = Path(path)
        if path.is_dir():
            self.fds[fd] = path
            return
        file = self.names[path.parent].get(path.name)
        if file is None:
            file = File(path.name)
            self._entry(path.parent, "link", path.name, file)
        file.data = b"" if flags & os.O_TRUNC else file.data
        self.fds[fd] = file

    def _write(self, fd, count, data) -> None:
        self.fds[fd].data += bytes(data[:count])

    def _fsync(self, fd, _) -> None:
        what = self.fds[fd]
        if isinstance(what, Path):
            self.lasting[what] = dict(self.names[what])
            self.pending[what] = []
        else:
            what.synced = what.data

    def _close(self, fd, _) -> None:
        del self.fds[fd]

    def _rename(self, path, _, to) -> None:
        path, to = Path(path), Path(to)
        file = self.names[path.parent].pop(path.name)
        self.names[to.parent][to.name] = file
        self.pending.setdefault(path.parent, []).append(("rename", path.name, (to.name, file)))

    def _unlink(self, path, _) -> None:
        self._entry(Path(path).parent, "unlink", Path(path).name, None)

    def _mkdir(self, path, _) -> None:
        path = Path(path)
        self.lasting[path], self.names[path] = {}, {}
        self._entry(path.parent, "link", path.name, path)

    def after_power_loss(self):
        """Each folder that may be found, as names with their bytes; None: it isn't there."""
        folder = self.root / "word"
        pending = self.pending.get(self.root, [])
        if folder.name not in self.lasting[self.root]:
            yield None
        if folder.name not in self.lasting[self.root] and not pending:
            return
        ops = self.pending.get(folder, [])
        for kept in itertools.product((False, True), repeat=len(ops)):
            names = dict(self.lasting.get(folder, {}))
            for op, name, what in itertools.compress(ops, kept):
                if op == "unlink":
                    names.pop(name, None)
                elif op == "rename":
                    names.pop(name, None)
                    names[what[0]] = what[1]
                else:
                    names[name] = what
            for spoilt in itertools.product(*(file.may_be() for file in names.values())):
                yield dict(zip(names, spoilt, strict=True))


class File:
    """One file's bytes, whatever its name."""

    def __init__(self, name: str) -> None:
        self.name, self.data, self.synced = name, b"", None

    def may_be(self) -> set[bytes]:
        """What is read of it after a loss of power: unsynced bytes are there, in part, or not."""
        if self.synced == self.data:
            return {self.data}
        return {self.data, self.data[: len(self.data) // 2], b"", self.synced or b""}


class Folder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.word = self.folder / "word"
        real = mock.patch.object(os, "fsync")  # who asks for it, and when, is seen by `Calls`
        real.start()
        self.addCleanup(real.stop)

    def listed(self):
        return sorted(path.name for path in self.word.iterdir())

    def filled(self, upto: int = 3) -> SnapshotStore:
        """A store that went through the first steps."""
        store = SnapshotStore(str(self.folder))
        store.load()
        for record, contents in STEPS[: upto + 1]:
            store.save(record, contents)
        return store

    def loaded(self):
        return SnapshotStore(str(self.folder)).load()


class TestOrder(Folder):
    def test_contents_then_the_record_each_synced_with_its_folder_and_then_what_nothing_names_goes(self):
        store = self.filled(3)
        calls = Calls(self.folder)
        calls.names[self.word] = {path.name: File(path.name) for path in self.word.iterdir()}
        calls.lasting[self.word] = dict(calls.names[self.word])
        with mock.patch.object(snapshot, "os", calls):
            store.save(*STEPS[5])
        old, new = (f"c-{content_digest(body(v)):016x}" for v in (1, 3))

        def written(name):
            beside = name + ".new"
            return [
                ("open", beside),
                ("write", beside),
                ("fsync", beside),
                ("close", beside),
                ("rename", beside),
                ("open", "word"),
                ("fsync", "word"),
                ("close", "word"),
            ]

        self.assertEqual(calls.done, [*written(new), *written("replica"), ("unlink", old)])


class TestCuts(Folder):
    """Killed, or without power, between any two calls: what is found is the record before, or the one after."""

    def play(self, root: Path, calls: Calls, first: int = 0):
        """(the last record that was acknowledged, the one on its way) at the moment of the end."""
        acknowledged = coming = None
        store = SnapshotStore(str(root))
        try:
            with mock.patch.object(snapshot, "os", calls):
                acknowledged, _, bad = store.load()
                self.assertEqual(bad, [])
                for record, contents in STEPS[first:]:
                    coming = record
                    store.save(record, contents)
                    acknowledged = record
        except Cut:
            return acknowledged, coming, False
        return acknowledged, coming, True

    def believed(self, found: dict | None, may_be: tuple, note: str) -> None:
        with tempfile.TemporaryDirectory() as other:
            if found is not None:
                (Path(other) / "word").mkdir()
                for name, data in found.items():
                    (Path(other) / "word" / name).write_bytes(data)
            record, contents, bad = SnapshotStore(other).load()
            self.assertEqual(bad, [], note)
            self.assertIn(record, may_be, note)
            if record is not None:
                self.assertEqual(set(contents), referenced_digests(record), note)
                self.assertEqual({content_digest(one) for one in contents.values()}, set(contents), note)

    def every_cut(self, first_life: int | None = None) -> int:
        """Ends at each call in turn; with `first_life`, that call ended an earlier process, and power lasted."""
        seen = set()
        for cut in itertools.count():
            with tempfile.TemporaryDirectory() as root:
                calls = Calls(Path(root))
                earlier_one = None
                if first_life is not None:
                    calls.stop_at = first_life
                    earlier_one = self.play(Path(root), calls)
                    calls.fds.clear()
                    if earlier_one[2]:
                        return len(seen)
                    cut_at, held = calls.at + cut, earlier_one[:2]
                    first = next((n for n, step in enumerate(STEPS) if step[0] is held[1]), 0)
                else:
                    cut_at, held, first = cut, (None,), 0
                calls.stop_at = cut_at
                *may_be, over = self.play(Path(root), calls, first)
                if may_be[0] is None and first_life is not None:
                    may_be += held  # the load itself was cut: nothing was said yet
                for found in calls.after_power_loss():
                    one = (frozenset(found.items()) if found is not None else None, tuple(map(id, may_be)))
                    if one not in seen:
                        seen.add(one)
                        self.believed(found, tuple(may_be), f"cut {first_life}/{cut} after {calls.done[-3:]}")
            if over:
                return len(seen)
        raise AssertionError

    def test_after_a_loss_of_power_between_any_two_calls(self):
        self.assertGreater(self.every_cut(), 50)  # folders that differ

    def test_after_a_kill_and_then_a_loss_of_power(self):
        """What a process was killed before syncing is visible to the next one, and must not be taken for lasting."""
        with tempfile.TemporaryDirectory() as root:
            calls = Calls(Path(root))
            self.play(Path(root), calls)
        renames = [n for n, (name, _) in enumerate(calls.done) if name in ("rename", "mkdir")]
        for n in renames:
            for cut in (n + 1, n + 2):
                self.assertGreater(self.every_cut(cut), 0)

    def test_without_the_folders_sync_or_with_the_record_first_the_cuts_tell(self):
        def unsynced(folder):
            """Nothing."""

        def record_first(self, record, contents):
            snapshot.write_file(self.folder / "replica", msgspec.msgpack.encode(record))
            for content in sorted(referenced_digests(record) - self._digests):
                snapshot.write_file(self.folder / snapshot.content_file(content), contents[content])
                self._digests.add(content)

        def files_stay(self, fd, _):
            if isinstance(self.fds[fd], Path):
                synced(self, fd, _)

        synced = Calls._fsync

        def cleaned_first(self, record, contents):
            for content in self._digests - referenced_digests(record):
                snapshot.os.unlink(self.folder / snapshot.content_file(content))
            for content in sorted(referenced_digests(record) - self._digests):
                snapshot.write_file(self.folder / snapshot.content_file(content), contents[content])
            self._digests = referenced_digests(record)
            snapshot.write_file(self.folder / "replica", msgspec.msgpack.encode(record))

        for mutant in (
            mock.patch.object(snapshot, "sync_folder", unsynced),
            mock.patch.object(SnapshotStore, "save", record_first),
            mock.patch.object(SnapshotStore, "save", cleaned_first),
            mock.patch.object(Calls, "_fsync", files_stay),
        ):
            with mutant, self.assertRaises(AssertionError):
                self.every_cut()


class TestFullDisk(Folder):
    def test_a_refusal_at_each_call_leaves_nothing_half_and_the_next_save_works(self):
        """As it is with a full disk, one after the other: no room, or the sync says that it could not."""
        with tempfile.TemporaryDirectory() as root:
            calls = Calls(Path(root))
            with mock.patch.object(snapshot, "os", calls):
                store = SnapshotStore(root)
                store.load()
                begins = calls.at
                for record, contents in STEPS:
                    store.save(record, contents)
            last = calls.at
        for at in range(begins, last):
            with self.subTest(at=at), tempfile.TemporaryDirectory() as root:
                calls = Calls(Path(root))
                calls.stop_at, calls.fault = at, OSError(errno.ENOSPC, "No space left on device")
                refused, acknowledged = 0, None
                with mock.patch.object(snapshot, "os", calls):
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
                            found, held, bad = SnapshotStore(root).load()
                            self.assertEqual(bad, [])
                            self.assertIn(found, (acknowledged, record))
                            self.assertEqual(set(held), referenced_digests(found) if found is not None else set())
                self.assertLessEqual(refused, 1)
                last_one = msgspec.structs.replace(STEPS[-1][0], version=len(STEPS))
                store.save(last_one, STEPS[-1][1])
                self.assertEqual(SnapshotStore(root).load(), (last_one, STEPS[-1][1], []))
                wanted = {"replica", *(f"c-{content:016x}" for content in STEPS[-1][1])}
                self.assertEqual(set(os.listdir(Path(root) / "word")), wanted)

    def test_a_disk_that_stays_full_fills_no_further_with_each_try(self):
        store = self.filled(2)
        before = self.listed()
        full = mock.patch.object(snapshot.os, "fsync", side_effect=OSError(errno.ENOSPC, "No space left on device"))
        with full:
            for n in range(3, 30):
                with self.assertRaises(OSError):
                    store.save(Record(ME, DISK, (n, 1, 1), (n, 1, 1), state(n, n), version=n), bodies(n))
        self.assertEqual(self.listed(), before)
        self.assertEqual(self.loaded()[0], STEPS[2][0])
        store.save(Record(ME, DISK, (30, 1, 1), (30, 1, 1), state(30, 30), version=30), bodies(30))
        self.assertEqual(self.loaded()[1], bodies(30))


class TestSlowThreads(Folder):
    def test_no_older_record_over_a_newer(self):
        store = self.filled(4)
        store.save(*STEPS[2])
        self.assertEqual(self.loaded()[:2], STEPS[4])
        records = [(Record(ME, DISK, (n, 1, 1), (n, 1, 1), state(n, n), version=n), bodies(n)) for n in range(10, 60)]
        threads = [threading.Thread(target=store.save, args=one) for one in reversed(records)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(self.loaded(), (*records[-1], []))
        self.assertEqual(len(self.listed()), 2)

    def test_no_record_of_a_disk_that_this_folder_was_before(self):
        store = self.filled(3)
        another = Record(ME, DISK + 2)
        store.save(another, {})
        with self.assertRaises(OSError):  # not quietly: its promise would be said, and lie nowhere
            store.save(*STEPS[4])
        self.assertEqual(self.loaded(), (another, {}, []))
        self.assertEqual(self.listed(), ["replica"])


class TestSpoilt(Folder):
    def test_torn_empty_foreign_swapped_and_missing_files_are_named_and_nothing_is_believed(self):
        self.filled(3)
        one, two = (self.word / f"c-{content_digest(body(v)):016x}" for v in (1, 2))
        for path in (self.word / "replica", one):
            whole = path.read_bytes()
            another = two.read_bytes()
            for spoilt in (whole[:-1], b"", b"something else", whole[:-1] + b"!", another, whole * 2, None):
                with self.subTest(path.name, spoilt=spoilt):
                    path.unlink() if spoilt is None else path.write_bytes(spoilt)
                    record, _, bad = self.loaded()
                    self.assertEqual((record, len(bad)), (None, 1))
                    self.assertIn(path.name, str(bad[0]))
                    self.assertIn("missing" if spoilt is None else "", str(bad[0]))
                    found = data_folder.check_archive(self.folder)
                    self.assertTrue(found.is_error() and path.name in found.error and "\n" not in found.error)
                    if spoilt is not None:
                        self.assertEqual(path.read_bytes(), spoilt)  # a look changes nothing
            path.write_bytes(whole)
        swapped = one.read_bytes(), two.read_bytes()
        one.write_bytes(swapped[1])
        two.write_bytes(swapped[0])
        self.assertEqual(self.loaded()[0], None)
        self.assertEqual(len(self.loaded()[2]), 2)
        one.write_bytes(swapped[0])
        two.write_bytes(swapped[1])
        (self.word / "notes").write_text("not ours")
        self.assertEqual([str(fault) for fault in self.loaded().faults], ["notes: foreign"])

    def test_leftovers_are_harmless_and_go_at_the_next_save(self):
        self.filled(3)
        (self.word / "replica.new").write_bytes(b"a write that power cut off")
        (self.word / "c-0123456789abcdef").write_bytes(b"torn, and nothing names it")
        (self.word / f"c-{content_digest(body(9)):016x}").write_bytes(b"")
        store = SnapshotStore(str(self.folder))
        self.assertEqual(store.load(), (*STEPS[3], []))
        self.assertIn("of system 99", data_folder.check_archive(self.folder).ok)
        self.assertEqual(len(self.listed()), 6)
        store.save(*STEPS[4])
        self.assertEqual(self.listed(), sorted(["replica", *(f"c-{c:016x}" for c in STEPS[4][1])]))

    def test_what_is_quarantine_can_be_looked_at_and_makes_room(self):
        for _ in range(2):
            self.filled(3)
            (self.word / "replica").write_bytes(b"torn")
            (self.word / "core.d").mkdir()
            store = SnapshotStore(str(self.folder))
            self.assertTrue(store.load()[2])
            store.quarantine()
            self.assertEqual(self.listed(), [])
            self.assertEqual((self.folder / "spoilt" / "replica").read_bytes(), b"torn")
            self.assertEqual(store.load(), (None, {}, []))
            store.save(Record(ME, 11), {})
            self.assertEqual(self.loaded(), (Record(ME, 11), {}, []))

    def test_a_file_that_went_bad_while_it_lay_still_is_found_and_written_anew(self):
        store = self.filled(3)
        contents = STEPS[3][1]
        self.assertEqual([store.scrub(contents) for _ in range(3)], [None] * 3)
        for path in sorted(self.word.iterdir()):
            for spoil in (
                lambda path=path: path.write_bytes(path.read_bytes()[:-1]),
                path.unlink,
                lambda path=path: path.write_bytes(b""),
            ):
                spoil()
                self.assertEqual({store.scrub(contents) for _ in range(3)}, {None, path.name})
                self.assertEqual(self.loaded(), (*STEPS[3], []))

    def test_a_scrub_leaves_a_good_file_whose_body_is_not_held_any_more_and_says_of_a_bad_one_that_it_stays_so(self):
        store = self.filled(3)
        self.assertEqual([store.scrub({}) for _ in range(6)], [None] * 6)
        self.assertEqual(self.loaded(), (*STEPS[3], []))
        (self.word / f"c-{content_digest(body(2)):016x}").write_bytes(b"")
        with self.assertRaises(OSError):
            for _ in range(3):
                store.scrub({})
        store.save(*STEPS[5])

    def test_a_content_that_is_not_given_is_refused_before_anything_is_written(self):
        store = self.filled(2)
        before = self.listed()
        with self.assertRaises(KeyError):
            store.save(STEPS[3][0], {})
        self.assertEqual((self.listed(), self.loaded()[0]), (before, STEPS[2][0]))


class TestBounds(Folder):
    def test_after_a_thousand_changes_the_folder_holds_what_two_states_name(self):
        store, size, most = SnapshotStore(str(self.folder)), 50_000, 0
        store.load()
        before = None
        with mock.patch.object(snapshot.os, "fsync"):
            for n in range(1, 1001):
                new = state(n, n, size)
                store.save(Record(ME, DISK, (n, 1, 1), (n, 1, 1), new, before, version=n), bodies(n - 1, n, size=size))
                most = max(most, sum(path.stat().st_size for path in self.word.iterdir()))
                before = new
        self.assertEqual(len(self.listed()), 3)
        self.assertLess(most, 2 * (size + 100) + 1000)
        self.assertEqual(self.loaded()[0].accepted_state.number, 1000)


class TestOperatorsTools(Folder):
    def test_a_folder_is_told_in_a_line_and_one_that_holds_nothing_is_a_fault(self):
        self.assertIn("holds no word", data_folder.check_archive(self.folder).error)
        self.filled(2)
        self.assertEqual(
            data_folder.check_archive(self.folder).ok,
            "state 1 of system 99, epoch 1: a voter of 3; config 1, evacuated: none",
        )
        self.filled(3)
        self.assertIn("; accepted beyond it, and not known to be chosen", data_folder.check_archive(self.folder).ok)

    def test_a_dump_is_restored_into_an_empty_folder_only_and_has_no_vote(self):
        self.filled(2)
        dump = data_folder.dump_archive(self.folder).ok
        self.assertEqual(json.loads(dump)["state"]["config"][0], 1)
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(1).decode())
        with tempfile.TemporaryDirectory() as other:
            self.assertEqual(data_folder.restore_archive(Path(other), dump.encode()).ok, "state 1 written")
            record, contents, bad = SnapshotStore(other).load()
            self.assertEqual((record.earlier_chosen, contents, bad), (state(1, 1), bodies(1), []))
            self.assertEqual((record.ip, record.disk, record.accepted_state), (0, 0, None))
            self.assertIn("no voter of 3", data_folder.check_archive(Path(other)).ok)
            self.assertIn("already", data_folder.restore_archive(Path(other), dump.encode()).error)
        for text, why in (
            (b"{}", "no dump"),
            (b"[]", "no dump"),
            (dump[:-9].encode(), "no dump"),
            (dump.replace('"contents": {', '"contents": {}, "x": {').encode(), "missing"),
            (b'{"mapleline": 1, "word": []}', "config put"),
        ):
            with tempfile.TemporaryDirectory() as other:
                fault = data_folder.restore_archive(Path(other), text).error
                self.assertIn(why, fault)
                self.assertNotIn("\n", fault)
                self.assertEqual(list(Path(other).glob("word/*")), [])

    def test_a_content_that_is_not_the_one_it_is_named_after_is_not_restored(self):
        self.filled(2)
        dump = json.loads(data_folder.dump_archive(self.folder).ok)
        [name] = dump["contents"]
        dump["contents"][name] = "bm90IGl0"
        with tempfile.TemporaryDirectory() as other:
            self.assertIn(name, data_folder.restore_archive(Path(other), json.dumps(dump).encode()).error)
            self.assertEqual(list(Path(other).glob("word/*")), [])


class TestEarlierFormat(Folder):
    def setUp(self):
        super().setUp()
        self.word.mkdir()
        for key, version, said in (
            ("config", 7, body(7)),
            ("evacuation/z1", 1, b"begin"),
            ("evacuation/z2", 2, b"finish"),
        ):
            entry = msgspec.msgpack.encode([key, version, "t", said])
            self.put("r-" + key.encode().hex(), entry)
        self.put("core", msgspec.msgpack.encode({"core": [[1, 0], [2, 1], [3, 2]]}))

    def put(self, name, data):
        head = b"mapleline word 1\n%08x %d\n" % (snapshot.crc32(data), len(data))
        (self.word / name).write_bytes(head + data)

    def test_it_is_named_never_believed_quarantine_whole_and_its_configuration_carried_over(self):
        was = {path.name: path.read_bytes() for path in self.word.iterdir()}
        for at in (self.folder, self.folder):
            fault = data_folder.check_archive(at).error
            self.assertIn("earlier format: config 7, evacuated: z1;", fault)
            self.assertIn("--config", fault)
            self.assertEqual(data_folder.dump_config(at).ok, body(7).decode())
            self.assertEqual(json.loads(data_folder.dump_archive(at).ok)["mapleline"], 1)
            self.assertEqual({p.name: p.read_bytes() for p in self.word.iterdir()}, was)
        store = SnapshotStore(str(self.folder))
        record, _, bad = store.load()
        self.assertEqual((record, len(bad)), (None, 1))
        self.assertIn("earlier format", str(bad[0]))
        self.assertTrue(bad[0].is_legacy)
        store.quarantine()
        self.assertEqual({p.name: p.read_bytes() for p in (self.folder / migration.LEGACY_FOLDER).iterdir()}, was)
        store.save(*STEPS[0])
        self.assertEqual(self.loaded(), (STEPS[0][0], {}, []))
        # still to be had until there is one in the new format
        self.assertIn("beside it word-1, of the earlier format", data_folder.check_archive(self.folder).ok)
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(7).decode())
        store.save(*STEPS[2])
        self.assertEqual(data_folder.dump_config(self.folder).ok, body(1).decode())

    def test_a_spoilt_one_is_told_as_such(self):
        name = "r-" + b"config".hex()
        (self.word / name).write_bytes((self.word / name).read_bytes()[:-1])
        for tool in (data_folder.check_archive, data_folder.dump_archive, data_folder.dump_config):
            self.assertIn(f"{name}: torn", tool(self.folder).error)


class TestChronicle(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.history = AuditLog(folder.name, 3000)

    def test_versions_are_kept_once_and_pruned_from_the_oldest(self):
        bodies = {n: os.urandom(1000) for n in range(1, 5)}
        for n, said in bodies.items():
            for _ in range(2):
                self.history.record_change(100.0 + n, "config", n, "t", said)
        self.history.record_command(105.0, "config", 4, True, 0.08)
        rows = self.history.history()
        kept = [(row["version"], row["kept"]) for row in rows["word"]]
        self.assertEqual(kept, [(4, True), (3, True), (2, False), (1, False)])
        self.assertEqual([self.history.configuration(n) for n in (4, 2, 9)], [bodies[4], None, None])
        self.assertEqual(
            rows["orders"], [{"at": 105.0, "key": "config", "version": 4, "acknowledged": True, "took_s": 0.08}]
        )

    def test_rows_and_bytes_are_bounded_however_many_changes_came(self):
        def grown(changes: range) -> int:
            for n in changes:
                self.history.record_change(float(n), "config", n, "t", os.urandom(200))
                self.history.record_command(float(n), "config", n, True, 0.1)
            return self.history.path.stat().st_size

        with mock.patch.object(audit_log, "MAX_CHANGES", 40), mock.patch.object(audit_log, "MAX_COMMANDS", 40):
            after_few = grown(range(1, 101))
            after_many = grown(range(101, 501))
            rows = self.history.history(1000)
        self.assertEqual((len(rows["word"]), len(rows["orders"])), (40, 40))
        self.assertEqual(rows["word"][0]["version"], 500)
        self.assertLessEqual(after_many, after_few + 4096)

    def test_a_history_that_cannot_be_read_is_quarantine(self):
        self.history.record_change(1.0, "config", 1, "", b"one")
        self.history.path.write_bytes(b"torn" * 2000)
        self.history.record_change(2.0, "config", 2, "", b"two")
        self.assertEqual([r["version"] for r in self.history.history()["word"]], [2])
        self.assertTrue(self.history.path.with_suffix(".bad").exists())

    def test_a_disk_that_refuses_is_told_as_such(self):
        self.history.path = self.history.path.parent / "none" / "history.sqlite"
        with self.assertRaises(OSError):
            self.history.history()
