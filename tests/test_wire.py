"""The codec of the simulator's protocol: the hex examples of its description, and errors on bad input."""

import io
import json
import struct
import subprocess
import sys

import pytest

from mapleline.policy import interface
from mapleline.simwire.__main__ import serve
from mapleline.simwire.wire import ReplyWriter, WireError, parse_entries, parse_settings, read_batch


def record(text: str, size: int = 48) -> bytes:
    """Return the bytes of hex words, filled up with zeros to `size` bytes."""
    return bytes.fromhex(text.replace(" ", "")).ljust(size, b"\0")


def read_one(text: str, tail: bytes = b""):
    return list(read_batch(record(text) + tail, 1))[0]


ARRIVAL = "01 0300 c4913a5d 00 0000 640ad2557c3bf091 001c4e0e00000000 00000040 00004040 0000803f 0100"
REQUEST = 0x5D3A91C4
SERVER = 0x03124A07


def test_arrival():
    node, record_type, event = read_one(ARRIVAL)
    assert (node, record_type) == (3, "event")
    assert event == interface.Arrival(REQUEST, 0, 0, 0x91F03B7C55D20A64, 240000000, 2.0, 3, 1, False)


def test_client_retry_flag():
    event = read_one(ARRIVAL.replace("0000803f 0100", "0000803f 0200"))[2]
    assert event.is_retry


def test_outcome_with_report():
    text = "09 0300 c4913a5d 074a1203 a0491a0100000000 0000 5600 01 0000 0300 01 52b81e3f"
    event = read_one(text)[2]
    assert (event.request, event.server, event.attempt, event.duration_ns) == (REQUEST, SERVER, 0, 0x011A49A0)
    assert event.result == interface.Result.OK and event.is_final and event.units == 3.0
    assert event.report == pytest.approx((0.62,))


def test_counted():
    event = read_one("06 0300 00001842 0000 90f6890000000000 70ce200000000000")[2]
    assert event == interface.Counted(0x89F690, interface.Result.OK, 38.0, 0x20CE70)


def test_probed():
    event = read_one("05 0300 f211902c 0000 c05c150000000000 01 52b81e3f")[2]
    assert (event.server, event.result, event.duration_ns) == (0x2C9011F2, interface.Result.OK, 1400000)
    assert event.report == pytest.approx((0.62,))


def test_small_events():
    assert read_one("07 0300 4d00000000000000")[2] == interface.Timer(77)
    assert read_one("03 0500 192b6f0e") == (5, "event", interface.Left(0x0E6F2B19))
    assert read_one("04 0300 c4913a5d 0000 074a1203 d0248d0000000000")[2] == interface.Begun(REQUEST, 0, SERVER)
    assert read_one("0b 0300") == (3, "stop", None)
    assert read_one("02 0300 0200 00000000 04000000", b"hi 7")[2] == interface.Told(2, b"hi 7")


def test_list_and_news():
    entries = bytes.fromhex(
        "00000000000000000000000000803f00000000074a12030000009d966b01000000000000c03f00000100f211902c"
    )
    body = record("08 0000 00000000 02000000") + record("0c 0000 29000000 02 0000") + entries
    first, second = read_batch(body, 2)
    assert first[1] == "list" and [server.server for server in first[2][1]] == [SERVER, 0x2C9011F2]
    assert first[2][1][1] == interface.Server(0x2C9011F2, interface.ServerState.READY, 6100000000, 1.5, 0, 1, 0)
    assert second == (0, "news", (interface.News.CACHED, 0))
    assert parse_entries(b"") == []


