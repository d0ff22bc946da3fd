"""Unit tests of the extent map and of the decisions on routes, refreshes and joined outcomes.

The extent map is compared with a simple model; difficult cases have tests of their own.
"""

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


def consecutive_extents(count: int, volume: int = 0, length: int = 10) -> list[Extent]:
    return [Extent(volume, index * length, length, index % 4, 1) for index in range(count)]


def map_of_extents(count: int = 8) -> ExtentMap:
    extent_map = ExtentMap()
    extent_map.replace_all(1, consecutive_extents(count))
    return extent_map


# The extent map

OPERATION_KINDS = ("move", "split", "join", "gap", "stale", "overlap", "uncovered", "lower-version")
# Kind, selector of the changed extent and of the block to look up, shard, first length of a split, difference
# in versions or blocks.
Operation = tuple[str, int, int, int, int]
operation_lists = st.lists(
    st.tuples(
        st.sampled_from(OPERATION_KINDS),
        st.integers(0, 10**6),
        st.integers(0, 5),
        st.integers(1, 9),
        st.integers(1, 3),
    ),
    max_size=40,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(count=st.integers(1, 3 * LEAF_EXTENTS_MAX), operations=operation_lists)
def test_random_changes_give_the_same_map_as_a_list_model(count: int, operations: list[Operation]) -> None:
    """The model is a list that is rebuilt for each change. A rejected change must not modify the map."""
    extent_map = ExtentMap()
    model = consecutive_extents(count)
    extent_map.replace_all(5, reversed(model))
    version = 5
    for kind, selector, shard, split_length, difference in operations:
        index = selector % len(model)
        selected, removed = model[index], ()
        new_extents = [replace(selected, shard=shard, version=selected.version + 1)]
        base_version, new_version = version, version + 1
        if kind == "split":
            split_length = min(split_length, selected.length - 1)
            if split_length < 1:
                continue
            new_extents = [
                replace(selected, length=split_length),
                replace(
                    selected,
                    first=selected.first + split_length,
                    length=selected.length - split_length,
                    shard=shard,
                ),
            ]
        elif kind == "join":
            if index + 1 == len(model):
                continue
            removed = ((0, model[index + 1].first),)
            new_extents = [replace(selected, length=selected.length + model[index + 1].length)]
        elif kind == "gap":
            base_version, new_version = version + difference, version + difference + 1
        elif kind == "stale":
            base_version, new_version = version - difference, version - difference + 1
        elif kind == "overlap":
            new_extents = [replace(selected, length=selected.length + difference)]
            if index + 1 == len(model):
                new_extents = [Extent(0, selected.first + selected.length - 1, difference + 1, shard, 1)]
                if selected.length == 1:
                    continue
        elif kind == "uncovered":
            if index + 1 == len(model):
                new_extents = [Extent(0, selected.end + difference, 5, shard, 1)]
            else:
                new_extents, removed = [], ((0, selected.first),)
        elif kind == "lower-version":
            new_extents = [replace(selected, version=selected.version - 1)]
            if selected.version == 0:
                continue
        result, _ = extent_map.apply(Change(base_version, new_version, tuple(new_extents), removed))
        expected_result = {
            "gap": ChangeResult.GAP,
            "stale": ChangeResult.STALE,
            "overlap": ChangeResult.BROKEN,
            "uncovered": ChangeResult.BROKEN,
            "lower-version": ChangeResult.BROKEN,
        }.get(kind, ChangeResult.APPLIED)
        assert result is expected_result, (kind, result)
        if result is ChangeResult.APPLIED:
            version = new_version
            replaced_first_blocks = {first for _, first in removed} | {extent.first for extent in new_extents}
            model = sorted(
                [existing for existing in model if existing.first not in replaced_first_blocks] + new_extents,
                key=lambda existing: existing.first,
            )
        assert extent_map.version == version
        block = selector % model[-1].end
        expected_extents = [
            existing for existing in model if existing.first < block + 25 and existing.end > block
        ]
        end = min(block + 25, model[-1].end)
        pieces = extent_map.lookup(0, block, end - block)
        assert [(piece.extent_first, piece.shard, piece.version) for piece in pieces] == [
            (existing.first, existing.shard, existing.version) for existing in expected_extents
        ]
        assert sum(piece.length for piece in pieces) == end - block and pieces[0].first == block
    assert list(extent_map) == model == list(extent_map.copy())


@pytest.mark.parametrize(
    ("extents", "expected_text"),
    [
        ([Extent(0, 5, 5, 0, 0)], "block 0: not covered by an extent"),
        ([Extent(0, 0, 0, 0, 0)], "a length of 0 blocks is out of range"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 4, 5, 0, 0)], "block 4: extents overlap"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 6, 5, 0, 0)], "block 5: not covered by an extent"),
        ([Extent(0, 0, 5, -1, 0)], "shard -1"),
        ([Extent(0, 0, 5, 0, -1)], "version -1"),
        ([Extent(0, 0, 1 << 63, 0, 0)], "a length of 9223372036854775808 blocks is out of range"),
        (consecutive_extents(9), "more than 8"),
    ],
)
def test_malformed_map_is_rejected_and_the_present_map_stays(
    extents: list[Extent], expected_text: str
) -> None:
    extent_map = ExtentMap(8)
    extent_map.replace_all(3, consecutive_extents(4))
    with pytest.raises(MapError, match=expected_text):
        extent_map.replace_all(4, extents)
    assert (extent_map.version, len(extent_map)) == (3, 4)


