"""The output format of figures in the lab's commands."""

from __future__ import annotations

from collections.abc import Mapping


def format_figures(figures: Mapping[str, object]) -> str:
    """Formats figures as one line of `key=value` pairs, like a log line."""
    return " ".join(
        f'{name}="{value}"' if " " in str(value) else f"{name}={value}" for name, value in figures.items()
    )
