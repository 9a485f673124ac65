"""Counting of events in sliding windows: rules of RULES.md hold for every interval of a window's length."""

from __future__ import annotations

from bisect import bisect_left
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FullestWindow:
    """The number of events in the fullest window, and the moment at which it begins."""

    count: int
    begins_at: float


def fullest_window(times: list[float], length_s: float) -> FullestWindow:
    """Return the window of `length_s` that contains most of the sorted times; the earliest one of several."""
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
    """Return the number of the sorted times in the window, whose end is exclusive."""
    return bisect_left(times, begins_at + length_s) - bisect_left(times, begins_at)
