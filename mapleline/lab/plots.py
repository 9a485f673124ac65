"""Plots of measured runs, as PNG files."""

from __future__ import annotations

from pathlib import Path
from typing import Any


def latency_by_rate(runs: list[dict[str, Any]], bound_ms: float, output: Path) -> None:
    """Plot p50 and p99 against the offered rate, with one colour for each number of workers and the bound on p99."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 5))
    for number in sorted({run["workers"] for run in runs}):
        sorted_runs = sorted((run for run in runs if run["workers"] == number), key=lambda run: run["offered_rps"])
        rates = [run["offered_rps"] for run in sorted_runs]
        (line,) = axes.plot(rates, [run["p99_ms"] for run in sorted_runs], "o-", label=f"p99, workers = {number}")
        axes.plot(rates, [run["p50_ms"] for run in sorted_runs], "--", color=line.get_color(), label="p50")
    axes.axhline(bound_ms, color="grey", linewidth=1)
    axes.set(xlabel="offered requests a second", ylabel="latency, ms", yscale="log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(output, dpi=120)
    pyplot.close(figure)
