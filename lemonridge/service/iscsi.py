"""The iSCSI front with its core, nodes, map and sources, put together."""

from __future__ import annotations

import logging
import secrets
from random import Random

from lemonridge.config.operator_file import IscsiConfig
from lemonridge.config.platform import ConfigError, FleetConfig
from lemonridge.coordination.etcd import EndpointsFeed, EtcdSource, Feed
from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.extents.etcd_source import MapFeed, Refresher
from lemonridge.extents.file_source import FileSource
from lemonridge.extents.router import Router
from lemonridge.iscsi.device import CAPACITY_CHANGED
from lemonridge.iscsi.initiator import IscsiEndpoints
from lemonridge.iscsi.mapped import MappedLuns
from lemonridge.iscsi.portal import IscsiFront
from lemonridge.iscsi.reservation_file import ReservationFile
from lemonridge.net.peer_transport import PeerTransport
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.service.service import Service

log = logging.getLogger(__name__)


async def iscsi_service(config: IscsiConfig, plan: FleetConfig | None = None) -> Service:
    """The iSCSI front of an operator's file: initiators before it, targets behind it."""
    counters, source = Counters(), None
    governed = plan is not None and plan.rollout is not None
    if config.etcd is not None:
        source = EtcdSource(config.etcd, Random(), counters, config.extents.page)
        told = await source.contracts(config)
        config = config if governed else told  # a fleet's are in force once that is decided
    made = Service("iscsi", config.settings, secrets.randbits(64), counters)
    router = _router(config, made) if config.mapped else None
    refresher: Refresher | None = None
    if source is not None:
        feeds: dict[str, Feed] = {EndpointsFeed.KIND: EndpointsFeed(made.directory, counters)}
        if router is not None and not config.extents.fixed and config.extents.file is None:
            feeds[MapFeed.KIND] = MapFeed(router, config.mapped)
            refresher = Refresher(source.client)
            router.read = refresher.read
        made.watch(source.run(feeds))
    else:
        made.directory.take(EndpointListUpdate.SNAPSHOT, list(config.endpoints))
    endpoints = IscsiEndpoints(config, made.directory, made.counters)

    async def close() -> None:
        await endpoints.close()
        if router is not None:
            router.stop()
        if refresher is not None:
            await refresher.close()

    made.close = close
    broker = Broker(made.decider, endpoints, made.counters, router)
    mapped = MappedLuns(config, broker, router, made.counters) if router is not None else None
    keeper = ReservationFile(config.reservations) if config.reservations is not None else None
    if keeper is not None:
        await keeper.read()
    made.front = front = IscsiFront(config, broker, made.clock, made.directory, made.counters, mapped, keeper)
    if router is not None:
        router.resized = lambda luns: front.device.tell(CAPACITY_CHANGED, luns)
    rollout = plan.rollout if plan is not None else None
    if rollout is not None:
        # Only an operator's file sets it up.
        from lemonridge.coordination.policy_coordinator import PolicyCoordinator
        from lemonridge.coordination.vote_store import open_vote_store

        store, record = await open_vote_store(rollout.store)
    if plan is not None:
        made.speak(
            PeerTransport(plan, made.decider, made.clock, counters, secrets.randbits(64), config.settings)
        )
    if plan is not None and rollout is not None:
        assert made.peers is not None
        made.coordinator = coordinator = PolicyCoordinator(
            plan, config, secrets.randbits(64), made.peers, made.decider, made.clock, counters, store, record
        )
        made.endings.insert(0, coordinator.stop)
        if source is not None:
            source.follow(coordinator.propose_plans)
    await front.start(config.listen)
    return made


def _router(config: IscsiConfig, made: Service) -> Router:
    """The map, from the operator's file, a file of its own, or etcd; begun with what was kept, if allowed."""
    extents = config.extents
    router = Router(extents.limits, extents.extents_max, made.clock, made.directory, made.counters)
    if extents.fixed:
        router.whole(0, extents.fixed)
        router.confirm(for_ever=True)
        return router
    if extents.keep is not None:
        _kept(extents.keep, extents.keep_bytes, extents.keep_age_us, router)
    if extents.file is not None:
        file = FileSource(extents.file, router, config.mapped)
        router.read = file.read
        made.watch(file.run(), "map")
    return router


def _kept(path: str, size: int, age_us: int, router: Router) -> None:
    """Begin with the map on disk: for reads until the source has spoken."""
    from lemonridge.extents.map_cache import Background, KeepError, MapCache  # only here is LMDB loaded

    try:
        keeper = MapCache(path, size)
    except (KeepError, OSError) as error:
        raise ConfigError(f"extents.keep: cannot use {path}: {error}") from None
    try:
        version, extents = keeper.load(age_us)
        if router.whole(version, extents, confirmed=False):
            router.trust_kept()
    except KeepError as error:
        log.info("kept map not used", extra={"path": path, "error": str(error)})
    router.keeper = Background(keeper)
