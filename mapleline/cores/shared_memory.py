"""The layout of the memory that the processes of one ingress share.

The memory has three consecutive parts: the drain flags (`drain_flags.py`), the workers' open request ids
(`open_request_ids.py`) and the workers' customer tables (`customer_table.py`).

Every word has exactly one writer, so no process waits for another.  A worker writes its own regions and reads those of
the other workers.  The supervisor writes the drain flags and the regions of a worker that has exited.
"""

from __future__ import annotations

import struct

SHARED_MEMORY_FD = 4  # descriptor of the memory in a worker process, set by the supervisor when it starts the worker
# One byte per server, at the server's number modulo this size.  A server whose number is larger by the size reuses the
# flag of one that was removed long before.
DRAIN_FLAGS = 1 << 16
ID_SETS = 4096  # sets in a worker's table of open request ids, which is set-associative
IDS_PER_SET = 8  # times ID_SETS: more ids than the open requests that any worker may have
ID_BYTES = 8  # a 64-bit hash of the id
ID_REGION_BYTES = ID_SETS * IDS_PER_SET * ID_BYTES
CUSTOMER_ROW = struct.Struct("=QqqdddddqdqdqI4x")  # fields of `customer_table.CustomerRow`, CRC-32, padding
ROWS_PER_SET = 4


def customer_sets(customer_rows: int) -> int:
    """Return the number of sets in a customer table with about this number of rows."""
    return max(1, customer_rows // ROWS_PER_SET)


def customer_region_bytes(customer_rows: int) -> int:
    """Return the size of one worker's customer table in bytes."""
    return customer_sets(customer_rows) * ROWS_PER_SET * CUSTOMER_ROW.size


def total_bytes(workers: int, customer_rows: int) -> int:
    """Return the size of the shared memory in bytes."""
    return DRAIN_FLAGS + workers * (ID_REGION_BYTES + customer_region_bytes(customer_rows))


def drain_flag_region(memory: memoryview) -> memoryview:
    """Return the bytes of the drain flags."""
    return memory[:DRAIN_FLAGS]


def id_region(memory: memoryview, worker: int) -> memoryview:
    """Return a worker's table of open request ids as 64-bit words."""
    start = DRAIN_FLAGS + worker * ID_REGION_BYTES
    return memory[start : start + ID_REGION_BYTES].cast("Q")


def customer_region(memory: memoryview, workers: int, worker: int, customer_rows: int) -> memoryview:
    """Return the bytes of a worker's customer table."""
    size = customer_region_bytes(customer_rows)
    start = DRAIN_FLAGS + workers * ID_REGION_BYTES + worker * size
    return memory[start : start + size]
