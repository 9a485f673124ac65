"""Helpers that write schedules of faults and run whole fleets of processes with them."""

import subprocess
import sys

from mapleline.faults import schedule_file
from mapleline.faults.logs import read_logs


def play(text, folder, *flags):
    """Run a schedule with `mapleline fleet run` and return the logs.

    The command runs in a process of its own, since a reactor can be started only once per process.
    """
    assert not schedule_file.read(text)[1], schedule_file.read(text)[1]
    (folder / "schedule.hcl").write_text(text)
    command = [
        sys.executable,
        "-c",
        "from mapleline.cli import main; raise SystemExit(main())",
        "fleet",
        "run",
        str(folder / "schedule.hcl"),
        "--logs",
        str(folder / "logs"),
        *flags,
    ]
    subprocess.run(command, timeout=180, check=False, capture_output=True)
    return read_logs(folder / "logs")


def block(name, **values):
    """Return a block of HCL.

    The keyword `lasts` is written as the key `for`, which Python reserves.  `name` may contain a label.
    """

    def text(value):
        return str(value).lower() if isinstance(value, bool) else repr(value).replace("'", '"')

    body = "".join(f"  {'for' if key == 'lasts' else key} = {text(value)}\n" for key, value in values.items())
    return f"{name} {{\n{body}}}\n"


def fault(name, at, **values):
    """Return the HCL block of a fault that begins at `at` seconds."""
    return block(f'fault "{name}"', at=at, **values)


def fleet(**values):
    """Return the HCL block of the fleet."""
    return block("fleet", **values)


def when(logs, name, event="fault begun"):
    """Return the time at which the fault `name` began, or ended with `event="fault ended"`."""
    return next(entry["at"] for entry in logs["fleet"] if entry["event"] == event and entry["fault"] == name)
