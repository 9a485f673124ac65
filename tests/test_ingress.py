"""The program as a process, over sockets: rules of the protocol, and failures that it must survive."""

import json
import os
import signal
import socket
import time
from collections import Counter as Tally

import pytest
from ingress import (
    SETTINGS,
    WAIT_S,
    Counter,
    Discovery,
    Peer,
    config_for,
    message,
    read_message,
    running,
    start,
    target,
)


def serving(body=b"slots"):
    return Peer(lambda *_: message(body=body))


def test_a_request_and_its_answer_pass_through_unchanged(tmp_path):
    server = serving(b"\x00binary\r\n")
    with running(tmp_path, server) as ingress:
        status, _, body = ingress.client().ask(
            cls="book", body=b"who", X_Request_ID="id7", Idempotency_Key="k1", ttl=900
        )
        line, headers, sent = server.next()
    assert (status, body) == (200, b"\x00binary\r\n")
    assert (line, sent) == ("POST /book/0000000000000005?q=1 HTTP/1.1", b"who")
    assert (headers["x-request-id"], headers["idempotency-key"]) == ("id7", "k1")
    assert 0 < int(headers["x-timeout-ms"]) <= 900


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=1\r\nde\r\n0\r\n\r\n"
EARLY = b"HTTP/1.1 100 Continue\r\n\r\n" + message(body=b"abcde")


@pytest.mark.parametrize("raw", [CHUNKED, EARLY], ids=["chunked", "after 100"])
def test_other_framings_of_an_answer(tmp_path, raw):
    with running(tmp_path, Peer(lambda *_: raw)) as ingress:
        assert ingress.client().ask()[::2] == (200, b"abcde")


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_split_and_pipelined_messages(tmp_path, step):
    with running(tmp_path, serving()) as ingress:
        client = ingress.client()
        data = b"\r\n" + b"".join(client.bytes_of(cls="book", body=b"x" * 300) for _ in range(3))
        for at in range(0, len(data), step):
            client.sock.sendall(data[at : at + step])
        assert [client.answer()[0] for _ in range(3)] == [200] * 3


