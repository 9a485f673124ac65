"""Updates of the server list for workers: merged, acknowledged, and complete for a new worker."""

from hypothesis import given
from hypothesis import strategies as st

from mapleline.cores.messages import ServerEntry
from mapleline.cores.server_list_feed import ServerListFeed
from mapleline.policy.interface import ServerState


def entry(number, state=0):
    return ServerEntry(number, ServerState(state), 0, 1.0, 0, 0, 0, "127.0.0.1", 80)


def changes_by_server(changes):
    return sorted((change.server, change.is_draining) for change in changes)


def test_a_stalled_worker_gets_the_newest_state_in_one_update_and_uses_no_memory():
    feed = ServerListFeed()
    feed.apply([entry(n) for n in range(3)], is_complete=True)
    feed.add_worker(0)
    first = feed.next_update(0)
    assert first.is_complete
    assert len(first.servers) == 3
    for revision in range(1000):
        feed.apply([entry(1, state=revision % 2 * 2)], is_complete=False)
        assert feed.next_update(0) is None  # one update in flight at a time
    feed.apply([entry(2, state=1)], is_complete=False)
    feed.acknowledge(0, first.revision)
    second = feed.next_update(0)
    assert not second.is_complete
    assert second.servers == [entry(1, state=2), entry(2, state=1)]
    feed.acknowledge(0, second.revision)
    assert feed.next_update(0) is None
    assert feed.server_count == 2
    assert len(feed._entries) == 2


def test_a_complete_list_drains_the_servers_that_are_missing_from_it():
    feed = ServerListFeed()
    feed.add_worker(0)
    feed.apply([entry(1), entry(2)], is_complete=True, is_cached=True)
    assert feed.next_update(0).is_cached
    assert changes_by_server(feed.apply([entry(2, state=2)], is_complete=True)) == [(1, True), (2, True)]
    feed.acknowledge(0, 1)
    assert sorted([server.number, server.state] for server in feed.next_update(0).servers) == [[1, 1], [2, 2]]


class Workers:
    """Workers that apply updates some time after they were sent."""

    def __init__(self, feed):
        self.feed = feed
        self.views = {}  # by worker: the state of each server
        self.in_flight = {}  # by worker: the update that was sent and is not yet applied

    def send_to(self, worker):
        if worker not in self.in_flight:
            update = self.feed.next_update(worker)
            if update is not None:
                self.in_flight[worker] = update

    def deliver(self, worker):
        """Apply the update in flight, or the next; returns whether there was one."""
        update = self.in_flight.pop(worker, None) or self.feed.next_update(worker)
        if update is None:
            return False
        view = {} if update.is_complete else self.views[worker]
        view.update({server.number: server.state for server in update.servers})
        self.views[worker] = {n: state for n, state in view.items() if state != ServerState.GONE}
        self.feed.acknowledge(worker, update.revision)
        return True

    def deliver_all(self, worker):
        while self.deliver(worker):
            pass


@given(st.lists(st.one_of(st.tuples(st.integers(0, 4), st.integers(0, 2)), st.sampled_from("abjx"))))
def test_every_worker_converges_to_the_list(events):
    """The updates that a worker has applied add up to the complete list.

    This holds if it acknowledges late or never, and if workers exit in between.  Events: a tuple changes the state of a
    server; "a" and "b" deliver an update to worker 0 and 1; "j" adds worker 1; "x" replaces worker 0.
    """
    feed, state_by_server = ServerListFeed(), {}
    workers = Workers(feed)
    feed.add_worker(0)
    for event in events:
        if isinstance(event, tuple):
            state_by_server[event[0]] = event[1]
            feed.apply([entry(*event)], is_complete=False)
            workers.send_to(0)
        elif event == "a":
            workers.deliver(0)
        elif event == "j":
            feed.add_worker(1)
        elif event == "b" and 1 in feed._subscribers:
            workers.deliver(1)
        elif event == "x":
            feed.remove_worker(0)
            feed.add_worker(0)
            workers.in_flight.clear()
    feed.add_worker(1)
    workers.deliver_all(0)
    workers.deliver_all(1)
    feed.apply([], is_complete=False)
    expected = {n: state for n, state in state_by_server.items() if state != ServerState.GONE}
    assert workers.views.get(0, {}) == expected
    assert workers.views.get(1, {}) == expected
