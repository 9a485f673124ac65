"""The bench's binary wire (dialect sable-307f), to and from the types of interface.py.  No decisions."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any

from ..policy import interface as i
from ..settings.platform import ConfigError, read_settings

HEAD = struct.Struct("<IQI")
REPLY = struct.Struct("<II")
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY = struct.Struct("<HQBfHHI")

ARRIVAL = struct.Struct("<xHIBHQQfffH")
TIMER = struct.Struct("<xHQ")
ID32 = struct.Struct("<xHI")
COUNTED = struct.Struct("<xHfHQQ")
PONG = struct.Struct("<xHIHQB4f")
BEGUN = struct.Struct("<xHIHIQ")
OUTCOME = struct.Struct("<xHIIQHHBHHB4f")
MESSAGE = struct.Struct("<xHHII")
POWER_ON = struct.Struct("<xHQII")
INVENTORY = struct.Struct("<xHII")
ENDPOINTS = struct.Struct("<xHIBH")
NODE = struct.Struct("<xH")

A_SEND = struct.Struct("<BHIIQ")
A_NODE = struct.Struct("<BH")
A_ID32 = struct.Struct("<BHI")
A_TIMER = struct.Struct("<BHQQ")
A_CANCEL = struct.Struct("<BHIH")
A_REFUSE = struct.Struct("<BHIQ")
A_WATCH = struct.Struct("<BHB")
A_COUNT = struct.Struct("<BHQfQ")
A_TEXT = struct.Struct("<BHII")
A_TELL = struct.Struct("<BHHII")

RESULTS = {
    0: i.Result.OK,
    13: i.Result.ERROR,
    8: i.Result.REJECTED,
    4: i.Result.TIMEOUT,
    14: i.Result.NO_CONNECTION,
    10: i.Result.RESET,
    1: i.Result.CANCELLED,
    9: i.Result.MOOT,
}


class WireError(Exception):
    """A frame that does not follow the wire."""


def parse_settings(text: bytes, seed: int) -> i.Start:
    """Read the settings of a start event."""
    try:
        return read_settings(json.loads(text), seed)
    except (ValueError, ConfigError) as err:
        raise WireError(f"settings unreadable: {err}") from err


def _result(code: int) -> i.Result:
    try:
        return RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _tail(tail: memoryview, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"tail field {offset}+{length} exceeds {len(tail)} bytes")
    return bytes(tail[offset : offset + length])


def parse_entries(data: bytes) -> list[i.Server]:
    """Read the lines of a server list."""
    return [
        i.Server(server, i.ServerState(life), started, weight, kind, zone, cell)
        for cell, started, life, weight, kind, zone, server in ENTRY.iter_unpack(data)
    ]


def read_batch(body: bytes, count: int) -> Iterator[tuple[int, str, Any]]:
    """Yield (node, what, value) for each record after the batch header, in order.

    `what` is "start" (value: settings text and seed), "stop", "list" (value: number, servers),
    "news" (value: news, list number) or "event" (value: an event of interface.py).
    """
    if count * EVENT_SIZE > len(body):
        raise WireError(f"{count} records do not fit in {len(body)} bytes")
    tail = memoryview(body)[count * EVENT_SIZE :]
    for at in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = body[at]
        if code == 1:
            node, rid, cls, plan, who, ttl, units, spread, first, flags = ARRIVAL.unpack_from(body, at)
            yield (
                node,
                "event",
                i.Arrival(rid, cls, plan, who, ttl, units, max(1, int(spread)), int(first), bool(flags & 2)),
            )
        elif code == 9:
            f = OUTCOME.unpack_from(body, at)
            report = f[10 : 10 + min(f[9], 4)]
            yield (
                f[0],
                "event",
                i.Outcome(f[1], f[2], f[4], f[3], _result(f[7]), bool(f[6]), float(f[8]), report),
            )
        elif code == 7:
            node, token = TIMER.unpack_from(body, at)
            yield node, "event", i.Timer(token)
        elif code == 6:
            node, total, code2, name, took = COUNTED.unpack_from(body, at)
            yield node, "event", i.Counted(name, _result(code2), total, took)
        elif code == 5:
            p = PONG.unpack_from(body, at)
            yield p[0], "event", i.Probed(p[1], _result(p[2]), p[3], p[5 : 5 + min(p[4], 4)])
        elif code == 4:
            node, rid, n, server, _ = BEGUN.unpack_from(body, at)
            yield node, "event", i.Begun(rid, n, server)
        elif code == 3:
            node, rid = ID32.unpack_from(body, at)
            yield node, "event", i.Left(rid)
        elif code == 2:
            node, sender, off, size = MESSAGE.unpack_from(body, at)
            yield node, "event", i.Told(sender, _tail(tail, off, size))
        elif code == 8:
            number, off, size = INVENTORY.unpack_from(body, at)
            yield 0, "list", (number, parse_entries(_tail(tail, off, size * ENTRY.size)))
        elif code == 12:
            node, _, kind, number = ENDPOINTS.unpack_from(body, at)
            yield node, "news", (i.News(kind), number)
        elif code == 10:
            node, seed, off, size = POWER_ON.unpack_from(body, at)
            yield node, "start", (_tail(tail, off, size), seed)
        elif code == 11:
            yield NODE.unpack_from(body, at)[0], "stop", None
        else:
            raise WireError(f"unknown event code {code}")


class ReplyWriter:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _text(self, data: bytes) -> tuple[int, int]:
        at = len(self.tail)
        self.tail += data
        return at, len(data)

    def add(self, node: int, action: i.Action) -> None:
        """Append one action of an instance."""
        t = type(action)
        if t is i.Send:
            rec = A_SEND.pack(3, node, action.request, action.server, action.timeout_ns)
        elif t is i.SetTimer:
            rec = A_TIMER.pack(5, node, action.after_ns, action.token)
        elif t is i.Count:
            rec = A_COUNT.pack(2, node, action.name, action.amount, action.ttl_ns)
        elif t is i.Refuse:
            rec = A_REFUSE.pack(9, node, action.request, action.retry_in_ns)
        elif t is i.Fail:
            rec = A_ID32.pack(8, node, action.request)
        elif t is i.Cancel:
            rec = A_CANCEL.pack(10, node, action.request, action.attempt)
        elif t is i.Probe:
            rec = A_ID32.pack(7, node, action.server)
        elif t is i.Close:
            rec = A_ID32.pack(11, node, action.server)
        elif t is i.Watch:
            rec = A_WATCH.pack(13, node, int(action.on))
        elif t is i.Fetch:
            rec = A_NODE.pack(1, node)
        elif t is i.Tell:
            to = 0xFFFF if action.to is None else action.to
            rec = A_TELL.pack(4, node, to, *self._text(action.data))
        elif t is i.Log:
            rec = A_TEXT.pack(12, node, *self._text(action.text.encode()))
        else:
            raise WireError(f"unknown action {action!r}")
        self.records.append(rec.ljust(ACTION_SIZE, b"\0"))

    def fault(self, node: int, text: str) -> None:
        """Report that an instance's decision code failed."""
        self.records.append(A_TEXT.pack(6, node, *self._text(text.encode())).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        """The whole reply."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY.pack(len(body), len(self.records)) + body
