"""HTTP/1.1 parsers and state machines: messages do not depend on how input is split, and no buffer leaks."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mapleline.http1 import (
    BUFFER_SIZE,
    MAX_BUFFERED_BODY_BYTES,
    BufferPool,
    ByteQueue,
    ClientConnection,
    RemoteProtocolError,
    RequestReader,
    ServerConnection,
    write_request,
    write_response,
)

HOST_LINE = b"Host: a\r\n"
piece_sizes = st.lists(st.integers(1, 40_000), max_size=30)
bodies = st.lists(
    st.binary(max_size=200) | st.sampled_from([b"", b"y" * MAX_BUFFERED_BODY_BYTES]), min_size=1, max_size=4
)


def pieces(data, sizes):
    for size in sizes:
        yield data[:size]
        data = data[size:]
    yield data


@settings(max_examples=150, derandomize=True, deadline=None)
@given(bodies, piece_sizes)
def test_requests_do_not_depend_on_how_input_is_split(sent, sizes):
    pool, found = BufferPool(), []
    connection = ServerConnection(pool)
    stream = b"".join(write_request(b"POST", b"/a/%d" % index, HOST_LINE, body) for index, body in enumerate(sent))
    for piece in pieces(stream, sizes):
        connection.receive(piece)
        while (request := connection.next_request()) is not None:
            found.append((request.target, request.body))
            connection.answer(200)
    assert found == [(b"/a/%d" % index, body) for index, body in enumerate(sent)]
    assert pool.buffers_in_use == 0 and not connection.partial


def chunked(body):
    parts = [body[offset : offset + 7] for offset in range(0, len(body), 7)]
    encoded = b"".join(b"%x;e=1\r\n%b\r\n" % (len(part), part) for part in parts)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + encoded + b"0\r\nTrailer: x\r\n\r\n"


@settings(max_examples=150, derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.binary(max_size=60), st.booleans()), min_size=1, max_size=5), piece_sizes)
def test_responses_match_requests_in_order_with_any_framing(sent, sizes):
    pool, found = BufferPool(), []
    connection = ClientConnection(pool)
    for tag in range(len(sent)):
        connection.add_request(tag)
    stream = b"".join(chunked(body) if chunks else write_response(200, body) for body, chunks in sent)
    for piece in pieces(stream, sizes):
        found += [(tag, response.body) for tag, response in connection.receive(piece)]
    assert found == [(tag, body) for tag, (body, _) in enumerate(sent)]
    assert connection.reusable and pool.buffers_in_use == 0


def test_body_without_a_length_ends_with_the_connection():
    connection = ClientConnection(BufferPool())
    connection.add_request("tag")
    assert connection.receive(b"HTTP/1.1 200 OK\r\n\r\nha") == [] == connection.receive(b"lf")
    ((tag, response),) = connection.on_closed(is_orderly=True)
    assert (tag, response.body, connection.reusable) == ("tag", b"half", False)


def test_partial_body_before_a_reset_or_an_abort_is_no_response():
    pool = BufferPool()
    connection = ClientConnection(pool)
    connection.add_request("tag")
    assert connection.receive(b"HTTP/1.1 200 OK\r\n\r\nhalf") == [] == connection.on_closed(is_orderly=False)
    assert pool.buffers_in_use == 0


@pytest.mark.parametrize(
    "data",
    [b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", chunked(b"half")[:-3], b"HTTP/1.1 200", b""],
    ids=["length", "chunked", "head", "nothing"],
)
def test_incomplete_response_at_the_end_of_the_connection_is_dropped(data):
    connection = ClientConnection(BufferPool())
    connection.add_request("tag")
    assert connection.receive(data) == [] == connection.on_closed(is_orderly=True)


@pytest.mark.parametrize(
    "data",
    [
        b"SPDY/3 200 OK\r\n\r\n",
        b"HTTP/1.1 99\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nA : b\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"x" * 9000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n",
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50,
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
    ],
)
def test_malformed_responses_retire_the_connection_and_hold_no_buffer(data):
    pool = BufferPool()
    connection = ClientConnection(pool)
    connection.add_request("tag")
    found = [pair for start in range(0, len(data), 700) for pair in connection.receive(data[start : start + 700])]
    assert found == [] and connection.protocol_error and not connection.reusable and list(connection.pending) == ["tag"]
    assert (
        connection.receive(write_response(200)) == [] == connection.on_closed(is_orderly=True)
        and pool.buffers_in_use == 0
    )


@pytest.mark.parametrize("request_count", [0, 1, 2])
@pytest.mark.parametrize("surplus", [write_response(200, b"second"), b"\x00noise"], ids=["copy", "noise"])
def test_valid_responses_before_surplus_input_are_returned(request_count, surplus):
    """Guards against dropping a valid response together with a duplicate or with noise that follows it."""
    pool = BufferPool()
    connection = ClientConnection(pool)
    for tag in range(request_count):
        connection.add_request(tag)
    found = connection.receive(b"".join(write_response(200, b"%d" % tag) for tag in range(request_count)) + surplus)
    assert [(tag, response.body) for tag, response in found] == [(tag, b"%d" % tag) for tag in range(request_count)]
    assert connection.protocol_error and not connection.reusable and pool.buffers_in_use == 0


def test_input_after_a_response_that_closes_is_ignored():
    connection = ClientConnection(BufferPool())
    for tag in range(2):
        connection.add_request(tag)
    found = connection.receive(write_response(200, b"last", close=True) + write_response(200, b"more"))
    assert [(tag, response.body) for tag, response in found] == [(0, b"last")] and not connection.reusable


def test_head_that_arrives_byte_by_byte_is_parsed():
    reader, data = RequestReader(BufferPool()), write_request(b"GET", b"/x", b"Host: a\r\n")
    for offset in range(len(data)):
        assert reader.next_request() is None
        reader.feed(data[offset : offset + 1])
    assert reader.next_request().headers == {b"host": b"a"}


def test_released_buffers_are_reused():
    pool = BufferPool()
    queue, data = ByteQueue(pool), bytes(range(256)) * (BUFFER_SIZE // 100)
    for part in (data[:1], data[1:]):
        queue.put(part)
    assert pool.buffers_in_use == len(data) // BUFFER_SIZE + 1 and queue.take() == data
    reused = pool.acquire()
    assert pool.buffers_in_use == 1 and len(reused) == BUFFER_SIZE


chunk_lists = st.lists(st.binary(min_size=1, max_size=300), max_size=20)


@given(chunk_lists, st.lists(st.integers(1, 40)), st.booleans())
def test_chunked_request_does_not_depend_on_how_input_is_split(parts, step_sizes, has_trailer):
    """Compares the decoder with a plain join of the parts; another request follows without a gap."""
    raw = b"POST /book/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    raw += b"".join(b"%X;n=v\r\n%b\r\n" % (len(part), part) for part in parts)
    raw += b"0\r\n" + (b"A: b\r\n" if has_trailer else b"") + b"\r\n" + b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    pool, found, offset = BufferPool(), [], 0
    reader = RequestReader(pool)
    for step_size in [*step_sizes, len(raw)]:
        reader.feed(raw[offset : offset + step_size])
        offset += step_size
        while reader.waiting_bytes and (request := reader.next_request()) is not None:
            found.append((request.method, request.body))
    assert found == [(b"POST", b"".join(parts)), (b"GET", b"")]
    assert pool.buffers_in_use == 0 and reader.waiting_bytes == 0


@pytest.mark.parametrize("tail", [b"1\r\nx\r\n" * 70_000, b"ffff\r\n" + b"x" * 0xFFFF + b"\r\n2\r\nxx\r\n"])
def test_size_and_framing_of_a_chunked_body_are_bounded(tail):
    pool = BufferPool()
    reader = RequestReader(pool)
    reader.feed(b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
    with pytest.raises(RemoteProtocolError) as raised:
        for offset in range(0, len(tail), 8192):
            reader.feed(tail[offset : offset + 8192])
            assert reader.next_request() is None
            assert reader.waiting_bytes < 65536 + 8192 + 300
    assert raised.value.status == 413
    reader.clear()
    assert pool.buffers_in_use == 0
