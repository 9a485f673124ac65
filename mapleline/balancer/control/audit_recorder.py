"""Records changes of the control state and operators' commands in the audit log, in a thread.

Serving does not depend on the audit log: a disk error is logged and otherwise ignored.
"""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping
from typing import TYPE_CHECKING, NamedTuple

from .audit_log import CONFIG_KEY

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from ..environment import Environment
    from .audit_log import AuditLog
    from .state import State

logger = logging.getLogger(__name__)

EVACUATION_BEGUN = b"begin"
EVACUATION_FINISHED = b"finish"


class AuditedChange(NamedTuple):
    """One change; the fields are arguments of `AuditLog.record_change`."""

    key: str
    version: int
    content_id: str
    content: bytes


class AuditRecorder:
    """Writes to and reads from the audit log of one node; a node without a disk has no audit log."""

    def __init__(self, environment: Environment) -> None:
        """Open the audit log of the node's data folder, if it has one."""
        self._environment = environment
        self._audit_log = environment.audit_log()

    @property
    def has_audit_log(self) -> bool:
        """Whether this node keeps an audit log."""
        return self._audit_log is not None

    def record_transition(self, previous: State | None, state: State, contents: Mapping[int, bytes]) -> None:
        """Record the changes that came into force with a chosen state.

        Args:
            previous: the state that was in force before; None if there was none.
            state: the chosen state.
            contents: bodies of configurations by digest, including the one of `state`.
        """
        if self._audit_log is None:
            return
        for change in _changes(previous, state, contents):
            self._run(self._audit_log.record_change, self._environment.unix_time(), *change)

    def record_command(self, key: str, version: int, is_acknowledged: bool, took_s: float) -> None:
        """Record an operator's command that this node answered, `took_s` seconds after its submission."""
        if self._audit_log is not None:
            self._run(
                self._audit_log.record_command, self._environment.unix_time(), key, version, is_acknowledged, took_s
            )

    def read(self, query: Callable[[AuditLog], object]) -> Deferred[object]:
        """Fire with the result of a query on the audit log; with None on a disk error."""
        return self._run(query, self._audit_log)

    def _run(self, function: Callable[..., object], *args: object) -> Deferred[object]:
        return self._environment.run_in_thread(function, *args).addErrback(_log_disk_error)


def _log_disk_error(reason: Failure) -> None:
    reason.trap(OSError)  # type: ignore[no-untyped-call]  # Twisted has no types for it
    logger.info("audit log unavailable", extra={"error": reason.getErrorMessage()})


def _changes(previous: State | None, state: State, contents: Mapping[int, bytes]) -> Iterator[AuditedChange]:
    """Yield the configuration, if it changed, then the evacuations that began or finished."""
    if state.config is not None and (previous is None or previous.config != state.config):
        version, digest = state.config
        yield AuditedChange(CONFIG_KEY, version, f"{digest:016x}", contents[digest])
    evacuated_before = previous.evacuated if previous is not None else ()
    for zone in sorted(set(state.evacuated) ^ set(evacuated_before)):
        action = EVACUATION_BEGUN if zone in state.evacuated else EVACUATION_FINISHED
        yield AuditedChange(f"evacuation/{zone}", state.number, "", action)
