"""Passes events to the decision module, one at a time, and carries out its actions.

An exception in the module or in an action is counted and logged, and the events after it are handled.
"""

from __future__ import annotations

import traceback
from collections import deque
from typing import TYPE_CHECKING, Any

from ..telemetry import COUNTS, log

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ..policy.interface import Action, Event
    from .drivers import DecisionModule

    #: Carries out the actions of one type.
    ActionHandler = Callable[[Any], None]

MAX_REPORTS = 20  # tracebacks logged per process; further exceptions are only counted
INNERMOST_FRAMES = -4  # a negative limit of `format_exc` keeps the last frames


class ExceptionReports:
    """Logs the first `MAX_REPORTS` exceptions of a process."""

    def __init__(self) -> None:
        """Start with no exception logged."""
        self._reports = 0

    def write(self, event: str, subject: str) -> None:
        """Log the exception being handled.

        Args:
            event: The name of the log event.
            subject: The event, action or answer whose handling raised.
        """
        self._reports += 1
        if self._reports <= MAX_REPORTS:
            log(event, at=subject, trace=traceback.format_exc(limit=INNERMOST_FRAMES))


class ModuleDriver:
    """The queue of events; an event that occurs while another is being handled is queued."""

    def __init__(
        self,
        module: DecisionModule,
        clock: Callable[[], int],
        action_handlers: Mapping[type, ActionHandler],
        recover: Callable[[Event], list[Action]],
        on_idle: Callable[[], None],
        exceptions: ExceptionReports,
    ) -> None:
        """Connect a module.

        Args:
            module: The decision module.
            clock: Returns its time in nanoseconds.
            action_handlers: The function that carries out an action, by the action's type.
            recover: Returns the actions for an event whose handling raised.
            on_idle: Called when all queued events have been handled.
            exceptions: Where exceptions are reported.
        """
        self._module = module
        self._clock = clock
        self._action_handlers = action_handlers
        self._recover = recover
        self._on_idle = on_idle
        self._exceptions = exceptions
        self._queue: deque[Event] = deque()
        self._is_handling = False

    def notify(self, event: Event) -> None:
        """Pass an event to the module, after the events that are queued or being handled."""
        self._queue.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._queue:
                for action in self._decide(self._queue.popleft()):
                    self._carry_out(action)
        finally:
            self._is_handling = False
        self._on_idle()

    def _decide(self, event: Event) -> list[Action]:
        try:
            return self._module.handle(self._clock(), event)
        except Exception:  # a bug in the module must not stop the ingress
            COUNTS["module.raised"] += 1
            self._exceptions.write("module raised", type(event).__name__)
            return self._recover(event)

    def _carry_out(self, action: Action) -> None:
        try:
            self._action_handlers[type(action)](action)
        except Exception:  # the next actions are still carried out; the request's deadline stays
            COUNTS["engine.action_failed"] += 1
            self._exceptions.write("action failed", type(action).__name__)
