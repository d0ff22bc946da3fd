"""Sends attempts to the platform's endpoints over HTTP/1.1; each attempt has one outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import TypedDict

import aiohttp
from yarl import URL

from lemonridge.config.platform import PlatformConfig
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.core.errors import AttemptSuppressedError, ConnectFailedError, LocalFailureError
from lemonridge.core.model import Attempt, Outcome
from lemonridge.core.tracebacks import release_frames
from lemonridge.net.endpoint_connector import EndpointConnector, request_connection
from lemonridge.net.http_client import Payload, plain_session
from lemonridge.net.http_limits import READ_MAX_BYTES
from lemonridge.net.http_response import StreamedResponse, read_body
from lemonridge.net.sockets import LOCAL_ERRORS
from lemonridge.scheduling.context import MAX_PROCESS_STALL_US
from lemonridge.scheduling.events import AttemptResult

READ_BUFFER_BYTES = 8 * 1024  # reading from a response's connection pauses once twice this is buffered
DECISION_EXPIRES_S = 0.25  # a decision expires this long after the connect timeout; see HttpEndpoints
REPORTED_NUMBER_MAX = 1e12  # upper bound for numbers in response headers


class _EndpointReport(TypedDict):
    """The information in a response's headers; a value is None if its header is missing or unusable."""

    volume_units: int | None
    peer_units: float | None
    endpoint_outstanding: float | None


@dataclass(frozen=True, slots=True)
class _SendContext:
    """The context of a request for aiohttp's trace callbacks.

    Attributes:
        attempt: The attempt that the request belongs to.
        address: The endpoint's address when the attempt started, as HOST:PORT.
    """

    attempt: Attempt
    address: str


