"""Each worker's counts of its customers, in shared memory: one set-associative table per worker.

A row carries a checksum.  A reader skips a row that is half written, because its writer is just writing it or has
exited while writing it, and decides by its own counts.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from .shared_memory import CUSTOMER_ROW, ROWS_PER_SET, customer_region, customer_sets

ROW_BYTES = CUSTOMER_ROW.size
SET_BYTES = ROWS_PER_SET * ROW_BYTES
CHECKSUM = struct.Struct("=I4x")  # CRC-32 (never 0) and padding, at the end of a row
CHECKED_BYTES = ROW_BYTES - CHECKSUM.size
KEY_BYTES = 8  # the row's first field, little endian
MAX_READ_ATTEMPTS = 3  # of a row that changes during the read
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: Fibonacci hashing (Knuth, TAOCP 3, 6.4)
MASK_64 = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True)
class CustomerRow:
    """One customer's use as one worker knows it, in the order of the row's fields.

    Attributes:
        key: The customer's number.
        window: The number of the counting window of these counts.
        total_at_ns: When the counter gave `total`; 0 if it gave none in this window.
        previous_total: Last total of the previous window, units.
        total: Last total of this window, units.
        unconfirmed: Units admitted since that total, without an answer of the counter.
        admitted: Units that the worker admitted in this window.
        owed: Units that the next call to the counter adds.
        in_flight: Attempts in flight.
        burst: Units that the quota's bucket holds.
        burst_at_ns: When `burst` was updated.
        ceiling: Units that the bucket of the hard ceiling holds.
        ceiling_at_ns: When `ceiling` was updated.
    """

    key: int
    window: int
    total_at_ns: int
    previous_total: float
    total: float
    unconfirmed: float
    admitted: float
    owed: float
    in_flight: int
    burst: float
    burst_at_ns: int
    ceiling: float
    ceiling_at_ns: int

    def pack(self) -> bytes:
        """Return the row's bytes, with its checksum."""
        fields = CUSTOMER_ROW.pack(
            self.key,
            self.window,
            self.total_at_ns,
            self.previous_total,
            self.total,
            self.unconfirmed,
            self.admitted,
            self.owed,
            self.in_flight,
            self.burst,
            self.burst_at_ns,
            self.ceiling,
            self.ceiling_at_ns,
            0,
        )[:CHECKED_BYTES]
        return fields + CHECKSUM.pack(zlib.crc32(fields) or 1)


class CustomerTable:
    """One worker's view: its own table, which it writes, and the others', which it reads.

    A new customer in a full set evicts one of its rows, in turn.

    Attributes:
        torn_reads: Rows that could not be read completely.
        evictions: Own rows overwritten by another customer's.
    """

    def __init__(self, memory: memoryview, workers: int, worker: int, customer_rows: int) -> None:
        """Use the tables in this shared memory, and take over the rows of an earlier process of this worker.

        Args:
            memory: The shared memory.
            workers: Number of workers.
            worker: The number of this worker.
            customer_rows: The approximate number of rows of each table.
        """
        self._sets = customer_sets(customer_rows)
        self._own = customer_region(memory, workers, worker, customer_rows)
        self._others = [
            customer_region(memory, workers, other, customer_rows) for other in range(workers) if other != worker
        ]
        self._offset_by_key: dict[int, int] = {}  # in the own table, bytes
        self._key_by_offset: dict[int, int] = {}
        self._next_eviction = 0  # row of a full set
        self.torn_reads = 0
        self.evictions = 0
        self._take_over_rows()

    def _take_over_rows(self) -> None:
        for offset in range(0, len(self._own), ROW_BYTES):
            row = self._read(self._own, offset)
            if row is not None:
                self._offset_by_key[row.key] = offset
                self._key_by_offset[offset] = row.key

    def _set_offsets(self, key: int) -> range:
        """Return the offsets, in bytes, of the rows that may hold a customer."""
        spread = (key * GOLDEN_RATIO_64 & MASK_64) >> 32
        start = spread % self._sets * SET_BYTES
        return range(start, start + SET_BYTES, ROW_BYTES)

    def _read(self, table: memoryview, offset: int) -> CustomerRow | None:
        for _ in range(MAX_READ_ATTEMPTS):
            data = bytes(table[offset : offset + ROW_BYTES])
            *fields, checksum = CUSTOMER_ROW.unpack(data)
            if checksum and zlib.crc32(data[:CHECKED_BYTES]) == checksum:
                return CustomerRow(*fields)
            if not any(data[:CHECKED_BYTES]):
                return None
        self.torn_reads += 1
        return None

    def own_row(self, key: int) -> CustomerRow | None:
        """Return this worker's row of a customer."""
        offset = self._offset_by_key.get(key)
        return None if offset is None else self._read(self._own, offset)

    def write(self, row: CustomerRow) -> None:
        """Write this worker's row of a customer."""
        offset = self._offset_by_key.get(row.key)
        if offset is None:
            offset = self._allocate(row.key)
        self._own[offset : offset + ROW_BYTES] = row.pack()

    def _allocate(self, key: int) -> int:
        """Assign a row of its set to a customer, by eviction if the set is full, and return the row's offset."""
        offsets = self._set_offsets(key)
        offset = next((free for free in offsets if free not in self._key_by_offset), None)
        if offset is None:
            self._next_eviction = (self._next_eviction + 1) % ROWS_PER_SET
            offset = offsets[self._next_eviction]
            del self._offset_by_key[self._key_by_offset[offset]]
            self.evictions += 1
        self._offset_by_key[key] = offset
        self._key_by_offset[offset] = key
        return offset

    def other_rows(self, key: int) -> Iterator[CustomerRow]:
        """Yield the other workers' rows of a customer."""
        key_bytes = key.to_bytes(KEY_BYTES, "little")
        offsets = self._set_offsets(key)
        for table in self._others:
            for offset in offsets:
                if table[offset : offset + KEY_BYTES] != key_bytes:
                    continue
                row = self._read(table, offset)
                if row is not None and row.key == key:
                    yield row
                    break

    def clear_in_flight(self) -> int:
        """Note that the worker of this table has exited and has no attempts in flight.

        Its other counts stay, because those units are admitted.

        Returns:
            The attempts that it had in flight.
        """
        cleared = 0
        for key, offset in list(self._offset_by_key.items()):
            row = self._read(self._own, offset)
            if row is not None and row.key == key and row.in_flight:
                cleared += row.in_flight
                row.in_flight = 0
                self.write(row)
        return cleared
