"""The other brokers of the fleet: hosts a fleet member on a UDP socket.

The member sees what the scheduler sees, as an observer of the decision host. What it has for the scheduler is
delivered as events of the same turn of the event loop, before its datagrams are sent.
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
from lemonridge.fleet.datagrams import TAG_BYTES, Item
from lemonridge.fleet.member_list import MemberList
from lemonridge.fleet.scheduler_bridge import SchedulerBridge
from lemonridge.fleet.status_report import report
from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.events import AttemptEnded, Endpoint, RequestArrived
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

BIND_RETRY_S = 0.5  # the previous process of this broker may still hold the address


class KeyedDatagramSigner:
    """Tags datagrams by a secret: keyed BLAKE2s (RFC 7693)."""

    def __init__(self, secret: bytes) -> None:
        import hashlib  # both load OpenSSL, which only an operator's file may
        import hmac

        self._blake2s, self._equal = hashlib.blake2s, hmac.compare_digest
        self._key = hashlib.blake2s(secret).digest()

    def sign(self, data: bytes) -> bytes:
        """The tag of some bytes."""
        return self._blake2s(data, digest_size=TAG_BYTES, key=self._key).digest()

    def verify(self, data: bytes, tag: bytes) -> bool:
        """Whether `tag` is the tag of `data`, compared in constant time."""
        return self._equal(self.sign(data), tag)


class RolloutItemHandler(Protocol):
    """The policy rollout's host, to which its items are delivered."""

    def on_rollout_item(self, member: int, incarnation: int, item: Item) -> None:
        """An item arrived from `member`'s incarnation."""


class PeerTransport(asyncio.DatagramProtocol):
    """This broker among its peers.

    Args:
        config: the members' names and addresses, and which one this is.
        decision_host: observed; it is given the member's events.
        clock: of the process.
        counters: of the process; the member's are added under `fleet.`.
        seed: of the member's random draws.
        settings: the scheduler's.
    """

    def __init__(
        self,
        config: FleetConfig,
        decision_host: DecisionHost,
        clock: Clock,
        counters: Counters,
        seed: int,
        settings: Settings,
    ) -> None:
        self.config, self._decision_host = config, decision_host
        self._clock, self._counters = clock, counters
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._members = {(one.host, one.port): number for number, one in enumerate(config.addresses)}
        self._timer: asyncio.TimerHandle | None = None
        # Wall time goes on over restarts: a later start of a name has a higher incarnation.
        self._bridge = SchedulerBridge(
            MemberList(config.names, config.own_index),
            time.time_ns() // 1_000_000,
            seed,
            clock.now_us(),
            settings,
            config.datagram_bytes_per_s,
            config.clock_error_us,
            KeyedDatagramSigner(config.secret) if config.secret else None,
        )
        self.coordinator: RolloutItemHandler | None = None
        self._flush()
        decision_host.observer = self

    # Datagrams

    async def start(self) -> None:
        """Bind the address; while another process holds it, try again every BIND_RETRY_S.

        Raises:
            OSError: the address cannot be bound for another reason.
        """
        listen = self.config.listen
        while self._transport is None:
            try:
                await self._loop.create_datagram_endpoint(
                    lambda: self, local_addr=(listen.host, listen.port), family=socket.AF_INET
                )
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(BIND_RETRY_S)
        log.info(
            "fleet transport listening",
            extra={
                "address": str(listen),
                "members": len(self.config.names),
                "member": self.config.names[self.config.own_index],
                "incarnation": self.incarnation,
            },
        )

    def connection_made(self, transport: Any) -> None:
        """The socket is bound."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """A datagram arrived."""
        self._bridge.on_datagram(self._members.get((addr[0], addr[1])), data, self._clock.now_us())
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """The system reports an earlier datagram as not delivered: a peer is gone."""
        self._counters["fleet.send_errors"] += 1

    def stop(self) -> None:
        """Return what is borrowed and close the socket."""
        if self._transport is not None:
            self._bridge.shut_down(self._clock.now_us())
            self._flush()
            self._transport.close()
        if self._timer is not None:
            self._timer.cancel()
        self._decision_host.observer = None
        self.update_counters()

    def _flush(self) -> None:
        """Take what the bridge holds: first the scheduler's events, then the datagrams."""
        bridge = self._bridge
        events, bridge.events = bridge.events, []
        for event in events:
            self._decision_host.deliver(event)
        datagrams, bridge.datagrams = bridge.datagrams, []
        for datagram in datagrams:
            if self._transport is not None:
                peer = self.config.addresses[datagram.to]
                self._transport.sendto(datagram.data, (peer.host, peer.port))
        if self._timer is not None:
            self._timer.cancel()
        self._timer = self._loop.call_at(self._clock.loop_time(bridge.next_timer_us), self._on_timer)
        rollout_items, bridge.rollout_items = bridge.rollout_items, []
        if self.coordinator is not None:
            for one in rollout_items:
                self.coordinator.on_rollout_item(one.source, one.incarnation, one.item)

    def send_rollout_items(self, items: Iterable[tuple[int, Item]]) -> None:
        """Send items of the policy rollout, by receiver."""
        self._bridge.send_rollout_items(items, self._clock.now_us())
        self._flush()

    @property
    def incarnation(self) -> int:
        """This start's number: a later start has a higher one."""
        return self._bridge.fleet.membership.incarnation

    def _on_timer(self) -> None:
        self._bridge.on_timer(self._clock.now_us())
        self._flush()

    # What the decision host shows

    def on_request_arrived(self, event: RequestArrived) -> None:
        """A request is about to be given to the scheduler."""
        self._bridge.on_request_arrived(event, self._clock.now_us())
        if self._bridge.events:
            self._flush()

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Endpoints are about to be given to the scheduler."""
        self._bridge.on_endpoints_changed(endpoints)

    def on_attempt_ended(self, event: AttemptEnded, request: Request | None) -> None:
        """An attempt has ended; `request` is None where the request was closed before."""
        volume, units = (request.volume, request.units) if request is not None else (0, 0.0)
        self._bridge.on_attempt_ended(event, self._clock.now_us(), volume, units)
        if self._bridge.events or self._bridge.datagrams:
            self._flush()

    def on_attempt_sent(self, endpoint_id: str, request: Request) -> None:
        """The scheduler sends an attempt to an endpoint."""
        self._bridge.on_attempt_sent(endpoint_id, request.units)

    def on_slow_start_began(self, action: SlowStartBegan) -> None:
        """The scheduler takes an endpoint for one that warms up."""
        self._bridge.on_slow_start_began(action, self._clock.now_us())
        self._flush()

    def on_scheduler_restarted(self) -> None:
        """A new scheduler is in place of one that failed; it begins with even quotas."""
        self._bridge.on_scheduler_restarted(self._clock.now_us())
        self._flush()

    def configure(self, settings: Settings) -> None:
        """Use new settings for what happens from now on."""
        self._bridge.settings = settings

    # For operators

    def report(self) -> dict[str, Any]:
        """What operators are shown: see `fleet/status_report.py`."""
        return report(self._bridge.fleet, self._clock.now_us(), self._bridge.endpoints)

    def update_counters(self) -> None:
        """Bring the process's counters up to date."""
        for name, value in self._bridge.fleet.counts.items():
            self._counters[f"fleet.{name}"] = value
        for fault, value in self._bridge.fleet.receiver.faults.items():
            self._counters[f"fleet.not_taken.{fault.value}"] = value
