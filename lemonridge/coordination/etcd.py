"""Following etcd by the JSON gateway of its v3 API: a prefix is read whole, then watched from there on.

Under the operator's prefix, `nodes/NAME` holds a node and `plans/NAME` the figures of a plan, each as a JSON
object with the keys of the operator's file; the map of extents stands under `map/` (extents/etcd.py). Each
kind is followed by itself, so that news of nodes never waits for the pages of a big map.
"""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import AsyncGenerator, Callable, Sequence
from contextlib import aclosing
from dataclasses import dataclass, replace
from random import Random
from typing import Any, Protocol

import aiohttp
import orjson

from lemonridge.config.errors import ConfigError
from lemonridge.config.etcd import EtcdConfig
from lemonridge.config.operator_rows import endpoint_from_row, plan_from_row
from lemonridge.config.operator_schema import NodeTable, PlanTable, read
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress, EndpointRegistry
from lemonridge.net.watch_stream import Backoff, open_session
from lemonridge.scheduling.events import EndpointListUpdate, EndpointState
from lemonridge.scheduling.settings import Settings, VolumePlan

log = logging.getLogger(__name__)

RENEW_S = 60.0  # a watch is begun anew this often: a connection that died without a word tells nothing
ANSWER_S = 5.0  # for one call
PAUSE_S = 0.1  # before the first retry, doubled up to the limit below
PAUSE_TOP_S = 2.0
LINE_MAX = 8 << 20  # of one message of a watch
OUT_OF_RANGE = 11  # the code of gRPC that a compacted revision gets
FAILURES = (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError)


class CompactedError(Exception):
    """The revision that is wanted is gone: only a range tells what holds now."""


class OutOfStepError(Exception):
    """A change was lost: only a range tells what holds now."""


@dataclass(frozen=True, slots=True)
class Event:
    """A key that was set (`value`) or deleted (None), at a revision; the key without the prefix."""

    key: str
    value: bytes | None
    revision: int


class Feed(Protocol):
    """Takes what is followed."""

    def begin(self) -> None:
        """Everything is about to be told, page by page, as of one revision."""

    def page(self, rows: Sequence[Event]) -> None:
        """The next keys, in order; ValueError if they cannot be used, and all is read again after a pause."""

    def finish(self) -> None:
        """That was all; ValueError as above."""

    def changes(self, events: Sequence[Event]) -> None:
        """What changed, in order; OutOfStepError if only the whole helps."""

    async def beside(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """Runs beside each watch; its end ends the watch."""


def _b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class EtcdClient:
    """Calls of one endpoint, for keys below one prefix."""

    def __init__(self, etcd: EtcdConfig, counters: Counters, page: int) -> None:
        self._url, self._prefix = f"http://{etcd.endpoint}/v3", etcd.prefix
        self._counters, self._page = counters, page

    async def range(
        self, http: aiohttp.ClientSession, kind: str, take: Callable[[Sequence[Event]], None]
    ) -> int:
        """All keys that begin with `kind`, in pages of one revision; the revision is returned."""
        span = self._span(kind)
        asked: dict[str, Any] = {**span, "limit": str(self._page)}
        revision = 0
        while True:
            told = await self._post(http, "kv/range", asked)
            revision = revision or int(told["header"]["revision"])
            page = told.get("kvs", [])
            take([self._event(row) for row in page])
            if not told.get("more") or not page:
                self._counters["etcd.ranges"] += 1
                return revision
            after = base64.b64encode(base64.b64decode(page[-1]["key"]) + b"\0").decode()
            asked = {**span, "key": after, "limit": str(self._page), "revision": str(revision)}

    async def get(self, http: aiohttp.ClientSession, keys: Sequence[str]) -> list[Event]:
        """Single keys, all as of one moment; what is not there is left out."""
        asked = [{"request_range": {"key": _b64(self._prefix + key)}} for key in keys]
        told = await self._post(http, "kv/txn", {"success": asked})
        ranges = [one["response_range"] for one in told["responses"]]
        return [self._event(row) for one in ranges for row in one.get("kvs", ())]

    async def watch(
        self, http: aiohttp.ClientSession, kind: str, revision: int
    ) -> AsyncGenerator[list[Event], None]:
        """The events from `revision` on, however the stream was cut, until it is to be renewed."""
        create = {"create_request": {**self._span(kind), "start_revision": str(revision)}}
        renew = asyncio.get_running_loop().time() + RENEW_S
        async with http.post(f"{self._url}/watch", data=orjson.dumps(create)) as answer:
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            self._counters["etcd.watches"] += 1
            line = bytearray()
            while True:
                try:
                    async with asyncio.timeout_at(renew):
                        chunk = await answer.content.readany()
                except TimeoutError:
                    return
                if not chunk:
                    raise ValueError("the watch ended")
                line += chunk
                *whole, rest = line.split(b"\n")
                line = bytearray(rest)
                if len(line) > LINE_MAX:
                    raise ValueError("a message of the watch is too long")
                for text in filter(None, map(bytes.strip, map(bytes, whole))):
                    yield self._events(orjson.loads(text))

    def _events(self, message: dict[str, Any]) -> list[Event]:
        if "error" in message:
            raise ValueError(f"the watch failed: {message['error']}")
        result = message["result"]
        if int(result.get("compact_revision", 0)):
            raise CompactedError
        if result.get("canceled"):
            raise ValueError(f"the watch was cancelled: {result.get('cancel_reason', '')}")
        events = result.get("events", ())
        return [self._event(event["kv"], event.get("type") == "DELETE") for event in events]

    def _event(self, row: dict[str, Any], deleted: bool = False) -> Event:
        key = base64.b64decode(row["key"]).decode()[len(self._prefix) :]
        value = None if deleted else base64.b64decode(row.get("value", ""))
        return Event(key, value, int(row.get("mod_revision", 0)))

    def _span(self, kind: str) -> dict[str, str]:
        """Every key that begins so."""
        first = self._prefix + kind
        return {"key": _b64(first), "range_end": _b64(first[:-1] + chr(ord(first[-1]) + 1))}

    async def _post(self, http: aiohttp.ClientSession, path: str, asked: dict[str, Any]) -> dict[str, Any]:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + ANSWER_S):
            async with http.post(f"{self._url}/{path}", data=orjson.dumps(asked)) as answer:
                told = orjson.loads(await answer.read())
        if answer.status != 200:
            if isinstance(told, dict) and told.get("code") == OUT_OF_RANGE:
                raise CompactedError
            raise ValueError(f"status {answer.status}: {told}")
        if not isinstance(told, dict):
            raise ValueError("not an object")
        return told


