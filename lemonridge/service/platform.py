"""Assembles the platform's front: clients and endpoints over HTTP/1.1, with discovery."""

from __future__ import annotations

import asyncio
import logging
import os
from dataclasses import replace
from random import Random

from lemonridge.config.platform import PlatformConfig
from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.net.admin_server import AdminServer
from lemonridge.net.connection_table import client_read_bytes
from lemonridge.net.discovery import MISSED_CHANGE_NOTIFIED_AFTER_S, Discovery
from lemonridge.net.discovery_format import parse_endpoint_list
from lemonridge.net.errors import MalformedListError
from lemonridge.net.http_endpoints import HttpEndpoints
from lemonridge.net.http_front import HttpFront
from lemonridge.net.key_turns import KeyTurnExchange
from lemonridge.net.process_handover import ProcessHandover
from lemonridge.operate.lifecycle import Lifecycle
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.service.admin import AdminService
from lemonridge.service.service import Service

log = logging.getLogger(__name__)

OPEN_REQUESTS_FRACTION = 1 / 4  # of the process's socket limit; with more, queued requests are rejected
VOLUMES_MEMORY_FRACTION = 1 / 16  # of the process's memory limit, for the state of volumes
PROCESS_START_MAX_S = 0.5  # from the start of the process until its configuration is loaded
CACHED_LIST_MAX_S = MISSED_CHANGE_NOTIFIED_AFTER_S - PROCESS_START_MAX_S  # without an answer of the agent
VOLUME_BYTES = 2048  # that the scheduler needs at most for a volume with requests to a few shards


async def platform_service(config: PlatformConfig) -> Service:
    """Starts the platform's front; it accepts connections when this returns.

    Raises:
        ConfigError: A part of the configuration cannot be used.
        OSError: The broker cannot listen on a configured address.
    """
    assembly = PlatformAssembly(config)
    await assembly.connect_peers()
    assembly.front.bind(config.listen, config.inherited_fd)
    await assembly.listen_for_operators()
    await assembly.take_over()
    await assembly.front.listen()
    return assembly.service


