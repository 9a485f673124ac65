"""The system's reactor: the present program's lean one, on the steady clock."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet import main

from ..net.reactor import LeanEPollReactor


class SteadyReactor(LeanEPollReactor):
    """Timers by the steady clock: the time of day may step."""

    seconds = staticmethod(time.monotonic)


def install() -> Any:
    """Make this the process's reactor."""
    reactor = SteadyReactor()
    main.installReactor(reactor)
    return reactor
