"""The operator's configuration: read whole, checked, and laid out for the data plane."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

from .settings import seconds

Seconds = Annotated[float, BeforeValidator(seconds)]
LATE_AIM_S = 60.0  # an aim that far beyond the time-out is a slip of the pen (PROTOCOL, The operator)


class ConfigurationError(Exception):
    """A configuration that is invalid; the text names the key."""


class _Part(BaseModel):
    model_config = ConfigDict(extra="ignore", frozen=True)


class Share(_Part):
    """One service of a split."""

    target_service: str
    weight: float = Field(ge=0)


class Route(_Part):
    """Which requests go where, and how long they may take (times in seconds)."""

    host_name: str = Field(min_length=1)
    path_prefix: str = Field(pattern=r"^/(.*/)?$")
    route_kind: Literal["idempotent", "non_idempotent", "upload"]
    timeout: Seconds = Field(gt=0)
    target_latency: Seconds
    priority: int = 1
    target_service: str | None = None
    weighted_split: list[Share] = []
    max_attempts: int = Field(default=1, ge=1)
    anonymous: bool = False
    home_regions: list[str] = []

    @property
    def shares(self) -> list[tuple[str, float]]:
        """Services with their weights."""
        if self.weighted_split:
            return [(share.target_service, share.weight) for share in self.weighted_split]
        return [(self.target_service or "", 1.0)]

    @model_validator(mode="after")
    def _sound(self) -> Route:
        if (self.target_service is None) == (not self.weighted_split):
            raise ValueError("needs target_service or weighted_split, and not both")
        if sum(weight for _, weight in self.shares) <= 0:
            raise ValueError("weighted_split has no weight")
        if self.target_latency >= self.timeout + LATE_AIM_S:
            raise ValueError("target_latency is a minute or more beyond timeout")
        return self


class Service(_Part):
    health_path: str = "/health"
    max_connections: int = Field(default=100, ge=1)
    cold_start: Seconds = 0.0
    cold_rate_s: float = 0.0


class Limits(_Part):
    """What a client may send, and how long it may take or stay idle."""

    max_header_bytes: int = Field(default=16384, ge=1)
    max_body_bytes: int = Field(default=64 << 20, ge=0)
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


class Tenant(_Part):
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = Field(default=0.0, ge=0)
    burst_size: float = Field(default=0.0, ge=0)
    home_regions: list[str] = []


class Config(_Part):
    """One version, whole."""

    config_version: int
    route_table: dict[str, Route]
    service_table: dict[str, Service]
    limits: Limits = Limits()
    tenant_table: dict[str, Tenant] = {}

    @model_validator(mode="after")
    def _sound(self) -> Config:
        places: dict[tuple[str, str], str] = {}
        for name, route in self.route_table.items():
            for service, _ in route.shares:
                if service not in self.service_table:
                    raise ValueError(f"route_table.{name} names the unknown service {service!r}")
            other = places.setdefault((route.host_name.lower(), route.path_prefix), name)
            if other != name:
                raise ValueError(f"route_table.{name} has the place of route_table.{other}")
        owners: dict[str, str] = {}
        for name, tenant in self.tenant_table.items():
            for key in tenant.api_keys:
                if owners.setdefault(key, name) != name:
                    raise ValueError(f"tenant_table.{name}.api_keys: a key of {owners[key]} as well")
        return self


def read(text: bytes) -> Config:
    """The checked configuration.  Raises ConfigFault with the key at fault."""
    try:
        return Config.model_validate_json(text)
    except ValidationError as err:
        first = err.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"]) or "the configuration"
        raise ConfigurationError(f"{key}: {first['msg']}") from None


class Table:
    """A configuration as the data plane asks it."""

    def __init__(self, config: Config) -> None:
        self.config, self.version = config, config.config_version
        self.limits, self.services, self.tenants = config.limits, config.service_table, config.tenant_table
        self.homes: dict[str, set[str]] = {}  #: by service: regions that some of its requests may not leave
        for route in config.route_table.values():
            for service, _ in route.shares:
                self.homes.setdefault(service, set()).update(route.home_regions)
        hosts: dict[str, list[tuple[str, str, Route]]] = {}
        for name, route in config.route_table.items():
            hosts.setdefault(route.host_name.lower(), []).append((route.path_prefix, name, route))
        self._hosts = {host: sorted(rows, key=lambda row: -len(row[0])) for host, rows in hosts.items()}
        self._keys = {key: name for name, tenant in self.tenants.items() for key in tenant.api_keys}

    def route(self, host: str, path: str) -> Route | None:
        """Of that host the one with the longest prefix that begins the path."""
        rows = self._hosts.get(host) or self._hosts.get(host.rpartition(":")[0], ())
        return next((route for prefix, _, route in rows if path.startswith(prefix)), None)

    def owner(self, authorization: str) -> str | None:
        """The tenant that holds the key of an `Authorization` header."""
        kind, _, key = authorization.partition(" ")
        return self._keys.get(key.strip()) if kind.lower() == "bearer" else None