BAD = {
    "unknown class": (dict(cls="nope", method="GET"), 404),
    "unknown plan": (dict(plan="gold"), 400),
    "wrong method": (dict(method="DELETE"), 405),
    "no id": (dict(drop=["X-Request-ID"]), 400),
    "id with a space": (dict(X_Request_ID="a b"), 400),
    "no time": (dict(drop=["X-Timeout-Ms"]), 400),
    "time not a number": (dict(ttl="soon"), 400),
    "no weight": (dict(drop=["X-Weight"]), 400),
    "weight beside the settings": (dict(X_Weight="units=1,spread=2,first=9"), 400),
    "weight not finite": (dict(X_Weight="units=nan,spread=2,first=0"), 400),
    "customer too large": (dict(customer=1 << 33), 400),
    "units beyond the largest": (dict(X_Weight="units=1000000,spread=2,first=0"), 400),
    "a set larger than all": (dict(X_Weight="units=1,spread=3,first=0"), 400),
    "a body on GET": (dict(body=b"GET /look HTTP/1.1"), 400),
}
CHUNKS = b"POST /book/0000000000000005 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
BROKEN = {
    "no request line": (b"hello\r\n\r\n", 400),
    "bad header": (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
    "folded header": (b"GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", 400),
    "endless head": (b"GET /look HTTP/1.1\r\nA: " + b"a" * 9000, 431),
    "signed length": (b"POST /book HTTP/1.1\r\nContent-Length: +5\r\n\r\n", 400),
    "two lengths": (b"POST /book HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", 400),
    "huge body": (b"POST /book HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n", 413),
    "absurd length": (b"POST /book HTTP/1.1\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", 413),
    "no Host": (b"GET /look/0000000000000005 HTTP/1.1\r\n\r\n", 400),
    "two Hosts": (b"GET /look/0000000000000005 HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400),
    "a Host that is none": (b"GET /look/0000000000000005 HTTP/1.1\r\nHost: a/b\r\n\r\n", 400),
    "two framings": (CHUNKS + b"Content-Length: 5\r\n\r\n0\r\n\r\n", 400),
    "chunks in HTTP/1.0": (CHUNKS.replace(b"1.1", b"1.0") + b"\r\n0\r\n\r\n", 400),
    "unknown coding": (CHUNKS.replace(b"chunked", b"gzip, chunked") + b"\r\n", 501),
    "bad chunk size": (CHUNKS + b"\r\n-1\r\n", 400),
    "huge chunk": (CHUNKS + b"\r\n2000001\r\n", 413),
    "absurd chunk size": (CHUNKS + b"\r\n000000001\r\n", 400),
    "bare line feed": (CHUNKS + b"\r\n1\nx\r\n0\r\n\r\n", 400),
    "a longer chunk than said": (CHUNKS + b"\r\n1\r\nxx\r\n", 400),
    "endless extension": (CHUNKS + b"\r\n1;" + b"x" * 999, 400),
    "a length in the trailers": (CHUNKS + b"\r\n0\r\nContent-Length: 3\r\n\r\n", 400),
    "another id in the trailers": (CHUNKS + b"\r\n0\r\nX-Request-ID: 3\r\n\r\n", 400),
    "endless trailers": (CHUNKS + b"\r\n0\r\n" + b"A: b\r\n" * 2000, 431),
}


def test_bad_requests_get_a_4xx_and_none_reaches_the_module(tmp_path):
    server = serving()
    with running(tmp_path, server) as ingress:
        client = ingress.client()
        for name, (changes, status) in BAD.items():
            assert client.ask(**changes)[0] == status, name  # the connection stays usable
        for name, (data, status) in BROKEN.items():
            broken = ingress.client()
            assert broken.ask(data)[0] == status, name
            assert broken.answer() is None, name  # closed, because the start of the next message is unknown
        assert client.ask()[0] == 200
        counts = ingress.counts()
    assert counts["client.bad_request"] == len(BAD) + len(BROKEN)
    assert counts["request.accepted"] == 1 and server.seen.qsize() == 1


def test_a_small_chunked_body_is_forwarded_with_its_length(tmp_path):
    """A chunked request was answered 411, although any client may send one (RFC 9112, section 7.1)."""
    server = serving()
    with running(tmp_path, server) as ingress:
        client = ingress.client()
        data = client.bytes_of(cls="book", Transfer_Encoding="chunked", drop=["Content-Length"])
        data += b"3;x=1\r\nwho\r\n4\r\nelse\r\n0\r\nX-Sum: 1\r\n\r\n"
        for at in range(0, len(data), 50):
            client.sock.sendall(data[at : at + 50])
        assert client.answer()[0] == 200
        assert client.ask()[0] == 200  # the bytes behind the body are read as the next request
        _, headers, sent = server.next()
    assert (sent, headers["content-length"]) == (b"whoelse", "7") and "transfer-encoding" not in headers


def test_the_id_of_a_request_in_flight_is_rejected_and_free_after_its_answer(tmp_path):
    """A forwarded request with such an id was a second copy of the other client's request."""
    held = Peer(lambda *_: None)
    with running(tmp_path, held) as ingress:
        first, second = ingress.client().send(X_Request_ID="same", ttl=1000), ingress.client()
        held.next()
        assert second.ask(X_Request_ID="same")[0] == 409 and held.seen.qsize() == 0
        assert first.answer()[0] in (502, 503)
        held.answer = lambda *_: message()
        assert second.ask(X_Request_ID="same")[0] == 200
        first.send(X_Request_ID="other")
        held.next()
        first.sock.close()
        assert second.ask(X_Request_ID="other")[0] in (200, 409)
        assert ingress.counts()["client.bad_request.409"] >= 1


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"", None),
        (b"GET /look/0000", 408),
        (b"POST /book HTTP/1.1\r\nContent-Length: 60000000\r\n\r\nxx", 413),
    ],
    ids=["silent", "half", "60 MB"],
)
def test_a_client_without_a_complete_request_is_disconnected_within_3_s(tmp_path, sent, status):
    """Clients with a partial request kept a connection for 10 s, silent ones for 120 s.

    A connection that has had a complete request may stay idle.
    """
    with running(tmp_path, serving()) as ingress:
        used = ingress.client()
        assert used.ask()[0] == 200
        bad = ingress.client()
        bad.sock.settimeout(3)
        bad.sock.sendall(sent)
        answer = bad.answer()
        assert answer is None if status is None else answer[0] == status
        assert bad.answer() is None  # closed, not only answered
        assert used.ask()[0] == 200


