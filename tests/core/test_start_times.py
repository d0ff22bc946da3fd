"""Start times in Unix time, on a clock that is not stepped with it."""

from __future__ import annotations

import unittest

from lemonridge.core.start_times import START_TIMES_MAX, WATCH_EVENT_AGE_MAX_US, StartTimes


class Placing(unittest.TestCase):
    def test_a_start_time_is_placed_once_and_an_implausible_one_is_now(self) -> None:
        start_times, now = StartTimes(), 10**13
        unix_us = now - 2_000_000
        self.assertEqual(start_times.to_broker_clock("a", unix_us, now, now, WATCH_EVENT_AGE_MAX_US), unix_us)
        for step in (-3_600_000_000, 3_600_000_000):  # heard again after the wall clock was stepped
            self.assertEqual(
                start_times.to_broker_clock("a", unix_us, now + 5, now + step, WATCH_EVENT_AGE_MAX_US),
                unix_us,
            )
        self.assertEqual(start_times.to_broker_clock("b", now + 1, now, now, WATCH_EVENT_AGE_MAX_US), now)
        self.assertEqual(
            start_times.to_broker_clock(
                "c", now - WATCH_EVENT_AGE_MAX_US - 1, now, now, WATCH_EVENT_AGE_MAX_US
            ),
            now,
        )
        self.assertEqual(start_times.to_broker_clock("d", now - 10**9, now, now, None), now - 10**9)
        self.assertEqual(start_times.to_broker_clock("d", 0, now, now, None), 0)

    def test_the_bound_keeps_start_times_of_listed_endpoints(self) -> None:
        start_times = StartTimes()
        for number in range(START_TIMES_MAX + 10):
            start_times.to_broker_clock(f"n{number}", number + 1, 10**13, 10**13, None)

        start_times.prune({"n0", "n1"})

        self.assertEqual(len(start_times.export()), START_TIMES_MAX)
        self.assertIn("n1", start_times.export())
        self.assertNotIn("n2", start_times.export())