class Follower:
    """Reads one kind of key whole, then follows it; `run` never returns."""

    def __init__(self, etcd: EtcdClient, kind: str, feed: Feed, random: Random, counters: Counters) -> None:
        self._etcd, self._kind, self._feed, self._counters = etcd, kind, feed, counters
        self._backoff = Backoff("etcd", log, PAUSE_S, PAUSE_TOP_S, random, counters)
        self._revision = 0

    async def run(self, revision: int = 0) -> None:
        """Range, then watch from the next revision; after a failure watch on, after a compaction range.

        `revision` is that of a range that the feed has taken already.
        """
        self._revision = revision
        async with open_session() as http:
            while True:
                try:
                    if not self._revision:
                        self._feed.begin()
                        reached = await self._etcd.range(http, self._kind, self._feed.page)
                        self._feed.finish()
                        self._revision = reached
                    await self._follow(http)
                except (CompactedError, OutOfStepError) as error:
                    lost = isinstance(error, OutOfStepError)
                    log.info(
                        "etcd out of step" if lost else "etcd compacted",
                        extra={"kind": self._kind, "revision": self._revision},
                    )
                    self._counters["etcd.out_of_step" if lost else "etcd.compacted"] += 1
                    self._revision = 0
                except FAILURES as error:
                    await self._backoff.wait_after(error)

    async def _follow(self, http: aiohttp.ClientSession) -> None:
        """One watch, and what runs beside it; the end of either ends both."""
        works = [
            asyncio.create_task(self._listen(http)),
            asyncio.create_task(self._feed.beside(self._etcd, http)),
        ]
        try:
            done, _ = await asyncio.wait(works, return_when=asyncio.FIRST_COMPLETED)
            for work in done:
                work.result()
        finally:
            for work in works:
                work.cancel()
            await asyncio.gather(*works, return_exceptions=True)

    async def _listen(self, http: aiohttp.ClientSession) -> None:
        async with aclosing(self._etcd.watch(http, self._kind, self._revision + 1)) as messages:
            async for events in messages:
                self._backoff.reset()
                if events:
                    self._feed.changes(events)
                    # A message's header tells the store's revision, which a watch that catches up has not
                    # reached: only what the events say has been seen.
                    self._revision = max(self._revision, *(event.revision for event in events))


