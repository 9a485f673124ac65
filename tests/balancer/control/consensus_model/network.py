"""The messages in flight between the processes of the model, and the partitioned links."""

from __future__ import annotations

from typing import NamedTuple


class Link(NamedTuple):
    """One direction between two addresses."""

    source: int
    destination: int


class InFlight(NamedTuple):
    """A message in flight."""

    link: Link
    deliver: object  #: called without arguments


class Network:
    """Holds messages until the search delivers or drops them.

    Attributes:
        in_flight: the messages in flight, oldest first.
        cut_links: directions in which no message is delivered.
    """

    def __init__(self):
        self.in_flight = []
        self.cut_links = set()

    def add(self, source, destination, deliver):
        self.in_flight.append(InFlight(Link(source, destination), deliver))

    def deliver(self, index, is_kept=False):
        """Deliver the message at `index` modulo the number of messages; with `is_kept`, it stays in flight as well."""
        if not self.in_flight:
            return
        index %= len(self.in_flight)
        message = self.in_flight[index]
        if message.link in self.cut_links:
            return
        if not is_kept:
            del self.in_flight[index]
        message.deliver()

    def drop(self, index):
        if self.in_flight:
            del self.in_flight[index % len(self.in_flight)]

    def drop_all(self):
        self.in_flight = []

    def take_deliverable(self):
        """Remove and return all messages whose links are not cut."""
        deliverable = [message for message in self.in_flight if message.link not in self.cut_links]
        self.in_flight = [message for message in self.in_flight if message.link in self.cut_links]
        return deliverable

    def cut_off(self, ip, other, both_directions):
        if ip != other:
            links = {Link(ip, other), Link(other, ip)} if both_directions else {Link(ip, other)}
            self.cut_links |= links

    def is_cut(self, ip, other):
        """Return whether either direction is cut."""
        return bool({Link(other, ip), Link(ip, other)} & self.cut_links)

    def heal(self):
        self.cut_links = set()
