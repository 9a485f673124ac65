"""The operator's configuration: routes, services, limits and tenants, parsed and validated.

The operator sends it as one JSON document by `POST /config/replace` (PROTOCOL.md, The operator).  Field names are the
keys of the document; unknown keys are ignored.  Durations are written as `1500ms` or `2.5s` and parsed to seconds.
"""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, ValidationError, model_validator

from .errors import InvalidInputError
from .settings import parse_duration

Seconds = Annotated[float, BeforeValidator(parse_duration)]

#: A latency target this far above the time-out is rejected as a typing error (PROTOCOL.md, The operator).
MAX_TARGET_BEYOND_TIMEOUT_S = 60.0

#: Stands for the key in an error that concerns the whole document.
WHOLE_DOCUMENT = "the configuration"


class ConfigurationError(InvalidInputError):
    """The configuration is invalid."""


class ConfigurationSection(BaseModel):
    """Base class of the document's sections: immutable, unknown keys ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


class WeightedService(ConfigurationSection):
    """One service of a weighted split; its share is its weight divided by the sum of weights."""

    target_service: str
    weight: float = Field(ge=0)


class Route(ConfigurationSection):
    """A rule that assigns requests to services and limits their duration (`timeout`, `target_latency` in seconds)."""

    host_name: str = Field(min_length=1)
    path_prefix: str = Field(pattern=r"^/(.*/)?$")
    route_kind: Literal["idempotent", "non_idempotent", "upload"]
    timeout: Seconds = Field(gt=0)
    target_latency: Seconds
    priority: int = 1
    target_service: str | None = None
    weighted_split: list[WeightedService] = []
    max_attempts: int = Field(default=1, ge=1)
    anonymous: bool = False
    home_regions: list[str] = []

    @property
    def shares(self) -> list[tuple[str, float]]:
        """The services and their weights; a single service has weight 1."""
        if self.weighted_split:
            return [(share.target_service, share.weight) for share in self.weighted_split]
        return [(self.target_service or "", 1.0)]

    @model_validator(mode="after")
    def _check_consistency(self) -> Route:
        if (self.target_service is None) == (not self.weighted_split):
            raise ValueError("needs target_service or weighted_split, and not both")
        if sum(weight for _, weight in self.shares) <= 0:
            raise ValueError("weighted_split has no weight")
        if self.target_latency >= self.timeout + MAX_TARGET_BEYOND_TIMEOUT_S:
            raise ValueError("target_latency is a minute or more beyond timeout")
        return self


class Service(ConfigurationSection):
    """Properties of a service's servers.

    `cold_start` is the duration of a server's warm-up in seconds, and `cold_rate_s` its capacity during the warm-up in
    requests per second.
    """

    health_path: str = "/health"
    max_connections: int = Field(default=100, ge=1)
    cold_start: Seconds = 0.0
    cold_rate_s: float = 0.0


class ClientLimits(ConfigurationSection):
    """Limits for clients: sizes in bytes, and times for sending a header and for staying idle in seconds."""

    max_header_bytes: int = Field(default=16384, ge=1)
    max_body_bytes: int = Field(default=64 << 20, ge=0)
    header_timeout: Seconds = 3.0
    idle_timeout: Seconds = 15.0


class Tenant(ConfigurationSection):
    """A customer: its API keys, its quota (requests per second, burst in requests) and its home regions."""

    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = Field(default=0.0, ge=0)
    burst_size: float = Field(default=0.0, ge=0)
    home_regions: list[str] = []


class Configuration(ConfigurationSection):
    """One complete version of the configuration."""

    config_version: int
    route_table: dict[str, Route]
    service_table: dict[str, Service]
    limits: ClientLimits = ClientLimits()
    tenant_table: dict[str, Tenant] = {}

    @model_validator(mode="after")
    def _check_consistency(self) -> Configuration:
        self._check_routes()
        self._check_api_keys()
        return self

    def _check_routes(self) -> None:
        """Check that each route's services exist, and that no two routes match the same host and prefix."""
        route_by_match: dict[tuple[str, str], str] = {}
        for name, route in self.route_table.items():
            for service, _ in route.shares:
                if service not in self.service_table:
                    raise ValueError(f"route_table.{name} names the unknown service {service!r}")
            other = route_by_match.setdefault((route.host_name.lower(), route.path_prefix), name)
            if other != name:
                raise ValueError(f"route_table.{name} has the place of route_table.{other}")

    def _check_api_keys(self) -> None:
        """Check that no two tenants share a key."""
        tenant_by_key: dict[str, str] = {}
        for name, tenant in self.tenant_table.items():
            for key in tenant.api_keys:
                if tenant_by_key.setdefault(key, name) != name:
                    raise ValueError(f"tenant_table.{name}.api_keys: a key of {tenant_by_key[key]} as well")


def parse_configuration(text: bytes) -> Configuration:
    """Parse and validate a configuration.

    Raises:
        ConfigurationError: The document is invalid; only the first fault is reported.
    """
    try:
        return Configuration.model_validate_json(text)
    except ValidationError as err:
        first = err.errors(include_url=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"]) or WHOLE_DOCUMENT
        raise ConfigurationError(key, first["msg"]) from None
