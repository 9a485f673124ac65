"""Starts the fleet features that our own settings enable for one ingress (a driver)."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..settings.platform import ConfigError
from .fleet_member import FleetMember, RosterPosition

if TYPE_CHECKING:
    from ..ingress import Ingress
    from ..settings.own import ProgramSettings
    from ..zones import ZoneEjection


def join_fleet(ingress: Ingress, own: ProgramSettings) -> FleetMember | None:
    """Start the enabled features: handoff, budgets and the monitoring of zones.

    Returns:
        This ingress as a member that sends heartbeats; None if budgets are disabled.

    Raises:
        ConfigError: Our own settings do not match the platform's.
    """
    if own.handoff.enabled:
        _start_handoff(ingress, own)
    return _start_member(ingress, own) if own.budgets.enabled else None


def _start_handoff(ingress: Ingress, own: ProgramSettings) -> None:
    """Log the engine's requests, and take over those of failed ingresses."""
    from ..handoff.store import MEMBER_NAME
    from .handoff import Handoff
    from .log_adoption import RequestNames

    config = ingress.config
    if not MEMBER_NAME.fullmatch(config.name):
        raise ConfigError("name: handoff needs 1 to 64 letters, digits, '-' or '_'")
    names = RequestNames(config.class_names, config.plan_names)
    try:
        handoff = Handoff(ingress.reactor, own.handoff, ingress.engine, config.name, names)
    except OSError as error:
        raise ConfigError(f"handoff.dir: {error.strerror or error}: {own.handoff.dir}") from None
    ingress.engine.journal = handoff
    ingress.client_listener.request_ids = handoff.ids
    ingress.client_listener.find_outcome = handoff.known_outcome
    ingress.reactor.callWhenRunning(handoff.start)


def _start_member(ingress: Ingress, own: ProgramSettings) -> FleetMember:
    """Start heartbeats and budget claims, and the fleet-wide ejection of zones if that is enabled."""
    start = ingress.config.start
    spill_share = own.zones.spill_share if own.zones.enabled else 0.0
    position = RosterPosition(start.ingress, start.ingresses)
    member = FleetMember(ingress.reactor, own.budgets, ingress.buffers, ingress.config.counter, position, spill_share)
    member.shares.server_ids = ingress.directory.uid_hashes
    ejection: ZoneEjection | None = None
    tiers: list[frozenset[int]] = []
    if own.zones.enabled and start.zones > 1:
        tiers = _read_tiers(ingress, own)
        ejection = _start_zone_monitor(ingress, own, member)
    ingress.engine.set_fleet(member.shares, ejection, tiers)
    ingress.reactor.callWhenRunning(member.start)
    return member


def _read_tiers(ingress: Ingress, own: ProgramSettings) -> list[frozenset[int]]:
    from ..zones import TierError, read_tiers

    try:
        return read_tiers(own.zones.tiers, ingress.config.zone_names, ingress.config.start.zone)
    except TierError as error:
        raise ConfigError(f"zones.tiers: {error}") from None


def _start_zone_monitor(ingress: Ingress, own: ProgramSettings, member: FleetMember) -> ZoneEjection:
    from ..zones import ZoneEjection
    from .zones import ZoneMonitor, ZoneServer

    directory = ingress.directory

    def servers() -> list[ZoneServer]:
        zones = directory.zones
        return [
            ZoneServer(number, zones.get(number, 0), place.address) for number, place in directory.processes.items()
        ]

    ejection = ZoneEjection(ingress.config.start.zones, own.zones, member.settings.beat_s)
    names = ingress.config.zone_names
    member.watchers.append(ZoneMonitor(ingress.reactor, member, ejection, ingress.engine, names, servers))
    return ejection
