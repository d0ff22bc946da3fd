"""Follows the keys of one kind in etcd: reads all of them, then watches for changes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from contextlib import aclosing
from random import Random
from typing import Protocol

import aiohttp

from lemonridge.core.counters import Counters
from lemonridge.etcd.client import RETRYABLE_ERRORS, EtcdClient, Event
from lemonridge.etcd.errors import CompactedError, MissedChangeError
from lemonridge.net.watch_stream import Backoff, open_session

log = logging.getLogger(__name__)

BACKOFF_INITIAL_S = 0.1  # before the first retry, doubled for each further one up to BACKOFF_MAX_S
BACKOFF_MAX_S = 2.0


class Feed(Protocol):
    """Receives the keys of one kind: first a snapshot, page by page, then the changes."""

    def begin_snapshot(self) -> None:
        """Begins a snapshot of all keys at one revision."""

    def add_page(self, rows: Sequence[Event]) -> None:
        """Adds the next keys of the snapshot, in order.

        Raises:
            ValueError: A key or value is malformed; the snapshot is read again after a pause.
        """

    def finish_snapshot(self) -> None:
        """Applies the complete snapshot.

        Raises:
            ValueError: The snapshot is invalid; it is read again after a pause.
        """

    def apply_changes(self, events: Sequence[Event]) -> None:
        """Applies changes, in order.

        Raises:
            MissedChangeError: A change was missed; a new snapshot is read.
        """

    async def run_during_watch(self, etcd: EtcdClient, http: aiohttp.ClientSession) -> None:
        """Runs concurrently with each watch. The watch ends when this returns or raises."""


def etcd_backoff(random: Random, counters: Counters) -> Backoff:
    """Returns the pauses between attempts to reach etcd."""
    return Backoff("etcd", log, BACKOFF_INITIAL_S, BACKOFF_MAX_S, random, counters)


class Follower:
    """Passes the keys that begin with `kind` to a feed."""

    def __init__(self, etcd: EtcdClient, kind: str, feed: Feed, random: Random, counters: Counters) -> None:
        self._etcd, self._kind, self._feed, self._counters = etcd, kind, feed, counters
        self._backoff = etcd_backoff(random, counters)
        self._revision = 0  # the newest revision that the feed has; 0 if it needs a snapshot

    async def run(self, revision: int = 0) -> None:
        """Reads a snapshot, then watches from the next revision on. Never returns.

        After an error it continues the watch; after a compaction or a missed change it reads a new snapshot.

        Args:
            revision: The revision of a snapshot that the feed already has; 0 if it has none.
        """
        self._revision = revision
        async with open_session() as http:
            while True:
                try:
                    if not self._revision:
                        await self._read_snapshot(http)
                    await self._watch(http)
                except CompactedError:
                    log.info("etcd revision compacted, reading all keys", extra=self._log_fields())
                    self._counters["etcd.compacted"] += 1
                    self._revision = 0
                except MissedChangeError:
                    log.info("etcd watch out of step, reading all keys", extra=self._log_fields())
                    self._counters["etcd.out_of_step"] += 1
                    self._revision = 0
                except RETRYABLE_ERRORS as error:
                    await self._backoff.wait_after(error)

    def _log_fields(self) -> dict[str, object]:
        return {"kind": self._kind, "revision": self._revision}

    async def _read_snapshot(self, http: aiohttp.ClientSession) -> None:
        self._feed.begin_snapshot()
        revision = await self._etcd.range(http, self._kind, self._feed.add_page)
        self._feed.finish_snapshot()
        self._revision = revision

    async def _watch(self, http: aiohttp.ClientSession) -> None:
        """Runs one watch and the feed's `run_during_watch`; when either ends, the other is cancelled."""
        tasks = [
            asyncio.create_task(self._apply_watch(http)),
            asyncio.create_task(self._feed.run_during_watch(self._etcd, http)),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _apply_watch(self, http: aiohttp.ClientSession) -> None:
        async with aclosing(self._etcd.watch(http, self._kind, self._revision + 1)) as messages:
            async for events in messages:
                self._backoff.reset()
                if events:
                    self._feed.apply_changes(events)
                    # The header of a message has the revision of the store, which a watch that is catching
                    # up has not reached yet, so only the revisions of the events count.
                    self._revision = max(self._revision, *(event.revision for event in events))
