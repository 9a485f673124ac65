"""Drives the decision module: keeps open requests, attempts, counter calls and timers, and does no I/O itself."""

from .engine import Engine
from .records import Attempt, CounterCall, OpenRequest

__all__ = ["Attempt", "CounterCall", "Engine", "OpenRequest"]
