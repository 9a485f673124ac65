"""A node with a planted fault, for the soak to find: every tenant's use is taken for nothing."""

import sys

from mapleline.balancer import process
from mapleline.policy.window import TenantLimit


def admit_everything(tenant_limit, usage):
    """Return that there is room."""


if __name__ == "__main__":
    TenantLimit.excess_wait_s = admit_everything
    sys.exit(process.main())