def test_a_body_over_the_limit_is_not_read_to_its_end(tmp_path):
    with running(tmp_path, serving()) as ingress:
        client = ingress.client()
        client.sock.settimeout(WAIT_S)
        with pytest.raises(OSError):  # the ingress closes the connection with the body unread
            client.send(b"POST /book HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n")
            for _ in range(600):
                client.sock.sendall(b"x" * 100_000)


def test_a_flood_of_silent_connections_leaves_room_for_requests(tmp_path):
    """One turn of the reactor accepts dozens of connections; without a hard limit they used every descriptor."""
    with running(tmp_path, serving(), limits={"sockets": 160}) as ingress:
        fds = f"/proc/{ingress.process.pid}/fd"
        flood, max_descriptors = [], 0
        for _ in range(8):
            for _ in range(200):
                flood.append(socket.socket())
                flood[-1].setblocking(False)
                flood[-1].connect_ex(ingress.address)
            max_descriptors = max(max_descriptors, len(os.listdir(fds)))
            assert ingress.client().ask() is not None
        assert ingress.client().ask()[0] == 200
        for sock in flood:
            sock.close()
    assert max_descriptors < 160


def test_a_request_over_quota_is_rejected_with_a_retry_time(tmp_path):
    with running(tmp_path, serving()) as ingress:
        client, served = ingress.client(), 0
        while (answer := client.ask(plan="tight"))[0] == 200:
            served += 1
            assert served < 50
    assert served >= 1 and answer[0] == 429
    assert 0 < float(answer[1]["retry-after"]) <= 2


def test_all_ingresses_use_the_same_counter_names(tmp_path):
    server, counters, paths = serving(), (Counter(), Counter()), (tmp_path / "1", tmp_path / "2")
    for path in paths:
        path.mkdir()
    with (
        running(paths[0], server, counter=counters[0]) as one,
        running(paths[1], server, counter=counters[1]) as two,
    ):
        for _ in range(3):  # a window may end between the two ingresses' calls
            for ingress, counter in zip((one, two), counters, strict=True):
                seen = len(counter.totals) if counter.totals else 0
                ingress.ask_until(
                    lambda counter=counter, seen=seen: len(counter.totals) > seen or counter.seen.qsize() > 3
                )
            if set(counters[0].totals) & set(counters[1].totals):
                return
    raise AssertionError("no name in common")


@pytest.mark.parametrize("late", ["answers late", "never answers"])
def test_a_late_counter_delays_no_request_and_its_late_answers_are_matched_in_order(tmp_path, late):
    calls, counter = Tally(), Counter()

    def answer(line, headers, body):
        calls[line.split("?")[0]] += 1  # the second call of a name is answered together with the first
        second = calls[line.split("?")[0]] == 2 and late == "answers late"
        return message(body=b"1") + message(body=b"2") if second else None

    counter.answer = answer
    with running(tmp_path, serving(), counter=counter) as ingress:
        ingress.ask_until(lambda: 2 in calls.values(), customer=1)
        counts = ingress.counts()
    assert counts["counter.timeout"] >= 1
    assert counts.get("counter.answered_late", 0) == (1 if late == "answers late" else 0)
    assert counts["request.served"] == counts["request.accepted"]


