"""Messages of the data plane: load on the servers, and leases on servers in slow start.

Servers are named by the CRC-32 of their id.
"""

from __future__ import annotations

import msgspec


class LoadReport(msgspec.Struct, array_like=True, tag=7):
    """From an ingress to all others of its region when its load changes: requests in flight and failure rates."""

    in_flight: dict[int, int]  #: server -> requests in flight; servers without any are left out
    failure_tenths: dict[int, int]  #: server -> share of failing requests in tenths, 3 to 10; lower shares are left out
    sequence: int = 0  #: counts the sender's reports; the receiver drops a report older than one it has


class LeaseRequest(msgspec.Struct, array_like=True, tag=40):
    """From an ingress to each voter: asks it to grant or renew leases on servers in slow start."""

    nonce: int  #: 31 bits; the grant repeats it
    incarnation: int  #: a random number drawn at the start of the sender's process, 31 bits
    lease_ids: list[int]  #: the servers for which leases are requested


class LeaseGrant(msgspec.Struct, array_like=True, tag=41):
    """From a voter to the ingress that sent the `LeaseRequest`."""

    nonce: int  #: the nonce of the request
    voter_count: int  #: number of voters known to the sender; a lease needs grants of more than half of them
    lease_ids: list[int]  #: the servers for which the voter grants the lease
