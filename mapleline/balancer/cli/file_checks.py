"""Checks of settings files and configurations, with the parsers that a process uses."""

from __future__ import annotations

from expression import Error, Ok, Result

from ..configuration import Configuration, ConfigurationError, parse_configuration
from ..settings import SettingsError, parse_settings


def check_settings(text: bytes) -> Result[str, str]:
    """Return a summary of a settings file, or the fault with the key's name."""
    try:
        settings = parse_settings(text.decode())
    except (SettingsError, UnicodeDecodeError) as error:
        return Error(str(error))
    disk = "disk" if settings.data_directory else "no disk"
    return Ok(f"{settings.node_name}: {settings.zone}, {disk}, {len(settings.seed_nodes)} seeds")


def check_config(text: bytes) -> Result[str, str]:
    """Return a summary of a configuration with warnings, or the fault with the key's name."""
    try:
        configuration = parse_configuration(text)
    except ConfigurationError as error:
        return Error(str(error))
    summary = (
        f"version {configuration.config_version}: {len(configuration.route_table)} routes, "
        f"{len(configuration.service_table)} services, {len(configuration.tenant_table)} tenants"
    )
    return Ok("\n".join([summary, *_home_warnings(configuration)]))


def _home_warnings(configuration: Configuration) -> list[str]:
    """Return a warning for each tenant that has no home region in common with some routes."""
    warnings = []
    for tenant, entry in configuration.tenant_table.items():
        homes = set(entry.home_regions)
        disjoint = [
            name
            for name, route in configuration.route_table.items()
            if route.home_regions and not homes & set(route.home_regions)
        ]
        if homes and disjoint:
            warnings.append(
                f"warning: tenant_table.{tenant} has no home in common with {', '.join(disjoint)}: both bind, "
                "so nothing can be served there"
            )
    return warnings