@pytest.mark.parametrize("spoilt", [b"", b"{}", b"0x", b"nan", b"inf", b"--3", b"+3", b"1e"])
def test_a_counter_call_with_an_unreadable_answer_is_not_added_again(tmp_path, spoilt):
    """The amount of such a call, and of calls behind it on the connection, was sent again with the next call."""
    counter = Counter(spoilt)
    with running(tmp_path, serving(), counter=counter) as ingress:
        ingress.ask_until(lambda: counter.seen.qsize() >= 4)
        counts = ingress.counts()
    assert counts["counter.timeout"] == counts["counter.malformed"] == 1
    assert counts["counter.dialed"] >= 2  # its connection is not used again
    assert sum(counter.totals.values()) <= counts["request.served"]


def test_a_request_whose_connection_was_refused_is_answered_503(tmp_path):
    gone = serving()
    gone.stop()
    with running(tmp_path, gone) as ingress:
        assert ingress.client().ask(cls="book")[0] == 503
        assert ingress.counts()["attempt.no_connection"] >= 1


KEYED = {
    "name": "keyed",
    "effect": "guarded",
    "key_scope": "all",
    "key_ttl_ns": 60_000_000_000,
    "aim_ns": 750_000_000,
    "deadline_ns": 2_500_000_000,
}
HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"


@pytest.mark.parametrize(
    ("reply", "cls", "status", "outcome", "attempts"),
    [
        ("close", "look", 200, "reset", 2),
        ("close", "book", 502, "reset", 1),
        (message(500), "look", 200, "error", 2),
        (message(500), "book", 502, "error", 1),
        (message(503, X_Not_Processed="1"), "book", 503, "rejected", 1),
        (message(503), "book", 502, "error", 1),
        (b"nonsense\r\n\r\n", "look", 200, "error", 2),
        (b"nonsense\r\n\r\n", "book", 502, "error", 1),
        (b"nonsense\r\n\r\n", "keyed", 200, "error", 2),
        ("close", "keyed", 200, "reset", 2),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", "look", 200, "error", 2),
        (b"HTTP/1.1 200 OK\r\nX: " + b"x" * 9000, "look", 200, "error", 2),
    ],
)
def test_an_attempt_that_may_have_run_is_retried_only_if_that_is_safe(tmp_path, reply, cls, status, outcome, attempts):
    replies = iter([reply])
    server = Peer(lambda *_: next(replies, message()))
    with running(tmp_path, server, settings={"classes": [*SETTINGS["classes"], KEYED]}) as ingress:
        assert ingress.client().ask(cls=cls, Idempotency_Key="k")[0] == status
        assert ingress.counts()[f"attempt.{outcome}"] == 1
    assert server.seen.qsize() == attempts


def test_an_incomplete_answer_is_no_answer(tmp_path):
    dying = Peer(lambda *_: HALF)
    with running(tmp_path, dying) as ingress:
        client = ingress.client().send(cls="book", ttl=2000)
        dying.next()
        assert client.answer()[0] == 502  # by the module's timeout, before the client's deadline


def test_a_silent_server_loses_its_connection_and_the_client_gets_an_error_in_time(tmp_path):
    silent = Peer(lambda *_: None)
    with running(tmp_path, silent) as ingress:
        client = ingress.client()
        assert client.ask(cls="book", ttl=400)[0] in (502, 504)
        assert silent.ended.get(timeout=WAIT_S)  # the attempt is cancelled by closing its connection


def test_a_disconnecting_client_cancels_its_attempt(tmp_path):
    silent = Peer(lambda *_: None)
    with running(tmp_path, silent) as ingress:
        client = ingress.client().send()
        silent.next()
        client.sock.close()
        assert silent.ended.get(timeout=WAIT_S)
        assert ingress.counts()["request.left"] == 1


def test_connections_to_servers_are_reused(tmp_path):
    with running(tmp_path, serving()) as ingress:
        client = ingress.client()
        for _ in range(5):
            assert client.ask()[0] == 200
        assert ingress.counts()["upstream.dialed"] == 1


