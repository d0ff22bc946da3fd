"""The decisions of one host's I/O scheduler, pure: a time and events in, actions out.

The interface:
    `events`, `actions`, `settings`: what goes in, what comes out, and what it goes by.
    `scheduler`: the state machine that applies events and timers; the place to start reading.

Requests:
    `request_lifecycle`: arrival, attempts, retries, migration, final answer.
    `admission`: the objective of a request that arrives, and its rejection by its limit.
    `final_answers`: a rejection or a failure, and Retry-After.
    `retries`, `retry_budget`: whether a request may be attempted again, and when.
    `key_order`: one request of an ordering key at a time.
    `requests`: a request, its queue and its volume.

Queues and limits:
    `volume_queues`: which request is sent next, and which waits in vain.
    `volume_limits`, `token_bucket`: the limits of volumes and this host's part of them.

Endpoints:
    `endpoint_list`, `list_polling`: the endpoints that discovery lists.
    `endpoint_health`: which endpoint to send to; windows, silence, probes.
    `slow_start`: what may be sent to an endpoint that has started anew.
    `endpoint`, `rate_estimators`: what is known of one, and estimates of rates.

Shared:
    `context`, `timers`.
"""

from __future__ import annotations

from lemonridge.scheduling.list_polling import MAX_POLL_BACKOFF_US
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.scheduler import Scheduler

__all__ = ["MAX_POLL_BACKOFF_US", "Request", "Scheduler"]
