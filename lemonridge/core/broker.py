"""The life of a request, from its arrival to its one final answer."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost, RequestMailbox
from lemonridge.core.model import (
    Answer,
    AnswerKind,
    Attempt,
    AttemptSuppressedError,
    ConnectFailedError,
    Endpoints,
    Outcome,
    ReplyStream,
    Request,
    Routes,
)
from lemonridge.core.open_ids import OpenIds
from lemonridge.scheduling.events import AttemptEnded, AttemptResult, ClientDisconnected, DataMigrated

log = logging.getLogger(__name__)

# After these the module must hear where the data is: it waits for that, or sent where it was before.
PLACED = frozenset((AttemptResult.DATA_MIGRATED, AttemptResult.NOT_SENT))


class Broker:
    """Carries requests: the decider says what to do, the nodes' side does it."""

    def __init__(
        self, decider: DecisionHost, endpoints: Endpoints, counters: Counters, routes: Routes | None = None
    ) -> None:
        self._decider, self._endpoints, self._counters, self._routes = decider, endpoints, counters, routes
        self._lives: set[asyncio.Task[None]] = set()
        self.open_ids = OpenIds()

    async def serve(self, request: Request) -> Answer:
        """The final answer to a request; to cancel this tells that the client has gone.

        The life goes on behind it until its last attempt has ended, as the node works on too.
        `DuplicateError` where a request with its id is open.
        """
        self.open_ids.open(request.ident)
        mailbox = self._decider.open(request)
        life = asyncio.create_task(self.carry(mailbox))
        self._lives.add(life)
        life.add_done_callback(self._lives.discard)
        try:
            answer = await asyncio.shield(mailbox.answer)
        except asyncio.CancelledError:
            if mailbox.settle(Answer(AnswerKind.GONE)):
                self._decider.deliver(ClientDisconnected(mailbox.name))
                self._counters["answers.gone"] += 1
            elif isinstance(reply := mailbox.answer.result().reply, ReplyStream):
                reply.close()
            raise
        self._counters[f"answers.{answer.kind.value}"] += 1
        return answer

    async def carry(self, mailbox: RequestMailbox) -> None:
        """One request's life: send where the module says, report each end, until it is over."""
        number, request = 0, mailbox.request
        routes = self._routes if request.route is not None else None
        try:
            self._counters["requests.taken"] += 1
            if routes is not None:
                routes.open(request, lambda shard: self._decider.deliver(DataMigrated(mailbox.name, shard)))
            while (order := await mailbox.next_send()) is not None:
                sent_us = self._decider.clock.now_us()
                relied = request.route.shard if request.route is not None else request.shard
                attempt = Attempt(
                    request,
                    number,
                    order.endpoint_id,
                    self._judge(mailbox, number),
                    decided_s=mailbox.decided_s,
                )
                outcome = await self._attempt(mailbox, attempt)
                lag_us = self._decider.clock.now_us() - sent_us
                if outcome.result is AttemptResult.OK:
                    served = mailbox.settle(Answer(AnswerKind.SERVED, outcome.reply))
                    if not served and isinstance(outcome.reply, ReplyStream):
                        outcome.reply.close()
                self._decider.deliver(
                    AttemptEnded(
                        mailbox.name,
                        number,
                        order.endpoint_id,
                        outcome.result,
                        lag_us,
                        mailbox.answer.done(),
                        outcome.used,
                        outcome.elsewhere,
                        outcome.held,
                        attempt.begun,
                    )
                )
                if routes is not None and not mailbox.answer.done():
                    shard = await self._route(mailbox, routes, outcome)
                    if shard != relied or outcome.result in PLACED:
                        self._decider.deliver(DataMigrated(mailbox.name, shard))
                number += 1
        except Exception:
            log.exception("request failed")
            self._counters["requests.broken"] += 1
        finally:
            if mailbox.settle(Answer(AnswerKind.FAILED)):
                self._decider.deliver(ClientDisconnected(mailbox.name))
            if routes is not None:
                routes.close(request)
            self._decider.close(mailbox)
            self.open_ids.end(request.ident)

    async def _route(self, mailbox: RequestMailbox, routes: Routes, outcome: Outcome) -> int | None:
        """Where the request goes on, if it does: asked after each attempt, since the map may have moved on
        meanwhile. The wait for news of a move ends with the request's deadline.
        """
        if outcome.result is not AttemptResult.DATA_MIGRATED:
            return routes.current(mailbox.request)
        try:
            async with asyncio.timeout_at(self._decider.clock.loop_time(mailbox.request.deadline_us)):
                return await routes.reroute(mailbox.request, outcome.reply)
        except TimeoutError:
            return None

    def _judge(self, mailbox: RequestMailbox, number: int) -> Callable[[], bool]:
        return lambda: self._decider.begins(mailbox, number)

    async def _attempt(self, mailbox: RequestMailbox, attempt: Attempt) -> Outcome:
        """One attempt, until the request's deadline or until it is called off.

        What never came to the node cannot have run; what did may have, whatever cut it short. None begins for
        a request that is over: its client may have left since it was decided on.
        """
        if mailbox.answer.done():
            return Outcome(AttemptResult.NOT_SENT)
        mailbox.attempt, mailbox.cancelled = attempt, False
        route = attempt.request.route
        try:
            if route is not None:
                route.flying = True
            at = self._decider.clock.loop_time(mailbox.request.deadline_us)
            async with asyncio.timeout_at(at) as mailbox.scope:
                outcome = await self._endpoints.attempt(attempt)
        except TimeoutError:
            if not attempt.begun:  # its time ran out here: only a connect that fails tells of the node
                outcome = Outcome(AttemptResult.NOT_SENT)
            else:
                outcome = Outcome(AttemptResult.CANCELLED if mailbox.cancelled else AttemptResult.TIMEOUT)
        except ConnectFailedError:
            outcome = Outcome(AttemptResult.CONNECT_FAILED)
        except AttemptSuppressedError:
            outcome = Outcome(AttemptResult.NOT_SENT)
        except Exception:
            log.exception("attempt failed")
            outcome = Outcome(AttemptResult.RESET if attempt.begun else AttemptResult.CONNECT_FAILED)
        finally:
            mailbox.scope = mailbox.attempt = None
            if route is not None:
                route.flying = False
        self._counters["attempts.sent"] += attempt.begun
        self._counters[f"attempts.{outcome.result.name.lower()}"] += 1
        return outcome
