"""What goes wrong in the rig itself."""

from __future__ import annotations


class FaultRigError(Exception):
    """The rig cannot do what it was asked to."""


class NoFreePortError(FaultRigError):
    """Every port of the controller's range is in use."""


class ProcessNotStartedError(FaultRigError):
    """A process was used that has not been started."""
