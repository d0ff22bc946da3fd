"""The watch of the platform's node list."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Any

import aiohttp
import orjson

from lemonridge import api
from lemonridge.config import Address, ConfigError
from lemonridge.core.directory import Directory, Listing
from lemonridge.counters import Counters
from lemonridge.net.watching import Backoff, client
from lemonridge.policy import ASK_TOP_US

log = logging.getLogger(__name__)

PUSHED_S = 3.0  # a watch of what an agent pushes: its silence is to be found well within 6 s; calls are free
ASKED_S = 60.0  # the longest wait that discovery allows, where each call costs it
GRACE_S = 1.0  # past the wait: a watch that is silent for longer is lost; 2 s past it counts as told
TOLD_S = 6.0  # after the beginning of a silence, what was missed counts as told
PAUSE_S = 0.05  # before the first retry, doubled up to a limit
EACH_S = 0.125  # of discovery's time for a call, where it must be asked: brokers spread their calls by that
LIST_MAX = 4 * 2**20  # bytes of a list, for some 20,000 nodes
CONDITIONS = {"up": api.Condition.ACTIVE, "draining": api.Condition.LEAVING, "removed": api.Condition.LEFT}


class MalformedError(Exception):
    """An answer that is not a node list."""


class UnansweredError(Exception):
    """Discovery answered with something else than 200."""


def listings(told: Any, zones: tuple[str, ...]) -> list[Listing]:
    """The lines of a list in discovery's form; `MalformedError` where one of them is spoilt, as the others
    would then be a list that nobody told."""
    try:
        if not isinstance(told["hosts"], list):
            raise MalformedError("'hosts' must be a list")
        return [_listing(row, zones) for row in told["hosts"]]
    except (KeyError, TypeError, ValueError, OverflowError, ConfigError) as error:
        raise MalformedError(f"{type(error).__name__}: {error}") from None


def _listing(row: Any, zones: tuple[str, ...]) -> Listing:
    node, shard, born_ms = row["host"], row["block"], row["born_ms"] or 0
    if not isinstance(node, str) or not node or type(shard) is not int or type(born_ms) not in (int, float):
        raise MalformedError("'host' must be a name, 'block' a whole number, 'born_ms' a number")
    entry = api.Entry(node=node, shard=shard, zone=_zone(row["site"], zones),
                      condition=CONDITIONS[row["health"]], started_us=int(born_ms) * 1000)  # fmt: skip
    if entry.condition is api.Condition.LEFT:
        return Listing(entry, "")  # nobody dials it
    return Listing(entry, str(Address.parse(row["dial"], "'dial'")))


def _zone(site: Any, zones: tuple[str, ...]) -> int:
    """A site's number: its place among the settings' zones, by its name or by the last part of it."""
    for number, zone in enumerate(zones):
        if site == zone or zone.rpartition("-")[2] == site:
            return number
    return sum(map(ord, str(site))) + len(zones)  # unknown: alike for like names, which is all that counts


def pauses(settings: api.Settings) -> tuple[float, float]:
    """The first and the longest pause before a call, in seconds.

    An agent that pushes answers at no cost, and what it has counts as told though no watch is open: with a
    pause, a call that is not answered and the next one, it is heard well within the time of a drain.

    Where discovery must be asked, the calls of all brokers wait in one line, and one that waited for too
    long costs as much as one that is answered: asked by all at once and again, it answers none. The pauses
    grow with the fleet, and end within the time after which a broker counts as one that did not ask.
    """
    if not settings.asks_list:
        top_s = settings.drain_grace_us / 4e6 or PAUSE_S
        return min(PAUSE_S, top_s), top_s
    within_s = (settings.ask_within_us or ASK_TOP_US) / 1e6
    first_s = max(PAUSE_S, min(EACH_S * settings.hosts, within_s / 2))
    return first_s, max(first_s, within_s)


class Discovery:
    """Keeps the directory in step with discovery; `run` never returns."""

    def __init__(self, address: str, zones: tuple[str, ...], directory: Directory, random: Random,
                 counters: Counters, settings: api.Settings) -> None:
        self._url, self._zones, self._directory = f"http://{address}/api/targets", zones, directory
        self._asks = settings.asks_list
        self._wait_s = ASKED_S if self._asks else PUSHED_S
        # A call that does not wait is answered at once, or its connection has fallen silent.
        self._answer_s = TOLD_S - GRACE_S if self._asks else settings.drain_grace_us / 2e6 or GRACE_S
        self._backoff = Backoff("discovery", log, *pauses(settings), random, counters)
        self._counters = counters

    async def run(self, seq: int | None) -> None:
        """Take the whole list, or what changed since `seq`, then watch; the next call leaves at once, or it
        would be a new watch. Whatever comes, this goes on: without it no drain would be heard of again."""
        if seq is not None:
            await self._backoff.spread()  # the known list serves meanwhile
        async with client() as http:
            while True:
                try:
                    seq = self._take(await self._call(http, seq))
                    self._backoff.worked()
                except (aiohttp.ClientError, OSError, MalformedError, UnansweredError) as error:
                    if not self._asks or isinstance(error, MalformedError):
                        seq = None  # the whole list, which costs an agent nothing
                    await self._backoff.failed(error)
                except Exception as error:
                    log.exception("discovery failed")
                    seq = None
                    await self._backoff.failed(error)

    async def _call(self, http: aiohttp.ClientSession, seq: int | None) -> bytes:
        """The answer to one call; `TimeoutError` where it fell silent. Its connection is closed then: what
        comes on it later is not read."""
        query = "" if seq is None else f"?after={seq}&wait_ms={int(self._wait_s * 1000)}"
        silent_s = self._answer_s if seq is None else self._wait_s + GRACE_S
        loop = asyncio.get_running_loop()
        async with asyncio.timeout_at(loop.time() + silent_s) as scope:
            async with http.get(self._url + query, allow_redirects=False) as answer:
                scope.reschedule(loop.time() + GRACE_S)  # it speaks, and a long list takes its time
                if answer.status != 200:
                    raise UnansweredError(f"status {answer.status}")
                body = bytearray()
                async for part in answer.content.iter_any():
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
        lines = listings(told, self._zones)
        self._counters["discovery.answers"] += 1
        if lines or whole:
            self._directory.take(api.ListKind.WHOLE if whole else api.ListKind.PATCH, lines)
        return seq
