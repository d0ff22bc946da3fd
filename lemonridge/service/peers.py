"""Connects a service to the other brokers of its fleet, and to the fleet's policy."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from lemonridge.config.fleet import FleetConfig
from lemonridge.config.local_policy import LocalPolicy
from lemonridge.service.service import Service

if TYPE_CHECKING:
    from lemonridge.coordination.policy_coordinator import PolicyCoordinator


async def connect_peers(
    service: Service, fleet: FleetConfig, local_policy: LocalPolicy, next_seed: Callable[[], int]
) -> PolicyCoordinator | None:
    """Starts messages to the peers and, where the fleet has an agreed policy, its coordinator.

    Nothing of the two is loaded before they are needed.

    Raises:
        ConfigError: The store of votes cannot be used.
    """
    from lemonridge.net.peer_transport import PeerTransport

    if fleet.rollout is not None:
        from lemonridge.coordination.policy_coordinator import PolicyCoordinator
        from lemonridge.coordination.vote_store import open_vote_store

        store, record = await open_vote_store(fleet.rollout.votes_path)
    peers = PeerTransport(
        fleet, service.decision_host, service.clock, service.counters, next_seed(), local_policy.settings
    )
    service.connect(peers)
    if fleet.rollout is None:
        return None
    service.coordinator = coordinator = PolicyCoordinator(
        fleet,
        local_policy,
        next_seed(),
        peers,
        service.decision_host,
        service.clock,
        service.counters,
        store,
        record,
    )
    service.on_stop.insert(0, coordinator.stop)
    return coordinator
