"""Virtual time: a heap of timers, and a reactor for each incarnation of a process.

Nothing waits for, or reads, a real clock.  Twisted's own `task.Clock` sorts all of its calls whenever one is added;
that is too slow to simulate a minute of a dozen nodes.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Protocol


class Timer:
    """One scheduled call; the counterpart of Twisted's `IDelayedCall`."""

    __slots__ = ("_args", "_function", "at")

    def __init__(self, at: float, function: Callable[..., object], args: tuple[object, ...]) -> None:
        """Set the timer.

        Args:
            at: The moment of the call, in seconds of virtual time.
            function: The function to call.
            args: The arguments of the call.
        """
        self.at = at
        self._function: Callable[..., object] | None = function
        self._args = args

    def active(self) -> bool:
        """Return whether the call is pending: neither made nor cancelled."""
        return self._function is not None

    def cancel(self) -> None:
        """Cancel the call; this has no effect if it was already made or cancelled."""
        self._function = None
        self._args = ()

    def fire(self) -> None:
        """Make the call, unless it was cancelled."""
        function, args = self._function, self._args
        if function is not None:
            self.cancel()
            function(*args)


class EventLoop:
    """A virtual clock (`balancer.clock.Clock`): timers fire by moment, and equal ones in the order of creation."""

    def __init__(self, now: float) -> None:
        """Start the clock at `now`, in seconds."""
        self.now = now
        self._timers_set = 0
        self._heap: list[tuple[float, int, Timer]] = []

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def callLater(self, delay: float, function: Callable[..., object], /, *args: object) -> Timer:
        """Call `function(*args)` in `delay` seconds; a negative delay counts as zero."""
        self._timers_set += 1
        timer = Timer(self.now + max(0.0, delay), function, args)
        heappush(self._heap, (timer.at, self._timers_set, timer))
        return timer

    def run_until(self, end: float) -> None:
        """Fire all timers up to the moment `end`, each at its own moment; the clock then shows `end`."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, timer = heappop(self._heap)
            timer.fire()
        self.now = end


class Process(Protocol):
    """The interface that a reactor needs of the process that runs on it."""

    @property
    def frozen_until(self) -> float:
        """The moment until which the process is frozen and executes nothing, in seconds of virtual time."""

    def kill(self) -> None:
        """End the process at once."""


class ProcessReactor:
    """The reactor of one incarnation of a process (`balancer.clock.Reactor`).

    It makes no call after the incarnation has ended.  Calls that are due during a freeze are made right after it.
    """

    def __init__(self, clock: EventLoop, machine: Process) -> None:
        """Create the reactor of a process that starts now on `machine`."""
        self.clock = clock
        self.machine = machine
        self.is_stopped = False

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.seconds()

    def callLater(self, delay: float, function: Callable[..., object], /, *args: object) -> Timer:
        """Call `function(*args)` in `delay` seconds if the incarnation still exists then."""
        return self.clock.callLater(delay, self.run, function, *args)

    def run(self, function: Callable[..., object], *args: object) -> None:
        """Call `function(*args)` now, or after a freeze; never if the incarnation has ended."""
        if self.is_stopped:
            return
        if self.machine.frozen_until > self.seconds():
            self.clock.callLater(self.machine.frozen_until - self.seconds(), self.run, function, *args)
        else:
            function(*args)

    def listenTCP(self, port: int, factory: object, backlog: int = 50, interface: str = "") -> None:
        """Do nothing: clients and operators reach the process by `World.send_request`."""

    def stop(self) -> None:
        """End the process."""
        self.machine.kill()
