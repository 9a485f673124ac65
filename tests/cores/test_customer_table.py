"""Rows of customers in shared memory: reads by other workers, takeover, half-written rows, eviction."""

from hypothesis import given
from hypothesis import strategies as st
from shared_memory_builders import CUSTOMER_ROWS, customer_row, new_memory

from mapleline.cores.customer_table import ROW_BYTES, CustomerTable


def test_rows_are_read_by_the_others_and_taken_over_by_a_replacement():
    memory = new_memory(3)
    writer, reader = CustomerTable(memory, 3, 0, CUSTOMER_ROWS), CustomerTable(memory, 3, 2, CUSTOMER_ROWS)
    writer.write(customer_row(5, in_flight=2))
    assert list(reader.other_rows(5)) == [customer_row(5, in_flight=2)]
    assert list(writer.other_rows(5)) == []
    assert CustomerTable(memory, 3, 0, CUSTOMER_ROWS).clear_in_flight() == 2
    assert list(reader.other_rows(5)) == [customer_row(5)]
    assert CustomerTable(memory, 3, 0, CUSTOMER_ROWS).own_row(5) == customer_row(5)


@given(st.integers(1, ROW_BYTES - 1), st.integers(0, 2**33))
def test_a_half_written_row_is_not_read(written_bytes, key):
    """The writer may be stopped or killed between any two bytes of a row."""
    memory = new_memory(2)
    writer, reader = CustomerTable(memory, 2, 0, CUSTOMER_ROWS), CustomerTable(memory, 2, 1, CUSTOMER_ROWS)
    writer.write(customer_row(key, admitted=1.0))
    offset = writer._offset_by_key[key]
    old = bytes(writer._own[offset : offset + ROW_BYTES])
    writer.write(customer_row(key, admitted=2.0, in_flight=9))
    new = bytes(writer._own[offset : offset + ROW_BYTES])
    writer._own[offset : offset + ROW_BYTES] = new[:written_bytes] + old[written_bytes:]
    for row in reader.other_rows(key):
        assert row in (customer_row(key, admitted=1.0), customer_row(key, admitted=2.0, in_flight=9))
    CustomerTable(memory, 2, 0, CUSTOMER_ROWS)  # a replacement can still attach to the table


def test_a_new_customer_in_a_full_set_evicts_its_oldest_row_only():
    memory = new_memory(2)
    writer, reader = CustomerTable(memory, 2, 0, CUSTOMER_ROWS), CustomerTable(memory, 2, 1, CUSTOMER_ROWS)
    for key in range(5 * CUSTOMER_ROWS):
        writer.write(customer_row(key))
    visible_keys = [key for key in range(5 * CUSTOMER_ROWS) if list(reader.other_rows(key))]
    assert len(visible_keys) == CUSTOMER_ROWS == 5 * CUSTOMER_ROWS - writer.evictions
    assert reader.torn_reads == 0
    assert visible_keys[-1] == 5 * CUSTOMER_ROWS - 1
