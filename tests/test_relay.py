"""Streamed requests and answers between a client and a server, on simulated transports of arbitrary speed."""

import socket
from random import Random

import pytest
from engine_rig import ScriptedModule
from hypothesis import given, settings
from hypothesis import strategies as st
from ingress import Client, Counter, Discovery, config_for
from test_bodies import in_chunks, large
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from mapleline.engine import Engine
from mapleline.http1 import BufferPool, RequestReader, ResponseReader
from mapleline.http1.translator import Translator
from mapleline.ingress import Ingress
from mapleline.lifecycle import Lifecycle
from mapleline.net.clients import ClientListener
from mapleline.net.upstream import ServerProcess, UpstreamPool
from mapleline.policy import interface as i
from mapleline.settings.platform import read_config

GATHER = 100_000
CLEAN, BROKEN = Failure(ConnectionDone()), Failure(ConnectionLost())


class Wire:
    """A transport on a simulated socket.

    The socket's buffer takes `room` more bytes into `taken`; the rest waits in `waiting`, as in Twisted's transport.
    """

    def __init__(self, protocol):
        self.protocol, self.room, self.waiting, self.taken = protocol, 0, b"", b""
        self.reading, self.closing, self.closed, self.producer = True, False, False, None
        self.socket = self
        protocol.makeConnection(self)

    def setTcpNoDelay(self, on):
        pass

    def getHandle(self):
        return self

    def recv(self, size, flags):
        assert flags == socket.MSG_PEEK
        raise BlockingIOError

    def send(self, data):
        assert not self.waiting, "reordered"
        size = min(self.room, len(data))
        if not size:
            raise BlockingIOError
        self.room -= size
        self.taken += data[:size]
        return size

    def write(self, data):
        if not self.closed and not self.closing:
            self.waiting += data

    def registerProducer(self, producer, streaming):
        self.producer = producer
        producer.resumeProducing()

    def unregisterProducer(self):
        self.producer = None

    def grant(self, size):
        """Let the socket take `size` more bytes."""
        part, self.waiting = self.waiting[:size], self.waiting[size:]
        self.taken += part
        self.room += size - len(part)
        if not self.waiting and self.producer is not None:
            self.producer.resumeProducing()
        if self.closing and not self.waiting:
            self.end(CLEAN)

    def give(self, data):
        """Deliver up to 16 KiB from the other side unless reading is paused; return the bytes left."""
        if not self.reading or self.closed:
            return data
        self.protocol.dataReceived(data[:16384])
        return data[16384:]

    def end(self, reason):
        if not self.closed:
            self.closed = True
            self.protocol.connectionLost(reason)

    def pauseProducing(self):
        self.reading = False

    def resumeProducing(self):
        self.reading = True

    def loseConnection(self):
        self.closing = True
        if not self.waiting:
            self.end(CLEAN)

    loseWriteConnection = loseConnection

    def abortConnection(self):
        self.end(BROKEN)


class Relay:
    """The client listener and the upstream pool with a scripted module; time is fixed and connects succeed at once."""

    def __init__(self):
        config = read_config(config_for(Counter(), Discovery(), []), {})
        self.pool, self.servers = BufferPool(), []
        self.module = ScriptedModule()
        self.module.settings = config.start
        self.module.reactions[i.Arrival] = lambda ev: [i.Send(ev.request, 1)]
        self.module.reactions[i.Outcome] = lambda ev: [] if ev.is_final else [i.Fail(ev.request)]
        clock = lambda: 10**18  # noqa: E731
        self.engine = Engine(self.module, clock)
        upstreams = UpstreamPool(self, self.engine, clock, self.pool, 1.0, 30.0, 100)
        self.engine.connect(upstreams, counter=self, alarm=self)
        upstreams.update({1: ServerProcess(("127.0.0.1", 1), 0)})
        translator = Translator(config.start, config.class_names, config.plan_names)
        listener = ClientListener(self, self.engine, translator, self.pool, 100, 100, 0, Lifecycle(), GATHER)
        self.client = Wire(listener.buildProtocol(None))

    def set(self, at_ns):
        pass

    def seconds(self):
        return 0.0

    def callLater(self, delay_s, call, *args):
        pass

    def connectTCP(self, host, port, factory, timeout):
        self.servers.append(Wire(factory.buildProtocol(None)))


def read_whole(data, answer=False):
    """Return the message in `data`; None if it is incomplete."""
    reader = (ResponseReader if answer else RequestReader)(BufferPool(), 1 << 26)
    reader.feed(data)
    return reader.next_response() if answer else reader.next_request()


