"""The fault proxy: TCP relays on loopback, on Twisted, whose faults can change while they run."""

from .fault import LinkFault
from .link import Link

__all__ = ["Link", "LinkFault"]
