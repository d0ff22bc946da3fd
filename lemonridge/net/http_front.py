"""The platform's front: takes HTTP/1.1 requests and gives one response to each.

A request is parsed and submitted as its last byte is read, and its answer is written as it is decided on: no
task and no turn of the loop lies between, which a busy loop would add to the time of each answer.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Callable
from dataclasses import dataclass

from lemonridge.config.address import Address
from lemonridge.config.platform import PlatformConfig
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import DuplicateRequestError
from lemonridge.core.model import Answer, AnswerKind, Request
from lemonridge.core.request_mailbox import RequestMailbox
from lemonridge.net.client_responses import (
    LAST_CHUNK,
    ClientResponse,
    ConnectionOption,
    encode_chunk,
    encode_response,
    encode_stream_head,
    text_response,
)
from lemonridge.net.connection_table import ConnectionTable
from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_connection import Connection
from lemonridge.net.http_headers import RequestHead
from lemonridge.net.http_request import RequestParser
from lemonridge.net.http_response import StreamedResponse
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle

log = logging.getLogger(__name__)

CLOSE_CHECK_INTERVAL_S = 0.005  # between two looks at connections that are to end


@dataclass(slots=True)
class OpenRequest:
    """A request that has no answer yet.

    Attributes:
        request: the request.
        mailbox: by which the broker knows it.
        arrived_us: when its last byte arrived.
        answer_timer: answers it for the end of the process, where that needs all answers.
    """

    request: Request
    mailbox: RequestMailbox
    arrived_us: int
    answer_timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Its answer is not due any more."""
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None


