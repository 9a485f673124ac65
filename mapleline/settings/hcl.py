"""HCL text as plain blocks with line numbers; python-hcl2 does the parsing.

Settings are constants: an expression, a reference or a function call is a fault of the line it stands on.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


class Fault(Exception):
    """One thing wrong with a file: the line (from 1; 0 where it has none), the key and why."""

    def __init__(self, line: int, key: str, why: str) -> None:
        super().__init__(f"line {line}: {key}: {why}" if key else f"line {line}: {why}")
        self.line, self.key, self.why = line, key, why


@dataclass(slots=True)
class Value:
    """A constant: None, bool, int, float, str, or a list of them."""

    value: Any
    line: int


@dataclass(slots=True)
class Block:
    """A block: its type and labels, and what stands in its body, in the file's order."""

    name: str
    labels: tuple[str, ...]
    line: int
    values: dict[str, Value] = field(default_factory=dict)
    blocks: list[Block] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)

    @property
    def key(self) -> str:
        return ".".join((self.name, *self.labels))


def parse(text: str) -> Block:
    """The file as a block without a name; raises Fault where the text is no HCL at all."""
    import hcl2  # 9 MB: only those who read HCL pay for it
    from lark.exceptions import UnexpectedInput

    try:
        tree = hcl2.parses_to_tree(text)
    except UnexpectedInput as err:
        raise Fault(max(0, getattr(err, "line", 0)), "", "not HCL: " + _shown(err)) from None
    top = Block("", (), 1)
    _body(tree.children[0], top, "")
    return top


def _shown(err: Any) -> str:
    token = getattr(err, "token", None) or getattr(err, "char", "")
    return f"unexpected {str(token).strip().splitlines()[0]!r}" if str(token).strip() else "unexpected end"


def _body(tree: Any, block: Block, at: str) -> None:
    for child in tree.children:
        kind = getattr(child, "data", None)
        if kind == "attribute":
            name = str(child.children[0].children[0])
            line, key = child.meta.line, f"{at}{name}"
            if name in block.values:
                block.faults.append(Fault(line, key, f"set twice, first on line {block.values[name].line}"))
                continue
            try:
                block.values[name] = Value(_constant(child.children[2]), line)
            except ValueError as err:
                block.faults.append(Fault(line, key, str(err)))
                block.values[name] = Value(None, line)  # known, though of no use: not missing as well
        elif kind == "block":
            heads = [c for c in child.children if getattr(c, "data", None) in ("identifier", "string")]
            name, *labels = (_label(c) for c in heads)
            inner = Block(name, tuple(labels), child.meta.line)
            _body(next(c for c in child.children if getattr(c, "data", None) == "body"), inner, f"{at}{inner.key}.")
            block.blocks.append(inner)


def _label(tree: Any) -> str:
    return str(tree.children[0]) if tree.data == "identifier" else _string(tree)


def _string(tree: Any) -> str:
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


def _constant(tree: Any) -> Any:
    kind = getattr(tree, "data", None)
    if kind == "expr_term":
        inner = [c for c in tree.children if getattr(c, "data", None) not in (None, "new_line_or_comment")]
        if len(inner) == 1 and len(tree.children) == 1:
            return _constant(inner[0])
    elif kind in ("int_lit", "float_lit"):
        text = str(tree.children[0])
        return int(text) if kind == "int_lit" else float(text)
    elif kind == "literal_value":
        return {"true": True, "false": False, "null": None}[str(tree.children[0])]
    elif kind == "string":
        return _string(tree)
    elif kind == "tuple":
        return [_constant(c) for c in tree.children if getattr(c, "data", None) == "expr_term"]
    raise ValueError("expected a constant: a number, a text, true, false, null or a list of them")
