"""Runs the decision module for the simulator on stdin and stdout.

Each simulated ingress (`node`) has its own Brain; they share no state.
"""

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
    """Answer each batch of events by a reply with the actions, until the input ends.

    Raises:
        WireError: The input breaks the protocol.
    """
    brains: dict[int, Brain] = {}
    lists: dict[int, list[Server]] = {}
    while head := read_exactly(source, HEAD.size):
        if len(head) < HEAD.size:
            raise WireError("input ends within a batch header")
        size, now_ns, count = HEAD.unpack(head)
        body = read_exactly(source, size) if size else b""
        if len(body) < size:
            raise WireError("input ends within a batch")
        reply = ReplyWriter()
        for node, record_type, value in read_batch(body, count):
            if record_type == "list":
                lists[value[0]] = value[1]
                continue
            try:
                if record_type == "start":
                    brains[node] = Brain(parse_settings(*value))
                    actions = []
                elif record_type == "stop":
                    brains.pop(node, None)
                    continue
                elif node not in brains:
                    continue
                elif record_type == "news":
                    actions = brains[node].handle(now_ns, ServerNews(value[0], lists.get(value[1], [])))
                else:
                    actions = brains[node].handle(now_ns, value)
                for action in actions:
                    if type(action) is Refuse and not brains[node].settings.may_advise:
                        action.retry_in_ns = 0  # the protocol accepts it only where the settings allow it
                    reply.add(node, action)
            except WireError:
                raise
            except Exception as err:
                reply.fault(node, f"{type(err).__name__}: {err}")
                print(f"mapleline: instance {node}: {type(err).__name__}: {err}", file=sys.stderr)
        sink.write(reply.frame())
        sink.flush()


def main() -> int:
    """Serve stdin and stdout; return the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as err:
        print(f"mapleline: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
