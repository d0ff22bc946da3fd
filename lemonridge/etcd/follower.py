"""Follows the keys of one kind in etcd: a snapshot, then a watch, and reads that confirm the watch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from contextlib import aclosing
from random import Random
from typing import Protocol

from lemonridge.core.counters import Counters
from lemonridge.etcd.client import RETRYABLE_ERRORS, EtcdClient
from lemonridge.etcd.errors import CompactedError, MissedChangeError, SilentWatchError
from lemonridge.etcd.events import Event
from lemonridge.etcd.synced_keys import SyncedKeys
from lemonridge.net.backoff import Backoff
from lemonridge.net.deadline_session import DeadlineSession

log = logging.getLogger(__name__)

BACKOFF_INITIAL_S = 0.1  # before the first retry, doubled for each further one up to BACKOFF_MAX_S
BACKOFF_MAX_S = 1.0
CONFIRM_INTERVAL_S = 1.0  # between the starts of two reads that confirm what the watch has delivered
CONFIRM_JITTER = 0.2  # part of the interval by which it may be shorter, so that brokers spread their reads

Confirm = Callable[[EtcdClient, DeadlineSession], Awaitable[None]]


class Feed(Protocol):
    """Receives the keys of one kind: first a snapshot, page by page, then the changes."""

    @property
    def confirm(self) -> Confirm | None:
        """Confirms the feed by a read of the kind's own version; raises MissedChangeError if it is behind.

        None if the kind has no version of its own: the follower compares revisions.
        """

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


class Follower:
    """Passes the keys that begin with `kind` to a feed."""

    def __init__(self, etcd: EtcdClient, kind: str, feed: Feed, random: Random, counters: Counters) -> None:
        self._etcd, self._kind, self._feed, self._random, self._counters = etcd, kind, feed, random, counters
        self._backoff = Backoff("etcd", log, BACKOFF_INITIAL_S, BACKOFF_MAX_S, random, counters)
        self._keys = SyncedKeys()
        self._confirm = feed.confirm or self._apply_missed_changes

    async def load(self) -> None:
        """Reads a snapshot, and returns once etcd has answered."""
        async with DeadlineSession() as http:
            await self._load(http)

    async def run(self) -> None:
        """Reads a snapshot unless there is one, then follows the changes. Never returns.

        After an error it continues the watch; after a compaction or a missed change it reads a new snapshot.
        """
        async with DeadlineSession() as http:
            while True:
                await self._load(http)
                try:
                    await self._follow(http)
                except CompactedError:
                    self._on_compaction()
                except MissedChangeError as error:
                    log.info("etcd watch out of step, reading all keys", extra=self._log_fields(str(error)))
                    self._counters["etcd.out_of_step"] += 1
                    self._keys.forget()
                except SilentWatchError as error:
                    log.info("etcd watch silent, opening a new one", extra=self._log_fields(str(error)))
                    self._counters["etcd.silent_watches"] += 1

    def _log_fields(self, error: str = "") -> dict[str, object]:
        fields: dict[str, object] = {"kind": self._kind, "revision": self._keys.revision}
        return {**fields, "error": error} if error else fields

    def _on_compaction(self) -> None:
        log.info("etcd revision compacted, reading all keys", extra=self._log_fields())
        self._counters["etcd.compacted"] += 1
        self._keys.forget()

    async def _load(self, http: DeadlineSession) -> None:
        """Reads a snapshot if the feed needs one, and repeats it until it succeeds."""
        while not self._keys.revision:
            try:
                await self._read_snapshot(http)
            except CompactedError:
                self._on_compaction()
            except RETRYABLE_ERRORS as error:
                await self._backoff.wait_after(error)

    async def _read_snapshot(self, http: DeadlineSession) -> None:
        names: list[str] | None = [] if self._feed.confirm is None else None

        def add_page(rows: Sequence[Event]) -> None:
            self._feed.add_page(rows)
            if names is not None:
                names.extend(event.key for event in rows)

        self._feed.begin_snapshot()
        revision = await self._etcd.range(http, self._kind, add_page)
        self._feed.finish_snapshot()
        self._keys.load(revision, names)

    async def _follow(self, http: DeadlineSession) -> None:
        """Watches and confirms concurrently; when either fails, the other is cancelled.

        Raises:
            CompactedError: The watch's first revision is compacted.
            MissedChangeError: A change was missed.
            SilentWatchError: The watch did not deliver a change.
        """
        tasks = [asyncio.create_task(self._watch(http)), asyncio.create_task(self._confirm_always(http))]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _watch(self, http: DeadlineSession) -> None:
        """Keeps a watch open. Never returns."""
        while True:
            try:
                await self._apply_one_watch(http)
            except RETRYABLE_ERRORS as error:
                await self._backoff.wait_after(error)

    async def _apply_one_watch(self, http: DeadlineSession) -> None:
        first_revision = self._keys.open_watch()
        async with aclosing(self._etcd.watch(http, self._kind, first_revision)) as messages:
            async for events in messages:
                self._backoff.reset()
                # The header of a message has the revision of the store, which a watch that is catching up
                # has not reached yet, so only the revisions of the events count.
                if new := self._keys.apply_watch(events):
                    self._feed.apply_changes(new)

    async def _confirm_always(self, http: DeadlineSession) -> None:
        """Confirms again and again, one read at a time. Never returns."""
        loop = asyncio.get_running_loop()
        started_s = loop.time()  # of the snapshot, which needs no confirmation, or of the last read
        while True:
            interval_s = CONFIRM_INTERVAL_S * (1 - CONFIRM_JITTER * self._random.random())
            await asyncio.sleep(started_s + interval_s - loop.time())
            started_s = loop.time()
            try:
                await self._confirm(self._etcd, http)
            except RETRYABLE_ERRORS as error:
                self._counters["etcd.unconfirmed"] += 1
                event = f"{self._kind.rstrip('/')} not confirmed"
                log.info(event, extra=self._log_fields(f"{type(error).__name__}: {error}"))

    async def _apply_missed_changes(self, etcd: EtcdClient, http: DeadlineSession) -> None:
        """Applies the changes that the watch has not delivered.

        Raises:
            MissedChangeError: Keys were deleted, or the store is older than what was known.
            SilentWatchError: The watch still has not delivered a change that an earlier read has shown.
        """
        start = self._keys.begin_read()
        read = await etcd.read_changes(http, self._kind, start.revision)
        result = self._keys.apply_read(start, read)
        if result.missed:
            self._counters["etcd.changes_by_read"] += len(result.missed)
            self._feed.apply_changes(result.missed)
        if result.is_watch_silent:
            raise SilentWatchError(f"a change up to revision {start.revision} was not delivered")
