"""Decisions about an arriving request: its latency objective and whether its volume's limit admits it."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.events import RequestArrived
from lemonridge.scheduling.requests import Request
from lemonridge.scheduling.settings import RequestClass, Settings


class Admission:
    """Estimates the latency objective of an arriving request and checks the limit of its volume."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._longest_time_left_us: list[int] = []  # longest time until the deadline at any arrival, by class

    def configure(self, settings: Settings) -> None:
        """Applies new settings and resets the statistics of each class, as classes may have new indices."""
        self._longest_time_left_us = [0] * len(settings.classes)

    def objective_at_us(self, event: RequestArrived, request_class: RequestClass) -> int:
        """Returns the estimated time at which the latency objective of a request ends, in microseconds.

        The objective is measured from the client's first attempt. The estimate assumes that the first attempt
        had the longest time until its deadline that was seen in the class. A request with less time left is
        assumed to be a retry whose first attempt was sent earlier by the difference. As a client may also
        choose a shorter deadline, the estimate only affects the order of requests and never rejects one.
        """
        time_left_us = event.deadline_us - self._context.now_us
        first_time_left_us = min(
            request_class.deadline_us, max(self._longest_time_left_us[event.cls], time_left_us)
        )
        self._longest_time_left_us[event.cls] = first_time_left_us
        return event.deadline_us - first_time_left_us + request_class.latency_objective_us

    def exceeds_limit(self, request: Request) -> bool:
        """Returns whether the volume's limit has no capacity for a request before the request expires.

        Such a request is rejected on arrival. Otherwise a surge would fill the queues with requests that
        expire.
        """
        volume, now_us = request.volume, self._context.now_us
        if not volume.plan.limit:
            return False
        wait_us = volume.bucket.wait_us(volume.units_not_drawn + request.units, now_us)
        return wait_us > max(0, max(request.objective_at_us, request.may_wait_until_us) - now_us)
