"""The memory that the processes of one ingress share.

Every word of it has exactly one writer, so that nobody waits for anybody: a worker writes its own region and
reads the others', the supervisor writes the vetoes, and the region of a worker that is dead.  What is longer
than a word carries a checksum: who reads a row that is half written, because its writer is at it or has died
there, sees none.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import blake2b

VETOES = 1 << 16  # servers by number; a number that comes round again is of a server long gone
ID_SETS, ID_WAYS = 4096, 8  # open requests of one worker: more than any worker may have open
ID_BYTES = ID_SETS * ID_WAYS * 8
ROW = struct.Struct("=QqqdddddqdqdqI4x")
CHECKED = ROW.size - 8  # bytes under the checksum
ACCOUNT_WAYS = 4
TRIES = 3  # readings of a row that changes meanwhile
SPREADER = 0x9E3779B97F4A7C15


def size_of(workers: int, accounts: int) -> int:
    """Bytes of the whole board."""
    return VETOES + workers * (ID_BYTES + _sets(accounts) * ACCOUNT_WAYS * ROW.size)


def _sets(accounts: int) -> int:
    return max(1, accounts // ACCOUNT_WAYS)


class Vetoes:
    """Servers to which nothing new may go, by number; written by the supervisor before it tells anybody.

    A worker looks here right before it writes a request: however late it hears the news, it obeys.
    """

    def __init__(self, board: memoryview) -> None:
        self._bytes = board[:VETOES]

    def set(self, server: int, gone: bool) -> None:
        self._bytes[server % VETOES] = gone

    def __getitem__(self, server: int) -> int:
        return self._bytes[server % VETOES]


class IdBoard:
    """The ids of one ingress's open requests: hashes of 64 bits, a region a worker."""

    def __init__(self, board: memoryview, workers: int, number: int) -> None:
        words = [self._words(board, n) for n in range(workers)]
        self._own, self._others = words[number], words[:number] + words[number + 1 :]
        self._held: dict[bytes, int] = {}  # id: its place here, or -1 where none was free
        self.unshown = 0  #: ids for which there was none

    @staticmethod
    def _words(board: memoryview, n: int) -> memoryview:
        at = VETOES + n * ID_BYTES
        return board[at : at + ID_BYTES].cast("Q")

    def claim(self, request_id: bytes) -> bool:
        """Hold the id, unless this or another worker does.

        It is shown first and looked for afterwards: of two workers that claim at the same moment at least one
        sees the other, and no id is ever held twice.  Both may be turned down.
        """
        if request_id in self._held:
            return False
        word = int.from_bytes(blake2b(request_id, digest_size=8).digest()) or 1
        at = (word % ID_SETS) * ID_WAYS
        place = -1
        for n in range(at, at + ID_WAYS):
            if not self._own[n]:
                self._own[n] = word
                place = n
                break
        else:
            self.unshown += 1
        for words in self._others:
            if word in words[at : at + ID_WAYS].tolist():
                if place >= 0:
                    self._own[place] = 0
                return False
        self._held[request_id] = place
        return True

    def release(self, request_id: bytes) -> None:
        place = self._held.pop(request_id, -1)
        if place >= 0:
            self._own[place] = 0

    @staticmethod
    def clear(board: memoryview, number: int) -> int:
        """Forget what a dead worker held; returns how many requests that were."""
        words = IdBoard._words(board, number)
        held = sum(1 for word in words.tolist() if word)
        words.cast("B")[:] = bytes(ID_BYTES)
        return held


@dataclass(slots=True)
class Row:
    """One customer's use as one worker knows it; see `policy.state.Customer` for the fields."""

    key: int
    win: int
    known_at: int  #: ns; 0: no total seen in this window
    prev: float
    known: float
    blind: float
    own: float
    owed: float
    out: int
    saved: float
    saved_at: int  #: ns, as the next
    store: float
    store_at: int


class AccountBoard:
    """The customers' rows: a set-associative table a worker; a full set loses the row written longest ago."""

    def __init__(self, board: memoryview, workers: int, number: int, accounts: int) -> None:
        self._sets = _sets(accounts)
        size = self._sets * ACCOUNT_WAYS * ROW.size
        start = VETOES + workers * ID_BYTES
        regions = [board[start + n * size : start + (n + 1) * size] for n in range(workers)]
        self._own, self._others = regions[number], regions[:number] + regions[number + 1 :]
        self._places: dict[int, int] = {}  # customers in the own region: offset
        self._keys: dict[int, int] = {}  # and the other way round
        self._turn = 0
        self.torn = 0  #: rows that could not be read whole
        self.lost = 0  #: own rows overwritten by another customer's
        for offset in range(0, size, ROW.size):  # a dead worker's place is taken with all it knew
            row = self._read(self._own, offset)
            if row is not None:
                self._places[row.key] = offset
                self._keys[offset] = row.key

    def _set(self, key: int) -> int:
        spread = (key * SPREADER & 0xFFFFFFFFFFFFFFFF) >> 32
        return spread % self._sets * ACCOUNT_WAYS * ROW.size

    def _read(self, region: memoryview, offset: int) -> Row | None:
        for _ in range(TRIES):
            data = bytes(region[offset : offset + ROW.size])
            *fields, check = ROW.unpack(data)
            if check and zlib.crc32(data[:CHECKED]) == check:
                return Row(*fields)
            if not any(data[:CHECKED]):
                return None
        self.torn += 1
        return None

    def own(self, key: int) -> Row | None:
        offset = self._places.get(key)
        return None if offset is None else self._read(self._own, offset)

    def show(self, row: Row) -> None:
        """Write a row of this worker's."""
        offset = self._places.get(row.key)
        if offset is None:
            offset = self._place(row.key)
        data = ROW.pack(
            row.key,
            row.win,
            row.known_at,
            row.prev,
            row.known,
            row.blind,
            row.own,
            row.owed,
            row.out,
            row.saved,
            row.saved_at,
            row.store,
            row.store_at,
            0,
        )[:CHECKED]
        self._own[offset : offset + ROW.size] = data + struct.pack("=I4x", zlib.crc32(data) or 1)

    def _place(self, key: int) -> int:
        start = self._set(key)
        offsets = range(start, start + ACCOUNT_WAYS * ROW.size, ROW.size)
        offset = next((o for o in offsets if o not in self._keys), None)
        if offset is None:
            self._turn = (self._turn + 1) % ACCOUNT_WAYS
            offset = offsets[self._turn]
            del self._places[self._keys[offset]]
            self.lost += 1
        self._places[key], self._keys[offset] = offset, key
        return offset

    def others(self, key: int) -> Iterator[Row]:
        """The other workers' rows of this customer."""
        start, wanted = self._set(key), key.to_bytes(8, "little")
        for region in self._others:
            for offset in range(start, start + ACCOUNT_WAYS * ROW.size, ROW.size):
                if region[offset : offset + 8] == wanted:
                    row = self._read(region, offset)
                    if row is not None and row.key == key:
                        yield row
                        break

    @staticmethod
    def clear_out(board: memoryview, workers: int, number: int, accounts: int) -> int:
        """A dead worker has no attempts out; returns how many it had.  Its counts stay: admitted."""
        dead = AccountBoard(board, workers, number, accounts)
        given_back = 0
        for key, offset in list(dead._places.items()):
            row = dead._read(dead._own, offset)
            if row is not None and row.key == key and row.out:
                given_back += row.out
                row.out = 0
                dead.show(row)
        return given_back
