"""Tests of the windows, silence and probes of endpoints."""

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


def respond_slowly(rig: Rig, outstanding: float | None, rounds: int = 6) -> None:
    """Sends requests whose responses take most of the objective and contain a load report of the endpoint."""
    for _ in range(rounds):
        rig.now_us += 60_000_000
        request = rig.arrive()
        assert request in rig.sent_requests()
        rig.now_us += 250_000
        rig.end_attempt(request, latency_us=250_000, outstanding=outstanding)


def test_window_bounds_the_open_attempts(rig: Rig) -> None:
    arrive_many(rig, 20, 1)

    assert len(rig.scheduler.open_attempts) == 2


def test_window_is_reduced_once_per_round_trip_and_recovers(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    endpoint.window = 8.0
    requests = arrive_many(rig, 4, 1)
    rig.now_us += 400_000
    for request in requests:
        rig.end_attempt(request, latency_us=400_000)
    assert endpoint.window == 4.0
    rig.now_us += 1_000_000
    for _ in range(60):
        arrive_many(rig, 6, 1)
        for request, _ in list(rig.scheduler.open_attempts):
            rig.end_attempt(request, latency_us=10_000)

    assert 4.0 < endpoint.window <= 8.0


def test_silent_endpoint_is_probed_and_recovers(rig: Rig) -> None:
    for _ in range(10):
        rig.end_attempt(rig.arrive())
        rig.now_us += 10_000
    unanswered = [rig.arrive() for _ in range(2)]
    probes = []
    for step in range(100):
        rig.now_us += 20_000
        rig.arrive(2, cls=2 if step % 2 else 0)
        probes += rig.sent_requests()
    odd_probes = {f"r{n}" for n in range(rig.request_count + 1)} & {
        request for request in probes if int(request[1:]) % 2
    }
    assert 1 <= len(probes) <= 7
    assert unanswered and not [
        request
        for request in odd_probes
        if rig.scheduler.requests.get(request)
        and rig.scheduler.requests[request].request_class.idempotency is IdempotencyKind.NOT_IDEMPOTENT
    ]
    answered = next(iter(rig.scheduler.open_attempts))
    rig.attempts[answered[0]] = answered[1]
    rig.end_attempt(answered[0])

    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_lost_attempt_stops_counting_against_the_window_once_later_attempts_are_answered(rig: Rig) -> None:
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


def test_window_falls_below_one_only_at_a_crowded_endpoint(make_rig) -> None:
    for outstanding, crowded in ((40.0, True), (3.0, False), (None, False), (-5.0, False)):
        rig = make_rig(hosts=100)
        respond_slowly(rig, outstanding)
        assert (rig.endpoint("a").window < 1.0) is crowded, outstanding
        request = rig.arrive()
        # Below one, the window is a pause after each response.
        assert (request in rig.sent_requests()) is not crowded, outstanding
        assert (request in finals(rig.actions + rig.advance(310_000))) is crowded, outstanding


def test_crowded_endpoint_recovers_with_good_responses(make_rig) -> None:
    rig = make_rig(hosts=100)
    respond_slowly(rig, 40.0)
    for _ in range(6):
        rig.now_us += 60_000_000
        request = rig.arrive()
        assert request in rig.sent_requests()
        rig.now_us += 20_000
        rig.end_attempt(request, outstanding=1.0)

    assert rig.endpoint("a").window >= 1.0


def test_full_endpoint_queue_does_not_cause_more_attempts(make_rig) -> None:
    rig = make_rig(hosts=100)
    for _ in range(4):
        rig.now_us += 60_000_000
        request = rig.arrive()
        assert request in rig.sent_requests()
        rig.end_attempt(request, AttemptResult.QUEUE_FULL, latency_us=1_000)
    attempts = 0
    for _ in range(60):  # six seconds with ten requests per second
        attempts += len(sends([*rig.advance(100_000), *([] if rig.arrive() is None else rig.actions)]))

    assert attempts <= 1


def test_probes_back_off_in_a_large_fleet(make_rig) -> None:
    def probe_count(hosts: int) -> int:
        rig = make_rig(hosts=hosts)
        probes = 0
        for _ in range(200):
            rig.now_us += 100_000
            rig.arrive()
            probes += len(rig.sent_requests())
        return probes

    assert probe_count(160) < probe_count(4) / 2


def test_window_stays_at_one_in_a_small_fleet(make_rig) -> None:
    rig = make_rig(hosts=4)
    respond_slowly(rig, 40.0)

    assert rig.endpoint("a").window == 1.0


def test_reset_counts_neither_as_load_nor_as_silence(rig: Rig) -> None:
    """A network that resets one connection in twenty must not close windows or make endpoints suspect."""
    window = rig.endpoint("a").window
    for _ in range(5):
        request = rig.arrive()
        rig.end_attempt(request, AttemptResult.RESET)
        rig.handle(ClientDisconnected(request))
    rig.now_us += 5_000_000

    assert rig.endpoint("a").window == window
    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_short_connect_failure_is_no_restart_but_a_long_outage_is(rig: Rig) -> None:
    for outage_us, slow_start in ((400_000, False), (2_000_000, True)):
        rig.end_attempt(rig.arrive(), AttemptResult.CONNECT_FAILED)
        rig.advance(outage_us)
        request = rig.arrive()
        rig.advance(100_000)
        assert (request, 0) in rig.scheduler.open_attempts
        rig.end_attempt(request)
        assert (rig.endpoint("a").slow_start_began_us is not None) is slow_start


def test_endpoint_with_slow_connects_is_probed_and_not_in_slow_start(make_rig) -> None:
    """Guards against sending every request to an endpoint whose connects do not complete.

    No connect fails, so only the silence limit restricts the requests to the endpoint. This must also work if
    the deadlines of all classes are shorter than the silence limit.
    """
    rig = make_rig(classes=(replace(SETTINGS.classes[0], deadline_us=60_000, latency_objective_us=40_000),))
    sent: list[str] = []
    for _ in range(100):
        request = rig.arrive(left_us=60_000)
        if (request, 0) in rig.scheduler.open_attempts:
            sent.append(request)
            rig.now_us += 60_000
            rig.handle(
                AttemptEnded(
                    request, 0, "a", AttemptResult.NOT_SENT, 60_000, False, None, None, None, begun=False
                )
            )
        else:
            rig.advance(60_000)
    assert 4 <= len(sent) <= 30  # 100 without the silence limit
    rig.advance(1_000_000)
    request = rig.arrive()
    assert (request, 0) in rig.scheduler.open_attempts
    rig.end_attempt(request)

    assert rig.endpoint("a").slow_start_began_us is None
    assert not rig.scheduler.health.is_suspect(rig.endpoint("a"))


def test_missing_response_to_a_request_with_little_time_does_not_count_against_the_endpoint(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    rig.end_attempt(rig.arrive())
    for time_left_us, ignored in ((60_000, True), (500_000, False)):
        window = endpoint.window
        request = rig.arrive(left_us=time_left_us)
        assert (request, 0) in rig.scheduler.open_attempts
        rig.now_us += time_left_us - 10_000
        rig.end_attempt(request, AttemptResult.TIMEOUT, latency_us=time_left_us - 10_000)
        rig.now_us += 1_000_000
        assert rig.scheduler.health.is_suspect(endpoint) is not ignored
        assert (endpoint.window == window) is ignored
        assert (endpoint.open_attempts, endpoint.expected_responses) == (0, 0)


def test_latency_and_silence_are_scaled_by_the_size_of_the_request(rig: Rig) -> None:
    """A request of four units may take twice as long as the mean request of two units."""
    endpoint = rig.endpoint("a")
    for units, window in ((4.0, 2.5), (1.0, 1.25)):
        endpoint.window, endpoint.window_reduced_us = 2.5, 0
        request = rig.arrive(units=units)
        rig.now_us += int(1.5 * 0.25 * rig.scheduler.context.tightest_objective_us)
        rig.end_attempt(request, latency_us=int(1.5 * 0.25 * rig.scheduler.context.tightest_objective_us))
        assert endpoint.window == window
    endpoint.latency_ewma_us, endpoint.latency_deviation_us = 20_000.0, 0.0
    for units, expected in ((8.0, False), (1.0, True)):
        request = rig.arrive(units=units)
        assert request in rig.sent_requests()
        rig.advance(200_000)
        assert rig.scheduler.health.is_suspect(endpoint) is expected
        rig.end_attempt(request)


def test_one_peer_report_halves_the_window_and_agreeing_reports_make_the_endpoint_suspect(rig: Rig) -> None:
    endpoint = rig.endpoint("a")
    endpoint.window = 4.0
    rig.handle(PeerHealthReported("a", 1, False, rig.now_us))
    assert endpoint.window == 2.0 and not endpoint.connect_failures
    rig.handle(PeerHealthReported("a", 2, True, rig.now_us))
    assert endpoint.connect_failures and rig.scheduler.health.is_suspect(endpoint)
    first, second = rig.arrive(), rig.arrive()
    # The first request is sent immediately as the only probe.
    assert [request for request, _ in rig.scheduler.open_attempts] == [first]
    rig.end_attempt(first)
    assert not endpoint.connect_failures and [request for request, _ in rig.scheduler.open_attempts] == [
        second
    ]
    # Not newer than the last response to this host.
    rig.handle(PeerHealthReported("a", 5, True, endpoint.last_response_us))

    assert not endpoint.connect_failures
