"""Tests of the broker: attempts, disconnects and data migrations of a request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from core_case import BrokerTestCase

from lemonridge.core.broker import Broker
from lemonridge.core.errors import ConnectFailedError
from lemonridge.core.model import Answer, AnswerKind, Attempt, Outcome, Request
from lemonridge.scheduling.actions import Action, Cancel, Fail, Reject, RejectReason, Send
from lemonridge.scheduling.events import (
    AttemptEnded,
    AttemptResult,
    ClientDisconnected,
    DataMigrated,
    Event,
    RequestArrived,
    TimerFired,
)


class AttemptTest(BrokerTestCase):
    async def test_final_answer_is_delivered_while_attempt_is_in_flight(self) -> None:
        attempt_may_end = asyncio.Event()

        async def end_when_allowed(attempt: Attempt) -> Outcome:
            attempt.begun = True
            self.host.deliver(TimerFired())  # the scheduler reacts by failing the request
            await attempt_may_end.wait()
            return Outcome(AttemptResult.OK, b"late")

        self.make_attempt = end_when_allowed
        send_at_arrival = self.scheduler.react
        fail = Fail("r1", RejectReason.DEADLINE_EXCEEDED)
        self.scheduler.react = lambda event: (
            [fail] if isinstance(event, TimerFired) else send_at_arrival(event)
        )

        answer = await self.broker.serve(self.new_request())

        self.assertEqual(answer.kind, AnswerKind.FAILED)
        self.assertEqual(self.scheduler.events_of_type(AttemptEnded), [])

        attempt_may_end.set()
        await self.wait_until_all_requests_are_closed()

        ended = self.scheduler.events_of_type(AttemptEnded)
        self.assertEqual([(event.result, event.finished) for event in ended], [(AttemptResult.OK, True)])

    async def test_attempt_result_matches_how_attempt_ended(self) -> None:
        case: dict[str, bool] = {}

        async def hang(attempt: Attempt) -> Outcome:
            attempt.begun = case["begins"]
            if case["cancels"]:
                self.host.deliver(TimerFired())
            await asyncio.Event().wait()
            raise AssertionError

        async def fail_internally(attempt: Attempt) -> Outcome:
            attempt.begun = case["begins"]
            raise RuntimeError("internal error of the endpoint client")

        async def fail_to_connect(attempt: Attempt) -> Outcome:
            raise ConnectFailedError

        send_at_arrival = self.scheduler.react
        for make_attempt, begins, cancels, result in (
            (hang, True, False, AttemptResult.TIMEOUT),
            (hang, False, False, AttemptResult.NOT_SENT),
            (hang, True, True, AttemptResult.CANCELLED),
            (hang, False, True, AttemptResult.NOT_SENT),
            (fail_internally, True, False, AttemptResult.RESET),
            (fail_internally, False, False, AttemptResult.CONNECT_FAILED),
            (fail_to_connect, False, False, AttemptResult.CONNECT_FAILED),
        ):
            with self.subTest(result=result, make_attempt=make_attempt.__name__):
                self.make_attempt, name = make_attempt, f"r{self.host._requests_received + 1}"
                case.update(begins=begins, cancels=cancels)

                def react(event: Event, name: str = name) -> list[Action]:
                    if isinstance(event, AttemptEnded):
                        return [Fail(event.request, RejectReason.ATTEMPTS_EXHAUSTED)]
                    return [Cancel(name, 0)] if isinstance(event, TimerFired) else send_at_arrival(event)

                self.scheduler.react = react

                answer = await self.broker.serve(self.new_request(30_000))
                await self.wait_until_all_requests_are_closed()

                self.assertEqual(answer.kind, AnswerKind.FAILED)
                ends = [
                    event.result
                    for event in self.scheduler.events_of_type(AttemptEnded)
                    if event.request == name
                ]
                self.assertEqual(ends, [result])

    async def test_attempt_begins_only_if_scheduler_allows_it_at_first_byte(self) -> None:
        begun: list[bool] = []

        async def connect(attempt: Attempt) -> Outcome:
            try:
                attempt.begin()
            finally:
                begun.append(attempt.begun)
            return Outcome(AttemptResult.OK, b"")

        self.make_attempt, send_at_arrival = connect, self.scheduler.react
        self.scheduler.react = lambda event: (
            [Fail(event.request, RejectReason.DEADLINE_EXCEEDED)]
            if (isinstance(event, AttemptEnded) and not event.finished)
            else send_at_arrival(event)
        )
        for allows_begin, kind, result in (
            (True, AnswerKind.SERVED, AttemptResult.OK),
            (False, AnswerKind.FAILED, AttemptResult.NOT_SENT),
        ):
            self.scheduler.allows_begin = allows_begin

            answer = await self.broker.serve(self.new_request())
            await self.wait_until_all_requests_are_closed()

            self.assertEqual(answer.kind, kind)
            ended = self.scheduler.events_of_type(AttemptEnded)[-1]
            assert isinstance(ended, AttemptEnded)
            self.assertEqual((begun.pop(), ended.result, ended.begun), (allows_begin, result, allows_begin))


class DisconnectTest(BrokerTestCase):
    async def test_disconnect_during_connect_cancels_attempt_before_it_begins(self) -> None:
        connecting, connected = asyncio.Event(), []

        async def connect(attempt: Attempt) -> Outcome:
            connecting.set()
            await asyncio.Event().wait()  # never returns
            connected.append(attempt)
            raise AssertionError

        self.make_attempt = connect
        serve_task = asyncio.create_task(self.broker.serve(self.new_request()))
        await connecting.wait()

        serve_task.cancel()
        await asyncio.gather(serve_task, return_exceptions=True)
        await self.wait_until_all_requests_are_closed()

        ended = [
            event for event in self.scheduler.events_of_type(AttemptEnded) if isinstance(event, AttemptEnded)
        ]
        self.assertEqual([(event.result, event.begun) for event in ended], [(AttemptResult.NOT_SENT, False)])
        self.assertEqual(connected, [])

    async def test_no_attempt_is_made_for_client_that_disconnected_after_decision(self) -> None:
        attempts: list[Attempt] = []

        async def make_attempt(attempt: Attempt) -> Outcome:
            attempts.append(attempt)
            return Outcome(AttemptResult.OK, b"")

        def disconnect_and_send(event: Event) -> list[Action]:
            if not isinstance(event, TimerFired):
                return []
            serve_task.cancel()  # in the same turn of the loop as the decision to send
            return [Send("r1", "a")]

        self.make_attempt, self.scheduler.react = make_attempt, disconnect_and_send
        serve_task = asyncio.create_task(self.broker.serve(self.new_request()))
        while not self.scheduler.events_of_type(RequestArrived):
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # the task now waits for a decision

        self.host.deliver(TimerFired())
        await asyncio.gather(serve_task, return_exceptions=True)
        await self.wait_until_all_requests_are_closed()

        self.assertEqual(
            [event.result for event in self.scheduler.events_of_type(AttemptEnded)], [AttemptResult.NOT_SENT]
        )
        self.assertEqual(attempts, [])

    async def test_undelivered_answer_of_disconnected_client_is_counted(self) -> None:
        """Guards against accepted requests that are missing from all counters of answers."""
        decided = asyncio.Event()

        def react(_: Event) -> list[Action]:
            decided.set()
            return [Reject("r1", 0, RejectReason.DEADLINE_EXCEEDED)]

        self.scheduler.react = react
        serve_task = asyncio.create_task(self.broker.serve(self.new_request()))
        await decided.wait()
        serve_task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serve_task
        await self.wait_until_all_requests_are_closed()

        self.assertEqual(
            {name: count for name, count in self.counters.items() if name.startswith("answers.")},
            {"answers.rejected": 1, "answers.undelivered": 1},
        )

    async def test_disconnect_and_end_of_its_attempt_are_each_reported_once(self) -> None:
        attempt_may_end = asyncio.Event()

        async def end_when_allowed(attempt: Attempt) -> Outcome:
            attempt.begun = True
            await attempt_may_end.wait()
            return Outcome(AttemptResult.OK)

        self.make_attempt = end_when_allowed
        serve_task = asyncio.create_task(self.broker.serve(self.new_request()))
        while not self.scheduler.events_of_type(RequestArrived):
            await asyncio.sleep(0)

        serve_task.cancel()
        await asyncio.gather(serve_task, return_exceptions=True)
        attempt_may_end.set()
        await self.wait_until_all_requests_are_closed()

        self.assertEqual(
            (
                len(self.scheduler.events_of_type(ClientDisconnected)),
                len(self.scheduler.events_of_type(AttemptEnded)),
            ),
            (1, 1),
        )


class DataMigrationTest(BrokerTestCase):
    async def serve_request_with_migrating_data(
        self, shards: list[int | None]
    ) -> tuple[AnswerKind, list[Event]]:
        """Serves a request whose data migrates during each attempt but the last.

        Args:
            shards: The shards that the data migrates to, in order; None for an unknown shard.

        Returns:
            The kind of the answer and the `AttemptEnded` events.
        """
        test = self
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        class Route:
            attempt_in_flight, shard = False, 0

        class Routes:
            def open(self, request: Request, notify: Callable[[int], None]) -> None:
                test.notify = notify

            def close(self, request: Request) -> None:
                test.closed = True

            def on_served(self, request: Request) -> None:
                test.answered_at_record = answered.done()

            def current(self, request: Request) -> int:
                return 0

            async def reroute(self, request: Request, reply: object) -> int | None:
                test.assertEqual(reply, "elsewhere")
                await asyncio.sleep(0)
                return shards.pop(0)

        async def migrate(attempt: Attempt) -> Outcome:
            attempt.begun = test.was_in_flight = route.attempt_in_flight
            return (
                Outcome(AttemptResult.DATA_MIGRATED, "elsewhere")
                if shards
                else Outcome(AttemptResult.OK, b"x")
            )

        def react(event: Event) -> list[Action]:
            if isinstance(event, DataMigrated):
                name = event.request
                if event.shard is None:
                    return [Reject(name, 0, RejectReason.ROUTE_UNKNOWN)]
                return [Send(name, f"n{event.shard}")]
            return [Send(event.request, "n0")] if isinstance(event, RequestArrived) else []

        route = Route()
        self.make_attempt, self.scheduler.react = migrate, react
        broker = Broker(self.host, self, self.counters, Routes())  # type: ignore[arg-type]
        request = self.new_request()
        request.route = route

        broker.submit(request, answered.set_result)
        answer = await answered
        await self.wait_until_all_requests_are_closed()
        self.assertTrue(self.was_in_flight and self.closed and not route.attempt_in_flight)
        return answer.kind, self.scheduler.events_of_type(AttemptEnded)

    async def test_request_with_migrated_data_continues_as_same_request(self) -> None:
        kind, ended = await self.serve_request_with_migrating_data([1, 2])

        self.assertEqual(kind, AnswerKind.SERVED)
        self.assertEqual(
            [(event.request, event.attempt, event.endpoint_id, event.result.name) for event in ended],
            [("r1", 0, "n0", "DATA_MIGRATED"), ("r1", 1, "n1", "DATA_MIGRATED"), ("r1", 2, "n2", "OK")],
        )
        self.assertIs(self.answered_at_record, False)  # recorded once, before the client knows

    async def test_migration_to_unknown_shard_is_rejected_by_scheduler(self) -> None:
        kind, ended = await self.serve_request_with_migrating_data([None])

        self.assertEqual((kind, len(ended)), (AnswerKind.REJECTED, 1))

    async def test_wait_for_migration_target_ends_at_deadline(self) -> None:
        class SilentRoutes:
            def open(self, request: Request, notify: Callable[[int], None]) -> None: ...

            def close(self, request: Request) -> None: ...

            async def reroute(self, request: Request, reply: object) -> int | None:
                await asyncio.Event().wait()
                raise AssertionError

        class Route:
            attempt_in_flight, shard = False, 0

        async def migrate(attempt: Attempt) -> Outcome:
            attempt.begun = True
            return Outcome(AttemptResult.DATA_MIGRATED)

        self.make_attempt = migrate
        self.scheduler.react = lambda event: (
            [Send(event.request, "a")]
            if isinstance(event, RequestArrived)
            else [Reject(event.request, 0, RejectReason.ROUTE_UNKNOWN)]
            if isinstance(event, DataMigrated)
            else []
        )
        broker = Broker(self.host, self, self.counters, SilentRoutes())  # type: ignore[arg-type]
        request = self.new_request(30_000)
        request.route = Route()

        answer = await broker.serve(request)

        self.assertEqual(answer.kind, AnswerKind.REJECTED)
        self.assertEqual([event.shard for event in self.scheduler.events_of_type(DataMigrated)], [None])