@pytest.mark.parametrize("surplus", [message(body=b"other"), b"\xff\x00noise\r\n"], ids=["copy", "noise"])
@pytest.mark.parametrize("size", [100, 16384], ids=["same read", "next read"])
def test_an_answer_with_surplus_bytes_is_used_and_its_connection_is_not_reused(tmp_path, surplus, size):
    """With reads of 16 KiB the surplus can stay in the kernel's buffer and be taken for the next request's answer."""
    body_bytes = 2 * size - 50 - len(message(body=b"x" * (size - 50)))

    def answer(line, headers, body):
        return message(body=headers["x-request-id"].encode().ljust(body_bytes, b".")) + surplus

    server = Peer(answer)
    with running(tmp_path, server) as ingress:
        client = ingress.client()
        requests = [client.bytes_of(X_Request_ID=f"wish{n}") for n in range(4)]
        client.sock.sendall(b"".join(requests))
        for n in range(4):
            status, _, body = client.answer()
            assert (status, body.rstrip(b".")) == (200, b"wish%d" % n)
        counts = ingress.counts()
    assert counts["attempt.ok"] == counts["attempt.sent"] == 4 == counts["upstream.dialed"]


def test_idle_connections_are_closed_for_connections_to_other_servers(tmp_path):
    """Idle connections used all descriptors, so servers without one seemed unreachable."""
    full = [
        Peer(lambda *_: message(503, X_Not_Processed="1")) for _ in range(40)
    ]  # each attempt goes to another of them
    with running(tmp_path, *full, limits={"sockets": 128}) as ingress:
        client = ingress.client()
        assert Tally(client.ask()[0] for _ in range(60)) == {503: 60}
        counts = ingress.counts()
    assert counts["upstream.dialed"] > 25 and counts["attempt.rejected"] == counts["attempt.sent"]


def test_an_idle_connection_past_the_limit_is_not_used_again(tmp_path):
    """Only a sweep once a second checked the limit, so with a short one a request went out on a closed connection."""
    settings = {"limits": {**SETTINGS["limits"], "conn_idle_ns": 1}}
    with running(tmp_path, serving(), settings=settings) as ingress:
        client = ingress.client()
        assert [client.ask()[0] for _ in range(2)] == [200, 200]
        assert ingress.counts()["upstream.dialed"] == 2


def test_draining_and_removed_servers_get_no_new_requests(tmp_path):
    old, new, discovery = serving(), serving(), Discovery()
    with running(tmp_path, old, discovery=discovery) as ingress:
        client = ingress.client()
        assert client.ask()[0] == 200
        assert "after=1&" in discovery.next()[0]
        malformed = [{"uid": "odd"}, {**target(new), "uid": ["odd"]}, {**target(new), "model": {}}, 7]
        discovery.tell(2, [target(old, 0, "terminating"), target(new, 1), *malformed])
        assert "after=2&" in discovery.next()[0]  # the next watch: the changes have been applied
        before = old.seen.qsize()
        assert {client.ask()[0] for _ in range(6)} == {200}
        assert old.seen.qsize() == before
        discovery.tell(3, [target(old, 0)], whole=True)
        assert "after=3&" in discovery.next()[0]
        assert client.ask()[0] == 200 and old.seen.qsize() == before + 1


REVLESS = message(body=b'{"rev":null,"all":false,"targets":[]}')


@pytest.mark.parametrize("reply", ["close", b"junk\r\n\r\n", message(500), message(body=b"[]"), REVLESS])
def test_a_failed_watch_is_retried_and_the_server_list_is_kept(tmp_path, reply):
    discovery = Discovery()
    watch = discovery.answer
    discovery.answer = lambda *_: reply
    with running(tmp_path, serving(), discovery=discovery) as ingress:
        for _ in range(3):
            assert "after=1&" in discovery.next()[0]
        assert ingress.client().ask()[0] == 200
        discovery.answer = watch
        discovery.tell(2, [])
        while "after=2&" not in discovery.next()[0]:
            pass


