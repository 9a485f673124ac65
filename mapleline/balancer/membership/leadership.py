"""Leader election for one singleton role: fetching the endpoint list from the platform (pure).

A leader that shuts down names its successor.  A lost leader is replaced by the candidate that gets the votes of more
than half of the voters; each voter has one vote per term, as in Raft (Ongaro and Ousterhout, 2014).  Each heartbeat
carries the term and the leader.  Terms only rise.  Two leaders can have the same term if a voter lost its memory; then
the higher address wins, so that heartbeats suffice for agreement.  Until all agree there may be two leaders.  The role
tolerates that: both fetch the list (docs/design/system.md).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .member import Member

NO_LEADER = 0  #: stands for the leader's address if there is none


def choose_successor(candidates: Iterable[Member]) -> int:
    """Return the address of the best candidate: one with a disk, then the lowest ring position; else 0."""
    successor = min(candidates, key=lambda member: (not member.has_disk, member.ring_position), default=None)
    return successor.ip if successor is not None else NO_LEADER


class Leadership:
    """The state of one ingress: the leader that it knows, its vote, and its own candidacy.

    Attributes:
        term: The highest term with a known leader.
        leader_ip: The leader of that term; `NO_LEADER` until one is known.
    """

    def __init__(self, local_ip: int) -> None:
        """Create the state of an ingress that knows no leader."""
        self.term = 0
        self.leader_ip = NO_LEADER
        self._local_ip = local_ip
        self._voted_term = 0  #: the highest term for which this ingress has voted
        self._candidate_term = 0  #: the term of the last election that this ingress started
        self._votes: set[int] = set()  #: the voters of this ingress in that election

    @property
    def is_leader(self) -> bool:
        """Whether this ingress is the leader, as far as it knows."""
        return self.leader_ip == self._local_ip

    def observe_leader(self, term: int, leader_ip: int) -> bool:
        """Adopt the leader that another ingress knows if it is newer; return whether it was adopted."""
        if (term, leader_ip) <= (self.term, self.leader_ip):
            return False
        self.term = term
        self.leader_ip = leader_ip
        return True

    def transfer_leadership(self, successor_ip: int) -> None:
        """Name the successor in a new term; does nothing unless this ingress leads and there is a successor."""
        if self.is_leader and successor_ip != NO_LEADER:
            self.term += 1
            self.leader_ip = successor_ip

    def start_election(self) -> int:
        """Become a candidate after the leader was lost; return the new term, for which votes are to be requested."""
        self._candidate_term = max(self.term, self._voted_term, self._candidate_term) + 1
        self._votes = set()
        return self._candidate_term

    def grant_vote(self, term: int, is_leader_lost: bool) -> bool:
        """Return whether this ingress votes for a candidate: once per term, and only if it has lost the leader too."""
        if not is_leader_lost or term <= max(self.term, self._voted_term):
            return False
        self._voted_term = term
        return True

    def receive_vote(self, term: int, voter_ip: int, voters: Collection[int]) -> bool:
        """Count a vote for this ingress; return whether it has just become the leader."""
        if term != self._candidate_term or voter_ip not in voters or term <= self.term:
            return False
        self._votes.add(voter_ip)
        if len(self._votes & set(voters)) <= len(voters) // 2:
            return False
        self.term = term
        self.leader_ip = self._local_ip
        return True
