"""The exceptions of the control plane."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all exceptions that this package raises."""


class CorruptFileError(ControlError):
    """A file of the replica's folder is torn, empty or foreign, or has the wrong content; the text names the fault."""


class LegacyFormatError(ControlError):
    """A file of the earlier format cannot be read; the text names the file and the fault."""


class MissingContentError(ControlError, KeyError):
    """A save lacks a configuration that its record references; the text names the configuration's file."""


class ReplacedReplicaError(ControlError, OSError):
    """A save has a disk identity that the folder has abandoned."""
