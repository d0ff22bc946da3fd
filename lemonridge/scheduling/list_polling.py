"""Scheduling of polls of the endpoint list after a failed watch."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.timers import PollEndpointList

INITIAL_POLL_BACKOFF_US = 250_000
MAX_POLL_BACKOFF_US = 8_000_000  # used if the settings do not limit the time between polls


class ListPolling:
    """Schedules polls with exponential backoff and jitter, so that hosts do not all poll at the same time."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._backoff_us = INITIAL_POLL_BACKOFF_US

    def watch_failed(self) -> None:
        """Schedules the next poll, if the settings say that the list is polled.

        The backoff is limited to half of `poll_within_us`, because a change to the list counts as known to
        this host after that time.
        """
        context = self._context
        if not context.settings.polls_endpoint_list:
            return
        context.set_timer(context.now_us + context.jitter(self._backoff_us), PollEndpointList())
        max_backoff_us = context.settings.poll_within_us // 2 or MAX_POLL_BACKOFF_US
        self._backoff_us = min(self._backoff_us * 2, max_backoff_us)

    def watch_succeeded(self) -> None:
        """Resets the backoff to its initial value."""
        self._backoff_us = INITIAL_POLL_BACKOFF_US
