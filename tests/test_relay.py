"""A client and a server with the drivers between them, on wires that take and give what they like."""

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
from mapleline.net.upstream import Place, UpstreamPool
from mapleline.policy import interface as i
from mapleline.settings.platform import read_config

GATHER = 100_000
CLEAN, BROKEN = Failure(ConnectionDone()), Failure(ConnectionLost())


class Wire:
    """A transport: the kernel takes `room` bytes, the rest waits here as it does in Twisted."""

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
        """The kernel takes so much more."""
        part, self.waiting = self.waiting[:size], self.waiting[size:]
        self.taken += part
        self.room += size - len(part)
        if not self.waiting and self.producer is not None:
            self.producer.resumeProducing()
        if self.closing and not self.waiting:
            self.end(CLEAN)

    def give(self, data):
        """Bytes from the other side, if this one reads; returns what is left."""
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
    """The real drivers; time stands still and dials succeed at once."""

    def __init__(self):
        config = read_config(config_for(Counter(), Discovery(), []), {})
        self.pool, self.servers = BufferPool(), []
        self.module = ScriptedModule()
        self.module.s = config.start
        self.module.reactions[i.Arrival] = lambda ev: [i.Send(ev.request, 1)]
        self.module.reactions[i.Outcome] = lambda ev: [] if ev.final else [i.Fail(ev.request)]
        clock = lambda: 10**18  # noqa: E731
        self.engine = Engine(self.module, clock)
        upstreams = UpstreamPool(self, self.engine, clock, self.pool, 1.0, 30.0, 100)
        self.engine.connect(upstreams, counter=self, alarm=self)
        upstreams.update({1: Place(("127.0.0.1", 1), 0)})
        translator = Translator(config.start, config.class_names, config.plan_names)
        listener = ClientListener(self, self.engine, translator, self.pool, 100, 100, 0, Lifecycle(), GATHER)
        self.client = Wire(listener.buildProtocol(None))

    def set(self, at_ns):
        pass

    def seconds(self):
        return 0.0

    def callLater(self, after, call, *args):
        pass

    def connectTCP(self, host, port, factory, timeout):
        self.servers.append(Wire(factory.buildProtocol(None)))


def read_whole(data, answer=False):
    """The one message in `data`, or None where it is not whole."""
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
paces = st.sampled_from([(30_000, 30_000), (3000, 30_000), (30_000, 3000)])  # of the client, of the server


@settings(max_examples=120, derandomize=True, deadline=None)
@given(sizes, forms, sizes, forms, st.integers(0, 10**6), breaking, paces)
def test_nothing_is_lost_doubled_or_reordered(up, up_form, down, down_form, seed, breaks, pace):
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
        what = rng.randrange(4)
        if what == 0:
            coming = client.give(coming) if coming else b""
        elif what == 1 and server:
            server.grant(rng.randrange(1, pace[1]))
        elif what == 2:
            client.grant(rng.randrange(1, pace[0]))
        elif server and answering and read_whole(server.taken) is not None:
            answering = server.give(answering)
        assert relay.pool.buffers_in_use * 16384 < GATHER + 80_000  # back-pressure: neither side is read ahead
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
        assert client.closed or client.waiting or client.room  # what broke off is never completed
    assert len(relay.servers) <= 1  # the module of this test asks for no second attempt
    for wire in [client, *relay.servers]:
        wire.end(BROKEN)
    assert relay.pool.buffers_in_use == 0 and relay.pool.reserved_bytes == 0 and not relay.engine.requests


def test_a_body_that_is_held_counts_until_it_is_of_no_more_use():
    relay = Relay()
    _, coming = request(400_000, "length")
    while not relay.servers:
        coming = relay.client.give(coming)
    held = relay.pool.reserved_bytes
    assert 2 * GATHER < held < 3 * GATHER and not relay.client.reading
    relay.servers[0].grant(10**6)
    assert relay.client.reading and relay.pool.reserved_bytes == held  # it could still go to another server
    relay.client.give(coming)
    assert relay.pool.reserved_bytes == 0  # more has gone out than is held


@pytest.mark.parametrize("form", ["length", "chunks"])
def test_what_breaks_off_is_never_whole_to_the_client(form):
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
    assert len(relay.client.taken) > 8 * 16_000  # what came still went out


class Clocked(Relay):
    """With a clock that the test moves."""

    now = 0.0

    def seconds(self):
        return self.now

    def sweep(self, at):
        self.now = at
        self.client.protocol.listener._sweep()
        return self.client.closed or self.client.closing


def test_a_head_may_take_two_seconds_and_is_ended_before_three():
    _, coming = request(10, "length")
    slow, still = Clocked(), Clocked()
    for relay in (slow, still):
        relay.client.grant(10**6)
        relay.client.give(coming[:30])
        assert not relay.sweep(2.2)
    slow.client.give(coming[30:])
    assert slow.servers and not slow.sweep(2.7)
    assert still.sweep(2.7) and still.client.taken.startswith(b"HTTP/1.1 408")


def test_who_connects_and_says_nothing_is_ended_before_three_seconds():
    relay = Clocked()
    assert not relay.sweep(2.2) and relay.sweep(2.7)


@pytest.mark.parametrize(("per_s", "kept"), [(64_000, True), (8_000, False)])
def test_a_body_is_given_time_by_its_progress(per_s, kept):
    relay = Clocked()
    _, coming = request(90_000, "length")
    head = coming.index(b"\r\n\r\n") + 4
    relay.client.grant(10**6)
    relay.client.give(coming[:head])
    at, ended = 0.0, False
    for piece in range(head, len(coming), per_s // 8):
        ended = ended or relay.sweep(at)
        relay.client.give(coming[piece : piece + per_s // 8])
        at += 0.125
    assert ended != kept and bool(relay.servers) == kept


def test_a_body_that_goes_on_may_not_stand_still():
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


def test_in_a_crowd_who_goes_on_writing_stays_and_who_stopped_gives_way():
    _, coming = request(10, "length")
    for goes_on in (False, True):
        relay = Clocked()
        relay.client.grant(10**6)
        relay.client.give(coming[:20])
        relay.client.protocol.listener._is_accepting = False
        assert not relay.sweep(0.9)
        if goes_on:
            relay.client.give(coming[20:25])
        assert relay.sweep(1.3) != goes_on


def test_a_drain_keeps_what_is_under_way_each_way():
    """A body that goes on and an answer that has begun are finished; the connection goes with the answer."""
    relay = Clocked()
    relay.client.grant(10**7)
    life = relay.client.protocol.listener.lifecycle
    life.mark_servers_known()
    sent, coming = request(400_000, "length")
    while not relay.servers:
        coming = relay.client.give(coming)
    relay.servers[0].grant(10**7)
    life.drain(0.0)
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


def test_an_inherited_listener_halves_what_the_other_process_has_as_well():
    raw = config_for(Counter(), Discovery(), [], limits={"sockets": 512, "memory_mb": 80})
    alone, beside = (Ingress(Relay(), read_config(raw, environment)) for environment in ({}, {"EDGE_ACCEPT_FD": "9"}))
    assert 2 * len(beside.counter.channels) == len(alone.counter.channels) == 16
    assert 2 * len(alone.counter.channels) <= 32
    assert (
        3 * beside.front.stream_threshold_bytes < alone.front.stream_threshold_bytes
    )  # of what memory leaves, not of all
