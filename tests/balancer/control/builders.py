"""Builders of control states for the tests of the control plane."""

from mapleline.balancer.control.state import Replica, State


def replica(ip, disk_id=None, zone=None):
    """Return a replica; its disk and zone default to the number of its address."""
    return Replica(ip, ip if disk_id is None else disk_id, ip if zone is None else zone)


def replicas(*ips):
    """Return a replica with the default disk and zone for each address."""
    return tuple(replica(ip) for ip in ips)


def state_of(*ips, **fields):
    """Return state 5 of system 9 with the voters of these addresses, each in its own zone."""
    return State(5, 9, 1, replicas(*ips), **fields)
