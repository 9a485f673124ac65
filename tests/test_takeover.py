"""Hot restart: which of two processes accepts, how many descriptors each may use, and what happens if either dies."""

import fcntl
import json
import os
import signal
import socket
from contextlib import contextmanager

import pytest
from hypothesis import given
from hypothesis import strategies as st
from ingress import WAIT_S, Client, Counter, Discovery, Ingress, config_for, start, target
from test_management import held_back, serving

from mapleline.takeover import slots as slots_module
from mapleline.takeover.descriptors import DescriptorUse, descriptor_claim
from mapleline.takeover.slots import Slots, decode_claim, encode_claim

LIMIT, RESERVE = 512, 74  # file descriptors


# --- claims


@given(
    st.lists(
        st.tuples(st.sampled_from(["look", "take", "start", "term", "die"]), st.integers(0, 3), st.integers(0, 600)),
        max_size=60,
    )
)
def test_the_sum_of_open_descriptors_stays_within_the_limit(steps):
    """A model of processes that start, read claims, open descriptors within their claim, leave and die in any order."""
    claims, in_use, leaving, started_at = {0: LIMIT - RESERVE}, {0: RESERVE}, set(), {0: 0}
    for n, (action, process, amount) in enumerate(steps):
        if action == "start" and len(claims) < 2:
            process = next(number for number in range(4) if number not in claims)
            claims[process], in_use[process], started_at[process] = RESERVE, RESERVE, n + 1
        elif process not in claims:
            continue
        elif action == "look":
            others = [claims[other] for other in claims if other != process]
            is_oldest = started_at[process] == min(started_at.values())
            claims[process] = descriptor_claim(
                DescriptorUse(LIMIT, RESERVE, in_use[process], is_oldest, process in leaving), others
            )
            in_use[process] = min(in_use[process], claims[process])
        elif action == "take":
            in_use[process] = max(RESERVE, min(amount, claims[process]))
        elif action == "term":
            leaving.add(process)
        else:
            for values in (claims, in_use, started_at):
                del values[process]
            leaving.discard(process)
        assert sum(in_use.values()) <= LIMIT


