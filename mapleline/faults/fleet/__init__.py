"""The fleet: every party a process, a link of the fault proxy between any two, the load and the faults.

Drivers (Twisted, subprocesses): they write a log a source and leave the verdict to the checker.  Every address is on
loopback.
"""

from .controller import Controller
from .parties import FleetOptions

__all__ = ["Controller", "FleetOptions"]
