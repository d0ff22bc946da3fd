"""The running program: its parts put together, its signals and its end."""

from __future__ import annotations

import asyncio
import logging
import signal
from random import Random
from typing import TYPE_CHECKING

from lemonridge import api, config
from lemonridge.config import ConfigError, Platform
from lemonridge.core.broker import Broker
from lemonridge.counters import Counters
from lemonridge.net.discovery import Discovery, MalformedError, listings
from lemonridge.net.http_front import HttpFront
from lemonridge.net.http_nodes import HttpNodes
from lemonridge.net.operators import Operators
from lemonridge.operate.calls import Call, Order, Reply
from lemonridge.operate.life import Life, Phase
from lemonridge.service import Service

if TYPE_CHECKING:
    from lemonridge.iscsi.config import Iscsi

log = logging.getLogger(__name__)


async def platform_service(platform: Platform) -> Service:
    """The platform's front: clients and nodes over HTTP/1.1, the node list from discovery."""
    made = Service("http", platform.settings, platform.seed, Counters())
    settings = platform.settings
    log.info("settings", extra={
        "hosts": settings.hosts, "shards": platform.shards, "sockets": platform.sockets,
        "units_mean": settings.units_mean, "units_top": settings.units_top, "cold_units": settings.cold_units,
        "asks_list": settings.asks_list, "ask_within_us": settings.ask_within_us})  # fmt: skip
    known: int | None = None
    if platform.known.get("hosts"):
        try:
            made.directory.take(api.ListKind.STALE, listings(platform.known, platform.zones))
        except MalformedError as error:
            log.warning("known list ignored", extra={"error": str(error)})
        else:
            seq = platform.known.get("seq")
            known = seq if isinstance(seq, int) and not isinstance(seq, bool) else None
    nodes = HttpNodes(made.directory, made.clock, platform.connect_us, platform.keepalive_us, made.counters)
    made.close = nodes.close
    random = Random(platform.seed)

    def watch(seq: int | None = None) -> None:
        made.watch(Discovery(str(platform.discovery), platform.zones, made.directory, random,
                             made.counters, platform.settings).run(seq))  # fmt: skip

    watch(known if settings.asks_list else None)  # one that must be asked has to look up less that way
    broker = Broker(made.decider, nodes, made.counters)
    life = Life(max(cls.deadline_us for cls in settings.classes))
    made.front = front = HttpFront(platform, broker, made.directory, made.clock, made.counters, life)

    def configure(new: Platform) -> None:
        """Go by a new configuration. Nothing is awaited between its parts, so no request meets half of
        it; what is held goes on, and discovery is asked at its new address at once."""
        nonlocal platform
        old, platform = platform, new
        made.decider.configure(new.settings)
        front.configure(new)
        nodes.configure(new.connect_us, new.keepalive_us)
        if (new.discovery, new.zones) != (old.discovery, old.zones):
            watch()

    made.configure = configure
    front.bind(platform.listen, platform.passed)
    if platform.admin is not None:
        operators = Operators(Desk(made, front, life).act, made.counters)
        await operators.start(platform.admin)
        made.ended = operators.stop
    await front.listen()
    return made


class Desk:
    """Does what operators ask. A yes means that it is in force."""

    def __init__(self, service: Service, front: HttpFront, life: Life) -> None:
        self._directory, self._clock = service.directory, service.clock
        self._front, self._life = front, life

    async def act(self, order: Order) -> Reply:
        """One call; `Reply` says whether it is done, and why not."""
        if order.call is Call.READY:
            return self._ready()
        if order.call is Call.DISABLE:
            done = self._directory.disable(order.node)
            return Reply(done, "out" if done else "unknown node, or too many are out")
        if order.call is Call.ENABLE:
            done = self._directory.enable(order.node)
            return Reply(done, "in use as discovery says" if done else "unknown node")
        done = self._life.drain(self._clock.now_us()) if order.call is Call.DRAIN else self._life.resume()
        self._front.changed()
        return Reply(done, self._life.phase.value)

    def _ready(self) -> Reply:
        """Whether this process can serve; a drain asks it not to be used, it could be."""
        if self._life.phase is Phase.STOPPING:
            return Reply(False, "stopping")
        if not self._directory.listed:
            return Reply(False, "no list of nodes yet")
        return Reply(self._front.listens, self._life.phase.value)


async def serve(platform: Platform | None, iscsi: Iscsi | None) -> None:
    """Every front that is configured, until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    services: list[Service] = []

    def print_counters() -> None:
        for service in services:
            service.print_counters("SIGUSR1")

    def reload() -> None:
        """Read the platform's file again. A file that cannot be used changes nothing."""
        nonlocal platform
        if platform is None or stop.is_set():
            log.info("nothing to reload")
            return
        try:
            platform = config.load(before=platform)
        except ConfigError as error:
            log.error("configuration kept", extra={"error": str(error)})
            return
        log.info("configuration taken", extra={"discovery": str(platform.discovery)})
        for service in services:
            if service.configure is not None:
                service.configure(platform)

    loop.add_signal_handler(signal.SIGHUP, reload)

    async def start() -> None:
        if platform is not None:
            begun = platform
            service = await platform_service(begun)
            if platform is not begun and service.configure is not None:
                service.configure(platform)  # a newer one came meanwhile
            services.append(service)
        if iscsi is not None:
            from lemonridge.iscsi.service import iscsi_service  # the platform's broker does not load it

            services.append(await iscsi_service(iscsi))

    loop.add_signal_handler(signal.SIGUSR1, print_counters)
    # The start may wait for etcd: a signal must end that wait too.
    starting, stopping = asyncio.create_task(start()), asyncio.create_task(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
    await stopping
    starting.cancel()
    await asyncio.gather(*(service.stop() for service in services))
