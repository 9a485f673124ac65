"""Formulas shared with window.py and placing.py: the usage estimate and a server's expected time."""

CHANCE = 0.1  # random share of the expected time: ingresses that know nothing yet must not all choose alike


def weighted(previous: float, left: float, current: float) -> float:
    """The two-window estimate; `left`: share of the window that is left, `current`: before the request."""
    return previous * left + current


def expected(usual, ahead, rng):
    """Expected time to an answer; `ahead` is the work at the server, relative to what it does at once."""
    return usual * (1 + ahead) * (1 + CHANCE * rng.random())
