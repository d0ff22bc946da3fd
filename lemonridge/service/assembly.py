"""The running program: its parts put together, its signals and its end."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

import orjson

from lemonridge.config.address import Address
from lemonridge.config.errors import ConfigError
from lemonridge.config.fleet import FleetConfig
from lemonridge.config.platform import PlatformConfig, load, read_file_content
from lemonridge.core.broker import Broker
from lemonridge.core.counters import Counters
from lemonridge.core.endpoint_registry import EndpointAddress
from lemonridge.net.admin_server import AdminServer
from lemonridge.net.discovery import Discovery
from lemonridge.net.discovery_format import parse_endpoint_list
from lemonridge.net.errors import MalformedListError
from lemonridge.net.http_endpoints import HttpEndpoints
from lemonridge.net.http_front import HttpFront
from lemonridge.net.process_handover import ProcessHandover
from lemonridge.operate.admin_calls import OF_POLICY, AdminCall, AdminReply, AdminRequest
from lemonridge.operate.handover import NEWS_US, HandedOverEndpoint, HandoverState
from lemonridge.operate.lifecycle import Lifecycle, Phase
from lemonridge.scheduling.events import EndpointListUpdate
from lemonridge.service.ignored_signals import STOP_SIGNALS
from lemonridge.service.service import Service
from lemonridge.service.signals import SignalReceiver

if TYPE_CHECKING:
    from lemonridge.iscsi.config import IscsiConfig

log = logging.getLogger(__name__)


async def platform_service(platform: PlatformConfig) -> Service:
    """The platform's front: clients and nodes over HTTP/1.1, the node list from discovery."""
    made = Service("http", platform.settings, platform.seed, Counters())
    settings = platform.settings
    log.info(
        "settings",
        extra={
            "hosts": settings.hosts,
            "shards": platform.shards,
            "sockets": platform.sockets,
            "units_mean": settings.mean_request_units,
            "units_top": settings.largest_request_units,
            "cold_units": settings.slow_start_units,
            "asks_list": settings.polls_endpoint_list,
            "ask_within_us": settings.poll_within_us,
        },
    )
    known: int | None = None
    if platform.cached_endpoint_list.get("hosts"):
        try:
            made.directory.take(
                EndpointListUpdate.CACHED, parse_endpoint_list(platform.cached_endpoint_list, platform.zones)
            )
        except MalformedListError as error:
            log.warning("known list ignored", extra={"error": str(error)})
        else:
            seq = platform.cached_endpoint_list.get("seq")
            known = seq if isinstance(seq, int) and not isinstance(seq, bool) else None
    endpoints = HttpEndpoints(made.directory, made.clock, platform, made.counters)
    made.close = endpoints.close
    random = Random(platform.seed)

    def watch(seq: int | None = None) -> None:
        made.watch(
            Discovery(
                str(platform.discovery),
                platform.zones,
                made.directory,
                random,
                made.counters,
                platform.settings,
            ).run(seq)
        )

    watch(
        known if settings.polls_endpoint_list else None
    )  # one that must be asked has to look up less that way
    broker = Broker(made.decider, endpoints, made.counters)
    lifecycle = Lifecycle(max(cls.deadline_us for cls in settings.classes))
    made.front = front = HttpFront(platform, broker, made.directory, made.clock, made.counters, lifecycle)

    def configure(new: PlatformConfig) -> None:
        """Go by a new configuration. Nothing is awaited between its parts, so no request meets half of
        it; what is held goes on, and discovery is asked at its new address at once.
        """
        nonlocal platform
        old, platform = platform, new
        if made.coordinator is not None:  # what of it is policy is proposed; the rest is in force at once
            new = replace(new, settings=made.coordinator.configure(new))
        made.decider.configure(new.settings)
        if made.peers is not None:
            made.peers.configure(new.settings)
        front.configure(new)
        endpoints.configure(new)
        if (new.discovery, new.zones) != (old.discovery, old.zones):
            watch()

    made.configure = configure
    log.info(
        "fleet",
        extra={
            "peers": len(platform.fleet.names) if platform.fleet else 0,
            "speaks": platform.exchanges_datagrams,
        },
    )
    if platform.fleet is not None and platform.exchanges_datagrams:
        from lemonridge.net.peer_transport import PeerTransport  # else nothing of it is loaded

        rollout = platform.fleet.rollout
        if rollout is not None:
            from lemonridge.coordination.policy_coordinator import (  # only an operator's file sets it up
                PolicyCoordinator,
                held_store,
            )

            store, kept = await held_store(rollout.store)
        made.speak(
            PeerTransport(platform.fleet, made.decider, made.clock, made.counters, platform.seed, settings)
        )
        endpoints.expires_decisions = True
        if rollout is not None:
            assert made.peers is not None
            made.coordinator = coordinator = PolicyCoordinator(
                platform.fleet,
                platform,
                platform.seed,
                made.peers,
                made.decider,
                made.clock,
                made.counters,
                store,
                kept,
            )
            endpoints.epoch, front.has_lease = coordinator.epoch, coordinator.has_lease
            made.endings.insert(0, coordinator.stop)
    front.bind(platform.listen, platform.inherited_fd)
    admin = AdminService(made, front, lifecycle)
    if platform.admin is not None:
        operators = AdminServer(admin.act, made.counters)
        await operators.start(platform.admin)
        made.endings.append(operators.stop)
    folder = os.environ.get("TMPDIR")
    if platform.inherited_fd is not None and folder:
        await admin.succeed(
            ProcessHandover(folder, platform.name, admin, made.clock, made.counters, broker.open_ids)
        )
        made.endings.append(admin.leave)
    await front.listen()
    return made


