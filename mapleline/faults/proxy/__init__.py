"""The fault proxy: TCP relays on loopback whose faults the schedule sets while they run (Twisted drivers)."""

from .fault import LinkFault
from .link import Link

__all__ = ["Link", "LinkFault"]
