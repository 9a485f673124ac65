"""Two processes as one ingress: who accepts, what each may use, and what is left after any death."""

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

TOTAL, START = 512, 74


# --- claims


@given(
    st.lists(
        st.tuples(st.sampled_from(["look", "take", "start", "term", "die"]), st.integers(0, 3), st.integers(0, 600)),
        max_size=60,
    )
)
def test_the_sum_of_what_is_held_stays_within_the_limit(steps):
    """A model of up to three processes that look, take descriptors as claimed, leave and die in any order."""
    claims, held, leaving, born = {0: TOTAL - START}, {0: START}, set(), {0: 0}
    for n, (what, who, amount) in enumerate(steps):
        if what == "start" and len(claims) < 2:
            who = next(k for k in range(4) if k not in claims)
            claims[who], held[who], born[who] = START, START, n + 1
        elif who not in claims:
            continue
        elif what == "look":
            others = [claims[k] for k in claims if k != who]
            elder = born[who] == min(born.values())
            claims[who] = descriptor_claim(DescriptorUse(TOTAL, START, held[who], elder, who in leaving), others)
            held[who] = min(held[who], claims[who])
        elif what == "take":
            held[who] = max(START, min(amount, claims[who]))
        elif what == "term":
            leaving.add(who)
        else:
            for kept in (claims, held, born):
                del kept[who]
            leaving.discard(who)
        assert sum(held.values()) <= TOTAL


