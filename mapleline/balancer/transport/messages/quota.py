"""Messages of the quota counters: between ingresses and a counter's replicas, and among these."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class CounterIncrement(msgspec.Struct, array_like=True, tag=4):
    """From an ingress to a replica of a counter: add to it and return its value.  A repeat, by the nonce, adds nothing.

    Where `is_addition` is false: take off what was added under this nonce, or do not add it if it comes later.
    """

    nonce: int  #: 31 bits, unique among those of the sender's incarnation
    tenant: str
    sender_slot: int  #: by the sender's clock; earlier versions count by it, and send another index in its place
    units: float
    home_regions: list[str]  #: sorted; where the tenant may be served, empty for everywhere
    window_limit: float  #: of units in one window: how exact the value has to be
    is_addition: bool = True
    window_slots: int = 0  #: the length of the windows that the value is wanted for; 0: from an earlier version


class CounterValue(msgspec.Struct, array_like=True, tag=5):
    """From a replica to the ingress that has added to the counter."""

    nonce: int  #: of the increment
    units_before: float  #: in the window, without the increment
    previous_window_units: float
    remaining_permille: int = -1  #: of the window, by the replica's clock; -1: from an earlier version
    quota_window_units: int = 0  #: in the quota's own window, without the increment, rounded up


class ReplicaCount(NamedTuple):
    """What one replica of a counter has counted itself; the counter's value is the sum over its replicas."""

    replica: int  #: address and incarnation (`MembershipTable.session_key`)
    version: int  #: of two counts of one replica the higher version wins
    units: float


class CounterRows(msgspec.Struct, array_like=True, frozen=True):
    """One counter as a replica knows it."""

    tenant: str
    slot: int  #: by the clock of the replica that sends this
    rows: list[ReplicaCount]


class CounterSync(msgspec.Struct, array_like=True, tag=6):
    """From one replica to another: the counters that they share.  It is answered by one that is not answered itself."""

    counters: list[CounterRows]
    is_answer: bool = False
    sender_unix_ms: int = 0  #: the time of day by the sender's clock, by which it numbers slots; 0: not told again
    wants_past: bool = False  #: the answer is to have all rows of these tenants
    known_tenants: list[str] = []  #: the sender knows all that was counted of these, and sends it herewith
