"""How the lab's commands print their figures."""

from __future__ import annotations

from collections.abc import Mapping


def line(figures: Mapping[str, object]) -> str:
    """`key=value` pairs, as the log has them."""
    return " ".join(
        f'{name}="{value}"' if " " in str(value) else f"{name}={value}" for name, value in figures.items()
    )
