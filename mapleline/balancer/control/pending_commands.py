"""An operator's command between its arrival and its result."""

from __future__ import annotations

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from .commands import Command, CommandResult


@dataclass(eq=False, slots=True)
class PendingCommand:
    """A command that is not decided yet; it may come twice, and is then decided as one."""

    command: Command
    body: bytes | None  #: of the configuration, for a command that replaces it
    deadline: float  #: on this node's clock
    decided: Deferred[CommandResult] = field(default_factory=Deferred)

    @property
    def is_resolved(self) -> bool:
        """Whether the result is known, or was given up."""
        return self.decided.called

    def resolve(self, result: CommandResult) -> None:
        """Give the result to who waits for it; only the first one counts."""
        if not self.is_resolved:
            self.decided.callback(result)
