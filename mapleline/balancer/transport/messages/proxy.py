"""Messages of the data plane: load on the servers, and leases on servers in slow start.

Servers are named by the CRC-32 of their id.
"""

from __future__ import annotations

import msgspec


class LoadReport(msgspec.Struct, array_like=True, tag=7):
    """From an ingress to all others of its region: what it has in flight and sees fail, when that has changed."""

    in_flight: dict[int, int]  #: requests by server; none for a server that is not named
    failure_tenths: dict[int, int]  #: share of requests that fail by server, in tenths: 3 to 10, or not named
    sequence: int = 0  #: the sender's count of these: a report that is overtaken by a later one is dropped


class LeaseRequest(msgspec.Struct, array_like=True, tag=40):
    """From an ingress to each voter: grant or renew leases on servers in slow start."""

    nonce: int  #: 31 bits; the grant has it as well
    incarnation: int  #: a random number drawn at the start of the sender's process, 31 bits
    lease_ids: list[int]  #: of the servers


class LeaseGrant(msgspec.Struct, array_like=True, tag=41):
    """The answer of a voter."""

    nonce: int  #: of the request
    voter_count: int  #: as the sender knows it: the leases of more than half of them are one
    lease_ids: list[int]  #: those that it grants
