"""Tests of the phases of the process and the times derived from them."""

from __future__ import annotations

import unittest

from harness import ROOT
from hypothesis import given
from hypothesis import strategies as st

from lemonridge.operate import lifecycle as lifecycle_module
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle, Phase

SECOND_US = 1_000_000


class LifecycleTest(unittest.TestCase):
    def test_documented_table_matches_stop_schedule(self) -> None:
        """Recomputes the table in docs/shutdown.md."""
        text = (ROOT / "docs" / "shutdown.md").read_text()
        rows = [
            [int(cell) for cell in line.strip("| ").split(" | ")]
            for line in text.splitlines()
            if line.startswith("| ") and line[2].isdigit()
        ]
        self.assertGreater(len(rows), 10)
        for longest_ms, *documented in rows:
            schedule = lifecycle_module.stop_schedule(longest_ms * 1000)
            computed = (
                schedule.close_after_answer_from_us,
                schedule.accept_until_us,
                schedule.request_complete_by_us,
                schedule.answer_by_us,
                schedule.kill_earliest_us,
            )
            self.assertEqual(documented, [value_us // 1000 for value_us in computed])

    def test_drain_closes_all_connections_within_four_seconds(self) -> None:
        lifecycle = Lifecycle(6 * SECOND_US)
        # Only the first call sets the times.
        self.assertTrue(lifecycle.drain(10 * SECOND_US) and lifecycle.drain(13 * SECOND_US))
        self.assertFalse(lifecycle.ready)
        self.assertTrue(lifecycle.allows_keep_alive(11 * SECOND_US))
        self.assertFalse(lifecycle.allows_keep_alive(12 * SECOND_US))
        self.assertLess(
            lifecycle.close_idle_from_us, 14 * SECOND_US - lifecycle_module.DRAIN_LATE_REQUESTS_US // 4
        )
        self.assertLess(lifecycle.answer_by_us(12 * SECOND_US), 14 * SECOND_US)
        self.assertEqual(lifecycle.answer_by_us(11 * SECOND_US), NEVER_US)  # its full deadline applies

        self.assertTrue(lifecycle.resume())
        self.assertTrue(lifecycle.ready and lifecycle.allows_keep_alive(15 * SECOND_US))
        self.assertEqual(
            (lifecycle.close_idle_from_us, lifecycle.answer_by_us(13 * SECOND_US)), (NEVER_US, NEVER_US)
        )

    def test_requests_received_after_stop_signal_are_answered_before_sigkill(self) -> None:
        for longest_deadline_us in (SECOND_US, 6 * SECOND_US):
            lifecycle = Lifecycle(longest_deadline_us)
            lifecycle.stop(10 * SECOND_US)

            kill_us = 10 * SECOND_US + min(longest_deadline_us, 3 * SECOND_US) + 700_000
            self.assertLess(lifecycle.answer_by_us(10 * SECOND_US), kill_us)
            self.assertEqual(lifecycle.answer_by_us(10 * SECOND_US - 1), NEVER_US)
            self.assertLessEqual(lifecycle.close_idle_from_us, lifecycle.answer_by_us(10 * SECOND_US))
            self.assertFalse(
                lifecycle.drain(11 * SECOND_US) or lifecycle.resume() or lifecycle.hand_over(11 * SECOND_US)
            )

    def test_predecessor_reports_ready_after_handover_like_its_successor(self) -> None:
        lifecycle = Lifecycle(SECOND_US)
        lifecycle.hand_over(10 * SECOND_US)

        self.assertTrue(lifecycle.ready)
        self.assertFalse(lifecycle.allows_keep_alive(10 * SECOND_US))
        self.assertEqual(lifecycle.close_idle_from_us, NEVER_US)

        lifecycle.stop(12 * SECOND_US)

        self.assertTrue(lifecycle.ready)
        self.assertLess(lifecycle.close_idle_from_us, NEVER_US)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["drain", "resume", "hand_over", "undo_handover", "stop"]),
                st.integers(0, 5 * SECOND_US),
            ),
            max_size=12,
        )
    )
    def test_stop_is_final_and_drain_persists_through_any_sequence_of_calls(
        self, steps: list[tuple[str, int]]
    ) -> None:
        lifecycle, now_us, stopped, draining = Lifecycle(2 * SECOND_US), 0, False, False
        for step, elapsed_us in steps:
            now_us += elapsed_us
            if step == "drain":
                draining = lifecycle.drain(now_us) or draining
            elif step == "resume":
                draining = draining and not lifecycle.resume()
            elif step == "hand_over":
                lifecycle.hand_over(now_us)
            elif step == "undo_handover":
                lifecycle.undo_handover()
            else:
                lifecycle.stop(now_us)
                stopped = True
            self.assertEqual(lifecycle.phase is Phase.STOPPING, stopped)
            if draining:
                self.assertFalse(lifecycle.ready)
                self.assertFalse(lifecycle.allows_keep_alive(now_us + 4 * SECOND_US))
                self.assertLess(lifecycle.close_idle_from_us, now_us + 4 * SECOND_US)
            if stopped:
                self.assertLess(lifecycle.close_idle_from_us, now_us + 4 * SECOND_US)
