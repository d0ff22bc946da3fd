"""The node list and the contracts from etcd, by the JSON gateway of its v3 API.

Under the prefix, `nodes/NAME` holds a node and `plans/NAME` the figures of a plan, each as a JSON object
with the keys of the operator's file. One range reads them all; a watch from the next revision on tells
what changes.
"""

from __future__ import annotations

import asyncio
import base64
import logging
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import replace
from random import Random
from typing import Any

import aiohttp
import orjson

from lemonridge import api
from lemonridge.config import ConfigError
from lemonridge.core.directory import Directory, Listing
from lemonridge.counters import Counters
from lemonridge.iscsi.config import Etcd, Iscsi, Table, listing, plan_from
from lemonridge.net.watching import Backoff, client

log = logging.getLogger(__name__)

RENEW_S = 60.0  # a watch is begun anew this often: a connection that died without a word tells nothing
ANSWER_S = 5.0  # for a range
PAUSE_S = 0.1  # before the first retry, doubled up to the limit below
PAUSE_TOP_S = 2.0
LINE_MAX = 8 << 20  # of one message of a watch
FAILURES = (aiohttp.ClientError, OSError, ValueError, KeyError, TypeError)


class CompactedError(Exception):
    """The revision that the watch was to begin at is gone: only a range tells what holds now."""


def _b64(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


class EtcdSource:
    """Reads the prefix, then follows it; `run` never returns."""

    def __init__(self, etcd: Etcd, random: Random, counters: Counters) -> None:
        self._url, self._prefix = f"http://{etcd.endpoint}/v3", etcd.prefix
        end = etcd.prefix[:-1] + chr(ord(etcd.prefix[-1]) + 1)
        self._span = {"key": _b64(etcd.prefix), "range_end": _b64(end)}
        self._counters = counters
        self._backoff = Backoff("etcd", log, PAUSE_S, PAUSE_TOP_S, random, counters)
        self._nodes: dict[str, Listing] = {}
        self._plans: dict[str, api.Plan] = {}
        self._revision = 0

    async def contracts(self, config: Iscsi) -> Iscsi:
        """The configuration with the contracts that etcd holds at the start; waits until it answers.

        The module is told its contracts once, at its start, so a later change waits for the next."""
        async with client() as http:
            while True:
                try:
                    await self._range(http)
                    break
                except FAILURES as error:
                    await self._backoff.failed(error)
        plans = tuple(self._plans.get(name, plan) for name, plan in zip(config.plans, config.settings.plans,
                                                                        strict=True))  # fmt: skip
        return replace(config, settings=replace(config.settings, plans=plans))

    async def run(self, directory: Directory) -> None:
        """Range, then watch from the next revision; after a failure watch on, after a compaction range."""
        async with client() as http:
            ranged = False
            while True:
                try:
                    if not ranged:
                        await self._range(http)
                        directory.take(api.ListKind.WHOLE, list(self._nodes.values()))
                        ranged = True
                    async with aclosing(self._watch(http)) as results:
                        async for result in results:
                            self._backoff.worked()
                            self._changes(result, directory)
                except CompactedError:
                    ranged = False
                    log.info("etcd compacted", extra={"revision": self._revision})
                except FAILURES as error:
                    await self._backoff.failed(error)

    async def _range(self, http: aiohttp.ClientSession) -> None:
        async with asyncio.timeout_at(asyncio.get_running_loop().time() + ANSWER_S):
            async with http.post(f"{self._url}/kv/range", data=orjson.dumps(self._span)) as answer:
                told = orjson.loads(await answer.read())
        if answer.status != 200:
            raise ValueError(f"status {answer.status}: {told}")
        self._revision = int(told["header"]["revision"])
        self._nodes, self._plans = {}, {}
        for row in told.get("kvs", ()):
            self._put(row)
        self._counters["etcd.ranges"] += 1

    async def _watch(self, http: aiohttp.ClientSession) -> AsyncGenerator[dict[str, Any], None]:
        """The messages of one watch, however the stream was cut into chunks, until it is to be renewed."""
        create = {"create_request": {**self._span, "start_revision": str(self._revision + 1)}}
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
                    message = orjson.loads(text)
                    if "error" in message:
                        raise ValueError(f"the watch failed: {message['error']}")
                    result = message["result"]
                    if int(result.get("compact_revision", 0)):
                        raise CompactedError
                    if result.get("canceled"):
                        raise ValueError(f"the watch was cancelled: {result.get('cancel_reason', '')}")
                    yield result

    def _changes(self, result: dict[str, Any], directory: Directory) -> None:
        changed: list[Listing] = []
        for event in result.get("events", ()):
            line = self._delete(event["kv"]) if event.get("type") == "DELETE" else self._put(event["kv"])
            changed += [line] if line else []
        if result.get("events"):  # the message that only says that the watch was created has none
            self._revision = max(self._revision, int(result["header"]["revision"]))
        if changed:
            directory.take(api.ListKind.PATCH, changed)

    def _key(self, row: dict[str, Any]) -> tuple[str, str]:
        """The two parts of a key below the prefix."""
        kind, _, name = base64.b64decode(row["key"]).decode()[len(self._prefix) :].partition("/")
        return kind, name

    def _put(self, row: dict[str, Any]) -> Listing | None:
        """Take in one key. What cannot be read changes nothing: the last good value stands."""
        kind, name = self._key(row)
        try:
            table = Table(orjson.loads(base64.b64decode(row.get("value", ""))), f"{kind}/{name}")
            if kind == "nodes":
                table.values["name"] = name
                self._nodes[name] = listing(table)
                return self._nodes[name]
            if kind == "plans":
                plan = plan_from(table)
                if self._plans.setdefault(name, plan) != plan:
                    log.warning("contract changed", extra={"plan": name, "applies": "from the next start"})
        except (ConfigError, ValueError) as error:
            self._counters["etcd.malformed"] += 1
            log.warning("etcd key ignored", extra={"key": f"{kind}/{name}", "error": str(error)})
        return None

    def _delete(self, row: dict[str, Any]) -> Listing | None:
        kind, name = self._key(row)
        line = self._nodes.pop(name, None) if kind == "nodes" else None
        return line and replace(line, entry=replace(line.entry, condition=api.Condition.LEFT))
