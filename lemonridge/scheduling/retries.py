"""What a request may still do: its class's effects, the budget of attempts and the pause before the next."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptResult
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.retry_budget import RetryBudget
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

INITIAL_RETRY_PAUSE_US = 20_000  # first pause before a further attempt, doubled for each later one


class RetryRules:
    """The one place for effects, budget and further attempts."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.fleet_retries = TokenBucket(0)  # further attempts of all hosts
        self.retry_budget = RetryBudget()  # of this host, within a time up to now

    def configure(self, settings: Settings, hosts_before: int) -> None:
        """Go by new settings."""
        rate, hosts = settings.retry_rate, settings.hosts
        self.fleet_retries.resize(self._context.now_us, rate, max(rate, hosts), hosts, hosts != hosts_before)

    def may_send(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether a request may be sent now, to this node or, with None, to any."""
        settings, now_us = self._context.settings, self._context.now_us
        if request.done or request.open_endpoint is not None:
            return False
        if request.attempts_sent - request.attempts_uncounted >= settings.max_attempts or not self.repeatable(
            request, endpoint
        ):
            return False
        if request.attempts_sent and settings.retry_rate and self.fleet_retries.refill(now_us) < 1.0:
            return False
        if request.attempts_sent and settings.retry_budget_window_us:
            return self.retry_budget.allows(
                now_us,
                settings.retry_budget_window_us,
                settings.retry_budget_floor,
                settings.retry_budget_ratio,
            )
        return True

    def repeatable(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether its class lets it be sent again now, after what may have run."""
        if (
            ran := request.first_run_endpoint
        ) is None or request.request_class.idempotency is IdempotencyKind.IDEMPOTENT:
            return True
        window_us = request.request_class.deduplication_window_us - self._context.first_byte_delay_us
        if (
            request.request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            or self._context.now_us > request.first_run_at_us + window_us
        ):
            return False
        away = {
            DeduplicationScope.SHARD: endpoint and endpoint.shard != ran.shard,
            DeduplicationScope.ZONE: endpoint and endpoint.zone != ran.zone,
        }
        return not away.get(request.request_class.deduplication_scope)

    def record_attempt(self, request: Request) -> None:
        """Book an attempt that is sent now."""
        settings, now_us = self._context.settings, self._context.now_us
        if request.attempts_sent and settings.retry_budget_window_us:
            self.retry_budget.record_retry(now_us)
        if request.attempts_sent and settings.retry_rate:
            self.fleet_retries.draw(1.0, now_us)

    def retry_pause_us(self, request: Request, result: AttemptResult) -> int:
        """How long a request waits after an attempt that ended so."""
        if result is AttemptResult.CANCELLED:
            return 0
        return self._context.jitter(INITIAL_RETRY_PAUSE_US << min(request.attempts_sent, 6))
