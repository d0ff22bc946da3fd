"""The decisions of one host's I/O scheduler, pure: a time and events in, actions out.

`scheduler` takes the events and dispatches them; each other module has one concern: `queues` (volume queues
and their rotation), `limits`, `node_list`, `node_health`, `slow_start`, `retries`, `refusals`, `key_order`.
"""

from __future__ import annotations

from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.scheduler import MAX_POLL_BACKOFF_US, Scheduler

__all__ = ["MAX_POLL_BACKOFF_US", "Request", "Scheduler"]
