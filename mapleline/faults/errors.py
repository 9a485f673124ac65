"""Errors of the rig itself."""

from __future__ import annotations


class FaultRigError(Exception):
    """Base class of the rig's errors."""


class NoFreePortError(FaultRigError):
    """Every port of the controller's range is in use."""


class ProcessNotStartedError(FaultRigError):
    """An operation needs a process that has not been started."""
