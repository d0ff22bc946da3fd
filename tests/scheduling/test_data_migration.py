"""Requests whose data has moved to another shard."""

from __future__ import annotations

from conftest import finals, sends

from lemonridge.scheduling.actions import Fail, Reject, Send
from lemonridge.scheduling.events import (
    AttemptResult,
    DataMigrated,
)


def test_migrated_request_waits_for_its_shard_and_is_sent_there(rig):
    """Under the same id, deadline and attempts; the node that said so was heard and is not cut."""
    request = rig.ask(cls=2)
    window = rig.policy.endpoint_list.endpoints["a"].window
    assert rig.end(request, AttemptResult.DATA_MIGRATED, lag=400_000) is not None and not rig.sent()
    rig.pass_time(100_000)
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    assert not rig.sent() and endpoint.window == window and endpoint.silent_since_us is None
    assert rig.do(DataMigrated(request, 1)) == [Send(request, "b")]
    # A write of the class once: it may have run.
    assert finals(rig.end(request, AttemptResult.RESET, endpoint="b")) == {request: Fail}


def test_migrated_request_without_a_route_is_rejected_at_once(rig):
    request = rig.ask(cls=2)
    rig.end(request, AttemptResult.DATA_MIGRATED)
    assert finals(rig.do(DataMigrated(request, None))) == {request: Reject}
    assert rig.do(DataMigrated(request, 1)) == []


def test_migrations_count_as_attempts(rig):
    request = rig.ask()
    for shard in (1, 0):
        rig.end(request, AttemptResult.DATA_MIGRATED, endpoint="b" if shard == 0 else "a")
        assert rig.do(DataMigrated(request, shard))
    rig.end(request, AttemptResult.DATA_MIGRATED)
    assert finals(rig.do(DataMigrated(request, 1))) == {request: Reject}


def test_waiting_request_is_moved_to_its_new_shard(rig):
    """Queued where no node is, or between two attempts; its old timer does not send it a second time."""
    request = rig.ask(shard=5)
    assert not rig.sent()
    assert rig.do(DataMigrated(request, 1)) == [Send(request, "b")]
    assert rig.do(DataMigrated(request, 0)) == []  # an attempt is out
    rig.end(request, AttemptResult.QUEUE_FULL, endpoint="b")
    assert rig.do(DataMigrated(request, 0)) == [Send(request, "a")]
    assert not sends(rig.pass_time(400_000))


def test_migrated_request_without_news_is_rejected_at_its_deadline(rig):
    request = rig.ask(cls=2)
    rig.end(request, AttemptResult.DATA_MIGRATED)
    assert finals(rig.pass_time(2_100_000)) == {request: Reject}
