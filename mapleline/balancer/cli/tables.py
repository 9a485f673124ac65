"""Text tables of an ingress's status, and of the history of configurations and commands."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any

from boltons.tableutils import Table  # type: ignore[import-untyped]  # boltons has no type stubs

MEMBER_COLUMNS = ["address", "part", "kept"]


def history_tables(text: str) -> str:
    """Return the answer of `GET /config/history` as tables."""
    parts = json.loads(text).items()
    return "\n\n".join(
        f"{name}\n{Table.from_data([_with_time(row) for row in rows]).to_text()}" for name, rows in parts
    )


def _with_time(row: dict[str, Any]) -> dict[str, Any]:
    """Return the row with its time as UTC date and time instead of seconds since 1970."""
    return {**row, "at": datetime.fromtimestamp(row["at"], UTC).isoformat(" ", "milliseconds")}


def status_tables(text: str) -> str:
    """Return the answer of `GET /status` as tables."""
    status = json.loads(text)
    rows = [[name, "none" if value is None else value] for name, value in _status_rows(status).items()]
    own_table = Table.from_data(rows, headers=None).to_text(with_headers=False)
    return f"{own_table}\n\nmembers\n{_member_table(status['members'])}"


def _status_rows(status: dict[str, Any]) -> dict[str, Any]:
    contact_age_s = status["contact_age_s"]
    ballot = status["ballot"]
    return {
        "node": status["node"],
        "ready": _yes_or_no(status["ready"]),
        "votes": _yes_or_no(status["formed"]),
        "system": status["system"],
        "epoch": status["epoch"],
        "number": status["number"],
        "config": status["config_version"],
        "evacuated": ", ".join(status["evacuated"]) or "none",
        "ballot": ".".join(map(str, ballot)) if ballot else "none",
        "contact": f"{contact_age_s:.1f} s ago" if contact_age_s is not None else "none yet",
        "disk": status["disk"],
        "ingresses": status["ingresses"],
        "servers": status["servers"],
        "asks for the list": status["list"]["holder"],
    }


def _yes_or_no(value: bool) -> str:
    return "yes" if value else "no"


def _member_table(members: list[dict[str, Any]]) -> str:
    if not members:
        return "none known"
    rows = [[member[column] for column in MEMBER_COLUMNS] for member in members]
    table: str = Table.from_data(rows, headers=MEMBER_COLUMNS).to_text()
    return table
