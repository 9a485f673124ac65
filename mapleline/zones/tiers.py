"""Parses the setting for tiers of zones, which lists zones in the order in which an ingress uses them (pure)."""

from __future__ import annotations

OWN_ZONE = "own"
ALL_OTHERS = "*"
_UNKNOWN = -1


class TierError(ValueError):
    """The tiers name an unknown zone, or a zone twice."""


def read_tiers(text: str, names: list[str], own_zone: int) -> list[frozenset[int]]:
    """Return `"own > a, b > *"` as sets of zone numbers, the preferred tier first.

    Args:
        text: The tiers; `own` is the ingress's zone, `*` stands for all zones that are not named.  An empty text gives
            no tiers.
        names: The zones' names, by number.
        own_zone: The number of the ingress's zone.

    Raises:
        TierError: The text names an unknown zone, or a zone twice.
    """
    if not text.strip():
        return []
    numbers = {name: number for number, name in enumerate(names)} | {OWN_ZONE: own_zone}
    tiers: list[tuple[set[int], bool]] = []
    named: set[int] = set()
    for tier_text in text.split(">"):
        entries = [entry.strip() for entry in tier_text.split(",")]
        tier = _zone_numbers(entries, numbers, names)
        if tier & named:
            raise TierError(f"zone {names[min(tier & named)]!r} is in two tiers")
        named |= tier
        tiers.append((tier, ALL_OTHERS in entries))
    others = set(range(len(names))) - named
    return [frozenset(tier | others if has_others else tier) for tier, has_others in tiers]


def _zone_numbers(entries: list[str], numbers: dict[str, int], names: list[str]) -> set[int]:
    """Return the numbers of the named zones; raises TierError for an unknown one."""
    tier = {numbers.get(entry, _UNKNOWN) for entry in entries if entry != ALL_OTHERS}
    if _UNKNOWN in tier:
        unknown = next(entry for entry in entries if entry != ALL_OTHERS and entry not in numbers)
        raise TierError(f"no such zone: {unknown!r}; known: {OWN_ZONE}, {ALL_OTHERS}, {', '.join(names)}")
    return tier
