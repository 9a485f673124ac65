"""The layout of the shared memory, byte for byte."""

from hashlib import sha256

from mapleline.cores.customer_table import CustomerRow, CustomerTable
from mapleline.cores.drain_flags import DrainFlags
from mapleline.cores.open_request_ids import OpenRequestIds, clear_open_request_ids
from mapleline.cores.shared_memory import total_bytes

WORKERS = 3
CUSTOMER_ROWS = 1024


def test_regions_written_by_the_processes_keep_their_layout():
    memory = memoryview(bytearray(total_bytes(WORKERS, CUSTOMER_ROWS)))
    flags = DrainFlags(memory)
    flags.set(65_536 + 3, True)
    flags.set(70, True)
    ids = OpenRequestIds(memory, WORKERS, 1)
    for number in range(500):
        ids.claim(b"id%d" % number)
    for number in range(0, 500, 3):
        ids.release(b"id%d" % number)
    table = CustomerTable(memory, WORKERS, 2, CUSTOMER_ROWS)
    for number in range(1500):
        table.write(
            CustomerRow(
                key=number * number,
                window=7,
                total_at_ns=3 + number,
                previous_total=0.5,
                total=2.0,
                unconfirmed=1.0,
                admitted=number / 4,
                pending=0.25,
                in_flight=number % 3,
                burst=4.0,
                burst_at_ns=5,
                ceiling=6.0,
                ceiling_at_ns=8,
            )
        )
    assert len(memory) == 1_196_032
    assert sha256(memory).hexdigest() == "521b032c38734c3b1e319366ec3cb14e15cdbec281809e0a2c8d09e80bd4142a"
    assert clear_open_request_ids(memory, 1) == 333
    assert CustomerTable(memory, WORKERS, 2, CUSTOMER_ROWS).clear_in_flight() == 940
    assert sha256(memory).hexdigest() == "82104bc9d6109b12750c5a8db1698b76cc93fb57278ca913765d3a4f0bf5f75c"
