"""Twisted's epoll reactor without the log context that it makes anew for each event.

`callWithLogger` copies a dictionary, pushes a context and formats a prefix for each readable socket, so that
log lines of old Twisted code can name their connection.  Our log does not use it (docs/several-cores.md has
what it cost).  `_doReadOrWrite` catches and logs what a protocol raises, as before.
"""

from __future__ import annotations

import errno
from typing import Any

from twisted.internet import epollreactor, main


class LeanEPollReactor(epollreactor.EPollReactor):
    """Reads and writes as its base does."""

    def doPoll(self, timeout: float | None) -> None:
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except OSError as err:
            if err.errno == errno.EINTR:
                return
            raise
        selectables, read_or_write = self._selectables, self._doReadOrWrite
        for fd, event in events:
            selectable = selectables.get(fd)  # one event may close another's
            if selectable is not None:
                read_or_write(selectable, fd, event)

    doIteration = doPoll


def install() -> Any:
    """Make this the process's reactor; called before anything imports `twisted.internet.reactor`."""
    reactor = LeanEPollReactor()
    main.installReactor(reactor)
    return reactor
