"""What the system's processes say to each other: datagrams for the small, one call a connection for the rest."""

from __future__ import annotations

import msgspec

from ..control.commands import Command
from ..control.consensus import NONE, Ballot
from ..control.state import State


class Heartbeat(msgspec.Struct, array_like=True, tag=1):
    """A heartbeat: the whole register, and the versions held of everything else."""

    rows: bytes
    number: int  #: of the agreed state that the sender holds
    list_digest: int
    list_age_ms: int
    reply: bool = False  #: the sender wants the table of the one it is sent to
    term: int = 0  #: who asks the platform for the list, as the sender knows it (`custody.py`)
    holder: int = 0


class StateQuery(msgspec.Struct, array_like=True, tag=2):
    """Asks a machine with a disk, or another ingress that can reach the core, what it holds.

    `disk`, `seen`: the disk that was known there, and the highest turn of its record that it told.
    """

    nonce: int
    disk: int = 0
    seen: int = 0


class StateReport(msgspec.Struct, array_like=True, tag=3):
    """The answer, of what is on the disk.

    `turn`: of the record; `accepted`: the number of the state that was accepted last, whether chosen or not; `number`:
    of the newest that is known to be chosen, and `kept` of that on the disk; `age_ms`: what was chosen that long ago is
    held here for certain, negative if that isn't known.  `disk` is 0 where there is none.  `theirs`, `seen`: the disk
    that was known at the asker, and the highest turn of its record that it told; `sure`: the sender's own votes count.
    """

    nonce: int
    disk: int
    turn: int
    accepted: int
    number: int
    kept: int
    age_ms: int = -1
    theirs: int = 0
    seen: int = 0
    sure: bool = True


class Chosen(msgspec.Struct, array_like=True, tag=16):
    """What was accepted under that ballot is chosen."""

    ballot: Ballot
    number: int


class CounterIncrement(msgspec.Struct, array_like=True, tag=4):
    """Adds to a name's count and asks for it; a repeat has the same nonce and adds nothing.

    With `ask` false: what was added under that nonce is taken off, or will not be added if it comes later.
    """

    nonce: int
    tenant: str
    window: int
    units: float
    homes: list[str]
    limit: float  #: of one window: how exact the count has to be
    ask: bool = True


class CounterValue(msgspec.Struct, array_like=True, tag=5):
    """The count before this add, and that of the window before."""

    nonce: int
    before: float
    previous: float


class LoadReport(msgspec.Struct, array_like=True, tag=7):
    """Requests that the sender has out, and tenths that end badly, by the checksum of a server's id."""

    out: dict[int, int]
    sick: dict[int, int]
    turn: int = 0  #: the sender's count of these: an older one says nothing


class CounterRows(msgspec.Struct, array_like=True, frozen=True):
    """One name: what each holder counted, as (address, version, count); the higher version of a row wins."""

    tenant: str
    window: int
    rows: list[tuple[int, int, float]]


class CounterSync(msgspec.Struct, array_like=True, tag=6):
    """One holder to the other; answered by an empty one, which is itself not answered."""

    parts: list[CounterRows]
    answer: bool = False


class VoteRequest(msgspec.Struct, array_like=True, tag=8):
    """Asks a machine of the core to vote for the sender as the holder of the list."""

    term: int


class Vote(msgspec.Struct, array_like=True, tag=9):
    """The vote."""

    term: int


class Prepare(msgspec.Struct, array_like=True, tag=10):
    """Asks a replica to promise a ballot; `known`: the number of the state that the sender knows, `content`: the
    configuration whose body it has.
    """

    ballot: Ballot
    known: int
    content: int = 0


class Promised(msgspec.Struct, array_like=True, tag=11):
    """`ok`: it stands on that disk; and what was accepted there, under which ballot."""

    ok: bool
    disk: int
    promised: Ballot = NONE
    ballot: Ballot = NONE
    state: State | None = None
    body: bytes | None = None  #: of the configuration that the state names, where that is another than `content`
    turn: int = 0  #: of the record on the disk


class Accept(msgspec.Struct, array_like=True, tag=14):
    """Asks a replica to accept a state; `body` goes along where it is new."""

    ballot: Ballot
    state: State
    body: bytes | None = None


class Accepted(msgspec.Struct, array_like=True, tag=15):
    """`ok`: it stands on that disk; `lacks`: the body that the state names is wanted first."""

    ok: bool
    disk: int
    promised: Ballot = NONE
    lacks: bool = False
    turn: int = 0  #: of the record on the disk


class Propose(msgspec.Struct, array_like=True, tag=17):
    """An operator's order, for a replica to propose; it may come twice."""

    order: Command
    body: bytes | None = None


class Proposed(msgspec.Struct, array_like=True, tag=18):
    """What the operator is to be told, once that stands."""

    status: int
    text: str = ""


class FetchState(msgspec.Struct, array_like=True, tag=12):
    """Give the state that you hold if it is above `number` (whole, or as who has no disk needs it), with the body of
    its configuration unless that is `content`; and the list of servers.
    """

    number: int = 0
    content: int = 0
    whole: bool = False
    state: bool = True
    servers: bool = False


class FetchedState(msgspec.Struct, array_like=True, tag=13):
    state: State | None = None
    body: bytes | None = None
    list_body: bytes = b""
    list_age_ms: int = 0


class LeaseRequest(msgspec.Struct, array_like=True, tag=40):
    """Asks a machine of the core for these numbers, for a life of the sender (`leases.py`)."""

    nonce: int
    life: int
    numbers: list[int]


class LeaseGrant(msgspec.Struct, array_like=True, tag=41):
    """Those that it grants, and how many the core are as it knows."""

    nonce: int
    core: int
    numbers: list[int]


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
)
Call = Prepare | Accept | Propose | FetchState
Reply = Promised | Accepted | Proposed | FetchedState

encode = msgspec.msgpack.Encoder().encode
decode_datagram = msgspec.msgpack.Decoder(Datagram).decode
decode_call = msgspec.msgpack.Decoder(Call).decode
decode_reply = msgspec.msgpack.Decoder(Reply).decode
