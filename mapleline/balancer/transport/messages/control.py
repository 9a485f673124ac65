"""Messages of the control plane: state queries, the consensus protocol, forwarded commands and state transfer."""

from __future__ import annotations

import msgspec

from ...control.commands import Command
from ...control.consensus import NO_BALLOT, Ballot
from ...control.state import State


class StateQuery(msgspec.Struct, array_like=True, tag=2):
    """From an ingress to each replica, or to another ingress that reaches the replicas: asks for a `StateReport`."""

    nonce: int  #: 31 bits; the report repeats it
    receiver_disk_id: int = 0  #: the receiver's disk as last reported to the sender; 0 for none
    receiver_record_version: int = 0  #: the highest record version reported for that disk


class StateReport(msgspec.Struct, array_like=True, tag=3):
    """The answer to a `StateQuery`: the states on the sender's disk, and those that it knows.

    The `*_number` fields are numbers of control states; 0 stands for none.
    """

    nonce: int  #: the nonce of the query
    disk_id: int  #: the sender's disk; 0 if it has none
    record_version: int  #: the version of the replica's record on the disk
    accepted_number: int  #: the state accepted last, whether chosen or not
    committed_number: int  #: the newest state known to be chosen
    durable_number: int  #: the newest state on the disk that is known to be chosen
    staleness_ms: int = -1  #: the sender has all states chosen at least this long ago; -1 if unknown
    receiver_disk_id: int = 0  #: as in `StateQuery`
    receiver_record_version: int = 0  #: as in `StateQuery`
    is_verified: bool = True  #: others have confirmed that the sender's disk is complete, so its votes count


class Prepare(msgspec.Struct, array_like=True, tag=10):
    """From a proposer to a replica: asks it to promise to accept nothing under a lower ballot (Paxos, phase 1a)."""

    ballot: Ballot
    known_number: int  #: the number of the state that the sender knows to be chosen
    known_content: int = 0  #: digest of the configuration whose body the sender has


class Promised(msgspec.Struct, array_like=True, tag=11):
    """The reply to `Prepare` (phase 1b): whether the promise is given, and which state the replica has accepted."""

    is_granted: bool  #: the promise is given, and stored on the disk `disk_id`
    disk_id: int  #: the replica's disk; 0 if it does not take part
    promised_ballot: Ballot = NO_BALLOT  #: the highest ballot promised
    accepted_ballot: Ballot = NO_BALLOT
    accepted_state: State | None = None  #: accepted under `accepted_ballot`
    configuration_body: bytes | None = None  #: of that state; None if its digest is `Prepare.known_content`
    record_version: int = 0  #: the version of the record on the disk; 0 if no promise was given


class Accept(msgspec.Struct, array_like=True, tag=14):
    """From a proposer to a replica: asks it to accept this state (phase 2a)."""

    ballot: Ballot
    state: State
    configuration_body: bytes | None = None  #: the body of the state's configuration if that is new


class Accepted(msgspec.Struct, array_like=True, tag=15):
    """The reply to `Accept` (phase 2b)."""

    is_granted: bool  #: the state is accepted, and stored on the disk `disk_id`
    disk_id: int  #: the replica's disk; 0 if it does not take part
    promised_ballot: Ballot = NO_BALLOT  #: the highest ballot promised
    needs_body: bool = False  #: the replica cannot accept the state without the configuration's body
    record_version: int = 0  #: the version of the record on the disk


class Chosen(msgspec.Struct, array_like=True, tag=16):
    """From a proposer to the replicas: the state accepted under this ballot is chosen."""

    ballot: Ballot
    state_number: int


class Propose(msgspec.Struct, array_like=True, tag=17):
    """From an ingress to a replica: asks it to propose this idempotent command of an operator."""

    command: Command
    configuration_body: bytes | None = None  #: the body of the configuration that the command names


class Proposed(msgspec.Struct, array_like=True, tag=18):
    """The reply to `Propose`, once the command's outcome is chosen."""

    status: int  #: the HTTP status for the operator: 200, 409, or 503 if the outcome is unknown
    text: str = ""  #: the explanation for the operator


class FetchState(msgspec.Struct, array_like=True, tag=12):
    """From an ingress to another that has newer data: asks for the data."""

    known_number: int = 0  #: only a state with a higher number is sent
    known_content: int = 0  #: digest of the configuration whose body the sender has
    wants_full_state: bool = False  #: the state as a replica stores it; else without the parts that only replicas need
    wants_state: bool = True
    wants_endpoints: bool = False


class FetchedState(msgspec.Struct, array_like=True, tag=13):
    """The reply to `FetchState`."""

    state: State | None = None  #: None if none was wanted or there is none newer
    configuration_body: bytes | None = None  #: the body of that state's configuration, unless the receiver has it
    endpoints_body: bytes = b""  #: the endpoint list; empty if none was wanted or none is known
    endpoints_age_ms: int = 0  #: time since the list was requested from the platform
