"""lemonridge: a broker between many client services and shared storage nodes, with per-volume contracts."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lemonridge.scheduling import Scheduler

__all__ = ["Scheduler"]
__version__ = "0.3.0"


def __getattr__(name: str) -> object:
    """Imports the scheduler on first access.

    `lemonridge serve` must install its signal handling before it imports anything slow.
    """
    if name == "Scheduler":
        from lemonridge.scheduling import Scheduler

        return Scheduler
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