def seen(service: Service) -> AdminReply:
    """The fleet as this broker sees it, in JSON."""
    if service.peers is None:
        return AdminReply(False, "this broker speaks to no peers")
    return AdminReply(True, orjson.dumps(service.peers.report()).decode())


def policies(service: Service, order: AdminRequest) -> AdminReply:
    """A call about the fleet's policy."""
    coordinator = service.coordinator
    return (
        coordinator.act(order)
        if coordinator is not None
        else AdminReply(False, "this broker goes by its own file")
    )


class AdminService:
    """Does what operators and the other process of this broker ask. A yes means that it is in force."""

    def __init__(self, service: Service, front: HttpFront, lifecycle: Lifecycle) -> None:
        self._service = service
        self._directory, self._decider, self._clock = service.directory, service.decider, service.clock
        self._front, self._lifecycle = front, lifecycle
        self._succession: ProcessHandover | None = None
        self._taking = False

    # Operators

    async def act(self, order: AdminRequest) -> AdminReply:
        """One call; `AdminReply` says whether it is done, and why not."""
        if order.call is AdminCall.READY:
            return self._ready()
        if order.call is AdminCall.FLEET:
            return seen(self._service)
        if order.call in OF_POLICY:
            return policies(self._service, order)
        if self._taking:
            return AdminReply(False, "not in charge yet")
        reply = self.obey(order)
        if reply.done and self._succession is not None and not await self._succession.share(order):
            return AdminReply(False, "the other process of this broker does not answer")
        return reply

    def obey(self, order: AdminRequest) -> AdminReply:
        """A call in this process alone."""
        if order.call is AdminCall.DISABLE:
            done = self._directory.disable(order.endpoint_id)
            return AdminReply(done, "out" if done else "unknown node, or too many are out")
        if order.call is AdminCall.ENABLE:
            done = self._directory.enable(order.endpoint_id)
            return AdminReply(done, "in use as discovery says" if done else "unknown node")
        done = (
            self._lifecycle.drain(self._clock.now_us())
            if order.call is AdminCall.DRAIN
            else self._lifecycle.resume()
        )
        self._front.changed()
        return AdminReply(done, self._lifecycle.phase.value)

    def _ready(self) -> AdminReply:
        """Whether this process can serve; a drain asks it not to be used, it could be."""
        phase = self._lifecycle.phase
        if phase is Phase.STOPPING:
            return AdminReply(False, phase.value)
        if not self._directory.listed:
            return AdminReply(False, "no list of nodes yet")
        return AdminReply(self._front.listener.listens or phase is Phase.HANDED_OVER, phase.value)

    # The process before and the process after

    async def succeed(self, succession: ProcessHandover) -> None:
        """Take over from the process that serves, if there is one, and be the one to ask from then on.

        Discovery's own list comes first, so that the first request is sent by news and not by what was known;
        where it is silent, the list of the process before is newer than that.
        """
        self._taking = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self._clock.loop_time(self._clock.now_us() + NEWS_US)):
                await self._directory.fresh.wait()
        estate = await succession.take_over()
        if estate is not None:
            estate = estate.on_clock(self._clock.base_us)
            if not self._directory.fresh.is_set():
                rows = [EndpointAddress(row.entry, row.address) for row in estate.rows]
                self._directory.take(EndpointListUpdate.CACHED, rows)
            self._directory.inherit_starts(estate.starts)
            self._directory.inherit(estate.out, estate.back)
            if estate.drained_us is not None:
                self._lifecycle.drain(estate.drained_us)
            self._decider.import_limits(estate.levels)
            log.info(
                "taken over",
                extra={
                    "out": len(estate.out),
                    "limits": len(estate.levels),
                    "drained": estate.drained_us is not None,
                },
            )
        await succession.listen()
        self._succession, self._taking = succession, False

    def export_state(self) -> HandoverState:
        """Take nothing new any more: all in one step, or two processes would draw on the same limit."""
        self._front.listener.stop_accepting()
        self._lifecycle.hand_over(self._clock.now_us())
        self._front.changed()
        out, back = self._directory.bans()
        rows = tuple(HandedOverEndpoint(one.entry, one.address) for one in self._directory.told())
        log.info("handed over", extra={"held": self._decider.held})
        return HandoverState(
            out=out,
            back=back,
            drained_us=self._lifecycle.drained_us,
            levels=self._decider.export_limits(),
            rows=rows,
            starts=self._directory.starts(),
            base_us=self._clock.base_us,
        )

    def take_back(self) -> None:
        """The successor is gone. This process goes on, unless it was told to end."""
        if not self._lifecycle.take_back():
            return
        log.warning("taken back")
        self._decider.import_limits({})
        self._front.changed()
        self._back = asyncio.create_task(self._listen_again())

    async def _listen_again(self) -> None:
        await self._front.listen()
        if self._succession is not None:
            await self._succession.listen()

    def leave(self) -> None:
        """The process ends."""
        if self._succession is not None:
            self._succession.stop()