def test_not_ready_without_a_list_and_ready_without_the_counter(tmp_path):
    counter, discovery, server = Counter(), Discovery(), serving()
    counter.answer = lambda *_: message(503)
    with running(tmp_path, counter=counter, discovery=discovery) as ingress:
        client = ingress.client()
        ready = b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"
        assert client.ask(ready)[0] == 503
        discovery.next()
        discovery.tell(2, [target(server)], whole=True)
        discovery.next()
        assert client.ask(ready)[0] == 200
        ingress.ask_until(lambda: counter.seen.qsize() > 0)
        counts = ingress.counts()
    assert counts["counter.rejected"] == 1 and counts["request.served"] == counts["request.accepted"]


def test_sigterm_finishes_requests_and_exits(tmp_path):
    held = Peer(lambda *_: None)
    with running(tmp_path, held) as ingress:
        open_one, late_one = ingress.client().send(cls="book", ttl=2500), ingress.client()
        held.next()
        half, request = ingress.client(), b"POST /nope HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"
        half.sock.sendall(request[:-1])
        ingress.process.send_signal(signal.SIGTERM)
        ingress.event("told to leave")
        assert late_one.ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 503
        late_one.send(ttl=2500)
        held.next()  # still served
        ingress.event("leaving")
        assert half.ask(request[-1:])[0] == 404  # a partial request is received and answered
        assert open_one.answer()[0] == 502 and late_one.answer() is not None
        assert ingress.event("counters")["counts"]["request.accepted"] == 2
        assert ingress.process.wait(timeout=WAIT_S) == 0


def test_slow_readers_and_fast_writers_use_bounded_memory(tmp_path):
    with running(tmp_path, serving(b"x" * 60_000)) as ingress:
        client = ingress.client()
        client.sock.settimeout(2)
        request, written = client.bytes_of(), 0
        with pytest.raises(TimeoutError):  # the ingress stops reading
            while written < 64 << 20:
                written += client.sock.send(request * 100)
        assert ingress.client().ask()[0] == 200
        pages = int(open(f"/proc/{ingress.process.pid}/statm").read().split()[1])
        assert pages * 4096 < 100 << 20


def test_a_client_that_stops_reading_its_answer_is_not_read(tmp_path):
    """Reading was paused only during a request; bytes behind an answer that was not read were all buffered."""
    with running(tmp_path, serving(b"x" * 65_000)) as ingress:
        client, sent, served, unchanged = ingress.client(), 0, 0, 0
        client.sock.settimeout(2)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)  # otherwise the kernel enlarges it
        while unchanged < 50:  # checks without progress: an answer is blocked
            if served == sent:
                client.sock.sendall(b"".join(client.bytes_of() for _ in range(20)))
                sent += 20
            now = ingress.counts().get("request.served", 0)
            served, unchanged = now, unchanged + 1 if now == served else 0
            time.sleep(0.02)
        with pytest.raises(TimeoutError):
            for _ in range(640):
                client.sock.sendall(b"x" * 100_000)


def test_connections_from_before_a_servers_restart_are_not_reused(tmp_path):
    """After a network failure such connections may be dead without notice, and a request sent on one may have run."""
    server, discovery = serving(), Discovery()
    with running(tmp_path, server, discovery=discovery) as ingress:
        client = ingress.client()
        assert client.ask()[0] == 200
        discovery.next()
        discovery.tell(2, [{**target(server), "boot_ms": 1000}])
        discovery.next()
        assert client.ask()[0] == 200
        assert ingress.counts()["upstream.dialed"] == 2


def test_idle_client_connections_are_closed_at_the_descriptor_limit(tmp_path):
    with running(tmp_path, serving(), limits={"sockets": 160}) as ingress:
        clients = [ingress.client() for _ in range(200)]
        assert clients[-1].ask()[0] == 200
        counts = ingress.counts()
    assert counts["client.closed_for_room"] >= 100


