"""When the endpoint list is polled again after a failed watch."""

from __future__ import annotations

from lemonridge.scheduling.context import DecisionContext
from lemonridge.scheduling.timers import PollEndpointList

INITIAL_POLL_BACKOFF_US = 250_000
MAX_POLL_BACKOFF_US = 8_000_000  # where the settings do not limit the time between polls


class ListPolling:
    """Exponential backoff with jitter: hosts that lost the list together do not return together."""

    def __init__(self, context: DecisionContext) -> None:
        self._context = context
        self._backoff_us = INITIAL_POLL_BACKOFF_US

    def watch_failed(self) -> None:
        """Sets the timer of the next poll, where the list is polled.

        The backoff stays within half of `poll_within_us`: a change of the list counts as known to this host
        once that time has passed.
        """
        context = self._context
        if not context.settings.polls_endpoint_list:
            return
        context.set_timer(context.now_us + context.jitter(self._backoff_us), PollEndpointList())
        longest_us = context.settings.poll_within_us // 2 or MAX_POLL_BACKOFF_US
        self._backoff_us = min(self._backoff_us * 2, longest_us)

    def watch_succeeded(self) -> None:
        """Starts again from the shortest backoff."""
        self._backoff_us = INITIAL_POLL_BACKOFF_US
