"""The platform's endpoints: one attempt over HTTP/1.1, one outcome."""

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
from lemonridge.net.endpoint_connector import EndpointConnector, request_connection
from lemonridge.net.http_client import Payload, plain_session
from lemonridge.net.http_response import StreamedResponse, read_body
from lemonridge.net.sockets import LOCAL_ERRORS
from lemonridge.scheduling.context import MAX_PROCESS_STALL_US
from lemonridge.scheduling.events import AttemptResult

READ_BUFFER_BYTES = 16 * 1024  # half of what is held of a response before its connection is read no more
DECISION_EXPIRES_S = 0.25  # past the longest connect: an older decision is not carried out after a stop
NUMBER_MAX = 1e12  # of a response's header


class _EndpointReport(TypedDict):
    """What a response's headers tell beside its body; None: they do not."""

    volume_units: int | None
    peer_units: float | None
    endpoint_outstanding: float | None


@dataclass(frozen=True, slots=True)
class _SendContext:
    """What aiohttp's traces of a request need: its attempt, and the endpoint's address as it was decided."""

    attempt: Attempt
    address: str


class HttpEndpoints:
    """Makes attempts at the platform's nodes."""

    def __init__(
        self, registry: EndpointRegistry, clock: Clock, platform: PlatformConfig, counters: Counters
    ) -> None:
        self._registry, self._clock, self._in_flight_field = registry, clock, platform.in_flight_field
        self._counters = counters
        self._loop = asyncio.get_running_loop()
        # The policy's epoch at the time of a decision, in seconds on the loop's clock; None: it has ended.
        self.policy_epoch_at: Callable[[float], str | None] | None = None
        # A decision from before a stop of the process is not carried out after it: its quota has expired.
        self.expires_decisions = False
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(self._before_head)
        trace.on_request_chunk_sent.append(self._before_body)
        self._connector = EndpointConnector(platform.connect_us, platform.keepalive_us, counters)
        self._session = plain_session(self._connector, trace_configs=[trace], read_bufsize=READ_BUFFER_BYTES)

    def configure(self, platform: PlatformConfig) -> None:
        """Apply new settings to the connects, the reuses and the responses to come."""
        self._connector.configure(platform.connect_us, platform.keepalive_us)
        self._in_flight_field = platform.in_flight_field

    async def attempt(self, attempt: Attempt) -> Outcome:
        """Send the request once and read the response.

        Raises:
            AttemptSuppressedError: nothing was sent, as the decision or the connection no longer holds.
            ConnectFailedError: nothing was sent, as the endpoint accepts no connection.
            LocalFailureError: nothing was sent, as this machine had no socket, port or route.
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
            raise (
                LocalFailureError if error.os_error.errno in LOCAL_ERRORS else ConnectFailedError
            ) from None
        except (aiohttp.ClientError, OSError) as error:
            # Raised before a body is sent, it comes back as the cause of an error of aiohttp's own.
            if isinstance(error.__cause__, AttemptSuppressedError):
                raise AttemptSuppressedError from None
            if not attempt.begun:
                raise ConnectFailedError from None
            return Outcome(AttemptResult.RESET)

    def _headers(self, payload: Payload, decided_at_s: float) -> dict[str, str]:
        """The client's headers, with the epoch of the policy by which the attempt was decided."""
        headers = dict(payload.headers)
        if self.policy_epoch_at is not None:
            epoch = self.policy_epoch_at(decided_at_s)
            if epoch is None:
                raise AttemptSuppressedError
            headers["X-Policy-Epoch"] = epoch
        return headers

    async def _read_response(self, response: aiohttp.ClientResponse) -> Outcome:
        """The outcome; the connection is given back, or closed where the response was not read to its end."""
        outcome: Outcome | None = None
        try:
            outcome = await self._outcome(response)
        finally:
            if outcome is None:
                response.close()
            elif not isinstance(outcome.reply, StreamedResponse):
                response.release()
        return outcome

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _before_head(
        self, _: aiohttp.ClientSession, context: SimpleNamespace, sent: aiohttp.TraceRequestHeadersSentParams
    ) -> None:
        """Set the deadline's header as of now.

        Aiohttp calls this once it has a connection, before it forms the head. A head alone is written in this
        step; before a body it waits for a turn of the loop, to leave together with it.
        """
        sending: _SendContext = context.trace_request_ctx
        payload = sending.attempt.request.payload
        assert isinstance(payload, Payload)
        if payload.body:
            self._check(sending)
        else:
            self._begin(sending)
        left_us = sending.attempt.request.deadline_us - self._clock.now_us()
        sent.headers["X-Deadline-Ms"] = str(forwarded_deadline_ms(left_us))

    async def _before_body(
        self, _: aiohttp.ClientSession, context: SimpleNamespace, __: aiohttp.TraceRequestChunkSentParams
    ) -> None:
        """Mark the attempt as begun; aiohttp calls this in the step in which it writes head and body."""
        self._begin(context.trace_request_ctx)

    def _check(self, sending: _SendContext) -> None:
        """Raise `AttemptSuppressedError` where the decision no longer holds.

        The endpoint list may have changed during the connect, or the process may have been stopped.
        """
        if (
            self._registry.address(sending.attempt.endpoint_id) != sending.address
        ):  # draining, removed, or moved
            raise AttemptSuppressedError
        expires_s = sending.attempt.decided_at_s + self._connector.connect_s + DECISION_EXPIRES_S
        if self.expires_decisions and self._loop.time() > expires_s:
            raise AttemptSuppressedError

    def _begin(self, sending: _SendContext) -> None:
        """Begin in the step that writes the first byte, or raise `AttemptSuppressedError`.

        A body is written a turn of the loop after its connection was taken, and what came in that turn would
        be read as the response to it.
        """
        self._check(sending)
        if request_connection.get().has_surplus():
            self._counters["connections.spoilt"] += 1
            raise AttemptSuppressedError
        sending.attempt.begin()

    async def _outcome(self, response: aiohttp.ClientResponse) -> Outcome:
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
    """The time that an attempt gives its endpoint, in milliseconds, at least 1.

    STANDING: at most what is left to the client, with 0.15 s of slack. The process may have been held up for
    0.15 s before it read the request, and may be again between this and the write. Of less than 0.15 s, all
    is given: it is inside the slack, whatever has passed.

    Args:
        left_us: what is left to the client.
    """
    return max(1, min(left_us, max(MAX_PROCESS_STALL_US, left_us - MAX_PROCESS_STALL_US)) // 1000)


def _parse_number(text: str | None) -> float | None:
    """A header's number; None where there is none that can be used."""
    try:
        value = float(text) if text is not None else None
    except ValueError:
        return None
    return value if value is not None and 0 <= value < NUMBER_MAX else None


def _parse_count(text: str | None, more: int) -> int | None:
    """A header's whole number plus `more`; None where there is none."""
    value = _parse_number(text)
    return None if value is None else int(value) + more


def _parse_load_report(text: str | None) -> dict[str, float]:
    """A load report, `inflight=7,queue=2`: the fields with a number."""
    report: dict[str, float] = {}
    for part in (text or "").split(","):
        name, _, figure = part.partition("=")
        value = _parse_number(figure)
        if value is not None:
            report[name.strip()] = value
    return report
