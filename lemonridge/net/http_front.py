"""The platform's HTTP front: accepts HTTP/1.1 requests and sends exactly one response to each.

A request is parsed and submitted in the same event loop iteration that reads its last byte, and its response
is written in the iteration that decides on the answer. No task is created in between, because on a busy loop
each additional iteration adds to the response time.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

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
from lemonridge.net.connection_table import ConnectionTable, client_read_bytes
from lemonridge.net.errors import MessageRejectedError
from lemonridge.net.http_connection import Connection
from lemonridge.net.http_headers import RequestHead
from lemonridge.net.http_request import RequestParser
from lemonridge.net.http_response import StreamedResponse
from lemonridge.net.listener import Listener, listening_socket
from lemonridge.net.peer_tally import Reason
from lemonridge.operate.lifecycle import NEVER_US, Lifecycle

log = logging.getLogger(__name__)

ID_IS_OPEN = "a request with this X-Request-Id is open"
TALLIED_ANSWERS = {
    AnswerKind.REJECTED: Reason.REQUEST_REJECTED,
    AnswerKind.FAILED: Reason.REQUEST_FAILED,
}
CLOSE_CHECK_INTERVAL_S = 0.005  # interval between checks for connections that can be closed during a stop


@dataclass(slots=True)
class OpenRequest:
    """A request that has not been answered yet.

    Attributes:
        request: The request.
        mailbox: The broker's handle for the request.
        arrived_us: When the request's last byte arrived, in microseconds of the broker's clock.
        answer_timer: Fires when the request must be answered because the process ends; None if there is no
            such time.
    """

    request: Request
    mailbox: RequestMailbox
    arrived_us: int
    answer_timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Cancels the timer, if there is one."""
        if self.answer_timer is not None:
            self.answer_timer.cancel()
            self.answer_timer = None


