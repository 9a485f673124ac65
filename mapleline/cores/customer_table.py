"""Each worker's counts of its customers in shared memory: one set-associative table per worker.

Each row has a checksum.  A row is half written while its writer writes it, or if the writer exited during the write.
A reader skips such a row and decides by its own counts.
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
KEY_BYTES = 8  # size of a row's first field, which is little-endian
MAX_READ_ATTEMPTS = 3  # reads of one row while its checksum does not match, because it is being written
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio: Fibonacci hashing (Knuth, TAOCP 3, 6.4)
MASK_64 = 0xFFFFFFFFFFFFFFFF


@dataclass(slots=True)
class CustomerRow:
    """One worker's counts of one customer, in the order of the row's fields.

    Attributes:
        key: Number of the customer.
        window: Number of the quota window of these counts.
        total_at_ns: Time at which the counter returned `total`; 0 if it returned none in this window.
        previous_total: Last total of the previous window that the counter returned, in units.
        total: Last total of this window that the counter returned, in units.
        unconfirmed: Units admitted since that total that no answer of the counter confirms yet.
        admitted: Units that the worker admitted in this window.
        pending: Units that the next call to the counter adds.
        in_flight: Number of attempts in flight.
        burst: Level of the quota's token bucket, in units.
        burst_at_ns: Time at which `burst` was updated.
        ceiling: Level of the hard ceiling's token bucket, in units.
        ceiling_at_ns: Time at which `ceiling` was updated.
    """

    key: int
    window: int
    total_at_ns: int
    previous_total: float
    total: float
    unconfirmed: float
    admitted: float
    pending: float
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
            self.pending,
            self.in_flight,
            self.burst,
            self.burst_at_ns,
            self.ceiling,
            self.ceiling_at_ns,
            0,
        )[:CHECKED_BYTES]
        return fields + CHECKSUM.pack(zlib.crc32(fields) or 1)


class CustomerTable:
    """One worker's access to the tables: it writes its own and reads those of the other workers.

    A new customer in a full set evicts one of the set's rows, which is chosen round robin.

    Attributes:
        torn_reads: Number of reads that failed because the row was half written.
        evictions: Number of rows in the own table that were overwritten by another customer's.
    """

    def __init__(self, memory: memoryview, workers: int, worker: int, customer_rows: int) -> None:
        """Attach to the tables and take over the rows of an earlier process of this worker.

        Args:
            memory: The shared memory.
            workers: Number of workers.
            worker: Number of this worker.
            customer_rows: Approximate number of rows in each table.
        """
        self._sets = customer_sets(customer_rows)
        self._own = customer_region(memory, workers, worker, customer_rows)
        self._others = [
            customer_region(memory, workers, other, customer_rows) for other in range(workers) if other != worker
        ]
        self._offset_by_key: dict[int, int] = {}  # byte offsets in the own table
        self._key_by_offset: dict[int, int] = {}
        self._next_eviction = 0  # index of the last evicted row in its set
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
        """Return the byte offsets of the rows that may hold this customer."""
        hashed_key = (key * GOLDEN_RATIO_64 & MASK_64) >> 32
        start = hashed_key % self._sets * SET_BYTES
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
        """Return this worker's row of a customer, or None if there is none."""
        offset = self._offset_by_key.get(key)
        return None if offset is None else self._read(self._own, offset)

    def write(self, row: CustomerRow) -> None:
        """Write this worker's row of a customer."""
        offset = self._offset_by_key.get(row.key)
        if offset is None:
            offset = self._allocate(row.key)
        self._own[offset : offset + ROW_BYTES] = row.pack()

    def _allocate(self, key: int) -> int:
        """Assign a row to a customer, evicting another customer if the set is full, and return the row's offset."""
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
        """Set the attempts in flight of all customers to 0, after the worker of this table has exited.

        The other counts stay, because their units have been admitted.

        Returns:
            The number of attempts that the worker had in flight.
        """
        cleared = 0
        for key, offset in list(self._offset_by_key.items()):
            row = self._read(self._own, offset)
            if row is not None and row.key == key and row.in_flight:
                cleared += row.in_flight
                row.in_flight = 0
                self.write(row)
        return cleared
