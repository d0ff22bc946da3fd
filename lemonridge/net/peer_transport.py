"""Hosts a fleet member on a UDP socket, which connects this broker to the other brokers of the fleet.

The member observes the decision host and so sees the same events as the scheduler. Its own events for the
scheduler are delivered in the same iteration of the event loop, before its datagrams are sent.
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
from lemonridge.fleet.status_report import member_report
from lemonridge.scheduling.actions import SlowStartBegan
from lemonridge.scheduling.events import AttemptEnded, Endpoint, RequestArrived
from lemonridge.scheduling.settings import Settings

log = logging.getLogger(__name__)

BIND_RETRY_S = 0.5  # the previous process of this broker may still be bound to the address


class KeyedDatagramSigner:
    """Authenticates datagrams with a shared secret: keyed BLAKE2s (RFC 7693).

    Args:
        secret: The shared secret.
    """

    def __init__(self, secret: bytes) -> None:
        import hashlib  # both load OpenSSL, which only an operator's file may cause
        import hmac

        self._blake2s, self._equal = hashlib.blake2s, hmac.compare_digest
        self._key = hashlib.blake2s(secret).digest()

    def sign(self, data: bytes) -> bytes:
        """Returns the tag of a datagram."""
        return self._blake2s(data, digest_size=TAG_BYTES, key=self._key).digest()

    def verify(self, data: bytes, tag: bytes) -> bool:
        """Whether `tag` is the tag of `data`, compared in constant time."""
        return self._equal(self.sign(data), tag)


class RolloutItemHandler(Protocol):
    """Receives the items of the policy rollout."""

    def on_rollout_item(self, member: int, incarnation: int, item: Item) -> None:
        """Handles an item from an incarnation of a member.

        Args:
            member: The number of the member.
            incarnation: The incarnation of the member.
            item: The item.
        """


class PeerTransport(asyncio.DatagramProtocol):
    """Exchanges datagrams between this broker's fleet member and its peers.

    Args:
        config: The names and addresses of the members, and which of them this broker is.
        decision_host: Is observed by the member, and receives its events.
        clock: The process's clock.
        counters: The process's counters; the member's counters are added under `fleet.`.
        seed: The seed of the member's random generator.
        settings: The scheduler's settings.

    Attributes:
        config: The names and addresses of the members, and which of them this broker is.
        coordinator: Receives items of the policy rollout; None if there is no rollout.
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
        self._clock, self._counters, self._seed = clock, counters, seed
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.DatagramTransport | None = None
        self._members = {(peer.host, peer.port): number for number, peer in enumerate(config.addresses)}
        self._timer: asyncio.TimerHandle | None = None
        self._has_handed_over = False
        self._bridge = self._new_bridge(settings)
        self.coordinator: RolloutItemHandler | None = None
        self._flush()
        decision_host.observer = self

    def _new_bridge(self, settings: Settings) -> SchedulerBridge:
        """Returns the bridge of a member that starts now.

        The incarnation is the wall time, which continues across restarts: a later start of a member has a
        higher incarnation.
        """
        config = self.config
        return SchedulerBridge(
            MemberList(config.names, config.own_index),
            time.time_ns() // 1_000_000,
            self._seed,
            self._clock.now_us(),
            settings,
            config.datagram_bytes_per_s,
            config.clock_error_us,
            KeyedDatagramSigner(config.secret) if config.secret else None,
        )

    # Datagrams

    async def start(self) -> None:
        """Binds the address; retries every BIND_RETRY_S while another process uses it.

        Raises:
            OSError: The address cannot be bound for another reason.
        """
        listen = self.config.listen
        while self._transport is None and not self._has_handed_over:
            try:
                await self._loop.create_datagram_endpoint(
                    lambda: self, local_addr=(listen.host, listen.port), family=socket.AF_INET
                )
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(BIND_RETRY_S)
        if self._transport is None:
            return
        log.info(
            "fleet transport listening",
            extra={
                "address": str(listen),
                "members": len(self.config.names),
                "member": self.config.names[self.config.own_index],
                "incarnation": self.incarnation,
            },
        )

    def hand_over(self) -> None:
        """Leaves the fleet to the successor process, which binds the address next and uses the quotas.

        Where the fleet agrees on a policy, this member stays instead and only lends nothing: the decisions of
        this process need a lease.
        """
        if self.config.rollout is None:
            self._has_handed_over = True
            self._leave()
            return
        self._decision_host.observer = None
        self._bridge.stop_lending(self._clock.now_us())
        self._flush()

    async def rejoin(self) -> None:
        """Takes part in the fleet again after the successor has gone, by a new incarnation of the member.

        Raises:
            OSError: The address cannot be bound for another reason than its use by another process.
        """
        self._decision_host.observer = self
        if not self._has_handed_over:
            self.resume_lending()
            return
        self._has_handed_over = False
        self._bridge = self._new_bridge(self._bridge.settings)
        self._bridge.on_endpoints_changed(self._decision_host.list_endpoints())
        self._flush()
        await self.start()

    def resume_lending(self) -> None:
        """Takes note that only this process uses the quotas, of which another one may have lent some."""
        self._bridge.resume_lending(self._clock.now_us())
        self._flush()

    def connection_made(self, transport: Any) -> None:
        """Stores the transport of the bound socket; called by asyncio."""
        if self._has_handed_over:  # while the address was being bound
            transport.close()
            return
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Passes a received datagram to the member."""
        self._bridge.on_datagram(self._members.get((addr[0], addr[1])), data, self._clock.now_us())
        self._flush()

    def error_received(self, exc: Exception) -> None:
        """Counts an earlier datagram that could not be delivered because its peer is not running."""
        self._counters["fleet.send_errors"] += 1

    def stop(self) -> None:
        """Returns borrowed quotas and closes the socket."""
        self._leave()
        self.update_counters()

    def _leave(self) -> None:
        """Announces that the member leaves, returns borrowed quotas and closes the socket."""
        if self._transport is not None:
            self._bridge.shut_down(self._clock.now_us())
            self._flush()
            self._transport.close()
            self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        self._decision_host.observer = None

    def _flush(self) -> None:
        """Delivers the bridge's pending events to the scheduler, and then sends its pending datagrams."""
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
            for received in rollout_items:
                self.coordinator.on_rollout_item(received.source, received.incarnation, received.item)

    def send_rollout_items(self, items: Iterable[tuple[int, Item]]) -> None:
        """Sends items of the policy rollout.

        Args:
            items: The items, each with the number of the receiving member.
        """
        if self._has_handed_over:
            return
        self._bridge.send_rollout_items(items, self._clock.now_us())
        self._flush()

    @property
    def incarnation(self) -> int:
        """The incarnation of this member; higher after each start."""
        return self._bridge.member.membership.incarnation

    def _on_timer(self) -> None:
        self._bridge.on_timer(self._clock.now_us())
        self._flush()

    # Observer of the decision host

    def on_request_arrived(self, event: RequestArrived) -> None:
        """Handles a request that is about to be passed to the scheduler."""
        self._bridge.on_request_arrived(event, self._clock.now_us())
        if self._bridge.events:
            self._flush()

    def on_endpoints_changed(self, endpoints: Iterable[Endpoint]) -> None:
        """Handles endpoints that are about to be passed to the scheduler."""
        self._bridge.on_endpoints_changed(endpoints)

    def on_attempt_ended(self, event: AttemptEnded, request: Request | None) -> None:
        """Handles the end of an attempt.

        Args:
            event: The end of the attempt.
            request: The request of the attempt; None if the request was closed before.
        """
        volume, units = (request.volume, request.units) if request is not None else (0, 0.0)
        self._bridge.on_attempt_ended(event, self._clock.now_us(), volume, units)
        if self._bridge.events or self._bridge.datagrams:
            self._flush()

    def on_attempt_sent(self, endpoint_id: str, request: Request) -> None:
        """Handles an attempt that the scheduler sends to an endpoint."""
        self._bridge.on_attempt_sent(endpoint_id, request.units)

    def on_slow_start_began(self, action: SlowStartBegan) -> None:
        """Handles an endpoint that enters slow start."""
        self._bridge.on_slow_start_began(action, self._clock.now_us())
        self._flush()

    def on_scheduler_restarted(self) -> None:
        """Handles a new scheduler that replaces a failed one; it starts with equal quotas."""
        self._bridge.on_scheduler_restarted(self._clock.now_us())
        self._flush()

    def configure(self, settings: Settings) -> None:
        """Applies new settings to all later events."""
        self._bridge.settings = settings

    # Reports to operators

    def report(self) -> dict[str, Any]:
        """Returns this broker's view of the fleet for operators; see `fleet/status_report.py`."""
        return member_report(self._bridge.member, self._clock.now_us(), self._bridge.endpoints)

    def update_counters(self) -> None:
        """Copies the member's counters to the process's counters."""
        for name, value in self._bridge.member.counts.items():
            self._counters[f"fleet.{name}"] = value
        for fault, value in self._bridge.member.receiver.faults.items():
            self._counters[f"fleet.not_taken.{fault.value}"] = value
