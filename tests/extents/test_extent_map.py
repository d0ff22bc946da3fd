"""The map of extents and its decisions, pure: against a plain model, and each hard case by itself."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.extents import joining, routing
from lemonridge.extents.errors import MapError, RouteError, RouteRejectReason
from lemonridge.extents.etcd_source import Freshness, FreshnessCheck
from lemonridge.extents.extent_map import LEAF_EXTENTS_MAX, Change, ChangeResult, Extent, ExtentMap, Piece
from lemonridge.extents.joining import JoinedOutcome, JoinResult, PieceOutcome
from lemonridge.extents.refresh import (
    BATCH_EXTENTS_MAX,
    REFRESH_INTERVAL_MAX_US,
    REFRESH_INTERVAL_US,
    WAITING_EXTENTS_MAX,
    RefreshQueue,
)
from lemonridge.extents.routing import Limits, MapTrust, Redirect, Route, RouteAction

LIMITS = Limits()


def row(count: int, volume: int = 0, length: int = 10) -> list[Extent]:
    return [Extent(volume, n * length, length, n % 4, 1) for n in range(count)]


def map_of_extents(count: int = 8) -> ExtentMap:
    made = ExtentMap()
    made.replace_all(1, row(count))
    return made


# The map

KINDS = ("move", "split", "join", "gap", "stale", "overlap", "hole", "back")
Step = tuple[str, int, int, int, int]
steps = st.lists(
    st.tuples(
        st.sampled_from(KINDS), st.integers(0, 10**6), st.integers(0, 5), st.integers(1, 9), st.integers(1, 3)
    ),
    max_size=40,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(count=st.integers(1, 3 * LEAF_EXTENTS_MAX), todo=steps)
def test_any_sequence_of_changes_equals_a_plain_model(count: int, todo: list[Step]) -> None:
    """The model is a list that is rebuilt for each change; what it refuses must change nothing."""
    extent_map = ExtentMap()
    model = row(count)
    extent_map.replace_all(5, reversed(model))
    version = 5
    for kind, pick, shard, cut, jump in todo:
        place = pick % len(model)
        one, removed = model[place], ()
        put = [replace(one, shard=shard, version=one.version + 1)]
        base, to = version, version + 1
        if kind == "split":
            cut = min(cut, one.length - 1)
            if cut < 1:
                continue
            put = [
                replace(one, length=cut),
                replace(one, first=one.first + cut, length=one.length - cut, shard=shard),
            ]
        elif kind == "join":
            if place + 1 == len(model):
                continue
            removed = ((0, model[place + 1].first),)
            put = [replace(one, length=one.length + model[place + 1].length)]
        elif kind == "gap":
            base, to = version + jump, version + jump + 1
        elif kind == "stale":
            base, to = version - jump, version - jump + 1
        elif kind == "overlap":
            put = [replace(one, length=one.length + jump)]
            if place + 1 == len(model):
                put = [Extent(0, one.first + one.length - 1, jump + 1, shard, 1)]
                if one.length == 1:
                    continue
        elif kind == "hole":
            if place + 1 == len(model):
                put = [Extent(0, one.end + jump, 5, shard, 1)]
            else:
                put, removed = [], ((0, one.first),)
        elif kind == "back":
            put = [replace(one, version=one.version - 1)]
            if one.version == 0:
                continue
        fit, _ = extent_map.apply(Change(base, to, tuple(put), removed))
        wanted = {
            "gap": ChangeResult.GAP,
            "stale": ChangeResult.STALE,
            "overlap": ChangeResult.BROKEN,
            "hole": ChangeResult.BROKEN,
            "back": ChangeResult.BROKEN,
        }.get(kind, ChangeResult.APPLIED)
        assert fit is wanted, (kind, fit)
        if fit is ChangeResult.APPLIED:
            version = to
            gone = {first for _, first in removed} | {extent.first for extent in put}
            model = sorted([old for old in model if old.first not in gone] + put, key=lambda old: old.first)
        assert extent_map.version == version
        block = pick % model[-1].end
        want = [old for old in model if old.first < block + 25 and old.end > block]
        end = min(block + 25, model[-1].end)
        pieces = extent_map.lookup(0, block, end - block)
        assert [(piece.extent_first, piece.shard, piece.version) for piece in pieces] == [
            (old.first, old.shard, old.version) for old in want
        ]
        assert sum(piece.length for piece in pieces) == end - block and pieces[0].first == block
    assert list(extent_map) == model == list(extent_map.copy())


@pytest.mark.parametrize(
    ("extents", "word"),
    [
        ([Extent(0, 5, 5, 0, 0)], "block 0: not covered by an extent"),
        ([Extent(0, 0, 0, 0, 0)], "a length of 0 blocks is out of range"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 4, 5, 0, 0)], "block 4: extents overlap"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 6, 5, 0, 0)], "block 5: not covered by an extent"),
        ([Extent(0, 0, 5, -1, 0)], "shard -1"),
        ([Extent(0, 0, 5, 0, -1)], "version -1"),
        ([Extent(0, 0, 1 << 63, 0, 0)], "a length of 9223372036854775808 blocks is out of range"),
        (row(9), "more than 8"),
    ],
)
def test_a_malformed_map_leaves_the_present_one(extents: list[Extent], word: str) -> None:
    extent_map = ExtentMap(8)
    extent_map.replace_all(3, row(4))
    with pytest.raises(MapError, match=word):
        extent_map.replace_all(4, extents)
    assert (extent_map.version, len(extent_map)) == (3, 4)


def test_a_refreshed_extent_goes_in_once_and_its_own_change_still_applies() -> None:
    extent_map = map_of_extents()
    newer = Extent(0, 20, 10, 3, 2)
    assert extent_map.merge(newer) and not extent_map.merge(newer)
    assert not extent_map.merge(replace(newer, version=1)) and not extent_map.merge(Extent(0, 21, 9, 0, 9))
    assert extent_map.version == 1 and extent_map.find(0, 25) == newer
    assert extent_map.apply(Change(1, 2, (newer,)))[0] is ChangeResult.APPLIED


def test_a_refresh_that_is_two_moves_ahead_of_the_watch_outlasts_the_first() -> None:
    extent_map = map_of_extents()
    newer = Extent(0, 20, 10, 3, 3)
    assert extent_map.merge(newer)
    assert extent_map.apply(Change(1, 2, (replace(newer, shard=1, version=2),)))[0] is ChangeResult.APPLIED
    assert extent_map.find(0, 25) == newer
    assert extent_map.apply(Change(2, 3, (newer,)))[0] is ChangeResult.APPLIED
    # From here on a version that goes back is a broken source again, and a whole map forgets all.
    assert extent_map.apply(Change(3, 4, (replace(newer, version=2),)))[0] is ChangeResult.BROKEN
    assert extent_map.merge(replace(newer, version=9))
    extent_map.replace_all(4, row(8))
    assert extent_map.apply(Change(4, 5, (replace(newer, version=2),)))[0] is ChangeResult.APPLIED


def test_blocks_outside_the_map_are_an_error() -> None:
    extent_map = map_of_extents()
    for volume, first, length in ((1, 0, 1), (0, 75, 10), (0, 80, 1)):
        with pytest.raises(MapError, match="not in the map"):
            extent_map.lookup(volume, first, length)
    assert (extent_map.blocks(0), extent_map.blocks(1), extent_map.find(0, 80)) == (80, 0, None)


# Whether a map may be used


def test_a_command_is_rejected_where_the_map_is_missing_unconfirmed_or_too_old() -> None:
    now, extent_map = 10**9, map_of_extents()
    for trust, writes, cause in (
        (MapTrust(now, False), True, RouteRejectReason.MAP_UNCONFIRMED),
        (MapTrust(now, False), False, None),
        (MapTrust(now - LIMITS.write_age_us - 1, True), True, RouteRejectReason.MAP_TOO_OLD),
        (MapTrust(now - LIMITS.write_age_us - 1, True), False, None),
        (MapTrust(now - LIMITS.read_age_us - 1, True), False, RouteRejectReason.MAP_TOO_OLD),
        (MapTrust(now, True), True, None),
    ):
        if cause is None:
            routing.plan_routes(extent_map, trust, LIMITS, 0, 0, 5, writes, now)
            continue
        with pytest.raises(RouteError, match=cause.value):
            routing.plan_routes(extent_map, trust, LIMITS, 0, 0, 5, writes, now)
    good = MapTrust(now, True)
    for where, cause in (
        (ExtentMap(), RouteRejectReason.MAP_MISSING),
        (extent_map, RouteRejectReason.NOT_MAPPED),
    ):
        with pytest.raises(RouteError, match=cause.value):
            routing.plan_routes(where, good, LIMITS, 0, 79, 5, False, now)
    with pytest.raises(RouteError, match="pieces"):
        routing.plan_routes(extent_map, good, replace(LIMITS, pieces=2), 0, 5, 20, False, now)
    assert routing.shards_of_volume(extent_map, good, LIMITS, 0, True, now) == [0, 1, 2, 3]
    with pytest.raises(RouteError, match="absent"):
        routing.shards_of_volume(extent_map, good, LIMITS, 7, True, now)


# Redirects

ALL = frozenset(range(4))


def route(version: int = 1, shard: int = 0, first: int = 2) -> Route:
    return Route(Piece(0, first, 3, 0, shard, version), writes=True)


def moved(extent_map: ExtentMap, shard: int, version: int) -> None:
    extent_map.apply(Change(extent_map.version, extent_map.version + 1, (Extent(0, 0, 10, shard, version),)))


def test_a_redirect_that_is_newer_than_the_map_is_followed() -> None:
    one = route()
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, one, Redirect(2, 3), ALL).action is RouteAction.FOLLOW
    )
    assert (one.shard, one.piece.version, one.ahead_of_map) == (3, 2, True)


def test_a_map_that_is_newer_than_the_redirect_is_followed() -> None:
    extent_map, one = map_of_extents(), route()
    moved(extent_map, 2, 3)
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(2, 1), ALL).action is RouteAction.FOLLOW
    assert (one.shard, one.piece.version, one.ahead_of_map) == (2, 3, False)


def test_a_redirect_that_is_older_than_the_map_is_refreshed_then_rejected() -> None:
    """The node we were sent to says that it has yet to hear of the version that the map has."""
    extent_map = map_of_extents()
    moved(extent_map, 2, 3)
    one = route(3, 2)
    decision = routing.on_redirect(extent_map, LIMITS, one, Redirect(2, 1), ALL)
    pauses = []
    while decision.action is RouteAction.REFRESH:
        pauses.append(decision.pause_us)
        decision = routing.on_refresh(extent_map, LIMITS, one)
    assert decision.reason is RouteRejectReason.LOCATION_UNCONFIRMED
    assert pauses == [0] + [routing.REFRESH_BACKOFF_US << n for n in range(LIMITS.refreshes - 1)]


def test_a_redirect_to_a_shard_without_a_node_waits_for_a_refresh() -> None:
    extent_map, one = map_of_extents(), route()
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(2, 9), ALL).action is RouteAction.REFRESH
    moved(extent_map, 3, 2)
    assert routing.on_refresh(extent_map, LIMITS, one).action is RouteAction.FOLLOW
    assert one.shard == 3


def test_redirects_between_two_nodes_that_name_each_other_end() -> None:
    """With one version it waits for the source; with rising ones the count ends it."""
    one = route()
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, one, Redirect(2, 1), ALL).action is RouteAction.FOLLOW
    )
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, one, Redirect(2, 0), ALL).action is RouteAction.REFRESH
    )
    assert (
        routing.on_refresh(map_of_extents(), LIMITS, one).action is RouteAction.FOLLOW
    )  # back to what the source says
    assert (one.shard, one.piece.version, one.ahead_of_map) == (0, 1, False)
    one, count = route(), 0
    while True:
        decision = routing.on_redirect(map_of_extents(), LIMITS, one, Redirect(count + 2, count % 2), ALL)
        if decision is not routing.FOLLOW:
            break
        count += 1
    assert (decision.reason, count) == (RouteRejectReason.TOO_MANY_REDIRECTS, LIMITS.redirects)


def test_an_extent_that_moves_twice_and_returns_is_followed() -> None:
    extent_map, one = map_of_extents(), route()
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(2, 1), ALL).action is RouteAction.FOLLOW
    moved(extent_map, 1, 2)
    moved(extent_map, 0, 3)  # back at the first node, under another version
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(3, 0), ALL).action is RouteAction.FOLLOW
    assert (one.shard, one.piece.version) == (0, 3)


def test_a_refresh_that_brings_nothing_is_repeated() -> None:
    extent_map, one = map_of_extents(), route()
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(), ALL).action is RouteAction.REFRESH
    assert routing.on_refresh(extent_map, LIMITS, one).action is RouteAction.REFRESH  # it brought nothing
    moved(extent_map, 1, 2)
    assert routing.on_refresh(extent_map, LIMITS, one).action is RouteAction.FOLLOW


def test_of_two_owners_the_one_with_the_higher_version_is_used() -> None:
    """The old node still claims version 1 and the new one has 2: no word of 1 leads back."""
    extent_map, one = map_of_extents(), route(2, 1)
    moved(extent_map, 1, 2)
    assert routing.on_redirect(extent_map, LIMITS, one, Redirect(1, 0), ALL).action is RouteAction.REFRESH
    assert (one.shard, one.piece.version) == (1, 2)


def test_a_route_whose_extent_was_split_is_rejected() -> None:
    extent_map = map_of_extents()
    extent_map.apply(Change(1, 2, (Extent(0, 0, 3, 0, 2), Extent(0, 3, 7, 1, 2))))
    for decision in (
        routing.on_redirect(extent_map, LIMITS, route(), Redirect(2, 0), ALL),
        routing.on_refresh(extent_map, LIMITS, route()),
    ):
        assert decision.reason is RouteRejectReason.EXTENT_RESHAPED


def test_a_queued_route_follows_the_map_and_one_in_flight_does_not() -> None:
    extent_map, one, two = map_of_extents(), route(), route()
    two.attempt_in_flight = True
    moved(extent_map, 3, 2)
    assert routing.follow_newer_map(extent_map, one) and not routing.follow_newer_map(extent_map, one)
    assert not routing.follow_newer_map(extent_map, two) and (one.shard, two.shard) == (3, 0)


# Refreshes


def test_a_thousand_requests_for_one_extent_cause_one_refresh() -> None:
    queue = RefreshQueue()
    numbers = {queue.enqueue((0, 0)) for _ in range(1000)}
    batch = queue.start_batch(0)
    assert numbers == {1} and batch is not None and batch.keys == ((0, 0),) and queue.start_batch(0) is None
    # One that asks while it is out takes part in the next: this one may have been read before its move.
    assert queue.enqueue((0, 0)) == 2 and queue.next_start_us() is None
    assert queue.finish_batch(10, True) == 1
    assert queue.start_batch(10) is None and queue.next_start_us() == REFRESH_INTERVAL_US
    after = queue.start_batch(REFRESH_INTERVAL_US)
    assert after is not None and after.number == 2


def test_extents_are_refreshed_in_batches_and_rejected_past_the_bound() -> None:
    queue = RefreshQueue()
    numbers = [queue.enqueue((0, n)) for n in range(WAITING_EXTENTS_MAX + 3)]
    assert numbers[-3:] == [None] * 3 and numbers[:WAITING_EXTENTS_MAX] == [
        n // BATCH_EXTENTS_MAX + 1 for n in range(WAITING_EXTENTS_MAX)
    ]
    now, seen = 0, 0
    while (at := queue.next_start_us()) is not None:
        now = max(now, at)
        batch = queue.start_batch(now)
        assert (
            batch is not None
            and [numbers[spot[1]] for spot in batch.keys] == [batch.number] * BATCH_EXTENTS_MAX
        )
        seen += len(batch.keys)
        queue.finish_batch(now, True)
    assert seen == WAITING_EXTENTS_MAX


def test_the_interval_doubles_with_each_failure_up_to_its_bound() -> None:
    queue, now, pauses = RefreshQueue(), 0, []
    for _ in range(12):
        queue.enqueue((0, 0))
        now = queue.next_start_us() or now
        queue.start_batch(now)
        queue.finish_batch(now, False)
        pauses.append(queue.earliest_start_us - now)
    assert (
        pauses[:3] == [REFRESH_INTERVAL_US * 2, REFRESH_INTERVAL_US * 4, REFRESH_INTERVAL_US * 8]
        and pauses[-1] == REFRESH_INTERVAL_MAX_US
    )
    queue.enqueue((0, 0))
    queue.start_batch(now + REFRESH_INTERVAL_MAX_US)
    queue.finish_batch(now, True)
    assert queue.consecutive_failures == 0


def test_a_map_that_is_still_behind_at_the_next_poll_has_missed_a_change() -> None:
    check = FreshnessCheck()
    assert check.check(5, 5) is Freshness.CONFIRMED
    assert check.check(6, 5) is Freshness.BEHIND  # the watch may be bringing it
    assert check.check(7, 6) is Freshness.BEHIND  # it brought that one
    assert check.check(7, 6) is Freshness.CHANGE_MISSED
    assert check.check(8, 6) is Freshness.BEHIND  # judged anew after the whole map
    assert check.check(-1, 6) is Freshness.CONFIRMED


# Joining


def test_every_combination_of_three_outcomes_gives_a_true_answer() -> None:
    """Stated as the rules say it, for each combination: what an answer promises must be true."""
    for writes in (False, True):
        for a in PieceOutcome:
            for b in PieceOutcome:
                for c in PieceOutcome:
                    ends = [a, b, c]
                    got = joining.join(writes, ends, [3, 9, 4])
                    ran, all_ran = (
                        [
                            end in (PieceOutcome.SUCCEEDED, PieceOutcome.NODE_ERROR, PieceOutcome.UNKNOWN)
                            for end in ends
                        ],
                        [end in (PieceOutcome.SUCCEEDED, PieceOutcome.NODE_ERROR) for end in ends],
                    )
                    if got.result is JoinResult.SERVED:
                        assert ends == [PieceOutcome.SUCCEEDED] * 3
                    elif got.result is JoinResult.REPORTED:
                        assert (
                            ends[got.piece_index] is PieceOutcome.NODE_ERROR
                            and PieceOutcome.UNKNOWN not in ends
                            or not writes
                        )
                        assert ends.index(PieceOutcome.NODE_ERROR) == got.piece_index
                        assert not writes or PieceOutcome.REJECTED not in ends
                    elif got.result is JoinResult.REJECTED:
                        assert not writes or not any(ran), ends
                        assert got.backoff_us == 9 and not all(all_ran)
                    else:
                        assert any(ran) and ends != [PieceOutcome.SUCCEEDED] * 3
                    if writes and any(ran) and not all_ran[0]:
                        assert got.result is not JoinResult.REJECTED
    with pytest.raises(ValueError, match="at least one"):
        joining.join(True, [])


@pytest.mark.parametrize(
    ("writes", "ends", "whole"),
    [
        (True, [PieceOutcome.SUCCEEDED, PieceOutcome.REJECTED, PieceOutcome.NOT_SENT], JoinResult.FAILED),
        (True, [PieceOutcome.REJECTED, PieceOutcome.NOT_SENT], JoinResult.REJECTED),
        (True, [PieceOutcome.SUCCEEDED, PieceOutcome.UNKNOWN], JoinResult.FAILED),
        (True, [PieceOutcome.NODE_ERROR, PieceOutcome.NOT_SENT], JoinResult.REPORTED),
        (True, [PieceOutcome.SUCCEEDED, PieceOutcome.NOT_SENT], JoinResult.FAILED),
        (False, [PieceOutcome.SUCCEEDED, PieceOutcome.REJECTED], JoinResult.REJECTED),
        (False, [PieceOutcome.SUCCEEDED, PieceOutcome.UNKNOWN], JoinResult.FAILED),
        (False, [PieceOutcome.REJECTED, PieceOutcome.NODE_ERROR], JoinResult.REPORTED),
        (True, [PieceOutcome.SUCCEEDED, PieceOutcome.SUCCEEDED], JoinResult.SERVED),
    ],
)
def test_joined_outcomes(writes: bool, ends: list[PieceOutcome], whole: JoinResult) -> None:
    assert joining.join(writes, ends).result is whole


def test_a_write_continues_only_while_every_piece_succeeded() -> None:
    assert joining.may_continue(True, []) and joining.may_continue(True, [PieceOutcome.SUCCEEDED])
    assert not any(
        joining.may_continue(True, [PieceOutcome.SUCCEEDED, end])
        for end in PieceOutcome
        if end is not PieceOutcome.SUCCEEDED
    )
    assert joining.may_continue(False, [PieceOutcome.REJECTED])
    assert joining.join(False, [PieceOutcome.SUCCEEDED]) == JoinedOutcome(JoinResult.SERVED)