@pytest.mark.parametrize(
    ("action", "text"),
    [
        (interface.Send(REQUEST, SERVER, 80000000), "03 0300 c4913a5d 074a1203 00b4c40400000000"),
        (interface.SetTimer(500000000, 77), "05 0300 0065cd1d00000000 4d00000000000000"),
        (interface.Cancel(REQUEST, 0), "0a 0300 c4913a5d 0000"),
        (interface.Fail(0x0E6F2B19), "08 0300 192b6f0e"),
        (interface.Refuse(0x0E6F2B19, 250000000), "09 0300 192b6f0e 80b2e60e00000000"),
        (interface.Fetch(), "01 0300"),
        (interface.Close(0x2C9011F2), "0b 0300 f211902c"),
        (interface.Probe(0x2C9011F2), "07 0300 f211902c"),
        (interface.Watch(True), "0d 0300 01"),
        (interface.Count(0x89F690, 4.0, 3000000000), "02 0300 90f6890000000000 00008040 005ed0b200000000"),
    ],
)
def test_actions(action, text):
    out = ReplyWriter()
    out.add(3, action)
    assert out.records == [record(text, 24)]


def test_actions_with_text():
    out = ReplyWriter()
    out.add(3, interface.Log("two servers unknown"[:17]))
    out.add(3, interface.Tell(None, b"hi 7"))
    out.fault(3, "index out of range")
    assert out.records[0] == record("0c 0300 00000000 11000000", 24)
    assert out.records[1] == record("04 0300 ffff 11000000 04000000", 24)
    assert out.records[2] == record("06 0300 15000000 12000000", 24)
    assert struct.unpack_from("<II", out.frame()) == (3 * 24 + 17 + 4 + 18, 3)


def test_empty_batch_gives_an_empty_reply():
    output = io.BytesIO()
    serve(io.BytesIO(bytes.fromhex("0000000090bf68f50100000000000000")), output)
    assert output.getvalue() == bytes(8)


def run(data: bytes):
    command = [sys.executable, "-m", "mapleline.simwire"]
    return subprocess.run(command, input=data, capture_output=True, timeout=60)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00",
        struct.pack("<IQI", 48, 0, 1) + b"\x01" * 10,
        struct.pack("<IQI", 48, 0, 1) + b"\x63" * 48,
        struct.pack("<IQI", 10, 0, 3) + bytes(10),
    ],
    ids=["short header", "short body", "unknown code", "records do not fit"],
)
def test_bad_frames_end_with_one_line_and_an_error(data):
    process = run(data)
    assert process.returncode != 0
    assert len(process.stderr.decode().strip().splitlines()) == 1 and b"Traceback" not in process.stderr


def test_end_of_input_at_a_boundary_is_fine():
    process = run(struct.pack("<IQI", 0, 5, 0))
    assert (process.returncode, process.stdout) == (0, bytes(8))


def test_settings_ignore_the_unknown_and_default_the_missing():
    start = parse_settings(json.dumps({"novel": 1, "plans": [{"refill": None}], "classes": []}).encode(), 9)
    assert start.seed == 9 and start.plans[0].rate == 0 and start.ingresses == 1
    for bad in (b"[1]", b"{", b'{"classes": [{"effect": "guarded", "key_scope": "odd"}]}', b'{"plans": [7]}'):
        with pytest.raises(WireError):
            parse_settings(bad, 0)
    start = parse_settings(b'{"classes": [{"effect": "free", "key_scope": "odd"}]}', 0)
    assert start.classes[0].effect == interface.Effect.SAFE


def test_an_exception_of_the_module_is_reported_as_a_fault_record():
    settings = json.dumps({"classes": [], "plans": []}).encode()
    start = record("0a 0000 0100000000000000 00000000")[:11] + struct.pack("<II", 0, len(settings))
    start = start.ljust(48, b"\0")
    body = start + record(ARRIVAL.replace("01 0300", "01 0000", 1)) + settings
    output = io.BytesIO()
    serve(io.BytesIO(struct.pack("<IQI", len(body), 1, 2) + body), output)
    assert 6 in [output.getvalue()[8 + 24 * n] for n in range((len(output.getvalue()) - 8) // 24)]
