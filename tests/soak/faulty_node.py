"""A node with a deliberate fault that the soak test must detect: it admits every request, whatever the tenant's use."""

import sys

from mapleline.balancer import process
from mapleline.policy.window import TenantLimit


def admit_everything(tenant_limit, usage):
    """Return None: no excess, thus no wait."""


if __name__ == "__main__":
    TenantLimit.excess_wait_s = admit_everything
    sys.exit(process.main())
