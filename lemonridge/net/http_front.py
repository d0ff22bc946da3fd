"""The platform's front: HTTP/1.1 requests in, one answer each out."""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from typing import Any

from aiohttp import web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from multidict import CIMultiDictProxy

from lemonridge.config.address import Address
from lemonridge.config.platform import PlatformConfig
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import DuplicateRequestError
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.net.http_connection import Connection, ConnectionTable
from lemonridge.net.http_headers import BadMessageError
from lemonridge.net.http_response import LongAnswer
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.net.sockets import BrokenError, Payload
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle
from lemonridge.scheduling.settings import IdempotencyKind

log = logging.getLogger(__name__)

MARGIN_US = 10_000  # before the client gives up: the way of the request here and of the answer back
TURN_S = 0.005  # between two looks at connections that are to end
HEX = re.compile(r"[0-9a-f]{16}", re.I)
PATH = re.compile(r"/([^/]+)/([0-9a-f]{16})/([0-9a-f]{16})", re.I)
PLACEMENT = re.compile(r"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),shard=(-1|[0-9]{1,9}),hosts=([0-9]{1,9})")
DEADLINE = re.compile(r"0*[1-9][0-9]{0,8}")
VALUE = re.compile(r"[\x20-\x7e]{1,256}")


class HttpFront:
    """Serves the platform's clients."""

    def __init__(
        self,
        platform: PlatformConfig,
        broker: Broker,
        directory: EndpointRegistry,
        clock: Clock,
        counters: Counters,
        lifecycle: Lifecycle,
    ) -> None:
        self._broker, self._directory = broker, directory
        self._clock, self._counters, self._lifecycle = clock, counters, lifecycle
        self._table = ConnectionTable(clock, counters, lifecycle)
        self.configure(platform)
        self.listener: Listener  # from `bind` on
        self._connections: dict[object, Connection] = {}  # by aiohttp's handler
        self._scopes: dict[asyncio.Timeout, int] = {}  # of the open requests, with the time that each came
        self._server = web.Server(
            self._handle,
            request_factory=_request,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            tcp_keepalive=False,
            logger=log,
        )

    has_lease: Callable[[], bool] = staticmethod(
        lambda: True
    )  # whether it is known by which policy to decide

    def configure(self, platform: PlatformConfig) -> None:
        """Go by this configuration from here on."""
        self._platform = platform
        self._lifecycle.configure(max(cls.deadline_us for cls in platform.settings.classes))
        self._table.configure(platform.sockets, platform.memory_bytes // 8)
        self._classes = {name: number for number, name in enumerate(platform.classes)}
        self._plans = {name: number for number, name in enumerate(platform.plans)}

    def bind(self, address: Address, passed: int | None = None) -> None:
        """Have the listening socket: a new one, or the one that was passed down as this descriptor. Nothing
        is accepted from it yet. `OSError` where it cannot be had.
        """
        self.listener = Listener(
            listening_socket(address, passed),
            lambda: Connection(self._table, self._server, self._connections),
            self._counters,
        )

    async def listen(self) -> None:
        """Take what comes from here on."""
        if not self.listener.listens:
            self.listener.listen()
            log.info("listening", extra={"address": self.listener.address})

    async def stop(self) -> None:
        """Serve on for as long as what is taken can be answered before SIGKILL: clients keep the connections
        that stay open, and reach no one in place of this broker. Then the tail, with `Connection: close`;
        then take no more, and keep no idle connection. A new connection is told to close from the start.
        """
        self._lifecycle.stop(self._clock.now_us())
        self.changed()
        loop = asyncio.get_running_loop()
        await asyncio.sleep((self._lifecycle.accept_until_us - self._clock.now_us()) / 1e6)
        until_s = self._clock.loop_time(self._lifecycle.request_complete_by_us)
        await self.listener.accept_the_rest(until_s)
        self.listener.close()
        while self.listener.accepting or self._table.close_waiting(patient=loop.time() < until_s):
            await asyncio.sleep(TURN_S)

    def changed(self) -> None:
        """Go by a change of the lifecycle's state at once."""
        for scope, arrived_us in self._scopes.items():
            if not scope.expired():
                scope.reschedule(self._due(arrived_us))
        self._table.changed()

    def _due(self, arrived_us: int) -> float | None:
        due_us = self._lifecycle.answer_by_us(arrived_us)
        return None if due_us == NEVER_US else self._clock.loop_time(due_us)

    @property
    def busy(self) -> bool:
        """Whether an answer is still on its way."""
        return self._table.busy

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """One request of a connection, until its answer is written."""
        connection, keep = self._connections[http.protocol], False
        answer: web.Response | LongAnswer | None = None
        try:
            answer = await self._answer(http, connection)
            response = _begin(answer) if isinstance(answer, LongAnswer) else answer
            if (
                connection.late
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
        except BrokenError as error:
            log.info("answer cut short", extra={"why": str(error)})
            self._counters["answers.cut"] += 1
            connection.abort()  # what the client has is short of its length or its last chunk
            raise ConnectionResetError from None
        finally:
            if isinstance(answer, LongAnswer):
                answer.close()
            connection.answered(keep)

    async def _answer(self, http: web.BaseRequest, connection: Connection) -> web.Response | LongAnswer:
        arrived_us = connection.arrived_us
        if http.path.startswith("/-/"):
            return self._ready(http)
        try:
            request = self._parse(http, connection.body, arrived_us, connection.abandoned)
            if self._lifecycle.accept_until_us != NEVER_US:
                self._counters["requests.stopping"] += 1
            return _response(await self._serve(request, arrived_us))
        except BadMessageError as error:
            self._counters["requests.bad"] += 1
            return web.Response(status=error.status, text=f"{error}\n")
        except DuplicateRequestError:
            self._counters["requests.bad"] += 1
            return web.Response(status=409, text="a request with this X-Request-Id is open\n")
        except Exception:
            log.exception("request failed")
            return web.Response(status=500)

    async def _serve(self, request: Request, arrived_us: int) -> Answer:
        """The broker's answer, or one at the time by which the end of the process has to have all answers.

        That time is not the request's deadline: the decisions would take a nearer deadline for a client that
        has waited for long already.
        """
        try:
            async with asyncio.timeout_at(self._due(arrived_us)) as scope:
                self._scopes[scope] = arrived_us
                try:
                    return await self._broker.serve(request)
                finally:
                    del self._scopes[scope]
        except TimeoutError:
            return Answer(AnswerKind.FAILED if request.forwarded else AnswerKind.REJECTED)

    def _ready(self, http: web.BaseRequest) -> web.Response:
        if http.method != "GET" or http.path != "/-/ready":
            return web.Response(status=404)
        up = self._directory.has_list and self._lifecycle.ready and self.has_lease()
        return web.Response(status=200 if up else 503)

    def _parse(
        self, http: web.BaseRequest, body: bytes, arrived_us: int, abandoned: Callable[[], bool]
    ) -> Request:
        """A core request, or `BadMessageError`: nothing that is malformed goes any further."""
        headers, platform = http.headers, self._platform
        path = PATH.fullmatch(http.raw_path.partition("?")[0])
        if path is None:
            raise BadMessageError(404, "the path must be /class/volume/key, the last two as 16 hex digits")
        cls = self._classes.get(path[1])
        if cls is None or _header(headers, "X-Class") != path[1]:
            raise BadMessageError(400, "the class of the path must be known and stand in X-Class")
        plan = self._plans.get(_header(headers, "X-Qos-Policy"))
        if plan is None:
            raise BadMessageError(400, "unknown X-Qos-Policy")
        if http.method != ("PUT" if platform.writes[cls] else "GET"):
            raise BadMessageError(405, "a read is GET and a write is PUT")
        passed = {"X-Request-Id": _header(headers, "X-Request-Id")}
        if not HEX.fullmatch(passed["X-Request-Id"]):
            raise BadMessageError(400, "X-Request-Id must be 16 hex digits")
        settings = platform.settings
        if settings.classes[cls].idempotency is IdempotencyKind.WITH_IDEMPOTENCY_KEY:
            passed["Idempotency-Key"] = _header(headers, "Idempotency-Key")
        deadline_ms = DEADLINE.fullmatch(_header(headers, "X-Deadline-Ms"))
        if deadline_ms is None:
            raise BadMessageError(400, "X-Deadline-Ms must be whole milliseconds")
        # No client waits for longer than its class allows, whatever it says: the module plans by that.
        wait_us = min(int(deadline_ms[0]) * 1000, settings.classes[cls].deadline_us)
        placement = PLACEMENT.fullmatch(_header(headers, "X-Placement").replace(" ", ""))
        if placement is None:
            raise BadMessageError(400, "X-Placement must be units=…,shard=…,hosts=…")
        units, shard, hosts = float(placement[1]), int(placement[2]), int(placement[3])
        # More than the settings know of would spoil what the module keeps for a volume and its plan.
        if not 0 < units <= (settings.largest_request_units or units) or not 1 <= hosts <= settings.hosts:
            raise BadMessageError(400, "X-Placement must name some units and hosts, as the settings allow")
        if shard >= (platform.shards or shard + 1):
            raise BadMessageError(400, "X-Placement names an unknown shard")
        if body and http.method == "GET":
            raise BadMessageError(400, "a read has no body")
        return Request(
            shard=shard,
            volume=int(path[2], 16),
            deadline_us=arrived_us + wait_us - MARGIN_US,
            key=int(path[3], 16),
            cls=cls,
            plan=plan,
            units=units,
            hosts=hosts,
            payload=Payload(http.method, http.raw_path, passed, body),
            ident=passed["X-Request-Id"].lower(),
            repeat=headers.get("X-Retry") == "1",
            abandoned=abandoned,
        )


def _request(
    message: RawRequestMessage, payload: StreamReader, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    return web.BaseRequest(
        message, payload, protocol, writer, task, asyncio.get_running_loop(), client_max_size=0
    )


def _header(headers: CIMultiDictProxy[str], name: str) -> str:
    """The one value of a header; of two, each side could go by another."""
    values = headers.getall(name, [])
    if len(values) != 1 or not VALUE.fullmatch(values[0]):
        raise BadMessageError(400, f"{name} must stand there once")
    return values[0]


def _begin(answer: LongAnswer) -> web.StreamResponse:
    """The head of a long answer, of a told length or in chunks."""
    response = web.StreamResponse()
    if answer.length is not None:
        response.content_length = answer.length
    return response


def _response(answer: Answer) -> web.Response | LongAnswer:
    """The answer on the wire; a refusal says when to come back, in seconds with decimals."""
    if isinstance(answer.reply, LongAnswer):
        return answer.reply
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, bytes)
        return web.Response(body=answer.reply)
    if answer.kind is AnswerKind.REJECTED:
        advice = {"Retry-After": f"{answer.retry_after_us / 1e6:.3f}"} if answer.retry_after_us else None
        return web.Response(status=503, headers=advice)
    return web.Response(status=502)
