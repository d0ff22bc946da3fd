"""mothvale: decisions of a scheduler of reads and writes before shared storage nodes."""

from mothvale.policy import Scheduler

__all__ = ["Scheduler"]
__version__ = "0.1.0"
