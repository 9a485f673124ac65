"""Messages of the membership protocol and of the election of the endpoint poller."""

from __future__ import annotations

import msgspec


class Heartbeat(msgspec.Struct, array_like=True, tag=1):
    """From each ingress to a few others, by turns to all: what exists, and how new what the sender holds is."""

    member_rows: bytes  #: the sender's membership table (`heartbeat_codec`), its own row first
    state_number: int  #: of the newest control state that the sender knows to be chosen; 0 for none
    endpoints_digest: int  #: 32 bits, of the sender's endpoint list; 0 for none
    endpoints_age_ms: int  #: since that list was asked for at the platform
    wants_reply: bool = False  #: the receiver is to send a heartbeat back
    leader_term: int = 0  #: of the leader that the sender knows (`membership/leadership.py`)
    leader_ip: int = 0  #: who polls the platform in that term; 0 for none


class VoteRequest(msgspec.Struct, array_like=True, tag=8):
    """From a candidate to each voter: vote for the sender as the leader."""

    term: int  #: the candidate's


class Vote(msgspec.Struct, array_like=True, tag=9):
    """From a voter to the candidate that asked; a vote that is not granted is not answered."""

    term: int  #: as requested
