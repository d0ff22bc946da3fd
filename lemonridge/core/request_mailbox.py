"""Passes the scheduler's decisions for one request to the task that runs the request."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from lemonridge.core.model import Answer, AnswerKind, Attempt, Request
from lemonridge.scheduling.actions import Cancel, Fail, Reject, Send


def _ignore_send() -> None:
    """Does nothing when an attempt is decided on."""


def _ignore_answer(_: Answer) -> None:
    """Does nothing with the final answer."""


class RequestMailbox:
    """Holds the pending decisions for one request, its attempt in flight and its final answer.

    `DecisionHost` delivers decisions; `Broker.run` receives them and records the attempt in flight, so that a
    decision can cancel it.

    Attributes:
        name: The scheduler's name for the request.
        request: The request.
        answer: The final answer; None until it is decided on.
        on_send: Called whenever an attempt is decided on.
        on_answer: Called with the final answer, in the event loop iteration in which it is decided on.
        attempt: The attempt in flight, if any.
        timeout_scope: The timeout of the attempt in flight; rescheduled to cancel the attempt.
        attempt_cancelled: Whether the attempt in flight was cancelled before the request's deadline.
        client_left: Whether the client disconnected before it had the answer.
        decided_at_s: When the last attempt was decided on, in seconds of the event loop's clock.
    """

    def __init__(self, name: str, request: Request) -> None:
        self.name, self.request = name, request
        self.answer: Answer | None = None
        self.on_send: Callable[[], None] = _ignore_send
        self.on_answer: Callable[[Answer], None] = _ignore_answer
        self.attempt: Attempt | None = None
        self.timeout_scope: asyncio.Timeout | None = None
        self.attempt_cancelled = self.client_left = False
        self.decided_at_s = 0.0
        self._sends: deque[Send] = deque()
        self._waiter: asyncio.Future[None] | None = None

    def set_final_answer(self, answer: Answer) -> bool:
        """Sets the final answer and delivers it; returns False if the request already has one.

        An attempt that has not written its first byte is cancelled. An attempt that has begun continues,
        because the endpoint continues to process it.
        """
        if self.answer is not None:
            return False
        self.answer = answer
        if self.attempt is not None and not self.attempt.begun:
            self._cancel_attempt()
        self._notify_runner()
        self.on_answer(answer)
        return True

    def close(self) -> None:
        """Drops the callbacks, which refer to this mailbox.

        Otherwise the request, with its body, would stay in memory until the next collection of reference
        cycles, which is triggered by a number of objects and not by their size.
        """
        self.on_send = _ignore_send
        self.on_answer = _ignore_answer

    def deliver(self, action: Send | Cancel | Reject | Fail) -> None:
        """Accepts a decision; a final answer is delivered at once, even while an attempt is in flight."""
        match action:
            case Send():
                self._sends.append(action)
                self.decided_at_s = asyncio.get_running_loop().time()
                self._notify_runner()
                self.on_send()
            case Cancel():
                if self.attempt is not None and action.attempt == self.attempt.number:
                    self._cancel_attempt()
            case Reject():
                self.set_final_answer(Answer(AnswerKind.REJECTED, retry_after_us=action.backoff_us))
            case Fail():
                self.set_final_answer(Answer(AnswerKind.FAILED))

    async def next_send(self) -> Send | None:
        """Waits for the next attempt to make; returns None once the request has its final answer."""
        while not self._sends:
            if self.answer is not None:
                return None
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._sends.popleft()

    def _cancel_attempt(self) -> None:
        """Cancels the attempt in flight, by moving its timeout to now."""
        if self.timeout_scope is not None and not self.timeout_scope.expired():
            self.attempt_cancelled = True
            self.timeout_scope.reschedule(asyncio.get_running_loop().time())

    def _notify_runner(self) -> None:
        """Wakes the request's task if it waits in `next_send`."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
