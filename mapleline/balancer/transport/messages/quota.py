"""Messages of the quota counters: between ingresses and a counter's replicas, and among the replicas."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class CounterIncrement(msgspec.Struct, array_like=True, tag=4):
    """From an ingress to a replica of a counter: asks it to add to the counter and to return its value.

    A repeated message, recognised by its nonce, adds nothing.  If `is_addition` is false, the message reverts the
    addition with this nonce, also when that addition arrives later.
    """

    nonce: int  #: 31 bits, unique within the sender's incarnation
    tenant: str
    sender_slot: int  #: by the sender's clock; earlier versions count by it, and send another index here
    units: float
    home_regions: list[str]  #: sorted; the regions where the tenant may be served, empty for all
    window_limit: float  #: the limit in units per window; determines how exact the value has to be
    is_addition: bool = True
    window_slots: int = 0  #: the length in slots of the windows to report; 0 from an earlier version


class CounterValue(msgspec.Struct, array_like=True, tag=5):
    """From a replica to the ingress that added to the counter: the counter's value."""

    nonce: int  #: the nonce of the increment
    units_before: float  #: the units in the current window, without the increment
    previous_window_units: float
    remaining_permille: int = -1  #: the rest of the window by the replica's clock; -1 from an earlier version
    quota_window_units: int = 0  #: the units in the quota's own window, without the increment, rounded up


class ReplicaCount(NamedTuple):
    """The units that one replica of a counter counted itself; the counter's value is the sum over its replicas."""

    replica: int  #: the replica's address and incarnation (`MembershipTable.session_key`)
    version: int  #: of two counts of the same replica, the one with the higher version wins
    units: float


class CounterRows(msgspec.Struct, array_like=True, frozen=True):
    """One counter as a replica knows it."""

    tenant: str
    slot: int  #: the slot by the clock of the sending replica
    rows: list[ReplicaCount]


class CounterSync(msgspec.Struct, array_like=True, tag=6):
    """From one replica to another: the counters that they share.  The receiver answers once, with `is_answer` set."""

    counters: list[CounterRows]
    is_answer: bool = False
    sender_unix_ms: int = 0  #: the sender's time of day, by which it numbers slots; 0 if not repeated
    wants_past: bool = False  #: the answer must contain all rows of these tenants
    known_tenants: list[str] = []  #: the sender knows all counts of these tenants, and sends them here
