"""One request from its arrival to its answer: attempts, disconnects and migrations of its data."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from core_case import CoreCase

from lemonridge.core.broker import Broker
from lemonridge.core.errors import ConnectFailedError
from lemonridge.core.model import AnswerKind, Attempt, Outcome, Request
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


class Attempts(CoreCase):
    async def test_an_answer_is_given_at_once_while_an_attempt_is_in_flight(self) -> None:
        may_end = asyncio.Event()

        async def end_late(attempt: Attempt) -> Outcome:
            attempt.begun = True
            self.host.deliver(TimerFired())  # on which the scheduler fails the request
            await may_end.wait()
            return Outcome(AttemptResult.OK, b"late")

        self.make_attempt = end_late
        send_at_arrival = self.scheduler.react
        fail = Fail("r1", RejectReason.DEADLINE_EXCEEDED)
        self.scheduler.react = lambda event: (
            [fail] if isinstance(event, TimerFired) else send_at_arrival(event)
        )

        answer = await self.broker.serve(self.request())

        self.assertEqual(answer.kind, AnswerKind.FAILED)
        self.assertEqual(self.scheduler.of(AttemptEnded), [])

        may_end.set()
        await self.until_all_requests_are_closed()

        ended = self.scheduler.of(AttemptEnded)
        self.assertEqual([(one.result, one.finished) for one in ended], [(AttemptResult.OK, True)])

    async def test_each_end_of_an_attempt_has_its_result(self) -> None:
        case: dict[str, bool] = {}

        async def hang(attempt: Attempt) -> Outcome:
            attempt.begun = case["reaches"]
            if case["cancels"]:
                self.host.deliver(TimerFired())
            await asyncio.Event().wait()
            raise AssertionError

        async def broken(attempt: Attempt) -> Outcome:
            attempt.begun = case["reaches"]
            raise RuntimeError("a fault in the endpoints' side")

        async def unreached(attempt: Attempt) -> Outcome:
            raise ConnectFailedError

        send_at_arrival = self.scheduler.react
        for make_attempt, reaches, cancels, result in (
            (hang, True, False, AttemptResult.TIMEOUT),
            (hang, False, False, AttemptResult.NOT_SENT),
            (hang, True, True, AttemptResult.CANCELLED),
            (hang, False, True, AttemptResult.NOT_SENT),
            (broken, True, False, AttemptResult.RESET),
            (broken, False, False, AttemptResult.CONNECT_FAILED),
            (unreached, False, False, AttemptResult.CONNECT_FAILED),
        ):
            with self.subTest(result=result, make_attempt=make_attempt.__name__):
                self.make_attempt, name = make_attempt, f"r{self.host._requests_received + 1}"
                case.update(reaches=reaches, cancels=cancels)

                def react(event: Event, name: str = name) -> list[Action]:
                    if isinstance(event, AttemptEnded):
                        return [Fail(event.request, RejectReason.ATTEMPTS_EXHAUSTED)]
                    return [Cancel(name, 0)] if isinstance(event, TimerFired) else send_at_arrival(event)

                self.scheduler.react = react

                answer = await self.broker.serve(self.request(30_000))
                await self.until_all_requests_are_closed()

                self.assertEqual(answer.kind, AnswerKind.FAILED)
                ends = [one.result for one in self.scheduler.of(AttemptEnded) if one.request == name]
                self.assertEqual(ends, [result])

    async def test_an_attempt_begins_only_if_the_scheduler_allows_it_at_its_first_byte(self) -> None:
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
        for allows, kind, result in (
            (True, AnswerKind.SERVED, AttemptResult.OK),
            (False, AnswerKind.FAILED, AttemptResult.NOT_SENT),
        ):
            self.scheduler.allows = allows

            answer = await self.broker.serve(self.request())
            await self.until_all_requests_are_closed()

            self.assertEqual(answer.kind, kind)
            ended = self.scheduler.of(AttemptEnded)[-1]
            assert isinstance(ended, AttemptEnded)
            self.assertEqual((begun.pop(), ended.result, ended.begun), (allows, result, allows))


class Disconnects(CoreCase):
    async def test_a_disconnect_during_the_connect_ends_it_and_no_attempt_begins(self) -> None:
        connecting, connected = asyncio.Event(), []

        async def connect(attempt: Attempt) -> Outcome:
            connecting.set()
            await asyncio.Event().wait()  # for ever
            connected.append(attempt)
            raise AssertionError

        self.make_attempt = connect
        serving = asyncio.create_task(self.broker.serve(self.request()))
        await connecting.wait()

        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        await self.until_all_requests_are_closed()

        ended = [one for one in self.scheduler.of(AttemptEnded) if isinstance(one, AttemptEnded)]
        self.assertEqual([(one.result, one.begun) for one in ended], [(AttemptResult.NOT_SENT, False)])
        self.assertEqual(connected, [])

    async def test_no_attempt_is_made_for_a_client_that_disconnected_after_the_decision(self) -> None:
        attempts: list[Attempt] = []

        async def make_attempt(attempt: Attempt) -> Outcome:
            attempts.append(attempt)
            return Outcome(AttemptResult.OK, b"")

        def disconnect_and_send(event: Event) -> list[Action]:
            if not isinstance(event, TimerFired):
                return []
            serving.cancel()  # in the same turn of the loop as the decision to send
            return [Send("r1", "a")]

        self.make_attempt, self.scheduler.react = make_attempt, disconnect_and_send
        serving = asyncio.create_task(self.broker.serve(self.request()))
        while not self.scheduler.of(RequestArrived):
            await asyncio.sleep(0)
        await asyncio.sleep(0)  # its task waits for a decision

        self.host.deliver(TimerFired())
        await asyncio.gather(serving, return_exceptions=True)
        await self.until_all_requests_are_closed()

        self.assertEqual([one.result for one in self.scheduler.of(AttemptEnded)], [AttemptResult.NOT_SENT])
        self.assertEqual(attempts, [])

    async def test_an_answer_whose_client_leaves_before_it_is_given_is_counted(self) -> None:
        """Guards against requests that are taken and stand in no counter of the answers."""
        decided = asyncio.Event()

        def react(_: Event) -> list[Action]:
            decided.set()
            return [Reject("r1", 0, RejectReason.DEADLINE_EXCEEDED)]

        self.scheduler.react = react
        serving = asyncio.create_task(self.broker.serve(self.request()))
        await decided.wait()
        serving.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await serving
        await self.until_all_requests_are_closed()

        self.assertEqual(
            {name: count for name, count in self.counters.items() if name.startswith("answers.")},
            {"answers.rejected": 1, "answers.undelivered": 1},
        )

    async def test_a_disconnect_is_reported_once_and_its_attempt_ends_once(self) -> None:
        may_end = asyncio.Event()

        async def end_late(attempt: Attempt) -> Outcome:
            attempt.begun = True
            await may_end.wait()
            return Outcome(AttemptResult.OK)

        self.make_attempt = end_late
        serving = asyncio.create_task(self.broker.serve(self.request()))
        while not self.scheduler.of(RequestArrived):
            await asyncio.sleep(0)

        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        may_end.set()
        await self.until_all_requests_are_closed()

        self.assertEqual(
            (len(self.scheduler.of(ClientDisconnected)), len(self.scheduler.of(AttemptEnded))), (1, 1)
        )


class Migrations(CoreCase):
    async def serve_migrating(self, shards: list[int | None]) -> tuple[AnswerKind, list[Event]]:
        """Serves a request whose data migrates at each attempt but the last, to these shards in turn.

        Returns the kind of its answer and the ends of its attempts.
        """
        test = self

        class Route:
            attempt_in_flight, shard = False, 0

        class Routes:
            def open(self, request: Request, notify: Callable[[int], None]) -> None:
                test.notify = notify

            def close(self, request: Request) -> None:
                test.closed = True

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
        request = self.request()
        request.route = route

        answer = await broker.serve(request)
        await self.until_all_requests_are_closed()
        self.assertTrue(self.was_in_flight and self.closed and not route.attempt_in_flight)
        return answer.kind, self.scheduler.of(AttemptEnded)

    async def test_a_request_whose_data_migrated_goes_on_as_one_request(self) -> None:
        kind, ended = await self.serve_migrating([1, 2])

        self.assertEqual(kind, AnswerKind.SERVED)
        self.assertEqual(
            [(one.request, one.attempt, one.endpoint_id, one.result.name) for one in ended],
            [("r1", 0, "n0", "DATA_MIGRATED"), ("r1", 1, "n1", "DATA_MIGRATED"), ("r1", 2, "n2", "OK")],
        )

    async def test_a_migration_to_an_unknown_shard_is_rejected_by_the_scheduler(self) -> None:
        kind, ended = await self.serve_migrating([None])

        self.assertEqual((kind, len(ended)), (AnswerKind.REJECTED, 1))

    async def test_the_wait_for_the_target_of_a_migration_ends_at_the_deadline(self) -> None:
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
        request = self.request(30_000)
        request.route = Route()

        answer = await broker.serve(request)

        self.assertEqual(answer.kind, AnswerKind.REJECTED)
        self.assertEqual([one.shard for one in self.scheduler.of(DataMigrated)], [None])
