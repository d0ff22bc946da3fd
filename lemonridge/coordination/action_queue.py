"""Performs the rollout's actions in order: a vote is on disk before any later message is sent."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Iterable
from functools import partial

from lemonridge.coordination.vote_store import VoteStore
from lemonridge.core.counters import Counters
from lemonridge.fleet.datagrams import Item
from lemonridge.rollout.member_context import PersistVote, RolloutAction, SendMessage

log = logging.getLogger(__name__)

# Past this limit the oldest queued messages are dropped, which the rollout handles like lost datagrams.
ACTIONS_MAX = 1024
WRITE_RETRY_S = 0.1  # pause between two attempts to write a vote


class ActionQueue:
    """The queue of the actions that are not done yet.

    While a vote is being written, all later actions wait. If writes fail, this broker sends no rollout
    messages to its peers, as if it were partitioned, but still serves its clients.

    Args:
        store: The vote store.
        send_messages: Sends messages to peers, each with the number of its member.
        loop: The event loop.
        counters: The counters of the process.
    """

    def __init__(
        self,
        store: VoteStore,
        send_messages: Callable[[list[tuple[int, Item]]], None],
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
    ) -> None:
        self._store, self._send_messages, self._loop, self._counters = store, send_messages, loop, counters
        self._actions: deque[RolloutAction] = deque()
        self._writing: asyncio.Future[None] | None = None
        self._write_failed = False

    def add(self, actions: Iterable[RolloutAction]) -> None:
        """Adds actions, and performs those that can be done now."""
        for action in actions:
            if (
                isinstance(action, PersistVote)
                and self._actions
                and isinstance(self._actions[-1], PersistVote)
            ):
                self._actions.pop()  # no message depends on the older record
            self._actions.append(action)
        while len(self._actions) > ACTIONS_MAX:
            self._actions.remove(next(action for action in self._actions if isinstance(action, SendMessage)))
        self._run()

    def _run(self) -> None:
        messages: list[tuple[int, Item]] = []
        while self._actions and self._writing is None:
            action = self._actions.popleft()
            if isinstance(action, SendMessage):
                messages.append((action.member, action.item))
                continue
            if messages:
                self._send_messages(messages)
                messages = []
            # In a thread, since a write may take seconds and must not block requests.
            self._writing = self._loop.run_in_executor(None, self._store.write, action.data)
            self._writing.add_done_callback(partial(self._on_written, action))
        if messages:
            self._send_messages(messages)

    def _on_written(self, action: PersistVote, future: asyncio.Future[None]) -> None:
        self._writing = None
        error = None if future.cancelled() else future.exception()
        if error is None:
            self._write_failed = False
            self._counters["policy.kept"] += 1
            self._run()
            return
        if not self._write_failed:
            log.error("vote not written, messages to peers wait for it", extra={"error": str(error)})
        self._write_failed = True
        if not (self._actions and isinstance(self._actions[0], PersistVote)):
            self._actions.appendleft(action)
        self._loop.call_later(WRITE_RETRY_S, self._run)
