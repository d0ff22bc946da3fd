"""Keeps the endpoint list in step with the platform's discovery, by long polls over HTTP.

Discovery is either an agent on this machine, which learns of each change by itself and answers at no cost, or
a service that has to be polled and pays for each call.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

import aiohttp

from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.net.discovery_format import parse_answer
from lemonridge.net.errors import DiscoveryError, DiscoveryStatusError, MalformedListError
from lemonridge.net.watch_stream import Backoff, open_session
from lemonridge.scheduling import MAX_POLL_BACKOFF_US
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

CHANGE_COUNTS_AFTER_S = 6.0  # a change that was missed counts as notified so long after a silence began
AGENT_WAIT_S = 2.0  # of a watch at an agent: its silence, the next call and a slow answer fit into those 6 s
POLL_WAIT_S = 60.0  # of a watch where each call costs discovery: the longest that the protocol allows
SILENCE_MAX_S = 1.0  # without a byte past the wait, or in the middle of an answer: the call is lost
ANSWER_MAX_S = 5.0  # for a complete answer that keeps arriving
AGENT_CALLS_MAX = 4  # that are open at a time at an agent
CHANGES_WAIT_MS = 1  # of a call for the changes until now
BACKOFF_FIRST_S = 0.05
POLL_INTERVAL_PER_BROKER_S = 0.125  # brokers that poll spread their calls by that, each for all
LIST_MAX_BYTES = 4 * 2**20  # some 20,000 endpoints

CALL_FAILURES = (aiohttp.ClientError, OSError, DiscoveryError)  # OSError includes TimeoutError


class _ListCall:
    """A call for the list that is open."""

    task: asyncio.Task[bytes]
    is_answering = False  # the head of its response has arrived


async def _first_answer(calls: list[_ListCall]) -> bytes:
    """The first answer to any of these calls.

    Calls that failed are removed from `calls`; once none is left, the last one's error is raised.
    """
    while True:
        done, _ = await asyncio.wait([call.task for call in calls], return_when=asyncio.FIRST_COMPLETED)
        calls[:] = [call for call in calls if call.task not in done]
        errors = [task.exception() for task in done]
        for task, error in zip(done, errors, strict=True):
            if error is None:
                return task.result()
        if not calls:
            raise errors[0] or DiscoveryStatusError("no answer")


def backoff_bounds_s(settings: Settings) -> tuple[float, float]:
    """The first and the longest pause before a call, in seconds.

    What an agent has counts as notified though no watch is open: with a pause, a call that is not answered
    and the next one, it has to be heard well within the grace time of a drain.

    Where discovery must be polled, the calls of all brokers wait in one queue, and one that waited for too
    long costs as much as one that is answered: polled by all at once and again, it answers none. The pauses
    grow with the number of brokers, and end within the time after which a broker counts as one that did not
    poll.
    """
    if not settings.polls_endpoint_list:
        longest_s = settings.drain_grace_us / 4e6 or BACKOFF_FIRST_S
        return min(BACKOFF_FIRST_S, longest_s), longest_s
    within_s = (settings.poll_within_us or MAX_POLL_BACKOFF_US) / 1e6
    first_s = max(BACKOFF_FIRST_S, min(POLL_INTERVAL_PER_BROKER_S * settings.hosts, within_s / 2))
    return first_s, max(first_s, within_s)


class Discovery:
    """Keeps the endpoint registry in step with discovery.

    Counters: `discovery.answers`, and `discovery.failed` of the backoff.
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
        self._polls = settings.polls_endpoint_list
        self._wait_s = POLL_WAIT_S if self._polls else AGENT_WAIT_S
        # An agent answers a call that does not wait at once, or its connection has fallen silent.
        self._answer_s = (
            CHANGE_COUNTS_AFTER_S - SILENCE_MAX_S
            if self._polls
            else settings.drain_grace_us / 2e6 or SILENCE_MAX_S
        )
        self._backoff = Backoff("discovery", log, *backoff_bounds_s(settings), random, counters)
        self._counters = counters
        self._version: int | None = None  # of the list; None: the complete list is asked for next

    async def run(self, version: int | None) -> None:
        """Get the complete list, or the changes since `version`, then watch; this never returns.

        The next call leaves at once, or it would be a new watch. No error ends this: without it the broker
        would hear of no drain again.
        """
        self._version = version
        if version is not None:
            await self._backoff.wait_before_first()  # the cached list serves meanwhile
        is_broken = False
        async with open_session() as http:
            while True:
                try:
                    watches = self._version is not None and not is_broken
                    body = await (self._watch(http) if watches else self._poll(http))
                    self._version = self._apply(body)
                    is_broken = False
                    self._backoff.reset()
                except CALL_FAILURES as error:
                    is_broken = not self._polls  # an agent is asked at once for the changes that were missed
                    self._check_version(error)
                    await self._backoff.wait_after(error)
                except Exception as error:
                    log.exception("discovery failed")
                    self._version = None
                    await self._backoff.wait_after(error)

    def _check_version(self, error: Exception) -> None:
        """Ask for the complete list next, where the error leaves doubt of the version.

        That is so where an answer was malformed, or where an agent refuses connections: its process has ended
        and may count its versions from the beginning.
        """
        agent_has_ended = isinstance(error, aiohttp.ClientConnectorError) and not self._polls
        if agent_has_ended or isinstance(error, MalformedListError):
            self._version = None

    async def _watch(self, http: aiohttp.ClientSession) -> bytes:
        """Wait for a change; the answer's body. `TimeoutError` where the watch fell silent."""
        query = f"?after={self._version}&wait_ms={int(self._wait_s * 1000)}"
        head_by_s = asyncio.get_running_loop().time() + self._wait_s + SILENCE_MAX_S
        return await self._call(http, query, head_by_s, _ListCall())

    async def _poll(self, http: aiohttp.ClientSession) -> bytes:
        """The complete list as of now, or the changes since the version; the answer's body.

        A call that is not answered at once may be slow or lost. So the next one leaves beside it, and the
        first answer counts; one whose answer has begun is waited for. Where each call costs discovery, there
        is one at a time.
        """
        loop, calls = asyncio.get_running_loop(), list[_ListCall]()
        try:
            while True:
                now_s = loop.time()
                if not any(call.is_answering for call in calls):
                    if len(calls) >= (1 if self._polls else AGENT_CALLS_MAX):
                        calls.pop(0).task.cancel()
                    calls.append(self._start_call(http, now_s + ANSWER_MAX_S))
                try:
                    async with asyncio.timeout_at(now_s + self._answer_s):
                        return await _first_answer(calls)
                except CALL_FAILURES as error:
                    self._check_version(error)
                    await self._backoff.wait_after(error)
        finally:
            for call in calls:
                call.task.cancel()

    def _start_call(self, http: aiohttp.ClientSession, head_by_s: float) -> _ListCall:
        """Start a call for the list as of now."""
        query = "" if self._version is None else f"?after={self._version}&wait_ms={CHANGES_WAIT_MS}"
        call = _ListCall()
        call.task = asyncio.create_task(self._call(http, query, head_by_s, call))
        return call

    async def _call(
        self, http: aiohttp.ClientSession, query: str, head_by_s: float, call: _ListCall
    ) -> bytes:
        """The body of the answer to one call.

        Args:
            http: the session to call by.
            query: of the URL.
            head_by_s: when the response's head has to be there, on the loop's clock.
            call: where the arrival of that head is marked.

        Raises:
            TimeoutError: the head is late, or no more of the answer arrives. The connection is closed then,
            so
                that nothing of it is read later.
            DiscoveryError: the status is not 200, or the list is too long.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(head_by_s) as scope:
            async with http.get(self._url + query, allow_redirects=False) as response:
                call.is_answering, complete_by_s = True, loop.time() + ANSWER_MAX_S
                scope.reschedule(loop.time() + SILENCE_MAX_S)
                if response.status != 200:
                    raise DiscoveryStatusError(f"status {response.status}")
                body = bytearray()
                async for part in response.content.iter_any():
                    scope.reschedule(min(complete_by_s, loop.time() + SILENCE_MAX_S))
                    body += part
                    if len(body) > LIST_MAX_BYTES:
                        raise MalformedListError("the list is too long")
                return bytes(body)

    def _apply(self, body: bytes) -> int:
        """Apply an answer to the registry, completely or not at all; the version that the list is at then.

        Raises:
            MalformedListError: the answer is malformed, or goes back behind the version of the list.
        """
        answer = parse_answer(body)
        if not answer.is_snapshot and self._version is not None and answer.version < self._version:
            raise MalformedListError(
                f"version {answer.version} after {self._version}: discovery has begun anew"
            )
        endpoints = answer.endpoints(self._zones)
        self._counters["discovery.answers"] += 1
        self._registry.record_answer()
        if endpoints or answer.is_snapshot:
            kind = EndpointListUpdate.SNAPSHOT if answer.is_snapshot else EndpointListUpdate.DELTA
            self._registry.update(kind, endpoints)
        return answer.version
