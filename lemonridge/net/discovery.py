"""The watch of the platform's node list."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Any

import aiohttp
import orjson

from lemonridge import api
from lemonridge.core.directory import Directory, Listing
from lemonridge.counters import Counters
from lemonridge.net.watching import Backoff, client
from lemonridge.policy import ASK_TOP_US

log = logging.getLogger(__name__)

WAIT_S = 60.0  # the longest wait that discovery allows: the fewest gaps between calls
GRACE_S = 2.0  # past the wait: a call that is silent for longer is lost
PAUSE_S = 0.05  # before the first retry, doubled up to the limit below
PAUSE_TOP_S = 1.0
EACH_S = 0.125  # of discovery's time for a call, where it must be asked: brokers spread their calls by that
CONDITIONS = {"up": api.Condition.ACTIVE, "draining": api.Condition.LEAVING, "removed": api.Condition.LEFT}


class MalformedError(Exception):
    """An answer that is not a node list."""


class UnansweredError(Exception):
    """Discovery answered with something else than 200."""


def listings(told: Any, zones: tuple[str, ...]) -> list[Listing]:
    """The lines of a list in discovery's form."""
    try:
        return [
            Listing(
                api.Entry(
                    node=str(row["host"]),
                    shard=int(row["block"]),
                    zone=_zone(row["site"], zones),
                    condition=CONDITIONS[row["health"]],
                    started_us=int(row["born_ms"] or 0) * 1000,
                ),
                str(row["dial"]),
            )
            for row in told["hosts"]
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedError(f"{type(error).__name__}: {error}") from None


def _zone(site: Any, zones: tuple[str, ...]) -> int:
    """A site's number: its place among the settings' zones, by its name or by the last part of it."""
    for number, zone in enumerate(zones):
        if site == zone or zone.rpartition("-")[2] == site:
            return number
    return sum(map(ord, str(site))) + len(zones)  # unknown: alike for like names, which is all that counts


def pauses(settings: api.Settings) -> tuple[float, float]:
    """The first and the longest pause before a call, in seconds.

    Where discovery must be asked, the calls of all brokers wait in one line, and one that waited for too
    long costs as much as one that is answered: asked by all at once and again, it answers none. The pauses
    grow with the fleet, and end within the time after which a broker counts as one that did not ask.
    """
    if not settings.asks_list:
        return PAUSE_S, PAUSE_TOP_S
    within_s = (settings.ask_within_us or ASK_TOP_US) / 1e6
    first_s = max(PAUSE_S, min(EACH_S * settings.hosts, within_s / 2))
    return first_s, max(first_s, within_s)


class Discovery:
    """Keeps the directory in step with discovery; `run` never returns."""

    def __init__(self, address: str, zones: tuple[str, ...], directory: Directory, random: Random,
                 counters: Counters, settings: api.Settings) -> None:
        self._url, self._zones, self._directory = f"http://{address}/api/targets", zones, directory
        self._asks = settings.asks_list
        self._backoff = Backoff("discovery", log, *pauses(settings), random, counters)
        self._counters = counters

    async def run(self, seq: int | None) -> None:
        """Take the whole list, or what changed since `seq`, then watch; the next call leaves at once, or it
        would be a new watch."""
        loop = asyncio.get_running_loop()
        if seq is not None:
            await self._backoff.spread()  # the known list serves meanwhile
        async with client() as http:
            while True:
                query = "" if seq is None else f"?after={seq}&wait_ms={int(WAIT_S * 1000)}"
                try:
                    async with asyncio.timeout_at(loop.time() + WAIT_S + GRACE_S):
                        async with http.get(self._url + query, allow_redirects=False) as answer:
                            body = await answer.read()
                    if answer.status != 200:
                        raise UnansweredError(f"status {answer.status}")
                    seq = self._take(body)
                    self._backoff.worked()
                except (aiohttp.ClientError, OSError, MalformedError, UnansweredError) as error:
                    if not self._asks or isinstance(error, MalformedError):
                        seq = None  # the whole list, which costs an agent nothing
                    await self._backoff.failed(error)

    def _take(self, body: bytes) -> int:
        try:
            told = orjson.loads(body)
            seq, whole = int(told["seq"]), bool(told["whole"])
        except (ValueError, KeyError, TypeError) as error:
            raise MalformedError(f"{type(error).__name__}: {error}") from None
        lines = listings(told, self._zones)
        self._counters["discovery.answers"] += 1
        if lines or whole:
            self._directory.take(api.ListKind.WHOLE if whole else api.ListKind.PATCH, lines)
        return seq
