"""One front with the core and the endpoints' side behind it, from its assembly to its stop."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Protocol

from lemonridge.config.local_policy import LocalPolicy
from lemonridge.config.platform import PlatformConfig
from lemonridge.core.clock import Clock
from lemonridge.core.counters import Counters
from lemonridge.core.decision_host import DecisionHost
from lemonridge.core.endpoint_registry import EndpointRegistry
from lemonridge.operate.admin_calls import AdminReply, AdminRequest
from lemonridge.scheduling.settings import Settings

if TYPE_CHECKING:
    from lemonridge.net.peer_transport import PeerTransport

log = logging.getLogger(__name__)

OPEN_REQUESTS_POLL_S = 0.005  # how often a service that stops looks whether its last request has ended


class Front(Protocol):
    """The clients' side, as a stop needs it."""

    async def stop(self) -> None:
        """Stops accepting, once that is due."""
        ...

    @property
    def busy(self) -> bool:
        """Whether responses are still being written."""
        ...


class PolicyCoordination(Protocol):
    """The fleet's policy at this broker; see `coordination.policy_coordinator`."""

    def configure(self, own: LocalPolicy) -> Settings:
        """Proposes the policy of a new file; returns the settings to go by until it is agreed."""
        ...

    def act(self, request: AdminRequest) -> AdminReply:
        """The reply to an operators' call about the policy."""
        ...

    def has_lease(self) -> bool:
        """Whether it is known by which policy to decide."""
        ...

    def epoch(self, decided_at_s: float) -> str | None:
        """See `core.decision_host.LeaseGuard`."""
        ...


class Service:
    """One front with the core and the endpoints' side behind it.

    Attributes:
        name: The front's name, for the log.
        front: The clients' side.
        close: Closes the endpoints' side.
        configure: Puts a new configuration in force, where the front has one that can change.
        on_stop: Called last in a stop, in this order.
        peers: The other brokers of the fleet.
        coordinator: The fleet's policy.
    """

    def __init__(self, name: str, settings: Settings, seed: int, counters: Counters) -> None:
        self.name, self.counters, self.clock = name, counters, Clock(asyncio.get_running_loop())
        self.decision_host = DecisionHost(settings, seed, self.clock, self.counters)
        self.registry = EndpointRegistry(self.decision_host, self.clock.now_us, self.clock.wall_us)
        self.decision_host.list_endpoints = self.registry.endpoints
        self.front: Front
        self.close: Callable[[], Awaitable[None]]
        self.configure: Callable[[PlatformConfig], None] | None = None
        self.on_stop: list[Callable[[], None]] = []
        self.peers: PeerTransport | None = None
        self.coordinator: PolicyCoordination | None = None
        self._followers: dict[str, asyncio.Task[None]] = {}  # by the source's name

    def connect(self, peers: PeerTransport) -> None:
        """Starts messages to the other brokers."""
        self.peers = peers
        self.on_stop.append(peers.stop)
        self.follow(peers.start(), "peers")
        self.decision_host.stall_detector.start()

    def follow(self, source: Coroutine[None, None, None], name: str = "endpoints") -> None:
        """Follows a source until the stop, in place of the one of the same name."""
        before = self._followers.get(name)
        if before is not None:
            before.cancel()
        self._followers[name] = asyncio.create_task(source)

    def print_counters(self, reason: str) -> None:
        """Logs all counters; `reason` says what asked for it."""
        if self.peers is not None:
            self.peers.update_counters()
        self.counters.log_all(reason, self.name)

    async def stop(self) -> None:
        """Shuts down gracefully: accepts until it is due, ends the open requests, closes."""
        log.info("stopping", extra={"front": self.name, "open_requests": self.decision_host.open_requests})
        await self.front.stop()
        while self.decision_host.open_requests or self.front.busy:
            await asyncio.sleep(OPEN_REQUESTS_POLL_S)
        for follower in self._followers.values():
            follower.cancel()
        await self.close()
        for call in self.on_stop:
            call()
        self.print_counters("exit")
