"""Counting of events in sliding windows: in RULES.md any span of a window's length counts."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FullestWindow:
    """The window with the most events, and where it begins."""

    count: int
    begins_at: float


def fullest_window(times: list[float], length_s: float) -> FullestWindow:
    """Return the window of that length with the most of the sorted times, the earliest of equals."""
    fullest = FullestWindow(0, 0.0)
    first = 0
    for index, at in enumerate(times):
        while at - times[first] >= length_s:
            first += 1
        count = index - first + 1
        if count > fullest.count:
            fullest = FullestWindow(count, times[first])
    return fullest


def count_in_window(times: list[float], begins_at: float, length_s: float) -> int:
    """Return how many of the sorted times lie in the window."""
    return bisect_left(times, begins_at + length_s) - bisect_left(times, begins_at)
