"""Messages of the control plane: queries of replicas, the consensus protocol, forwarded commands and state transfer."""

from __future__ import annotations

import msgspec

from ...control.commands import Command
from ...control.consensus import NO_BALLOT, Ballot
from ...control.state import State


class StateQuery(msgspec.Struct, array_like=True, tag=2):
    """From an ingress to each replica, or to another ingress that reaches them: what do you hold?"""

    nonce: int  #: 31 bits; the report has it as well
    receiver_disk_id: int = 0  #: of the disk that the sender last heard of there; 0 for none
    receiver_record_version: int = 0  #: the highest that this disk has reported to the sender


class StateReport(msgspec.Struct, array_like=True, tag=3):
    """The answer to a `StateQuery`: what is on the sender's disk, and what it knows.

    Numbers are those of control states; 0 stands for none.
    """

    nonce: int  #: of the query
    disk_id: int  #: 0: the sender has no disk
    record_version: int  #: of the replica's record on the disk
    accepted_number: int  #: accepted last, whether chosen or not
    committed_number: int  #: the newest that is known to be chosen
    durable_number: int  #: the newest known to be chosen that is on the disk
    staleness_ms: int = -1  #: all that was chosen so long ago or earlier is held here; -1: not known
    receiver_disk_id: int = 0  #: as in `StateQuery`
    receiver_record_version: int = 0  #: as in `StateQuery`
    is_verified: bool = True  #: others have confirmed that the sender's disk lacks nothing: its votes count


class Prepare(msgspec.Struct, array_like=True, tag=10):
    """From a proposer to a replica: promise to accept nothing of a lower ballot (Paxos, phase 1a)."""

    ballot: Ballot
    known_number: int  #: of the state that the sender knows to be chosen
    known_content: int = 0  #: digest of the configuration whose body the sender has


class Promised(msgspec.Struct, array_like=True, tag=11):
    """The reply to `Prepare` (phase 1b): whether it is promised, and what the replica has accepted before."""

    is_granted: bool  #: and the promise is on that disk
    disk_id: int  #: 0: the replica takes no part
    promised_ballot: Ballot = NO_BALLOT  #: the highest
    accepted_ballot: Ballot = NO_BALLOT
    accepted_state: State | None = None  #: accepted under `accepted_ballot`
    configuration_body: bytes | None = None  #: of that state's configuration, unless that is `Prepare.known_content`
    record_version: int = 0  #: of the record on the disk; 0 where nothing was promised


class Accept(msgspec.Struct, array_like=True, tag=14):
    """From a proposer to a replica: accept this state (phase 2a)."""

    ballot: Ballot
    state: State
    configuration_body: bytes | None = None  #: of the state's configuration, where it is a new one


class Accepted(msgspec.Struct, array_like=True, tag=15):
    """The reply to `Accept` (phase 2b)."""

    is_granted: bool  #: and the state is on that disk
    disk_id: int  #: 0: the replica takes no part
    promised_ballot: Ballot = NO_BALLOT  #: the highest
    needs_body: bool = False  #: nothing is accepted before the configuration's body comes along
    record_version: int = 0  #: of the record on the disk


class Chosen(msgspec.Struct, array_like=True, tag=16):
    """From a proposer to the replicas: what was accepted under this ballot is chosen."""

    ballot: Ballot
    state_number: int


class Propose(msgspec.Struct, array_like=True, tag=17):
    """From an ingress to a replica: propose this command of an operator.  It is idempotent."""

    command: Command
    configuration_body: bytes | None = None  #: of the configuration that the command names


class Proposed(msgspec.Struct, array_like=True, tag=18):
    """The reply to `Propose`, once the command's outcome is chosen."""

    status: int  #: for the operator, as of HTTP: 200, 409, or 503 where the outcome is not known
    text: str = ""  #: for people


class FetchState(msgspec.Struct, array_like=True, tag=12):
    """From an ingress to one that holds something newer: send it."""

    known_number: int = 0  #: only a newer state is wanted
    known_content: int = 0  #: digest of the configuration whose body the sender has
    wants_full_state: bool = False  #: as a replica keeps it; else without what only replicas need
    wants_state: bool = True
    wants_endpoints: bool = False


class FetchedState(msgspec.Struct, array_like=True, tag=13):
    """The reply to `FetchState`."""

    state: State | None = None  #: None: none wanted, or none newer
    configuration_body: bytes | None = None  #: of that state's configuration, unless the receiver has it
    endpoints_body: bytes = b""  #: the endpoint list; empty: none wanted, or none known
    endpoints_age_ms: int = 0  #: since it was asked for at the platform
