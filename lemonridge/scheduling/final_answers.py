"""The final answer to a request that is not served: `Reject` (503) or `Fail` (502)."""

from __future__ import annotations

from lemonridge.scheduling.actions import Fail, Reject, RejectReason
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint_health import PROBE_INTERVAL_US
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind


def final_answer(context: DecisionContext, request: Request, reason: RejectReason) -> Reject | Fail:
    """Returns a rejection where a retry does no harm, else a failure.

    A rejection (429 or 503) promises that the client may try again (PROTOCOL). That holds where no attempt
    may have run, where the class is idempotent, and where every endpoint discards a repeat by its key.
    """
    request_class = request.request_class
    may_have_run = request.first_run_endpoint is not None or request.open_endpoint is not None
    repeat_is_discarded = (
        request_class.idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    if not may_have_run or request_class.idempotency is IdempotencyKind.IDEMPOTENT or repeat_is_discarded:
        return Reject(request.id, backoff_us(context, request), reason)
    return Fail(request.id, reason)


def backoff_us(context: DecisionContext, request: Request) -> int:
    """When the client should come back, in microseconds: its Retry-After.

    Once its limit has capacity, and not before an endpoint in trouble is probed again; at most what the
    settings allow, which is 0 where they allow no advice.
    """
    volume = request.volume
    wait_us = PROBE_INTERVAL_US
    if volume.plan.limit:
        wait_us = max(wait_us, volume.bucket.wait_us(request.units, context.now_us))
    return min(context.settings.max_backoff_us, wait_us)
