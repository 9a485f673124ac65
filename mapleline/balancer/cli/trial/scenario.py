"""The actions of the check's steps on the trial cluster, and their conditions."""

from __future__ import annotations

import json
import os
import socket
import threading
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from ...control.snapshot import FOLDER, QUARANTINE_FOLDER
from ..operator_client import call_any_address, rollback
from .cluster import HttpAnswer, TrialCluster
from .frozen_node_observer import FREEZE_S, LOOKUP_PATH, FrozenNodeObserver
from .layout import CONTROL_PORT, DIRECTORY_PORT, INITIAL_NODES, JOINING_NODE, NODE_ADDRESSES, control_addresses
from .sample_configuration import DEFAULT_PREFIX, sample_configuration

COMPETING_ROUNDS = 10
COMMAND_INTERVAL_S = 0.5
OLD_EXPIRES_AFTER_S = 5.0
"""`revoke_timeout`: how long a configuration may be in use after a newer one was acknowledged."""
LONG_BODY = b"0123456789abcdef" * (3 << 16)
"""3 MiB: longer than the bodies that a node buffers, so that it is streamed."""
TORN_FILE_BYTES = 40
FROZEN_NODE = "z3"
LEAVING_NODE = "z2"
FROZEN_PREFIX = "/still/"


class ScenarioError(Exception):
    """A forbidden behaviour was observed; the text describes it."""