def test_refreshed_extent_is_merged_once_and_its_change_still_applies() -> None:
    extent_map = map_of_extents()
    refreshed = Extent(0, 20, 10, 3, 2)
    assert extent_map.merge(refreshed) and not extent_map.merge(refreshed)
    assert not extent_map.merge(replace(refreshed, version=1)) and not extent_map.merge(
        Extent(0, 21, 9, 0, 9)
    )
    assert extent_map.version == 1 and extent_map.find(0, 25) == refreshed
    assert extent_map.apply(Change(1, 2, (refreshed,)))[0] is ChangeResult.APPLIED


def test_extent_refreshed_two_versions_ahead_is_kept_when_the_first_change_arrives() -> None:
    extent_map = map_of_extents()
    refreshed = Extent(0, 20, 10, 3, 3)
    assert extent_map.merge(refreshed)
    assert (
        extent_map.apply(Change(1, 2, (replace(refreshed, shard=1, version=2),)))[0] is ChangeResult.APPLIED
    )
    assert extent_map.find(0, 25) == refreshed
    assert extent_map.apply(Change(2, 3, (refreshed,)))[0] is ChangeResult.APPLIED
    # Now that the watch has caught up, a lower version is an error again.
    assert extent_map.apply(Change(3, 4, (replace(refreshed, version=2),)))[0] is ChangeResult.BROKEN
    # After a complete map, refreshed versions no longer count.
    assert extent_map.merge(replace(refreshed, version=9))
    extent_map.replace_all(4, consecutive_extents(8))
    assert extent_map.apply(Change(4, 5, (replace(refreshed, version=2),)))[0] is ChangeResult.APPLIED


def test_lookup_of_blocks_outside_the_map_raises_an_error() -> None:
    extent_map = map_of_extents()
    for volume, first, length in ((1, 0, 1), (0, 75, 10), (0, 80, 1)):
        with pytest.raises(MapError, match="not in the map"):
            extent_map.lookup(volume, first, length)
    assert (extent_map.blocks(0), extent_map.blocks(1), extent_map.find(0, 80)) == (80, 0, None)


# Conditions for using the map


