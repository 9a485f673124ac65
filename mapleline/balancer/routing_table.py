"""The routing table: a configuration with indexes for the data plane's look-ups."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .configuration import Configuration, Route


class RouteMatch(NamedTuple):
    """A route of a host, with its path prefix."""

    path_prefix: str
    route: Route


class RoutingTable:
    """One version of the configuration, indexed by host and by API key.

    Attributes:
        config: The configuration.
        version: Its version.
        limits: Its limits for clients.
        services: Its services by name.
        tenants: Its tenants by name.
        home_regions_by_service: Service -> home regions of its routes, which their requests may not leave (rule HOME).
    """

    def __init__(self, config: Configuration) -> None:
        """Index a validated configuration."""
        self.config = config
        self.version = config.config_version
        self.limits = config.limits
        self.services = config.service_table
        self.tenants = config.tenant_table
        self.home_regions_by_service = _home_regions_by_service(config)
        self._matches_by_host = _matches_by_host(config)
        self._tenant_by_key = {key: name for name, tenant in self.tenants.items() for key in tenant.api_keys}

    def route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest matching path prefix; `host` may end in a port."""
        host_without_port = host.rpartition(":")[0]
        matches = self._matches_by_host.get(host) or self._matches_by_host.get(host_without_port) or []
        return next((match.route for match in matches if path.startswith(match.path_prefix)), None)

    def tenant_for_authorization(self, authorization: str) -> str | None:
        """Return the tenant whose API key is the bearer token (RFC 6750) of an `Authorization` header."""
        scheme, _, key = authorization.partition(" ")
        return self._tenant_by_key.get(key.strip()) if scheme.lower() == "bearer" else None


def _home_regions_by_service(config: Configuration) -> dict[str, set[str]]:
    home_regions_by_service: dict[str, set[str]] = {}
    for route in config.route_table.values():
        for service, _ in route.shares:
            home_regions_by_service.setdefault(service, set()).update(route.home_regions)
    return home_regions_by_service


def _matches_by_host(config: Configuration) -> dict[str, list[RouteMatch]]:
    """Return the routes by host in lower case, the longest prefix first."""
    matches_by_host: dict[str, list[RouteMatch]] = {}
    for route in config.route_table.values():
        match = RouteMatch(route.path_prefix, route)
        matches_by_host.setdefault(route.host_name.lower(), []).append(match)
    return {
        host: sorted(matches, key=lambda match: -len(match.path_prefix)) for host, matches in matches_by_host.items()
    }
