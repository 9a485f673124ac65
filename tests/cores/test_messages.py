"""The JSON forms of the messages between the supervisor and its workers."""

import orjson
import pytest

from mapleline.cores import messages
from mapleline.policy.interface import ServerState

SERVER = messages.ServerEntry(3, ServerState.DRAINING, 5, 1.5, 1, 2, 4, "10.0.0.1", 80)

COMMANDS = [
    (
        messages.StartWorker({"name": "n"}, 1, 4, 1024, "json", 9),
        b'{"config":{"name":"n"},"number":1,"workers":4,"accounts":1024,"log":"json","clock":9}',
    ),
    (messages.OfferConnection(7, True), b'{"offer":7,"asked":true}'),
    (messages.ClaimReply(7, False), b'{"granted":7,"yes":false}'),
    (
        messages.ServerListUpdate(2, True, False, [SERVER]),
        b'{"news":2,"whole":true,"cached":false,"lines":[[3,2,5,1.5,1,2,4,"10.0.0.1",80]]}',
    ),
    (messages.RequestHandover(2.5), b'{"hand":2.5}'),
    (messages.SetCounterAddress(("10.0.0.2", 81)), b'{"counter":["10.0.0.2",81]}'),
    (messages.QueryCounters(6), b'{"counts":6}'),
    (messages.ShutDown(), b'{"leave":true}'),
]
REPORTS = [
    (messages.WorkerReady(99), b'{"ready":99}'),
    (messages.ClaimConnection(7), b'{"claim":7}'),
    (messages.RefuseConnection(7), b'{"refuse":7}'),
    (messages.HandOverConnection(2.5), b'{"handed":2.5}'),
    (messages.AcknowledgeServerList(2), b'{"acked":2}'),
    (messages.LoadReport(1, 2.5, False, 3), b'{"parted":1,"load":2.5,"full":false,"open":3}'),
    (
        messages.LoadReport(1, 2.5, True, 3, {"a": 1}),
        b'{"parted":1,"load":2.5,"full":true,"open":3,"all":{"a":1}}',
    ),
    (messages.CounterSnapshot({"a": 1}, 6), b'{"counts":{"a":1},"asked":6}'),
]


@pytest.mark.parametrize(("command", "text"), COMMANDS)
def test_a_command_is_encoded_in_its_form_and_decoded_to_the_same(command, text):
    assert orjson.dumps(command.encode()) == text
    assert messages.decode_command(orjson.loads(text)) == command


@pytest.mark.parametrize(("report", "text"), REPORTS)
def test_a_report_is_encoded_in_its_form_and_decoded_to_the_same(report, text):
    assert orjson.dumps(report.encode()) == text
    assert messages.decode_report(orjson.loads(text)) == report


def test_a_message_of_another_version_is_ignored():
    assert messages.decode_command({"unknown": 1}) is None
    assert messages.decode_report({"unknown": 1}) is None
