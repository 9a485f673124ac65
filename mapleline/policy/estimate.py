"""What the ingress in service and the system decide by alike: the estimate, and what a server costs."""

CHANCE = 0.1  # in the choice of a server: gateways that know nothing yet must not choose alike


def weighted(previous: float, left: float, current: float) -> float:
    """The two-window estimate.  `left`: share of the window that is left; `current`: before this request."""
    return previous * left + current


def expected(usual, ahead, rng):
    """Expected time to an answer; `ahead`: what is there already, over what the server bears at once."""
    return usual * (1 + ahead) * (1 + CHANCE * rng.random())
