"""Does the rollout's actions in their order: a vote is on disk before any message behind it is sent."""

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

ACTIONS_MAX = 1024  # waiting for the disk; past it the oldest messages are dropped, as on a link
WRITE_RETRY_S = 0.1  # between two attempts to write a vote


class ActionQueue:
    """The actions that are not done yet. While a vote is being written all behind it wait.

    Until its disk takes a vote this broker is silent to its peers, as if its links were cut, and answers its
    clients as before. `post` sends messages to peers.
    """

    def __init__(
        self,
        store: VoteStore,
        post: Callable[[list[tuple[int, Item]]], None],
        loop: asyncio.AbstractEventLoop,
        counters: Counters,
    ) -> None:
        self._store, self._post, self._loop, self._counters = store, post, loop, counters
        self._actions: deque[RolloutAction] = deque()
        self._writing: asyncio.Future[None] | None = None
        self._write_failed = False

    def add(self, actions: Iterable[RolloutAction]) -> None:
        """Adds actions, and does what can be done now."""
        for action in actions:
            if (
                isinstance(action, PersistVote)
                and self._actions
                and isinstance(self._actions[-1], PersistVote)
            ):
                self._actions.pop()  # no message was to be sent between the two
            self._actions.append(action)
        while len(self._actions) > ACTIONS_MAX:
            self._actions.remove(next(one for one in self._actions if isinstance(one, SendMessage)))
        self._run()

    def _run(self) -> None:
        messages: list[tuple[int, Item]] = []
        while self._actions and self._writing is None:
            action = self._actions.popleft()
            if isinstance(action, SendMessage):
                messages.append((action.member, action.item))
                continue
            if messages:
                self._post(messages)
                messages = []
            # In a thread: a disk may take seconds, and no request waits for it.
            self._writing = self._loop.run_in_executor(None, self._store.write, action.data)
            self._writing.add_done_callback(partial(self._on_written, action))
        if messages:
            self._post(messages)

    def _on_written(self, action: PersistVote, done: asyncio.Future[None]) -> None:
        self._writing = None
        error = None if done.cancelled() else done.exception()
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