class Scenario:
    """The actions and conditions of the check's steps."""

    def __init__(self, cluster: TrialCluster) -> None:
        """Create a scenario for a cluster without a configuration."""
        self._cluster = cluster
        self._version = 0
        self._body = b""
        self._observer: FrozenNodeObserver | None = None
        self._epoch_before_join = 0

    # -- the operator --------------------------------------------------------------------------------------

    def put_configuration(self, prefix: str = DEFAULT_PREFIX, name: str | None = None) -> bool:
        """Send a new version to the named node, or to any; return whether it was acknowledged."""
        version = self._version + 1
        body = sample_configuration(version, prefix)
        if name is not None:
            is_acknowledged = self._cluster.replace_configuration(name, body) == 200
        else:
            is_acknowledged = call_any_address(control_addresses(), "POST", "/config/replace", body).is_ok()
        if is_acknowledged:
            self._version = version
            self._body = body
        return is_acknowledged

    def roll_back(self, version: int) -> bool:
        """Put an earlier version in force again."""
        is_acknowledged = rollback(control_addresses(), version).is_ok()
        if is_acknowledged:
            self._version += 1
        return is_acknowledged

    def begin_evacuation(self) -> bool:
        """Evacuate the second zone."""
        return call_any_address(control_addresses(), "POST", "/evacuations/z2/begin").is_ok()

    def _status(self, name: str) -> dict[str, Any]:
        answer = self._cluster.get(name, CONTROL_PORT, "/status")
        status: dict[str, Any] = json.loads(answer.text) if answer.status == 200 else {}
        return status

    def is_formed(self, name: str) -> bool:
        """Return whether the node is a voter and no change of voters is in progress."""
        return bool(self._status(name).get("formed", False))

    def _voters(self, name: str) -> list[str]:
        return [row["address"] for row in self._status(name).get("members", ()) if row["part"] == "voter"]

    def _all_read(self, body: bytes, names: Iterable[str] = INITIAL_NODES) -> bool:
        """Return whether each of the nodes reads back exactly this configuration."""
        expected = HttpAnswer(200, body.decode())
        return all(self._cluster.get(name, CONTROL_PORT, "/config/read") == expected for name in names)

    # -- clients -------------------------------------------------------------------------------------------

    def is_served(self, name: str, path: str, request_id: str) -> bool:
        """Return whether a client's request is answered with 200."""
        return self._cluster.send_client_request(name, path, request_id).status == 200

    def is_served_by_all(self, path: str, id_prefix: str) -> bool:
        """Return whether each of the initial nodes serves the path."""
        return all(self.is_served(name, path, f"{id_prefix}-{name}") for name in INITIAL_NODES)

    def is_path_unknown(self) -> bool:
        """Return whether the route of the first configuration is no longer served."""
        return self._cluster.send_client_request("z1", "/slots/x", "c").status == 404

    def is_long_body_echoed(self) -> bool:
        """Return whether a body longer than a node buffers is streamed to a server and back unchanged."""
        answer = self._cluster.send_client_request("z1", "/book/long", "long", "POST", LONG_BODY)
        return answer.status == 200 and answer.text.endswith("\n" + LONG_BODY.decode())

    def is_evacuated_zone_idle(self) -> bool:
        """Return whether none of eight requests went to a server of the second zone."""
        answers = (self._cluster.send_client_request("z1", "/slots/x", f"e{number}") for number in range(8))
        return all("i-z2" not in answer.text for answer in answers)

    def is_booked_once(self) -> bool:
        """Return whether a booking succeeds and is executed by one server, once."""
        if not self.is_served("z1", "/book/7", "once"):
            return False
        return sum(server.request_ids.count("once") for server in self._cluster.servers.values()) == 1

    # -- competing and repeated commands -------------------------------------------------------------------

    def send_competing_configurations(self) -> bool:
        """Send two configurations with the same version to two nodes at once; one must be confirmed, for good."""
        for round_number in range(COMPETING_ROUNDS):
            self._run_competing_round(round_number)
        return True

    def _run_competing_round(self, round_number: int) -> None:
        version = self._version + 1
        names = [INITIAL_NODES[(round_number + offset) % len(INITIAL_NODES)] for offset in (0, 1)]
        bodies = [sample_configuration(version, f"/{segment}/") for segment in ("one", "two")]
        statuses = self._send_at_once(names, bodies)
        if sorted(statuses) != [200, 409]:
            raise ScenarioError(f"round {round_number}: {statuses}")
        self._version = version
        self._body = bodies[statuses.index(200)]
        repeated = [
            self._cluster.replace_configuration(name, body) for name, body in zip(reversed(names), bodies, strict=True)
        ]
        if repeated != statuses or not self._all_read(self._body):
            raise ScenarioError(f"round {round_number}: {statuses}, then {repeated}, or another was read")

    def _send_at_once(self, names: list[str], bodies: list[bytes]) -> list[int]:
        """Send each body to its node at the same moment; return the statuses."""
        statuses = [0] * len(names)
        start = threading.Barrier(len(names))

        def send(index: int) -> None:
            start.wait()
            statuses[index] = self._cluster.replace_configuration(names[index], bodies[index])

        threads = [threading.Thread(target=send, args=(index,)) for index in range(len(names))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return statuses

    def repeat_after_lost_answer(self) -> bool:
        """Close the connection before the answer to a command; other nodes have to confirm the repeated command."""
        body = sample_configuration(self._version + 1, "/again/")
        head = b"POST /config/replace HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
        with socket.create_connection((NODE_ADDRESSES["z1"], CONTROL_PORT), timeout=3) as connection:
            connection.sendall(head + body)
        if self._cluster.replace_configuration("z2", body) != 200:
            return False
        self._version += 1
        self._body = body
        return self._cluster.replace_configuration("z3", body) == 200

    def is_newest_confirmed_again(self) -> bool:
        """Return whether every node confirms the newest configuration once more."""
        return self._is_answered_by_all(self._body, 200)

    def is_other_content_refused(self) -> bool:
        """Return whether every node refuses another configuration under the newest version."""
        return self._is_answered_by_all(sample_configuration(self._version, "/other/"), 409)

    def _is_answered_by_all(self, body: bytes, expected_status: int) -> bool:
        """Return whether every node answers with this status, and the newest configuration stays in force."""
        statuses = (self._cluster.replace_configuration(name, body) for name in INITIAL_NODES)
        return all(status == expected_status for status in statuses) and self._all_read(self._body)

    # -- a frozen node -------------------------------------------------------------------------------------

    def freeze(self) -> None:
        """Freeze a node, and start to observe its answers."""
        self._observer = FrozenNodeObserver(self._cluster, FROZEN_NODE, f"{FROZEN_PREFIX}x")
        self._cluster.suspend(FROZEN_NODE)

    def send_commands_while_frozen(self) -> bool:
        """Send commands to another node while the node is frozen."""
        assert self._observer is not None
        acknowledged = self._observer.acknowledged
        deadline = time.monotonic() + FREEZE_S
        while time.monotonic() < deadline:
            if not self.put_configuration(f"/free/{self._version + 1}/", name="z1"):
                raise ScenarioError("a command was not acknowledged")
            acknowledged.newest_version = self._version
            if acknowledged.old_expires_at == float("inf"):
                acknowledged.old_expires_at = time.monotonic() + OLD_EXPIRES_AFTER_S
            time.sleep(COMMAND_INTERVAL_S)
        return True

    def resume(self) -> None:
        """Resume the frozen node."""
        self._cluster.resume(FROZEN_NODE)

    def has_caught_up(self) -> bool:
        """Return whether the resumed node has the newest configuration.

        Raises:
            ScenarioError: The node has answered with an older configuration.
        """
        assert self._observer is not None
        is_current = self._all_read(self._body, [FROZEN_NODE]) and self.is_formed(FROZEN_NODE)
        if not is_current or self._cluster.get(FROZEN_NODE, DIRECTORY_PORT, LOOKUP_PATH).status != 200:
            return False
        if not self._observer.counts.has_all():
            return False  # a request of each kind must have been answered
        faults = self._observer.stop()
        if faults:
            raise ScenarioError("; ".join(faults[:3]))
        return True

    # -- nodes that are lost, join and leave ---------------------------------------------------------------

    def restart_with_damaged_disk(self, name: str, damage: Callable[[Path], object]) -> None:
        """Kill a node, damage its folder of control state, and start it."""
        self._cluster.kill(name)
        damage(self._cluster.folder / name / FOLDER)
        self._cluster.start(name, is_initial=False)

    def restart_all(self) -> None:
        """Kill all nodes at once, and start them."""
        for name in INITIAL_NODES:
            self._cluster.kill(name)
        for name in INITIAL_NODES:
            self._cluster.start(name, is_initial=False)

    def is_served_after_restart(self) -> bool:
        """Return whether every node serves by the configuration of the last command."""
        return self.is_served_by_all(f"/free/{self._version}/x", "s")

    def is_torn_file_repaired(self, name: str) -> bool:
        """Return whether the torn file was logged and quarantined, and the node is a voter again."""
        log = self._cluster.log_path(name).read_text()
        quarantined = list((self._cluster.folder / name / QUARANTINE_FOLDER).glob("c-*"))
        return self.is_formed(name) and "replica: corrupt file" in log and bool(quarantined)

    def join(self) -> None:
        """Start a fourth node."""
        self._epoch_before_join = self._status("z1")["epoch"]
        self._cluster.start(JOINING_NODE, is_initial=False)

    def is_joined(self) -> bool:
        """Return whether the fourth node is a voter; a change of voters raises the epoch by two."""
        epoch = self._status("z1").get("epoch", 0)
        has_four_voters = len(self._voters("z1")) == len(INITIAL_NODES) + 1
        return epoch >= self._epoch_before_join + 2 and has_four_voters and self.is_formed(JOINING_NODE)

    def leave(self) -> None:
        """Shut a node down gracefully."""
        status = self._cluster.terminate(LEAVING_NODE)
        if status:
            raise ScenarioError(f"it left with status {status}")

    def is_released(self) -> bool:
        """Return whether each of the other three nodes knows exactly these three as voters."""
        address = NODE_ADDRESSES[LEAVING_NODE]
        voters = (self._voters(name) for name in ("z1", "z3", JOINING_NODE))
        return all(len(known) == 3 and address not in known for known in voters)


def tear_content_file(folder: Path) -> None:
    """Truncate a configuration's file in a folder of control state."""
    os.truncate(next(folder.glob("c-*")), TORN_FILE_BYTES)
