"""The base class of errors in input of operators and the platform: settings files and configurations."""

from __future__ import annotations


class InvalidInputError(Exception):
    """The input is invalid.

    Attributes:
        key: The dotted path of the value at fault, such as `route_table.r2.timeout`.
        problem: The description of the fault.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Create an error with the text `<key>: <problem>`."""
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
