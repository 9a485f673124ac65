"""What is on its way between the processes of the model, and which links are cut."""

from __future__ import annotations

from typing import NamedTuple


class Link(NamedTuple):
    """A direction between two addresses."""

    source: int
    destination: int


class InFlight(NamedTuple):
    """A message on its way."""

    link: Link
    deliver: object  #: called without arguments


class Network:
    """Messages lie in `wire`, oldest first, until the search delivers or loses them.

    Attributes:
        wire: messages on their way.
        cut_links: directions in which nothing arrives.
    """

    def __init__(self):
        self.wire = []
        self.cut_links = set()

    def add(self, source, destination, deliver):
        self.wire.append(InFlight(Link(source, destination), deliver))

    def deliver(self, index, is_kept=False):
        """Deliver one message; with `is_kept` it will arrive once more."""
        if not self.wire:
            return
        index %= len(self.wire)
        message = self.wire[index]
        if message.link in self.cut_links:
            return
        if not is_kept:
            del self.wire[index]
        message.deliver()

    def lose(self, index):
        if self.wire:
            del self.wire[index % len(self.wire)]

    def lose_all(self):
        self.wire = []

    def take_arriving(self):
        """Take out all messages whose links are not cut."""
        arriving = [message for message in self.wire if message.link not in self.cut_links]
        self.wire = [message for message in self.wire if message.link in self.cut_links]
        return arriving

    def cut_off(self, ip, other, both_directions):
        if ip != other:
            links = {Link(ip, other), Link(other, ip)} if both_directions else {Link(ip, other)}
            self.cut_links |= links

    def is_cut(self, ip, other):
        """Whether either direction is cut."""
        return bool({Link(other, ip), Link(ip, other)} & self.cut_links)

    def heal(self):
        self.cut_links = set()
