"""The exceptions of the control plane."""

from __future__ import annotations


class ControlError(Exception):
    """Base of all exceptions that this package raises."""


class CorruptFileError(ControlError):
    """A file of the replica's folder is torn, empty or foreign; the text says which of these."""


class LegacyFormatError(ControlError):
    """A file of the earlier format cannot be read; the text names the file and the fault."""


class MissingContentError(ControlError, KeyError):
    """A record was to be saved without a configuration that it references; the text names its file."""


class ReplacedReplicaError(ControlError, OSError):
    """A record was to be saved under an identity that the folder has given up."""
