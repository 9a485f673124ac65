"""Plots of the laboratory's runs, as PNG."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def latency_by_rate(runs: list[dict[str, Any]], bound_ms: float, to: Path) -> None:
    """p50 and p99 over the offered rate, a colour for each number of workers, with the bound on p99."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for number in sorted({run["workers"] for run in runs}):
        of = sorted((run for run in runs if run["workers"] == number), key=lambda run: run["offered_rps"])
        rates = [run["offered_rps"] for run in of]
        (line,) = axes.plot(rates, [run["p99_ms"] for run in of], "o-", label=f"p99, workers = {number}")
        axes.plot(rates, [run["p50_ms"] for run in of], "--", color=line.get_color(), label="p50")
    axes.axhline(bound_ms, color="grey", linewidth=1)
    axes.set(xlabel="offered requests a second", ylabel="latency, ms", yscale="log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(to, dpi=120)
    pyplot.close(figure)
