"""Division of an ingress's configuration among its workers."""

from __future__ import annotations

import copy

from ..settings.platform import Config

SUPERVISOR_SOCKETS = 40  # descriptors of the supervisor: standard streams, listener, discovery
SUPERVISOR_SOCKETS_PER_WORKER = 16  # further descriptors for each worker: channel, duplicates of offered connections
MIN_WORKER_SOCKETS = 128  # least number of descriptors with which a worker can run
COUNTER_CONNECTIONS = 16  # of the whole ingress: half of the 32 connections that the counter accepts from it


def worker_sockets(sockets: int, workers: int) -> int:
    """Return the number of descriptors of one worker; `sockets` (`limits.sockets`) is for the whole ingress."""
    return (sockets - SUPERVISOR_SOCKETS) // workers - SUPERVISOR_SOCKETS_PER_WORKER


def min_sockets(workers: int) -> int:
    """Return the least permitted `limits.sockets` for this number of workers."""
    return (MIN_WORKER_SOCKETS + SUPERVISOR_SOCKETS_PER_WORKER) * workers + SUPERVISOR_SOCKETS


def worker_counter_connections(workers: int) -> int:
    """Return the number of connections of one worker to the quota counter."""
    return max(1, COUNTER_CONNECTIONS // workers)


def divide_config(config: Config, workers: int, number: int) -> Config:
    """Return the configuration of one of several workers.

    The decision module treats each worker as a separate ingress among `workers` times as many ingresses.  The workers
    therefore need not exchange server health, their capacity estimates or their shares of a server in slow start.
    Only quotas are not divided: the workers share one count of each customer (`peer_usage.PeerUsage`).
    """
    divided = copy.copy(config)
    start = copy.copy(config.start)
    start.workers = workers
    start.ingress = start.ingress * workers + number
    start.ingresses = start.ingresses * workers
    start.seed += number  # with one seed, all workers would draw the same random numbers at the same time
    divided.start = start
    divided.sockets = worker_sockets(config.sockets, workers)
    divided.open_cap = -(-config.open_cap // workers)  # rounded up
    return divided
