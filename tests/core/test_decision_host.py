"""When the scheduler decides, who sees it, and what follows when it fails."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from core_case import CoreCase

from lemonridge.core.model import AnswerKind, Attempt, Outcome
from lemonridge.core.stall_detector import CATCH_UP_S
from lemonridge.scheduling.actions import Action, Reject, RejectReason
from lemonridge.scheduling.events import (
    AttemptResult,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    EndpointsChanged,
    EndpointState,
    Event,
    RequestArrived,
)


class Deciding(CoreCase):
    async def test_events_of_one_loop_turn_are_decided_on_together(self) -> None:
        self.scheduler.react = lambda event: (
            [Reject(event.request, 7, RejectReason.OBJECTIVE_MISSED)]
            if isinstance(event, RequestArrived)
            else []
        )

        answers = await asyncio.gather(*(self.broker.serve(self.request()) for _ in range(5)))

        self.assertEqual({(one.kind, one.retry_after_us) for one in answers}, {(AnswerKind.REJECTED, 7)})
        self.assertEqual(len(self.scheduler.batches[0]), 5)

    async def test_after_a_stall_nothing_is_decided_until_missed_events_are_read(self) -> None:
        loop = asyncio.get_running_loop()
        self.host.stall_detector.start()
        self.host.stall_detector._last_heartbeat_s = loop.time() - 1.0  # as after a stop of one second
        began_s = loop.time()

        self.host.deliver(ClientDisconnected("r1"))
        await asyncio.sleep(0)
        self.host.deliver(EndpointsChanged(EndpointListUpdate.DELTA, ()))  # read in the next turn
        while not self.scheduler.batches:
            await asyncio.sleep(0)

        self.assertGreaterEqual(loop.time() - began_s, CATCH_UP_S)
        self.assertEqual(
            [type(event) for event in self.scheduler.batches[0]], [ClientDisconnected, EndpointsChanged]
        )
        self.assertEqual(self.counters["loop.stopped"], 1)

    async def test_the_observer_sees_an_arrival_before_the_scheduler(self) -> None:
        order: list[str] = []

        class Observer:
            def on_request_arrived(self, event: RequestArrived) -> None:
                order.append("observer")

            def __getattr__(self, name: str) -> Callable[..., None]:
                return lambda *_: None

        self.host.observer = Observer()  # type: ignore[assignment]
        self.scheduler.react = lambda event: (
            order.append(type(event).__name__)
            or (
                [Reject(event.request, 0, RejectReason.OBJECTIVE_MISSED)]
                if isinstance(event, RequestArrived)
                else []
            )
        )

        await self.broker.serve(self.request())

        self.assertEqual(order[:2], ["observer", "RequestArrived"])

    async def test_the_processes_of_a_broker_share_the_bound_on_open_requests(self) -> None:
        """Guards against two processes that together hold all connections of the clients."""
        self.host.set_open_requests_max(96)
        self.assertEqual(self.scheduler.open_requests_max, 96)

        self.host.set_processes(2)
        self.assertEqual(self.scheduler.open_requests_max, 48)

        self.host.set_processes(1)
        self.assertEqual(self.scheduler.open_requests_max, 96)

    async def test_an_exception_in_the_scheduler_answers_all_requests_and_restarts_it(self) -> None:
        def fail(_: Event) -> list[Action]:
            raise KeyError("a fault in the scheduler")

        async def serve(attempt: Attempt) -> Outcome:
            return Outcome(AttemptResult.OK, b"x")

        self.make_attempt = serve
        self.host.list_endpoints = lambda: (Endpoint("a", 0, 0, EndpointState.ACTIVE, 0),)
        self.scheduler.react = fail

        answers = await asyncio.gather(*(self.broker.serve(self.request()) for _ in range(3)))
        next_answer = await self.broker.serve(self.request())  # by the real scheduler, with the endpoint list

        self.assertEqual({one.kind for one in answers}, {AnswerKind.FAILED})
        self.assertEqual(next_answer.kind, AnswerKind.SERVED)
        self.assertEqual(self.counters["decisions.failed"], 1)
