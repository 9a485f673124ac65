"""An operator's command that is waiting for its result."""

from __future__ import annotations

from dataclasses import dataclass, field

from twisted.internet.defer import Deferred

from .commands import Command, CommandResult


@dataclass(eq=False, slots=True)
class PendingCommand:
    """A command that is not decided yet; it may arrive twice, which has the effect of one arrival."""

    command: Command
    body: bytes | None  #: the configuration's body, for a command that replaces the configuration
    deadline: float  #: on this node's clock, in seconds
    decided: Deferred[CommandResult] = field(default_factory=Deferred)

    @property
    def is_resolved(self) -> bool:
        """Whether the result is known, or the command has timed out."""
        return self.decided.called

    def resolve(self, result: CommandResult) -> None:
        """Fire `decided` with the result; later results are ignored."""
        if not self.is_resolved:
            self.decided.callback(result)
