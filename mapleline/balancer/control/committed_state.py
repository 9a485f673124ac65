"""What one ingress holds: the newest state that is known to be chosen, and the contents that states name (pure)."""

from __future__ import annotations

from collections.abc import Iterable

from .snapshot import whole
from .state import State, digest


class CommittedState:
    """`state` only climbs in one life."""

    def __init__(self) -> None:
        self.state: State | None = None
        self.contents: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """Of the state that is held; 0 for none."""
        return self.state.number if self.state is not None else 0

    @property
    def content(self) -> int:
        """The digest of the configuration in force; 0 for none."""
        return self.state.config[1] if self.state is not None and self.state.config is not None else 0

    @property
    def body(self) -> bytes | None:
        """The configuration in force, as it was sent."""
        return self.contents.get(self.content)

    def put(self, state: State, body: bytes | None) -> bool:
        """A body that came with a state, if it is what the state names; says whether all that it names is here."""
        if body is not None and state.config is not None and digest(body) == state.config[1]:
            self.contents[state.config[1]] = body
        return whole(state, self.contents)

    def newer(self, state: State) -> bool:
        """Whether a chosen state is of this system and beyond what is held."""
        return self.state is None or state.number > self.state.number and state.system == self.state.system

    def prune(self, wanted: Iterable[int]) -> None:
        """Only bodies that something names stay."""
        keep = {*wanted, self.content}
        self.contents = {name: body for name, body in self.contents.items() if name in keep}

    def voters(self) -> list[int]:
        """Addresses of those whose word counts."""
        return sorted({r.ip for r in self.state.members()}) if self.state is not None else []
