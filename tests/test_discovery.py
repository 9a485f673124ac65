"""The calls of a fleet to one discovery service, in simulated time."""

from collections import deque

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from mapleline.http1 import BufferPool, Response
from mapleline.net.backoff import MIN_PAUSE_S, Backoff
from mapleline.net.discovery import Directory, Watcher, backoff
from mapleline.policy import interface as i

CALL_TIMEOUT_S = 2.0


class Discovery:
    """A service that takes calls in their order, `rate` a second, including those whose callers have timed out."""

    def __init__(self, clock, rate):
        self.clock, self.rate, self.queue = clock, rate, deque()
        self.calls = self.subscribed = 0
        clock.callLater(1 / rate, self.serve)

    def ask(self):
        self.calls += 1
        call = Deferred()
        self.queue.append((call, self.clock.callLater(CALL_TIMEOUT_S, self.reject, call)))
        return call

    @staticmethod
    def reject(call):
        call.callback(Response(503, {}, b"", True))

    def serve(self):
        if self.queue:
            call, timeout = self.queue.popleft()
            if timeout.active():
                timeout.cancel()
                self.subscribed += 1  # such a call is answered at the next change
        self.clock.callLater(1 / self.rate, self.serve)


def fleet(clock, discovery, size, pauses=None):
    for number in range(size):
        pause = pauses or backoff(i.Start(seed=number, ingresses=size, list_on_request=True))
        watcher = Watcher(clock, ("10.0.0.1", 1), BufferPool(), Directory([], []), lambda news: None, pause)
        watcher._request_list = discovery.ask
        watcher.start()


@pytest.mark.parametrize("size, rate", [(40, 8), (40, 6), (3, 4), (200, 40)])
def test_a_fleet_that_starts_at_once_is_subscribed_soon_with_few_calls(size, rate):
    clock = Clock()
    discovery = Discovery(clock, rate)
    fleet(clock, discovery, size)
    shortest_s = size / rate  # if the service is never idle and serves no call that has timed out
    for _ in range(int(100 * (5 * shortest_s + 5))):
        clock.advance(0.01)
    assert discovery.subscribed >= 0.95 * size
    assert discovery.calls <= 4 * size


def test_with_pushed_changes_the_first_call_is_immediate_and_pauses_are_short():
    """The agent of this machine serves one ingress; a late watch would learn of a drain late."""
    clock = Clock()
    discovery = Discovery(clock, 100)
    pushed = backoff(i.Start(seed=1, ingresses=40, list_ask_within_ns=10_000_000_000))
    fleet(clock, discovery, 1, pushed)
    assert discovery.calls == 1
    assert max(pushed.pause() for _ in range(100)) <= 0.5


@pytest.mark.parametrize("failures", [0, 1])
def test_a_watcher_stopped_during_a_pause_reports_no_error(failures):
    """A stop within the first 2 s cancelled the pause, which was logged as an unhandled error."""
    clock = Clock()
    discovery = Discovery(clock, 0.01)
    pauses = Backoff(1, 40)
    watcher = Watcher(clock, ("10.0.0.1", 1), BufferPool(), Directory([], []), lambda news: None, pauses)
    watcher._request_list = discovery.ask
    watcher.start()
    while discovery.calls < failures or any(timeout.active() for _, timeout in discovery.queue):
        clock.advance(0.01)
    watcher.stop()
    clock.advance(60)
    assert discovery.calls == failures
    assert not isinstance(watcher._loop.result, Failure)


class FixedPause:
    """A fixed pause, the same for all ingresses and after any number of failures."""

    shared = False

    def pause(self):
        return 0.05

    def succeeded(self):
        pass


def test_with_fixed_pauses_the_same_fleet_is_not_subscribed():
    """Shows that the simulated service fails without backoff, so that the test of a starting fleet can fail."""
    clock = Clock()
    discovery = Discovery(clock, 8)
    fleet(clock, discovery, 40, FixedPause())
    for _ in range(3000):
        clock.advance(0.01)
    assert discovery.subscribed < 30
    assert discovery.calls > 200


def test_pauses_grow_to_a_bound_differ_between_ingresses_and_reset_after_a_success():
    one, other = Backoff(1, 40, max_bound_s=10.0), Backoff(2, 40, max_bound_s=10.0)
    pauses = [one.pause() for _ in range(200)]
    assert pauses != [other.pause() for _ in range(200)]
    assert pauses[0] <= 2.0 and MIN_PAUSE_S <= min(pauses) and 9.0 < max(pauses) <= 10.0
    one.succeeded()
    assert one.pause() <= 2.0
    assert Backoff(1, 40, max_bound_s=10.0).pause() == pauses[0]
