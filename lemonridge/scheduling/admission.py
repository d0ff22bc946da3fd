"""What is decided about a request as it arrives: its latency objective, and whether its limit admits it."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.events import RequestArrived
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import RequestClass, Settings


class Admission:
    """The rules for a request that arrives."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._longest_deadline_us: list[int] = []  # the longest time left seen at an arrival, by class

    def configure(self, settings: Settings) -> None:
        """Applies new settings, whose classes may be numbered anew."""
        self._longest_deadline_us = [0] * len(settings.classes)

    def objective_at_us(self, event: RequestArrived, request_class: RequestClass) -> int:
        """Estimates when the latency objective of a request ends.

        The objective counts from the client's first attempt. The first attempt is taken to have had the
        longest time that was seen in the class, so a request with less time left began that much earlier.
        Any client may give less time, so the estimate decides the order of requests alone and rejects none.
        """
        left_us = event.deadline_us - self._context.now_us
        longest_us = min(request_class.deadline_us, max(self._longest_deadline_us[event.cls], left_us))
        self._longest_deadline_us[event.cls] = longest_us
        return event.deadline_us - longest_us + request_class.latency_objective_us

    def exceeds_limit(self, request: Request) -> bool:
        """Whether a request's limit will have no capacity for it before it is of no use.

        It is rejected at once then: a surge would otherwise fill the queues with requests that expire.
        """
        volume, now_us = request.volume, self._context.now_us
        if not volume.plan.limit:
            return False
        wait_us = volume.bucket.wait_us(volume.units_not_drawn + request.units, now_us)
        return wait_us > max(0, max(request.objective_at_us, request.may_wait_until_us) - now_us)
