"""Builders of shared memory that is private to the test process, and of customer rows."""

from mapleline.cores.customer_table import CustomerRow
from mapleline.cores.shared_memory import total_bytes

CUSTOMER_ROWS = 1024


def new_memory(workers):
    return memoryview(bytearray(total_bytes(workers, CUSTOMER_ROWS)))


def customer_row(key, admitted=1.0, in_flight=0):
    return CustomerRow(key, 7, 3, 0.5, 2.0, 1.0, admitted, 0.25, in_flight, 4.0, 5, 6.0, 8)
