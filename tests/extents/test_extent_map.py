"""The map of extents and its decisions, pure: against a plain model, and each hard case by itself."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lemonridge.extents import joining, routing
from lemonridge.extents.etcd_source import FreshnessCheck
from lemonridge.extents.extent_map import LEAF, Change, ChangeResult, Extent, ExtentMap, MapError, Piece
from lemonridge.extents.joining import End, Joined, JoinResult
from lemonridge.extents.refresh import BATCH, PAUSE_TOP_US, PAUSE_US, WANTED_MAX, Refreshes
from lemonridge.extents.routing import Cause, Limits, Redirect, Route, RouteError, Standing, Verdict

LIMITS = Limits()


def row(count: int, volume: int = 0, length: int = 10) -> list[Extent]:
    return [Extent(volume, n * length, length, n % 4, 1) for n in range(count)]


def held(count: int = 8) -> ExtentMap:
    made = ExtentMap()
    made.whole(1, row(count))
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
@given(count=st.integers(1, 3 * LEAF), todo=steps)
def test_any_sequence_of_changes_is_as_in_a_plain_model(count: int, todo: list[Step]) -> None:
    """The model is a list that is rebuilt for each change; what it refuses must change nothing."""
    atlas = ExtentMap()
    model = row(count)
    atlas.whole(5, reversed(model))
    version = 5
    for kind, pick, shard, cut, jump in todo:
        place = pick % len(model)
        one, dropped = model[place], ()
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
            dropped = ((0, model[place + 1].first),)
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
                put, dropped = [], ((0, one.first),)
        elif kind == "back":
            put = [replace(one, version=one.version - 1)]
            if one.version == 0:
                continue
        fit, _ = atlas.apply(Change(base, to, tuple(put), dropped))
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
            gone = {first for _, first in dropped} | {extent.first for extent in put}
            model = sorted([old for old in model if old.first not in gone] + put, key=lambda old: old.first)
        assert atlas.version == version
        block = pick % model[-1].end
        want = [old for old in model if old.first < block + 25 and old.end > block]
        end = min(block + 25, model[-1].end)
        pieces = atlas.lookup(0, block, end - block)
        assert [(piece.extent, piece.shard, piece.version) for piece in pieces] == [
            (old.first, old.shard, old.version) for old in want
        ]
        assert sum(piece.length for piece in pieces) == end - block and pieces[0].first == block
    assert list(atlas) == model == list(atlas.copy())


@pytest.mark.parametrize(
    ("extents", "word"),
    [
        ([Extent(0, 5, 5, 0, 0)], "block 0: a hole"),
        ([Extent(0, 0, 0, 0, 0)], "no length"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 4, 5, 0, 0)], "an overlap"),
        ([Extent(0, 0, 5, 0, 0), Extent(0, 6, 5, 0, 0)], "block 5: a hole"),
        ([Extent(0, 0, 5, -1, 0)], "shard -1"),
        ([Extent(0, 0, 5, 0, -1)], "version -1"),
        ([Extent(0, 0, 1 << 63, 0, 0)], "no length"),
        (row(9), "more than 8"),
    ],
)
def test_a_whole_map_that_does_not_fit_leaves_the_old_one(extents: list[Extent], word: str) -> None:
    atlas = ExtentMap(8)
    atlas.whole(3, row(4))
    with pytest.raises(MapError, match=word):
        atlas.whole(4, extents)
    assert (atlas.version, len(atlas)) == (3, 4)


def test_a_refreshed_extent_goes_in_once_and_its_own_change_still_applies() -> None:
    atlas = held()
    news = Extent(0, 20, 10, 3, 2)
    assert atlas.merge(news) and not atlas.merge(news)
    assert not atlas.merge(replace(news, version=1)) and not atlas.merge(Extent(0, 21, 9, 0, 9))
    assert atlas.version == 1 and atlas.find(0, 25) == news
    assert atlas.apply(Change(1, 2, (news,)))[0] is ChangeResult.APPLIED


def test_a_refresh_that_is_two_moves_ahead_of_the_watch_outlasts_the_first() -> None:
    atlas = held()
    news = Extent(0, 20, 10, 3, 3)
    assert atlas.merge(news)
    assert atlas.apply(Change(1, 2, (replace(news, shard=1, version=2),)))[0] is ChangeResult.APPLIED
    assert atlas.find(0, 25) == news
    assert atlas.apply(Change(2, 3, (news,)))[0] is ChangeResult.APPLIED
    # From here on a version that goes back is a broken source again, and a whole map forgets all.
    assert atlas.apply(Change(3, 4, (replace(news, version=2),)))[0] is ChangeResult.BROKEN
    assert atlas.merge(replace(news, version=9))
    atlas.whole(4, row(8))
    assert atlas.apply(Change(4, 5, (replace(news, version=2),)))[0] is ChangeResult.APPLIED


def test_blocks_outside_the_map_are_an_error() -> None:
    atlas = held()
    for volume, first, length in ((1, 0, 1), (0, 75, 10), (0, 80, 1)):
        with pytest.raises(MapError, match="not in the map"):
            atlas.lookup(volume, first, length)
    assert (atlas.blocks(0), atlas.blocks(1), atlas.find(0, 80)) == (80, 0, None)


# Whether a map may be used


def test_a_map_is_used_only_as_far_as_it_can_be_trusted() -> None:
    now, atlas = 10**9, held()
    for standing, writes, cause in (
        (Standing(now, False), True, Cause.UNTRUSTED),
        (Standing(now, False), False, None),
        (Standing(now - LIMITS.write_age_us - 1, True), True, Cause.OLD),
        (Standing(now - LIMITS.write_age_us - 1, True), False, None),
        (Standing(now - LIMITS.read_age_us - 1, True), False, Cause.OLD),
        (Standing(now, True), True, None),
    ):
        if cause is None:
            routing.begin(atlas, standing, LIMITS, 0, 0, 5, writes, now)
            continue
        with pytest.raises(RouteError, match=cause.value):
            routing.begin(atlas, standing, LIMITS, 0, 0, 5, writes, now)
    good = Standing(now, True)
    for where, cause in ((ExtentMap(), Cause.MAPLESS), (atlas, Cause.ABSENT)):
        with pytest.raises(RouteError, match=cause.value):
            routing.begin(where, good, LIMITS, 0, 79, 5, False, now)
    with pytest.raises(RouteError, match="pieces"):
        routing.begin(atlas, good, replace(LIMITS, pieces=2), 0, 5, 20, False, now)
    assert routing.everywhere(atlas, good, LIMITS, 0, True, now) == [0, 1, 2, 3]
    with pytest.raises(RouteError, match="absent"):
        routing.everywhere(atlas, good, LIMITS, 7, True, now)


# Redirects

ALL = frozenset(range(4))


def route(version: int = 1, shard: int = 0, first: int = 2) -> Route:
    return Route(Piece(0, first, 3, 0, shard, version), writes=True)


def moved(atlas: ExtentMap, shard: int, version: int) -> None:
    atlas.apply(Change(atlas.version, atlas.version + 1, (Extent(0, 0, 10, shard, version),)))


def test_a_newer_word_of_a_node_is_followed_before_the_map_knows() -> None:
    one = route()
    assert routing.redirected(held(), LIMITS, one, Redirect(2, 3), ALL).verdict is Verdict.FOLLOW
    assert (one.shard, one.piece.version, one.ahead) == (3, 2, True)


def test_the_map_goes_before_a_word_that_is_older() -> None:
    atlas, one = held(), route()
    moved(atlas, 2, 3)
    assert routing.redirected(atlas, LIMITS, one, Redirect(2, 1), ALL).verdict is Verdict.FOLLOW
    assert (one.shard, one.piece.version, one.ahead) == (2, 3, False)


def test_a_redirect_that_is_older_than_the_map_waits_and_is_given_up() -> None:
    """The node we were sent to says that it has yet to hear of the version that the map has."""
    atlas = held()
    moved(atlas, 2, 3)
    one = route(3, 2)
    decision = routing.redirected(atlas, LIMITS, one, Redirect(2, 1), ALL)
    pauses = []
    while decision.verdict is Verdict.WAIT:
        pauses.append(decision.pause_us)
        decision = routing.refreshed(atlas, LIMITS, one)
    assert decision.cause is Cause.UNCONFIRMED
    assert pauses == [0] + [routing.PAUSE_US << n for n in range(LIMITS.refreshes - 1)]


def test_a_word_that_names_a_shard_without_a_node_waits_for_the_map() -> None:
    atlas, one = held(), route()
    assert routing.redirected(atlas, LIMITS, one, Redirect(2, 9), ALL).verdict is Verdict.WAIT
    moved(atlas, 3, 2)
    assert routing.refreshed(atlas, LIMITS, one).verdict is Verdict.FOLLOW
    assert one.shard == 3


def test_two_nodes_that_point_at_each_other_end() -> None:
    """With one version it waits for the source; with rising ones the count ends it."""
    one = route()
    assert routing.redirected(held(), LIMITS, one, Redirect(2, 1), ALL).verdict is Verdict.FOLLOW
    assert routing.redirected(held(), LIMITS, one, Redirect(2, 0), ALL).verdict is Verdict.WAIT
    assert routing.refreshed(held(), LIMITS, one).verdict is Verdict.FOLLOW  # back to what the source says
    assert (one.shard, one.piece.version, one.ahead) == (0, 1, False)
    one, count = route(), 0
    while True:
        decision = routing.redirected(held(), LIMITS, one, Redirect(count + 2, count % 2), ALL)
        if decision is not routing.FOLLOW:
            break
        count += 1
    assert (decision.cause, count) == (Cause.REDIRECTS, LIMITS.redirects)


def test_an_extent_that_moves_twice_on_the_way_and_one_that_comes_back() -> None:
    atlas, one = held(), route()
    assert routing.redirected(atlas, LIMITS, one, Redirect(2, 1), ALL).verdict is Verdict.FOLLOW
    moved(atlas, 1, 2)
    moved(atlas, 0, 3)  # back at the first node, under another version
    assert routing.redirected(atlas, LIMITS, one, Redirect(3, 0), ALL).verdict is Verdict.FOLLOW
    assert (one.shard, one.piece.version) == (0, 3)


def test_a_refresh_that_is_lost_is_asked_for_again() -> None:
    atlas, one = held(), route()
    assert routing.redirected(atlas, LIMITS, one, Redirect(), ALL).verdict is Verdict.WAIT
    assert routing.refreshed(atlas, LIMITS, one).verdict is Verdict.WAIT  # it brought nothing
    moved(atlas, 1, 2)
    assert routing.refreshed(atlas, LIMITS, one).verdict is Verdict.FOLLOW


def test_a_move_that_both_claim_goes_by_the_higher_version_only() -> None:
    """The old node still claims version 1 and the new one has 2: no word of 1 leads back."""
    atlas, one = held(), route(2, 1)
    moved(atlas, 1, 2)
    assert routing.redirected(atlas, LIMITS, one, Redirect(1, 0), ALL).verdict is Verdict.WAIT
    assert (one.shard, one.piece.version) == (1, 2)


def test_an_extent_that_was_cut_under_the_command_gives_up() -> None:
    atlas = held()
    atlas.apply(Change(1, 2, (Extent(0, 0, 3, 0, 2), Extent(0, 3, 7, 1, 2))))
    for decision in (
        routing.redirected(atlas, LIMITS, route(), Redirect(2, 0), ALL),
        routing.refreshed(atlas, LIMITS, route()),
    ):
        assert decision.cause is Cause.RESHAPED


def test_what_waits_goes_by_the_map_and_what_flies_does_not() -> None:
    atlas, one, two = held(), route(), route()
    two.attempt_in_flight = True
    moved(atlas, 3, 2)
    assert routing.caught_up(atlas, one) and not routing.caught_up(atlas, one)
    assert not routing.caught_up(atlas, two) and (one.shard, two.shard) == (3, 0)


# Refreshes


def test_a_thousand_that_find_one_stale_entry_cause_one_refresh() -> None:
    asked = Refreshes()
    numbers = {asked.want((0, 0)) for _ in range(1000)}
    batch = asked.begin(0)
    assert numbers == {1} and batch is not None and batch.spots == ((0, 0),) and asked.begin(0) is None
    # One that asks while it is out takes part in the next: this one may have been read before its move.
    assert asked.want((0, 0)) == 2 and asked.due() is None
    assert asked.ended(10, True) == 1
    assert asked.begin(10) is None and asked.due() == PAUSE_US
    after = asked.begin(PAUSE_US)
    assert after is not None and after.number == 2


def test_many_extents_go_in_batches_and_past_the_bound_nothing_waits() -> None:
    asked = Refreshes()
    numbers = [asked.want((0, n)) for n in range(WANTED_MAX + 3)]
    assert numbers[-3:] == [None] * 3 and numbers[:WANTED_MAX] == [n // BATCH + 1 for n in range(WANTED_MAX)]
    now, seen = 0, 0
    while (at := asked.due()) is not None:
        now = max(now, at)
        batch = asked.begin(now)
        assert batch is not None and [numbers[spot[1]] for spot in batch.spots] == [batch.number] * BATCH
        seen += len(batch.spots)
        asked.ended(now, True)
    assert seen == WANTED_MAX


def test_the_pause_doubles_with_each_failure_up_to_a_top() -> None:
    asked, now, pauses = Refreshes(), 0, []
    for _ in range(12):
        asked.want((0, 0))
        now = asked.due() or now
        asked.begin(now)
        asked.ended(now, False)
        pauses.append(asked.next_us - now)
    assert pauses[:3] == [PAUSE_US * 2, PAUSE_US * 4, PAUSE_US * 8] and pauses[-1] == PAUSE_TOP_US
    asked.want((0, 0))
    asked.begin(now + PAUSE_TOP_US)
    asked.ended(now, True)
    assert asked.failed == 0


def test_a_map_behind_its_source_twice_has_lost_something() -> None:
    judge = FreshnessCheck()
    assert judge.told(5, 5) == (True, False)
    assert judge.told(6, 5) == (False, False)  # the watch may be bringing it
    assert judge.told(7, 6) == (False, False)  # it brought that one
    assert judge.told(7, 6) == (False, True)
    assert judge.told(8, 6) == (False, False)  # judged anew after the whole map
    assert judge.told(-1, 6) == (True, False)


# Joining


def test_every_combination_of_the_ends_of_three_pieces() -> None:
    """Stated as the rules say it, for each combination: what an answer promises must be true."""
    for writes in (False, True):
        for a in End:
            for b in End:
                for c in End:
                    ends = [a, b, c]
                    got = joining.join(writes, ends, [3, 9, 4])
                    ran, all_ran = (
                        [end in (End.GOOD, End.BAD, End.FAILED) for end in ends],
                        [end in (End.GOOD, End.BAD) for end in ends],
                    )
                    if got.whole is JoinResult.SERVED:
                        assert ends == [End.GOOD] * 3
                    elif got.whole is JoinResult.REPORTED:
                        assert ends[got.piece] is End.BAD and End.FAILED not in ends or not writes
                        assert ends.index(End.BAD) == got.piece
                        assert not writes or End.REFUSED not in ends
                    elif got.whole is JoinResult.REFUSED:
                        assert not writes or not any(ran), ends
                        assert got.backoff_us == 9 and not all(all_ran)
                    else:
                        assert any(ran) and ends != [End.GOOD] * 3
                    if writes and any(ran) and not all_ran[0]:
                        assert got.whole is not JoinResult.REFUSED
    with pytest.raises(ValueError, match="at least one"):
        joining.join(True, [])


@pytest.mark.parametrize(
    ("writes", "ends", "whole"),
    [
        (True, [End.GOOD, End.REFUSED, End.UNSENT], JoinResult.FAILED),
        (True, [End.REFUSED, End.UNSENT], JoinResult.REFUSED),
        (True, [End.GOOD, End.FAILED], JoinResult.FAILED),
        (True, [End.BAD, End.UNSENT], JoinResult.REPORTED),
        (True, [End.GOOD, End.UNSENT], JoinResult.FAILED),
        (False, [End.GOOD, End.REFUSED], JoinResult.REFUSED),
        (False, [End.GOOD, End.FAILED], JoinResult.FAILED),
        (False, [End.REFUSED, End.BAD], JoinResult.REPORTED),
        (True, [End.GOOD, End.GOOD], JoinResult.SERVED),
    ],
)
def test_joined_ends(writes: bool, ends: list[End], whole: JoinResult) -> None:
    assert joining.join(writes, ends).whole is whole


def test_a_write_goes_on_only_while_all_went_well() -> None:
    assert joining.goes_on(True, []) and joining.goes_on(True, [End.GOOD])
    assert not any(joining.goes_on(True, [End.GOOD, end]) for end in End if end is not End.GOOD)
    assert joining.goes_on(False, [End.REFUSED])
    assert joining.join(False, [End.GOOD]) == Joined(JoinResult.SERVED)
