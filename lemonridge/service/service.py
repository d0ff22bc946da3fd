"""One front with the core and the nodes' side behind it, and its end."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Protocol

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

IDLE_S = 0.005  # how often the end of the last request is looked for, once the program is to end


class Front(Protocol):
    """A front, as the program's end needs it."""

    async def stop(self) -> None: ...

    @property
    def busy(self) -> bool: ...


class LocalPolicy(Protocol):
    """What a broker's own file says of what is policy; the names are those that its clients know."""

    @property
    def settings(self) -> Settings: ...

    @property
    def plans(self) -> tuple[str, ...]: ...

    @property
    def classes(self) -> tuple[str, ...]: ...


class PolicyCoordination(Protocol):
    """The policy of the fleet at this broker; see `coordination/policy_coordinator.py`."""

    def configure(self, own: LocalPolicy) -> Settings: ...

    def act(self, order: AdminRequest) -> AdminReply: ...

    def has_lease(self) -> bool: ...


class Service:
    """One front with the core and the nodes' side behind it."""

    def __init__(self, name: str, settings: Settings, seed: int, counters: Counters) -> None:
        self.name, self.counters, self.clock = name, counters, Clock(asyncio.get_running_loop())
        self.decider = DecisionHost(settings, seed, self.clock, self.counters)
        self.directory = EndpointRegistry(self.decider, self.clock.now_us, self.clock.wall_us)
        self.decider.relist = self.directory.entries
        self.front: Front
        self.close: Callable[[], Awaitable[None]]
        self.configure: Callable[[PlatformConfig], None] | None = None
        self.endings: list[Callable[[], None]] = []  # called last
        self.peers: PeerTransport | None = None
        self.coordinator: PolicyCoordination | None = None
        self._watches: dict[str, asyncio.Task[None]] = {}

    def speak(self, peers: PeerTransport) -> None:
        """Speak to the other brokers."""
        self.peers = peers
        self.endings.append(peers.stop)
        self.watch(peers.start(), "peers")
        self.decider.watch_for_stops()

    def watch(self, work: Coroutine[None, None, None], what: str = "nodes") -> None:
        """Follow a source, in place of the one before of the same."""
        before = self._watches.get(what)
        if before is not None:
            before.cancel()
        self._watches[what] = asyncio.create_task(work)

    def print_counters(self, why: str) -> None:
        if self.peers is not None:
            self.peers.count()
        self.counters.print(why, self.name)

    async def stop(self) -> None:
        """Serve the tail, finish what is held, leave."""
        log.info("stopping", extra={"front": self.name, "held": self.decider.held})
        await self.front.stop()
        while self.decider.held or self.front.busy:
            await asyncio.sleep(IDLE_S)
        for watch in self._watches.values():
            watch.cancel()
        await self.close()
        for ending in self.endings:
            ending()
        self.print_counters("exit")
