"""One request's life, with decisions and nodes that the test makes itself; no wire."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import replace

from conftest import SETTINGS

from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.core.errors import ConnectFailedError
from lemonridge.core.model import AnswerKind, Attempt, Outcome, Request
from lemonridge.core.stall_detector import CATCH_UP_S
from lemonridge.core.start_times import START_TIMES_MAX, WATCH_EVENT_AGE_MAX_US, StartTimes
from lemonridge.scheduling.actions import Action, Cancel, Fail, Reject, RejectReason, Send
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    DataMigrated,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
    TimerFired,
)


class Scripted:
    """Stands in for the scheduler: records every batch, answers with what the test wants."""

    def __init__(self) -> None:
        self.batches: list[list[Event]] = []
        self.react: Callable[[Event], list[Action]] = lambda event: []
        self.allows = True

    def handle(self, _: int, events: list[Event]) -> list[Action]:
        self.batches.append(events)
        return [action for event in events for action in self.react(event)]

    def begins(self, _: int, __: str, ___: int) -> bool:
        return self.allows

    def of(self, kind: type) -> list[Event]:
        return [event for batch in self.batches for event in batch if isinstance(event, kind)]


class Life(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.counters = Counters()
        self.decider = DecisionHost(replace(SETTINGS), 1, Clock(asyncio.get_running_loop()), self.counters)
        self.policy = Scripted()
        self.decider._scheduler = self.policy  # type: ignore[assignment]
        self.behave: Callable[[Attempt], Awaitable[Outcome]]
        self.broker = Broker(self.decider, self, self.counters)  # type: ignore[arg-type]
        self.policy.react = lambda event: (
            [Send(event.request, "a")] if isinstance(event, RequestArrived) else []
        )

    async def attempt(self, attempt: Attempt) -> Outcome:
        return await self.behave(attempt)

    def request(self, left_us: int = 2_000_000) -> Request:
        return Request(0, 1, self.decider.clock.now_us() + left_us, 2, 0, 0, 1.0, 1, None)

    async def quiet(self) -> None:
        while self.decider.open_requests:
            await asyncio.sleep(0)
        await asyncio.sleep(0)

    async def test_events_of_one_turn_go_together(self) -> None:
        self.policy.react = lambda event: (
            [Reject(event.request, 7, RejectReason.OBJECTIVE_MISSED)]
            if isinstance(event, RequestArrived)
            else []
        )
        answers = await asyncio.gather(*(self.broker.serve(self.request()) for _ in range(5)))
        self.assertEqual({(one.kind, one.retry_after_us) for one in answers}, {(AnswerKind.REJECTED, 7)})
        self.assertEqual(len(self.policy.batches[0]), 5)

    async def test_after_a_stop_nothing_is_decided_until_what_came_meanwhile_is_read(self) -> None:
        self.decider.stall_detector.start()
        loop = asyncio.get_running_loop()
        self.decider.stall_detector._last_heartbeat_s = (
            loop.time() - 1.0
        )  # as a process finds it that was stopped for a second
        begun = loop.time()
        self.decider.deliver(ClientDisconnected("r1"))
        await asyncio.sleep(0)
        self.decider.deliver(EndpointsChanged(EndpointListUpdate.DELTA, ()))  # read in the next turn
        while not self.policy.batches:
            await asyncio.sleep(0)
        self.assertGreaterEqual(loop.time() - begun, CATCH_UP_S)
        self.assertEqual(
            [type(event) for event in self.policy.batches[0]], [ClientDisconnected, EndpointsChanged]
        )
        self.assertEqual(self.counters["loop.stopped"], 1)

    async def test_an_onlooker_is_told_before_the_decisions_are(self) -> None:
        order: list[str] = []

        class Looker:
            def on_request_arrived(self, event: RequestArrived) -> None:
                order.append("observer")

            def __getattr__(self, name: str) -> Callable[..., None]:
                return lambda *_: None

        self.decider.observer = Looker()  # type: ignore[assignment]
        self.policy.react = lambda event: (
            order.append(type(event).__name__)
            or (
                [Reject(event.request, 0, RejectReason.OBJECTIVE_MISSED)]
                if isinstance(event, RequestArrived)
                else []
            )
        )
        await self.broker.serve(self.request())
        self.assertEqual(order[:2], ["observer", "RequestArrived"])

    async def test_an_answer_leaves_at_once_while_an_attempt_is_out(self) -> None:
        hold = asyncio.Event()

        async def held(attempt: Attempt) -> Outcome:
            attempt.begun = True
            self.decider.deliver(TimerFired())  # upon which the module gives up
            await hold.wait()
            return Outcome(AttemptResult.OK, b"late")

        self.behave = held
        sent = self.policy.react
        over = Fail("r1", RejectReason.DEADLINE_EXCEEDED)
        self.policy.react = lambda event: [over] if isinstance(event, TimerFired) else sent(event)
        self.assertEqual((await self.broker.serve(self.request())).kind, AnswerKind.FAILED)
        self.assertEqual(self.policy.of(AttemptEnded), [])
        hold.set()
        await self.quiet()
        ended = self.policy.of(AttemptEnded)
        self.assertEqual([(one.result, one.finished) for one in ended], [(AttemptResult.OK, True)])

    async def test_each_end_of_an_attempt_by_evidence(self) -> None:
        case: dict[str, bool] = {}

        async def hang(attempt: Attempt) -> Outcome:
            attempt.begun = case["reaches"]
            if case["cancels"]:
                self.decider.deliver(TimerFired())
            await asyncio.Event().wait()
            raise AssertionError

        async def broken(attempt: Attempt) -> Outcome:
            attempt.begun = case["reaches"]
            raise RuntimeError("a fault in the nodes' side")

        async def unreached(attempt: Attempt) -> Outcome:
            raise ConnectFailedError

        sent = self.policy.react
        for behave, reaches, cancels, result in (
            (hang, True, False, AttemptResult.TIMEOUT),
            (hang, False, False, AttemptResult.NOT_SENT),
            (hang, True, True, AttemptResult.CANCELLED),
            (hang, False, True, AttemptResult.NOT_SENT),
            (broken, True, False, AttemptResult.RESET),
            (broken, False, False, AttemptResult.CONNECT_FAILED),
            (unreached, False, False, AttemptResult.CONNECT_FAILED),
        ):
            with self.subTest(result=result, behave=behave.__name__):
                self.behave, name = behave, f"r{self.decider._requests_received + 1}"
                case.update(reaches=reaches, cancels=cancels)

                def react(event: Event, name: str = name) -> list[Action]:
                    if isinstance(event, AttemptEnded):
                        return [Fail(event.request, RejectReason.ATTEMPTS_EXHAUSTED)]
                    return [Cancel(name, 0)] if isinstance(event, TimerFired) else sent(event)

                self.policy.react = react
                self.assertEqual((await self.broker.serve(self.request(30_000))).kind, AnswerKind.FAILED)
                await self.quiet()
                ends = [one.result for one in self.policy.of(AttemptEnded) if one.request == name]
                self.assertEqual(ends, [result])

    async def test_an_attempt_begins_only_as_the_decisions_say_at_its_first_byte(self) -> None:
        begun: list[bool] = []

        async def dial(attempt: Attempt) -> Outcome:
            try:
                attempt.begin()
            finally:
                begun.append(attempt.begun)
            return Outcome(AttemptResult.OK, b"")

        self.behave, sent = dial, self.policy.react
        self.policy.react = lambda event: (
            [Fail(event.request, RejectReason.DEADLINE_EXCEEDED)]
            if (isinstance(event, AttemptEnded) and not event.finished)
            else sent(event)
        )
        for allows, kind, result in (
            (True, AnswerKind.SERVED, AttemptResult.OK),
            (False, AnswerKind.FAILED, AttemptResult.NOT_SENT),
        ):
            self.policy.allows = allows
            self.assertEqual((await self.broker.serve(self.request())).kind, kind)
            await self.quiet()
            ended = self.policy.of(AttemptEnded)[-1]
            assert isinstance(ended, AttemptEnded)
            self.assertEqual((begun.pop(), ended.result, ended.begun), (allows, result, allows))

    async def test_a_client_that_leaves_during_the_dial_ends_it_and_nothing_begins(self) -> None:
        dialling, came = asyncio.Event(), []

        async def dial(attempt: Attempt) -> Outcome:
            dialling.set()
            await asyncio.Event().wait()  # no connection comes
            came.append(attempt)
            raise AssertionError

        self.behave = dial
        serving = asyncio.create_task(self.broker.serve(self.request()))
        await dialling.wait()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await self.quiet()
        ended = [one for one in self.policy.of(AttemptEnded) if isinstance(one, AttemptEnded)]
        self.assertEqual([(one.result, one.begun) for one in ended], [(AttemptResult.NOT_SENT, False)])
        self.assertEqual(came, [])

    async def test_a_client_that_left_before_its_order_was_taken_up_is_sent_nowhere(self) -> None:
        attempts: list[Attempt] = []

        async def behave(attempt: Attempt) -> Outcome:
            attempts.append(attempt)
            return Outcome(AttemptResult.OK, b"")

        def leave(event: Event) -> list[Action]:
            if not isinstance(event, TimerFired):
                return []
            serving.cancel()  # it leaves in the very turn in which it is told to be sent
            return [Send("r1", "a")]

        self.behave, self.policy.react = behave, leave
        serving = asyncio.create_task(self.broker.serve(self.request()))
        while not self.policy.of(RequestArrived):
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # its life waits for an order
        self.decider.deliver(TimerFired())
        await asyncio.gather(serving, return_exceptions=True)
        await self.quiet()
        self.assertEqual([one.result for one in self.policy.of(AttemptEnded)], [AttemptResult.NOT_SENT])
        self.assertEqual(attempts, [])

    async def test_client_gone_tells_it_once_and_the_attempt_ends_once(self) -> None:
        hold = asyncio.Event()

        async def held(attempt: Attempt) -> Outcome:
            attempt.begun = True
            await hold.wait()
            return Outcome(AttemptResult.OK)

        self.behave = held
        serving = asyncio.create_task(self.broker.serve(self.request()))
        while not self.policy.of(RequestArrived):
            await asyncio.sleep(0)
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        hold.set()
        await self.quiet()
        self.assertEqual((len(self.policy.of(ClientDisconnected)), len(self.policy.of(AttemptEnded))), (1, 1))

    async def test_an_exception_in_the_decisions_answers_all_and_starts_over(self) -> None:
        def broken(_: Event) -> list[Action]:
            raise KeyError("a fault in the decisions")

        async def ok(attempt: Attempt) -> Outcome:
            return Outcome(AttemptResult.OK, b"x")

        self.behave = ok
        self.decider.list_endpoints = lambda: (Endpoint("a", 0, 0, EndpointState.ACTIVE, 0),)
        self.policy.react = broken
        answers = await asyncio.gather(*(self.broker.serve(self.request()) for _ in range(3)))
        self.assertEqual({one.kind for one in answers}, {AnswerKind.FAILED})
        # The real module is in its place now, with the list.
        self.assertEqual((await self.broker.serve(self.request())).kind, AnswerKind.SERVED)
        self.assertEqual(self.counters["decisions.failed"], 1)

    async def moves(self, where: list[int | None]) -> tuple[AnswerKind, list[Event]]:
        """One request whose every attempt but the last meets a move; `where` is what the routes say then."""
        test = self

        class Way:
            attempt_in_flight, shard = False, 0

        class Ways:
            def open(self, request: Request, told: Callable[[int], None]) -> None:
                test.told = told

            def close(self, request: Request) -> None:
                test.closed = True

            def current(self, request: Request) -> int:
                return 0

            async def reroute(self, request: Request, reply: object) -> int | None:
                test.assertEqual(reply, "elsewhere")
                await asyncio.sleep(0)
                return where.pop(0)

        async def elsewhere(attempt: Attempt) -> Outcome:
            attempt.begun = test.flew = way.attempt_in_flight
            return (
                Outcome(AttemptResult.DATA_MIGRATED, "elsewhere")
                if where
                else Outcome(AttemptResult.OK, b"x")
            )

        def react(event: Event) -> list[Action]:
            if isinstance(event, DataMigrated):
                name = event.request
                lost = event.shard is None
                return [
                    Reject(name, 0, RejectReason.ROUTE_UNKNOWN) if lost else Send(name, f"n{event.shard}")
                ]
            return [Send(event.request, "n0")] if isinstance(event, RequestArrived) else []

        way = Way()
        self.behave, self.policy.react = elsewhere, react
        broker = Broker(self.decider, self, self.counters, Ways())  # type: ignore[arg-type]
        request = self.request()
        request.route = way
        answer = await broker.serve(request)
        await self.quiet()
        self.assertTrue(self.flew and self.closed and not way.attempt_in_flight)
        return answer.kind, self.policy.of(AttemptEnded)

    async def test_a_request_whose_data_moved_goes_on_as_one_request(self) -> None:
        kind, ended = await self.moves([1, 2])
        self.assertEqual(kind, AnswerKind.SERVED)
        self.assertEqual(
            [(one.request, one.attempt, one.endpoint_id, one.result.name) for one in ended],
            [("r1", 0, "n0", "DATA_MIGRATED"), ("r1", 1, "n1", "DATA_MIGRATED"), ("r1", 2, "n2", "OK")],
        )

    async def test_a_move_that_leads_nowhere_ends_in_the_modules_word(self) -> None:
        kind, ended = await self.moves([None])
        self.assertEqual((kind, len(ended)), (AnswerKind.REJECTED, 1))

    async def test_the_wait_for_news_of_a_move_ends_with_the_deadline(self) -> None:
        class Silent:
            def open(self, request: Request, told: Callable[[int], None]) -> None: ...

            def close(self, request: Request) -> None: ...

            async def reroute(self, request: Request, reply: object) -> int | None:
                await asyncio.Event().wait()
                raise AssertionError

        class Way:
            attempt_in_flight, shard = False, 0

        async def gone(attempt: Attempt) -> Outcome:
            attempt.begun = True
            return Outcome(AttemptResult.DATA_MIGRATED)

        self.behave = gone
        self.policy.react = lambda event: (
            [Send(event.request, "a")]
            if isinstance(event, RequestArrived)
            else [Reject(event.request, 0, RejectReason.ROUTE_UNKNOWN)]
            if isinstance(event, DataMigrated)
            else []
        )
        broker = Broker(self.decider, self, self.counters, Silent())  # type: ignore[arg-type]
        request = self.request(30_000)
        request.route = Way()
        self.assertEqual((await broker.serve(request)).kind, AnswerKind.REJECTED)
        self.assertEqual([one.shard for one in self.policy.of(DataMigrated)], [None])


class Starts(unittest.TestCase):
    """Start times in Unix time, on a clock that is not stepped with it."""

    def test_a_start_is_placed_once_and_what_cannot_be_is_now(self) -> None:
        starts, now = StartTimes(), 10**13
        told = now - 2_000_000
        self.assertEqual(starts.place("a", told, now, now, WATCH_EVENT_AGE_MAX_US), told)
        for step in (-3_600_000_000, 3_600_000_000):  # heard again after the wall clock was stepped
            self.assertEqual(starts.place("a", told, now + 5, now + step, WATCH_EVENT_AGE_MAX_US), told)
        self.assertEqual(starts.place("b", now + 1, now, now, WATCH_EVENT_AGE_MAX_US), now)
        self.assertEqual(
            starts.place("c", now - WATCH_EVENT_AGE_MAX_US - 1, now, now, WATCH_EVENT_AGE_MAX_US), now
        )
        self.assertEqual(starts.place("d", now - 10**9, now, now, None), now - 10**9)
        self.assertEqual(starts.place("d", 0, now, now, None), 0)

    def test_the_bound_keeps_those_that_are_listed(self) -> None:
        starts = StartTimes()
        for number in range(START_TIMES_MAX + 10):
            starts.place(f"n{number}", number + 1, 10**13, 10**13, None)
        starts.prune({"n0", "n1"})
        self.assertEqual(len(starts.export()), START_TIMES_MAX)
        self.assertIn("n1", starts.export())
        self.assertNotIn("n2", starts.export())
