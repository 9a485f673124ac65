"""Leader election for one singleton role, here: who fetches the endpoint list from the platform (pure).

A leader that shuts down names its successor; one that is lost is replaced by whoever gets the votes of more than half
of the voters, one vote a voter and term, as in Raft (Ongaro and Ousterhout, 2014).  Term and leader travel with each
heartbeat.  Terms only rise; of two leaders of one term (a voter lost its memory) the higher address wins, so that
heartbeats alone make all agree.  Until then two may lead; the role bears that: both ask the platform
(docs/design/system.md).
"""

from __future__ import annotations

from collections.abc import Collection, Iterable

from .member import Member

NO_LEADER = 0  #: in the place of an address


def choose_successor(candidates: Iterable[Member]) -> int:
    """Return the address of the next leader: members with a disk first, then by ring position; 0 if there is none."""
    successor = min(candidates, key=lambda member: (not member.has_disk, member.ring_position), default=None)
    return successor.ip if successor is not None else NO_LEADER


class Leadership:
    """One ingress's knowledge of the leader, its vote, and its own candidacy.

    Attributes:
        term: The highest term with a known leader.
        leader_ip: The leader of that term; `NO_LEADER` until one is known.
    """

    def __init__(self, local_ip: int) -> None:
        """Start without a leader."""
        self.term = 0
        self.leader_ip = NO_LEADER
        self._local_ip = local_ip
        self._voted_term = 0  #: the highest term for which this ingress has voted
        self._candidate_term = 0  #: the term of the last election that this ingress started
        self._votes: set[int] = set()  #: who voted for it then

    @property
    def is_leader(self) -> bool:
        """Whether this ingress is the leader, as far as it knows."""
        return self.leader_ip == self._local_ip

    def observe_leader(self, term: int, leader_ip: int) -> bool:
        """Take the leader that another ingress knows, if it is newer; return whether it is."""
        if (term, leader_ip) <= (self.term, self.leader_ip):
            return False
        self.term = term
        self.leader_ip = leader_ip
        return True

    def transfer_leadership(self, successor_ip: int) -> None:
        """Name the successor in a new term; does nothing on who is not the leader, or where there is no successor."""
        if self.is_leader and successor_ip != NO_LEADER:
            self.term += 1
            self.leader_ip = successor_ip

    def start_election(self) -> int:
        """The leader is lost: return the new term for which the voters are to be asked."""
        self._candidate_term = max(self.term, self._voted_term, self._candidate_term) + 1
        self._votes = set()
        return self._candidate_term

    def grant_vote(self, term: int, is_leader_lost: bool) -> bool:
        """Return whether this ingress votes for a candidate: once a term, and only where it misses the leader too."""
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
