"""Tests of the conversion of start times from Unix time to the broker's clock."""

from __future__ import annotations

import unittest

from lemonridge.core.start_times import START_TIMES_MAX, WATCH_EVENT_AGE_MAX_US, StartTimes


class StartTimeConversionTest(unittest.TestCase):
    def test_start_time_is_converted_once_and_implausible_one_counts_as_now(self) -> None:
        start_times, now_us = StartTimes(), 10**13
        unix_us = now_us - 2_000_000
        self.assertEqual(
            start_times.to_broker_clock("a", unix_us, now_us, now_us, WATCH_EVENT_AGE_MAX_US), unix_us
        )
        for step in (-3_600_000_000, 3_600_000_000):  # received again after the wall clock was stepped
            self.assertEqual(
                start_times.to_broker_clock("a", unix_us, now_us + 5, now_us + step, WATCH_EVENT_AGE_MAX_US),
                unix_us,
            )
        self.assertEqual(
            start_times.to_broker_clock("b", now_us + 1, now_us, now_us, WATCH_EVENT_AGE_MAX_US), now_us
        )
        self.assertEqual(
            start_times.to_broker_clock(
                "c", now_us - WATCH_EVENT_AGE_MAX_US - 1, now_us, now_us, WATCH_EVENT_AGE_MAX_US
            ),
            now_us,
        )
        self.assertEqual(
            start_times.to_broker_clock("d", now_us - 10**9, now_us, now_us, None), now_us - 10**9
        )
        self.assertEqual(start_times.to_broker_clock("d", 0, now_us, now_us, None), 0)

    def test_pruning_keeps_start_times_of_listed_endpoints(self) -> None:
        start_times = StartTimes()
        for number in range(START_TIMES_MAX + 10):
            start_times.to_broker_clock(f"n{number}", number + 1, 10**13, 10**13, None)

        start_times.prune({"n0", "n1"})

        self.assertEqual(len(start_times.export()), START_TIMES_MAX)
        self.assertIn("n1", start_times.export())
        self.assertNotIn("n2", start_times.export())
