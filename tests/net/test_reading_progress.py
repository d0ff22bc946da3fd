"""Tests of how a client that reads slowly is told from one that has stopped reading."""

from __future__ import annotations

import unittest

from lemonridge.net.http_limits import BODY_MIN_BYTES_PER_S
from lemonridge.net.reading_progress import (
    READ_PAUSE_MAX_S,
    UNREAD_BY_PEER_MAX_BYTES,
    ReadingProgress,
)

START_S = 1000.0
STEP_S = 0.25
LONGEST_WAIT_S = READ_PAUSE_MAX_S + UNREAD_BY_PEER_MAX_BYTES / BODY_MIN_BYTES_PER_S


class ReadingProgressTest(unittest.TestCase):
    def setUp(self) -> None:
        self.progress = ReadingProgress()
        self.progress.restart(START_S)

    def seconds_until_stopped(self, from_s: float) -> float:
        """Returns after how long without progress the client counts as one that has stopped."""
        now_s = from_s
        while not self.progress.has_stopped(now_s):
            now_s += STEP_S
        return now_s - from_s

    # Guards against long responses cut off for clients that read at the page's lowest rate.
    def test_reader_at_the_lowest_rate_is_never_taken_for_one_that_has_stopped(self) -> None:
        # A system makes room in steps: a sixteenth of its buffer, here up to a buffer of 16 MiB.
        for step_bytes in (1, 4096, 65_536, 400_000, UNREAD_BY_PEER_MAX_BYTES):
            with self.subTest(step_bytes=step_bytes):
                self.setUp()
                taken_bytes, now_s = 2 * step_bytes, START_S
                self.progress.update(taken_bytes, now_s)
                for _ in range(100):
                    now_s += step_bytes / BODY_MIN_BYTES_PER_S
                    self.assertFalse(self.progress.has_stopped(now_s))
                    taken_bytes += step_bytes
                    self.progress.update(taken_bytes, now_s)

    def test_client_that_takes_nothing_has_stopped_after_the_longest_pause(self) -> None:
        self.assertAlmostEqual(self.seconds_until_stopped(START_S), READ_PAUSE_MAX_S, delta=STEP_S)
        self.progress.restart(START_S + 60)  # output waits for the client again
        self.assertAlmostEqual(self.seconds_until_stopped(START_S + 60), READ_PAUSE_MAX_S, delta=STEP_S)

    def test_wait_for_a_client_is_bounded_however_much_it_has_taken(self) -> None:
        self.progress.update(64_000, START_S)
        self.assertAlmostEqual(self.seconds_until_stopped(START_S), READ_PAUSE_MAX_S + 1, delta=STEP_S)
        for number in range(1, 101):
            self.progress.update(number * 10_000_000, START_S)
        self.assertAlmostEqual(self.seconds_until_stopped(START_S), LONGEST_WAIT_S, delta=STEP_S)
        self.assertLess(LONGEST_WAIT_S, 22)
