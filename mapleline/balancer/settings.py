"""What a process is told: the settings file of lines `a.b=value`, read and checked in one place."""

from __future__ import annotations

import re
from typing import Annotated, Any

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError

TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
LISTS = frozenset(
    {"served_roles", "seed_nodes", "active_contracts", "protocol_bounds", "internal_port_range", "cloud_api.duty_list"}
)


class SettingsError(Exception):
    """A settings file that the program can't start from; the text names the key."""


def seconds(value: object) -> float:
    """`1500ms` and `2.5s` as seconds.  Raises ValueError for anything else."""
    found = TIME.fullmatch(value) if isinstance(value, str) else None
    if found is None:
        raise ValueError(f"{value!r} is no time: a number and ms or s")
    return float(found[1]) / (1000 if found[2] == "ms" else 1)


def address(value: object) -> tuple[str, int]:
    """`10.1.0.13:8381` as host and port.  Raises ValueError for anything else."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{value!r} is no address: host:port")
    return host, int(port)


Seconds = Annotated[float, BeforeValidator(seconds)]
Place = Annotated[tuple[str, int], BeforeValidator(address)]


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Listen(_Part):
    """Where this role listens; what it doesn't serve is None."""

    front_addr: Place | None = None
    ready_addr: Place | None = None
    control_addr: Place | None = None
    directory_addr: Place | None = None


class Limits(_Part):
    memory_mb: int = 300
    max_file_descriptors: int = 4100
    disk_mb: int = 64


class Tolerance(_Part):
    machine_losses: int = 1
    zones: int = 0


class Cloud(_Part):
    address: Place
    rate_per_s: float = Field(gt=0)
    max_lag: Seconds = 0.8


class Bounds(_Part):
    """The figures of the rules in force, in seconds, counts and shares."""

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


class Settings(_Part):
    """A whole settings file."""

    node_name: str
    ip_address: str
    zone: str
    region: str
    zones: dict[str, str]
    listen_addresses: Listen
    internal_port_range: tuple[int, int]
    seed_nodes: list[Place] = []
    initial_start: bool = False
    loss_counted: bool = False
    data_directory: str | None = None
    heartbeat_interval: Seconds = 1.5
    limits: Limits = Limits()
    fault_tolerance: Tolerance = Tolerance()
    protocol_bounds: Bounds = Bounds()
    cloud_api: Cloud


def tree(text: str) -> dict[str, Any]:
    """The lines as nested tables; lists are split at commas, `protocol_bounds` becomes a table."""
    found: dict[str, Any] = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith("#"):
            continue
        key, is_pair, value = line.partition("=")
        if not is_pair:
            raise SettingsError(f"line {number}: no '=' in {line!r}")
        leaf: Any = value
        if key in LISTS:
            leaf = [part for part in value.split(",") if part]
        if key == "protocol_bounds":
            leaf = dict(part.partition("=")[::2] for part in leaf)
        table, *rest = found, *key.split(".")
        for name in rest[:-1]:
            table = table.setdefault(name, {})
            if not isinstance(table, dict):
                raise SettingsError(f"line {number}: {key}: {name} has a value already")
        table[rest[-1]] = leaf
    return found


def read(text: str) -> Settings:
    """The checked settings.  Raises SettingsFault with the key at fault."""
    try:
        return Settings.model_validate(tree(text))
    except ValidationError as err:
        first = err.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise SettingsError(f"{key}: {first['msg']}") from None
