"""lemonridge: a broker between many services, with contracts and budgets, before shared storage nodes."""

from lemonridge.policy import Scheduler

__all__ = ["Scheduler"]
__version__ = "0.3.0"
