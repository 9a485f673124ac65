"""Runs a fleet: one process per party, fault proxy links between them, the load and the faults.

The package drives subprocesses and Twisted and writes one log per source, which the checker evaluates afterwards.
Every address is on loopback.
"""

from .controller import Controller
from .parties import FleetOptions

__all__ = ["Controller", "FleetOptions"]
