"""The layout of the memory that the processes of one ingress share.

Three parts follow each other: the drain flags (`drain_flags.py`), the workers' open request ids
(`open_request_ids.py`) and the workers' customer tables (`customer_table.py`).

Every word has exactly one writer, so that no process waits for another: a worker writes its own regions and reads the
others', the supervisor writes the drain flags, and the regions of a worker that has exited.
"""

from __future__ import annotations

import struct

SHARED_MEMORY_FD = 4  # of a worker process, as the supervisor starts it
DRAIN_FLAGS = 1 << 16  # one byte a server, by number; a number that comes round again is of a server long gone
ID_SETS = 4096  # the open request ids of a worker: a set-associative table
IDS_PER_SET = 8  # with the sets, more than any worker may have open
ID_BYTES = 8  # a hash of 64 bits
ID_REGION_BYTES = ID_SETS * IDS_PER_SET * ID_BYTES
CUSTOMER_ROW = struct.Struct("=QqqdddddqdqdqI4x")  # the fields of `customer_table.CustomerRow`, CRC-32, padding
ROWS_PER_SET = 4


def customer_sets(customer_rows: int) -> int:
    """Return the number of sets of a customer table of about so many rows."""
    return max(1, customer_rows // ROWS_PER_SET)


def customer_region_bytes(customer_rows: int) -> int:
    """Return the size of one worker's customer table in bytes."""
    return customer_sets(customer_rows) * ROWS_PER_SET * CUSTOMER_ROW.size


def total_bytes(workers: int, customer_rows: int) -> int:
    """Return the size of the shared memory in bytes."""
    return DRAIN_FLAGS + workers * (ID_REGION_BYTES + customer_region_bytes(customer_rows))


def drain_flag_region(memory: memoryview) -> memoryview:
    """Return the drain flags' bytes."""
    return memory[:DRAIN_FLAGS]


def id_region(memory: memoryview, worker: int) -> memoryview:
    """Return a worker's open request ids, as words of 64 bits."""
    start = DRAIN_FLAGS + worker * ID_REGION_BYTES
    return memory[start : start + ID_REGION_BYTES].cast("Q")


def customer_region(memory: memoryview, workers: int, worker: int, customer_rows: int) -> memoryview:
    """Return the bytes of a worker's customer table."""
    size = customer_region_bytes(customer_rows)
    start = DRAIN_FLAGS + workers * ID_REGION_BYTES + worker * size
    return memory[start : start + size]
