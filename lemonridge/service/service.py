"""One front with its core and its connections to endpoints, from assembly to shutdown."""

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

OPEN_REQUESTS_POLL_S = 0.005  # how often a stopping service checks whether all requests have ended


class Front(Protocol):
    """The client-facing side, as far as shutdown needs it."""

    async def stop(self) -> None:
        """Stops accepting connections, at the time given by the front's shutdown schedule."""
        ...

    @property
    def busy(self) -> bool:
        """Whether responses are still being written."""
        ...


class PolicyCoordination(Protocol):
    """This broker's part in agreeing on the fleet's policy; see `coordination.policy_coordinator`."""

    def configure(self, own: LocalPolicy) -> Settings:
        """Proposes the policy of a new configuration; returns the settings to apply until it is agreed."""
        ...

    def act(self, request: AdminRequest) -> AdminReply:
        """Carries out an operators' call about the policy and returns the reply."""
        ...

    def has_lease(self) -> bool:
        """Returns whether this broker holds a lease on the policy in force."""
        ...

    def epoch(self, decided_at_s: float) -> str | None:
        """Returns the epochs to send with an attempt; see `core.decision_host.LeaseGuard`."""
        ...


class Service:
    """One front with its core and its connections to endpoints.

    Args:
        name: The front's name, for the log.
        settings: The scheduler's settings.
        seed: The scheduler's random seed.
        counters: The counters of the front.

    Attributes:
        front: The client-facing side; set by the assembly.
        close: Closes the connections to endpoints; set by the assembly.
        configure: Applies a new configuration; None if the front cannot be reconfigured.
        on_stop: Callbacks that run at the end of the shutdown, in this order.
        peers: The connections to the other brokers of the fleet; None without a fleet.
        coordinator: The coordinator of the fleet's policy; None where each broker applies its own file.
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
        self._followers: dict[str, asyncio.Task[None]] = {}  # by source name

    def connect(self, peers: PeerTransport) -> None:
        """Starts the exchange of datagrams with the other brokers."""
        self.peers = peers
        self.on_stop.append(peers.stop)
        self.follow(peers.start(), "peers")
        self.decision_host.stall_detector.start()

    def follow(self, source: Coroutine[None, None, None], name: str = "endpoints") -> None:
        """Runs a source's follower until the service stops; replaces the follower of the same name."""
        previous = self._followers.get(name)
        if previous is not None:
            previous.cancel()
        self._followers[name] = asyncio.create_task(source)

    def print_counters(self, reason: str) -> None:
        """Logs all counters; `reason` names the trigger, for example a signal."""
        if self.peers is not None:
            self.peers.update_counters()
        self.decision_host.update_counters()
        self.counters.log_all(reason, self.name)

    async def stop(self) -> None:
        """Shuts down gracefully: stops the front, waits for open requests to end, then closes everything."""
        log.info("stopping", extra={"front": self.name, "open_requests": self.decision_host.open_requests})
        await self.front.stop()
        while self.decision_host.open_requests or self.front.busy:
            await asyncio.sleep(OPEN_REQUESTS_POLL_S)
        for follower in self._followers.values():
            follower.cancel()
        await self.close()
        for callback in self.on_stop:
            callback()
        self.print_counters("exit")