def test_command_is_rejected_if_the_map_is_missing_unconfirmed_too_old_or_incomplete() -> None:
    now_us, extent_map = 10**9, map_of_extents()
    for trust, writes, expected_reason in (
        (MapTrust(now_us, False), True, RouteRejectReason.MAP_UNCONFIRMED),
        (MapTrust(now_us, False), False, None),
        (MapTrust(now_us - LIMITS.write_age_us - 1, True), True, RouteRejectReason.MAP_TOO_OLD),
        (MapTrust(now_us - LIMITS.write_age_us - 1, True), False, None),
        (MapTrust(now_us - LIMITS.read_age_us - 1, True), False, RouteRejectReason.MAP_TOO_OLD),
        (MapTrust(now_us, True), True, None),
    ):
        if expected_reason is None:
            routing.plan_routes(extent_map, trust, LIMITS, 0, 0, 5, writes, now_us)
            continue
        with pytest.raises(RouteError, match=expected_reason.value):
            routing.plan_routes(extent_map, trust, LIMITS, 0, 0, 5, writes, now_us)
    confirmed = MapTrust(now_us, True)
    for tested_map, expected_reason in (
        (ExtentMap(), RouteRejectReason.MAP_MISSING),
        (extent_map, RouteRejectReason.NOT_MAPPED),
    ):
        with pytest.raises(RouteError, match=expected_reason.value):
            routing.plan_routes(tested_map, confirmed, LIMITS, 0, 79, 5, False, now_us)
    with pytest.raises(RouteError, match="pieces"):
        routing.plan_routes(extent_map, confirmed, replace(LIMITS, pieces=2), 0, 5, 20, False, now_us)
    assert routing.shards_of_volume(extent_map, confirmed, LIMITS, 0, True, now_us) == [0, 1, 2, 3]
    with pytest.raises(RouteError, match="absent"):
        routing.shards_of_volume(extent_map, confirmed, LIMITS, 7, True, now_us)


# Redirects

ALL_SHARDS = frozenset(range(4))


def make_route(version: int = 1, shard: int = 0, first: int = 2) -> Route:
    return Route(Piece(0, first, 3, 0, shard, version), writes=True)


def move_first_extent(extent_map: ExtentMap, shard: int, version: int) -> None:
    extent_map.apply(Change(extent_map.version, extent_map.version + 1, (Extent(0, 0, 10, shard, version),)))


def test_redirect_newer_than_the_map_is_followed() -> None:
    route = make_route()
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, route, Redirect(2, 3), ALL_SHARDS).action
        is RouteAction.FOLLOW
    )
    assert (route.shard, route.piece.version, route.ahead_of_map) == (3, 2, True)


def test_map_newer_than_the_redirect_is_followed() -> None:
    extent_map, route = map_of_extents(), make_route()
    move_first_extent(extent_map, 2, 3)
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(2, 1), ALL_SHARDS).action
        is RouteAction.FOLLOW
    )
    assert (route.shard, route.piece.version, route.ahead_of_map) == (2, 3, False)


def test_redirect_older_than_the_map_causes_refreshes_and_then_a_rejection() -> None:
    """The node of the map's shard does not know the map's version of the extent yet."""
    extent_map = map_of_extents()
    move_first_extent(extent_map, 2, 3)
    route = make_route(3, 2)
    decision = routing.on_redirect(extent_map, LIMITS, route, Redirect(2, 1), ALL_SHARDS)
    pauses = []
    while decision.action is RouteAction.REFRESH:
        pauses.append(decision.pause_us)
        decision = routing.on_refresh(extent_map, LIMITS, route)
    assert decision.reason is RouteRejectReason.LOCATION_UNCONFIRMED
    assert pauses == [0] + [
        routing.REFRESH_BACKOFF_US << exponent for exponent in range(LIMITS.refreshes - 1)
    ]


def test_redirect_to_a_shard_without_a_node_causes_a_refresh() -> None:
    extent_map, route = map_of_extents(), make_route()
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(2, 9), ALL_SHARDS).action
        is RouteAction.REFRESH
    )
    move_first_extent(extent_map, 3, 2)
    assert routing.on_refresh(extent_map, LIMITS, route).action is RouteAction.FOLLOW
    assert route.shard == 3


def test_mutual_redirects_of_two_nodes_end() -> None:
    """Equal versions cause a refresh; increasing versions end at the limit on redirects."""
    route = make_route()
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, route, Redirect(2, 1), ALL_SHARDS).action
        is RouteAction.FOLLOW
    )
    assert (
        routing.on_redirect(map_of_extents(), LIMITS, route, Redirect(2, 0), ALL_SHARDS).action
        is RouteAction.REFRESH
    )
    # The route returns to the shard of the map.
    assert routing.on_refresh(map_of_extents(), LIMITS, route).action is RouteAction.FOLLOW
    assert (route.shard, route.piece.version, route.ahead_of_map) == (0, 1, False)
    route, count = make_route(), 0
    while True:
        decision = routing.on_redirect(
            map_of_extents(), LIMITS, route, Redirect(count + 2, count % 2), ALL_SHARDS
        )
        if decision is not routing.FOLLOW:
            break
        count += 1
    assert (decision.reason, count) == (RouteRejectReason.TOO_MANY_REDIRECTS, LIMITS.redirects)


