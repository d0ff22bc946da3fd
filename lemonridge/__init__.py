"""lemonridge: a broker between many services, with contracts and budgets, before shared storage nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lemonridge.scheduling import Scheduler

__all__ = ["Scheduler"]
__version__ = "0.3.0"


def __getattr__(name: str) -> object:
    """Load the decisions where they are asked for: a start handles its signals before it loads anything."""
    if name == "Scheduler":
        from lemonridge.scheduling import Scheduler

        return Scheduler
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