class PlatformAssembly:
    """Builds the parts of the platform's front and passes a new configuration to them.

    Attributes:
        service: The service that the parts belong to.
        front: The HTTP front that clients connect to.
    """

    def __init__(self, config: PlatformConfig) -> None:
        self._config = config
        self.service = service = Service("http", config.settings, config.seed, Counters())
        self._set_maxima(config)
        self._log_settings()
        cached_seq = self._load_cached_list()
        if not config.settings.polls_endpoint_list:
            self._expire_cached_list_later()
        self._endpoints = HttpEndpoints(
            service.registry, service.clock, config, service.counters, client_read_bytes(config)
        )
        service.close = self._endpoints.close
        self._random = Random(config.seed)
        # Polling from the cached sequence number spares the source from sending the complete list.
        self._watch_discovery(cached_seq if config.settings.polls_endpoint_list else None)
        self._broker = Broker(service.decision_host, self._endpoints, service.counters)
        self._lifecycle = Lifecycle(max(cls.deadline_us for cls in config.settings.classes))
        service.front = self.front = HttpFront(
            config, self._broker, service.registry, service.clock, service.counters, self._lifecycle
        )
        service.configure = self._configure
        self._admin = AdminService(service, self.front, self._lifecycle)

    def _set_maxima(self, config: PlatformConfig) -> None:
        """Bounds the scheduler's state by the limits of the configuration."""
        volumes_max = int(config.memory_bytes * VOLUMES_MEMORY_FRACTION) // VOLUME_BYTES
        self.service.decision_host.set_maxima(int(config.sockets * OPEN_REQUESTS_FRACTION), volumes_max)

    def _log_settings(self) -> None:
        """Logs the settings that the platform starts with."""
        settings = self._config.settings
        log.info(
            "settings",
            extra={
                "hosts": settings.hosts,
                "shards": self._config.shards,
                "sockets": self._config.sockets,
                "mean_request_units": settings.mean_request_units,
                "largest_request_units": settings.largest_request_units,
                "slow_start_units": settings.slow_start_units,
                "polls_endpoint_list": settings.polls_endpoint_list,
                "poll_within_us": settings.poll_within_us,
            },
        )

    def _load_cached_list(self) -> int | None:
        """Loads the configuration's cached endpoint list; returns its sequence number, or None."""
        cached = self._config.cached_endpoint_list
        if not cached.get("hosts"):
            return None
        try:
            endpoints = parse_endpoint_list(cached, self._config.zones)
        except MalformedListError as error:
            log.warning("cached endpoint list ignored", extra={"error": str(error)})
            return None
        self.service.registry.update(EndpointListUpdate.CACHED, endpoints)
        seq = cached.get("seq")
        return seq if isinstance(seq, int) and not isinstance(seq, bool) else None

    def _expire_cached_list_later(self) -> None:
        """Lets the cached list expire before a drain that an agent has had all along counts as notified.

        What an agent has counts from the first moment of a new process, whether or not it is heard
        (STANDING), and at the latest after the time of a missed change. Where discovery must be polled, what
        it has told nobody does not count.
        """
        loop = asyncio.get_running_loop()
        loop.call_at(loop.time() + CACHED_LIST_MAX_S, self.service.registry.expire_cached_list)

    def _watch_discovery(self, seq: int | None = None) -> None:
        """Follows discovery at the configured address; None for `seq` requests the complete list first."""
        discovery = Discovery(
            str(self._config.discovery),
            self._config.zones,
            self.service.registry,
            self._random,
            self.service.counters,
            self._config.settings,
        )
        self.service.follow(discovery.run(seq))

    def _configure(self, new: PlatformConfig) -> None:
        """Applies a new configuration.

        There is no await between the steps, so no request sees a partly applied configuration. Open requests
        continue, and discovery is queried at its new address immediately.
        """
        old, self._config = self._config, new
        coordinator, peers = self.service.coordinator, self.service.peers
        if coordinator is not None:  # fleet policy is proposed; the rest applies now
            new = replace(new, settings=coordinator.configure(new))
        self.service.decision_host.configure(new.settings)
        self._set_maxima(new)
        if peers is not None:
            peers.configure(new.settings)
        self.front.configure(new)
        self._endpoints.configure(new)
        if (new.discovery, new.zones) != (old.discovery, old.zones):
            self._watch_discovery()

    async def connect_peers(self) -> None:
        """Starts the exchange of datagrams with the other brokers, if the configuration allows it."""
        config, fleet = self._config, self._config.fleet
        log.info(
            "fleet", extra={"peers": len(fleet.names) if fleet else 0, "speaks": config.exchanges_datagrams}
        )
        if fleet is None or not config.exchanges_datagrams:
            return
        from lemonridge.service.peers import connect_peers

        coordinator = await connect_peers(self.service, fleet, config, lambda: config.seed)
        self._endpoints.expires_decisions = True
        if coordinator is not None:
            self._endpoints.policy_epoch_at, self.front.has_lease = coordinator.epoch, coordinator.has_lease

    async def listen_for_operators(self) -> None:
        """Starts the server for operators' calls, if an address is configured."""
        if self._config.admin is not None:
            server = AdminServer(self._admin.handle, self.service.counters)
            await server.start(self._config.admin)
            self.service.on_stop.append(server.stop)

    async def take_over(self) -> None:
        """Takes over from the predecessor process, if this process has inherited its listening socket."""
        directory = os.environ.get("TMPDIR")
        if self._config.inherited_fd is None or not directory:
            return
        service = self.service
        key_turns = KeyTurnExchange(service.decision_host.deliver)
        service.decision_host.turn_exchange = key_turns
        handover = ProcessHandover(
            directory,
            self._config.name,
            self._admin,
            service.clock,
            service.counters,
            self._broker.open_ids,
            key_turns,
        )
        await self._admin.take_over(handover)
        service.on_stop.append(self._admin.stop)
