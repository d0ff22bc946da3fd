"""Paired differences between two sets of runs, and plots against a factor."""

from __future__ import annotations

from typing import Any

import numpy as np
from scipy import stats


def _key(result: dict[str, Any]) -> tuple[str, int]:
    """What two runs have in common; the factor that is compared stands in the folders, not in the levels."""
    return repr(sorted(result["levels"].items())), int(result["seed"])


def paired_difference(
    before: list[dict[str, Any]], after: list[dict[str, Any]], figure: str, level: float = 0.95
) -> dict[str, float]:
    """The mean of after less before over runs of the same levels and seed, and its confidence interval by
    Student's t (paired: common random numbers make the difference steadier than either).
    """
    held = {_key(result): float(result["figures"][figure]) for result in before}
    pairs = [
        (held[_key(result)], float(result["figures"][figure])) for result in after if _key(result) in held
    ]
    if not pairs:
        raise ValueError("the two have no run in common")
    steps = np.array([b - a for a, b in pairs])
    mean = float(steps.mean())
    if len(steps) < 2 or not steps.std():
        return {"pairs": len(pairs), "mean": mean, "low": mean, "high": mean}
    low, high = stats.t.interval(level, len(steps) - 1, loc=mean, scale=stats.sem(steps))
    return {"pairs": len(pairs), "mean": mean, "low": float(low), "high": float(high)}


def plot(results: list[dict[str, Any]], factor: str, figure: str, path: str, by: str | None = None) -> None:
    """A figure against a factor, mean and extremes over the seeds, a line for each level of another
    factor.
    """
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lemonridge"  # the same file for the same figures
    from matplotlib import pyplot as plt

    lines: dict[str, dict[float, list[float]]] = {}
    for result in results:
        value = result["figures"].get(figure, result.get(figure))
        name = str(result["levels"].get(by, "")) if by else ""
        lines.setdefault(name, {}).setdefault(float(result["levels"][factor]), []).append(float(value))
    shape, axes = plt.subplots(figsize=(7, 4))
    for name, points in sorted(lines.items()):
        xs = sorted(points)
        means = [float(np.mean(points[x])) for x in xs]
        spread = [
            [mean - min(points[x]) for x, mean in zip(xs, means, strict=True)],
            [max(points[x]) - mean for x, mean in zip(xs, means, strict=True)],
        ]
        axes.errorbar(xs, means, yerr=spread, marker="o", capsize=3, label=name or figure)
    axes.set_xlabel(factor)
    axes.set_ylabel(figure)
    if max(max(points) for points in lines.values()) > 20 * min(min(points) for points in lines.values()):
        axes.set_xscale("log")
    axes.grid(alpha=0.3)
    axes.legend()
    shape.tight_layout()
    shape.savefig(path, metadata={"Date": None} if path.endswith(".svg") else None)
    plt.close(shape)