class EndpointsFeed:
    """The node list: `nodes/NAME`."""

    KIND = "nodes/"

    def __init__(self, directory: EndpointRegistry, counters: Counters) -> None:
        self._directory, self._counters = directory, counters
        self._endpoints: dict[str, EndpointAddress] = {}

    def begin(self) -> None:
        self._endpoints = {}

    def page(self, rows: Sequence[Event]) -> None:
        for row in rows:
            self._put(row)

    def finish(self) -> None:
        self._directory.update(EndpointListUpdate.SNAPSHOT, list(self._endpoints.values()))

    def changes(self, events: Sequence[Event]) -> None:
        changed = [line for event in events if (line := self._put(event)) is not None]
        if changed:
            self._directory.update(EndpointListUpdate.DELTA, changed)

    async def beside(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        await asyncio.Event().wait()

    def _put(self, event: Event) -> EndpointAddress | None:
        """Take in one key. What cannot be read changes nothing: the last good value stands."""
        name = event.key.removeprefix(self.KIND)
        if event.value is None:
            line = self._endpoints.pop(name, None)
            return line and replace(line, endpoint=replace(line.endpoint, condition=EndpointState.REMOVED))
        try:
            told = orjson.loads(event.value)
            if isinstance(told, dict):
                told["name"] = name
            line = endpoint_from_row(read(NodeTable, told, event.key), event.key)
        except (ConfigError, ValueError) as error:
            _ignored(event, error, self._counters)
            return None
        self._endpoints[name] = line
        return line


class PlansFeed:
    """The contracts: `plans/NAME`.

    Where the fleet has one policy they are a wish, told to `changed`; else the module is told its contracts
    once, at its start, and a later change waits for the next. A plan that is gone stays as it was.
    """

    KIND = "plans/"

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self.plans: dict[str, VolumePlan] = {}
        self.changed: Callable[[dict[str, VolumePlan]], None] | None = None

    def begin(self) -> None:
        """What is held stays."""

    def page(self, rows: Sequence[Event]) -> None:
        self.changes(rows)

    def finish(self) -> None:
        """Nothing is left to do."""

    def changes(self, events: Sequence[Event]) -> None:
        for event in events:
            name = event.key.removeprefix(self.KIND)
            if event.value is None:
                continue
            try:
                plan = plan_from_row(read(PlanTable, orjson.loads(event.value), event.key))
            except (ConfigError, ValueError) as error:
                _ignored(event, error, self._counters)
                continue
            if self.changed is not None:
                self.plans[name] = plan
            elif self.plans.setdefault(name, plan) != plan:
                log.warning("contract changed", extra={"plan": name, "applies": "from the next start"})
        if self.changed is not None:
            self.changed(self.plans)

    async def beside(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        await asyncio.Event().wait()


def _ignored(event: Event, error: Exception, counters: Counters) -> None:
    counters["etcd.malformed"] += 1
    log.warning("etcd key ignored", extra={"key": event.key, "error": str(error)})


class EtcdSource:
    """Everything that is followed at one endpoint."""

    def __init__(self, etcd: EtcdConfig, random: Random, counters: Counters, page: int) -> None:
        self.client = EtcdClient(etcd, counters, page)
        self._random, self._counters = random, counters
        self._plans, self._plans_revision = PlansFeed(counters), 0
        self._backoff = Backoff("etcd", log, PAUSE_S, PAUSE_TOP_S, random, counters)

    async def contracts(self, names: tuple[str, ...], settings: Settings) -> Settings:
        """The settings with the contracts that etcd holds at the start; waits until it answers."""
        async with open_session() as http:
            while True:
                try:
                    self._plans_revision = await self.client.range(http, PlansFeed.KIND, self._plans.page)
                    break
                except (CompactedError, *FAILURES) as error:
                    await self._backoff.wait_after(error)
        plans = tuple(
            self._plans.plans.get(name, plan) for name, plan in zip(names, settings.plans, strict=True)
        )
        return replace(settings, plans=plans)

    def follow(self, changed: Callable[[dict[str, VolumePlan]], None]) -> None:
        """Tell the contracts now, and at each change."""
        self._plans.changed = changed
        changed(self._plans.plans)

    async def run(self, feeds: dict[str, Feed]) -> None:
        """Follow the contracts, and each kind of key that there is a feed for."""
        async with asyncio.TaskGroup() as group:
            for kind, feed in feeds.items():
                group.create_task(self._follower(kind, feed).run())
            group.create_task(self._follower(PlansFeed.KIND, self._plans).run(self._plans_revision))

    def _follower(self, kind: str, feed: Feed) -> Follower:
        return Follower(self.client, kind, feed, self._random, self._counters)
