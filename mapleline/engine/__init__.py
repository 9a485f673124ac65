"""Drives the decision module: open requests, their attempts, counter calls and timers, without any I/O of its own."""

from .engine import Engine
from .records import Attempt, CounterCall, OpenRequest

__all__ = ["Attempt", "CounterCall", "Engine", "OpenRequest"]
