"""The newest state that a node knows to be chosen, and the configuration bodies in its memory (pure)."""

from __future__ import annotations

from collections.abc import Iterable

from .state import State, content_digest, has_contents


class CommittedState:
    """The committed state of one process; its number never decreases.

    Attributes:
        state: the newest state known to be chosen.
        contents: bodies of configurations by digest, including those of states that are not chosen yet.
    """

    def __init__(self) -> None:
        """Begin without a state."""
        self.state: State | None = None
        self.contents: dict[int, bytes] = {}

    @property
    def number(self) -> int:
        """The number of the committed state; 0 without one."""
        return self.state.number if self.state is not None else 0

    @property
    def digest(self) -> int:
        """The digest of the configuration in force; 0 without one."""
        return self.state.config.digest if self.state is not None and self.state.config is not None else 0

    @property
    def body(self) -> bytes | None:
        """The body of the configuration in force, as the operator sent it."""
        return self.contents.get(self.digest)

    def add_body(self, state: State, body: bytes | None) -> bool:
        """Store a body received with a state, if it matches the digest that the state references.

        Returns:
            Whether the body that the state references is stored now.
        """
        if body is not None and state.config is not None and content_digest(body) == state.config.digest:
            self.contents[state.config.digest] = body
        return has_contents(state, self.contents)

    def is_newer(self, state: State) -> bool:
        """Return whether a chosen state belongs to this system and is newer than the committed one."""
        return self.state is None or state.number > self.state.number and state.system == self.state.system

    def prune_contents(self, referenced: Iterable[int]) -> None:
        """Drop all bodies except the one in force and those of the given digests."""
        retained = {*referenced, self.digest}
        self.contents = {digest: body for digest, body in self.contents.items() if digest in retained}

    def voter_ips(self) -> list[int]:
        """Return the addresses of all voters, ascending; an empty list if no state is known."""
        return sorted({voter.ip for voter in self.state.all_voters()}) if self.state is not None else []