def request(size, form):
    body = large(size)
    head = Client.bytes_of(Client, cls="book")
    if form == "length":
        framed = b"Content-Length: %d\r\n\r\n%b" % (size, body)
    else:
        framed = b"Transfer-Encoding: chunked\r\n\r\n%b" % in_chunks(body, 9000)
    return body, head.replace(b"Content-Length: 0\r\n\r\n", framed)


def answer(size, form):
    body = large(size)
    head = b"HTTP/1.1 200 OK\r\n"
    if form == "length":
        return body, head + b"Content-Length: %d\r\n\r\n" % size + body
    return body, head + b"Transfer-Encoding: chunked\r\n\r\n" + in_chunks(body, 9000)


sizes = st.sampled_from([0, 10, 70_000, 150_000, 400_000])
forms = st.sampled_from(["length", "chunks"])
breaking = st.sampled_from(["none", "server", "client"])
paces = st.sampled_from([(30_000, 30_000), (3000, 30_000), (30_000, 3000)])  # max bytes a step: client, server


@settings(max_examples=120, derandomize=True, deadline=None)
@given(sizes, forms, sizes, forms, st.integers(0, 10**6), breaking, paces)
def test_no_bytes_are_lost_duplicated_or_reordered(up, up_form, down, down_form, seed, breaks, pace):
    rng, relay = Random(seed), Relay()
    sent, coming = request(up, up_form)
    given_body, answering = answer(down, down_form)
    break_at, client = rng.randrange(1, 300), relay.client
    for step in range(20_000):
        server = relay.servers[0] if relay.servers else None
        if server and server.closed:
            answering = b""
        done = not coming and not answering and not client.waiting
        if client.closed or done:
            break
        if breaks != "none" and step == break_at:
            (server if breaks == "server" and server else client).end(BROKEN)
            continue
        action = rng.randrange(4)
        if action == 0:
            coming = client.give(coming) if coming else b""
        elif action == 1 and server:
            server.grant(rng.randrange(1, pace[1]))
        elif action == 2:
            client.grant(rng.randrange(1, pace[0]))
        elif server and answering and read_whole(server.taken) is not None:
            answering = server.give(answering)
        assert relay.pool.buffers_in_use * 16384 < GATHER + 80_000  # flow control: neither side is read ahead
        assert len(client.waiting) < 100_000 and (not server or len(server.waiting) < GATHER + 40_000)
    else:
        raise AssertionError("stands still")
    whole = read_whole(client.taken, answer=True)
    at_server = read_whole(relay.servers[0].taken) if relay.servers else None
    if at_server is not None:
        assert at_server.body == sent
    if breaks == "none":
        assert whole.status == 200 and whole.body == given_body and not client.closed
    elif whole is not None and whole.status == 200:
        assert whole.body == given_body
    elif breaks == "server" and whole is None and relay.servers:
        assert client.closed or client.waiting or client.room  # an interrupted answer is never completed
    assert len(relay.servers) <= 1  # the module of this test asks for no second attempt
    for wire in [client, *relay.servers]:
        wire.end(BROKEN)
    assert relay.pool.buffers_in_use == 0 and relay.pool.reserved_bytes == 0 and not relay.engine.requests


def test_a_buffered_body_is_counted_until_it_cannot_be_sent_again():
    relay = Relay()
    _, coming = request(400_000, "length")
    while not relay.servers:
        coming = relay.client.give(coming)
    reserved_bytes = relay.pool.reserved_bytes
    assert 2 * GATHER < reserved_bytes < 3 * GATHER and not relay.client.reading
    relay.servers[0].grant(10**6)
    assert relay.client.reading and relay.pool.reserved_bytes == reserved_bytes  # it can still go to another server
    relay.client.give(coming)
    assert relay.pool.reserved_bytes == 0  # more has been sent than is buffered


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_an_interrupted_answer_never_seems_complete_to_the_client(form):
    relay = Relay()
    relay.client.grant(10**7)
    _, coming = request(10, "length")
    relay.client.give(coming)
    relay.servers[0].grant(10**6)
    _, answering = answer(400_000, form)
    for _ in range(8):
        answering = relay.servers[0].give(answering)
    relay.servers[0].end(BROKEN)
    assert relay.client.closed and read_whole(relay.client.taken, answer=True) is None
    assert len(relay.client.taken) > 8 * 16_000  # the parts received before are still sent


