"""Whether and when a request may be attempted again: idempotency, the budgets of retries, the pause."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptResult
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.retry_budget import RetryBudget
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

RETRY_PAUSE_BASE_US = 20_000  # doubled for each attempt sent: 40 ms before the first retry
MAX_RETRY_PAUSE_DOUBLINGS = 6


class RetryRules:
    """The rules of retries.

    Attributes:
        fleet_retries: This host's part of the retries of all hosts, in retries a second.
        retry_budget: This host's retries against its requests, within a sliding window.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.fleet_retries = TokenBucket(0)
        self.retry_budget = RetryBudget()

    def configure(self, settings: Settings, hosts_before: int) -> None:
        """Applies new settings; a new number of hosts splits the fleet's retries evenly again."""
        rate, hosts = settings.retry_rate, settings.hosts
        self.fleet_retries.resize(self._context.now_us, rate, max(rate, hosts), hosts, hosts != hosts_before)

    def may_send(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether a request may be sent now: it is not over, has no open attempt, and the rules allow it.

        Args:
            request: The request.
            endpoint: Where to, or None for the question whether any endpoint is possible.
        """
        if request.done or request.open_endpoint is not None:
            return False
        return self.another_attempt_allowed(request, endpoint)

    def another_attempt_allowed(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether the rules allow one more attempt of a request, whether or not one is open.

        A first attempt needs none of the budgets of retries (WIRE, rule 7): attempts are limited by the
        settings' `max_attempts`, retries by the fleet's rate and by this host's budget.

        Args:
            request: The request.
            endpoint: Where to, or None for the question whether any endpoint is possible.
        """
        settings, now_us = self._context.settings, self._context.now_us
        if request.attempts_sent - request.attempts_uncounted >= settings.max_attempts:
            return False
        if not self.repeatable(request, endpoint):
            return False
        if not request.attempts_sent:
            return True
        if settings.retry_rate and self.fleet_retries.refill(now_us) < 1.0:
            return False
        if settings.retry_budget_window_us:
            return self.retry_budget.allows(
                now_us,
                settings.retry_budget_window_us,
                settings.retry_budget_floor,
                settings.retry_budget_ratio,
            )
        return True

    def repeatable(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether a request's class allows an attempt now, after one that may have run (WIRE, rule 2).

        An idempotent request may always be repeated, one that is not idempotent never. One with an
        idempotency key may be repeated within the deduplication window of the first attempt that may have
        run, less the longest time until the first byte, and only in its deduplication scope.

        Args:
            request: The request.
            endpoint: Where to, or None for the question whether any endpoint is possible.
        """
        request_class, ran = request.request_class, request.first_run_endpoint
        if ran is None or request_class.idempotency is IdempotencyKind.IDEMPOTENT:
            return True
        if request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT:
            return False
        window_us = request_class.deduplication_window_us - self._context.first_byte_delay_us
        if self._context.now_us > request.first_run_at_us + window_us:
            return False
        if endpoint is None or request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        if request_class.deduplication_scope is DeduplicationScope.SHARD:
            return endpoint.shard == ran.shard
        return endpoint.zone == ran.zone

    def record_request(self) -> None:
        """Counts a request that arrived, of which the budget allows retries in proportion."""
        self.retry_budget.record_request(self._context.now_us, self._context.settings.retry_budget_window_us)

    def record_attempt(self, request: Request) -> None:
        """Counts an attempt that is sent now; a first one uses no budget."""
        settings, now_us = self._context.settings, self._context.now_us
        if request.attempts_sent and settings.retry_budget_window_us:
            self.retry_budget.record_retry(now_us)
        if request.attempts_sent and settings.retry_rate:
            self.fleet_retries.draw(1.0, now_us)

    def pause_us(self, request: Request, result: AttemptResult) -> int:
        """The backoff before the next attempt, in microseconds; 0 after a cancelled one.

        `RETRY_PAUSE_BASE_US`, doubled for each attempt sent so far, with jitter.
        """
        if result is AttemptResult.CANCELLED:
            return 0
        doublings = min(request.attempts_sent, MAX_RETRY_PAUSE_DOUBLINGS)
        return self._context.jitter(RETRY_PAUSE_BASE_US << doublings)
