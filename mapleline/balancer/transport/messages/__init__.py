"""The messages between ingresses, and their encoding: MessagePack arrays that begin with a tag.

On the wire, fields are identified by their positions: their names may change, but their order, types, defaults and the
tags may not.  A new field goes to the end and has a default, so that old and new versions understand each other during
an update.
"""

from __future__ import annotations

import msgspec

from .control import (
    Accept,
    Accepted,
    Chosen,
    FetchedState,
    FetchState,
    Prepare,
    Promised,
    Propose,
    Proposed,
    StateQuery,
    StateReport,
)
from .membership import Heartbeat, Vote, VoteRequest
from .proxy import LeaseGrant, LeaseRequest, LoadReport
from .quota import CounterIncrement, CounterRows, CounterSync, CounterValue, ReplicaCount

__all__ = [
    "Accept",
    "Accepted",
    "Call",
    "Chosen",
    "CounterIncrement",
    "CounterRows",
    "CounterSync",
    "CounterValue",
    "Datagram",
    "FetchState",
    "FetchedState",
    "Heartbeat",
    "LeaseGrant",
    "LeaseRequest",
    "LoadReport",
    "Prepare",
    "Promised",
    "Propose",
    "Proposed",
    "ReplicaCount",
    "Reply",
    "StateQuery",
    "StateReport",
    "Vote",
    "VoteRequest",
    "decode_call",
    "decode_datagram",
    "decode_reply",
    "encode",
]

Datagram = (
    Heartbeat
    | StateQuery
    | StateReport
    | Chosen
    | CounterIncrement
    | CounterValue
    | CounterSync
    | LoadReport
    | VoteRequest
    | Vote
    | LeaseRequest
    | LeaseGrant
)  #: may be lost, duplicated, delayed and reordered; the handlers tolerate that (docs/design/fencing.md)
Call = Prepare | Accept | Propose | FetchState  #: each is sent over its own connection
Reply = Promised | Accepted | Proposed | FetchedState  #: the replies to the calls above, in the same order

encode = msgspec.msgpack.Encoder().encode
decode_datagram = msgspec.msgpack.Decoder(Datagram).decode
decode_call = msgspec.msgpack.Decoder(Call).decode
decode_reply = msgspec.msgpack.Decoder(Reply).decode
