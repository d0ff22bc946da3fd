"""Connects a service to the other brokers of its fleet and to the coordination of the fleet's policy."""

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
    """Starts the exchange of datagrams with the peers, and the policy coordinator if one is configured.

    Their modules are imported here, so that a broker without a fleet does not load them.

    Args:
        service: The service to connect.
        fleet: The fleet's members and this broker's place among them.
        local_policy: The policy of this broker's own configuration.
        next_seed: Returns a seed for each component that draws random numbers.

    Returns:
        The policy coordinator; None where each broker applies its own file.

    Raises:
        ConfigError: The vote store cannot be used.
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
