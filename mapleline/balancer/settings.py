"""The settings of one process: a file of `key.subkey=value` lines, parsed and validated.

The platform writes the file and sets its path in `MAPLELINE_CONFIG` (DEPLOY.md, the settings file).  Unknown keys are
ignored.  Field names are the file's keys.  Class names are part of pydantic's error texts, which operators see.
"""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

from .errors import InvalidInputError

DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
MS_PER_S = 1000
MAX_PORT = 65535

#: Keys whose value is a comma-separated list (DEPLOY.md).
LIST_KEYS = frozenset(
    {"served_roles", "seed_nodes", "active_contracts", "protocol_bounds", "internal_port_range", "cloud_api.duty_list"}
)
#: The list key whose entries are `name=value` pairs.
TABLE_KEY = "protocol_bounds"


class SettingsError(InvalidInputError):
    """The settings file is invalid, or is not named."""


def parse_duration(value: object) -> float:
    """Parse `1500ms` or `2.5s`.

    Returns:
        The duration in seconds.

    Raises:
        ValueError: The value is not a duration.
    """
    match = DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        raise ValueError(f"{value!r} is not a duration: expected a number followed by ms or s")
    number, unit = match.groups()
    return float(number) / (MS_PER_S if unit == "ms" else 1)


def parse_address(value: object) -> tuple[str, int]:
    """Parse `10.1.0.13:8381`.

    Returns:
        Host and port.

    Raises:
        ValueError: The value is not an address, or the port is 0 or above 65535.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{value!r} is not an address: expected host:port")
    return host, int(port)


Seconds = Annotated[float, BeforeValidator(parse_duration)]
Address = Annotated[tuple[str, int], BeforeValidator(parse_address)]


class SettingsSection(BaseModel):
    """Base class of the file's sections: immutable, unknown keys ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class Listen(SettingsSection):
    """The addresses that this process listens on; None for a service that it does not offer."""

    front_addr: Address | None = None
    ready_addr: Address | None = None
    control_addr: Address | None = None
    directory_addr: Address | None = None


class Limits(SettingsSection):
    """Resources of the machine: memory and disk in MB (2^20 bytes), and the number of file descriptors."""

    memory_mb: int = 300
    max_file_descriptors: int = 4100
    disk_mb: int = 64


class Tolerance(SettingsSection):
    """Numbers of machines and of whole zones whose simultaneous loss the control replicas have to survive."""

    machine_losses: int = 1
    zones: int = 0


class Cloud(SettingsSection):
    """The platform's API: its address, requests per second of all nodes together, and the maximum lag of a list (s)."""

    address: Address
    rate_per_s: float = Field(gt=0)
    max_lag: Seconds = 0.8


class Bounds(SettingsSection):
    """The bounds of the rules (PROTOCOL.md, bounds).

    Durations are in seconds, `*_ratio` and `*_overshoot` are factors, `*_slack` counts requests.
    """

    contact_window: Seconds = 4.0
    ack_timeout: Seconds = 6.0
    catch_up: Seconds = 4.0
    drain_timeout: Seconds = 3.0
    grace_period: Seconds = 6.0
    config_apply: Seconds = 3.0
    revocation_strict: bool = False
    revoke_timeout: Seconds = 5.0
    retry_budget_ratio: float = 0.2
    retry_window: Seconds = 10.0
    retry_budget_slack: float = 20.0
    quota_window: Seconds = 5.0
    quota_overshoot: float = 0.1
    quota_slack: float = 0.0
    cold_overshoot: float = 1.5
    cold_slack: float = 0.0
    evacuation: Seconds = 5.0
    ttl_max: Seconds = 5.0


class Settings(SettingsSection):
    """All settings; `zones` maps each zone to its region, and `heartbeat_interval` is in seconds."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_addresses: Listen
    internal_port_range: tuple[int, int]
    seed_nodes: list[Address] = []
    initial_start: bool = False
    loss_counted: bool = False
    data_directory: str | None = None
    heartbeat_interval: Seconds = 1.5
    limits: Limits = Limits()
    fault_tolerance: Tolerance = Tolerance()
    protocol_bounds: Bounds = Bounds()
    cloud_api: Cloud


def parse_settings(text: str) -> Settings:
    """Parse and validate a settings file.

    Raises:
        SettingsError: The text is invalid; only the first fault is reported.
    """
    try:
        return Settings.model_validate(parse_lines(text))
    except ValidationError as err:
        first = err.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise SettingsError(key, first["msg"]) from None


def parse_lines(text: str) -> dict[str, Any]:
    """Return the lines of a settings file as nested tables of strings, lists of strings and tables.

    Blank lines and lines that begin with `#` are skipped.  Of repeated keys the last one counts.

    Raises:
        SettingsError: A line has no `=`, or the parent of a key has a value itself.
    """
    settings: dict[str, Any] = {}
    for number, raw_line in enumerate(text.splitlines(), 1):
        line = raw_line.strip()
        if not line or line.startswith("#"):
            continue
        key, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"line {number}", f"no '=' in {line!r}")
        _insert(settings, key, _parse_value(key, value), number)
    return settings


def _parse_value(key: str, value: str) -> str | list[str] | dict[str, str]:
    if key not in LIST_KEYS:
        return value
    entries = [entry for entry in value.split(",") if entry]
    if key != TABLE_KEY:
        return entries
    return {name: entry_value for name, _, entry_value in (entry.partition("=") for entry in entries)}


def _insert(settings: dict[str, Any], key: str, value: object, line_number: int) -> None:
    *parents, name = key.split(".")
    table = settings
    for parent in parents:
        table = table.setdefault(parent, {})
        if not isinstance(table, dict):
            raise SettingsError(f"line {line_number}", f"{key}: {parent} has a value already")
    table[name] = value
