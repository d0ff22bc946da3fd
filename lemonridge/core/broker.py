"""Runs each request from its arrival to its final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.core.errors import AttemptSuppressedError, ConnectFailedError
from lemonridge.core.model import (
    Answer,
    AnswerKind,
    Attempt,
    Endpoints,
    Outcome,
    ReplyStream,
    Request,
    Routes,
)
from lemonridge.core.open_ids import RETAINED_ID_S, RETAINED_IDS_MAX, OpenIds
from lemonridge.core.request_mailbox import RequestMailbox
from lemonridge.scheduling.actions import Send
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, ClientDisconnected, DataMigrated

log = logging.getLogger(__name__)

# After these results `DataMigrated` is delivered even if the shard is unchanged: after DATA_MIGRATED the
# scheduler waits for that event, and after NOT_SENT it may have chosen the endpoint from an outdated shard.
RESULTS_REQUIRING_SHARD = frozenset((AttemptResult.DATA_MIGRATED, AttemptResult.NOT_SENT))


class Broker:
    """Runs requests: makes the attempts that the scheduler decides on and delivers the final answers.

    Args:
        decision_host: Passes events to the scheduler and returns its decisions.
        endpoints: Makes the attempts.
        counters: Counts requests, attempts (`attempts.OUTCOME`), retries by the outcome of the attempt before
            them (`retries.OUTCOME`) and answers.
        routes: Locates data that can migrate; None if no data can migrate.

    Attributes:
        open_ids: The request ids that are open in any process of this broker.
    """

    def __init__(
        self,
        decision_host: DecisionHost,
        endpoints: Endpoints,
        counters: Counters,
        routes: Routes | None = None,
    ) -> None:
        self._decision_host, self._endpoints = decision_host, endpoints
        self._counters, self._routes = counters, routes
        self._runners: dict[str, asyncio.Task[None]] = {}  # of requests with an attempt, by mailbox name
        self.open_ids = OpenIds()
        self._retained_ids = 0  # open ids of requests that have ended

    def submit(self, request: Request, on_answer: Callable[[Answer], None]) -> RequestMailbox:
        """Accepts a request; its final answer is passed to `on_answer`, unless `disconnect` is called first.

        `on_answer` is called in the event loop iteration in which the answer is decided on. Delivery through
        a future would need further iterations, which delay the answer when the loop is busy.

        Args:
            request: The request to run.
            on_answer: Called with the final answer.

        Returns:
            The mailbox of the request, to be passed to `disconnect`.

        Raises:
            DuplicateRequestError: A request with the same id is open.
        """
        self.open_ids.open(request.request_id)
        mailbox = self._decision_host.open(request)
        if request.reservation is not None:
            request.reservation.hold()
        self._counters["requests.taken"] += 1
        mailbox.on_send = lambda: self._start(mailbox)
        mailbox.on_answer = lambda answer: self._on_answer(mailbox, answer, on_answer)
        if self._routes is not None and request.route is not None:
            self._routes.open(
                request, lambda shard: self._decision_host.deliver(DataMigrated(mailbox.name, shard))
            )
        return mailbox

    def disconnect(self, mailbox: RequestMailbox) -> None:
        """Ends a request whose answer can no longer be delivered, because its client has disconnected.

        Also used when the front has answered the request itself because the process is stopping. Both cases
        are counted as `answers.client_gone`. If an answer has already been decided on, that answer and
        `answers.undelivered` are counted instead. The request's task runs until its last attempt has ended,
        because the endpoint continues to process the attempt.
        """
        mailbox.client_left = True
        if mailbox.set_final_answer(Answer(AnswerKind.CLIENT_GONE)):
            self._decision_host.deliver(ClientDisconnected(mailbox.name))
        else:
            self._counters["answers.undelivered"] += 1
            assert mailbox.answer is not None
            if isinstance(mailbox.answer.reply, ReplyStream):
                mailbox.answer.reply.close()

    async def serve(self, request: Request) -> Answer:
        """Submits a request and returns its final answer; cancelling this call disconnects the request.

        Raises:
            DuplicateRequestError: A request with the same id is open.
        """
        answered: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

        def on_answer(answer: Answer) -> None:
            if not answered.done():
                answered.set_result(answer)

        mailbox = self.submit(request, on_answer)
        try:
            return await answered
        except asyncio.CancelledError:
            self.disconnect(mailbox)
            raise

    def _start(self, mailbox: RequestMailbox) -> None:
        """Starts the request's task when its first attempt is decided on."""
        if mailbox.name not in self._runners:
            self._runners[mailbox.name] = asyncio.create_task(self.run(mailbox))

    def _on_answer(
        self, mailbox: RequestMailbox, answer: Answer, on_answer: Callable[[Answer], None]
    ) -> None:
        """Counts the final answer and passes it to the front, unless the client has disconnected."""
        self._counters[f"answers.{answer.kind.value}"] += 1
        if mailbox.name not in self._runners:  # otherwise its task closes it, after its last attempt
            self._close(mailbox)
        if answer.kind is AnswerKind.CLIENT_GONE:
            return
        try:
            on_answer(answer)
        except Exception:  # must not prevent the remaining decisions, which concern other requests
            log.exception("front failed to deliver an answer", extra={"request": mailbox.name})

    def _close(self, mailbox: RequestMailbox) -> None:
        """Removes a request that has its final answer and no attempt in flight."""
        if self._routes is not None and mailbox.request.route is not None:
            self._routes.close(mailbox.request)
        self._decision_host.close(mailbox)
        mailbox.close()
        self._close_id(mailbox)
        self._runners.pop(mailbox.name, None)
        if mailbox.request.reservation is not None:
            mailbox.request.reservation.release()

    def _close_id(self, mailbox: RequestMailbox) -> None:
        """Closes the id of a request, later if it must not run again.

        A client that has left does not know whether its request has run. If it sends the id again, the
        request would run twice.
        """
        request = mailbox.request
        has_run_unseen = mailbox.client_left and request.forwarded
        if (
            not has_run_unseen
            or self._decision_host.may_repeat(request)
            or self._retained_ids >= RETAINED_IDS_MAX
        ):
            self.open_ids.close(request.request_id)
            return
        self._retained_ids += 1
        asyncio.get_running_loop().call_later(RETAINED_ID_S, self._close_retained_id, request.request_id)

    def _close_retained_id(self, request_id: str) -> None:
        self._retained_ids -= 1
        self.open_ids.close(request_id)

    async def run(self, mailbox: RequestMailbox) -> None:
        """Runs one request: makes each attempt that the scheduler decides on and reports its outcome."""
        request, host = mailbox.request, self._decision_host
        routes = self._routes if request.route is not None else None
        try:
            previous: AttemptResult | None = None
            number = 0  # in step with the scheduler's `Request.attempts_sent`
            while (send := await mailbox.next_send()) is not None:
                sent_us = host.clock.now_us()
                shard_at_send = request.route.shard if request.route is not None else request.shard
                attempt = self._new_attempt(mailbox, number, send)
                if previous is not None:
                    self._counters[f"retries.{previous.name.lower()}"] += 1
                outcome = await self._make_attempt(mailbox, attempt)
                latency_us = host.clock.now_us() - sent_us
                if outcome.result is AttemptResult.OK:
                    if routes is not None:
                        routes.on_served(request)
                    self._answer_served(mailbox, outcome)
                host.deliver(self._attempt_ended(mailbox, attempt, outcome, latency_us))
                if routes is not None and mailbox.answer is None:
                    shard = await self._next_shard(mailbox, routes, outcome)
                    if shard != shard_at_send or outcome.result in RESULTS_REQUIRING_SHARD:
                        host.deliver(DataMigrated(mailbox.name, shard))
                number, previous = number + 1, outcome.result
        except Exception:
            log.exception("request failed: internal error", extra={"request": mailbox.name})
            self._counters["requests.broken"] += 1
        finally:
            if mailbox.set_final_answer(Answer(AnswerKind.FAILED)):
                host.deliver(ClientDisconnected(mailbox.name))
            self._close(mailbox)

    def _new_attempt(self, mailbox: RequestMailbox, number: int, send: Send) -> Attempt:
        """Returns the attempt that the scheduler has decided on."""
        return Attempt(
            mailbox.request,
            number,
            send.endpoint_id,
            may_begin=lambda: self._decision_host.may_begin(mailbox, number),
            decided_at_s=mailbox.decided_at_s,
        )

    @staticmethod
    def _answer_served(mailbox: RequestMailbox, outcome: Outcome) -> None:
        """Sets the endpoint's reply as the final answer; discards it if the request is already answered."""
        served = mailbox.set_final_answer(Answer(AnswerKind.SERVED, outcome.reply))
        if not served and isinstance(outcome.reply, ReplyStream):
            outcome.reply.close()

    @staticmethod
    def _attempt_ended(
        mailbox: RequestMailbox, attempt: Attempt, outcome: Outcome, latency_us: int
    ) -> AttemptEnded:
        """Returns the event that reports the end of an attempt to the scheduler."""
        return AttemptEnded(
            request=mailbox.name,
            attempt=attempt.number,
            endpoint_id=attempt.endpoint_id,
            result=outcome.result,
            latency_us=latency_us,
            finished=mailbox.answer is not None,
            volume_units=outcome.volume_units,
            peer_units=outcome.peer_units,
            endpoint_outstanding=outcome.endpoint_outstanding,
            begun=attempt.begun,
        )

    async def _next_shard(self, mailbox: RequestMailbox, routes: Routes, outcome: Outcome) -> int | None:
        """Returns the shard for the next attempt, as the data may have migrated during the last one.

        After `DATA_MIGRATED` it waits for newer routing information until the request's deadline, and returns
        None if none arrives.
        """
        if outcome.result is not AttemptResult.DATA_MIGRATED:
            return routes.current(mailbox.request)
        try:
            async with asyncio.timeout_at(self._decision_host.clock.loop_time(mailbox.request.deadline_us)):
                return await routes.reroute(mailbox.request, outcome.reply)
        except TimeoutError:
            return None

    async def _make_attempt(self, mailbox: RequestMailbox, attempt: Attempt) -> Outcome:
        """Makes one attempt, which ends at the request's deadline or when it is cancelled.

        No attempt is made for a request that has its final answer: its client may have disconnected since the
        attempt was decided on. An attempt of which no byte was sent cannot have run; any other attempt may
        have run, whatever its result.
        """
        if mailbox.answer is not None:
            return Outcome(AttemptResult.NOT_SENT)
        mailbox.attempt, mailbox.attempt_cancelled = attempt, False
        route = attempt.request.route
        try:
            if route is not None:
                route.attempt_in_flight = True
            deadline_s = self._decision_host.clock.loop_time(mailbox.request.deadline_us)
            async with asyncio.timeout_at(deadline_s) as mailbox.timeout_scope:
                outcome = await self._endpoints.attempt(attempt)
        except TimeoutError:
            if not attempt.begun:  # unlike a failed connect, this does not count against the endpoint
                outcome = Outcome(AttemptResult.NOT_SENT)
            else:
                cancelled = mailbox.attempt_cancelled
                outcome = Outcome(AttemptResult.CANCELLED if cancelled else AttemptResult.TIMEOUT)
        except ConnectFailedError:
            outcome = Outcome(AttemptResult.CONNECT_FAILED)
        except AttemptSuppressedError:
            outcome = Outcome(AttemptResult.NOT_SENT)
        except Exception:
            log.exception(
                "attempt failed: internal error",
                extra={"request": mailbox.name, "endpoint": attempt.endpoint_id},
            )
            outcome = Outcome(AttemptResult.RESET if attempt.begun else AttemptResult.CONNECT_FAILED)
        finally:
            mailbox.timeout_scope = mailbox.attempt = None
            if route is not None:
                route.attempt_in_flight = False
        self._counters["attempts.sent"] += attempt.begun
        self._counters[f"attempts.{outcome.result.name.lower()}"] += 1
        return outcome
