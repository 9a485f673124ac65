"""The division of an ingress's configuration among its workers."""

from itertools import pairwise

from helpers import settings

from mapleline.cores.worker_config import divide_config
from mapleline.settings.platform import Config


def test_workers_draw_different_random_numbers_and_share_the_limits():
    config = Config(
        "n", ("", 0), ("", 0), ("", 0), settings(ingress=1, ingresses=3), [], [], [], [], None, 1024, 1.0, 1.0, 30_001
    )
    parts = [divide_config(config, 4, n) for n in range(4)]
    assert [part.start.ingress for part in parts] == [4, 5, 6, 7]
    assert parts[0].start.ingresses == 12
    assert all(one.start.seed != other.start.seed for one, other in pairwise(parts))
    assert sum(part.sockets for part in parts) <= 1024 - 40
    assert config.start.ingresses == 3
    assert sum(part.open_cap for part in parts) >= 30_001