class HttpEndpoints:
    """Makes attempts at the platform's nodes.

    Args:
        registry: The endpoint list.
        clock: The broker's clock.
        platform: The platform's configuration.
        counters: The process's counters.
        read_bytes: The maximum number of bytes per read from a node.

    Attributes:
        policy_epoch_at: Returns the policy's epoch at the time of a decision, given in seconds of the event
            loop's clock, or None if that epoch has ended; None if there is no policy with epochs.
        expires_decisions: Whether a decision expires `DECISION_EXPIRES_S` after the connect timeout. A
            decision made before the process was suspended must not be carried out after it resumes, because
            its quota has expired.
    """

    def __init__(
        self,
        registry: EndpointRegistry,
        clock: Clock,
        platform: PlatformConfig,
        counters: Counters,
        read_bytes: int = READ_MAX_BYTES,
    ) -> None:
        self._registry, self._clock, self._in_flight_field = registry, clock, platform.in_flight_field
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        self.policy_epoch_at: Callable[[float], str | None] | None = None
        self.expires_decisions = False
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._before_head)
        trace.on_request_chunk_sent.append(self._before_body)
        self._connector = EndpointConnector(platform.connect_us, platform.keepalive_us, counters, read_bytes)
        self._session = plain_session(self._connector, trace_configs=[trace], read_bufsize=READ_BUFFER_BYTES)

    def configure(self, platform: PlatformConfig) -> None:
        """Applies new settings to later connects, reuses and responses."""
        self._connector.configure(platform.connect_us, platform.keepalive_us)
        self._in_flight_field = platform.in_flight_field

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Sends the request once and reads the response.

        Args:
            attempt: The attempt.

        Returns:
            The outcome of the attempt.

        Raises:
            AttemptSuppressedError: Nothing was sent, because the decision or the connection is no longer
                valid.
            ConnectFailedError: Nothing was sent, because the endpoint did not accept a connection.
            LocalFailureError: Nothing was sent, because this machine had no socket, port or route available.
        """
        payload = attempt.request.payload
        assert isinstance(payload, Payload)
        address = self._registry.address(attempt.endpoint_id)
        if address is None:
            raise AttemptSuppressedError
        headers = self._headers(payload, attempt.decided_at_s)
        try:
            response = await self._session.request(
                payload.method,
                URL(f"http://{address}{payload.target}", encoded=True),
                headers=headers,
                data=payload.body or None,
                allow_redirects=False,
                trace_request_ctx=_SendContext(attempt, address),
            )
            return await self._read_response(response)
        except aiohttp.ClientConnectorError as error:
            release_frames(error)
            raise (
                LocalFailureError if error.os_error.errno in LOCAL_ERRORS else ConnectFailedError
            ) from None
        except (aiohttp.ClientError, OSError) as error:
            release_frames(error)
            # aiohttp wraps an error that is raised before a body is sent, and keeps it as the cause.
            if isinstance(error.__cause__, AttemptSuppressedError):
                raise AttemptSuppressedError from None
            if not attempt.begun:
                raise ConnectFailedError from None
            return Outcome(AttemptResult.RESET)

    def _headers(self, payload: Payload, decided_at_s: float) -> dict[str, str]:
        """Returns the client's headers and the epoch of the policy by which the attempt was decided.

        Raises:
            AttemptSuppressedError: The epoch has ended.
        """
        headers = dict(payload.headers)
        if self.policy_epoch_at is not None:
            epoch = self.policy_epoch_at(decided_at_s)
            if epoch is None:
                raise AttemptSuppressedError
            headers["X-Policy-Epoch"] = epoch
        return headers

    async def _read_response(self, response: aiohttp.ClientResponse) -> Outcome:
        """Returns the outcome of an attempt.

        The connection is returned to the pool, or closed if the response was not read to its end.
        """
        outcome: Outcome | None = None
        try:
            outcome = await self._parse_outcome(response)
        finally:
            if outcome is None:
                response.close()
            elif not isinstance(outcome.reply, StreamedResponse):
                response.release()
        return outcome

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def _before_head(
        self,
        _: aiohttp.ClientSession,
        context: SimpleNamespace,
        params: aiohttp.TraceRequestHeadersSentParams,
    ) -> None:
        """Sets the deadline header to the time that remains now.

        aiohttp calls this once it has a connection, before it serializes the head. A head without a body is
        written in the same step; a head with a body is written together with it, one iteration of the event
        loop later.
        """
        send_context: _SendContext = context.trace_request_ctx
        payload = send_context.attempt.request.payload
        assert isinstance(payload, Payload)
        if payload.body:
            self._check_decision(send_context)
        else:
            self._begin_attempt(send_context)
        remaining_us = send_context.attempt.request.deadline_us - self._clock.now_us()
        params.headers["X-Deadline-Ms"] = str(forwarded_deadline_ms(remaining_us))

    async def _before_body(
        self, _: aiohttp.ClientSession, context: SimpleNamespace, __: aiohttp.TraceRequestChunkSentParams
    ) -> None:
        """Marks the attempt as begun; aiohttp calls this in the step that writes head and body."""
        self._begin_attempt(context.trace_request_ctx)

    def _check_decision(self, send_context: _SendContext) -> None:
        """Checks that the decision to send the attempt is still valid.

        The endpoint list may have changed during the connect, or the process may have been suspended.

        Raises:
            AttemptSuppressedError: The decision is no longer valid.
        """
        if (
            self._registry.address(send_context.attempt.endpoint_id) != send_context.address
        ):  # draining, removed, or moved
            raise AttemptSuppressedError
        expires_at_s = send_context.attempt.decided_at_s + self._connector.connect_s + DECISION_EXPIRES_S
        if self.expires_decisions and self._loop.time() > expires_at_s:
            raise AttemptSuppressedError

    def _begin_attempt(self, send_context: _SendContext) -> None:
        """Begins the attempt, in the step that writes its first byte.

        A body is written one iteration of the event loop after the connection was taken from the pool, and
        data that arrived in between would be parsed as the response to the request.

        Raises:
            AttemptSuppressedError: The decision or the connection is no longer valid.
        """
        self._check_decision(send_context)
        if request_connection.get().has_surplus():
            self._counters["connections.spoilt"] += 1
            raise AttemptSuppressedError
        send_context.attempt.begin()

    async def _parse_outcome(self, response: aiohttp.ClientResponse) -> Outcome:
        """Reads the body and the report headers of a response."""
        reply = await read_body(response)
        if isinstance(reply, StreamedResponse) and response.status != 200:
            reply.close()
            return Outcome(AttemptResult.ERROR)
        headers = response.headers
        report: _EndpointReport = {
            "volume_units": _parse_count(headers.get("X-Iops-Used"), 1),
            "peer_units": _parse_number(headers.get("X-Rho")),
            "endpoint_outstanding": _parse_load_report(headers.get("X-Load")).get(self._in_flight_field),
        }
        if response.status == 200:
            return Outcome(AttemptResult.OK, reply, **report)
        if response.status in (503, 504) and headers.get("X-Not-Run") == "1":
            return Outcome(AttemptResult.QUEUE_FULL, **report)
        return Outcome(AttemptResult.ERROR, **report)


def forwarded_deadline_ms(left_us: int) -> int:
    """Returns the deadline that is sent to the endpoint, in milliseconds, at least 1.

    STANDING allows at most the client's remaining time plus 0.15 s. The process may have been delayed by
    0.15 s before it read the request, and may be delayed by as much again before the write, so 0.15 s are
    subtracted. At least 0.15 s are sent if that much time remains; a shorter remaining time is sent
    unchanged.

    Args:
        left_us: The remaining time until the client's deadline, in microseconds.
    """
    return max(1, min(left_us, max(MAX_PROCESS_STALL_US, left_us - MAX_PROCESS_STALL_US)) // 1000)


def _parse_number(text: str | None) -> float | None:
    """Returns the number in a header; None if the header is missing or its number is unusable."""
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < REPORTED_NUMBER_MAX else None


def _parse_count(text: str | None, increment: int) -> int | None:
    """Returns the number in a header, rounded down, plus `increment`; None if it is missing or unusable."""
    value = _parse_number(text)
    return None if value is None else int(value) + increment


def _parse_load_report(text: str | None) -> dict[str, float]:
    """Returns the numeric fields of a load report such as `inflight=7,queue=2`."""
    report: dict[str, float] = {}
    for part in (text or "").split(","):
        name, _, number = part.partition("=")
        value = _parse_number(number)
        if value is not None:
            report[name.strip()] = value
    return report
