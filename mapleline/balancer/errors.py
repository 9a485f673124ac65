"""The base of errors in what operators and the platform hand in: settings files and configurations."""

from __future__ import annotations


class InvalidInputError(Exception):
    """An input that breaks a rule.

    Attributes:
        key: The dotted path of the value at fault, such as `route_table.r2.timeout`.
        problem: What is wrong with it.
    """

    def __init__(self, key: str, problem: str) -> None:
        """Store both; the text of the error is `<key>: <problem>`."""
        super().__init__(f"{key}: {problem}")
        self.key = key
        self.problem = problem
