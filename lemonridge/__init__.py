"""lemonridge: decisions of a scheduler of reads and writes before shared storage nodes."""

from lemonridge.policy import Scheduler

__all__ = ["Scheduler"]
__version__ = "0.1.0"
