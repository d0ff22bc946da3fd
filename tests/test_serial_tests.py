"""The surroundings of tests that judge latencies in real time."""

from __future__ import annotations

import gc
import time

import pytest

COLLECTION_MAX_S = 0.02
OBJECTS_COLLECTED_MAX = 10_000


@pytest.mark.serial
def test_full_collection_does_not_stop_a_test_that_judges_latencies() -> None:
    """The test's process is client, node and judge; its own stops must not count as the program's."""
    assert len(gc.get_objects()) < OBJECTS_COLLECTED_MAX
    begin_s = time.thread_time()
    gc.collect()
    assert time.thread_time() - begin_s < COLLECTION_MAX_S


def test_all_objects_are_collected_during_other_tests() -> None:
    assert gc.get_freeze_count() == 0
