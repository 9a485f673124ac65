"""Whole fleets of processes with faults, as the rig plays them."""

import subprocess
import sys

from mapleline.faults import schedule_file
from mapleline.faults.logs import read_logs


def play(text, at, *flags):
    """`mapleline fleet run` as a process of its own (a reactor runs once a process); the logs it left."""
    assert not schedule_file.read(text)[1], schedule_file.read(text)[1]
    (at / "schedule.hcl").write_text(text)
    line = [
        sys.executable,
        "-c",
        "from mapleline.cli import main; raise SystemExit(main())",
        "fleet",
        "run",
        str(at / "schedule.hcl"),
        "--logs",
        str(at / "logs"),
        *flags,
    ]
    subprocess.run(line, timeout=180, check=False, capture_output=True)
    return read_logs(at / "logs")


def block(name, **values):
    """A block of HCL; `lasts` stands for `for`, and a label behind the name."""

    def text(v):
        return str(v).lower() if isinstance(v, bool) else repr(v).replace("'", '"')

    body = "".join(f"  {'for' if k == 'lasts' else k} = {text(v)}\n" for k, v in values.items())
    return f"{name} {{\n{body}}}\n"


def fault(name, at, **values):
    return block(f'fault "{name}"', at=at, **values)


def fleet(**values):
    return block("fleet", **values)


def when(logs, name, event="fault begun"):
    """When the schedule's fault `name` began (or ended)."""
    return next(e["at"] for e in logs["fleet"] if e["event"] == event and e["fault"] == name)
