"""The watch of the platform's node list."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Any

import aiohttp
import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry
from lemonridge.net.watch_stream import Backoff, client
from lemonridge.scheduling import MAX_POLL_BACKOFF_US
from lemonridge.scheduling.events import Endpoint, EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

PUSHED_S = 2.0  # a watch of what an agent pushes: silence, the next call and a slow answer fit into 6 s
ASKED_S = 60.0  # the longest wait that discovery allows, where each call costs it
GRACE_S = 1.0  # without a byte: past the wait, or in the middle of an answer, a call is lost after that
ANSWER_S = 5.0  # for all of an answer: a list may take its time as long as it goes on, but not past 6 s
OVERLAP = 4  # calls for the list at a time: one that is slow goes on beside the next, one that is lost costs
RESUME_MS = 1  # the wait of a call that asks for what has changed by now
TOLD_S = 6.0  # after the beginning of a silence, what was missed counts as told
PAUSE_S = 0.05  # before the first retry, doubled up to a limit
EACH_S = 0.125  # of discovery's time for a call, where it must be asked: brokers spread their calls by that
LIST_MAX = 4 * 2**20  # bytes of a list, for some 20,000 nodes
CONDITIONS = {
    "up": EndpointState.ACTIVE,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}


class MalformedError(Exception):
    """An answer that is not a node list."""


class UnansweredError(Exception):
    """Discovery answered with something else than 200."""


def listings(told: Any, zones: tuple[str, ...]) -> list[EndpointAddress]:
    """The lines of a list in discovery's form; `MalformedError` where one of them is spoilt, as the others
    would then be a list that nobody told.
    """
    try:
        if not isinstance(told["hosts"], list):
            raise MalformedError("'hosts' must be a list")
        return [_listing(row, zones) for row in told["hosts"]]
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise MalformedError(f"{type(error).__name__}: {error}") from None


def _listing(row: Any, zones: tuple[str, ...]) -> EndpointAddress:
    endpoint, shard, born_ms = row["host"], row["block"], row["born_ms"] or 0
    if (
        not isinstance(endpoint, str)
        or not endpoint
        or type(shard) is not int
        or type(born_ms) not in (int, float)
    ):
        raise MalformedError("'host' must be a name, 'block' a whole number, 'born_ms' a number")
    entry = Endpoint(
        endpoint_id=endpoint,
        shard=shard,
        zone=_zone(row["site"], zones),
        condition=CONDITIONS[row["health"]],
        started_us=int(born_ms) * 1000,
    )
    if entry.condition is EndpointState.REMOVED:
        return EndpointAddress(entry, "")  # nobody dials it
    return EndpointAddress(entry, str(Address.parse(row["dial"], "'dial'")))


def _zone(site: Any, zones: tuple[str, ...]) -> int:
    """A site's number: its place among the settings' zones, by its name or by the last part of it."""
    for number, zone in enumerate(zones):
        if site == zone or zone.rpartition("-")[2] == site:
            return number
    return sum(map(ord, str(site))) + len(zones)  # unknown: alike for like names, which is all that counts


class _Call:
    """A call for the list that is under way."""

    task: asyncio.Task[bytes]
    answers = False  # the head of its answer has come


async def _first(calls: list[_Call]) -> bytes:
    """The first answer to any of these calls; those that failed are taken off, and the last one's error is
    raised.
    """
    while True:
        done, _ = await asyncio.wait([call.task for call in calls], return_when=asyncio.FIRST_COMPLETED)
        calls[:] = [call for call in calls if call.task not in done]
        errors = [task.exception() for task in done]
        for task, error in zip(done, errors, strict=True):
            if error is None:
                return task.result()
        if not calls:
            raise errors[0] or UnansweredError("no answer")


def pauses(settings: Settings) -> tuple[float, float]:
    """The first and the longest pause before a call, in seconds.

    An agent that pushes answers at no cost, and what it has counts as told though no watch is open: with a
    pause, a call that is not answered and the next one, it is heard well within the time of a drain.

    Where discovery must be asked, the calls of all brokers wait in one line, and one that waited for too
    long costs as much as one that is answered: asked by all at once and again, it answers none. The pauses
    grow with the fleet, and end within the time after which a broker counts as one that did not ask.
    """
    if not settings.polls_endpoint_list:
        top_s = settings.drain_grace_us / 4e6 or PAUSE_S
        return min(PAUSE_S, top_s), top_s
    within_s = (settings.poll_within_us or MAX_POLL_BACKOFF_US) / 1e6
    first_s = max(PAUSE_S, min(EACH_S * settings.hosts, within_s / 2))
    return first_s, max(first_s, within_s)


class Discovery:
    """Keeps the directory in step with discovery; `run` never returns."""

    def __init__(
        self,
        address: str,
        zones: tuple[str, ...],
        directory: EndpointRegistry,
        random: Random,
        counters: Counters,
        settings: Settings,
    ) -> None:
        self._url, self._zones, self._directory = f"http://{address}/api/targets", zones, directory
        self._asks = settings.polls_endpoint_list
        self._wait_s = ASKED_S if self._asks else PUSHED_S
        # A call that does not wait is answered at once, or its connection has fallen silent.
        self._answer_s = TOLD_S - GRACE_S if self._asks else settings.drain_grace_us / 2e6 or GRACE_S
        self._backoff = Backoff("discovery", log, *pauses(settings), random, counters)
        self._counters = counters
        self._seq: int | None = None  # the version that the list is brought to

    async def run(self, seq: int | None) -> None:
        """Take the whole list, or what changed since `seq`, then watch; the next call leaves at once, or it
        would be a new watch. Whatever comes, this goes on: without it no drain would be heard of again.
        """
        self._seq = seq
        if seq is not None:
            await self._backoff.spread()  # the known list serves meanwhile
        broken = False
        async with client() as http:
            while True:
                try:
                    watches = self._seq is not None and not broken
                    answer = await (self._watch(http) if watches else self._ask(http))
                    self._seq = self._take(answer)
                    broken = False
                    self._backoff.worked()
                except (aiohttp.ClientError, OSError, MalformedError, UnansweredError) as error:
                    broken = not self._asks  # an agent is asked at once for what was missed
                    self._doubt(error)
                    await self._backoff.failed(error)
                except Exception as error:
                    log.exception("discovery failed")
                    self._seq = None
                    await self._backoff.failed(error)

    def _doubt(self, error: Exception) -> None:
        """Ask for the whole list next, where what was told so far may not be gone on from: an answer made no
        sense, or an agent refuses connections, as its process has ended and may count from the beginning.
        """
        refused = isinstance(error, aiohttp.ClientConnectorError) and not self._asks
        if refused or isinstance(error, MalformedError):
            self._seq = None

    async def _watch(self, http: aiohttp.ClientSession) -> bytes:
        """Wait for a change; the answer. `TimeoutError` where the watch fell silent."""
        query = f"?after={self._seq}&wait_ms={int(self._wait_s * 1000)}"
        silent_at = asyncio.get_running_loop().time() + self._wait_s + GRACE_S
        return await self._call(http, query, silent_at, _Call())

    async def _ask(self, http: aiohttp.ClientSession) -> bytes:
        """What an agent has by now: the whole list, or the changes since the version that is held.

        A call that is not answered at once may be slow or lost. So the next one leaves beside it, and the
        first answer counts; one whose answer has begun is waited for. Where each call costs discovery, there
        is one at a time.
        """
        loop, calls = asyncio.get_running_loop(), list[_Call]()
        try:
            while True:
                now = loop.time()
                if not any(call.answers for call in calls):
                    if len(calls) >= (1 if self._asks else OVERLAP):
                        calls.pop(0).task.cancel()
                    calls.append(self._begin(http, now + ANSWER_S))
                try:
                    async with asyncio.timeout_at(now + self._answer_s):
                        return await _first(calls)
                except (aiohttp.ClientError, OSError, MalformedError, UnansweredError) as error:
                    self._doubt(error)
                    await self._backoff.failed(error)
        finally:
            for call in calls:
                call.task.cancel()

    def _begin(self, http: aiohttp.ClientSession, head_by: float) -> _Call:
        """A call for what an agent has by now."""
        query = "" if self._seq is None else f"?after={self._seq}&wait_ms={RESUME_MS}"
        call = _Call()
        call.task = asyncio.create_task(self._call(http, query, head_by, call))
        return call

    async def _call(self, http: aiohttp.ClientSession, query: str, head_by: float, call: _Call) -> bytes:
        """The answer to one call; `TimeoutError` where it fell silent: its head has not come by then, on the
        loop's clock, or no more of it comes. Its connection is closed then: what comes later is not read.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(head_by) as scope:
            async with http.get(self._url + query, allow_redirects=False) as answer:
                call.answers, whole_by = True, loop.time() + ANSWER_S
                scope.reschedule(loop.time() + GRACE_S)
                if answer.status != 200:
                    raise UnansweredError(f"status {answer.status}")
                body = bytearray()
                async for part in answer.content.iter_any():
                    scope.reschedule(min(whole_by, loop.time() + GRACE_S))
                    body += part
                    if len(body) > LIST_MAX:
                        raise MalformedError("the list is too long")
                return bytes(body)

    def _take(self, body: bytes) -> int:
        """Take an answer in, whole or not at all; the version that it brings the list to."""
        try:
            told = orjson.loads(body)
            seq, whole = told["seq"], told["whole"]
        except (ValueError, KeyError, TypeError) as error:
            raise MalformedError(f"{type(error).__name__}: {error}") from None
        if type(seq) is not int or type(whole) is not bool:
            raise MalformedError("'seq' must be a whole number, and 'whole' true or false")
        if not whole and self._seq is not None and seq < self._seq:
            raise MalformedError(f"version {seq} after {self._seq}: discovery has begun anew")
        lines = listings(told, self._zones)
        self._counters["discovery.answers"] += 1
        self._directory.record_answer()
        if lines or whole:
            self._directory.update(EndpointListUpdate.SNAPSHOT if whole else EndpointListUpdate.DELTA, lines)
        return seq
