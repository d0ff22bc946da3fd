"""Keeps the endpoint list in sync with the platform's discovery, by long polling over HTTP.

Discovery is either an agent on this machine, which learns of each change by itself and answers without cost,
or a service that must be polled and charges for each call.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.net.backoff import JITTER, Backoff
from lemonridge.net.deadline_session import (
    ANSWER_MAX_S,
    CALL_ERRORS,
    SILENCE_MAX_S,
    DeadlineSession,
    HttpCall,
)
from lemonridge.net.discovery_format import parse_answer
from lemonridge.net.errors import AnswerTooLongError, DiscoveryStatusError, MalformedListError
from lemonridge.scheduling import MAX_POLL_BACKOFF_US
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

MISSED_CHANGE_NOTIFIED_AFTER_S = 6.0  # a missed change counts as notified this long after a silence began
# Watch time of a call to an agent: the watch, a silence, the next call and a slow answer take less than 6 s.
AGENT_WATCH_S = 2.0
POLL_WATCH_S = 60.0  # watch time where calls are charged: the longest that the protocol allows
AGENT_OPEN_CALLS_MAX = 4  # concurrent calls to an agent
CHANGES_WATCH_MS = 1  # watch time of a call for the changes up to now
BACKOFF_FIRST_S = 0.05
POLL_INTERVAL_PER_BROKER_S = 0.125  # first pause, per broker of the fleet, where discovery must be polled
POLL_ANSWER_MAX_S = 1.5  # left for the answer to a poll before a missed change counts as notified
POLL_INTERVAL_MAX_S = MISSED_CHANGE_NOTIFIED_AFTER_S - POLL_ANSWER_MAX_S  # between the starts of two polls
LIST_MAX_BYTES = 4 * 2**20  # about 20,000 endpoints
HTTP_OK = 200


class _ListCall:
    """An open call for the list.

    Attributes:
        task: Returns the body of the answer.
        is_answering: Whether the head of the response has arrived.
    """

    task: asyncio.Task[bytes]
    is_answering = False


async def _first_answer(calls: list[_ListCall]) -> bytes:
    """Returns the first answer to any of these calls.

    Failed calls are removed from `calls`. Once no call is left, the error of the last one is raised.

    Raises:
        DiscoveryError: The last call got no endpoint list.
        aiohttp.ClientError: The connection of the last call failed.
        OSError: The connection of the last call failed or timed out.
    """
    while True:
        done, _ = await asyncio.wait([call.task for call in calls], return_when=asyncio.FIRST_COMPLETED)
        calls[:] = [call for call in calls if call.task not in done]
        errors = [task.exception() for task in done]
        for task, error in zip(done, errors, strict=True):
            if error is None:
                return task.result()
        if not calls:
            raise errors[0] or DiscoveryStatusError("discovery call ended without an answer")


def backoff_bounds_s(settings: Settings) -> tuple[float, float]:
    """Returns the first and the longest pause before a call, in seconds.

    Changes known to an agent count as notified even if no watch is open. A pause, an unanswered call and the
    next call must therefore take well under the grace time of a drain.

    Where discovery must be polled, the calls of all brokers share one queue, and a call that timed out in it
    costs as much as an answered one; if all brokers poll again and again without a pause, none gets an
    answer. The pauses grow with the number of brokers, but stay within the time after which a broker counts
    as not polling, and with their jitter within POLL_INTERVAL_MAX_S.

    Args:
        settings: The scheduler's settings.
    """
    if not settings.polls_endpoint_list:
        longest_s = settings.drain_grace_us / 4e6 or BACKOFF_FIRST_S
        return min(BACKOFF_FIRST_S, longest_s), longest_s
    limit_s = (settings.poll_within_us or MAX_POLL_BACKOFF_US) / 1e6
    longest_s = min(limit_s, POLL_INTERVAL_MAX_S / (1 + JITTER))
    first_s = max(BACKOFF_FIRST_S, min(POLL_INTERVAL_PER_BROKER_S * settings.hosts, limit_s / 2, longest_s))
    return first_s, max(first_s, longest_s)


def first_poll_spread_s(settings: Settings) -> float:
    """Returns the time over which the first polls of all brokers are spread, in seconds.

    Args:
        settings: The scheduler's settings.
    """
    limit_s = (settings.poll_within_us or MAX_POLL_BACKOFF_US) / 1e6
    spread_s = min(POLL_INTERVAL_PER_BROKER_S * settings.hosts, limit_s / 2, POLL_INTERVAL_MAX_S)
    return max(BACKOFF_FIRST_S, spread_s)


class Discovery:
    """Keeps the endpoint registry in sync with discovery.

    Counters: `discovery.answers`, and `discovery.failed` from the backoff.

    Args:
        address: The address of discovery, as HOST:PORT.
        zones: The zones in the settings, in the order of their numbers.
        registry: Receives the endpoint list.
        random: The random generator of the backoff's jitter.
        counters: The process's counters.
        settings: The scheduler's settings.
    """

    def __init__(
        self,
        address: str,
        zones: tuple[str, ...],
        registry: EndpointRegistry,
        random: Random,
        counters: Counters,
        settings: Settings,
    ) -> None:
        self._url, self._zones, self._registry = f"http://{address}/api/targets", zones, registry
        self._calls_are_charged = settings.polls_endpoint_list  # a polled service; False: an agent
        self._watch_s = POLL_WATCH_S if self._calls_are_charged else AGENT_WATCH_S
        # An agent answers a call without a watch immediately; otherwise its connection has failed silently.
        self._answer_timeout_s = (
            MISSED_CHANGE_NOTIFIED_AFTER_S / 2
            if self._calls_are_charged
            else settings.drain_grace_us / 2e6 or SILENCE_MAX_S
        )
        self._first_poll_spread_s = first_poll_spread_s(settings)
        self._backoff = Backoff("discovery", log, *backoff_bounds_s(settings), random, counters)
        self._counters = counters
        self._version: int | None = None  # of the list; None: request the complete list next

    async def run(self, version: int | None) -> None:
        """Gets the complete list, or the changes since a version, then watches for changes; never returns.

        After a failed call to an agent the next call asks for the changes up to now, not for a watch. No
        error ends this method, because the broker would not learn of any later drain.

        Args:
            version: The version of the list that is already known; None if there is none.
        """
        self._version = version
        if version is not None:
            # The cached list is used meanwhile.
            await self._backoff.wait_before_first(self._first_poll_spread_s)
        skips_watch = False
        async with DeadlineSession() as http:
            while True:
                call_began_s = asyncio.get_running_loop().time()
                try:
                    is_watch = self._version is not None and not skips_watch
                    body = await (self._watch(http) if is_watch else self._poll(http))
                    self._version = self._apply(body)
                    skips_watch = False
                    self._backoff.reset()
                except CALL_ERRORS as error:
                    # An agent is asked for the missed changes immediately.
                    skips_watch = not self._calls_are_charged
                    self._check_version(error)
                    await self._wait_after(error, call_began_s)
                except Exception as error:
                    log.exception("discovery failed: internal error")
                    self._version = None
                    await self._backoff.wait_after(error)

    async def _wait_after(self, error: Exception, call_began_s: float) -> None:
        """Counts and logs a failure, and pauses before the next call.

        Where calls are charged, the time that a silent call took is part of the pause: what a silent watch
        has missed counts as notified 2 s after the end of its wait (STANDING, "one clock for silence"), and
        half of that time is over. A broken connection is no part of it, since it breaks for all brokers at
        once.
        """
        is_part_of_pause = self._calls_are_charged and isinstance(error, TimeoutError)
        await self._backoff.wait_after(error, call_began_s if is_part_of_pause else None)

    def _check_version(self, error: Exception) -> None:
        """Requests the complete list next if the error makes the known version doubtful.

        This is the case if an answer was malformed, or if an agent refuses connections: its process has
        exited, and the next one may restart its version numbers.
        """
        has_agent_exited = isinstance(error, aiohttp.ClientConnectorError) and not self._calls_are_charged
        if has_agent_exited or isinstance(error, MalformedListError):
            self._version = None

    async def _watch(self, http: DeadlineSession) -> bytes:
        """Waits for a change and returns the body of the answer.

        Raises:
            TimeoutError: No answer arrived within the watch time, plus `SILENCE_MAX_S`.
        """
        query = f"?after={self._version}&wait_ms={int(self._watch_s * 1000)}"
        head_by_s = asyncio.get_running_loop().time() + self._watch_s + SILENCE_MAX_S
        return await self._call(http, query, head_by_s, _ListCall())

    async def _poll(self, http: DeadlineSession) -> bytes:
        """Returns an answer with the current list, or with the changes since the known version.

        A call that is not answered soon may be slow or lost, so another call is started beside it, and the
        first answer is used. If the answer to one call has begun, no other call is started. Where calls are
        charged, only one is open at a time.
        """
        loop, calls = asyncio.get_running_loop(), list[_ListCall]()
        try:
            while True:
                now_s = loop.time()
                if not any(call.is_answering for call in calls):
                    if len(calls) >= (1 if self._calls_are_charged else AGENT_OPEN_CALLS_MAX):
                        calls.pop(0).task.cancel()
                    calls.append(self._start_call(http, now_s + ANSWER_MAX_S))
                try:
                    async with asyncio.timeout_at(now_s + self._answer_timeout_s):
                        return await _first_answer(calls)
                except CALL_ERRORS as error:
                    self._check_version(error)
                    await self._wait_after(error, now_s)
        finally:
            for call in calls:
                call.task.cancel()

    def _start_call(self, http: DeadlineSession, head_by_s: float) -> _ListCall:
        """Starts a call for the current list, or for the changes up to now."""
        query = "" if self._version is None else f"?after={self._version}&wait_ms={CHANGES_WATCH_MS}"
        call = _ListCall()
        call.task = asyncio.create_task(self._call(http, query, head_by_s, call))
        return call

    async def _call(self, http: DeadlineSession, query: str, head_by_s: float, call: _ListCall) -> bytes:
        """Returns the body of the answer to one call.

        Args:
            http: The HTTP session.
            query: The query of the URL.
            head_by_s: When the head of the response must have arrived, in seconds of the event loop's clock.
            call: Its `is_answering` is set when the head has arrived.

        Raises:
            TimeoutError: The head is late, or the answer does not continue. The connection is closed, so that
                the rest of the answer is never read.
            DiscoveryError: The status is not 200, or the list is too long.
        """

        def on_head(status: int) -> None:
            call.is_answering = True
            if status != HTTP_OK:
                raise DiscoveryStatusError(f"discovery responded with status {status}")

        try:
            answer = await http.call(HttpCall(self._url + query, LIST_MAX_BYTES), head_by_s, on_head)
        except AnswerTooLongError:
            raise MalformedListError(f"endpoint list exceeds {LIST_MAX_BYTES} bytes") from None
        return answer.body

    def _apply(self, body: bytes) -> int:
        """Applies an answer to the registry, completely or not at all; returns the new version of the list.

        Raises:
            MalformedListError: The answer is malformed, or its version is lower than that of the list.
        """
        answer = parse_answer(body)
        if not answer.is_snapshot and self._version is not None and answer.version < self._version:
            raise MalformedListError(
                f"version {answer.version} is below the known version {self._version}: discovery restarted"
            )
        endpoints = answer.endpoints(self._zones)
        self._counters["discovery.answers"] += 1
        self._registry.record_answer()
        if endpoints or answer.is_snapshot:
            kind = EndpointListUpdate.SNAPSHOT if answer.is_snapshot else EndpointListUpdate.DELTA
            self._registry.update(kind, endpoints)
        return answer.version
