"""The phases of the process and the times that follow from them."""

from __future__ import annotations

import unittest

from harness import ROOT
from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate import lifecycle as times
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle, Phase

S = 1_000_000


class Phases(unittest.TestCase):
    def test_the_table_in_the_docs_is_the_stop_schedule(self) -> None:
        """docs/shutdown.md, worked out anew."""
        text = (ROOT / "docs" / "shutdown.md").read_text()
        rows = [
            [int(cell) for cell in line.strip("| ").split(" | ")]
            for line in text.splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        self.assertGreater(len(rows), 10)
        for longest_ms, *documented in rows:
            schedule = times.stop_schedule(longest_ms * 1000)
            computed = (
                schedule.close_after_answer_from_us,
                schedule.accept_until_us,
                schedule.request_complete_by_us,
                schedule.answer_by_us,
                schedule.kill_earliest_us,
            )
            self.assertEqual(documented, [one // 1000 for one in computed])

    def test_a_drain_ends_every_connection_before_four_seconds(self) -> None:
        lifecycle = Lifecycle(6 * S)
        self.assertTrue(lifecycle.drain(10 * S) and lifecycle.drain(13 * S))  # the first call sets the times
        self.assertFalse(lifecycle.ready)
        self.assertTrue(lifecycle.allows_keep_alive(11 * S))
        self.assertFalse(lifecycle.allows_keep_alive(12 * S))
        self.assertLess(lifecycle.close_idle_from_us, 14 * S - times.DRAIN_LATE_REQUESTS_US // 4)
        self.assertLess(lifecycle.answer_by_us(12 * S), 14 * S)
        self.assertEqual(lifecycle.answer_by_us(11 * S), NEVER_US)  # it may take its whole time

        self.assertTrue(lifecycle.resume())
        self.assertTrue(lifecycle.ready and lifecycle.allows_keep_alive(15 * S))
        self.assertEqual((lifecycle.close_idle_from_us, lifecycle.answer_by_us(13 * S)), (NEVER_US, NEVER_US))

    def test_all_that_came_after_the_signal_is_answered_before_sigkill(self) -> None:
        for longest in (S, 6 * S):
            lifecycle = Lifecycle(longest)
            lifecycle.stop(10 * S)

            killed = 10 * S + min(longest, 3 * S) + 700_000
            self.assertLess(lifecycle.answer_by_us(10 * S), killed)
            self.assertEqual(lifecycle.answer_by_us(10 * S - 1), NEVER_US)
            self.assertLessEqual(lifecycle.close_idle_from_us, lifecycle.answer_by_us(10 * S))
            self.assertFalse(lifecycle.drain(11 * S) or lifecycle.resume() or lifecycle.hand_over(11 * S))

    def test_a_process_that_handed_over_reports_ready_as_its_successor_does(self) -> None:
        lifecycle = Lifecycle(S)
        lifecycle.hand_over(10 * S)

        self.assertTrue(lifecycle.ready)
        self.assertFalse(lifecycle.allows_keep_alive(10 * S))
        self.assertEqual(lifecycle.close_idle_from_us, NEVER_US)

        lifecycle.stop(12 * S)

        self.assertTrue(lifecycle.ready)
        self.assertLess(lifecycle.close_idle_from_us, NEVER_US)

    @given(
        st.lists(
            st.tuples(st.sampled_from(["drain", "resume", "hand", "back", "stop"]), st.integers(0, 5 * S)),
            max_size=12,
        )
    )
    def test_a_stop_is_final_and_a_drain_is_kept_whatever_happens(self, steps: list[tuple[str, int]]) -> None:
        lifecycle, now, stopped, drained = Lifecycle(2 * S), 0, False, False
        for step, later in steps:
            now += later
            if step == "drain":
                drained = lifecycle.drain(now) or drained
            elif step == "resume":
                drained = drained and not lifecycle.resume()
            elif step == "hand":
                lifecycle.hand_over(now)
            elif step == "back":
                lifecycle.undo_handover()
            else:
                lifecycle.stop(now)
                stopped = True
            self.assertEqual(lifecycle.phase is Phase.STOPPING, stopped)
            if drained:
                self.assertFalse(lifecycle.ready)
                self.assertFalse(lifecycle.allows_keep_alive(now + 4 * S))
                self.assertLess(lifecycle.close_idle_from_us, now + 4 * S)
            if stopped:
                self.assertLess(lifecycle.close_idle_from_us, now + 4 * S)
