"""A node with a deliberate fault that the soak test must detect: it admits every request, whatever the tenant's use."""

import sys

from mapleline.balancer import process
from mapleline.policy.window import Tenancy


def admit_everything(tenancy, usage):
    """Return None: no excess, thus no wait."""


if __name__ == "__main__":
    Tenancy.excess_wait_s = admit_everything
    sys.exit(process.main())
