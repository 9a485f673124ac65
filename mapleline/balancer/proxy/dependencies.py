"""The interface between the data plane and its node."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from ...policy.window import QuotaConsultation
    from ..clock import Clock
    from ..discovery.endpoints import EndpointList
    from ..membership.table import MembershipTable
    from ..settings import Settings
    from .upstream_pool import UpstreamPool


@dataclass(frozen=True, slots=True)
class ProxyDependencies:
    """Components of the node that the data plane uses."""

    clock: Clock
    settings: Settings
    membership: MembershipTable
    endpoints: EndpointList
    upstream_pool: UpstreamPool
    can_serve: Callable[[], bool]  #: a configuration is in force, and the read lease holds
    consult_quota: Callable[[QuotaConsultation], None]  #: counts a unit and reports the tenant's usage
    rng: random.Random