class HttpFront:
    """Serves the platform's clients.

    Counters: `requests.bad` (malformed), `requests.stopping` (taken while the process stops), `answers.cut`
    (streamed responses that their endpoint did not complete), `answers.undelivered` (decided on, but the
    client had disconnected before they were written).
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
        self._loop = asyncio.get_running_loop()
        self._table = ConnectionTable(clock, counters, lifecycle)
        # Whether the policy in force is known; replaced where the fleet decides on one.
        self.has_lease: Callable[[], bool] = lambda: True
        self.configure(platform)
        self.listener: Listener  # from `bind` on
        self._open: dict[Connection, OpenRequest] = {}
        self._streams: dict[Connection, asyncio.Task[None]] = {}  # responses that are still written

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
            lambda: Connection(self._table, self._on_request, self._on_disconnect),
            self._counters,
        )

    async def listen(self) -> None:
        """Accept connections from here on."""
        if not self.listener.is_listening:
            self.listener.listen()
            log.info("listening", extra={"address": self.listener.address})

    async def stop(self) -> None:
        """Serve on for as long as a new request can be answered before SIGKILL, then close.

        Clients keep using open connections and have no other broker to go to. So the broker keeps serving;
        near the end each response has `Connection: close`, then it accepts nothing more and closes idle
        connections. A connection that is accepted meanwhile is closed after its first response.
        """
        self._lifecycle.stop(self._clock.now_us())
        self.on_lifecycle_changed()
        loop = asyncio.get_running_loop()
        await asyncio.sleep((self._lifecycle.accept_until_us - self._clock.now_us()) / 1e6)
        until_s = self._clock.loop_time(self._lifecycle.request_complete_by_us)
        await self.listener.accept_pending(until_s)
        self.listener.close()
        while self.listener.accepting or self._table.close_waiting(patient=loop.time() < until_s):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)

    def on_lifecycle_changed(self) -> None:
        """Apply a change of the lifecycle's state at once."""
        for connection, open_request in self._open.items():
            self._schedule_answer(connection, open_request)
        self._table.on_lifecycle_changed()

    @property
    def busy(self) -> bool:
        """Whether a response is still on its way."""
        return self._table.busy

    # Requests

    def _on_request(self, connection: Connection) -> None:
        """A request is complete."""
        try:
            if connection.head.path.startswith("/-/"):
                self._respond(connection, self._ready(connection.head))
            else:
                self._submit(connection)
        except MessageRejectedError as error:
            self._counters["requests.bad"] += 1
            self._respond(connection, text_response(error.status, str(error)))
        except DuplicateRequestError:
            self._counters["requests.bad"] += 1
            self._respond(connection, text_response(409, "a request with this X-Request-Id is open"))
        except Exception:
            log.exception("request failed")
            self._respond(connection, ClientResponse(500))

    def _submit(self, connection: Connection) -> None:
        """Give a request to the broker.

        Raises:
            MessageRejectedError: it is malformed.
            DuplicateRequestError: a request with its id is open.
        """
        arrived_us = connection.arrived_us
        request = self._parser.parse(connection.head, connection.body, arrived_us, connection.client_has_left)
        if self._lifecycle.accept_until_us != NEVER_US:
            self._counters["requests.stopping"] += 1
        mailbox = self._broker.submit(request, functools.partial(self._on_answer, connection))
        self._open[connection] = open_request = OpenRequest(request, mailbox, arrived_us)
        self._schedule_answer(connection, open_request)

    def _schedule_answer(self, connection: Connection, open_request: OpenRequest) -> None:
        """Answer a request at the moment by which the end of the process needs all answers, if there is one.

        That moment is not the request's deadline: the scheduler would take a nearer deadline for a client
        that has waited for long already.
        """
        open_request.cancel_timer()
        answer_by_us = self._lifecycle.answer_by_us(open_request.arrived_us)
        if answer_by_us != NEVER_US:
            at_s = self._clock.loop_time(answer_by_us)
            open_request.answer_timer = self._loop.call_at(at_s, self._answer_for_stop, connection)

    def _answer_for_stop(self, connection: Connection) -> None:
        open_request = self._open.pop(connection)
        self._broker.disconnect(open_request.mailbox)
        forwarded = open_request.request.forwarded
        self._respond(connection, _response(Answer(AnswerKind.FAILED if forwarded else AnswerKind.REJECTED)))

    def _on_disconnect(self, connection: Connection) -> None:
        """A connection has ended: nobody waits for what is still to be answered on it."""
        open_request = self._open.pop(connection, None)
        if open_request is not None:
            open_request.cancel_timer()
            self._broker.disconnect(open_request.mailbox)
        stream = self._streams.get(connection)
        if stream is not None:
            stream.cancel()

    # Responses

    def _on_answer(self, connection: Connection, answer: Answer) -> None:
        """The broker has the final answer to a request."""
        self._open.pop(connection).cancel_timer()
        if isinstance(answer.reply, StreamedResponse):
            stream = self._loop.create_task(self._stream(connection, answer.reply))
            self._streams[connection] = stream
            stream.add_done_callback(functools.partial(self._stream_ended, connection, answer.reply))
        else:
            self._respond(connection, _response(answer))

    def _respond(self, connection: Connection, response: ClientResponse) -> None:
        """Write a response whose body is known."""
        is_rejected = 400 <= response.status < 500  # noqa: PLR2004
        keeps_alive = not is_rejected and self._keeps_alive(connection)
        if not connection.write(encode_response(response, _option(connection, keeps_alive))):
            self._counters["answers.undelivered"] += 1
        connection.end_response(keeps_alive)

    async def _stream(self, connection: Connection, reply: StreamedResponse) -> None:
        """Write a response as it arrives from its endpoint, as fast as its client reads it.

        Raises:
            ConnectionBrokenError: the endpoint did not complete it.
        """
        is_chunked = reply.length is None and not connection.head.is_http_1_0
        ends_with_connection = reply.length is None and not is_chunked
        keeps_alive = not ends_with_connection and self._keeps_alive(connection)
        connection.write(encode_stream_head(reply.length, is_chunked, _option(connection, keeps_alive)))
        async for part in reply.parts():
            connection.write(encode_chunk(part) if is_chunked else part)
            await connection.drain()
        if is_chunked:
            connection.write(LAST_CHUNK)
        connection.end_response(keeps_alive)

    def _stream_ended(
        self, connection: Connection, reply: StreamedResponse, stream: asyncio.Task[None]
    ) -> None:
        """A streamed response is written, or its client has left, or its endpoint did not complete it."""
        del self._streams[connection]
        reply.close()  # also where the task was cancelled before it began
        if stream.cancelled():
            self._counters["answers.undelivered"] += 1
        elif (error := stream.exception()) is not None:
            log.info("response cut short, connection aborted", extra={"reason": str(error)})
            self._counters["answers.cut"] += 1
            connection.abort()  # the client sees that its length or its last chunk is missing

    def _keeps_alive(self, connection: Connection) -> bool:
        """Whether a connection goes on behind the response to its open request."""
        return (
            connection.head.keeps_alive
            and not connection.accepted_late
            and self._lifecycle.allows_keep_alive(self._clock.now_us())
        )

    def _ready(self, head: RequestHead) -> ClientResponse:
        if head.method != "GET" or head.path != "/-/ready":
            return ClientResponse(404)
        up = self._registry.has_list and self._lifecycle.ready and self.has_lease()
        return ClientResponse(200 if up else 503)


def _option(connection: Connection, keeps_alive: bool) -> ConnectionOption:
    """What the response to a connection's open request says of the connection."""
    if not keeps_alive:
        return ConnectionOption.CLOSES
    if connection.head.is_http_1_0:
        return ConnectionOption.PERSISTS_FOR_HTTP_1_0
    return ConnectionOption.PERSISTS


def _response(answer: Answer) -> ClientResponse:
    """The response to an answer that is whole."""
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, bytes)
        return ClientResponse(200, answer.reply)
    if answer.kind is AnswerKind.REJECTED:
        return ClientResponse(503, retry_after_us=answer.retry_after_us)
    return ClientResponse(502)
