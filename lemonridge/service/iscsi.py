"""Assembles the iSCSI front: its core, endpoints, extent map and configuration sources."""

from __future__ import annotations

import functools
import logging
import secrets
from dataclasses import replace
from random import Random

from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.coordination.etcd_source import EndpointsFeed, EtcdSource
from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.etcd.follower import Feed
from lemonridge.extents.errors import MapCacheError
from lemonridge.extents.etcd_source import MapFeed, Refresher
from lemonridge.extents.file_source import FileSource
from lemonridge.extents.router import Router
from lemonridge.iscsi.config import IscsiConfig
from lemonridge.iscsi.device import CAPACITY_CHANGED
from lemonridge.iscsi.initiator import IscsiEndpoints
from lemonridge.iscsi.mapped import MappedLuns
from lemonridge.iscsi.portal import IscsiFront
from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.service.admin import listen_for_fleet_calls
from lemonridge.service.peers import connect_peers
from lemonridge.service.service import Service

log = logging.getLogger(__name__)


def _random_seed() -> int:
    return secrets.randbits(64)


async def iscsi_service(config: IscsiConfig, fleet: FleetConfig | None = None) -> Service:
    """Starts the iSCSI front of an operator's file; it accepts connections when this returns.

    The front starts to listen last: once it does, operators' calls are accepted as well.

    Args:
        config: The iSCSI front's configuration.
        fleet: This broker's membership in the fleet; None where the iSCSI front is no fleet member.

    Returns:
        The running service.

    Raises:
        ConfigError: A part of the configuration cannot be used.
        OSError: The broker cannot listen on a configured address.
    """
    counters, etcd = Counters(), None
    if config.etcd is not None:
        etcd = EtcdSource(config.etcd, Random(), counters, config.extents.page_size)
        settings = await etcd.apply_contracts(config.plans, config.settings)
        if fleet is None or fleet.rollout is None:  # otherwise the fleet agrees on contracts first
            config = replace(config, settings=settings)
    service = Service("iscsi", config.settings, _random_seed(), counters)
    router = _router(config, service) if config.mapped else None
    refresher = _follow_sources(config, service, etcd, router)
    endpoints = IscsiEndpoints(config, service.registry, counters)
    service.close = functools.partial(_close, endpoints, router, refresher)
    service.front = front = await _front(config, service, endpoints, router)
    if fleet is not None:
        coordinator = await connect_peers(service, fleet, config, _random_seed)
        if coordinator is not None and etcd is not None:
            etcd.subscribe_to_plans(coordinator.propose_plans)
        if fleet.admin is not None:
            await listen_for_fleet_calls(service, fleet.admin, lambda: front.listens)
    await front.start(config.listen)
    return service


def _follow_sources(
    config: IscsiConfig, service: Service, etcd: EtcdSource | None, router: Router | None
) -> Refresher | None:
    """Starts to follow etcd, or loads the configured endpoints if there is no etcd.

    Returns:
        The reader of single extents from etcd; None if the extent map does not come from etcd.
    """
    if etcd is None:
        service.registry.update(EndpointListUpdate.SNAPSHOT, list(config.endpoints))
        return None
    refresher: Refresher | None = None
    feeds: dict[str, Feed] = {EndpointsFeed.KIND: EndpointsFeed(service.registry, service.counters)}
    if router is not None and not config.extents.inline_extents and config.extents.file is None:
        feeds[MapFeed.KIND] = MapFeed(router, config.mapped)
        refresher = Refresher(etcd.client)
        router.read_extents = refresher.read
    service.follow(etcd.run(feeds))
    return refresher


async def _front(
    config: IscsiConfig, service: Service, endpoints: IscsiEndpoints, router: Router | None
) -> IscsiFront:
    """Builds the initiator-facing side, with its mapped LUNs and its stored reservations."""
    broker = Broker(service.decision_host, endpoints, service.counters, router)
    mapped_luns = MappedLuns(config, broker, router, service.counters) if router is not None else None
    reservations = ReservationFile(config.reservations) if config.reservations is not None else None
    if reservations is not None:
        await reservations.read()
    front = IscsiFront(
        config, broker, service.clock, service.registry, service.counters, mapped_luns, reservations
    )
    endpoints.on_unit_attention = lambda lun, code: front.device.report_unit_attention(code, [lun])
    if router is not None:
        router.on_resize = lambda luns: front.device.report_unit_attention(CAPACITY_CHANGED, luns)
    return front


async def _close(endpoints: IscsiEndpoints, router: Router | None, refresher: Refresher | None) -> None:
    """Closes the connections to the nodes, and stops the router and the reader of single extents."""
    await endpoints.close()
    if router is not None:
        router.stop()
    if refresher is not None:
        await refresher.close()


def _router(config: IscsiConfig, service: Service) -> Router:
    """Builds the router, with the extent map of the operator's file or the cached map on disk.

    Without fixed extents, the map is then followed in a separate file or in etcd; for etcd, see
    `_follow_sources`.
    """
    extents = config.extents
    router = Router(extents.limits, extents.extents_max, service.clock, service.registry, service.counters)
    if extents.inline_extents:
        router.replace_map(0, extents.inline_extents)
        router.confirm(permanently=True)
        return router
    if extents.cache_path is not None:
        _load_cached_map(extents.cache_path, extents.cache_bytes, extents.cache_age_max_us, router)
    if extents.file is not None:
        file_source = FileSource(extents.file, router, config.mapped)
        router.read_extents = file_source.read
        service.follow(file_source.run(), "map")
    return router


def _load_cached_map(path: str, size_bytes: int, age_max_us: int, router: Router) -> None:
    """Loads the map cached on disk, which serves reads until the map's source has answered.

    Args:
        path: The cache's directory.
        size_bytes: The cache's size limit.
        age_max_us: A cached map older than this is not used.
        router: Receives the map, and writes later maps to the cache.

    Raises:
        ConfigError: The cache cannot be opened.
    """
    from lemonridge.extents.map_cache import BackgroundMapWriter, MapCache  # loads LMDB

    try:
        cache = MapCache(path, size_bytes)
    except (MapCacheError, OSError) as error:
        raise ConfigError(f"extents.keep: cannot use {path}: {error}") from None
    try:
        version, extents = cache.load(age_max_us)
        if router.replace_map(version, extents, confirmed=False):
            router.trust_cached_map()
    except MapCacheError as error:
        log.info("cached map not used", extra={"path": path, "error": str(error)})
    router.map_writer = BackgroundMapWriter(cache)
