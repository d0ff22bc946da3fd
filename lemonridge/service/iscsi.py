"""Puts the iSCSI front together: its core, endpoints, extent map and sources."""

from __future__ import annotations

import functools
import logging
import secrets
from dataclasses import replace
from random import Random

from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.coordination.etcd_follower import Feed
from lemonridge.coordination.etcd_source import EndpointsFeed, EtcdSource
from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
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
    """The iSCSI front of an operator's file, which listens once this returns.

    It listens last: whoever sees that it does can call this broker at its operators' address too.

    Raises:
        ConfigError: A part of the configuration cannot be used.
        OSError: An address to listen on cannot be had.
    """
    counters, etcd = Counters(), None
    if config.etcd is not None:
        etcd = EtcdSource(config.etcd, Random(), counters, config.extents.page)
        settings = await etcd.contracts(config.plans, config.settings)
        if fleet is None or fleet.rollout is None:  # else contracts are in force once they are agreed on
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
            etcd.follow(coordinator.propose_plans)
        if fleet.admin is not None:
            await listen_for_fleet_calls(service, fleet.admin, lambda: front.listens)
    await front.start(config.listen)
    return service


def _follow_sources(
    config: IscsiConfig, service: Service, etcd: EtcdSource | None, router: Router | None
) -> Refresher | None:
    """Follows etcd, or takes the endpoints of the file; returns what reads single extents from etcd."""
    if etcd is None:
        service.registry.update(EndpointListUpdate.SNAPSHOT, list(config.endpoints))
        return None
    refresher: Refresher | None = None
    feeds: dict[str, Feed] = {EndpointsFeed.KIND: EndpointsFeed(service.registry, service.counters)}
    if router is not None and not config.extents.fixed and config.extents.file is None:
        feeds[MapFeed.KIND] = MapFeed(router, config.mapped)
        refresher = Refresher(etcd.client)
        router.read_extents = refresher.read
    service.follow(etcd.run(feeds))
    return refresher


async def _front(
    config: IscsiConfig, service: Service, endpoints: IscsiEndpoints, router: Router | None
) -> IscsiFront:
    """The initiators' side, with its LUNs by the extent map and its reservations on disk."""
    broker = Broker(service.decision_host, endpoints, service.counters, router)
    mapped = MappedLuns(config, broker, router, service.counters) if router is not None else None
    reservations = ReservationFile(config.reservations) if config.reservations is not None else None
    if reservations is not None:
        await reservations.read()
    front = IscsiFront(
        config, broker, service.clock, service.registry, service.counters, mapped, reservations
    )
    if router is not None:
        router.on_resize = lambda luns: front.device.report_unit_attention(CAPACITY_CHANGED, luns)
    return front


async def _close(endpoints: IscsiEndpoints, router: Router | None, refresher: Refresher | None) -> None:
    await endpoints.close()
    if router is not None:
        router.stop()
    if refresher is not None:
        await refresher.close()


def _router(config: IscsiConfig, service: Service) -> Router:
    """The extent map from the operator's file, a file of its own, or etcd; begun with the cached map."""
    extents = config.extents
    router = Router(extents.limits, extents.extents_max, service.clock, service.registry, service.counters)
    if extents.fixed:
        router.replace_map(0, extents.fixed)
        router.confirm(permanently=True)
        return router
    if extents.cache_path is not None:
        _load_cached_map(extents.cache_path, extents.cache_bytes, extents.cache_age_max_us, router)
    if extents.file is not None:
        file = FileSource(extents.file, router, config.mapped)
        router.read_extents = file.read
        service.follow(file.run(), "map")
    return router


def _load_cached_map(path: str, size_bytes: int, age_max_us: int, router: Router) -> None:
    """Begins with the map on disk, which serves reads until the source has answered.

    Raises:
        ConfigError: The file cannot be used at all.
    """
    from lemonridge.extents.map_cache import BackgroundMapWriter, MapCache  # only here is LMDB loaded

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
