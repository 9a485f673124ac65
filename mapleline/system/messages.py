"""What the system's processes say to each other: datagrams for the small, one call a connection for the rest."""

from __future__ import annotations

import msgspec

from .archive import Entry, Mark


class Beat(msgspec.Struct, array_like=True, tag=1):
    """A heartbeat: the whole register, and the versions held of everything else."""

    rows: bytes
    marks: list[Mark]
    list_digest: int
    list_age_ms: int
    reply: bool = False  #: the sender wants the table of the one it is sent to
    term: int = 0  #: who asks the platform for the list, as the sender knows it (`custody.py`)
    holder: int = 0


class Probe(msgspec.Struct, array_like=True, tag=2):
    """Asks a machine of the core, or another ingress that can reach it, what it holds."""

    nonce: int


class Held(msgspec.Struct, array_like=True, tag=3):
    """The answer; who is not formed (an empty disk) counts for nothing in a quorum.

    `age_ms`: what was acknowledged that long ago is held here for certain; negative if that isn't known.
    """

    nonce: int
    formed: bool
    core: list[int]
    marks: list[Mark]
    age_ms: int = -1


class Tally(msgspec.Struct, array_like=True, tag=4):
    """Adds to a name's count and asks for it; a repeat has the same nonce and adds nothing."""

    nonce: int
    tenant: str
    window: int
    units: float
    homes: list[str]
    limit: float  #: of one window: how exact the count has to be
    ask: bool = True


class Total(msgspec.Struct, array_like=True, tag=5):
    """The count before this add, and that of the window before."""

    nonce: int
    before: float
    previous: float


class Busy(msgspec.Struct, array_like=True, tag=7):
    """Requests that the sender has out, and tenths that end badly, by the checksum of a server's id."""

    out: dict[int, int]
    sick: dict[int, int]


class Part(msgspec.Struct, array_like=True, frozen=True):
    """One name: what each holder counted, as (address, version, count); the higher version of a row wins."""

    tenant: str
    window: int
    rows: list[tuple[int, int, float]]


class Parts(msgspec.Struct, array_like=True, tag=6):
    """One holder to the other; answered by an empty one, which is itself not answered."""

    parts: list[Part]
    answer: bool = False


class Claim(msgspec.Struct, array_like=True, tag=8):
    """Asks a machine of the core to vote for the sender as the holder of the list."""

    term: int


class Granted(msgspec.Struct, array_like=True, tag=9):
    """The vote."""

    term: int


class Store(msgspec.Struct, array_like=True, tag=10):
    """Sync this to disk."""

    entry: Entry
    marked: int = 0  #: machines that are taken away from the core, as the sender knows


class Compare(msgspec.Struct, array_like=True, tag=14):
    """The digests of what lasts at the sender, one a range of keys."""

    digests: list[int]


class Differ(msgspec.Struct, array_like=True, tag=15):
    """What the answering one holds in the ranges that differ."""

    marks: list[Mark]


class Stored(msgspec.Struct, array_like=True, tag=11):
    ok: bool


class Pull(msgspec.Struct, array_like=True, tag=12):
    """Give what you hold of these keys (and the list of servers)."""

    keys: list[str]
    servers: bool = False


class Pulled(msgspec.Struct, array_like=True, tag=13):
    entries: list[Entry]
    list_body: bytes = b""
    list_age_ms: int = 0


Datagram = Beat | Probe | Held | Tally | Total | Parts | Busy | Claim | Granted
Call = Store | Pull | Compare
Reply = Stored | Pulled | Differ

encode = msgspec.msgpack.Encoder().encode
decode_datagram = msgspec.msgpack.Decoder(Datagram).decode
decode_call = msgspec.msgpack.Decoder(Call).decode
decode_reply = msgspec.msgpack.Decoder(Reply).decode