def test_extent_that_moves_away_and_back_is_followed() -> None:
    extent_map, route = map_of_extents(), make_route()
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(2, 1), ALL_SHARDS).action
        is RouteAction.FOLLOW
    )
    move_first_extent(extent_map, 1, 2)
    move_first_extent(extent_map, 0, 3)  # back to the first shard, with a newer version
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(3, 0), ALL_SHARDS).action
        is RouteAction.FOLLOW
    )
    assert (route.shard, route.piece.version) == (0, 3)


def test_refresh_without_a_newer_version_is_repeated() -> None:
    extent_map, route = map_of_extents(), make_route()
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(), ALL_SHARDS).action is RouteAction.REFRESH
    )
    assert routing.on_refresh(extent_map, LIMITS, route).action is RouteAction.REFRESH  # no newer version
    move_first_extent(extent_map, 1, 2)
    assert routing.on_refresh(extent_map, LIMITS, route).action is RouteAction.FOLLOW


def test_redirect_to_the_previous_owner_is_not_followed() -> None:
    """The old owner still claims version 1, but the new owner has version 2: the route does not go back."""
    extent_map, route = map_of_extents(), make_route(2, 1)
    move_first_extent(extent_map, 1, 2)
    assert (
        routing.on_redirect(extent_map, LIMITS, route, Redirect(1, 0), ALL_SHARDS).action
        is RouteAction.REFRESH
    )
    assert (route.shard, route.piece.version) == (1, 2)


def test_route_of_a_split_extent_is_rejected() -> None:
    extent_map = map_of_extents()
    extent_map.apply(Change(1, 2, (Extent(0, 0, 3, 0, 2), Extent(0, 3, 7, 1, 2))))
    for decision in (
        routing.on_redirect(extent_map, LIMITS, make_route(), Redirect(2, 0), ALL_SHARDS),
        routing.on_refresh(extent_map, LIMITS, make_route()),
    ):
        assert decision.reason is RouteRejectReason.EXTENT_RESHAPED


def test_queued_route_follows_the_map_but_a_route_in_flight_does_not() -> None:
    extent_map, queued, in_flight = map_of_extents(), make_route(), make_route()
    in_flight.attempt_in_flight = True
    move_first_extent(extent_map, 3, 2)
    assert routing.follow_newer_map(extent_map, queued) and not routing.follow_newer_map(extent_map, queued)
    assert not routing.follow_newer_map(extent_map, in_flight) and (queued.shard, in_flight.shard) == (3, 0)


# Refreshes and polls


def test_thousand_requests_for_one_extent_cause_one_refresh() -> None:
    queue = RefreshQueue()
    numbers = {queue.enqueue((0, 0)) for _ in range(1000)}
    batch = queue.start_batch(0)
    assert numbers == {1} and batch is not None and batch.keys == ((0, 0),) and queue.start_batch(0) is None
    # A request during this batch gets the next one: this batch may have read the extent before it moved.
    assert queue.enqueue((0, 0)) == 2 and queue.next_start_us() is None
    assert queue.finish_batch(10, True) == 1
    assert queue.start_batch(10) is None and queue.next_start_us() == REFRESH_INTERVAL_US
    next_batch = queue.start_batch(REFRESH_INTERVAL_US)
    assert next_batch is not None and next_batch.number == 2


def test_extents_are_refreshed_in_batches_and_rejected_above_the_limit() -> None:
    queue = RefreshQueue()
    numbers = [queue.enqueue((0, index)) for index in range(WAITING_EXTENTS_MAX + 3)]
    assert numbers[-3:] == [None] * 3 and numbers[:WAITING_EXTENTS_MAX] == [
        index // BATCH_EXTENTS_MAX + 1 for index in range(WAITING_EXTENTS_MAX)
    ]
    now_us, refreshed_count = 0, 0
    while (start_us := queue.next_start_us()) is not None:
        now_us = max(now_us, start_us)
        batch = queue.start_batch(now_us)
        assert (
            batch is not None
            and [numbers[key[1]] for key in batch.keys] == [batch.number] * BATCH_EXTENTS_MAX
        )
        refreshed_count += len(batch.keys)
        queue.finish_batch(now_us, True)
    assert refreshed_count == WAITING_EXTENTS_MAX