def test_who_is_alone_has_all_but_a_start_and_the_younger_gets_half():
    assert descriptor_claim(DescriptorUse(TOTAL, START, START, True, False), []) == TOTAL - START
    assert descriptor_claim(DescriptorUse(TOTAL, START, START, False, False), [TOTAL - START]) == START
    assert descriptor_claim(DescriptorUse(TOTAL, START, START, True, False), [START]) == TOTAL // 2
    assert descriptor_claim(DescriptorUse(TOTAL, START, 300, True, False), [START]) == 300  # never below what it holds
    assert descriptor_claim(DescriptorUse(TOTAL, START, START, False, False), [TOTAL // 2]) == TOTAL // 2
    assert descriptor_claim(DescriptorUse(TOTAL, START, START + 5, True, True), [TOTAL // 2]) == START + 5


# --- slots


def test_slots_tell_the_living_from_the_dead(tmp_path):
    first = Slots(str(tmp_path), "a")
    assert first.is_elder and first.others() == []
    first.publish(100)
    second = Slots(str(tmp_path), "a")
    second.publish(74)
    assert not second.is_elder and second.others() == [100] and first.others() == [74]
    assert Slots(str(tmp_path), "b").others() == []  # another ingress
    os.close(second._fd)  # as any death does
    assert first.others() == []
    third = Slots(str(tmp_path), "a")
    os.close(first._fd)
    assert third.others() == [] and third.is_elder


@pytest.mark.parametrize("left", [b"", b"x" * 5, encode_claim(99)[:-1], encode_claim(99)[:-1] + b"?", b"\xff" * 4096])
def test_what_lies_in_a_slot_harms_nobody(tmp_path, left):
    path = tmp_path / "mapleline-a.0"
    path.write_bytes(left)
    mine = Slots(str(tmp_path), "a")  # free, whatever stands in it
    assert mine.is_elder and path.read_bytes() == b""
    with open(tmp_path / "mapleline-a.1", "wb") as other:  # held, and unreadable
        fcntl.flock(other, fcntl.LOCK_EX)
        other.write(left)
        other.flush()
        assert mine.others() == [None]


def test_no_slot_is_told_and_so_is_a_torn_record(tmp_path):
    with pytest.raises(OSError):
        Slots(str(tmp_path / "missing"), "a")
    held = [Slots(str(tmp_path), "a") for _ in range(slots_module.SLOTS)]
    with pytest.raises(OSError, match="no slot"):
        Slots(str(tmp_path), "a")
    assert len(held[0].others()) == slots_module.SLOTS - 1
    assert decode_claim(encode_claim(7)) == 7 and [decode_claim(encode_claim(7)[:n]) for n in range(16)] == [None] * 16


# --- the program, twice


class Platform:
    """Holds the listening socket and starts processes on it."""

    def __init__(self, tmp_path, server, discovery=None, **changes):
        self.tmp_path, self.server, self.changes = tmp_path, server, changes
        self.counter, self.discovery = Counter(), discovery
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.started, self.discoveries = [], []

    def config(self, discovery):
        changes = {"management": "127.0.0.1:0", "limits": {"sockets": TOTAL}, **self.changes}
        return config_for(self.counter, discovery, [self.server], **changes)

    def start(self, ready=True, **environment):
        """Another process; it is ready once it has its list from discovery, and else knows none."""
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
            self.list(ingress)
        return ingress

    def list(self, ingress):
        ingress.discovery.tell(2, [target(self.server)], whole=True)
        ingress.discovery.next(), ingress.discovery.next()  # the second: the first one's answer was read

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
        assert accepted(new) == 0  # it would have been asked before it knew the list
        held.list(new)
        assert new.call("GET /-/ready")[0] == 200


def test_sigterm_hands_clients_over_and_loses_none(tmp_path):
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
        held.list(new)
        old.process.send_signal(signal.SIGTERM)
        old.event("told to leave")
        assert old.call("GET /-/ready")[2]["state"] == "leaving"
        late = held.client()  # waits for whoever listens: the new one
        gate.put(1), gate.put(1), gate.put(1), gate.put(1)
        status, headers, _ = busy.answer()
        assert status == 200 and headers["connection"] == "close"
        assert half.send(data[-20:]).answer()[0] == 200 and half.ended() == b""
        status, headers, _ = unused.ask()  # accepted before SIGTERM, asked after it
        assert status == 200 and headers["connection"] == "close"
        assert idle.ended() == b""
        assert late.ask()[0] == 200
        assert old.process.wait(WAIT_S) == 0  # by itself, once nothing is left
        assert held.client().ask(b"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200
        assert new.call("GET /-/ready")[0] == 200


def test_the_old_process_keeps_the_address_ready(tmp_path):
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
def test_a_new_process_that_dies_leaves_the_old_one_as_it_was(tmp_path, ready):
    with platform(tmp_path) as held:
        old = held.start()
        new = held.start(ready=ready)
        new.process.kill()
        new.process.wait()
        clients = [held.client() for _ in range(40)]
        assert {c.ask()[0] for c in clients} == {200}
        assert old.call("GET /-/ready")[2]["connections"] == 40


def test_an_old_process_that_is_killed_leaves_the_address_to_the_new_one(tmp_path):
    with platform(tmp_path) as held:
        old, new = held.start(), held.start()
        old.process.kill()
        old.process.wait()
        clients = [held.client() for _ in range(40)]
        assert {c.ask()[0] for c in clients} == {200}
        assert accepted(new) == 40


def test_two_upgrades_in_a_row(tmp_path):
    with platform(tmp_path) as held:
        process = held.start()
        for _ in range(2):
            client = held.client()
            assert client.ask()[0] == 200
            following = held.start()
            process.process.send_signal(signal.SIGTERM)
            assert client.ended() == b""
            assert process.process.wait(WAIT_S) == 0
            process = following
        assert held.client().ask()[0] == 200
        assert len(list(tmp_path.glob("mapleline-*"))) <= slots_module.SLOTS


def test_descriptors_of_both_stay_within_the_limit(tmp_path):
    with platform(tmp_path) as held:
        old = held.start()
        crowd = [held.client() for _ in range(80)]
        assert {c.ask()[0] for c in crowd} == {200}
        new = held.start()
        more = [held.client() for _ in range(60)]
        assert {c.ask()[0] for c in more} == {200}

        def total():
            return sum(len(os.listdir(f"/proc/{i.process.pid}/fd")) for i in (old, new))

        assert total() <= TOTAL
        while not old.counts().get("takeover.beside"):
            pass  # it looks ten times a second
        assert total() <= TOTAL


def test_orders_during_the_overlap_reach_the_process_they_are_given_to(tmp_path):
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


def test_ready_without_discovery_after_a_while(tmp_path):
    with platform(tmp_path) as held:
        held.start(ready=None)
        assert held.client().ask()[0] == 200  # taken once it is ready by the list in its configuration


@pytest.mark.parametrize("folder", ["missing", "file"])
def test_no_slot_costs_half_of_the_descriptors_and_not_the_start(tmp_path, folder):
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
def test_a_descriptor_that_is_no_listener_ends_the_start(tmp_path, fd, fault):
    process = start(config_for(Counter(), Discovery(), []), tmp_path, EDGE_ACCEPT_FD=fd)
    error = process.communicate(timeout=WAIT_S)[1]
    assert process.returncode == 2
    assert json.loads(error.splitlines()[-1])["fault"].startswith(f"EDGE_ACCEPT_FD: {fault}")


def test_a_connected_or_bound_socket_is_no_listener(tmp_path):
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
