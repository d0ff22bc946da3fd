"""The retry rules: whether a request may be retried, by its idempotency and the retry budgets, and when."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptResult
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.retry_budget import RetryBudget
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

RETRY_PAUSE_BASE_US = 20_000  # doubled for each attempt sent, so 40 ms before the first retry
MAX_RETRY_PAUSE_DOUBLINGS = 6


class RetryRules:
    """Decides whether and when requests may be retried.

    Attributes:
        fleet_retries: The token bucket for this host's share of the retry rate of all hosts, in retries per
            second.
        retry_budget: The retry budget of this host, relative to its requests within a sliding window.
    """

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.fleet_retries = TokenBucket(0)
        self.retry_budget = RetryBudget()

    def configure(self, settings: Settings, previous_hosts: int) -> None:
        """Applies new settings; a changed number of hosts splits the fleet's retry rate equally again."""
        rate, hosts = settings.retry_rate, settings.hosts
        self.fleet_retries.resize(
            self._context.now_us, rate, max(rate, hosts), hosts, hosts != previous_hosts
        )

    def may_send(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Returns whether a request may be sent now.

        The request must have neither its final answer nor an open attempt, and the retry rules must allow
        another attempt.

        Args:
            request: The request.
            endpoint: The endpoint to send to, or None to check whether any endpoint may be allowed.
        """
        if request.done or request.open_endpoint is not None:
            return False
        return self.another_attempt_allowed(request, endpoint)

    def another_attempt_allowed(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Returns whether the rules allow one more attempt of a request, even if an attempt is open.

        All attempts are limited by `max_attempts` of the settings. Retries are also limited by the retry rate
        of the fleet and by the retry budget of this host; a first attempt does not use these budgets (WIRE,
        rule 7).

        Args:
            request: The request.
            endpoint: The endpoint to send to, or None to check whether any endpoint may be allowed.
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
        """Returns whether the request's class allows an attempt now (WIRE, rule 2).

        If no earlier attempt may have run, every request may be sent. Otherwise an idempotent request may
        always be repeated, and a request that is not idempotent never. A request with an idempotency key may
        be repeated only in its deduplication scope and within the deduplication window, which starts with the
        first attempt that may have run and is shortened by the longest delay until the first byte.

        Args:
            request: The request.
            endpoint: The endpoint to send to, or None to check whether any endpoint may be allowed.
        """
        request_class, run_endpoint = request.request_class, request.first_run_endpoint
        if run_endpoint is None or request_class.idempotency is IdempotencyKind.IDEMPOTENT:
            return True
        if request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT:
            return False
        window_us = request_class.deduplication_window_us - self._context.first_byte_delay_us
        if self._context.now_us > request.first_run_at_us + window_us:
            return False
        if endpoint is None or request_class.deduplication_scope is DeduplicationScope.ALL:
            return True
        if request_class.deduplication_scope is DeduplicationScope.SHARD:
            return endpoint.shard == run_endpoint.shard
        return endpoint.zone == run_endpoint.zone

    def record_request(self) -> None:
        """Records an arriving request; the retry budget allows retries in proportion to the requests."""
        self.retry_budget.record_request(self._context.now_us, self._context.settings.retry_budget_window_us)

    def record_attempt(self, request: Request) -> None:
        """Records an attempt that is sent now; only retries are counted against the retry budgets."""
        settings, now_us = self._context.settings, self._context.now_us
        if request.attempts_sent and settings.retry_budget_window_us:
            self.retry_budget.record_retry(now_us)
        if request.attempts_sent and settings.retry_rate:
            self.fleet_retries.draw(1.0, now_us)

    def pause_us(self, request: Request, result: AttemptResult) -> int:
        """Returns the backoff before the next attempt of a request, in microseconds.

        The backoff is `RETRY_PAUSE_BASE_US`, doubled for each attempt sent so far up to
        `MAX_RETRY_PAUSE_DOUBLINGS` times, with jitter. It is 0 after a cancelled attempt.
        """
        if result is AttemptResult.CANCELLED:
            return 0
        doublings = min(request.attempts_sent, MAX_RETRY_PAUSE_DOUBLINGS)
        return self._context.jitter(RETRY_PAUSE_BASE_US << doublings)
