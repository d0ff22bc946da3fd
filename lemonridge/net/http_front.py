"""The platform's front: takes HTTP/1.1 requests and gives one response to each."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

from lemonridge.config.address import Address
from lemonridge.config.platform import PlatformConfig
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import DuplicateRequestError
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.net.connection_table import ConnectionTable
from lemonridge.net.errors import ConnectionBrokenError, MessageRejectedError
from lemonridge.net.http_connection import Connection
from lemonridge.net.http_request import RequestParser
from lemonridge.net.http_response import StreamedResponse
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle

log = logging.getLogger(__name__)

CLOSE_CHECK_INTERVAL_S = 0.005  # between two looks at connections that are to end


class HttpFront:
    """Serves the platform's clients.

    Counters: `requests.bad` (malformed), `requests.stopping` (taken while the process stops), `answers.cut`
    (streamed responses that their endpoint did not complete), `answers.undelivered` (decided on, but the
    client had disconnected before they were written; `Broker` counts those that it notices).
    """

    def __init__(
        self,
        platform: PlatformConfig,
        broker: Broker,
        registry: EndpointRegistry,
        clock: Clock,
        counters: Counters,
        lifecycle: Lifecycle,
    ) -> None:
        self._broker, self._registry = broker, registry
        self._clock, self._counters, self._lifecycle = clock, counters, lifecycle
        self._table = ConnectionTable(clock, counters, lifecycle)
        # Whether the policy in force is known; replaced where the fleet decides on one.
        self.has_lease: Callable[[], bool] = lambda: True
        self.configure(platform)
        self.listener: Listener  # from `bind` on
        self._connections: dict[object, Connection] = {}  # by aiohttp's handler
        self._arrivals_us: dict[asyncio.Timeout, int] = {}  # of the open requests, by the scope of their end
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            tcp_keepalive=False,
            logger=log,
        )

    def configure(self, platform: PlatformConfig) -> None:
        """Apply this configuration from here on."""
        self._parser = RequestParser(platform)
        self._lifecycle.configure(max(cls.deadline_us for cls in platform.settings.classes))
        self._table.configure(platform.sockets, platform.memory_bytes // 8)

    def bind(self, address: Address, inherited_fd: int | None = None) -> None:
        """Get the listening socket; nothing is accepted from it yet.

        Args:
            address: where a new one listens.
            inherited_fd: the descriptor of one that this process inherited, in place of a new one.

        Raises:
            OSError: it cannot be had.
        """
        self.listener = Listener(
            listening_socket(address, inherited_fd),
            lambda: Connection(self._table, self._server, self._connections),
            self._counters,
        )

    async def listen(self) -> None:
        """Accept connections from here on."""
        if not self.listener.listens:
            self.listener.listen()
            log.info("listening", extra={"address": self.listener.address})

    async def stop(self) -> None:
        """Serve on for as long as a new request can be answered before SIGKILL, then close.

        Clients keep using open connections and have no other broker to go to. So the broker keeps serving;
        near the end each response has `Connection: close`, then it accepts nothing more and closes idle
        connections. A connection that is accepted meanwhile is closed after its first response.
        """
        self._lifecycle.stop(self._clock.now_us())
        self.changed()
        loop = asyncio.get_running_loop()
        await asyncio.sleep((self._lifecycle.accept_until_us - self._clock.now_us()) / 1e6)
        until_s = self._clock.loop_time(self._lifecycle.request_complete_by_us)
        await self.listener.accept_pending(until_s)
        self.listener.close()
        while self.listener.accepting or self._table.close_waiting(patient=loop.time() < until_s):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)

    def changed(self) -> None:
        """Apply a change of the lifecycle's state at once."""
        for scope, arrived_us in self._arrivals_us.items():
            if not scope.expired():
                scope.reschedule(self._answer_by_s(arrived_us))
        self._table.changed()

    def _answer_by_s(self, arrived_us: int) -> float | None:
        """When a request's answer is due for the end of the process, on the loop's clock; None: never."""
        answer_by_us = self._lifecycle.answer_by_us(arrived_us)
        return None if answer_by_us == NEVER_US else self._clock.loop_time(answer_by_us)

    @property
    def busy(self) -> bool:
        """Whether a response is still on its way."""
        return self._table.busy

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Serve one request of a connection, until its response is written."""
        connection, keep = self._connections[http.protocol], False
        answer: web.Response | StreamedResponse | None = None
        try:
            answer = await self._answer(http, connection)
            response = _streaming(answer) if isinstance(answer, StreamedResponse) else answer
            if (
                connection.accepted_late
                or not self._lifecycle.allows_keep_alive(self._clock.now_us())
                or 400 <= response.status < 500
            ):
                response.force_close()
            await response.prepare(http)
            if not isinstance(answer, web.Response):
                async for part in answer.parts():
                    await response.write(part)
            await response.write_eof()
            keep = bool(response.keep_alive)
            return response
        except ConnectionBrokenError as error:
            log.info("response cut short, connection aborted", extra={"reason": str(error)})
            self._counters["answers.cut"] += 1
            connection.abort()  # the client sees that its length or its last chunk is missing
            return response
        except ConnectionResetError:
            self._counters["answers.undelivered"] += 1
            return response
        finally:
            if isinstance(answer, StreamedResponse):
                answer.close()
            connection.answered(keep)

    async def _answer(self, http: web.BaseRequest, connection: Connection) -> web.Response | StreamedResponse:
        arrived_us = connection.arrived_us
        if http.path.startswith("/-/"):
            return self._ready(http)
        try:
            request = self._parser.parse(http, connection.body, arrived_us, connection.client_has_left)
            if self._lifecycle.accept_until_us != NEVER_US:
                self._counters["requests.stopping"] += 1
            return _response(await self._serve(request, arrived_us))
        except MessageRejectedError as error:
            self._counters["requests.bad"] += 1
            return web.Response(status=error.status, text=f"{error}\n")
        except DuplicateRequestError:
            self._counters["requests.bad"] += 1
            return web.Response(status=409, text="a request with this X-Request-Id is open\n")
        except Exception:
            log.exception("request failed")
            return web.Response(status=500)

    async def _serve(self, request: Request, arrived_us: int) -> Answer:
        """The broker's answer, or one at the moment by which the end of the process needs all answers.

        That moment is not the request's deadline: the scheduler would take a nearer deadline for a client
        that has waited for long already.
        """
        try:
            async with asyncio.timeout_at(self._answer_by_s(arrived_us)) as scope:
                self._arrivals_us[scope] = arrived_us
                try:
                    return await self._broker.serve(request)
                finally:
                    del self._arrivals_us[scope]
        except TimeoutError:
            return Answer(AnswerKind.FAILED if request.forwarded else AnswerKind.REJECTED)

    def _ready(self, http: web.BaseRequest) -> web.Response:
        if http.method != "GET" or http.path != "/-/ready":
            return web.Response(status=404)
        up = self._registry.has_list and self._lifecycle.ready and self.has_lease()
        return web.Response(status=200 if up else 503)


def _make_request(
    message: RawRequestMessage, payload: StreamReader, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    return web.BaseRequest(
        message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=0
    )


def _streaming(answer: StreamedResponse) -> web.StreamResponse:
    """The head of a streamed response: with its length, or chunked."""
    response = web.StreamResponse()
    if answer.length is not None:
        response.content_length = answer.length
    return response


def _response(answer: Answer) -> web.Response | StreamedResponse:
    """The response to an answer; a rejection may have a `Retry-After`, in seconds with decimals."""
    if isinstance(answer.reply, StreamedResponse):
        return answer.reply
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, bytes)
        return web.Response(body=answer.reply)
    if answer.kind is AnswerKind.REJECTED:
        headers = {"Retry-After": f"{answer.retry_after_us / 1e6:.3f}"} if answer.retry_after_us else None
        return web.Response(status=503, headers=headers)
    return web.Response(status=502)
