"""The other brokers of the fleet: datagrams in and out, and the machine that decides on them, hosted.

The machine sees what the decisions see, as an onlooker of the decider: each request of a limited volume, each
cold spell, each further attempt. What it decides of slices goes to the decisions as events of the same turn.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Iterable
from typing import Any

from lemonridge import api
from lemonridge.config import FleetPlan
from lemonridge.core.clock import Clock
from lemonridge.core.decider import Decider
from lemonridge.core.model import Request
from lemonridge.counters import Counters
from lemonridge.fleet import machine
from lemonridge.fleet.escrow import WHOLE, Kind
from lemonridge.fleet.judgements import Seen, Verdict, What
from lemonridge.fleet.machine import Fleet, Leaving, Received, Sliced, Tell, Wake, Woke
from lemonridge.fleet.report import report
from lemonridge.fleet.roster import Roster, key_of
from lemonridge.fleet.wire import Tagger

log = logging.getLogger(__name__)

AGAIN_S = 0.5  # between tries to have the address: the process before this one may still hold it
NODES_MAX, SPELLS_MAX = 65536, 4096  # names that are kept for what comes by key
SEEN = {api.Result.OK: Seen.GOOD, api.Result.FULL: Seen.GOOD, api.Result.ERROR: Seen.ERROR,
        api.Result.UNREACHED: Seen.UNREACHED, api.Result.TIMEOUT: Seen.SILENT}  # fmt: skip
BUDGETS = {Kind.LIMIT: api.Budget.LIMIT, Kind.COLD: api.Budget.COLD, Kind.FURTHER: api.Budget.FURTHER}


class Keyed:
    """The tag of a datagram by a secret: BLAKE2s (RFC 7693), keyed."""

    def __init__(self, secret: bytes) -> None:
        import hashlib  # both load OpenSSL, which only an operator's file may
        import hmac

        self._made, self._same = hashlib.blake2s, hmac.compare_digest
        self._key = hashlib.blake2s(secret).digest()

    def tag(self, data: bytes) -> bytes:
        return self._made(data, digest_size=8, key=self._key).digest()

    def holds(self, data: bytes, tag: bytes) -> bool:
        return self._same(self.tag(data), tag)


class Peers(asyncio.DatagramProtocol):
    """This broker among its peers."""

    def __init__(self, plan: FleetPlan, decider: Decider, clock: Clock, counters: Counters, seed: int,
                 settings: api.Settings) -> None:
        self.plan, self._decider, self._clock, self._counters = plan, decider, clock, counters
        self._settings = settings
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._sources = {(one.host, one.port): number for number, one in enumerate(plan.addresses)}
        self._timer: asyncio.TimerHandle | None = None
        self._spells: dict[int, str] = {}  # node, by the key of a cold spell
        self._nodes: dict[int, str] = {}  # by their own key
        tagger: Tagger | None = Keyed(plan.secret) if plan.secret else None
        roster = Roster(plan.names, plan.me)
        now_us = clock.now_us()
        tuning = machine.Tuning(plan.bytes_s, plan.error_us, not settings.tells_elsewhere,
                                settings.further_rate)
        # Wall time, which goes on over restarts; the machine refuses what is of an incarnation before.
        self.fleet = Fleet(roster, time.time_ns() // 1_000_000, seed, now_us, tuning, tagger)
        decider.onlooker = self
        self._act(self.fleet.handle(now_us, ()))

    # Datagrams

    async def start(self) -> None:
        """Have the address; where another process still has it, try on."""
        while self._transport is None:
            try:
                await self._loop.create_datagram_endpoint(
                    lambda: self, local_addr=(self.plan.listen.host, self.plan.listen.port),
                    family=socket.AF_INET)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(AGAIN_S)
        log.info("peers at", extra={"address": str(self.plan.listen), "brokers": len(self.plan.names),
                                    "me": self.plan.names[self.plan.me]})  # fmt: skip

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._handle(Received(self._sources.get((addr[0], addr[1])), data))

    def error_received(self, exc: Exception) -> None:
        self._counters["fleet.send_errors"] += 1  # a peer that is gone, as the system may tell of it

    def stop(self) -> None:
        """Give back what is lent, and go."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._handle(Leaving())
            if self._timer is not None:
                self._timer.cancel()
            self._transport.close()
        self._decider.onlooker = None
        self.count()

    # The machine

    def _handle(self, event: machine.Event) -> None:
        self._act(self.fleet.handle(self._clock.now_us(), (event,)))

    def _act(self, actions: list[machine.Action]) -> None:
        for action in actions:
            if isinstance(action, Sliced):
                self._tell(action, self._clock.now_us())
            elif isinstance(action, Tell):
                if self._transport is not None:
                    peer = self.plan.addresses[action.to]
                    self._transport.sendto(action.data, (peer.host, peer.port))
            elif isinstance(action, machine.Judged):
                self._judged(action.verdict)
            elif isinstance(action, machine.Served):
                self._decider.tell(api.Served(action.volume, action.units))
            elif isinstance(action, Wake):
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = self._loop.call_at(self._clock.loop_time(action.at_us), self._woke)

    def _woke(self) -> None:
        self._timer = None
        self._handle(Woke())

    def _tell(self, told: Sliced, now_us: int) -> None:
        """A slice, to the decisions: before anything that this turn of the loop still brings."""
        name: int | str = told.key
        own, whole = 0, float(WHOLE)
        if told.kind is Kind.COLD:
            if told.key not in self._spells:
                return
            name, own, whole = self._spells[told.key], told.base, 1e12  # micro-units a second
        part = told.slice
        self._decider.tell(api.Sliced(BUDGETS[told.kind], name, (part.parts - own) / whole, part.until_us,
                                      (part.after - own) / whole, now_us))  # fmt: skip

    # What the decider shows

    def arrived(self, event: api.Arrived) -> None:
        """A request is about to be told to the decisions."""
        plan, now_us = self._settings.plans[event.plan], self._clock.now_us()
        if plan.limit:
            sliced = self.fleet.taken(event.volume, plan.limit, event.hosts, event.units, now_us)
            if sliced is not None:
                self._tell(sliced, now_us)
        self.fleet.asked(event.shard, event.units, now_us)

    def _judged(self, verdict: Verdict) -> None:
        """What others say of a node, if this broker knows it. That a node came back cold makes no one careful
        who has not heard of its start: an answer would tell."""
        node = self._nodes.get(verdict.node)
        if node is not None and verdict.what is not What.COLD:
            self._decider.tell(api.Judged(node, verdict.sources, verdict.agreed, verdict.at_us))

    def listed(self, entries: Iterable[api.Entry]) -> None:
        """The node list, or a part of it."""
        for entry in entries:
            if len(self._nodes) < NODES_MAX:
                self._nodes.setdefault(key_of(entry.node), entry.node)

    def sent(self, node: str, request: Request) -> None:
        """An attempt was decided on."""
        self.fleet.sent(key_of(node), request.units)

    def acted(self, action: api.Action) -> None:
        """Something else was decided."""
        if isinstance(action, api.Chilled):
            key = key_of(f"{action.node} {action.born_us}")
            if len(self._spells) > SPELLS_MAX:
                del self._spells[next(iter(self._spells))]
            self._spells[key] = action.node
            self._handle(machine.Chilled(action.node, key, action.shard, action.rate, action.until_us))

    def ended(self, event: api.Ended, request: Request | None) -> None:
        """An attempt ended."""
        if event.result is api.Result.OK and request is not None:
            self.fleet.served(request.volume, request.units)
        now_us = self._clock.now_us()
        seen = SEEN.get(event.result)
        if seen is not None and self.fleet.ended(key_of(event.node), seen, now_us):
            self._handle(Woke())
        if not event.finished and event.result is not api.Result.MOOT and self._settings.further_rate:
            self.fleet.tried(now_us)

    def renewed(self) -> None:
        """The decisions began anew, with even slices: what is lent or not its own yet is to be kept."""
        for sliced in self.fleet.told():
            self._tell(sliced, self._clock.now_us())

    def configure(self, settings: api.Settings) -> None:
        """New settings, for what comes from now on."""
        self._settings = settings

    def report(self) -> dict[str, Any]:
        """What operators are shown: see `fleet/report.py`."""
        return report(self.fleet, self._clock.now_us(), self._nodes)

    def count(self) -> None:
        """Bring the counters up to date."""
        for name, value in self.fleet.counts.items():
            self._counters[f"fleet.{name}"] = value
        for flaw, value in self.fleet.flaws.items():
            self._counters[f"fleet.not_taken.{flaw.value}"] = value
