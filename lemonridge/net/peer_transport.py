"""The other brokers of the fleet: datagrams in and out, and the machine that decides on them, hosted.

The machine sees what the decisions see, as an observer of the decider; what it has for them goes to them as
events of the same turn.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import time
from collections.abc import Iterable
from typing import Any, Protocol

from lemonridge.config.fleet import FleetConfig
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.core.model import Request
from lemonridge.fleet.datagrams import DatagramSigner, Item
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge
from lemonridge.fleet.status_report import report
from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.events import AttemptEnded, Endpoint, RequestArrived
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

AGAIN_S = 0.5  # between tries to have the address: the process before this one may still hold it


class KeyedDatagramSigner:
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


class RolloutItemHandler(Protocol):
    """Whom what is said of policies is passed on to."""

    def heard(self, who: int, incarnation: int, item: Item) -> None: ...


class PeerTransport(asyncio.DatagramProtocol):
    """This broker among its peers."""

    def __init__(
        self,
        plan: FleetConfig,
        decider: DecisionHost,
        clock: Clock,
        counters: Counters,
        seed: int,
        settings: Settings,
    ) -> None:
        self.plan, self._decider, self._clock, self._counters = plan, decider, clock, counters
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._sources = {(one.host, one.port): number for number, one in enumerate(plan.addresses)}
        self._timer: asyncio.TimerHandle | None = None
        signer: DatagramSigner | None = KeyedDatagramSigner(plan.secret) if plan.secret else None
        # Wall time, which goes on over restarts: a later start of a name has a higher one.
        self._bridge = SchedulerBridge(
            MemberList(plan.names, plan.me),
            time.time_ns() // 1_000_000,
            seed,
            clock.now_us(),
            settings,
            plan.bytes_s,
            plan.error_us,
            signer,
        )
        self.coordinator: RolloutItemHandler | None = None
        self._flush()
        decider.observer = self

    # Datagrams

    async def start(self) -> None:
        """Have the address; where another process still has it, try on."""
        while self._transport is None:
            try:
                await self._loop.create_datagram_endpoint(
                    lambda: self,
                    local_addr=(self.plan.listen.host, self.plan.listen.port),
                    family=socket.AF_INET,
                )
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(AGAIN_S)
        log.info(
            "peers at",
            extra={
                "address": str(self.plan.listen),
                "brokers": len(self.plan.names),
                "me": self.plan.names[self.plan.me],
            },
        )

    def connection_made(self, transport: Any) -> None:
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._bridge.received(self._sources.get((addr[0], addr[1])), data, self._clock.now_us())
        self._flush()

    def error_received(self, exc: Exception) -> None:
        self._counters["fleet.send_errors"] += 1  # a peer that is gone, as the system may tell of it

    def stop(self) -> None:
        """Give back what is lent, and go."""
        if self._transport is not None:
            self._bridge.leave(self._clock.now_us())
            self._flush()
            self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._decider.observer = None
        self.count()

    def _flush(self) -> None:
        """Take what the machine has: first what the decisions must go by, then what leaves."""
        bridge = self._bridge
        events, bridge.events = bridge.events, []
        for event in events:
            self._decider.deliver(event)
        tells, bridge.tells = bridge.tells, []
        for one in tells:
            if self._transport is not None:
                peer = self.plan.addresses[one.to]
                self._transport.sendto(one.data, (peer.host, peer.port))
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._clock.loop_time(bridge.next_timer_us), self._woke)
        passed, bridge.passed = bridge.passed, []
        if self.coordinator is not None:
            for told in passed:
                self.coordinator.heard(told.source, told.incarnation, told.item)

    def post(self, items: Iterable[tuple[int, Item]]) -> None:
        """Send what the machine that changes policies has to say."""
        self._bridge.post(items, self._clock.now_us())
        self._flush()

    @property
    def incarnation(self) -> int:
        """This start's number: a later start has a higher one."""
        return self._bridge.fleet.members.incarnation

    def _woke(self) -> None:
        self._bridge.woke(self._clock.now_us())
        self._flush()

    # What the decider shows

    def on_request_arrived(self, event: RequestArrived) -> None:
        """A request is about to be told to the decisions."""
        self._bridge.arrived(event, self._clock.now_us())
        if self._bridge.events:
            self._flush()

    def on_endpoints_changed(self, entries: Iterable[Endpoint]) -> None:
        """The node list, or a part of it."""
        self._bridge.listed(entries)

    def on_attempt_ended(self, event: AttemptEnded, request: Request | None) -> None:
        """An attempt ended."""
        volume, units = (request.volume, request.units) if request is not None else (0, 0.0)
        self._bridge.ended(event, self._clock.now_us(), volume, units)
        if self._bridge.events or self._bridge.tells:
            self._flush()

    def on_attempt_sent(self, endpoint: str, request: Request) -> None:
        """An attempt was decided on."""
        self._bridge.sent(endpoint, request.units)

    def on_slow_start_began(self, action: SlowStartBegan) -> None:
        """The scheduler takes an endpoint for one that warms up."""
        self._bridge.slow_start_began(action, self._clock.now_us())
        self._flush()

    def on_scheduler_restarted(self) -> None:
        """The decisions began anew, with even slices."""
        self._bridge.renewed(self._clock.now_us())
        self._flush()

    def configure(self, settings: Settings) -> None:
        """New settings, for what comes from now on."""
        self._bridge.settings = settings

    # For operators

    def report(self) -> dict[str, Any]:
        """What operators are shown: see `fleet/report.py`."""
        return report(self._bridge.fleet, self._clock.now_us(), self._bridge.endpoints)

    def count(self) -> None:
        """Bring the counters up to date."""
        for name, value in self._bridge.fleet.counts.items():
            self._counters[f"fleet.{name}"] = value
        for fault, value in self._bridge.fleet.faults.items():
            self._counters[f"fleet.not_taken.{fault.value}"] = value
