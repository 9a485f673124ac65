"""Messages of the membership protocol and of the election of the endpoint poller."""

from __future__ import annotations

import msgspec


class Heartbeat(msgspec.Struct, array_like=True, tag=1):
    """From each ingress to a few others, in turn to all: the sender's membership table and how recent its data are."""

    member_rows: bytes  #: the sender's membership table (`heartbeat_codec`), its own row first
    state_number: int  #: the newest control state that the sender knows to be chosen; 0 for none
    endpoints_digest: int  #: 32-bit checksum of the sender's endpoint list; 0 for none
    endpoints_age_ms: int  #: time since that list was requested from the platform
    wants_reply: bool = False  #: the receiver is to send a heartbeat back
    leader_term: int = 0  #: the term of the leader that the sender knows (`membership/leadership.py`)
    leader_ip: int = 0  #: the ingress that polls the platform in that term; 0 for none


class VoteRequest(msgspec.Struct, array_like=True, tag=8):
    """From a candidate to each voter: asks for a vote for the sender as leader."""

    term: int  #: the term in which the candidate would lead


class Vote(msgspec.Struct, array_like=True, tag=9):
    """From a voter to the candidate: grants the vote.  A request that is not granted gets no answer."""

    term: int  #: the term of the request
