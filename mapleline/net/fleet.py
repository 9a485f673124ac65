"""Puts the fleet's parts together for one ingress, as our own settings ask (a driver)."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..settings.own import Own
from ..settings.platform import ConfigError
from .peers import Peers

if TYPE_CHECKING:
    from ..ingress import Ingress


def join(ingress: Ingress, own: Own) -> Peers | None:
    """Start what is enabled; raises ConfigError for what only the platform's settings can tell is wrong."""
    if own.handoff.enabled:
        _keep(ingress, own)
    return _share(ingress, own) if own.budgets.enabled else None


def _keep(ingress: Ingress, own: Own) -> None:
    from ..handoff.store import MEMBER_NAME
    from .handoff import Handoff

    config = ingress.config
    if not MEMBER_NAME.fullmatch(config.name):
        raise ConfigError("name: handoff needs 1 to 64 letters, digits, '-' or '_'")
    try:
        handoff = Handoff(
            ingress.reactor, own.handoff, ingress.engine, config.name, config.class_names, config.plan_names
        )
    except OSError as err:
        raise ConfigError(f"handoff.dir: {err.strerror or err}: {own.handoff.dir}") from None
    ingress.engine.record = handoff
    ingress.front.ids, ingress.front.outcome = handoff.ids, handoff.outcome
    ingress.reactor.callWhenRunning(handoff.start)


def _share(ingress: Ingress, own: Own) -> Peers:
    start, reactor, engine = ingress.config.start, ingress.reactor, ingress.engine
    spill = own.zones.spill_share if own.zones.enabled else 0.0
    peers = Peers(reactor, own.budgets, ingress.buffers, ingress.config.counter, start.gateway, start.gateways, spill)
    peers.shares.server_ids = ingress.directory.ids
    zones: Any = None
    tiers: list[frozenset[int]] = []
    if own.zones.enabled and start.zones > 1:
        from ..zones import TierError, ZoneEjection, read_tiers
        from .zones import ZoneWatch

        names, directory = ingress.config.zone_names, ingress.directory
        try:
            tiers = read_tiers(own.zones.tiers, names, start.zone)
        except TierError as err:
            raise ConfigError(f"zones.tiers: {err}") from None
        zones = ZoneEjection(start.zones, own.zones, peers.told.beat_s)
        peers.watchers.append(
            ZoneWatch(
                reactor,
                peers,
                zones,
                engine,
                names,
                lambda: {n: (directory.zones.get(n, 0), place) for n, place in directory.places.items()},
                engine.now,
            )
        )
    engine.share(peers.shares, zones, tiers)
    reactor.callWhenRunning(peers.start)
    return peers
