"""Checks blocks against dataclasses that declare the type, range and default of each setting.

The fields of a settings class are created by `number`, `whole`, `flag`, `text` or `word`.  `read` fills the class
from a block and reports every fault, not only the first.
"""

from __future__ import annotations

import dataclasses
import difflib
import math
from typing import Any, TypeVar

from .hcl import Block, SettingsError

T = TypeVar("T")
KINDS = {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}


def _field(kind: type, default: Any, doc: str, **rules: Any) -> Any:
    return dataclasses.field(default=default, metadata={"kind": kind, "doc": doc, **rules})


def number(default: float, doc: str, minimum: float = 0.0, maximum: float = math.inf) -> Any:
    """Declare a number between `minimum` and `maximum`, both included."""
    return _field(float, default, doc, minimum=minimum, maximum=maximum)


def whole(default: int, doc: str, minimum: int = 0, maximum: float = math.inf) -> Any:
    """Declare an integer between `minimum` and `maximum`, both included."""
    return _field(int, default, doc, minimum=minimum, maximum=maximum)


def flag(default: bool, doc: str) -> Any:
    """Declare a boolean."""
    return _field(bool, default, doc)


def text(default: str, doc: str) -> Any:
    """Declare a string."""
    return _field(str, default, doc)


def word(default: str, doc: str, choices: tuple[str, ...]) -> Any:
    """Declare a string that is one of `choices`."""
    return _field(str, default, doc, choices=choices)


def nearest(name: str, known: list[str]) -> str:
    """Return a hint with the known name that is most similar to `name`, or with all known names if none is."""
    close = difflib.get_close_matches(name, known, 1, 0.5)
    return f"did you mean {close[0]!r}?" if close else f"known: {', '.join(sorted(known))}"


def read(cls: type[T], block: Block, path: str, faults: list[SettingsError]) -> T:
    """Return the settings of one block.

    Faults are added to `faults`, and a faulty setting keeps its default.  `path` is the dotted key of the block.
    """
    faults += block.faults
    fields = {field.name: field for field in dataclasses.fields(cls) if "kind" in field.metadata}
    values_by_name: dict[str, Any] = {}
    for name, value in block.values.items():
        key = f"{path}.{name}" if path else name
        if name not in fields:
            faults.append(SettingsError(value.line, key, f"unknown; {nearest(name, list(fields))}"))
        elif value.value is not None:
            reason = _check(value.value, fields[name].metadata)
            if reason:
                faults.append(SettingsError(value.line, key, reason))
            else:
                values_by_name[name] = fields[name].metadata["kind"](value.value)
    for inner_block in block.blocks:
        faults.append(
            SettingsError(
                inner_block.line, f"{path}.{inner_block.key}" if path else inner_block.key, "no block is known here"
            )
        )
    return cls(**values_by_name)


def _check(value: Any, rules: Any) -> str:
    """Return why the value breaks the rules of its field, or an empty text."""
    kind = rules["kind"]
    accepted_types = (int, float) if kind is float else kind
    if not isinstance(value, accepted_types) or (isinstance(value, bool) and kind is not bool):
        return f"expected {KINDS[kind]}, got {value!r}"
    if "minimum" in rules and not rules["minimum"] <= value <= rules["maximum"]:
        return f"expected {rules['minimum']:g} to {rules['maximum']:g}, got {value:g}"
    if "choices" in rules and value not in rules["choices"]:
        return f"expected one of {', '.join(rules['choices'])}; {nearest(value, list(rules['choices']))}"
    return ""
