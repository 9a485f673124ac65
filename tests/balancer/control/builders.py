"""Builders of control states for the tests of the control plane."""

from mapleline.balancer.control.state import Replica, State


def replica(ip, disk_id=None, zone=None):
    """A replica whose disk and zone are numbered as its address, where nothing else is said."""
    return Replica(ip, ip if disk_id is None else disk_id, ip if zone is None else zone)


def replicas(*ips):
    """Such replicas of several addresses."""
    return tuple(replica(ip) for ip in ips)


def state_of(*ips, **fields):
    """State 5 of system 9 with the voters of these addresses, in a zone each."""
    return State(5, 9, 1, replicas(*ips), **fields)
