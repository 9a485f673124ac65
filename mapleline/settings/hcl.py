"""Reads HCL text into plain blocks with line numbers; python-hcl2 parses the text.

All values are constants: an expression, a reference or a function call is reported as a fault of its line.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class SettingsError(Exception):
    """An error in a settings file.

    Attributes:
        line: the line number from 1; 0 if the error belongs to no line.
        key: the faulty key; empty if the error belongs to none.
        reason: a short description.
    """

    def __init__(self, line: int, key: str, reason: str) -> None:
        super().__init__(f"line {line}: {key}: {reason}" if key else f"line {line}: {reason}")
        self.line, self.key, self.reason = line, key, reason


@dataclass(slots=True)
class Value:
    """A constant: None, bool, int, float, str, or a list of them."""

    value: Any
    line: int


@dataclass(slots=True)
class Block:
    """A block: its type (`name`), its labels and the contents of its body, in the file's order."""

    name: str
    labels: tuple[str, ...]
    line: int
    values: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    faults: list[SettingsError] = field(default_factory=list)

    @property
    def key(self) -> str:
        """The name and the labels, joined by dots."""
        return ".".join((self.name, *self.labels))


def parse(text: str) -> Block:
    """Return the file as a block without a name.

    Raises:
        SettingsError: if the text is not HCL.  Faults of single values are collected in their blocks instead.
    """
    import hcl2  # imported here, as it takes 9 MB of memory that a process without HCL settings saves
    from lark.exceptions import UnexpectedInput

    try:
        tree = hcl2.parses_to_tree(text)
    except UnexpectedInput as error:
        raise SettingsError(max(0, getattr(error, "line", 0)), "", "not HCL: " + _describe(error)) from None
    top = Block("", (), 1)
    _read_body(tree.children[0], top, "")
    return top


def _describe(error: Any) -> str:
    token = getattr(error, "token", None) or getattr(error, "char", "")
    return f"unexpected {str(token).strip().splitlines()[0]!r}" if str(token).strip() else "unexpected end"


def _read_body(tree: Any, block: Block, key_prefix: str) -> None:
    for child in tree.children:
        kind = getattr(child, "data", None)
        if kind == "attribute":
            name = str(child.children[0].children[0])
            line, key = child.meta.line, f"{key_prefix}{name}"
            if name in block.values:
                block.faults.append(SettingsError(line, key, f"set twice, first on line {block.values[name].line}"))
                continue
            try:
                block.values[name] = Value(_read_constant(child.children[2]), line)
            except ValueError as error:
                block.faults.append(SettingsError(line, key, str(error)))
                block.values[name] = Value(None, line)  # keeps the key from being reported as missing as well
        elif kind == "block":
            headings = [part for part in child.children if getattr(part, "data", None) in ("identifier", "string")]
            name, *labels = (_read_label(heading) for heading in headings)
            inner_block = Block(name, tuple(labels), child.meta.line)
            _read_body(
                next(part for part in child.children if getattr(part, "data", None) == "body"),
                inner_block,
                f"{key_prefix}{inner_block.key}.",
            )
            block.blocks.append(inner_block)


def _read_label(tree: Any) -> str:
    return str(tree.children[0]) if tree.data == "identifier" else _read_string(tree)


def _read_string(tree: Any) -> str:
    parts = []
    for child in tree.children:
        if getattr(child, "data", None) != "string_part":
            continue
        token = child.children[0]
        if getattr(token, "data", None) is not None:
            raise ValueError("expected a constant, not an expression in a text")
        if token.type == "ESCAPED_INTERPOLATION":
            parts.append(str(token)[1:])
        else:
            parts.append(str(token))
    text = "".join(parts)
    return text.encode().decode("unicode_escape") if "\\" in text and text.isascii() else text


def _read_constant(tree: Any) -> Any:
    kind = getattr(tree, "data", None)
    if kind == "expr_term":
        terms = [child for child in tree.children if getattr(child, "data", None) not in (None, "new_line_or_comment")]
        if len(terms) == 1 and len(tree.children) == 1:
            return _read_constant(terms[0])
    elif kind in ("int_lit", "float_lit"):
        text = str(tree.children[0])
        return int(text) if kind == "int_lit" else float(text)
    elif kind == "literal_value":
        return {"true": True, "false": False, "null": None}[str(tree.children[0])]
    elif kind == "string":
        return _read_string(tree)
    elif kind == "tuple":
        return [_read_constant(child) for child in tree.children if getattr(child, "data", None) == "expr_term"]
    raise ValueError("expected a constant: a number, a text, true, false, null or a list of them")
