"""The trial cluster's zones, addresses and ports on loopback, and the settings file of each node."""

from __future__ import annotations

from pathlib import Path

REGION_BY_ZONE = {"z1": "east", "z2": "east", "z3": "west"}
INITIAL_NODES = tuple(REGION_BY_ZONE)
"""The names of the nodes started at first: one in each zone, named after the zone."""
JOINING_NODE = "z3-2"
"""The name of a node that joins later, in the third zone."""
NODE_ADDRESSES = {name: f"127.0.{number}.1" for number, name in enumerate((*INITIAL_NODES, JOINING_NODE), start=1)}
PLATFORM_ADDRESS = ("127.0.9.1", 8382)
FIRST_SERVER_PORT = 9000
SERVERS_PER_ZONE = 2

FRONT_PORT = 8388
READY_PORT = 8384
CONTROL_PORT = 8381
DIRECTORY_PORT = 8383
INTERNAL_PORT = 7560
INTERNAL_PORT_COUNT = 16


def control_addresses() -> str:
    """Return the control addresses of the initial nodes, in the format of `--at` and `seed_nodes`."""
    return ",".join(f"{NODE_ADDRESSES[name]}:{CONTROL_PORT}" for name in INITIAL_NODES)


def settings_text(name: str, data_folder: Path, is_initial: bool) -> str:
    """Return the settings file of a node; `is_initial` is set if the whole cluster starts for the first time."""
    host = NODE_ADDRESSES[name]
    zone = name.partition("-")[0]
    platform_host, platform_port = PLATFORM_ADDRESS
    lines = [
        f"node_name=try-{name}",
        f"ip_address={host}",
        f"zone={zone}",
        f"region={REGION_BY_ZONE[zone]}",
        *(f"zones.{zone_name}={region}" for zone_name, region in REGION_BY_ZONE.items()),
        f"listen_addresses.front_addr={host}:{FRONT_PORT}",
        f"listen_addresses.ready_addr={host}:{READY_PORT}",
        f"listen_addresses.control_addr={host}:{CONTROL_PORT}",
        f"listen_addresses.directory_addr={host}:{DIRECTORY_PORT}",
        f"internal_port_range={INTERNAL_PORT},{INTERNAL_PORT + INTERNAL_PORT_COUNT - 1}",
        f"seed_nodes={control_addresses()}",
        f"initial_start={'true' if is_initial else 'false'}",
        f"data_directory={data_folder}",
        "protocol_bounds=revocation_strict=true,quota_window=5s,quota_overshoot=0.1,quota_slack=20,grace_period=2s",
        f"cloud_api.address={platform_host}:{platform_port}",
        "cloud_api.rate_per_s=44.0",
    ]
    return "\n".join(lines) + "\n"