def test_a_single_process_claims_all_but_the_reserve_and_a_second_one_gets_half():
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, RESERVE, True, False), []) == LIMIT - RESERVE
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, RESERVE, False, False), [LIMIT - RESERVE]) == RESERVE
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, RESERVE, True, False), [RESERVE]) == LIMIT // 2
    # never less than it has open
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, 300, True, False), [RESERVE]) == 300
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, RESERVE, False, False), [LIMIT // 2]) == LIMIT // 2
    assert descriptor_claim(DescriptorUse(LIMIT, RESERVE, RESERVE + 5, True, True), [LIMIT // 2]) == RESERVE + 5


# --- slots


def test_slots_show_running_processes_only(tmp_path):
    first = Slots(str(tmp_path), "a")
    assert first.is_oldest and first.others() == []
    first.publish(100)
    second = Slots(str(tmp_path), "a")
    second.publish(74)
    assert not second.is_oldest and second.others() == [100] and first.others() == [74]
    assert Slots(str(tmp_path), "b").others() == []  # another ingress
    os.close(second._fd)  # the kernel does so when a process dies
    assert first.others() == []
    third = Slots(str(tmp_path), "a")
    os.close(first._fd)
    assert third.others() == [] and third.is_oldest


@pytest.mark.parametrize("left", [b"", b"x" * 5, encode_claim(99)[:-1], encode_claim(99)[:-1] + b"?", b"\xff" * 4096])
def test_invalid_content_of_a_slot_file_is_tolerated(tmp_path, left):
    path = tmp_path / "mapleline-a.0"
    path.write_bytes(left)
    mine = Slots(str(tmp_path), "a")  # the slot is free regardless of the content
    assert mine.is_oldest and path.read_bytes() == b""
    with open(tmp_path / "mapleline-a.1", "wb") as other:  # locked, with an unreadable claim
        fcntl.flock(other, fcntl.LOCK_EX)
        other.write(left)
        other.flush()
        assert mine.others() == [None]


def test_a_missing_free_slot_raises_and_a_torn_record_is_detected(tmp_path):
    with pytest.raises(OSError):
        Slots(str(tmp_path / "missing"), "a")
    held = [Slots(str(tmp_path), "a") for _ in range(slots_module.SLOTS)]
    with pytest.raises(OSError, match="no slot"):
        Slots(str(tmp_path), "a")
    assert len(held[0].others()) == slots_module.SLOTS - 1
    assert decode_claim(encode_claim(7)) == 7 and [decode_claim(encode_claim(7)[:n]) for n in range(16)] == [None] * 16


# --- two processes of the program


class Platform:
    """Holds the listening socket and starts processes on it."""

    def __init__(self, tmp_path, server, discovery=None, **changes):
        self.tmp_path, self.server, self.changes = tmp_path, server, changes
        self.counter, self.discovery = Counter(), discovery
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.started, self.discoveries = [], []

    def config(self, discovery):
        changes = {"management": "127.0.0.1:0", "limits": {"sockets": LIMIT}, **self.changes}
        return config_for(self.counter, discovery, [self.server], **changes)

    def start(self, ready=True, **environment):
        """Start another process.

        Args:
            ready: True sends it the server list; False leaves it without any; None leaves it the configured one.
            **environment: Added to the process's environment.
        """
        discovery = Discovery()
        folder = self.tmp_path / str(len(self.started))
        folder.mkdir()
        fd = self.listener.fileno()
        environment = {"EDGE_ACCEPT_FD": str(fd), "TMPDIR": str(self.tmp_path), **environment}
        config = self.config(discovery)
        if ready is False:
            config["known"]["targets"] = []
        process = start(config, folder, fds=(fd,), **environment)
        self.started.append(process)
        ingress = Ingress(process, folder / "config.json")
        ingress.discovery = discovery
        if ready:
            self.send_list(ingress)
        return ingress

    def send_list(self, ingress):
        ingress.discovery.tell(2, [target(self.server)], whole=True)
        # the second request shows that the answer to the first was read
        ingress.discovery.next(), ingress.discovery.next()

    def client(self):
        return Client(self.listener.getsockname())


@contextmanager
def platform(tmp_path, server=None, **changes):
    held = Platform(tmp_path, server or serving(), **changes)
    try:
        yield held
    finally:
        for process in held.started:
            process.kill()
            process.wait()
        held.listener.close()


def accepted(ingress):
    return ingress.counts().get("client.connected", 0)


def test_the_old_process_serves_until_the_new_one_is_ready(tmp_path):
    with platform(tmp_path) as held:
        old = held.start()
        new = held.start(ready=False)
        assert new.call("GET /-/ready")[0] == 503 and old.call("GET /-/ready")[0] == 200
        clients = [held.client() for _ in range(30)]
        assert {c.ask()[0] for c in clients} == {200}
        assert accepted(new) == 0  # it must not accept clients before it has the server list
        held.send_list(new)
        assert new.call("GET /-/ready")[0] == 200


def test_sigterm_moves_clients_to_the_new_process_without_loss(tmp_path):
    server, gate = held_back()
    with platform(tmp_path, server) as held:
        old, new = held.start(), held.start(ready=False)
        idle, busy, half, unused = (held.client() for _ in range(4))
        gate.put(1)
        assert idle.ask()[0] == 200
        busy.send(customer=7)
        data = half.bytes_of(cls="book", body=b"x" * 40)
        half.send(data[:-20])
        server.next(), server.next()
        while old.call("GET /-/ready")[2]["connections"] < 4:
            pass
        held.send_list(new)
        old.process.send_signal(signal.SIGTERM)
        old.event("told to leave")
        assert old.call("GET /-/ready")[2]["state"] == "leaving"
        late = held.client()  # accepted by the new process
        gate.put(1), gate.put(1), gate.put(1), gate.put(1)
        status, headers, _ = busy.answer()
        assert status == 200 and headers["connection"] == "close"
        assert half.send(data[-20:]).answer()[0] == 200 and half.ended() == b""
        status, headers, _ = unused.ask()  # connected before SIGTERM, sent its request after it
        assert status == 200 and headers["connection"] == "close"
        assert idle.ended() == b""
        assert late.ask()[0] == 200
        assert old.process.wait(WAIT_S) == 0  # it exits once its last connection has ended
        assert held.client().ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200
        assert new.call("GET /-/ready")[0] == 200


def test_the_leaving_process_still_answers_readiness_checks(tmp_path):
    server, gate = held_back()
    with platform(tmp_path, server) as held:
        old = held.start()
        client, front = held.client().send(), held.client()
        server.next()
        held.start()
        old.process.send_signal(signal.SIGTERM)
        old.event("told to leave")
        status, headers, _ = front.ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert status == 200 and headers["connection"] == "close"
        gate.put(1)
        assert client.answer()[0] == 200


@pytest.mark.parametrize("ready", [False, True])
def test_the_old_process_continues_if_the_new_one_dies(tmp_path, ready):
    with platform(tmp_path) as held:
        old = held.start()
        new = held.start(ready=ready)
        new.process.kill()
        new.process.wait()
        clients = [held.client() for _ in range(40)]
        assert {c.ask()[0] for c in clients} == {200}
        assert old.call("GET /-/ready")[2]["connections"] == 40


def test_the_new_process_accepts_all_clients_if_the_old_one_is_killed(tmp_path):
    with platform(tmp_path) as held:
        old, new = held.start(), held.start()
        old.process.kill()
        old.process.wait()
        clients = [held.client() for _ in range(40)]
        assert {c.ask()[0] for c in clients} == {200}
        assert accepted(new) == 40


def test_two_restarts_in_a_row(tmp_path):
    with platform(tmp_path) as held:
        process = held.start()
        for _ in range(2):
            client = held.client()
            assert client.ask()[0] == 200
            successor = held.start()
            process.process.send_signal(signal.SIGTERM)
            assert client.ended() == b""
            assert process.process.wait(WAIT_S) == 0
            process = successor
        assert held.client().ask()[0] == 200
        assert len(list(tmp_path.glob("mapleline-*"))) <= slots_module.SLOTS


def test_descriptors_of_both_processes_stay_within_the_limit(tmp_path):
    with platform(tmp_path) as held:
        old = held.start()
        first_clients = [held.client() for _ in range(80)]
        assert {c.ask()[0] for c in first_clients} == {200}
        new = held.start()
        more_clients = [held.client() for _ in range(60)]
        assert {c.ask()[0] for c in more_clients} == {200}

        def total():
            return sum(len(os.listdir(f"/proc/{i.process.pid}/fd")) for i in (old, new))

        assert total() <= LIMIT
        while not old.counts().get("takeover.beside"):
            pass  # it reads the claims ten times a second
        assert total() <= LIMIT


def test_management_commands_during_the_overlap_affect_only_their_process(tmp_path):
    with platform(tmp_path) as held:
        old, new = held.start(), held.start()
        assert old.call("POST /-/drain")[0] == 200
        assert new.call("GET /-/ready")[0] == 200 and old.call("GET /-/ready")[0] == 503
        for ingress in (old, new):
            ingress.reload(held.config(ingress.discovery))
            ingress.event("reloaded")
        assert new.call("GET /-/ready")[0] == 200
        old.process.send_signal(signal.SIGTERM)
        assert old.process.wait(WAIT_S) == 0
        assert held.client().ask()[0] == 200


def test_a_process_becomes_ready_without_discovery_after_a_while(tmp_path):
    with platform(tmp_path) as held:
        held.start(ready=None)
        assert held.client().ask()[0] == 200  # accepted once it is ready with the list in its configuration


@pytest.mark.parametrize("folder", ["missing", "file"])
def test_a_process_starts_without_a_slot_and_uses_half_of_the_descriptors(tmp_path, folder):
    (tmp_path / "file").write_text("")
    with platform(tmp_path) as held:
        ingress = held.start(TMPDIR=str(tmp_path / folder))
        assert held.client().ask()[0] == 200
        assert ingress.process.poll() is None


@pytest.mark.parametrize(
    ("fd", "fault"),
    [
        ("x", "expected a descriptor"),
        ("-1", "expected a descriptor"),
        ("909", "Bad file"),
        ("2", ""),
    ],
)
def test_an_inherited_descriptor_that_is_not_a_listener_stops_the_start(tmp_path, fd, fault):
    process = start(config_for(Counter(), Discovery(), []), tmp_path, EDGE_ACCEPT_FD=fd)
    error = process.communicate(timeout=WAIT_S)[1]
    assert process.returncode == 2
    assert json.loads(error.splitlines()[-1])["fault"].startswith(f"EDGE_ACCEPT_FD: {fault}")


def test_a_connected_or_bound_socket_is_not_a_listener(tmp_path):
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as client, socket.socket() as bound:
            bound.bind(("127.0.0.1", 0))
            for n, one in enumerate((client, bound)):
                folder = tmp_path / str(n)
                folder.mkdir()
                config = config_for(Counter(), Discovery(), [])
                fd = one.fileno()
                process = start(config, folder, fds=(fd,), EDGE_ACCEPT_FD=str(fd))
                error = process.communicate(timeout=WAIT_S)[1]
                assert process.returncode == 2 and b"EDGE_ACCEPT_FD: expected a listening" in error
