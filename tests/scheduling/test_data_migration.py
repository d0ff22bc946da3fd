"""Tests of requests whose data has migrated to another shard."""

from __future__ import annotations

from conftest import finals, sends

from lemonridge.scheduling.actions import Fail, Reject, Send
from lemonridge.scheduling.events import (
    AttemptResult,
    DataMigrated,
)


def test_migrated_request_waits_for_its_new_shard_and_is_sent_there(rig):
    """The request keeps its id, deadline and attempts; the endpoint has responded and keeps its window."""
    request = rig.arrive(cls=2)
    window = rig.endpoint("a").window
    assert (
        rig.end_attempt(request, AttemptResult.DATA_MIGRATED, latency_us=400_000) is not None
        and not rig.sent_requests()
    )
    rig.advance(100_000)
    endpoint = rig.endpoint("a")

    assert not rig.sent_requests() and endpoint.window == window and endpoint.silent_since_us is None
    assert rig.handle(DataMigrated(request, 1)) == [Send(request, "b")]
    # The class is not idempotent, and the attempt may have run.
    assert finals(rig.end_attempt(request, AttemptResult.RESET, endpoint="b")) == {request: Fail}


def test_migrated_request_without_a_route_is_rejected_at_once(rig):
    request = rig.arrive(cls=2)
    rig.end_attempt(request, AttemptResult.DATA_MIGRATED)

    assert finals(rig.handle(DataMigrated(request, None))) == {request: Reject}
    assert rig.handle(DataMigrated(request, 1)) == []


def test_migrations_count_as_attempts(rig):
    request = rig.arrive()
    for shard in (1, 0):
        rig.end_attempt(request, AttemptResult.DATA_MIGRATED, endpoint="b" if shard == 0 else "a")
        assert rig.handle(DataMigrated(request, shard))
    rig.end_attempt(request, AttemptResult.DATA_MIGRATED)

    assert finals(rig.handle(DataMigrated(request, 1))) == {request: Reject}


def test_queued_request_is_sent_to_its_new_shard_after_a_migration(rig):
    """Covers a request queued for a shard without endpoints, and one in a retry pause (timer ignored)."""
    request = rig.arrive(shard=5)
    assert not rig.sent_requests()
    assert rig.handle(DataMigrated(request, 1)) == [Send(request, "b")]
    assert rig.handle(DataMigrated(request, 0)) == []  # an attempt is open
    rig.end_attempt(request, AttemptResult.QUEUE_FULL, endpoint="b")

    assert rig.handle(DataMigrated(request, 0)) == [Send(request, "a")]
    assert not sends(rig.advance(400_000))


def test_migrated_request_without_a_new_shard_is_rejected_at_its_deadline(rig):
    request = rig.arrive(cls=2)
    rig.end_attempt(request, AttemptResult.DATA_MIGRATED)

    assert finals(rig.advance(2_100_000)) == {request: Reject}
