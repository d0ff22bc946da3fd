"""The final answer to a request that is given up."""

from __future__ import annotations

from lemonridge.scheduling.actions import Fail, Reject, RejectReason
from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint_health import PROBE_INTERVAL_US
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind


def final_answer(context: DecisionContext, request: Request, why: RejectReason) -> Reject | Fail:
    """A refusal where a repeat is harmless, else a failure (PROTOCOL: 429 and 503 promise that it is)."""
    ran, effects = (
        request.first_run_endpoint is not None or request.open_endpoint is not None,
        request.request_class.idempotency,
    )
    keyed_everywhere = (
        effects is IdempotencyKind.WITH_IDEMPOTENCY_KEY
        and request.request_class.deduplication_scope is DeduplicationScope.ALL
    )
    if not ran or effects is IdempotencyKind.IDEMPOTENT or keyed_everywhere:
        return Reject(request.id, backoff_us(context, request), why)
    return Fail(request.id, why)


def backoff_us(context: DecisionContext, request: Request) -> int:
    """When the client should come back: once the limit has room and the node is usual again."""
    volume = request.volume
    wait = volume.bucket.wait_us(request.units, context.now_us) if volume.plan.limit else PROBE_INTERVAL_US
    return min(context.settings.max_backoff_us, max(wait, PROBE_INTERVAL_US))
