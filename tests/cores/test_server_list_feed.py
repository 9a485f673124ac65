"""The server list as workers get it: merged, acknowledged, complete for a new worker."""

from hypothesis import given
from hypothesis import strategies as st

from mapleline.cores.messages import ServerEntry
from mapleline.cores.server_list_feed import ServerListFeed
from mapleline.policy.interface import ServerState


def entry(number, life=0):
    return ServerEntry(number, ServerState(life), 0, 1.0, 0, 0, 0, "127.0.0.1", 80)


def changes_by_server(changes):
    return sorted((change.server, change.is_draining) for change in changes)


def test_a_stalled_worker_gets_the_newest_in_one_update_and_costs_no_memory():
    feed = ServerListFeed()
    feed.apply([entry(n) for n in range(3)], is_complete=True)
    feed.add_worker(0)
    first = feed.next_update(0)
    assert first.is_complete
    assert len(first.servers) == 3
    for revision in range(1000):
        feed.apply([entry(1, life=revision % 2 * 2)], is_complete=False)
        assert feed.next_update(0) is None  # one update in flight at a time
    feed.apply([entry(2, life=1)], is_complete=False)
    feed.acknowledge(0, first.revision)
    second = feed.next_update(0)
    assert not second.is_complete
    assert second.servers == [entry(1, life=2), entry(2, life=1)]
    feed.acknowledge(0, second.revision)
    assert feed.next_update(0) is None
    assert feed.server_count == 2
    assert len(feed._entries) == 2


def test_a_complete_list_drains_what_it_no_longer_names():
    feed = ServerListFeed()
    feed.add_worker(0)
    feed.apply([entry(1), entry(2)], is_complete=True, is_cached=True)
    assert feed.next_update(0).is_cached
    assert changes_by_server(feed.apply([entry(2, life=2)], is_complete=True)) == [(1, True), (2, True)]
    feed.acknowledge(0, 1)
    assert sorted([server.number, server.life] for server in feed.next_update(0).servers) == [[1, 1], [2, 2]]


class Workers:
    """Workers that apply updates some time after they were sent."""

    def __init__(self, feed):
        self.feed = feed
        self.views = {}  # by worker: each server's life
        self.in_flight = {}  # by worker: the update that it has not applied

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
        view.update({server.number: server.life for server in update.servers})
        self.views[worker] = {n: life for n, life in view.items() if life != ServerState.GONE}
        self.feed.acknowledge(worker, update.revision)
        return True

    def deliver_all(self, worker):
        while self.deliver(worker):
            pass


@given(st.lists(st.one_of(st.tuples(st.integers(0, 4), st.integers(0, 2)), st.sampled_from("abjx"))))
def test_every_worker_converges_to_the_list(events):
    """Acknowledged late or never, with exits between: what a worker has applied is the complete list."""
    feed, truth = ServerListFeed(), {}
    workers = Workers(feed)
    feed.add_worker(0)
    for event in events:
        if isinstance(event, tuple):
            truth[event[0]] = event[1]
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
    wanted = {n: life for n, life in truth.items() if life != ServerState.GONE}
    assert workers.views.get(0, {}) == wanted
    assert workers.views.get(1, {}) == wanted
