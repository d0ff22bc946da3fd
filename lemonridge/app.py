"""The running program: its parts put together, its signals and its end."""

from __future__ import annotations

import asyncio
import logging
import signal
from random import Random

from lemonridge import api
from lemonridge.config import Platform
from lemonridge.core.broker import Broker
from lemonridge.core.clock import Clock
from lemonridge.core.decider import Decider
from lemonridge.core.directory import Directory
from lemonridge.counters import Counters
from lemonridge.net.discovery import Discovery, MalformedError, listings
from lemonridge.net.http_front import HttpFront
from lemonridge.net.http_nodes import HttpNodes

log = logging.getLogger(__name__)

IDLE_S = 0.005  # how often the end of the last request is looked for, once the program is to end


async def serve_platform(platform: Platform) -> None:
    """One broker of the platform, until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    counters, clock = Counters(), Clock(loop)
    decider = Decider(platform.settings, platform.seed, clock, counters)
    directory = Directory(decider)
    decider.relist = directory.entries
    nodes = HttpNodes(directory, clock, platform.connect_us, platform.keepalive_us, counters)
    front = HttpFront(platform, Broker(decider, nodes, counters), directory, clock, counters)
    stop = asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, counters.print, "SIGUSR1")
    if platform.known.get("hosts"):
        try:
            directory.take(api.ListKind.STALE, listings(platform.known, platform.zones))
        except MalformedError as error:
            log.warning("known list ignored", extra={"error": str(error)})
    watch = Discovery(str(platform.discovery), platform.zones, directory, Random(platform.seed), counters)
    watching = asyncio.create_task(watch.run())
    try:
        await front.start(platform.listen)
        await stop.wait()
        log.info("stopping", extra={"held": decider.held})
        await front.stop()
        while decider.held or front.busy:
            await asyncio.sleep(IDLE_S)
    finally:
        watching.cancel()
        await nodes.close()
        counters.print("exit")
