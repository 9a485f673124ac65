"""Tiers of zones, in the order in which an ingress uses them, as the settings write them (pure)."""

from __future__ import annotations

OWN_ZONE = "own"
ALL_OTHERS = "*"
_UNKNOWN = -1


class TierError(ValueError):
    """A text of tiers that names an unknown zone, or one zone twice."""


def read_tiers(text: str, names: list[str], own: int) -> list[frozenset[int]]:
    """Return `"own > a, b > *"` as sets of zone numbers, the preferred tier first.

    Args:
        text: the tiers; `own` is the ingress's zone, `*` all that are not named.  No text: no tiers.
        names: the zones' names, by number.
        own: the number of the ingress's zone.

    Raises:
        TierError: an unknown zone, or one that is named twice.
    """
    if not text.strip():
        return []
    numbers = {name: number for number, name in enumerate(names)} | {OWN_ZONE: own}
    tiers: list[tuple[set[int], bool]] = []
    named: set[int] = set()
    for part in text.split(">"):
        words = [word.strip() for word in part.split(",")]
        tier = _numbers_of(words, numbers, names)
        if tier & named:
            raise TierError(f"zone {names[min(tier & named)]!r} stands in two tiers")
        named |= tier
        tiers.append((tier, ALL_OTHERS in words))
    others = set(range(len(names))) - named
    return [frozenset(tier | others if has_others else tier) for tier, has_others in tiers]


def _numbers_of(words: list[str], numbers: dict[str, int], names: list[str]) -> set[int]:
    """Return the numbers of the zones that are named; raises TierError for an unknown one."""
    tier = {numbers.get(word, _UNKNOWN) for word in words if word != ALL_OTHERS}
    if _UNKNOWN in tier:
        unknown = next(word for word in words if word != ALL_OTHERS and word not in numbers)
        raise TierError(f"no such zone: {unknown!r}; known: {OWN_ZONE}, {ALL_OTHERS}, {', '.join(names)}")
    return tier