def test_refresh_interval_doubles_with_each_failure_up_to_its_limit() -> None:
    queue, now_us, pauses = RefreshQueue(), 0, []
    for _ in range(12):
        queue.enqueue((0, 0))
        now_us = queue.next_start_us() or now_us
        queue.start_batch(now_us)
        queue.finish_batch(now_us, False)
        pauses.append(queue.earliest_start_us - now_us)
    assert (
        pauses[:3] == [REFRESH_INTERVAL_US * 2, REFRESH_INTERVAL_US * 4, REFRESH_INTERVAL_US * 8]
        and pauses[-1] == REFRESH_INTERVAL_MAX_US
    )
    queue.enqueue((0, 0))
    queue.start_batch(now_us + REFRESH_INTERVAL_MAX_US)
    queue.finish_batch(now_us, True)
    assert queue.consecutive_failures == 0


def test_map_still_behind_at_the_next_poll_has_missed_a_change() -> None:
    check = FreshnessCheck()
    assert check.check(5, 5) is Freshness.CONFIRMED
    assert check.check(6, 5) is Freshness.BEHIND  # the watch may still deliver version 6
    assert check.check(7, 6) is Freshness.BEHIND  # the watch has delivered version 6
    assert check.check(7, 6) is Freshness.CHANGE_MISSED
    assert check.check(8, 6) is Freshness.BEHIND  # a new comparison begins after the complete map is read
    assert check.check(-1, 6) is Freshness.CONFIRMED


# Joined outcomes


def test_joined_result_is_true_for_every_combination_of_three_outcomes() -> None:
    """The result must not make a false statement about which pieces were executed."""
    for writes in (False, True):
        for first in PieceOutcome:
            for second in PieceOutcome:
                for third in PieceOutcome:
                    outcomes = [first, second, third]
                    joined = joining.join(writes, outcomes, [3, 9, 4])
                    may_have_run, certainly_ran = (
                        [
                            outcome in (PieceOutcome.SUCCEEDED, PieceOutcome.NODE_ERROR, PieceOutcome.UNKNOWN)
                            for outcome in outcomes
                        ],
                        [
                            outcome in (PieceOutcome.SUCCEEDED, PieceOutcome.NODE_ERROR)
                            for outcome in outcomes
                        ],
                    )
                    if joined.result is JoinResult.SERVED:
                        assert outcomes == [PieceOutcome.SUCCEEDED] * 3
                    elif joined.result is JoinResult.REPORTED:
                        assert (
                            outcomes[joined.piece_index] is PieceOutcome.NODE_ERROR
                            and PieceOutcome.UNKNOWN not in outcomes
                            or not writes
                        )
                        assert outcomes.index(PieceOutcome.NODE_ERROR) == joined.piece_index
                        assert not writes or PieceOutcome.REJECTED not in outcomes
                    elif joined.result is JoinResult.REJECTED:
                        assert not writes or not any(may_have_run), outcomes
                        assert joined.backoff_us == 9 and not all(certainly_ran)
                    else:
                        assert any(may_have_run) and outcomes != [PieceOutcome.SUCCEEDED] * 3
                    if writes and any(may_have_run) and not certainly_ran[0]:
                        assert joined.result is not JoinResult.REJECTED
    with pytest.raises(ValueError, match="at least one"):
        joining.join(True, [])


@pytest.mark.parametrize(
    ("writes", "outcomes", "expected_result"),
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
def test_join_returns_the_expected_result(
    writes: bool, outcomes: list[PieceOutcome], expected_result: JoinResult
) -> None:
    assert joining.join(writes, outcomes).result is expected_result


def test_write_continues_only_if_all_earlier_pieces_succeeded() -> None:
    assert joining.may_continue(True, []) and joining.may_continue(True, [PieceOutcome.SUCCEEDED])
    assert not any(
        joining.may_continue(True, [PieceOutcome.SUCCEEDED, outcome])
        for outcome in PieceOutcome
        if outcome is not PieceOutcome.SUCCEEDED
    )
    assert joining.may_continue(False, [PieceOutcome.REJECTED])
    assert joining.join(False, [PieceOutcome.SUCCEEDED]) == JoinedOutcome(JoinResult.SERVED)