def test_a_reload_moves_counter_and_discovery_and_calls_in_flight_finish(tmp_path):
    """SIGHUP ended the process.  Calls in flight must finish on the old counter while others go to the new one."""
    servers, discoveries = (serving(), serving()), [Discovery(), Discovery()]
    counters = [Counter(), Counter()]
    with running(tmp_path, servers[0], counter=counters[0], discovery=discoveries[0]) as ingress:
        assert "after=1&" in discoveries[0].next()[0]
        ingress.ask_until(lambda: counters[0].seen.qsize())
        config = config_for(counters[1], discoveries[1], servers[:1])
        for broken, key in [("{", "EDGE_CONFIG"), ({**config, "counter": 7}, "counter")]:
            ingress.reload(broken)
            assert ingress.event("reload failed")["fault"].startswith(key + ":")
        for _ in range(3):  # the second and the third change nothing
            ingress.reload({**config, "seed": "5"})
            assert ingress.event("reloaded")["until_restart"] == []
        assert (
            discoveries[1].next()[0] == "GET /registry/instances HTTP/1.1"
        )  # the complete list, not changes since the old revision
        discoveries[0].tell(9, [], whole=True)  # no watch is open here any more
        assert discoveries[0].ended.get(timeout=WAIT_S) and counters[0].ended.get(timeout=WAIT_S)
        discoveries[1].tell(1, [target(servers[1], 1)])  # changes without a complete list before them are rejected
        assert discoveries[1].next()[0] == "GET /registry/instances HTTP/1.1"
        discoveries[1].tell(1, [target(servers[1], 1)], whole=True)
        assert "after=1&" in discoveries[1].next()[0]
        before = counters[0].seen.qsize(), servers[0].seen.qsize()
        ingress.ask_until(lambda: counters[1].seen.qsize())
        assert (counters[0].seen.qsize(), servers[0].seen.qsize()) == before and servers[1].seen.qsize()
        counts = ingress.counts()
        ingress.process.send_signal(signal.SIGTERM)
        ingress.event("told to leave")
        ingress.reload(config_for(counters[0], discoveries[0], servers[:1]))
        ingress.event("reloaded")
        assert ingress.process.wait(timeout=WAIT_S) == 0
    assert (counts["reload.done"], counts["reload.failed"], discoveries[0].seen.qsize()) == (3, 2, 1)
    assert counts["discovery.failed"] == 1  # the incomplete list; stopping the old watch is not a failure


FAULTS = {
    "discovery": dict(discovery="nowhere"),
    "counter": dict(counter=7),
    "seed": dict(seed="xyz"),
    "limits.sockets": dict(limits={"sockets": 3}),
    "known": dict(known={"rev": "x"}),
    "settings.classes": dict(settings={**SETTINGS, "classes": []}),
    "settings.plans[0].refill": dict(settings={**SETTINGS, "plans": [{"name": "p", "refill": "fast"}]}),
    "settings.classes[0].effect": dict(settings={**SETTINGS, "classes": [{"name": "c", "effect": "odd"}]}),
    "settings.me": dict(settings={**SETTINGS, "me": 2}),
}


@pytest.mark.parametrize("key", [*FAULTS, "EDGE_CONFIG"])
def test_a_bad_configuration_ends_the_process_with_one_line_that_names_the_key(tmp_path, key):
    peer = serving()
    config = {**config_for(peer, peer, [peer]), **FAULTS.get(key, {})}
    process = start("{" if key == "EDGE_CONFIG" else config, tmp_path)
    _, err = process.communicate(timeout=WAIT_S)
    assert process.returncode != 0 and len(err.splitlines()) == 1
    assert json.loads(err)["fault"].startswith(key + ":")


def test_the_error_for_an_address_in_use_names_its_key(tmp_path):
    peer = serving()
    process = start({**config_for(peer, peer, [peer]), "listen": peer.address}, tmp_path)
    _, err = process.communicate(timeout=WAIT_S)
    assert process.returncode != 0 and b'"listen:' in err


def test_an_incomplete_request_is_not_accepted(tmp_path):
    server = serving()
    with running(tmp_path, server) as ingress:
        client = ingress.client()
        client.sock.sendall(client.bytes_of(cls="book", body=b"whole")[:-1])
        client.sock.shutdown(socket.SHUT_WR)
        assert read_message(client.sock) is None
        assert "request.accepted" not in ingress.counts()