class Clocked(Relay):
    """A relay whose clock the test moves."""

    now = 0.0

    def seconds(self):
        return self.now

    def sweep(self, at_s):
        """Run the timeouts at a time; return whether the client's connection is closed or closing."""
        self.now = at_s
        self.client.protocol.listener._sweep()
        return self.client.closed or self.client.closing


def test_a_head_may_take_2_s_and_is_rejected_before_3_s():
    _, coming = request(10, "length")
    slow, stopped = Clocked(), Clocked()
    for relay in (slow, stopped):
        relay.client.grant(10**6)
        relay.client.give(coming[:30])
        assert not relay.sweep(2.2)
    slow.client.give(coming[30:])
    assert slow.servers and not slow.sweep(2.7)
    assert stopped.sweep(2.7) and stopped.client.taken.startswith(b"HTTP/1.1 408")


def test_a_silent_connection_is_closed_before_3_s():
    relay = Clocked()
    assert not relay.sweep(2.2) and relay.sweep(2.7)


@pytest.mark.parametrize(("per_s", "kept"), [(64_000, True), (8_000, False)])
def test_the_timeout_of_a_body_grows_with_the_bytes_received(per_s, kept):
    relay = Clocked()
    _, coming = request(90_000, "length")
    head = coming.index(b"\r\n\r\n") + 4
    relay.client.grant(10**6)
    relay.client.give(coming[:head])
    at_s, is_ended = 0.0, False
    for piece in range(head, len(coming), per_s // 8):
        is_ended = is_ended or relay.sweep(at_s)
        relay.client.give(coming[piece : piece + per_s // 8])
        at_s += 0.125
    assert is_ended != kept and bool(relay.servers) == kept


def test_a_streamed_body_that_stops_arriving_is_rejected():
    relay = Clocked()
    relay.module.reactions[i.Left] = lambda ev: [i.Cancel(ev.request, 0)]  # as the module does
    relay.client.grant(10**6)
    _, coming = request(400_000, "length")
    while not relay.servers:
        coming = relay.client.give(coming)
    relay.servers[0].grant(10**7)
    relay.now = 1.0
    relay.client.give(coming)
    assert not relay.sweep(3.2) and relay.sweep(3.6)
    assert relay.client.taken.startswith(b"HTTP/1.1 408") and not relay.engine.requests
    assert relay.servers[0].closed and relay.pool.reserved_bytes == 0


def test_at_the_connection_limit_a_partial_request_must_make_progress():
    _, coming = request(10, "length")
    for makes_progress in (False, True):
        relay = Clocked()
        relay.client.grant(10**6)
        relay.client.give(coming[:20])
        relay.client.protocol.listener._is_accepting = False
        assert not relay.sweep(0.9)
        if makes_progress:
            relay.client.give(coming[20:25])
        assert relay.sweep(1.3) != makes_progress


def test_a_drain_lets_streamed_bodies_finish_both_ways():
    """A streamed request body and a streamed answer are completed; the connection closes after the answer."""
    relay = Clocked()
    relay.client.grant(10**7)
    lifecycle = relay.client.protocol.listener.lifecycle
    lifecycle.mark_servers_known()
    sent, coming = request(400_000, "length")
    while not relay.servers:
        coming = relay.client.give(coming)
    relay.servers[0].grant(10**7)
    lifecycle.drain(0.0)
    assert not relay.sweep(1.0)
    while coming:
        coming = relay.client.give(coming)
    assert read_whole(relay.servers[0].taken).body == sent
    given_body, answering = answer(400_000, "length")
    for n in range(100):
        answering = relay.servers[0].give(answering)
        if answering:
            assert not relay.sweep(1.0 + n)
    whole = read_whole(relay.client.taken, answer=True)
    assert whole.body == given_body and not whole.keep_alive and relay.client.closed


def test_an_inherited_listener_halves_the_limits_that_two_processes_share():
    raw = config_for(Counter(), Discovery(), [], limits={"sockets": 512, "memory_mb": 80})
    alone, beside = (Ingress(Relay(), read_config(raw, environment)) for environment in ({}, {"EDGE_ACCEPT_FD": "9"}))
    assert 2 * len(beside.counter.channels) == len(alone.counter.channels) == 16
    assert 2 * len(alone.counter.channels) <= 32
    assert (
        3 * beside.client_listener.stream_threshold_bytes < alone.client_listener.stream_threshold_bytes
    )  # a share of the memory beyond the program's own, so more than halved
