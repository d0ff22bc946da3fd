"""Paired differences between two sets of runs, and plots of figures against a factor."""

from __future__ import annotations

from typing import Any

import numpy as np
from scipy import stats


def _pairing_key(result: dict[str, Any]) -> tuple[str, int]:
    """Returns the key by which runs are paired: levels and seed.

    The compared factor is not among the levels, since each of its values has its own folder.
    """
    return repr(sorted(result["levels"].items())), int(result["seed"])


def paired_difference(
    before: list[dict[str, Any]], after: list[dict[str, Any]], figure: str, level: float = 0.95
) -> dict[str, float]:
    """Returns the mean difference between runs with the same levels and seed, with a confidence interval.

    The interval is Student's t of the paired differences; common random numbers make their variance smaller
    than that of the values.

    Args:
        before: Results before the change.
        after: Results after the change.
        figure: Name of the compared figure.
        level: Confidence level.

    Returns:
        The number of pairs, the mean of after minus before, and the bounds of the interval.

    Raises:
        ValueError: No run of one set has a counterpart in the other.
    """
    before_values = {_pairing_key(result): float(result["figures"][figure]) for result in before}
    pairs = [
        (before_values[_pairing_key(result)], float(result["figures"][figure]))
        for result in after
        if _pairing_key(result) in before_values
    ]
    if not pairs:
        raise ValueError("the two sets of runs have no run in common")
    differences = np.array([b - a for a, b in pairs])
    mean = float(differences.mean())
    if len(differences) < 2 or not differences.std():
        return {"pairs": len(pairs), "mean": mean, "low": mean, "high": mean}
    low, high = stats.t.interval(level, len(differences) - 1, loc=mean, scale=stats.sem(differences))
    return {"pairs": len(pairs), "mean": mean, "low": float(low), "high": float(high)}


def plot(results: list[dict[str, Any]], factor: str, figure: str, path: str, by: str | None = None) -> None:
    """Plots a figure against a factor, with the mean and the extremes over the seeds.

    Args:
        results: Results of the runs.
        factor: Factor of the x axis.
        figure: Name of the figure.
        path: File to write.
        by: Another factor, with one line for each of its levels; None for one line.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lemonridge"  # makes the file reproducible
    from matplotlib import pyplot as plt

    series: dict[str, dict[float, list[float]]] = {}
    for result in results:
        value = result["figures"].get(figure, result.get(figure))
        name = str(result["levels"].get(by, "")) if by else ""
        series.setdefault(name, {}).setdefault(float(result["levels"][factor]), []).append(float(value))
    chart, axes = plt.subplots(figsize=(7, 4))
    for name, points in sorted(series.items()):
        xs = sorted(points)
        means = [float(np.mean(points[x])) for x in xs]
        spread = [
            [mean - min(points[x]) for x, mean in zip(xs, means, strict=True)],
            [max(points[x]) - mean for x, mean in zip(xs, means, strict=True)],
        ]
        axes.errorbar(xs, means, yerr=spread, marker="o", capsize=3, label=name or figure)
    axes.set_xlabel(factor)
    axes.set_ylabel(figure)
    if max(max(points) for points in series.values()) > 20 * min(min(points) for points in series.values()):
        axes.set_xscale("log")
    axes.grid(alpha=0.3)
    axes.legend()
    chart.tight_layout()
    chart.savefig(path, metadata={"Date": None} if path.endswith(".svg") else None)
    plt.close(chart)
