"""Shared fixtures: fleets that play schedules, and the cleanup of sockets after each test.

Without the cleanup the process that runs all tests would run out of file descriptors.
"""

import os
from concurrent.futures import ThreadPoolExecutor

import pytest
from ingress import Client, Peer
from rig import play

MAX_FLEETS = min(5, 1 + (os.cpu_count() or 1) // 2)  # at the same time; each has a dozen processes that mostly wait


def pytest_configure(config):
    config.addinivalue_line("markers", "schedule(text, *flags): the `logs` of a fleet that plays it")


@pytest.fixture(scope="session")
def plays(request, tmp_path_factory):
    """Play the schedules of all tests of this run concurrently; return futures of their logs by test id."""
    with ThreadPoolExecutor(MAX_FLEETS) as pool:
        marked = [(item.nodeid, item.get_closest_marker("schedule")) for item in request.session.items]
        marked = [(test_id, marker.args) for test_id, marker in marked if marker is not None]
        logs_by_test = {}
        # Schedules without an ingress's defences run alone, since delays on a busy machine would break rules as well.
        for test_id, args in sorted(marked, key=lambda marked_test: "--bare" not in marked_test[1]):
            logs_by_test[test_id] = pool.submit(play, args[0], tmp_path_factory.mktemp("fleet"), *args[1:])
            if "--bare" in args:
                logs_by_test[test_id].exception()  # waits for the end of the run
        yield logs_by_test


@pytest.fixture
def logs(request, plays):
    """The logs of the fleet that played the test's schedule."""
    return plays[request.node.nodeid].result()


@pytest.fixture(autouse=True)
def close_sockets():
    """Close the peers and clients that a test leaves open."""
    yield
    for opened, close in ((Peer.made, Peer.stop), (Client.made, lambda client: client.sock.close())):
        while opened:
            try:
                close(opened.pop())
            except OSError:
                pass  # the test has closed it already