class HttpFront:
    """Serves the platform's clients.

    Counters: `requests.bad` (malformed requests), `requests.stopping` (requests received while the process
    stops), `answers.cut` (streamed responses that the endpoint did not complete), `answers.undelivered`
    (answers that could not be written because the client had disconnected).

    Args:
        platform: The platform's configuration.
        broker: Receives the requests.
        registry: The endpoint list; the front is ready only once a list is known.
        clock: The broker's clock.
        counters: The process's counters.
        lifecycle: The drain, handover and stop of this process.

    Attributes:
        has_lease: Returns whether the policy in force is known; replaced if the fleet agrees on the policy.
        listener: Accepts the connections; set by `bind`.
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
        self.has_lease: Callable[[], bool] = lambda: True
        self.configure(platform)
        self.listener: Listener
        self._open: dict[Connection, OpenRequest] = {}  # at most one per connection
        self._streams: dict[Connection, asyncio.Task[None]] = {}  # tasks that write streamed responses

    def configure(self, platform: PlatformConfig) -> None:
        """Applies a configuration to all later requests."""
        self._parser = RequestParser(platform)
        self._lifecycle.configure(max(cls.deadline_us for cls in platform.settings.classes))
        self._table.configure(platform.sockets, platform.memory_bytes // 8, client_read_bytes(platform))

    def bind(self, address: Address, inherited_fd: int | None = None) -> None:
        """Opens the listening socket without accepting connections from it yet.

        Args:
            address: The address to listen on, if a new socket is opened.
            inherited_fd: The descriptor of a listening socket inherited by this process; None opens a new
                socket.

        Raises:
            OSError: The address cannot be bound, or the descriptor is not a listening socket.
        """
        self.listener = Listener(
            listening_socket(address, inherited_fd),
            lambda: Connection(self._table, self._on_request, self._on_disconnect),
            self._counters,
            self._table.has_room,
        )

    async def listen(self) -> None:
        """Starts to accept connections."""
        if not self.listener.is_listening:
            self.listener.listen()
            log.info("listening", extra={"address": self.listener.address})

    async def stop(self) -> None:
        """Serves as long as a new request can be answered before SIGKILL, then closes all connections.

        Clients keep using their open connections and have no other broker to connect to, so the broker keeps
        serving. Near the end each response carries `Connection: close`; after that the listener is closed,
        and with it all idle connections. A connection accepted during the stop is closed after its first
        response.
        """
        self._lifecycle.stop(self._clock.now_us())
        self.on_lifecycle_changed()
        loop = asyncio.get_running_loop()
        await asyncio.sleep((self._lifecycle.accept_until_us - self._clock.now_us()) / 1e6)
        request_complete_by_s = self._clock.loop_time(self._lifecycle.request_complete_by_us)
        await self.listener.accept_pending(request_complete_by_s)
        self.listener.close()
        while self.listener.has_starting_connections or self._table.close_inactive(
            allow_incomplete=loop.time() < request_complete_by_s
        ):
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)

    def on_lifecycle_changed(self) -> None:
        """Applies a change of the lifecycle's state immediately."""
        for connection, open_request in self._open.items():
            self._schedule_answer(connection, open_request)
        self._table.on_lifecycle_changed()

    @property
    def busy(self) -> bool:
        """Whether responses are still being written."""
        return self._table.busy

    # Requests

    def _on_request(self, connection: Connection) -> None:
        """Handles a complete request."""
        try:
            if connection.head.path.startswith("/-/"):
                self._respond(connection, self._readiness_response(connection.head))
            else:
                self._submit(connection)
        except MessageRejectedError as error:
            self._note_invalid(connection, error.status)
            self._respond(connection, text_response(error.status, str(error)))
        except DuplicateRequestError:
            self._note_invalid(connection, HTTPStatus.CONFLICT)
            self._respond(connection, text_response(HTTPStatus.CONFLICT, ID_IS_OPEN))
        except Exception:
            log.exception("request failed: internal error")
            self._respond(connection, ClientResponse(500))

    def _note_invalid(self, connection: Connection, status: int) -> None:
        """Counts a request that is not submitted."""
        self._counters["requests.bad"] += 1
        self._counters[f"requests.bad.{status}"] += 1
        connection.note(Reason.REQUEST_INVALID)

    def _submit(self, connection: Connection) -> None:
        """Submits a request to the broker.

        Raises:
            MessageRejectedError: The request is malformed.
            DuplicateRequestError: Another request with the same id is open.
        """
        arrived_us = connection.arrived_us
        request = self._parser.parse(connection.head, connection.body, arrived_us, connection.client_has_left)
        request.reservation = connection.body_reservation
        if self._lifecycle.accept_until_us != NEVER_US:
            self._counters["requests.stopping"] += 1
        mailbox = self._broker.submit(request, functools.partial(self._on_answer, connection))
        self._open[connection] = open_request = OpenRequest(request, mailbox, arrived_us)
        self._schedule_answer(connection, open_request)

    def _schedule_answer(self, connection: Connection, open_request: OpenRequest) -> None:
        """Schedules the time at which a request must be answered because the process ends, if there is one.

        This time is not set as the request's deadline: the scheduler would interpret the shorter deadline as
        a client that has already waited for a long time.
        """
        open_request.cancel_timer()
        answer_by_us = self._lifecycle.answer_by_us(open_request.arrived_us)
        if answer_by_us != NEVER_US:
            answer_at_s = self._clock.loop_time(answer_by_us)
            open_request.answer_timer = self._loop.call_at(answer_at_s, self._answer_for_stop, connection)

    def _answer_for_stop(self, connection: Connection) -> None:
        """Answers an open request without waiting for the broker, because the process ends."""
        open_request = self._open.pop(connection)
        self._broker.disconnect(open_request.mailbox)
        forwarded = open_request.request.forwarded
        self._respond(
            connection, _response_to(Answer(AnswerKind.FAILED if forwarded else AnswerKind.REJECTED))
        )

    def _on_disconnect(self, connection: Connection) -> None:
        """Cancels the open request and the streamed response of a connection that has ended."""
        open_request = self._open.pop(connection, None)
        if open_request is not None:
            connection.note(Reason.LEFT)
            open_request.cancel_timer()
            self._broker.disconnect(open_request.mailbox)
        stream = self._streams.get(connection)
        if stream is not None:
            stream.cancel()

    # Responses

    def _on_answer(self, connection: Connection, answer: Answer) -> None:
        """Sends the broker's final answer to the client."""
        self._open.pop(connection).cancel_timer()
        if isinstance(answer.reply, StreamedResponse):
            stream = self._loop.create_task(self._stream(connection, answer.reply))
            self._streams[connection] = stream
            stream.add_done_callback(functools.partial(self._stream_ended, connection, answer.reply))
        else:
            if answer.kind in TALLIED_ANSWERS:
                connection.note(TALLIED_ANSWERS[answer.kind])
            self._respond(connection, _response_to(answer))

    def _respond(self, connection: Connection, response: ClientResponse) -> None:
        """Writes a response whose complete body is known."""
        is_client_error = 400 <= response.status < 500  # noqa: PLR2004
        keeps_alive = not is_client_error and self._keeps_alive(connection)
        if not connection.write(encode_response(response, _connection_option(connection, keeps_alive))):
            self._counters["answers.undelivered"] += 1
        connection.end_response(keeps_alive)

    async def _stream(self, connection: Connection, reply: StreamedResponse) -> None:
        """Forwards a response as it arrives from the endpoint, at the rate at which the client reads it.

        Raises:
            ConnectionBrokenError: The endpoint did not complete the response.
        """
        is_chunked = reply.length is None and not connection.head.is_http_1_0
        ends_at_close = reply.length is None and not is_chunked
        keeps_alive = not ends_at_close and self._keeps_alive(connection)
        connection.write(
            encode_stream_head(reply.length, is_chunked, _connection_option(connection, keeps_alive))
        )
        connection.limit_write_buffer()
        async for part in reply.parts():
            connection.write(encode_chunk(part) if is_chunked else part)
            del part  # the connection keeps what the client does not take
            await connection.drain()
        if is_chunked:
            connection.write(LAST_CHUNK)
        connection.end_response(keeps_alive)

    def _stream_ended(
        self, connection: Connection, reply: StreamedResponse, stream: asyncio.Task[None]
    ) -> None:
        """Cleans up after a streamed response that is complete, cancelled or incomplete."""
        del self._streams[connection]
        reply.close()  # the task may have been cancelled before it started
        if stream.cancelled():
            self._counters["answers.undelivered"] += 1
        elif (error := stream.exception()) is not None:
            log.info("response incomplete, client connection aborted", extra={"reason": str(error)})
            self._counters["answers.cut"] += 1
            connection.abort()  # the missing length or last chunk shows the client that it is incomplete

    def _keeps_alive(self, connection: Connection) -> bool:
        """Whether the connection stays open after the response to its open request."""
        return (
            connection.head.keeps_alive
            and not connection.accepted_late
            and self._lifecycle.allows_keep_alive(self._clock.now_us())
        )

    def _readiness_response(self, head: RequestHead) -> ClientResponse:
        """Returns the response to a readiness probe."""
        if head.method != "GET" or head.path != "/-/ready":
            return ClientResponse(404)
        is_ready = self._registry.has_list and self._lifecycle.ready and self.has_lease()
        return ClientResponse(200 if is_ready else 503)


def _connection_option(connection: Connection, keeps_alive: bool) -> ConnectionOption:
    """Returns the connection option of the response to a connection's open request."""
    if not keeps_alive:
        return ConnectionOption.CLOSES
    if connection.head.is_http_1_0:
        return ConnectionOption.PERSISTS_FOR_HTTP_1_0
    return ConnectionOption.PERSISTS


def _response_to(answer: Answer) -> ClientResponse:
    """Returns the response for an answer whose reply is complete."""
    if answer.kind is AnswerKind.SERVED:
        assert isinstance(answer.reply, bytes)
        return ClientResponse(200, answer.reply)
    if answer.kind is AnswerKind.REJECTED:
        return ClientResponse(503, retry_after_us=answer.retry_after_us)
    return ClientResponse(502)
