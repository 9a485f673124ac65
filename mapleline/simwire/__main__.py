"""Runs the decision module on the bench's wire: one Brain per instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ..policy.brain import Brain
from ..policy.interface import Refuse, Server, ServerNews
from .wire import HEAD, ReplyWriter, WireError, parse_settings, read_batch


def read_exactly(stream: BinaryIO, size: int) -> bytes:
    """Read `size` bytes, or fewer at the end of input."""
    data = stream.read(size)
    while 0 < len(data) < size:
        more = stream.read(size - len(data))
        if not more:
            break
        data += more
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    brains: dict[int, Brain] = {}
    lists: dict[int, list[Server]] = {}
    while head := read_exactly(source, HEAD.size):
        if len(head) < HEAD.size:
            raise WireError("input ends within a batch header")
        size, now, count = HEAD.unpack(head)
        body = read_exactly(source, size) if size else b""
        if len(body) < size:
            raise WireError("input ends within a batch")
        reply = ReplyWriter()
        for node, what, value in read_batch(body, count):
            if what == "list":
                lists[value[0]] = value[1]
                continue
            try:
                if what == "start":
                    brains[node] = Brain(parse_settings(*value))
                    actions = []
                elif what == "stop":
                    brains.pop(node, None)
                    continue
                elif node not in brains:
                    continue
                elif what == "news":
                    actions = brains[node].handle(now, ServerNews(value[0], lists.get(value[1], [])))
                else:
                    actions = brains[node].handle(now, value)
                for action in actions:
                    if type(action) is Refuse and not brains[node].settings.may_advise:
                        action.retry_in_ns = 0  # this wire takes advice only where the settings allow it
                    reply.add(node, action)
            except WireError:
                raise
            except Exception as err:
                reply.fault(node, f"{type(err).__name__}: {err}")
                print(f"mapleline: instance {node}: {type(err).__name__}: {err}", file=sys.stderr)
        sink.write(reply.frame())
        sink.flush()


def main() -> int:
    """Entry point; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"mapleline: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
