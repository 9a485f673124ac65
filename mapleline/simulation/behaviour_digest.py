"""Digests of behaviour: one hash over everything that crosses a machine's border in a simulated run.

A simulated run is deterministic, so two versions of the program that behave alike give the same digest for the same
seed.  A refactoring has to leave every digest as it is, bit for bit.
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
    """The digest of one simulated run, and how many events of each kind there were."""

    seed: int
    grown: bool
    digest: str
    events: dict[str, int] = field(default_factory=dict)

    def to_json(self) -> dict[str, Any]:
        """Return the fields by name, as they are compared and written down."""
        return asdict(self)


class BehaviourDigest:
    """Hashes events in their order; an instance is the `observer` of a simulated world."""

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
    """Run the scenario of a seed and return its digest; `grown`: on the large site."""
    previous = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        digest = BehaviourDigest()
        run_scenario(seed, options=RunOptions(size=site_size(grown)), observer=digest)
    finally:
        logging.disable(previous)
    return Behaviour(seed, grown, digest.hexdigest(), dict(sorted(digest.events.items())))


def measure_all(seeds: Iterable[int], jobs: int, grown: bool = False) -> list[Behaviour]:
    """Return the digests of many seeds, in their order, measured by `jobs` processes."""
    with multiprocessing.Pool(jobs) as pool:
        return pool.map(partial(measure, grown=grown), seeds, chunksize=1)
