"""The policy of the fleet at one broker: hosts the machine that changes it, keeps its votes on disk, and
fences the decisions with it.

Loaded only where an operator's file sets `[fleet.policy]`.
"""

from __future__ import annotations

import asyncio
import fcntl
import logging
import os
import secrets
import struct
from collections import deque
from collections.abc import Mapping
from functools import partial
from pathlib import Path
from typing import TextIO

import crc32c
import msgspec
import orjson

from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.local_policy import LocalPolicy
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.fleet.datagrams import Item
from lemonridge.net.peer_transport import PeerTransport
from lemonridge.operate.admin_calls import AdminCall, AdminReply, AdminRequest
from lemonridge.rollout import policy_document
from lemonridge.rollout.leases import NOTHING, Interval
from lemonridge.rollout.policy_document import Policy, PolicyError
from lemonridge.rollout.proposals import SourceProposal
from lemonridge.rollout.rollout_member import (
    PersistVote,
    RolloutAction,
    RolloutMember,
    SendMessage,
    StoredVote,
)
from lemonridge.scheduling.settings import Settings, VolumePlan

log = logging.getLogger(__name__)

MAGIC = b"lemonridge votes 1\n"
_FRAME = struct.Struct("<II")  # CRC32C of what follows, and its length
QUEUE_MAX = 1024  # things to be said or kept that wait for the disk
AGAIN_S = 0.1  # between two tries to keep or to read a vote


class VoteStoreError(Exception):
    """A store that cannot be believed; the text is fit to print."""


