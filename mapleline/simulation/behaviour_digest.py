"""Digests of behaviour: one hash over everything that enters or leaves the machines in a simulated run.

A simulated run is deterministic, so two versions of the program that behave alike produce the same digest for the same
seed.  A refactoring must leave every digest unchanged, bit for bit.
"""

from __future__ import annotations

import logging
import multiprocessing
from collections import Counter
from collections.abc import Iterable
from dataclasses import asdict, dataclass, field
from functools import partial
from hashlib import blake2b
from typing import Any

from .records import ObservedKind
from .runner import RunOptions, run_scenario, site_size

DIGEST_BYTES = 16


@dataclass(frozen=True)
class Behaviour:
    """The digest of one simulated run, and the number of events of each kind."""

    seed: int
    grown: bool
    digest: str
    events: dict[str, int] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the fields by name, as they are compared and stored."""
        return asdict(self)


class BehaviourDigest:
    """Hashes events in the order in which they occur; an instance is the `observer` of a simulated world."""

    def __init__(self) -> None:
        """Start without any event."""
        self._hash = blake2b(digest_size=DIGEST_BYTES)
        self.events: Counter[str] = Counter()

    def __call__(self, time_s: float, kind: ObservedKind, source: str, target: str, data: bytes) -> None:
        """Add one event: a datagram, call, reply, request, answer, attempt, platform call or disk write."""
        self.events[kind] += 1
        self._hash.update(f"{time_s!r} {kind} {source} {target} {len(data)}\n".encode())
        self._hash.update(data)

    def hexdigest(self) -> str:
        """Return the digest of all events so far."""
        return self._hash.hexdigest()


def measure(seed: int, grown: bool = False) -> Behaviour:
    """Run the random scenario of a seed and return its digest; `grown` selects the large site."""
    previous = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        digest = BehaviourDigest()
        run_scenario(seed, options=RunOptions(size=site_size(grown)), observer=digest)
    finally:
        logging.disable(previous)
    return Behaviour(seed, grown, digest.hexdigest(), dict(sorted(digest.events.items())))


def measure_all(seeds: Iterable[int], jobs: int, grown: bool = False) -> list[Behaviour]:
    """Return the digests of the seeds, in the order of the seeds; `jobs` processes compute them."""
    with multiprocessing.Pool(jobs) as pool:
        return pool.map(partial(measure, grown=grown), seeds, chunksize=1)