async def _watch_desk(service: Service, address: Address) -> None:
    """Where operators ask a broker without the platform's front for the fleet."""

    async def act(order: AdminRequest) -> AdminReply:
        if order.call is AdminCall.FLEET:
            return seen(service)
        if order.call is AdminCall.READY:
            if service.coordinator is not None and not service.coordinator.has_lease():
                return AdminReply(False, "no policy in force yet")
            listed = service.directory.listed
            return AdminReply(listed, "serving" if listed else "no list of nodes yet")
        if order.call in OF_POLICY:
            return policies(service, order)
        return AdminReply(False, "only ready, fleet and policies are answered here")

    operators = AdminServer(act, service.counters)
    await operators.start(address)
    service.endings.append(operators.stop)


async def serve(
    platform: PlatformConfig | None, iscsi: IscsiConfig | None, plan: FleetConfig | None = None
) -> None:
    """Every front that is configured, until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    receiver = SignalReceiver()
    for number in STOP_SIGNALS:
        receiver.handle(number, stop.set)
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
            platform = load(before=platform)
        except ConfigError as error:
            log.error("configuration kept", extra={"error": str(error)})
            return
        log.info("configuration taken", extra={"discovery": str(platform.discovery)})
        for service in services:
            if service.configure is not None:
                service.configure(platform)

    receiver.handle(signal.SIGHUP, reload)
    if platform is not None and read_file_content() != platform.file_content:
        reload()  # it has changed since it was read: the signal that told so may have come before this

    async def start() -> None:
        if platform is not None:
            begun = platform
            service = await platform_service(begun)
            if platform is not begun and service.configure is not None:
                service.configure(platform)  # a newer one came meanwhile
            services.append(service)
        if iscsi is not None:
            from lemonridge.service.iscsi import iscsi_service  # the platform's broker does not load it

            mine = plan if platform is None else None  # a process is one member, and that is the platform's
            made = await iscsi_service(iscsi, mine)
            if mine is not None and mine.admin is not None:
                await _watch_desk(made, mine.admin)
            services.append(made)

    receiver.handle(signal.SIGUSR1, print_counters)
    # The start may wait for etcd: a signal must end that wait too.
    starting, stopping = asyncio.create_task(start()), asyncio.create_task(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    if starting.done():
        starting.result()
    await stopping
    starting.cancel()
    await asyncio.gather(*(service.stop() for service in services))
    receiver.close()
