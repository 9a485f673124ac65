"""Schedule files: errors name the key, and reading a file is deterministic."""

from __future__ import annotations

import pytest

from mapleline.faults import schedule_file

FLEET = 'fleet {\n  ingresses = 3\n  zones = ["a", "b"]\n}\n'


def schedule_with_fault(**values):
    """Return a schedule with one fault `f` that has these values."""
    body = "".join(f"  {key} = {value!r}\n".replace("'", '"') for key, value in values.items())
    return FLEET + f'fault "f" {{\n{body}}}\n'


@pytest.mark.parametrize(
    ("text", "key"),
    [
        (schedule_with_fault(at=1, link="ingress-7>counter", mode="cut"), "fault.f.link"),
        (schedule_with_fault(at=1, process="ingress-1", mode="cut"), "fault.f.mode"),
        (schedule_with_fault(at=1, link="ingress-1>counter", mode="kill"), "fault.f.mode"),
        (schedule_with_fault(at=1, process="ingress-1", mode="stall"), "fault.f.for"),
        (schedule_with_fault(at=1, process="counter", mode="clock"), "fault.f.mode"),
        (schedule_with_fault(at=1, mode="kill"), "fault.f"),
        (schedule_with_fault(at=-1, process="ingress-1", mode="kill"), "fault.f.at"),
        (schedule_with_fault(at=1, process="ingress-1", mode="kill", colour=3), "fault.f.colour"),
        (FLEET.replace('["a", "b"]', '["a", "a"]'), "fleet.zones"),
        ("fleet {\n  ingresses = 0\n}\n", "fleet.ingresses"),
        ("seconds = 3\n", "seconds"),
        (FLEET + "budgets {\n  enabled = 3\n}\n", "budgets.enabled"),
        (FLEET + "zones {\n  enabled = true\n}\n", "zones.enabled"),
        (schedule_with_fault(at=1, link="*>moon", mode="cut"), "fault.f.link"),
        (schedule_with_fault(at=1, process="zone-a", mode="replace"), "fault.f.mode"),
    ],
)
def test_an_invalid_schedule_gives_an_error_that_names_the_key(text, key):
    _, errors = schedule_file.read(text)
    assert [error.key for error in errors] == [key]


def test_a_schedule_file_reads_the_same_every_time():
    text = schedule_with_fault(at=2, link="ingress-1>zone-b", mode="delay", jitter_ms=40)
    text += 'fault "g" {\n  at = 1\n  for = 2\n  process = "ingress-2"\n  mode = "stall"\n}\n'
    schedule, errors = schedule_file.read(text)
    assert not errors
    assert schedule == schedule_file.read(text)[0]
    assert [(fault.name, fault.at, fault.ends_at) for fault in schedule.faults] == [("g", 1.0, 3.0), ("f", 2.0, None)]
