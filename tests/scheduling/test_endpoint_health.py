"""Windows, silence and probes."""

from __future__ import annotations

from dataclasses import replace

from conftest import SETTINGS, Rig, arrive_many, finals, sends

from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    PeerHealthReported,
)
from lemonridge.scheduling.settings import IdempotencyKind


def late_answers(rig: Rig, held: float | None, rounds: int = 6) -> None:
    """Answers that took most of the aim, from a node that tells how much it holds."""
    for _ in range(rounds):
        rig.now += 60_000_000
        name = rig.ask()
        assert name in rig.sent()
        rig.now += 250_000
        rig.end(name, lag=250_000, held=held)


def test_window_bounds_the_open_attempts(rig: Rig) -> None:
    arrive_many(rig, 20, 1)
    assert len(rig.policy.open_attempts) == 2


def test_window_is_cut_once_a_round_trip_and_recovers(rig: Rig) -> None:
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    endpoint.window = 8.0
    ids = arrive_many(rig, 4, 1)
    rig.now += 400_000
    for name in ids:
        rig.end(name, lag=400_000)
    assert endpoint.window == 4.0
    rig.now += 1_000_000
    for _ in range(60):
        arrive_many(rig, 6, 1)
        for name, _ in list(rig.policy.open_attempts):
            rig.end(name, lag=10_000)
    assert 4.0 < endpoint.window <= 8.0


def test_silent_endpoint_is_probed_and_recovers(rig: Rig) -> None:
    for _ in range(10):
        rig.end(rig.ask())
        rig.now += 10_000
    stuck = [rig.ask() for _ in range(2)]
    sent = []
    for turn in range(100):
        rig.now += 20_000
        rig.ask(2, cls=2 if turn % 2 else 0)
        sent += rig.sent()
    once = {f"r{n}" for n in range(rig.count + 1)} & {r for r in sent if int(r[1:]) % 2}
    assert 1 <= len(sent) <= 7
    assert stuck and not [
        r
        for r in once
        if rig.policy.requests.get(r)
        and rig.policy.requests[r].request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
    ]
    answered = next(iter(rig.policy.open_attempts))
    rig.tries[answered[0]] = answered[1]
    rig.end(answered[0])
    assert not rig.policy.health.suspect(rig.policy.endpoint_list.endpoints["a"])


def test_lost_attempt_leaves_the_window_once_later_ones_are_answered(rig: Rig) -> None:
    rig.policy.endpoint_list.endpoints["a"].window = 1.5
    rig.end(rig.ask())
    rig.policy.endpoint_list.endpoints["a"].window = 1.5
    lost = rig.ask(1, cls=1, key=1)
    rig.pass_time(400_000)
    rig.policy.endpoint_list.endpoints["a"].window = 1.5
    probe = rig.ask(2)
    assert probe in rig.sent() + sends(rig.pass_time(700_000))
    rig.end(probe)
    rig.pass_time(400_000)
    assert (lost, 0) in rig.policy.open_attempts and rig.policy.endpoint_list.endpoints[
        "a"
    ].open_attempts == 0
    assert rig.ask(2) in rig.sent()
    rig.end(lost)
    assert rig.policy.endpoint_list.endpoints["a"].open_attempts == 1


def test_window_falls_below_one_only_at_a_crowded_endpoint(make) -> None:
    for held, low in ((40.0, True), (3.0, False), (None, False), (-5.0, False)):
        rig = make(hosts=100)
        late_answers(rig, held)
        assert (rig.policy.endpoint_list.endpoints["a"].window < 1.0) is low, held
        name = rig.ask()
        assert (name in rig.sent()) is not low, held  # below one it rests after an answer
        assert (name in finals(rig.actions + rig.pass_time(310_000))) is low, held


def test_crowded_endpoint_recovers_with_good_responses(make) -> None:
    rig = make(hosts=100)
    late_answers(rig, 40.0)
    for _ in range(6):
        rig.now += 60_000_000
        name = rig.ask()
        assert name in rig.sent()
        rig.now += 20_000
        rig.end(name, held=1.0)
    assert rig.policy.endpoint_list.endpoints["a"].window >= 1.0


def test_full_queue_is_not_answered_with_more_attempts(make) -> None:
    rig = make(hosts=100)
    for _ in range(4):
        rig.now += 60_000_000
        name = rig.ask()
        assert name in rig.sent()
        rig.end(name, AttemptResult.QUEUE_FULL, lag=1_000)
    asked = 0
    for _ in range(60):  # six seconds of one request each tenth
        asked += len(sends([*rig.pass_time(100_000), *([] if rig.ask() is None else rig.actions)]))
    assert asked <= 1


def test_probes_back_off_in_a_large_fleet(make) -> None:
    def tries(hosts: int) -> int:
        rig = make(hosts=hosts)
        seen = 0
        for _ in range(200):
            rig.now += 100_000
            rig.ask()
            seen += len(rig.sent())
        return seen

    assert tries(160) < tries(4) / 2


