"""The I/O scheduler of one host: a deterministic state machine that turns a time and events into actions.

Interface:
    `events`, `actions`, `settings`: the inputs, the outputs and the configuration.
    `scheduler`: the state machine that applies events and timers; start reading here.

Requests:
    `request_lifecycle`: arrival, attempts, retries, migration and final answer.
    `admission`: the objective of an arriving request, and its rejection by the limit of its volume.
    `final_answers`: rejection or failure, and Retry-After.
    `retries`, `retry_budget`: whether and when a request may be retried.
    `key_order`: serial execution of requests with the same ordering key.
    `requests`: the state of a request, its queue and its volume.

Queues and limits:
    `volume_queues`: which request is sent next, and which requests expire.
    `volume_limits`, `token_bucket`: the limits of volumes and this host's share of them.

Endpoints:
    `endpoint_list`, `list_polling`: the endpoints listed by discovery.
    `endpoint_health`: selection of endpoints; windows, silence and probes.
    `slow_start`: how much may be sent to a restarted endpoint.
    `endpoint`, `rate_estimators`: the state of an endpoint, and estimators of rates.

Shared:
    `context`, `timers`: shared state and the timer queue.
"""

from __future__ import annotations

from lemonridge.scheduling.list_polling import MAX_POLL_BACKOFF_US
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.scheduler import Scheduler

__all__ = ["MAX_POLL_BACKOFF_US", "Request", "Scheduler"]
