"""Codec of the simulator's binary protocol (dialect sable-307f) for the types of policy/interface.py.

A batch is a header, `count` event records of EVENT_SIZE bytes and a tail that records refer to by offset and length; a
reply has the same form.  All numbers are little-endian; `node` is the number of an ingress.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any

from ..policy import interface
from ..settings.platform import ConfigError, read_settings

#: Header of a batch: the size of the rest in bytes, the time in ns, the number of records.
HEAD = struct.Struct("<IQI")
#: Header of a reply: the size of the rest in bytes, the number of records.
REPLY = struct.Struct("<II")
EVENT_SIZE = 48  #: bytes
ACTION_SIZE = 24  #: bytes
#: One server of a server list.
ENTRY = struct.Struct("<HQBfHHI")

# Event records; the skipped first byte is the code.
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

# Action records; the first byte is the code.
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

#: Results by their codes.
RESULTS = {
    0: interface.Result.OK,
    13: interface.Result.ERROR,
    8: interface.Result.REJECTED,
    4: interface.Result.TIMEOUT,
    14: interface.Result.NO_CONNECTION,
    10: interface.Result.RESET,
    1: interface.Result.CANCELLED,
    9: interface.Result.MOOT,
}


class WireError(Exception):
    """A frame that breaks the protocol."""


def parse_settings(text: bytes, seed: int) -> interface.Start:
    """Read the settings of a start event.

    Raises:
        WireError: They are not JSON or break a rule of settings/platform.py.
    """
    try:
        return read_settings(json.loads(text), seed)
    except (ValueError, ConfigError) as err:
        raise WireError(f"settings unreadable: {err}") from err


def _result(code: int) -> interface.Result:
    try:
        return RESULTS[code]
    except KeyError:
        raise WireError(f"unknown outcome code {code}") from None


def _tail(tail: memoryview, offset: int, length: int) -> bytes:
    if offset + length > len(tail):
        raise WireError(f"tail field {offset}+{length} exceeds {len(tail)} bytes")
    return bytes(tail[offset : offset + length])


def parse_entries(data: bytes) -> list[interface.Server]:
    """Read the entries of a server list."""
    return [
        interface.Server(server, interface.ServerState(state), started_ns, weight, kind, zone, cell)
        for cell, started_ns, state, weight, kind, zone, server in ENTRY.iter_unpack(data)
    ]


def read_batch(body: bytes, count: int) -> Iterator[tuple[int, str, Any]]:
    """Yield (node, type, value) for each record after the batch header, in order.

    The type is "start" (value: the text of the settings and the seed), "stop" (no value), "list" (value: the number of
    a server list and its servers), "news" (value: the kind of news and the number of a list sent before) or "event"
    (value: an event of interface.py).

    Raises:
        WireError: A record does not fit in the body or has an unknown code.
    """
    if count * EVENT_SIZE > len(body):
        raise WireError(f"{count} records do not fit in {len(body)} bytes")
    tail = memoryview(body)[count * EVENT_SIZE :]
    for offset in range(0, count * EVENT_SIZE, EVENT_SIZE):
        code = body[offset]
        if code == 1:
            node, request, class_id, plan, customer, ttl_ns, units, ingress_count, first_ingress, flags = (
                ARRIVAL.unpack_from(body, offset)
            )
            yield (
                node,
                "event",
                interface.Arrival(
                    request,
                    class_id,
                    plan,
                    customer,
                    ttl_ns,
                    units,
                    max(1, int(ingress_count)),
                    int(first_ingress),
                    bool(flags & 2),
                ),
            )
        elif code == 9:
            fields = OUTCOME.unpack_from(body, offset)
            report = fields[10 : 10 + min(fields[9], 4)]
            yield (
                fields[0],
                "event",
                interface.Outcome(
                    fields[1],
                    fields[2],
                    fields[4],
                    fields[3],
                    _result(fields[7]),
                    bool(fields[6]),
                    float(fields[8]),
                    report,
                ),
            )
        elif code == 7:
            node, token = TIMER.unpack_from(body, offset)
            yield node, "event", interface.Timer(token)
        elif code == 6:
            node, total, result_code, name, duration_ns = COUNTED.unpack_from(body, offset)
            yield node, "event", interface.Counted(name, _result(result_code), total, duration_ns)
        elif code == 5:
            fields = PONG.unpack_from(body, offset)
            yield (
                fields[0],
                "event",
                interface.Probed(fields[1], _result(fields[2]), fields[3], fields[5 : 5 + min(fields[4], 4)]),
            )
        elif code == 4:
            node, request, attempt, server, _ = BEGUN.unpack_from(body, offset)
            yield node, "event", interface.Begun(request, attempt, server)
        elif code == 3:
            node, request = ID32.unpack_from(body, offset)
            yield node, "event", interface.Left(request)
        elif code == 2:
            node, sender, tail_offset, length = MESSAGE.unpack_from(body, offset)
            yield node, "event", interface.Told(sender, _tail(tail, tail_offset, length))
        elif code == 8:
            list_number, tail_offset, entry_count = INVENTORY.unpack_from(body, offset)
            yield 0, "list", (list_number, parse_entries(_tail(tail, tail_offset, entry_count * ENTRY.size)))
        elif code == 12:
            node, _, news, list_number = ENDPOINTS.unpack_from(body, offset)
            yield node, "news", (interface.News(news), list_number)
        elif code == 10:
            node, seed, tail_offset, length = POWER_ON.unpack_from(body, offset)
            yield node, "start", (_tail(tail, tail_offset, length), seed)
        elif code == 11:
            yield NODE.unpack_from(body, offset)[0], "stop", None
        else:
            raise WireError(f"unknown event code {code}")


class ReplyWriter:
    """Collects the actions of one reply."""

    def __init__(self) -> None:
        """Begin an empty reply."""
        self.records: list[bytes] = []
        self.tail = bytearray()

    def _text(self, data: bytes) -> tuple[int, int]:
        """Append data to the tail; return its offset and length in bytes."""
        offset = len(self.tail)
        self.tail += data
        return offset, len(data)

    def add(self, node: int, action: interface.Action) -> None:
        """Append one action of the ingress `node`."""
        action_type = type(action)
        if action_type is interface.Send:
            record = A_SEND.pack(3, node, action.request, action.server, action.timeout_ns)
        elif action_type is interface.SetTimer:
            record = A_TIMER.pack(5, node, action.after_ns, action.token)
        elif action_type is interface.Count:
            record = A_COUNT.pack(2, node, action.name, action.amount, action.ttl_ns)
        elif action_type is interface.Refuse:
            record = A_REFUSE.pack(9, node, action.request, action.retry_in_ns)
        elif action_type is interface.Fail:
            record = A_ID32.pack(8, node, action.request)
        elif action_type is interface.Cancel:
            record = A_CANCEL.pack(10, node, action.request, action.attempt)
        elif action_type is interface.Probe:
            record = A_ID32.pack(7, node, action.server)
        elif action_type is interface.Close:
            record = A_ID32.pack(11, node, action.server)
        elif action_type is interface.Watch:
            record = A_WATCH.pack(13, node, int(action.on))
        elif action_type is interface.Fetch:
            record = A_NODE.pack(1, node)
        elif action_type is interface.Tell:
            recipient = 0xFFFF if action.to is None else action.to
            record = A_TELL.pack(4, node, recipient, *self._text(action.data))
        elif action_type is interface.Log:
            record = A_TEXT.pack(12, node, *self._text(action.text.encode()))
        else:
            raise WireError(f"unknown action {action!r}")
        self.records.append(record.ljust(ACTION_SIZE, b"\0"))

    def fault(self, node: int, text: str) -> None:
        """Append a report that the decision module of the ingress `node` raised an exception."""
        self.records.append(A_TEXT.pack(6, node, *self._text(text.encode())).ljust(ACTION_SIZE, b"\0"))

    def frame(self) -> bytes:
        """Return the whole reply."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY.pack(len(body), len(self.records)) + body
