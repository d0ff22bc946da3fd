"""Tests that a request leaves memory with its end, not at the next collection of reference cycles."""

from __future__ import annotations

import asyncio
import gc
import logging
import weakref
from collections.abc import Callable

from core_case import BrokerTestCase

from lemonridge.core.errors import DuplicateRequestError
from lemonridge.core.model import Attempt, Outcome, Request
from lemonridge.scheduling.actions import Action, Fail, Reject, RejectReason, Send
from lemonridge.scheduling.events import AttemptResult, Event, RequestArrived


class Payload:
    """Stands for a request's body: tests observe when it is freed."""


class RequestMemoryTest(BrokerTestCase):
    """Runs without the collector of cycles: what is still in memory is held by a reference or a cycle."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        gc.disable()
        self.addCleanup(gc.enable)
        logging.disable(logging.CRITICAL)  # pytest keeps log records, and with them tracebacks
        self.addCleanup(logging.disable, logging.NOTSET)
        self.payloads: list[weakref.ref[Payload]] = []
        self.attempt_may_end = asyncio.Event()

    def new_request(self, deadline_in_us: int = 2_000_000) -> Request:
        request = super().new_request(deadline_in_us)
        request.payload = Payload()
        self.payloads.append(weakref.ref(request.payload))
        return request

    def react_to_arrival_with(self, action: Callable[[str], Action]) -> None:
        """Makes the scheduler decide this for each arriving request."""

        def react(event: Event) -> list[Action]:
            return [action(event.request)] if isinstance(event, RequestArrived) else []

        self.scheduler.react = react

    async def serve_ok(self, attempt: Attempt) -> Outcome:
        attempt.begun = True
        return Outcome(AttemptResult.OK, b"data")

    async def serve_when_allowed(self, attempt: Attempt) -> Outcome:
        attempt.begun = True
        await self.attempt_may_end.wait()
        return Outcome(AttemptResult.OK, b"data")

    async def fail_internally(self, attempt: Attempt) -> Outcome:
        attempt.begun = True
        raise RuntimeError("internal error of the endpoint client")

    async def assert_payloads_are_freed(self) -> None:
        await self.wait_until_all_requests_are_closed()
        self.scheduler.batches.clear()
        self.assertEqual([payload for payload in self.payloads if payload() is not None], [])

    # Guards against a broker that passed its memory limit: each answered request waited for the collector.
    async def test_request_is_freed_with_its_answer(self) -> None:
        self.make_attempt = self.serve_ok
        for _ in range(3):
            await self.broker.serve(self.new_request())
            await self.assert_payloads_are_freed()

    async def test_rejected_or_failed_request_without_attempt_is_freed(self) -> None:
        self.react_to_arrival_with(lambda name: Reject(name, 1, RejectReason.LIMIT_EXCEEDED))
        await self.broker.serve(self.new_request())
        await self.assert_payloads_are_freed()
        self.react_to_arrival_with(lambda name: Fail(name, RejectReason.DEADLINE_EXCEEDED))
        await self.broker.serve(self.new_request())
        await self.assert_payloads_are_freed()

    async def test_request_is_freed_after_its_deadline_and_after_an_internal_error(self) -> None:
        self.make_attempt = self.serve_when_allowed
        self.react_to_arrival_with(lambda name: Send(name, "a"))
        react = self.scheduler.react
        self.scheduler.react = lambda event: (
            react(event)
            if isinstance(event, RequestArrived)
            else [Fail(event.request, RejectReason.DEADLINE_EXCEEDED)]  # type: ignore[attr-defined]
        )
        await self.broker.serve(self.new_request(deadline_in_us=10_000))
        await self.assert_payloads_are_freed()
        self.make_attempt = self.fail_internally
        await self.broker.serve(self.new_request())
        await self.assert_payloads_are_freed()

    async def test_request_is_freed_when_its_client_disconnects(self) -> None:
        self.scheduler.react = lambda event: []  # it waits in the scheduler, without an attempt
        self.broker.disconnect(self.broker.submit(self.new_request(), lambda answer: None))
        await self.assert_payloads_are_freed()
        self.react_to_arrival_with(lambda name: Send(name, "a"))
        self.make_attempt = self.serve_when_allowed
        mailbox = self.broker.submit(self.new_request(), lambda answer: None)
        while mailbox.attempt is None:
            await asyncio.sleep(0)
        self.broker.disconnect(mailbox)
        del mailbox
        self.assertIsNotNone(self.payloads[-1]())  # the attempt is in flight and needs it
        self.attempt_may_end.set()
        await self.assert_payloads_are_freed()

    async def test_request_with_a_duplicate_id_is_freed(self) -> None:
        self.scheduler.react = lambda event: []
        first, second = self.new_request(), self.new_request()
        first.request_id = second.request_id = "0123456789abcdef"
        mailbox = self.broker.submit(first, lambda answer: None)
        with self.assertRaises(DuplicateRequestError):
            self.broker.submit(second, lambda answer: None)
        self.broker.disconnect(mailbox)
        del first, second, mailbox
        await self.assert_payloads_are_freed()
