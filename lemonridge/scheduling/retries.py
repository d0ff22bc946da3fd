"""What a request may still do: its class's effects, the budget of attempts and the pause before the next."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.endpoint import TrackedEndpoint
from lemonridge.scheduling.events import AttemptResult
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.retry_budget import RetryBudget
from lemonridge.scheduling.settings import DeduplicationScope, IdempotencyKind, Settings
from lemonridge.scheduling.token_bucket import TokenBucket

RETRY_US = 20_000  # first pause before a further attempt, doubled for each later one


class RetryRules:
    """The one place for effects, budget and further attempts."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self.further = TokenBucket(0)  # further attempts of all hosts
        self.ration = RetryBudget()  # of this host, within a time up to now

    def configure(self, settings: Settings, hosts_before: int) -> None:
        """Go by new settings."""
        rate, hosts = settings.retry_rate, settings.hosts
        self.further.size(self._context.now, rate, max(rate, hosts), hosts, hosts != hosts_before)

    def may_send(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether a request may be sent now, to this node or, with None, to any."""
        settings, now = self._context.settings, self._context.now
        if request.done or request.open is not None:
            return False
        if request.sent - request.uncounted >= settings.max_attempts or not self.repeatable(
            request, endpoint
        ):
            return False
        if request.sent and settings.retry_rate and self.further.fill(now) < 1.0:
            return False
        if request.sent and settings.retry_budget_window_us:
            return self.ration.allows(
                now, settings.retry_budget_window_us, settings.retry_budget_floor, settings.retry_budget_ratio
            )
        return True

    def repeatable(self, request: Request, endpoint: TrackedEndpoint | None) -> bool:
        """Whether its class lets it be sent again now, after what may have run."""
        if (ran := request.ran_endpoint) is None or request.cls.idempotency is IdempotencyKind.IDEMPOTENT:
            return True
        window_us = request.cls.deduplication_window_us - self._context.late_us
        if (
            request.cls.idempotency is IdempotencyKind.NOT_IDEMPOTENT
            or self._context.now > request.ran_us + window_us
        ):
            return False
        away = {
            DeduplicationScope.SHARD: endpoint and endpoint.shard != ran.shard,
            DeduplicationScope.ZONE: endpoint and endpoint.zone != ran.zone,
        }
        return not away.get(request.cls.deduplication_scope)

    def count(self, request: Request) -> None:
        """Book an attempt that is sent now."""
        settings, now = self._context.settings, self._context.now
        if request.sent and settings.retry_budget_window_us:
            self.ration.made(now)
        if request.sent and settings.retry_rate:
            self.further.draw(1.0, now)

    def pause_us(self, request: Request, result: AttemptResult) -> int:
        """How long a request waits after an attempt that ended so."""
        if result is AttemptResult.CANCELLED:
            return 0
        return self._context.jitter(RETRY_US << min(request.sent, 6))
