"""Starts the parties of a fleet, in the order of their dependencies."""

from __future__ import annotations

from ..addresses import loopback_address
from ..discovery import Agent, Target
from ..modes import ProcessMode
from .parties import INGRESS_PREFIX, MS_PER_S, SERVER_SEPARATOR, ZONE_PREFIX, Parties, server_uid
from .platform_settings import MAX_SOCKETS, MODEL, platform_settings
from .ports import free_ports
from .processes import IngressProcess
from .readiness import wait_until_ready


def start_parties(parties: Parties) -> None:
    """Start all parties except the ingresses that join later; wait until the ingresses are ready."""
    if parties.options.is_bare:
        _start_bare(parties)
    else:
        _start_fleet(parties)


def _ingress_names(parties: Parties) -> list[str]:
    return [f"{INGRESS_PREFIX}{number}" for number in range(parties.schedule.fleet.ingresses)]


def _start_bare(parties: Parties) -> None:
    """Start a stand-in agenda server in place of each ingress."""
    for name in _ingress_names(parties):
        work_s = parties.schedule.fleet.work_ms / MS_PER_S
        ports = parties.start_stand_in(name, {"kind": "agenda", "work_s": work_s, "metered_below": 0})
        parties.ingress_ports[name] = parties.add_link(f"load>{name}", ports[0])
        parties.members.add(name)


def _start_fleet(parties: Parties) -> None:
    """Start the counter, the zones' servers and the ingresses."""
    fleet = parties.schedule.fleet
    record = str(parties.logs.path_of("counter"))
    counter_port = parties.start_stand_in("counter", {"kind": "counter", "record": record})[0]
    zone_ports = {zone: parties.start_zone(zone) for zone in fleet.zones}
    joining = {fault.process for fault in parties.schedule.faults if fault.mode == ProcessMode.JOIN}
    listen_ports = free_ports()
    started: list[IngressProcess] = []
    for number, name in enumerate(_ingress_names(parties)):
        if parties.options.has_counter_each and number > 0:
            counter_port = parties.start_stand_in(f"counter-{number}", {"kind": "counter"})[0]
        agent = parties.agents[name] = Agent(_link_servers(parties, name, zone_ports), parties.reactor)
        ingress = _prepare_ingress(parties, number, next(listen_ports), counter_port, agent)
        if name not in joining:
            ingress.start()
            parties.logs.write("fleet", "process started", process=name, pid=ingress.pid, listen=ingress.port)
            parties.members.add(name)
            started.append(ingress)
    for ingress in sorted(started, key=lambda process: process.name):
        parties.report_start(ingress, wait_until_ready(ingress))


def _link_servers(parties: Parties, ingress: str, zone_ports: dict[str, list[int]]) -> list[Target]:
    """Open the links of an ingress to every server; return the servers as targets for its discovery agent."""
    targets = []
    for zone, ports in zone_ports.items():
        for number, port in enumerate(ports):
            link_port = parties.add_link(f"{ingress}>{ZONE_PREFIX}{zone}{SERVER_SEPARATOR}{number}", port)
            target = Target(
                uid=server_uid(zone, number),
                endpoint=loopback_address(link_port),
                az=zone,
                model=MODEL,
                pod_group=number,
            )
            targets.append(target)
    return targets


def _prepare_ingress(parties: Parties, number: int, port: int, counter_port: int, agent: Agent) -> IngressProcess:
    """Write the files of an ingress and open its links.

    Args:
        parties: The fleet.
        number: Number of the ingress, from 0.
        port: Port at which it will listen.
        counter_port: Port of its counter.
        agent: Its discovery agent.
    """
    name = f"{INGRESS_PREFIX}{number}"
    config = {
        "name": name,
        "listen": loopback_address(port),
        "seed": f"{number + 1:x}",
        "counter": loopback_address(parties.add_link(f"{name}>counter", counter_port)),
        "discovery": loopback_address(agent.listen()),
        "known": agent.full_list(),
        "limits": {"sockets": MAX_SOCKETS},
        "settings": platform_settings(parties.schedule.fleet, number),
    }
    parties.files.write_config(name, config)
    settings_file = parties.files.write_settings(name) if parties.files.needs_settings() else None
    log = open(parties.logs.path_of(name), "ab")  # noqa: SIM115  # the process writes to it until its end
    ingress = IngressProcess(name, port, parties.files.config_file(name), settings_file, log)
    parties.processes[name] = ingress
    parties.ingress_ports[name] = parties.add_link(f"load>{name}", port)
    return ingress
