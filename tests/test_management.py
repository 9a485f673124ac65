"""The management listener and the effect of a drain on clients; the program runs as a process."""

import json
import queue
import signal
import socket

import pytest
from ingress import WAIT_S, Client, Counter, Discovery, Peer, config_for, message, running, start

MANAGEMENT = {"management": "127.0.0.1:0"}
READY = b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n"


def serving():
    return Peer(lambda *_: message(body=b"slots"))


def held_back():
    """Return a server and a queue; the server answers one request for each entry of the queue."""
    gate = queue.Queue()

    def answer(*_):
        gate.get(timeout=WAIT_S)
        return message(body=b"slots")

    return Peer(answer), gate


@pytest.mark.parametrize(
    ("line", "status"),
    [
        ("GET /-/ready", 200),
        ("GET /-/ready?verbose", 200),
        ("POST /-/drain", 200),
        ("POST /-/resume", 200),
        ("GET /-/drain", 405),
        ("POST /-/ready", 405),
        ("GET /-/", 404),
        ("GET /health/ready", 404),
        ("GET /look/0000000000000005", 404),
        ("GET -", 400),
        ("BREW", 400),
    ],
)
def test_calls(tmp_path, line, status):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        caller = Client(ingress.management_address)
        got, headers, body = caller.call(line)
        assert got == status and headers["connection"] == "close"
        assert caller.ended() == b""
        assert ("error" in body) == (status >= 400)
        if status == 405:
            assert headers["allow"] in ("GET", "POST")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 70000000\r\n\r\n", 413),
        (b"GET /-/ready HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 20_000 + b"\r\n\r\n", 431),
        (b"\x00\x01\x02\r\n\r\n", 400),
        (b"POST /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    ],
)
def test_malformed_calls_are_rejected_without_effect(tmp_path, data, status):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        caller = Client(ingress.management_address)
        assert caller.ask(data)[0] == status
        assert ingress.call("GET /-/ready")[0] == 200


def test_the_body_of_a_call_and_a_pipelined_second_call_are_ignored(tmp_path):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        caller = Client(ingress.management_address)
        first = b"POST /-/resume HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
        caller.send(first + b"POST /-/drain HTTP/1.1\r\nHost: a\r\n\r\n")
        assert caller.answer()[0] == 200 and caller.ended() == b""
        assert ingress.call("GET /-/ready")[2]["state"] == "ready"


def test_silent_connections_do_not_block_the_management_listener(tmp_path):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        silent = []
        for n in range(40):
            silent.append(Client(ingress.management_address))
            if n % 2:
                silent[-1].send(b"POST /-/drain HTTP/1.1\r\nHo")
        for _ in range(3):
            assert ingress.call("GET /-/ready")[0] == 200
        assert silent[0].ended() == b""  # the oldest was closed first
        assert ingress.counts()["door.closed_for_room"] >= 24


def test_too_many_clients_do_not_block_the_management_listener(tmp_path):
    with running(tmp_path, serving(), limits={"sockets": 160}, **MANAGEMENT) as ingress:
        connections = [socket.create_connection(ingress.address, timeout=WAIT_S) for _ in range(300)]
        assert ingress.call("GET /-/ready")[0] == 200
        assert ingress.call("POST /-/drain")[0] == 200
        for connection in connections:
            connection.close()


def test_a_drain_closes_client_connections_and_keeps_those_to_servers(tmp_path):
    server, gate = held_back()
    with running(tmp_path, server, **MANAGEMENT) as ingress:
        idle, busy, used = ingress.client(), ingress.client(), ingress.client()
        gate.put(1)
        assert idle.ask()[0] == 200
        assert used.ask(READY)[0] == 200
        busy.send(customer=7)
        server.next(), server.next()
        status, _, state = ingress.call("POST /-/drain")
        assert status == 200 and state["state"] == "draining" and state["connections"] == 3
        assert ingress.call("POST /-/drain")[0] == 200  # a repeated drain is accepted
        assert ingress.ready() == 503 and ingress.call("GET /-/ready")[0] == 503
        status, headers, _ = used.ask(READY)  # a connection in use closes with its next answer
        assert status == 503 and headers["connection"] == "close" and used.ended() == b""
        assert idle.ended() == b""  # an idle connection is closed
        gate.put(1)
        status, headers, body = busy.answer()  # one with a request in flight gets its answer first
        assert (status, headers["connection"], body) == (200, "close", b"slots") and busy.ended() == b""
        late = ingress.client()  # a new connection is still served, for one request
        gate.put(1)
        status, headers, _ = late.ask()
        assert status == 200 and headers["connection"] == "close" and late.ended() == b""
        assert ingress.call("POST /-/resume")[2]["state"] == "ready"
        assert ingress.ready() == 200
        back = ingress.client()
        gate.put(1), gate.put(1)
        assert "connection" not in back.ask()[1] and back.ask()[0] == 200
        counts = ingress.counts()
        assert counts["upstream.dialed"] <= 2  # two requests were in flight at once; no connection was made again
        assert counts["client.shed"] == 1


def test_a_drain_leaves_a_pipelined_request_unanswered(tmp_path):
    server, gate = held_back()
    with running(tmp_path, server, **MANAGEMENT) as ingress:
        client = ingress.client()
        client.send(client.bytes_of() + client.bytes_of())
        server.next()
        ingress.call("POST /-/drain")
        gate.put(1)
        assert client.answer()[1]["connection"] == "close"
        assert client.answer() is None  # not answered: the client sends it again to another ingress
        assert server.seen.empty()


def test_a_request_half_read_when_the_drain_begins_is_served(tmp_path):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        half, old = ingress.client(), ingress.client()
        assert old.ask()[0] == 200
        data = half.bytes_of(cls="book", body=b"x" * 100)
        half.send(data[:-50])
        ingress.call("POST /-/drain")
        assert old.ended() == b""  # idle connections are closed, one with a partial request is not
        status, headers, _ = half.send(data[-50:]).answer()
        assert status == 200 and headers["connection"] == "close" and half.ended() == b""


def test_resume_without_a_drain_and_drain_resume_drain(tmp_path):
    with running(tmp_path, serving(), **MANAGEMENT) as ingress:
        assert ingress.call("POST /-/resume")[0] == 200 and ingress.ready() == 200
        client = ingress.client()
        assert client.ask()[0] == 200
        for order in ("drain", "resume", "drain", "resume"):
            assert ingress.call(f"POST /-/{order}")[0] == 200
        assert ingress.ready() == 200
        assert client.ask()[0] == 200  # no timer of the ended drains closed it


def test_drained_before_it_is_ready(tmp_path):
    discovery = Discovery()
    with running(tmp_path, discovery=discovery, **MANAGEMENT) as ingress:
        assert ingress.call("GET /-/ready")[2]["state"] == "starting"
        assert ingress.call("POST /-/drain")[0] == 200
        discovery.tell(2, [], whole=True)
        discovery.next(), discovery.next()  # the second watch: the first one's answer has been handled
        assert ingress.ready() == 503
        assert ingress.call("POST /-/resume")[2] == {
            "state": "ready",
            "ready": True,
            "connections": 0,
            "open_requests": 0,
        }
        assert ingress.ready() == 200


def test_shutdown_while_draining(tmp_path):
    server, gate = held_back()
    with running(tmp_path, server, **MANAGEMENT) as ingress:
        client = ingress.client().send()
        server.next()
        ingress.call("POST /-/drain")
        ingress.process.send_signal(signal.SIGTERM)
        ingress.event("told to leave")
        status, _, state = ingress.call("POST /-/resume")
        assert status == 409 and state["state"] == "leaving" and "error" in state
        assert ingress.call("POST /-/drain")[0] == 409
        gate.put(1)
        assert client.answer()[0] == 200
        assert ingress.process.wait(WAIT_S) == 0


def test_a_reload_during_a_drain_does_not_end_it(tmp_path):
    counter, discovery, server = Counter(), Discovery(), serving()
    with running(tmp_path, server, counter=counter, discovery=discovery, **MANAGEMENT) as ingress:
        ingress.call("POST /-/drain")
        ingress.reload(config_for(counter, discovery, [server], management="127.0.0.1:1"))
        assert ingress.event("reloaded")["until_restart"] == ["management"]
        assert ingress.ready() == 503


@pytest.mark.parametrize(
    ("value", "fault"),
    [
        ("nowhere", "management: expected host:port"),
        (5, "management: expected text"),
        (None, "management: "),
    ],
)
def test_a_management_address_that_cannot_be_used_ends_the_start(tmp_path, value, fault):
    with socket.create_server(("127.0.0.1", 0)) as taken:
        value = value or f"127.0.0.1:{taken.getsockname()[1]}"
        process = start(config_for(Counter(), Discovery(), [], management=value), tmp_path)
        error = process.communicate(timeout=WAIT_S)[1]
    assert process.returncode == 2
    assert json.loads(error.splitlines()[-1])["fault"].startswith(fault)


def test_several_workers_reject_a_management_address(tmp_path):
    config = config_for(Counter(), Discovery(), [], **MANAGEMENT)
    process = start(config, tmp_path, command=("run", "--workers", "2"))
    assert process.wait(WAIT_S) == 2
    assert b"management: not with several workers" in process.stderr.read()


def test_no_management_listener_without_an_address(tmp_path):
    with running(tmp_path, serving()) as ingress:
        assert ingress.management_address is None
        assert ingress.client().ask(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 404
