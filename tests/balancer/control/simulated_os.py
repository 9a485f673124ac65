"""A substitute for the module `os` that forwards calls to a real folder and models the files after a loss of power."""

import itertools
import os
from pathlib import Path

from mapleline.balancer.control.snapshot import FOLDER

RECORDED = ("open", "write", "fsync", "close", "rename", "unlink", "mkdir")


class ProcessKilled(BaseException):  # noqa: N818  # not an Exception, so that the code under test cannot catch it
    """The simulated process is killed at this call."""


class SimulatedFile:
    """The content of one file, independent of its name."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.data = b""
        self.synced_data: bytes | None = None

    def possible_data(self) -> set[bytes]:
        """Return the possible contents after a loss of power: unsynced bytes may be present, partial or absent."""
        if self.synced_data == self.data:
            return {self.data}
        return {self.data, self.data[: len(self.data) // 2], b"", self.synced_data or b""}


class SimulatedOs:
    """Forwards the calls of one process, or of several in sequence, below a root folder.

    A file's bytes are durable after its `fsync`.  Until the `fsync` of a folder, each creation, change and removal of a
    name in it may or may not survive a loss of power, independently of the others.

    Attributes:
        call_count: number of calls made.
        stop_at: number of the call before which `fault` is raised; None for no fault.
        fault: `ProcessKilled`, or an OSError that is raised once.
        calls: for each call, its name and the name of the file or folder.
        visible_names: by folder, its names with their files or folders, as running processes see them.
        durable_names: the same, as found after a loss of power.
        pending: by folder, changes of names that are not durable yet.
        descriptors: the open files and folders, by file descriptor.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        self.call_count = 0
        self.stop_at: int | None = None
        self.fault: BaseException = ProcessKilled()
        self.calls: list[tuple[str, str]] = []
        self.durable_names: dict[Path, dict[str, object]] = {root: {}}
        self.pending: dict[Path, list[tuple[str, str, object]]] = {}
        self.visible_names: dict[Path, dict[str, object]] = {root: {}}
        self.descriptors: dict[int, object] = {}

    def __getattr__(self, name):
        real_call = getattr(os, name)
        if name not in RECORDED:
            return real_call

        def call(path_or_descriptor, *args, **kwargs):
            self._stop_if_due()
            self.call_count += 1
            target = (
                self.descriptors[path_or_descriptor]
                if isinstance(path_or_descriptor, int)
                else Path(path_or_descriptor)
            )
            result = real_call(path_or_descriptor, *args, **kwargs)
            getattr(self, f"_on_{name}")(path_or_descriptor, result, *args)
            self.calls.append((name, getattr(target, "name", "")))
            return result

        return call

    def _stop_if_due(self) -> None:
        if self.call_count == self.stop_at:
            fault, self.fault = self.fault, ProcessKilled()
            self.stop_at = None if isinstance(fault, OSError) else self.stop_at
            raise fault

    def _change_name(self, folder: Path, change: str, name: str, target: object) -> None:
        if change == "unlink":
            self.visible_names[folder].pop(name, None)
        else:
            self.visible_names[folder][name] = target
        self.pending.setdefault(folder, []).append((change, name, target))

    def _on_open(self, path, descriptor, flags, *mode) -> None:
        path = Path(path)
        if path.is_dir():
            self.descriptors[descriptor] = path
            return
        file = self.visible_names[path.parent].get(path.name)
        if file is None:
            file = SimulatedFile(path.name)
            self._change_name(path.parent, "link", path.name, file)
        file.data = b"" if flags & os.O_TRUNC else file.data
        self.descriptors[descriptor] = file

    def _on_write(self, descriptor, count, data) -> None:
        self.descriptors[descriptor].data += bytes(data[:count])

    def _on_fsync(self, descriptor, _) -> None:
        target = self.descriptors[descriptor]
        if isinstance(target, Path):
            self.durable_names[target] = dict(self.visible_names[target])
            self.pending[target] = []
        else:
            target.synced_data = target.data

    def _on_close(self, descriptor, _) -> None:
        del self.descriptors[descriptor]

    def _on_rename(self, path, _, target) -> None:
        path, target = Path(path), Path(target)
        file = self.visible_names[path.parent].pop(path.name)
        self.visible_names[target.parent][target.name] = file
        self.pending.setdefault(path.parent, []).append(("rename", path.name, (target.name, file)))

    def _on_unlink(self, path, _) -> None:
        self._change_name(Path(path).parent, "unlink", Path(path).name, None)

    def _on_mkdir(self, path, _) -> None:
        path = Path(path)
        self.durable_names[path] = {}
        self.visible_names[path] = {}
        self._change_name(path.parent, "link", path.name, path)

    def folders_after_power_loss(self):
        """Yield each possible content of the replica's folder, as bytes by name; None if the folder is missing."""
        folder = self.root / FOLDER
        pending_in_root = self.pending.get(self.root, [])
        if folder.name not in self.durable_names[self.root]:
            yield None
        if folder.name not in self.durable_names[self.root] and not pending_in_root:
            return
        changes = self.pending.get(folder, [])
        for survives in itertools.product((False, True), repeat=len(changes)):
            names = dict(self.durable_names.get(folder, {}))
            for change in itertools.compress(changes, survives):
                _apply_change(names, *change)
            for data in itertools.product(*(file.possible_data() for file in names.values())):
                yield dict(zip(names, data, strict=True))


def _apply_change(names, change, name, target) -> None:
    if change == "unlink":
        names.pop(name, None)
    elif change == "rename":
        names.pop(name, None)
        new_name, file = target
        names[new_name] = file
    else:
        names[name] = target