def test_small_fleet_never_pauses(make) -> None:
    rig = make(hosts=4)
    late_answers(rig, 40.0)
    assert rig.policy.endpoint_list.endpoints["a"].window == 1.0


def test_reset_is_no_sign_of_load_and_no_silence(rig: Rig) -> None:
    """A network that resets one connection in twenty would close every window, and make nodes suspect."""
    window = rig.policy.endpoint_list.endpoints["a"].window
    for _ in range(5):
        name = rig.ask()
        rig.end(name, AttemptResult.RESET)
        rig.do(ClientDisconnected(name))
    rig.now += 5_000_000
    assert rig.policy.endpoint_list.endpoints["a"].window == window
    assert not rig.policy.health.suspect(rig.policy.endpoint_list.endpoints["a"])


def test_reset_connect_is_no_restart_but_a_long_outage_is(rig: Rig) -> None:
    for outage, cold in ((400_000, False), (2_000_000, True)):
        rig.end(rig.ask(), AttemptResult.CONNECT_FAILED)
        rig.pass_time(outage)
        name = rig.ask()
        rig.pass_time(100_000)
        assert (name, 0) in rig.policy.open_attempts
        rig.end(name)
        assert (rig.policy.endpoint_list.endpoints["a"].slow_start_began_us is not None) is cold


def test_endpoint_with_slow_connects_is_probed_and_not_in_slow_start(make) -> None:
    """Nobody says that it is not reached, so its silence has to keep all but a few from it, also where no
    class has as long as a silence is odd."""
    rig = make(classes=(replace(SETTINGS.classes[0], deadline_us=60_000, latency_objective_us=40_000),))
    sent: list[str] = []
    for _ in range(100):
        name = rig.ask(left=60_000)
        if (name, 0) in rig.policy.open_attempts:
            sent.append(name)
            rig.now += 60_000
            rig.do(
                AttemptEnded(
                    name, 0, "a", AttemptResult.NOT_SENT, 60_000, False, None, None, None, begun=False
                )
            )
        else:
            rig.pass_time(60_000)
    assert 4 <= len(sent) <= 30  # 100 without that
    rig.pass_time(1_000_000)
    name = rig.ask()
    assert (name, 0) in rig.policy.open_attempts
    rig.end(name)
    assert rig.policy.endpoint_list.endpoints["a"].slow_start_began_us is None
    assert not rig.policy.health.suspect(rig.policy.endpoint_list.endpoints["a"])


def test_silence_of_a_request_with_little_time_says_nothing_of_its_endpoint(rig: Rig) -> None:
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    rig.end(rig.ask())
    for left, heard in ((60_000, True), (500_000, False)):
        window = endpoint.window
        name = rig.ask(left=left)
        assert (name, 0) in rig.policy.open_attempts
        rig.now += left - 10_000
        rig.end(name, AttemptResult.TIMEOUT, lag=left - 10_000)
        rig.now += 1_000_000
        assert rig.policy.health.suspect(endpoint) is not heard
        assert (endpoint.window == window) is heard
        assert (endpoint.open_attempts, endpoint.expected_responses) == (0, 0)


def test_latency_and_silence_count_by_the_size_of_the_request(rig: Rig) -> None:
    """Four units take twice as long as the mean of two."""
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    for units, window in ((4.0, 2.5), (1.0, 1.25)):
        endpoint.window, endpoint.window_cut_us = 2.5, 0
        name = rig.ask(units=units)
        rig.now += int(1.5 * 0.25 * rig.policy.context.tightest_objective_us)
        rig.end(name, lag=int(1.5 * 0.25 * rig.policy.context.tightest_objective_us))
        assert endpoint.window == window
    endpoint.latency_ewma_us, endpoint.latency_deviation_us = 20_000.0, 0.0
    for units, suspect in ((8.0, False), (1.0, True)):
        name = rig.ask(units=units)
        assert name in rig.sent()
        rig.pass_time(200_000)
        assert rig.policy.health.suspect(endpoint) is suspect
        rig.end(name)


def test_one_peer_report_halves_the_window_and_agreeing_ones_make_it_suspect(rig: Rig) -> None:
    endpoint = rig.policy.endpoint_list.endpoints["a"]
    endpoint.window = 4.0
    rig.do(PeerHealthReported("a", 1, False, rig.now))
    assert endpoint.window == 2.0 and not endpoint.connect_failures
    rig.do(PeerHealthReported("a", 2, True, rig.now))
    assert endpoint.connect_failures and rig.policy.health.suspect(endpoint)
    first, second = rig.ask(), rig.ask()
    assert [one for one, _ in rig.policy.open_attempts] == [first]  # a try at once, and no other beside it
    rig.end(first)
    assert not endpoint.connect_failures and [one for one, _ in rig.policy.open_attempts] == [second]
    rig.do(
        PeerHealthReported("a", 5, True, endpoint.last_response_us)
    )  # older than what this host heard itself
    assert not endpoint.connect_failures
