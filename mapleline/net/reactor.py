"""Twisted's epoll reactor without its log context per event.

`callWithLogger` copies a dictionary, pushes a context and formats a prefix for each readable socket, so that
log lines of old Twisted code can name their connection.  This program's log does not use the context
(docs/several-cores.md has its cost).  `_doReadOrWrite` still catches and logs what a protocol raises.
"""

from __future__ import annotations

import errno
from typing import Any

from twisted.internet import epollreactor, main


class LeanEPollReactor(epollreactor.EPollReactor):
    """An epoll reactor that calls `_doReadOrWrite` directly."""

    def doPoll(self, timeout: float | None) -> None:
        """Wait up to `timeout` seconds (None: without limit) and handle the events."""
        try:
            events = self._poller.poll(-1 if timeout is None else timeout, len(self._selectables))
        except OSError as err:
            if err.errno == errno.EINTR:
                return
            raise
        selectables, read_or_write = self._selectables, self._doReadOrWrite
        for fd, event in events:
            selectable = selectables.get(fd)  # an earlier event of this poll may have closed it
            if selectable is not None:
                read_or_write(selectable, fd, event)

    doIteration = doPoll


def install() -> Any:
    """Install the process's reactor; must be called before anything imports `twisted.internet.reactor`."""
    reactor = LeanEPollReactor()
    main.installReactor(reactor)
    return reactor
