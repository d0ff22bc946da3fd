"""The platform's nodes: one attempt over HTTP/1.1, one outcome."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ClientRequest, ConnectionKey
from aiohttp.connector import Connection
from aiohttp.tracing import Trace
from yarl import URL

from lemonridge.config.platform import PlatformConfig
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import AttemptSuppressedError, ConnectFailedError, LocalFailureError
from lemonridge.core.model import Attempt, Outcome
from lemonridge.net.http_response import AnswerReader, LongAnswer, gather
from lemonridge.net.sockets import LOCAL_ERRORS, Payload, has_no_unread_data, session
from lemonridge.scheduling.events import AttemptResult

BUFFER = 16 * 1024  # of an answer, half of what is held before its connection is read no more
REST_S = 0.01  # of a connection after an answer: a second one, milliseconds late, must be seen first
LATE_S = 0.25  # past the longest connect: what was decided longer ago is not sent, where stops are minded
HOLD_UP_US = 150_000  # a process may be held up for so long between its clock and a write (STANDING)
RETIRE = 0.9  # of the time after which a node closes an idle connection: a later request is a reset
RETIRE_SPARE_S = 0.2  # at least that much before: the process may be held up before it writes


def kept_idle_s(keepalive_us: int) -> float:
    """How long an idle connection is used, in seconds, where nodes close it after `keepalive_us`."""
    keepalive_s = keepalive_us / 1e6
    return max(keepalive_s / 2, min(keepalive_s * RETIRE, keepalive_s - RETIRE_SPARE_S))


class _Connector(aiohttp.TCPConnector):
    """Connections to nodes: the latest used is reused first, and a connect has a deadline of its own."""

    def __init__(self, connect_us: int, keepalive_us: int, counters: Counters) -> None:
        super().__init__(
            limit=0,
            limit_per_host=0,
            keepalive_timeout=kept_idle_s(keepalive_us),
            happy_eyeballs_delay=None,
            use_dns_cache=False,
        )
        self._connect_us, self._counters = connect_us, counters
        self._factory = functools.partial(AnswerReader, loop=self._loop)  # type: ignore[assignment]

    @property
    def connect_s(self) -> float:
        """How long a connect may take."""
        return self._connect_us / 1e6

    def configure(self, connect_us: int, keepalive_us: int) -> None:
        self._connect_us, self._keepalive_timeout = connect_us, kept_idle_s(keepalive_us)

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        try:
            async with asyncio.timeout_at(self._loop.time() + self._connect_us / 1e6):
                return await super().connect(req, traces, timeout)
        except TimeoutError:
            raise ConnectFailedError from None

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        self._counters["connections.opened"] += 1
        return await super()._create_connection(req, traces, timeout)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """An idle connection that has had its rest, on which nothing came and which has not ended.

        A rest is shorter than the making of a connection. What came is asked of the system, since the
        event loop may not have read it yet.
        """
        if idle := self._conns.get(key):
            rested = next((one for one in idle if self._rest_s(one[0]) <= 0), idle[0])
            idle.remove(rested)
            idle.appendleft(rested)
        while (connection := await super()._get(key, traces)) is not None:
            protocol = connection.protocol
            try:
                if (rest_s := self._rest_s(protocol)) > 0:
                    await asyncio.sleep(rest_s)
            except BaseException:
                connection.close()
                raise
            transport = None if protocol is None or protocol.should_close else protocol.transport
            if transport is not None and has_no_unread_data(transport):
                return connection
            self._counters["connections.spoilt"] += 1
            connection.close()
        return None

    def _rest_s(self, protocol: ResponseHandler | None) -> float:
        return protocol.rested_at - self._loop.time() if isinstance(protocol, AnswerReader) else 0.0

    def _release(self, key: ConnectionKey, protocol: ResponseHandler, *, should_close: bool = False) -> None:
        """Aiohttp takes from the left and gives back on the right, so that every connection stays in
        use; given back on the left, the ones that are not needed grow old and are closed.
        """
        if isinstance(protocol, AnswerReader):
            protocol.rested_at = self._loop.time() + REST_S
        super()._release(key, protocol, should_close=should_close)
        idle = self._conns.get(key)
        if idle and idle[-1][0] is protocol:
            idle.rotate(1)


class HttpEndpoints:
    """Makes attempts at the platform's nodes."""

    def __init__(
        self, directory: EndpointRegistry, clock: Clock, platform: PlatformConfig, counters: Counters
    ) -> None:
        self._directory, self._clock, self._held_field = directory, clock, platform.held_field
        self._loop = asyncio.get_running_loop()
        self.epoch: Callable[[float], str | None] | None = None  # of what was decided then; None: it is over
        self.expires_decisions = (
            False  # what was decided before a stop is not sent after it: its slices are over
        )
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._before_head)
        trace.on_request_chunk_sent.append(self._before_body)
        self._connector = _Connector(platform.connect_us, platform.keepalive_us, counters)
        self._session = session(self._connector, trace_configs=[trace], read_bufsize=BUFFER)

    def configure(self, platform: PlatformConfig) -> None:
        """New settings, for the connects, the reuses and the answers to come."""
        self._connector.configure(platform.connect_us, platform.keepalive_us)
        self._held_field = platform.held_field

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Send the request once and read the answer."""
        payload = attempt.request.payload
        assert isinstance(payload, Payload)
        address = self._directory.address(attempt.endpoint_id)
        if address is None:
            raise AttemptSuppressedError
        headers = dict(payload.headers)
        if self.epoch is not None:
            epoch = self.epoch(attempt.decided_s)
            if epoch is None:
                raise AttemptSuppressedError
            headers["X-Policy-Epoch"] = epoch
        try:
            response = await self._session.request(
                payload.method,
                URL(f"http://{address}{payload.target}", encoded=True),
                headers=headers,
                data=payload.body or None,
                allow_redirects=False,
                trace_request_ctx=(attempt, address),
            )
            outcome: Outcome | None = None
            try:
                outcome = await self._outcome(response)
            finally:
                if outcome is None:
                    response.close()
                elif not isinstance(outcome.reply, LongAnswer):
                    response.release()
            return outcome
        except aiohttp.ClientConnectorError as error:
            raise (
                LocalFailureError if error.os_error.errno in LOCAL_ERRORS else ConnectFailedError
            ) from None
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(
                error.__cause__, AttemptSuppressedError
            ):  # before a body: aiohttp reports an error of its own
                raise AttemptSuppressedError from None
            if not attempt.begun:
                raise ConnectFailedError from None
            return Outcome(AttemptResult.RESET)

    async def close(self) -> None:
        await self._session.close()

    async def _before_head(
        self, _: aiohttp.ClientSession, context: SimpleNamespace, sent: aiohttp.TraceRequestHeadersSentParams
    ) -> None:
        """Aiohttp calls this once it has a connection and before it forms the head.

        The time that is left is told as of now. A head alone is written in this step; before a body it waits
        for a turn of the loop, to leave together with it.
        """
        attempt, address = context.trace_request_ctx
        if attempt.request.payload.body:
            self._check(attempt, address)
        else:
            self._begin(attempt, address)
        left_us = attempt.request.deadline_us - self._clock.now_us()
        sent.headers["X-Deadline-Ms"] = str(told_deadline_ms(left_us))

    async def _before_body(
        self, _: aiohttp.ClientSession, context: SimpleNamespace, __: aiohttp.TraceRequestChunkSentParams
    ) -> None:
        """Aiohttp calls this in the step in which it writes the head and the body."""
        attempt, address = context.trace_request_ctx
        self._begin(attempt, address)

    def _check(self, attempt: Attempt, address: str) -> None:
        """Raise `AttemptSuppressedError` where a change of the list during the connect, or a stop of the
        process, has overtaken the decision.
        """
        if self._directory.address(attempt.endpoint_id) != address:  # it drains, is gone, or is elsewhere
            raise AttemptSuppressedError
        if (
            self.expires_decisions
            and self._loop.time() > attempt.decided_s + self._connector.connect_s + LATE_S
        ):
            raise AttemptSuppressedError

    def _begin(self, attempt: Attempt, address: str) -> None:
        """Begin in the step that writes the first byte, or raise `AttemptSuppressedError`."""
        self._check(attempt, address)
        attempt.begin()

    async def _outcome(self, response: aiohttp.ClientResponse) -> Outcome:
        reply = await gather(response)
        if isinstance(reply, LongAnswer) and response.status != 200:
            reply.close()
            return Outcome(AttemptResult.ERROR)
        headers = response.headers
        told: dict[str, Any] = {
            "volume_units": _whole(headers.get("X-Iops-Used"), 1),
            "peer_units": _number(headers.get("X-Rho")),
            "endpoint_outstanding": _load(headers.get("X-Load")).get(self._held_field),
        }
        if response.status == 200:
            return Outcome(AttemptResult.OK, reply, **told)
        if response.status in (503, 504) and headers.get("X-Not-Run") == "1":
            return Outcome(AttemptResult.QUEUE_FULL, **told)
        return Outcome(AttemptResult.ERROR, **told)


def told_deadline_ms(left_us: int) -> int:
    """What an attempt tells its node of the time that is left, in milliseconds (STANDING: at most what is
    left to the client, with 0.15 s of slack).

    The process may have been held up for 0.15 s before it read the request, and may be again between this and
    the write. Of less than 0.15 s, all is told: it is inside the slack, whatever has passed.
    """
    return max(1, min(left_us, max(HOLD_UP_US, left_us - HOLD_UP_US)) // 1000)


def _number(text: str | None) -> float | None:
    """A number that a node told, or None: what cannot be read is not told."""
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < 1e12 else None


def _whole(text: str | None, more: int) -> int | None:
    value = _number(text)
    return None if value is None else int(value) + more


def _load(text: str | None) -> dict[str, float]:
    """A load report, `inflight=7,queue=2`, with the fields that the settings name."""
    report: dict[str, float] = {}
    for part in (text or "").split(","):
        name, _, figure = part.partition("=")
        value = _number(figure)
        if value is not None:
            report[name.strip()] = value
    return report
