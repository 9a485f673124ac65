"""Checking blocks against what a dataclass declares: kinds, ranges, defaults, and the nearest known name.

A settings class is a dataclass whose fields are made by `number`, `whole`, `flag`, `text` or `word`; `read`
fills it from a block and tells every fault, not only the first.
"""

from __future__ import annotations

import dataclasses
import difflib
import math
from typing import Any, TypeVar

from .hcl import Block, Fault

T = TypeVar("T")
KINDS = {bool: "true or false", int: "a whole number", float: "a number", str: "a text"}


def _field(kind: type, default: Any, doc: str, **rules: Any) -> Any:
    return dataclasses.field(default=default, metadata={"kind": kind, "doc": doc, **rules})


def number(default: float, doc: str, least: float = 0.0, most: float = math.inf) -> Any:
    return _field(float, default, doc, least=least, most=most)


def whole(default: int, doc: str, least: int = 0, most: float = math.inf) -> Any:
    return _field(int, default, doc, least=least, most=most)


def flag(default: bool, doc: str) -> Any:
    return _field(bool, default, doc)


def text(default: str, doc: str) -> Any:
    return _field(str, default, doc)


def word(default: str, doc: str, words: tuple[str, ...]) -> Any:
    return _field(str, default, doc, words=words)


def nearest(name: str, known: list[str]) -> str:
    """A hint at what may have been meant, or at all that there is."""
    close = difflib.get_close_matches(name, known, 1, 0.5)
    return f"did you mean {close[0]!r}?" if close else f"known: {', '.join(sorted(known))}"


def read(cls: type[T], block: Block, at: str, faults: list[Fault]) -> T:
    """The settings of one block; what is wrong is added to `faults` and keeps its default."""
    faults += block.faults
    fields = {f.name: f for f in dataclasses.fields(cls) if "kind" in f.metadata}
    given: dict[str, Any] = {}
    for name, value in block.values.items():
        key = f"{at}.{name}" if at else name
        if name not in fields:
            faults.append(Fault(value.line, key, f"unknown; {nearest(name, list(fields))}"))
        elif value.value is not None:
            why = _wrong(value.value, fields[name].metadata)
            if why:
                faults.append(Fault(value.line, key, why))
            else:
                given[name] = fields[name].metadata["kind"](value.value)
    for inner in block.blocks:
        faults.append(Fault(inner.line, f"{at}.{inner.key}" if at else inner.key, "no block is known here"))
    return cls(**given)


def _wrong(value: Any, rules: Any) -> str:
    kind = rules["kind"]
    wanted = (int, float) if kind is float else kind
    if not isinstance(value, wanted) or (isinstance(value, bool) and kind is not bool):
        return f"expected {KINDS[kind]}, got {value!r}"
    if "least" in rules and not rules["least"] <= value <= rules["most"]:
        return f"expected {rules['least']:g} to {rules['most']:g}, got {value:g}"
    if "words" in rules and value not in rules["words"]:
        return f"expected one of {', '.join(rules['words'])}; {nearest(value, list(rules['words']))}"
    return ""
