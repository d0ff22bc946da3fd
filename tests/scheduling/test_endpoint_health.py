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


def end_late(rig: Rig, outstanding: float | None, rounds: int = 6) -> None:
    """Responses that took most of the objective, with a load report of the endpoint."""
    for _ in range(rounds):
        rig.now_us += 60_000_000
        name = rig.arrive()
        assert name in rig.sent_requests()
        rig.now_us += 250_000
        rig.end_attempt(name, latency_us=250_000, outstanding=outstanding)


def test_window_bounds_the_open_attempts(rig: Rig) -> None:
    arrive_many(rig, 20, 1)

    assert len(rig.scheduler.open_attempts) == 2


def test_window_is_cut_once_a_round_trip_and_recovers(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    endpoint.window = 8.0
    ids = arrive_many(rig, 4, 1)
    rig.now_us += 400_000
    for name in ids:
        rig.end_attempt(name, latency_us=400_000)
    assert endpoint.window == 4.0
    rig.now_us += 1_000_000
    for _ in range(60):
        arrive_many(rig, 6, 1)
        for name, _ in list(rig.scheduler.open_attempts):
            rig.end_attempt(name, latency_us=10_000)

    assert 4.0 < endpoint.window <= 8.0


def test_silent_endpoint_is_probed_and_recovers(rig: Rig) -> None:
    for _ in range(10):
        rig.end_attempt(rig.arrive())
        rig.now_us += 10_000
    stuck = [rig.arrive() for _ in range(2)]
    sent = []
    for turn in range(100):
        rig.now_us += 20_000
        rig.arrive(2, cls=2 if turn % 2 else 0)
        sent += rig.sent_requests()
    once = {f"r{n}" for n in range(rig.request_count + 1)} & {r for r in sent if int(r[1:]) % 2}
    assert 1 <= len(sent) <= 7
    assert stuck and not [
        r
        for r in once
        if rig.scheduler.requests.get(r)
        and rig.scheduler.requests[r].request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
    ]
    answered = next(iter(rig.scheduler.open_attempts))
    rig.attempts[answered[0]] = answered[1]
    rig.end_attempt(answered[0])

    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_lost_attempt_leaves_the_window_once_later_ones_are_answered(rig: Rig) -> None:
    rig.endpoint("a").window = 1.5
    rig.end_attempt(rig.arrive())
    rig.endpoint("a").window = 1.5
    lost = rig.arrive(1, cls=1, key=1)
    rig.advance(400_000)
    rig.endpoint("a").window = 1.5
    probe = rig.arrive(2)
    assert probe in rig.sent_requests() + sends(rig.advance(700_000))
    rig.end_attempt(probe)
    rig.advance(400_000)
    assert (lost, 0) in rig.scheduler.open_attempts and rig.endpoint("a").open_attempts == 0
    assert rig.arrive(2) in rig.sent_requests()
    rig.end_attempt(lost)

    assert rig.endpoint("a").open_attempts == 1


def test_window_falls_below_one_only_at_a_crowded_endpoint(make) -> None:
    for held, low in ((40.0, True), (3.0, False), (None, False), (-5.0, False)):
        rig = make(hosts=100)
        end_late(rig, held)
        assert (rig.endpoint("a").window < 1.0) is low, held
        name = rig.arrive()
        assert (name in rig.sent_requests()) is not low, held  # below one it rests after an answer
        assert (name in finals(rig.actions + rig.advance(310_000))) is low, held


def test_crowded_endpoint_recovers_with_good_responses(make) -> None:
    rig = make(hosts=100)
    end_late(rig, 40.0)
    for _ in range(6):
        rig.now_us += 60_000_000
        name = rig.arrive()
        assert name in rig.sent_requests()
        rig.now_us += 20_000
        rig.end_attempt(name, outstanding=1.0)

    assert rig.endpoint("a").window >= 1.0


def test_full_queue_is_not_answered_with_more_attempts(make) -> None:
    rig = make(hosts=100)
    for _ in range(4):
        rig.now_us += 60_000_000
        name = rig.arrive()
        assert name in rig.sent_requests()
        rig.end_attempt(name, AttemptResult.QUEUE_FULL, latency_us=1_000)
    asked = 0
    for _ in range(60):  # six seconds of one request each tenth
        asked += len(sends([*rig.advance(100_000), *([] if rig.arrive() is None else rig.actions)]))

    assert asked <= 1


def test_probes_back_off_in_a_large_fleet(make) -> None:
    def tries(hosts: int) -> int:
        rig = make(hosts=hosts)
        seen = 0
        for _ in range(200):
            rig.now_us += 100_000
            rig.arrive()
            seen += len(rig.sent_requests())
        return seen

    assert tries(160) < tries(4) / 2


def test_small_fleet_never_pauses(make) -> None:
    rig = make(hosts=4)
    end_late(rig, 40.0)

    assert rig.endpoint("a").window == 1.0


def test_reset_is_no_sign_of_load_and_no_silence(rig: Rig) -> None:
    """A network that resets one connection in twenty would close every window, and make endpoints suspect."""
    window = rig.endpoint("a").window
    for _ in range(5):
        name = rig.arrive()
        rig.end_attempt(name, AttemptResult.RESET)
        rig.handle(ClientDisconnected(name))
    rig.now_us += 5_000_000

    assert rig.endpoint("a").window == window
    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_reset_connect_is_no_restart_but_a_long_outage_is(rig: Rig) -> None:
    for outage_us, slow_start in ((400_000, False), (2_000_000, True)):
        rig.end_attempt(rig.arrive(), AttemptResult.CONNECT_FAILED)
        rig.advance(outage_us)
        name = rig.arrive()
        rig.advance(100_000)
        assert (name, 0) in rig.scheduler.open_attempts
        rig.end_attempt(name)
        assert (rig.endpoint("a").slow_start_began_us is not None) is slow_start


def test_endpoint_with_slow_connects_is_probed_and_not_in_slow_start(make) -> None:
    """Nobody says that it is not reached, so its silence has to keep all but a few from it, also where no
    class has as long as a silence is odd."""
    rig = make(classes=(replace(SETTINGS.classes[0], deadline_us=60_000, latency_objective_us=40_000),))
    sent: list[str] = []
    for _ in range(100):
        name = rig.arrive(left_us=60_000)
        if (name, 0) in rig.scheduler.open_attempts:
            sent.append(name)
            rig.now_us += 60_000
            rig.handle(
                AttemptEnded(
                    name, 0, "a", AttemptResult.NOT_SENT, 60_000, False, None, None, None, begun=False
                )
            )
        else:
            rig.advance(60_000)
    assert 4 <= len(sent) <= 30  # 100 without that
    rig.advance(1_000_000)
    name = rig.arrive()
    assert (name, 0) in rig.scheduler.open_attempts
    rig.end_attempt(name)

    assert rig.endpoint("a").slow_start_began_us is None
    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_silence_of_a_request_with_little_time_says_nothing_of_its_endpoint(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    rig.end_attempt(rig.arrive())
    for left_us, ignored in ((60_000, True), (500_000, False)):
        window = endpoint.window
        name = rig.arrive(left_us=left_us)
        assert (name, 0) in rig.scheduler.open_attempts
        rig.now_us += left_us - 10_000
        rig.end_attempt(name, AttemptResult.TIMEOUT, latency_us=left_us - 10_000)
        rig.now_us += 1_000_000
        assert rig.scheduler.health.is_suspect(endpoint) is not ignored
        assert (endpoint.window == window) is ignored
        assert (endpoint.open_attempts, endpoint.expected_responses) == (0, 0)


def test_latency_and_silence_count_by_the_size_of_the_request(rig: Rig) -> None:
    """Four units take twice as long as the mean of two."""
    endpoint = rig.endpoint("a")
    for units, window in ((4.0, 2.5), (1.0, 1.25)):
        endpoint.window, endpoint.window_reduced_us = 2.5, 0
        name = rig.arrive(units=units)
        rig.now_us += int(1.5 * 0.25 * rig.scheduler.context.tightest_objective_us)
        rig.end_attempt(name, latency_us=int(1.5 * 0.25 * rig.scheduler.context.tightest_objective_us))
        assert endpoint.window == window
    endpoint.latency_ewma_us, endpoint.latency_deviation_us = 20_000.0, 0.0
    for units, suspect in ((8.0, False), (1.0, True)):
        name = rig.arrive(units=units)
        assert name in rig.sent_requests()
        rig.advance(200_000)
        assert rig.scheduler.health.is_suspect(endpoint) is suspect
        rig.end_attempt(name)


def test_one_peer_report_halves_the_window_and_agreeing_ones_make_it_suspect(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    endpoint.window = 4.0
    rig.handle(PeerHealthReported("a", 1, False, rig.now_us))
    assert endpoint.window == 2.0 and not endpoint.connect_failures
    rig.handle(PeerHealthReported("a", 2, True, rig.now_us))
    assert endpoint.connect_failures and rig.scheduler.health.is_suspect(endpoint)
    first, second = rig.arrive(), rig.arrive()
    assert [one for one, _ in rig.scheduler.open_attempts] == [first]  # a try at once, and no other beside it
    rig.end_attempt(first)
    assert not endpoint.connect_failures and [one for one, _ in rig.scheduler.open_attempts] == [second]
    rig.handle(
        PeerHealthReported("a", 5, True, endpoint.last_response_us)
    )  # older than the last response here

    assert not endpoint.connect_failures
