"""The final answer to a request that is not served: `Reject` (429 or 503) or `Fail` (502)."""

from __future__ import annotations

from lemonridge.scheduling.actions import Fail, Reject, RejectReason
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint_health import PROBE_INTERVAL_US
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind


def final_answer(context: DecisionContext, request: Request, reason: RejectReason) -> Reject | Fail:
    """Returns a rejection if the client can safely retry the request, and a failure otherwise.

    A rejection (429 or 503) guarantees that the client may retry (PROTOCOL). A retry is safe if no attempt
    may have run, if the class is idempotent, or if every endpoint discards a duplicate by its idempotency
    key.

    Args:
        context: The state shared by all parts of the scheduler.
        request: The request.
        reason: The reason for the rejection or failure.
    """
    request_class = request.request_class
    may_have_run = request.first_run_endpoint is not None or request.open_endpoint is not None
    duplicate_is_discarded = (
        request_class.idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )
    if not may_have_run or request_class.idempotency is IdempotencyKind.IDEMPOTENT or duplicate_is_discarded:
        return Reject(request.id, backoff_us(context, request), reason)
    return Fail(request.id, reason)


def backoff_us(context: DecisionContext, request: Request) -> int:
    """Returns the Retry-After of a rejection, in microseconds.

    The client should retry when the limit of the volume has capacity again, and not before a suspect endpoint
    is probed again. The settings determine the maximum; if it is 0, no Retry-After is given.
    """
    volume = request.volume
    wait_us = PROBE_INTERVAL_US
    if volume.plan.limit:
        wait_us = max(wait_us, volume.bucket.wait_us(request.units, context.now_us))
    return min(context.settings.max_backoff_us, wait_us)