class VoteStore:
    """The votes of one broker: one small file, written anew beside itself, brought to disk and put in its
    place (POSIX rename), so that at any moment the whole of one version is there. A damaged file is worth
    what no file is: its broker has forgotten, and must not vote as if it remembered.
    """

    def __init__(self, path: str) -> None:
        self.path = Path(path)
        self._held: TextIO | None = None

    def hold(self) -> None:
        """Be its only process, until this one ends; StoreError where another is: two would overwrite each
        other's votes.
        """
        try:
            self._held = open(self.path.with_name(self.path.name + ".lock"), "w")  # noqa: SIM115
            fcntl.flock(self._held, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            raise VoteStoreError(f"{self.path} cannot be held: {error.strerror}") from None

    def read(self) -> bytes | None:
        """What was written last; None where there is no file. StoreError where it is damaged, OSError where
        it cannot be read at this moment, while it may be whole.
        """
        try:
            told = self.path.read_bytes()
        except FileNotFoundError:
            return None
        body = told[len(MAGIC) + _FRAME.size :]
        if not told.startswith(MAGIC) or len(told) < len(MAGIC) + _FRAME.size:
            raise VoteStoreError(f"{self.path} is no store of votes")
        if _FRAME.unpack_from(told, len(MAGIC)) != (crc32c.crc32c(body), len(body)):
            raise VoteStoreError(f"{self.path} is damaged")
        return body

    def write(self, data: bytes) -> None:
        """On disk once this returns. OSError where it cannot be."""
        part = self.path.with_name(self.path.name + ".part")
        with open(part, "wb") as file:
            file.write(MAGIC + _FRAME.pack(crc32c.crc32c(data), len(data)) + data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(part, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def begin(self) -> None:
        """Make the first one of a new fleet: it may vote at once. Once in the life of a broker: one that lost
        its store starts without, and is let in again by the others.
        """
        if self.path.exists():
            raise VoteStoreError(f"{self.path} is there already")
        self.write(msgspec.msgpack.encode(StoredVote(0, b"")))


async def held_store(path: str) -> tuple[VoteStore, bytes | None]:
    """The store of this broker's votes, held by this process, and what it keeps; None where it has no vote.

    A read that fails is tried again until it does not: the votes may be whole, and a broker that forgot them
    would vote as if it remembered. ConfigError where another process holds the store.
    """
    store = VoteStore(path)
    try:
        store.hold()
    except VoteStoreError as error:
        raise ConfigError(str(error)) from None
    failed = False
    while True:
        try:
            kept = store.read()
            break
        except VoteStoreError as error:
            kept = None
            log.error("votes are lost", extra={"error": str(error)})
            break
        except OSError as error:
            if not failed:
                log.error("votes not read", extra={"path": path, "error": str(error)})
            failed = True
        await asyncio.sleep(AGAIN_S)
    if kept is None:
        log.warning("no store of votes: this broker votes once the others let it in", extra={"path": path})
    return store, kept


class PolicyCoordinator:
    """This broker's policy."""

    def __init__(
        self,
        plan: FleetConfig,
        own: LocalPolicy,
        seed: int,
        peers: PeerTransport,
        decider: DecisionHost,
        clock: Clock,
        counters: Counters,
        store: VoteStore,
        kept: bytes | None,
    ) -> None:
        """`own` is what this broker's file says, `kept` what `store` keeps; ConfigError where that cannot be
        used.
        """
        assert plan.rollout is not None
        self._own, self._peers, self._decider = own, peers, decider
        self._clock, self._counters = clock, counters
        self._loop = asyncio.get_running_loop()
        self._store = store
        filed = policy_document.policy_from(own.settings, own.plans, own.classes)
        least = policy_document.floor(filed, plan.rollout.floor)
        voters = dict.fromkeys(plan.names[: policy_document.VOTERS_MAX], 0)
        genesis = policy_document.PolicyState(epoch=0, prior="", voters=voters, policy=filed, floor=least)
        ident = 1 + secrets.randbelow(1 << 62)
        try:
            self.rollout = RolloutMember(
                plan.me,
                plan.names,
                peers.incarnation,
                genesis,
                kept,
                ident,
                self._judge,
                seed,
                clock.now_us(),
                plan.rollout.span_us,
                plan.error_us,
            )
        except (PolicyError, msgspec.DecodeError) as error:
            raise ConfigError(f"{plan.rollout.store} cannot be used: {error}") from None
        self._mode: tuple[Interval, int] | None = None  # by which the decisions go, and of which epoch
        self._changed_s = 0.0  # when that changed
        self._had = False  # a lease, since this start
        self._shown = 0
        self._source_proposal = SourceProposal(plan.me)
        self._queue: deque[RolloutAction] = (
            deque()
        )  # in their order; behind a vote that is being kept all wait
        self._keeping: asyncio.Future[None] | None = None
        self._stuck = False  # the disk takes nothing
        self._timer: asyncio.TimerHandle | None = None
        peers.coordinator = decider.lease_guard = self
        self._flush()
        self._tick()

    # The machine

    def heard(self, who: int, life: int, item: Item) -> None:
        """A member said something of policies."""
        self.rollout.heard(who, life, item, self._clock.now_us())
        self._flush()

    def _tick(self) -> None:
        now_us = self._clock.now_us()
        self.rollout.tick(now_us)
        self._try(now_us)
        self._flush()
        self._timer = self._loop.call_at(self._clock.loop_time(self.rollout.wake_us(now_us)), self._tick)

    def _flush(self) -> None:
        """Do what the machine wants, in its order."""
        out, self.rollout.out = self.rollout.out, []
        for action in out:
            if isinstance(action, PersistVote) and self._queue and isinstance(self._queue[-1], PersistVote):
                self._queue.pop()  # nothing was to be said between the two
            self._queue.append(action)
        while len(self._queue) > QUEUE_MAX:  # the disk is slow: what was to be said is lost, as on a link
            self._queue.remove(next(one for one in self._queue if isinstance(one, SendMessage)))
        self._pump()
        if self._mode != self._now():
            self._decider.recheck_lease()
        fresh = self.rollout.ended - self._shown
        for result in self.rollout.results[-fresh:] if fresh else ():
            log.info("change ended", extra={"end": result.end, "why": result.why, "epoch": result.epoch})
            if result.willed:
                self._source_proposal.came_to_nothing(self._clock.now_us())
        self._shown = self.rollout.ended

    def _pump(self) -> None:
        """Say what may be said. A vote is on disk before anything that comes behind it is said: until its
        disk takes it this broker is silent, as if its links were cut, and answers its clients on.
        """
        said: list[tuple[int, Item]] = []
        while self._queue and self._keeping is None:
            action = self._queue.popleft()
            if isinstance(action, SendMessage):
                said.append((action.to, action.item))
                continue
            if said:
                self._peers.post(said)
                said = []
            # In a thread: a disk may take seconds, and no request waits for it.
            self._keeping = self._loop.run_in_executor(None, self._store.write, action.data)
            self._keeping.add_done_callback(partial(self._kept, action))
        if said:
            self._peers.post(said)

    def _kept(self, action: PersistVote, done: asyncio.Future[None]) -> None:
        self._keeping = None
        error = None if done.cancelled() else done.exception()
        if error is None:
            self._stuck = False
            self._counters["policy.kept"] += 1
            self._pump()
            return
        if not self._stuck:
            log.error("votes cannot be kept, nothing is said", extra={"error": str(error)})
        self._stuck = True
        if not (self._queue and isinstance(self._queue[0], PersistVote)):
            self._queue.appendleft(action)
        self._loop.call_later(AGAIN_S, self._pump)

    def stop(self) -> None:
        """The program ends."""
        if self._timer is not None:
            self._timer.cancel()
        self._counters["policy.epoch"] = self.rollout.state.epoch
        for name, value in self.rollout.counts.items():
            self._counters[f"policy.{name}"] = value

    # The decisions

    def _judge(self, policy: Policy) -> str:
        try:
            self._apply(policy)
        except PolicyError as error:
            return str(error)
        return ""

    def _apply(self, policy: Policy) -> Settings:
        one = self._own
        return policy_document.apply(policy, one.settings, one.plans, one.classes)

    def _now(self) -> tuple[Interval, int]:
        return self.rollout.mode(self._clock.now_us()), self.rollout.state.epoch

    def before(self, now_us: int) -> Settings | None:
        """See `LeaseGuard`: asked before each decision, so a lease that has ended is not decided by, whatever
        timer did not come.
        """
        now = self._now()
        if now == self._mode:
            return None
        self._mode, self._changed_s = now, self._loop.time()
        mode = now[0]
        self._had = self._had or mode != NOTHING
        self._counters["policy.floors" if mode == NOTHING else "policy.modes"] += 1
        log.info(
            "goes by",
            extra={
                "epochs": "floor" if mode == NOTHING else f"{mode[0]}-{mode[1]}",
                "newest": now[1],
                "fault": self.rollout.fault,
            },
        )
        settings = self._settings()
        self._peers.configure(settings)  # what is asked for of a limit is counted by the limit in force
        return settings

    def _settings(self) -> Settings:
        return self._apply(self.rollout.policy((self._mode or self._now())[0]))

    def epoch(self, decided_s: float) -> str | None:
        """By which epochs an attempt begins that was decided at a time; None where it may not any more."""
        if decided_s < self._changed_s or self._mode is None or self._mode != self._now():
            return None
        low, high = self._mode[0]
        return "floor" if self._mode[0] == NOTHING else str(low) if low == high else f"{low}-{high}"

    def has_lease(self) -> bool:
        """Whether this broker knows by what to decide: it has had a lease since its start."""
        return self._had and not self.rollout.fault

    def source_proposal(self, plans: Mapping[str, VolumePlan]) -> None:
        """Contracts of a source outside the fleet, all of it: they are proposed until they are in force."""
        self._source_proposal.set({name: policy_document.plan_of(name, plan) for name, plan in plans.items()})

    def _try(self, now_us: int) -> None:
        """Propose what is wished for, if it is time."""
        policy = self._source_proposal.due(self.rollout.state.policy, now_us)
        if policy is None or self.rollout.hindered(now_us):
            return
        why = self.rollout.propose(policy, "contracts of etcd", now_us)
        log.info("policy of etcd", extra={"proposed": not why, "why": why})
        if why:
            self._source_proposal.came_to_nothing(now_us)

    def configure(self, own: LocalPolicy) -> Settings:
        """A new configuration: what of it is policy is proposed, the rest counts from now on."""
        old, self._own = self._own, own
        filed = policy_document.policy_from(own.settings, own.plans, own.classes)
        if filed != policy_document.policy_from(old.settings, old.plans, old.classes):
            why = self.rollout.propose(filed, "SIGHUP", self._clock.now_us())
            log.info("policy of the file", extra={"proposed": not why, "why": why})
            self._flush()
        try:
            return self._settings()
        except PolicyError as error:  # the machine's own part does not fit what is in force
            self.rollout.fault = str(error)
            return own.settings

    # Operators

    def act(self, order: AdminRequest) -> AdminReply:
        """A call about policies."""
        now_us = self._clock.now_us()
        if order.call is AdminCall.POLICY:
            told = self.rollout.report(now_us)
            told["policy"] = msgspec.to_builtins(self.rollout.state.policy)
            told["floor"] = msgspec.to_builtins(self.rollout.state.floor)
            return AdminReply(True, orjson.dumps(told).decode())
        if order.call is AdminCall.ABORT:
            done = self.rollout.abort()
            self._flush()
            return AdminReply(
                done, "called off" if done else "no change of this broker's can be called off now"
            )
        if order.call in (AdminCall.ADMIT, AdminCall.RETIRE):
            return self._proposed(
                self.rollout.admit(now_us)
                if order.call is AdminCall.ADMIT
                else self.rollout.retire(order.endpoint_id, now_us)
            )
        if order.call is AdminCall.FORCE:
            return self._force(order.text, now_us)
        try:
            told = orjson.loads(order.text)
            policy, note = policy_document.policy_of(told["policy"]), str(told.get("note", ""))
        except (orjson.JSONDecodeError, PolicyError, KeyError, TypeError) as error:
            return AdminReply(False, f"not a proposal: {error}")
        if why := self._source_proposal.against(policy):
            return AdminReply(False, why)
        if told.get("dry"):
            why = self.rollout.wrong(policy)
            return AdminReply(
                not why,
                why
                or "; ".join(policy_document.difference(self.rollout.state.policy, policy))
                or "nothing differs",
            )
        return self._proposed(self.rollout.propose(policy, note, now_us))

    def _proposed(self, why: str) -> AdminReply:
        self._flush()
        return AdminReply(not why, why or f"epoch {self.rollout.state.epoch + 1} is proposed")

    def _force(self, text: str, now_us: int) -> AdminReply:
        """The emergency call: to go on without a majority."""
        try:
            told = orjson.loads(text)
            lost, note = tuple(map(str, told["lost"])), str(told.get("note", ""))
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            return AdminReply(False, f"not an emergency call: {error}")
        before = self.rollout.state.epoch
        why = self.rollout.force(lost, note, now_us)
        if why:
            log.warning("emergency call refused", extra={"lost": ",".join(lost), "why": why})
        else:
            log.critical(
                "emergency",
                extra={
                    "lost": ",".join(lost),
                    "note": note,
                    "voters": ",".join(self.rollout.state.voters),
                    "before": before,
                    "epoch": self.rollout.state.epoch,
                    "price": "two policies may be gone by until all hear of this",
                },
            )
        self._flush()
        return AdminReply(
            not why, why or f"epoch {self.rollout.state.epoch}, {len(self.rollout.state.voters)} vote"
        )
