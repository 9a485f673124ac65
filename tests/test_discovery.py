"""A fleet's calls to one discovery, in virtual time."""

from collections import deque

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from mapleline.http1 import BufferPool, Response
from mapleline.net.backoff import MIN_PAUSE_S, Backoff
from mapleline.net.discovery import Directory, Watcher, backoff
from mapleline.policy import interface as i

PATIENCE_S = 2.0


class Discovery:
    """Serves calls in turn, `rate` a second, and those too whose askers have left by then."""

    def __init__(self, clock, rate):
        self.clock, self.rate, self.queue = clock, rate, deque()
        self.calls = self.subscribed = 0
        clock.callLater(1 / rate, self.serve)

    def ask(self):
        self.calls += 1
        call = Deferred()
        self.queue.append((call, self.clock.callLater(PATIENCE_S, self.refuse, call)))
        return call

    @staticmethod
    def refuse(call):
        call.callback(Response(503, {}, b"", True))

    def serve(self):
        if self.queue:
            call, patience = self.queue.popleft()
            if patience.active():
                patience.cancel()
                self.subscribed += 1  # answered once there is news
        self.clock.callLater(1 / self.rate, self.serve)


def fleet(clock, discovery, size, pauses=None):
    for n in range(size):
        pause = pauses or backoff(i.Start(seed=n, gateways=size, list_on_request=True))
        watcher = Watcher(clock, ("10.0.0.1", 1), BufferPool(), Directory([], []), lambda news: None, pause)
        watcher._ask = discovery.ask
        watcher.start()


@pytest.mark.parametrize("size, rate", [(40, 8), (40, 6), (3, 4), (200, 40)])
def test_a_fleet_that_starts_at_once_is_subscribed_soon_and_with_few_calls(size, rate):
    clock = Clock()
    discovery = Discovery(clock, rate)
    fleet(clock, discovery, size)
    least_s = size / rate  # by a service that is never idle and answers no call in vain
    for _ in range(int(100 * (5 * least_s + 5))):
        clock.advance(0.01)
    assert discovery.subscribed >= 0.95 * size
    assert discovery.calls <= 4 * size


def test_where_changes_are_pushed_the_first_call_is_made_at_once_and_no_pause_is_long():
    """The agent answers alone: a watch that starts late learns late of a drain."""
    clock = Clock()
    discovery = Discovery(clock, 100)
    pushed = backoff(i.Start(seed=1, gateways=40, list_ask_within_ns=10_000_000_000))
    fleet(clock, discovery, 1, pushed)
    assert discovery.calls == 1
    assert max(pushed.pause() for _ in range(100)) <= 0.5


@pytest.mark.parametrize("failures", [0, 1])
def test_a_watcher_stopped_in_a_pause_reports_no_fault(failures):
    """Its cancelled pause was logged as an error that nobody handled: at a stop within the first 2 s."""
    clock = Clock()
    discovery = Discovery(clock, 0.01)
    pauses = Backoff(1, 40)
    watcher = Watcher(clock, ("10.0.0.1", 1), BufferPool(), Directory([], []), lambda news: None, pauses)
    watcher._ask = discovery.ask
    watcher.start()
    while discovery.calls < failures or any(patience.active() for _, patience in discovery.queue):
        clock.advance(0.01)
    watcher.stop()
    clock.advance(60)
    assert discovery.calls == failures
    assert not isinstance(watcher._loop.result, Failure)


class Fixed:
    """The pause that there was: the same for all, and after any number of failures."""

    shared = False

    def pause(self):
        return 0.05

    def succeeded(self):
        pass


def test_fixed_pauses_starve_the_same_fleet():
    """The stand-in shows the harm at all: else the test above could not fail."""
    clock = Clock()
    discovery = Discovery(clock, 8)
    fleet(clock, discovery, 40, Fixed())
    for _ in range(3000):
        clock.advance(0.01)
    assert discovery.subscribed < 30
    assert discovery.calls > 200


def test_pauses_grow_to_a_bound_differ_between_ingresses_and_start_anew_after_a_success():
    one, other = Backoff(1, 40, max_bound_s=10.0), Backoff(2, 40, max_bound_s=10.0)
    pauses = [one.pause() for _ in range(200)]
    assert pauses != [other.pause() for _ in range(200)]
    assert pauses[0] <= 2.0 and MIN_PAUSE_S <= min(pauses) and 9.0 < max(pauses) <= 10.0
    one.succeeded()
    assert one.pause() <= 2.0
    assert Backoff(1, 40, max_bound_s=10.0).pause() == pauses[0]
