"""How the configuration of an ingress is divided among its workers."""

from __future__ import annotations

import copy

from ..settings.platform import Config

SUPERVISOR_SOCKETS = 40  # descriptors of the supervisor: streams, its listener, discovery
SUPERVISOR_SOCKETS_PER_WORKER = 16  # and for each worker: its channel, duplicates of connections on their way to it
MIN_WORKER_SOCKETS = 128  # descriptors that a worker needs
COUNTER_CONNECTIONS = 16  # of the whole ingress: half of the 32 that the counter has for it


def worker_sockets(sockets: int, workers: int) -> int:
    """Return the descriptors of one worker: `limits.sockets` holds for the ingress as a whole."""
    return (sockets - SUPERVISOR_SOCKETS) // workers - SUPERVISOR_SOCKETS_PER_WORKER


def min_sockets(workers: int) -> int:
    """Return the least `limits.sockets` for so many workers."""
    return (MIN_WORKER_SOCKETS + SUPERVISOR_SOCKETS_PER_WORKER) * workers + SUPERVISOR_SOCKETS


def worker_counter_connections(workers: int) -> int:
    """Return the connections to the quota counter of one worker."""
    return max(1, COUNTER_CONNECTIONS // workers)


def divide_config(config: Config, workers: int, number: int) -> Config:
    """Return the configuration of one of several workers.

    To the decision module each is an ingress of its own among `workers` times as many: what it learns of servers, the
    capacity it allows itself and its part of a server in slow start need no exchange with the others.  Only quotas are
    not divided: there the workers count as one (`peer_usage.PeerUsage`).
    """
    divided = copy.copy(config)
    start = copy.copy(config.start)
    start.workers = workers
    start.ingress = start.ingress * workers + number
    start.ingresses = start.ingresses * workers
    start.seed += number  # else all workers would draw the same random numbers at the same time
    divided.start = start
    divided.sockets = worker_sockets(config.sockets, workers)
    divided.open_cap = -(-config.open_cap // workers)  # rounded up
    return divided
